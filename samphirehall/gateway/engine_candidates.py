"""Engines among which one host chooses for one request.

Made for hundreds of hosts that decide at the same moment by a picture of the load that
is some hundred milliseconds old. If each took the best of all engines, all would take
the same one. Prompts are therefore spread over the prefill engines by the part they
share, which also keeps that part in few caches, and each host generates on a few
engines of its zone. The load decides only among these.
"""

from collections.abc import Iterable, Mapping, Sequence

from samphirehall.core.rendezvous import ranked, ranked_by_size
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.generation_plan import MIN_PREFIX_FETCH_TOKENS
from samphirehall.gateway.types import Prompt

# The first caches the shared part; the others take over if it is busy or fails.
PREFILL_CANDIDATES = 3
DECODE_CANDIDATES = 4  # of a host; the loss of half of them leaves a choice
# Engines below this fraction of the fastest one own fewer prompts; estimates of equal engines
# differ by less.
SLOW_FRACTION = 0.65
SLOW_SIZE = 0.45
NO_SPEEDS: Mapping[str, float] = {}


def sharing_key(prompt: Prompt) -> str:
    """Return the part of a prompt by which it is assigned to prefill engines.

    This is the last part that other requests may have too, if its prefix is long enough to
    be worth a cache; else the part of the request itself, which spreads requests evenly.
    """
    if not prompt.parts:
        return ""
    is_worth_caching = prompt.shared_tokens >= MIN_PREFIX_FETCH_TOKENS
    return prompt.parts[-2 if is_worth_caching else -1].part_id


def prefill_candidates(
    engines: Sequence[EndpointState],
    prompt: Prompt,
    *,
    width: int = 1,
    speeds: Mapping[str, float] = NO_SPEEDS,
) -> list[EndpointState]:
    """Return the prefill engines that may read a prompt, the one that should cache it first.

    Engines of all zones are candidates: moving a read prompt between zones takes a tenth of
    the time of reading its shared part once more in each zone. Engines are candidates in
    proportion to their speed, and at least one is not slower than the average.

    Parameters
    ----------
    engines : sequence of EndpointState
        Prefill engines that accept new requests.
    prompt : Prompt
        Parts of the prompt.
    width : int
        Factor of the number of candidates.
    speeds : dict
        Lasting speeds of engines by id, as multiples of that of their stage; 1 if absent.
    """
    count = width * PREFILL_CANDIDATES
    by_id = {engine.listed.endpoint_id: engine for engine in engines}
    if len(by_id) <= count:
        return list(by_id.values())
    sizes = _ownership_sizes({name: speeds.get(name, 1.0) for name in by_id})
    order = ranked_by_size(sizes, sharing_key(prompt))
    chosen, average = order[:count], sum(sizes.values()) / len(sizes)
    if all(sizes[name] < average for name in chosen):
        fast = (name for name in order[count:] if sizes[name] >= average)
        chosen[-1:] = [next(fast, chosen[-1])]
    return [by_id[name] for name in chosen]


def _ownership_sizes(speeds: Mapping[str, float]) -> dict[str, float]:
    """Return the part of all prompts that each engine should own, as a multiple of the largest.

    A shared part that gets another owner has to be read again. Hosts estimate speeds apart, and
    estimates move by some tenths, which must not change owners; so there are two sizes only.
    """
    limit = SLOW_FRACTION * max(speeds.values())
    return {name: SLOW_SIZE if speed < limit else 1.0 for name, speed in speeds.items()}


def decode_candidates(
    engines: Sequence[EndpointState], *, host: str, zone: str, width: int = 1
) -> list[EndpointState]:
    """Return the decode engines on which a host generates: those of its zone before others.

    Parameters
    ----------
    engines : sequence of EndpointState
        Decode engines that accept new requests.
    host, zone : str
        Name and availability zone of this host.
    width : int
        Factor of the number of candidates.
    """
    count = width * DECODE_CANDIDATES
    own_zone = [engine for engine in engines if engine.listed.zone == zone]
    chosen = _first(own_zone, host, count)
    if len(chosen) < count:
        others = [engine for engine in engines if engine.listed.zone != zone]
        chosen += _first(others, host, count - len(chosen))
    return chosen


def _first(engines: Iterable[EndpointState], key: str, count: int) -> list[EndpointState]:
    by_id = {engine.listed.endpoint_id: engine for engine in engines}
    if len(by_id) <= count:
        return list(by_id.values())
    return [by_id[name] for name in ranked(by_id, key)[:count]]
