"""Queues of the facts to be sent to one peer."""

from samphirehall.membership.wire import OutgoingFact
from samphirehall.node.facts import FactKind

URGENT_KINDS_END = FactKind.HOST
FactIdentity = tuple[int, str, str]


def is_urgent(kind: FactKind) -> bool:
    """Return whether facts of a kind may overdraw the byte budget."""
    return kind < URGENT_KINDS_END


class Outbox:
    """Queued facts by urgency; a newer fact replaces an older one of the same identity.

    Urgent facts are sent in the order of their kinds. Bulk facts are sent in the
    order in which their identity was first queued, so that none starves. Engine
    reports from other zones are sent last.
    """

    def __init__(self) -> None:
        self._urgent: dict[FactIdentity, OutgoingFact] = {}
        self._bulk: dict[FactIdentity, OutgoingFact] = {}
        self._remote_reports: dict[FactIdentity, OutgoingFact] = {}

    @property
    def has_urgent(self) -> bool:
        """Whether urgent facts are queued."""
        return bool(self._urgent)

    @property
    def has_bulk(self) -> bool:
        """Whether facts are queued that are subject to the byte budget."""
        return bool(self._bulk) or bool(self._remote_reports)

    def push(self, item: OutgoingFact) -> None:
        """Queue a fact; it replaces an older one of the same identity in its place."""
        queue = self._queue_for(item)
        queued = queue.get(item.fact.identity)
        if queued is None or queued.fact.order < item.fact.order:
            queue[item.fact.identity] = item

    def pop_urgent(self, *, max_bytes: int, now: float) -> list[OutgoingFact]:
        """Remove and return urgent facts, most urgent kinds first."""
        order = sorted(self._urgent, key=lambda identity: identity[0])
        return _pop_batch(self._urgent, order, max_bytes=max_bytes, now=now)

    def pop_bulk(self, *, max_bytes: int, now: float) -> list[OutgoingFact]:
        """Remove and return bulk facts, the longest queued first."""
        queue = self._bulk or self._remote_reports
        return _pop_batch(queue, list(queue), max_bytes=max_bytes, now=now)

    def _queue_for(self, item: OutgoingFact) -> dict[FactIdentity, OutgoingFact]:
        if is_urgent(item.fact.kind):
            return self._urgent
        if item.from_other_zone and item.fact.kind is FactKind.ENGINE_REPORT:
            return self._remote_reports
        return self._bulk


def _pop_batch(
    queue: dict[FactIdentity, OutgoingFact],
    order: list[FactIdentity],
    *,
    max_bytes: int,
    now: float,
) -> list[OutgoingFact]:
    batch: list[OutgoingFact] = []
    batch_bytes = 0
    for identity in order:
        item = queue[identity]
        if batch and batch_bytes + len(item.payload) > max_bytes:
            break
        del queue[identity]
        if item.expires_at > now:
            batch.append(item)
            batch_bytes += len(item.payload)
    return batch
