"""Facts that wait to be sent to one peer."""

from samphirehall.membership.wire import Outgoing
from samphirehall.node.facts import FactKind

URGENT_END = FactKind.HOST
Identity = tuple[int, str, str]


def is_urgent(kind: FactKind) -> bool:
    """Return whether facts of a kind may overdraw the byte budget."""
    return kind < URGENT_END


class Outbox:
    """Facts by how long they may wait; a newer fact takes the place of an older one.

    Urgent facts leave by kind. The others leave in the order in which they
    first began to wait, so that none waits forever; reports from other zones
    leave after all else.
    """

    def __init__(self) -> None:
        self._urgent: dict[Identity, Outgoing] = {}
        self._bulk: dict[Identity, Outgoing] = {}
        self._reports: dict[Identity, Outgoing] = {}

    @property
    def has_urgent(self) -> bool:
        """Whether urgent facts wait."""
        return bool(self._urgent)

    @property
    def has_bulk(self) -> bool:
        """Whether facts wait that the byte budget holds back."""
        return bool(self._bulk) or bool(self._reports)

    def push(self, item: Outgoing) -> None:
        """Let a fact wait, in place of an older one of the same identity."""
        queue = self._queue(item)
        held = queue.get(item.fact.identity)
        if held is None or held.fact.order < item.fact.order:
            queue[item.fact.identity] = item

    def take_urgent(self, *, max_bytes: int, now: float) -> list[Outgoing]:
        """Return urgent facts, most urgent kinds first, and forget them."""
        order = sorted(self._urgent, key=lambda identity: identity[0])
        return _take(self._urgent, order, max_bytes=max_bytes, now=now)

    def take_bulk(self, *, max_bytes: int, now: float) -> list[Outgoing]:
        """Return facts that may wait, the longest waiting first, and forget them."""
        queue = self._bulk or self._reports
        return _take(queue, list(queue), max_bytes=max_bytes, now=now)

    def _queue(self, item: Outgoing) -> dict[Identity, Outgoing]:
        if is_urgent(item.fact.kind):
            return self._urgent
        if item.crossed and item.fact.kind is FactKind.ENGINE_REPORT:
            return self._reports
        return self._bulk


def _take(
    queue: dict[Identity, Outgoing], order: list[Identity], *, max_bytes: int, now: float
) -> list[Outgoing]:
    taken: list[Outgoing] = []
    size = 0
    for identity in order:
        item = queue[identity]
        if taken and size + len(item.payload) > max_bytes:
            break
        del queue[identity]
        if item.until > now:
            taken.append(item)
            size += len(item.payload)
    return taken
