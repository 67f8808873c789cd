"""Whether a caller's key may be relied on at this moment, on this host."""

from samphirehall.admission.authentication import Caller
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import ISOLATED, KEY_UNKNOWN
from samphirehall.node.state import NodeState
from samphirehall.node.verification import decide_serving
from samphirehall.settings.tables import IsolationTable

RETRY_SECONDS = 1.0


def check_standing(
    state: NodeState, caller: Caller, isolation: IsolationTable, *, now: float
) -> None:
    """Check that a caller's key was not withdrawn, as far as this host can know.

    Parameters
    ----------
    state : NodeState
        What this host knows.
    caller : Caller
        Who calls; callers of open routes have no key.
    isolation : IsolationTable
        How long customers are served while nobody can say whether the
        configuration is the newest.
    now : float
        Boot clock in seconds.

    Raises
    ------
    SamphireError
        The key was withdrawn, or this host has been isolated for too long.
    """
    if not caller.key_digest:
        return
    if state.is_withdrawn(caller.key_digest, now=now):
        raise SamphireError(KEY_UNKNOWN, "the key is unknown or withdrawn")
    decision = decide_serving(
        state.verification,
        limit=caller.part.serve_when_isolated_seconds,
        default_limit=isolation.serve_seconds,
        notice=isolation.notice_seconds,
        now=now,
    )
    if not decision.allowed:
        raise SamphireError(ISOLATED, decision.reason, retry_after=RETRY_SECONDS)
