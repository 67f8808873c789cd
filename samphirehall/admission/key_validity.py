"""Check of a caller's key against withdrawals and the isolation of this host."""

from samphirehall.admission.authentication import Caller
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import ISOLATED, KEY_UNKNOWN
from samphirehall.node.state import NodeState
from samphirehall.node.verification import decide_serving
from samphirehall.settings.tables import IsolationTable

RETRY_AFTER_SECONDS = 1.0


def check_key_validity(
    state: NodeState, caller: Caller, isolation: IsolationTable, *, now: float
) -> None:
    """Raise an error if a caller's key was withdrawn or may have been.

    An isolated host does not receive withdrawals, so it serves a customer only
    for a limited time.

    Parameters
    ----------
    state : NodeState
        State of this host, with withdrawn keys and the last verification.
    caller : Caller
        Authenticated caller; callers of open routes have no key and always pass.
    isolation : IsolationTable
        How long customers are served while this host cannot verify that its
        configuration is the newest.
    now : float
        Boot clock in seconds.

    Raises
    ------
    SamphireError
        If the key was withdrawn, or this host has been isolated for too long.
    """
    if not caller.key_digest:
        return
    if state.is_withdrawn(caller.key_digest, now=now):
        raise SamphireError(KEY_UNKNOWN, "the key is unknown or withdrawn")
    decision = decide_serving(
        state.verification,
        isolation_limit=caller.part.serve_when_isolated_seconds,
        default_isolation_limit=isolation.serve_seconds,
        isolation_threshold=isolation.notice_seconds,
        now=now,
    )
    if not decision.allowed:
        raise SamphireError(ISOLATED, decision.reason, retry_after=RETRY_AFTER_SECONDS)
