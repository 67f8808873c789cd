"""Timing model of an engine: durations of batch steps and KV transfers."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EngineTiming:
    """Holds the constants of the timing model, in simulated time.

    Parameters
    ----------
    step_base_seconds : float
        Fixed duration of a batch step.
    decode_sequence_seconds : float
        Seconds that each decoding sequence adds to a step.
    prefill_tokens_per_second : float
        Prefill rate; its duration is added to the step's other costs.
    prefill_chunk_tokens : int
        Maximum number of prompt tokens prefilled in one step.
    max_batch : int
        Maximum number of sequences in the batch.
    cache_block_tokens : int
        Tokens of a block of the prefix cache.
    cache_capacity_tokens : int
        Tokens that the prefix cache holds.
    cache_event_lag_seconds : float
        Delay of cache events.
    cache_event_loss : float
        Share of cache events that are never published, from 0 to 1.
    kv_transfer_base_seconds : float
        Fixed duration of a KV cache import.
    kv_transfer_tokens_per_second : float
        Tokens of KV cache imported per second.
    kv_kept_seconds : float
        Seconds for which an exported KV cache is kept.
    report_lag_seconds : float
        Minimum age of the load that a report shows.
    role_change_seconds : float
        Duration of a role change; the engine refuses requests and runs no steps.
    orphan_seconds : float
        Seconds after which a sequence without readers is aborted.
    time_scale : float
        Simulated seconds per second of real time; above 1 is faster.
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
        """Convert simulated seconds to real seconds."""
        return seconds / self.time_scale

    def step_seconds(self, decoding: int, prefill_tokens: int) -> float:
        """Return the duration of one step in real seconds.

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
        """Return the duration of a KV cache import of `tokens` in real seconds."""
        seconds = self.kv_transfer_base_seconds + tokens / self.kv_transfer_tokens_per_second
        return self.scaled(seconds)
