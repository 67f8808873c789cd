"""Numbered result codes of HTTP answers, logs and process exits."""

import enum
from dataclasses import dataclass


class RunState(enum.StrEnum):
    """Whether a request ran on an endpoint, as far as is known."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class Result:
    """One entry of the result table.

    Parameters
    ----------
    code : int
        Number shown to callers and operators and in log lines.
    name : str
        Short hyphenated name.
    http_status : int
        Status of an HTTP answer that carries this result.
    run : RunState
        Whether the request ran.
    exit_status : int
        Exit status, from 0 to 125, of a process that ends with this result.
    summary : str
        One sentence for the table in the documentation.
    """

    code: int
    name: str
    http_status: int
    run: RunState
    exit_status: int
    summary: str


_TABLE: dict[int, Result] = {}


def _define(
    code: int, name: str, http_status: int, run: RunState, exit_status: int, summary: str
) -> Result:
    result = Result(code, name, http_status, run, exit_status, summary)
    if code in _TABLE:
        raise ValueError(
            f"result code {code} is defined for both {_TABLE[code].name!r} and {name!r}"
        )
    _TABLE[code] = result
    return result


_NOT_RUN, _UNKNOWN, _RAN = RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN

OK = _define(1000, "ok", 200, _RAN, 0, "The request ran and its whole answer follows.")
REPLAYED = _define(
    1001, "replayed", 200, _RAN, 0, "The stored outcome of an earlier attempt with this key."
)

BAD_REQUEST = _define(2000, "bad-request", 400, _NOT_RUN, 2, "The request could not be read.")
TOO_LARGE = _define(2001, "too-large", 413, _NOT_RUN, 2, "The request is over its size limit.")
KEY_MISSING = _define(2002, "key-missing", 401, _NOT_RUN, 2, "The route needs a customer key.")
KEY_UNKNOWN = _define(
    2003, "key-unknown", 401, _NOT_RUN, 2, "The customer key is unknown or withdrawn."
)
NO_ROUTE = _define(2004, "no-route", 404, _NOT_RUN, 2, "No route or model has this name.")
MODEL_FORBIDDEN = _define(
    2005, "model-forbidden", 403, _NOT_RUN, 2, "The customer may not use this model or route."
)
LIMIT_REACHED = _define(
    2006, "limit-reached", 429, _NOT_RUN, 75, "The customer is over its own limit."
)
OVERLOADED = _define(
    2007, "overloaded", 503, _NOT_RUN, 75, "The queue is full or the deadline cannot be met."
)
NO_ENDPOINT = _define(
    2008, "no-endpoint", 503, _NOT_RUN, 75, "No endpoint can take the request now."
)
DEADLINE_NOT_RUN = _define(
    2009, "deadline-not-run", 504, _NOT_RUN, 75, "The deadline passed before the request ran."
)
QUARANTINED = _define(
    2010, "quarantined", 422, _NOT_RUN, 2, "The request has crashed endpoints and is refused."
)
STORE_UNAVAILABLE = _define(
    2011, "store-unavailable", 503, _NOT_RUN, 75, "The claim could not be stored in time."
)
SHUTTING_DOWN = _define(
    2012, "shutting-down", 503, _NOT_RUN, 75, "This host is shutting down; ask another."
)
NO_CONFIGURATION = _define(
    2013, "no-configuration", 503, _NOT_RUN, 75, "This host has no configuration yet."
)
PART_QUARANTINED = _define(
    2014,
    "part-quarantined",
    503,
    _NOT_RUN,
    75,
    "A part of the prompt has crashed engines and is refused for now.",
)
KEY_REUSED = _define(
    2015,
    "idempotency-key-reused",
    422,
    _NOT_RUN,
    2,
    "The idempotency key was used with another body.",
)
CALL_TIMEOUT = _define(
    2016, "call-timeout", 408, _NOT_RUN, 2, "The caller did not send its request in time."
)
METHOD_NOT_ALLOWED = _define(
    2017, "method-not-allowed", 405, _NOT_RUN, 2, "The path does not take this method."
)
STREAM_UNKNOWN = _define(
    2018,
    "stream-unknown",
    503,
    _NOT_RUN,
    75,
    "This host cannot learn at which software version the stream began; ask another.",
)
STREAM_VERSION_GONE = _define(
    2019,
    "stream-version-gone",
    503,
    _NOT_RUN,
    75,
    "No engine of the software version that began the stream can take it.",
)
ISOLATED = _define(
    2030,
    "isolated",
    503,
    _NOT_RUN,
    75,
    "This host cannot learn whether the key still holds; ask another.",
)
NO_PATH = _define(
    2031,
    "no-path",
    503,
    _NOT_RUN,
    75,
    "This host reaches no endpoint, and no other host took the request.",
)
INTERNAL_NOT_RUN = _define(
    2099, "internal-not-run", 500, _NOT_RUN, 70, "A fault of this system before anything ran."
)

OUTCOME_UNKNOWN = _define(
    3000, "outcome-unknown", 502, _UNKNOWN, 75, "The request may have run; nobody can tell."
)
DEADLINE_UNKNOWN = _define(
    3001, "deadline-unknown", 504, _UNKNOWN, 75, "The deadline passed while the request ran."
)
CLAIM_IN_PROGRESS = _define(
    3002, "claim-in-progress", 409, _UNKNOWN, 75, "Another attempt with this key is running."
)
INTERNAL_UNKNOWN = _define(
    3099, "internal-unknown", 500, _UNKNOWN, 70, "A fault of this system after dispatch."
)

ENDPOINT_FAILED = _define(
    4000, "endpoint-failed", 502, _RAN, 75, "The endpoint ran the request and reported an error."
)
STREAM_CUT = _define(
    4001, "stream-cut", 502, _RAN, 75, "The stream broke and could not be continued."
)
OUTCOME_NOT_KEPT = _define(
    4002, "outcome-not-kept", 409, _RAN, 75, "The request ran; its answer was too long to keep."
)
ENDPOINT_CRASHED = _define(
    4003, "endpoint-crashed", 422, _RAN, 2, "The endpoints that ran the request crashed."
)

SETTINGS_INVALID = _define(
    5000, "settings-invalid", 400, _NOT_RUN, 78, "The settings file was refused."
)
CONFIGURATION_INVALID = _define(
    5001, "configuration-invalid", 422, _NOT_RUN, 65, "The configuration was refused as a whole."
)
CONFIGURATION_CONFLICT = _define(
    5002, "configuration-conflict", 409, _NOT_RUN, 75, "Another configuration won the race."
)
CONTROL_UNREACHABLE = _define(
    5003, "control-unreachable", 503, _NOT_RUN, 69, "No control process answered."
)
PLATFORM_UNAVAILABLE = _define(
    5004, "platform-unavailable", 503, _UNKNOWN, 69, "The platform's service did not answer."
)
NOT_FOUND = _define(5005, "not-found", 404, _NOT_RUN, 66, "No object has this name.")
NOT_AUTHORIZED = _define(
    5006, "not-authorized", 403, _NOT_RUN, 77, "The operator's token was refused."
)
LEASE_LOST = _define(
    5007, "lease-lost", 409, _NOT_RUN, 75, "The process no longer holds the lease for this order."
)
CHECK_FAILED = _define(5008, "check-failed", 500, _RAN, 1, "A check or demonstration failed.")
ORDER_PENDING = _define(
    5010, "order-pending", 409, _NOT_RUN, 75, "An earlier order to the endpoint is not settled."
)
MESH_PROTOCOL = _define(
    5020, "mesh-protocol", 426, _NOT_RUN, 78, "The peer speaks no protocol version of this host."
)
MESH_KEY = _define(5021, "mesh-key", 403, _NOT_RUN, 77, "The peer does not hold the mesh key.")
MESH_OLD_INCARNATION = _define(
    5022, "mesh-old-incarnation", 409, _NOT_RUN, 75, "A newer process of this host is connected."
)


def table() -> tuple[Result, ...]:
    """Return every result, ordered by code."""
    return tuple(_TABLE[code] for code in sorted(_TABLE))


def by_code(code: int) -> Result:
    """Return the result with this code.

    Raises
    ------
    ValueError
        No result has the code.
    """
    if code not in _TABLE:
        raise ValueError(f"unknown result code {code!r}; known codes: {sorted(_TABLE)}")
    return _TABLE[code]
