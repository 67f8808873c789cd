"""Facts that wait to be sent to one peer."""

from samphirehall.membership.wire import OutgoingFact
from samphirehall.node.facts import FactKind

URGENT_KINDS_END = FactKind.HOST
FactIdentity = tuple[int, str, str]


def is_urgent(kind: FactKind) -> bool:
    """Return whether facts of a kind may overdraw the byte budget."""
    return kind < URGENT_KINDS_END


class Outbox:
    """Facts by how long they may wait; a newer fact takes the place of an older one.

    Urgent facts leave by kind. The others leave in the order in which they
    first began to wait, so that none waits forever; reports from other zones
    leave after all else.
    """

    def __init__(self) -> None:
        self._urgent: dict[FactIdentity, OutgoingFact] = {}
        self._bulk: dict[FactIdentity, OutgoingFact] = {}
        self._remote_reports: dict[FactIdentity, OutgoingFact] = {}

    @property
    def has_urgent(self) -> bool:
        """Whether urgent facts wait."""
        return bool(self._urgent)

    @property
    def has_bulk(self) -> bool:
        """Whether facts wait that the byte budget holds back."""
        return bool(self._bulk) or bool(self._remote_reports)

    def push(self, item: OutgoingFact) -> None:
        """Let a fact wait, in place of an older one of the same identity."""
        queue = self._queue_for(item)
        queued = queue.get(item.fact.identity)
        if queued is None or queued.fact.order < item.fact.order:
            queue[item.fact.identity] = item

    def pop_urgent(self, *, max_bytes: int, now: float) -> list[OutgoingFact]:
        """Return urgent facts, most urgent kinds first, and forget them."""
        order = sorted(self._urgent, key=lambda identity: identity[0])
        return _pop_batch(self._urgent, order, max_bytes=max_bytes, now=now)

    def pop_bulk(self, *, max_bytes: int, now: float) -> list[OutgoingFact]:
        """Return facts that may wait, the longest waiting first, and forget them."""
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
