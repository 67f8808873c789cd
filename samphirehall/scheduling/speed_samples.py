"""Samples and estimates of engine speeds, as logarithms of prompt tokens per second."""

import math
from collections.abc import Callable
from dataclasses import dataclass

MIN_TOKENS = 500  # a shorter prefill takes less time than the rest of the call
MIN_READING_FRACTION = 0.25  # of the time of a call, whatever the measured overhead

# Engine's incarnation, logarithmic speed, and weight.
SpeedSample = tuple[str, float, float]
# Returns the logarithmic speed of the engines of an engine's service and stage; None if it is not
# listed.
CommonSpeed = Callable[[str], float | None]


@dataclass(slots=True, frozen=True)
class SpeedRange:
    """What the time of one call says about the speed of its engine.

    Parameters
    ----------
    slowest, fastest : float
        Logarithmic speeds that explain the time if there was neither queue nor fetch, and if the
        whole expected queue was ahead of the call; equal if none was expected.
    weight : float
        Up to 1; less if the time depends little on the speed.
    """

    slowest: float
    fastest: float
    weight: float


def speed_range(
    tokens: float,
    tokens_ahead: float,
    seconds: float,
    overhead: float,
    *,
    fetch_seconds: float = 0.0,
) -> SpeedRange | None:
    """Return what a call says about the speed of its engine; None if it says too little.

    Parameters
    ----------
    tokens, tokens_ahead : float
        Prompt tokens of the call, and those expected ahead of it in the queue, at the speed of the
        prefill stage: twice as many for an engine that is in a stage of half that speed.
    seconds, overhead : float
        Duration of the call, and the part of it besides prefill and queue.
    fetch_seconds : float
        Expected seconds of a fetch of cached parts; it may have taken twice as long, or none.
    """
    if tokens < MIN_TOKENS or seconds <= 0:
        return None
    reading = max(seconds - overhead, MIN_READING_FRACTION * seconds)
    shortest = max(reading - 2 * fetch_seconds, MIN_READING_FRACTION * seconds)
    return SpeedRange(
        math.log(tokens / reading),
        math.log((tokens + tokens_ahead) / min(reading, shortest)),
        (reading / seconds) ** 2,
    )


@dataclass(slots=True, frozen=True)
class SpeedReport:
    """Estimate of one engine as sent to another host.

    Parameters
    ----------
    engine : str
        Incarnation of the engine.
    speed : float
        Logarithmic speed.
    weight : float
        Confidence, in samples.
    age : float
        Seconds since the last sample.
    slowdown : float
        Present temporary slowness, as the logarithm of a factor.
    """

    engine: str
    speed: float
    weight: float
    age: float
    slowdown: float


@dataclass(slots=True, frozen=True)
class SpeedReference:
    """What the speed of an engine is compared with, all as logarithms.

    Under heavy load, all engines seem slower than the common rate, which follows the fastest calls.
    An engine therefore has to differ from other engines as well before its speed is used.

    Parameters
    ----------
    common : float
        Common speed of the service and stage.
    slow, fast : float
        Speeds of the slow and the fast engines of the service, without the outermost ones.
    """

    common: float
    slow: float
    fast: float
