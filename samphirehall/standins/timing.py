"""Timing model of an engine: what a step of the batch and each transfer take."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EngineTiming:
    """Constants of the timing model, in the engine's own time.

    Parameters
    ----------
    step_base_seconds : float
        Seconds of a step of the batch, whatever is in it.
    decode_sequence_seconds : float
        Seconds that each decoding sequence adds to a step.
    prefill_tokens_per_second : float
        Prompt tokens prefilled a second, on top of the step's other costs.
    prefill_chunk_tokens : int
        Most prompt tokens in one step.
    max_batch : int
        Most sequences in the batch.
    cache_block_tokens : int
        Tokens of a block of the prefix cache.
    cache_capacity_tokens : int
        Tokens that the prefix cache holds.
    cache_event_lag_seconds : float
        Seconds after which a cache event is published.
    cache_event_loss : float
        Share of cache events that are never published, from 0 to 1.
    kv_transfer_base_seconds : float
        Seconds of a KV cache import, whatever its length.
    kv_transfer_tokens_per_second : float
        Tokens of KV cache imported a second.
    kv_kept_seconds : float
        Seconds for which an exported KV cache is kept.
    report_lag_seconds : float
        Seconds by which a load report is late.
    role_change_seconds : float
        Seconds for which a role change takes the engine away.
    orphan_seconds : float
        Seconds after which a sequence that nobody reads is aborted.
    time_scale : float
        Seconds of the engine's own time in one second; over 1 is faster.
    """

    step_base_seconds: float = 0.005
    decode_sequence_seconds: float = 0.0001
    prefill_tokens_per_second: float = 50_000.0
    prefill_chunk_tokens: int = 1024
    max_batch: int = 256
    cache_block_tokens: int = 1024
    cache_capacity_tokens: int = 262_144
    cache_event_lag_seconds: float = 0.5
    cache_event_loss: float = 0.05
    kv_transfer_base_seconds: float = 0.005
    kv_transfer_tokens_per_second: float = 500_000.0
    kv_kept_seconds: float = 10.0
    report_lag_seconds: float = 0.25
    role_change_seconds: float = 2.0
    orphan_seconds: float = 5.0
    time_scale: float = 1.0

    def scaled(self, seconds: float) -> float:
        """Return how long `seconds` of the engine's own time take."""
        return seconds / self.time_scale

    def step_seconds(self, decoding: int, prefill_tokens: int) -> float:
        """Return the time of one step, scaled.

        Parameters
        ----------
        decoding : int
            Sequences that decode one token each.
        prefill_tokens : int
            Prompt tokens prefilled in the same step.
        """
        seconds = self.step_base_seconds + decoding * self.decode_sequence_seconds
        if prefill_tokens:
            seconds += prefill_tokens / self.prefill_tokens_per_second
        return self.scaled(seconds)

    def transfer_seconds(self, tokens: int) -> float:
        """Return the time of importing the KV cache of `tokens`, scaled."""
        seconds = self.kv_transfer_base_seconds + tokens / self.kv_transfer_tokens_per_second
        return self.scaled(seconds)
