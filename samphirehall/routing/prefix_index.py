"""Approximate index of which endpoints hold which prompt prefixes."""

from collections import OrderedDict
from collections.abc import Sequence

MAX_BLOCKS = 200_000
MAX_HOLDERS = 8


class PrefixIndex:
    """Block hashes and the endpoints that are thought to hold them.

    An entry may be wrong: a block may have been removed, or never announced.
    The index only serves estimates, so a wrong entry costs time and no more.

    Parameters
    ----------
    max_blocks : int
        Blocks remembered; the least recently used are forgotten first.
    max_holders : int
        Endpoints remembered for each block, the newest ones.
    """

    def __init__(self, *, max_blocks: int = MAX_BLOCKS, max_holders: int = MAX_HOLDERS) -> None:
        self._max_blocks = max_blocks
        self._max_holders = max_holders
        self._holders: OrderedDict[int, dict[int, None]] = OrderedDict()
        self._marks: dict[str, int] = {}
        self._endpoints: dict[int, str] = {}
        self._last_mark = 0

    def __len__(self) -> int:
        return len(self._holders)

    def matches(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks that each endpoint is thought to hold."""
        blocks = []
        for block in hashes:
            holders = self._holders.get(block)
            if holders is None:
                break
            blocks.append(holders)
        matched: dict[str, int] = {}
        for mark in blocks[0] if blocks else ():
            endpoint_id = self._endpoints.get(mark)
            if endpoint_id is not None:
                matched[endpoint_id] = _leading(blocks, mark)
        return matched

    def store(self, endpoint_id: str, hashes: Sequence[int]) -> None:
        """Remember that an endpoint holds the blocks of a prompt.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that ran the prompt or announced the blocks.
        hashes : sequence of int
            Chained block hashes.
        """
        mark = self._mark(endpoint_id)
        for block in hashes:
            holders = self._holders.setdefault(block, {})
            holders.pop(mark, None)
            holders[mark] = None
            if len(holders) > self._max_holders:
                del holders[next(iter(holders))]
            self._holders.move_to_end(block)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def remove(self, endpoint_id: str, block: int) -> None:
        """Forget that an endpoint holds a block."""
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(self._mark(endpoint_id), None)
        if not holders:
            del self._holders[block]

    def forget(self, endpoint_id: str) -> None:
        """Forget all that an endpoint holds, such as after a role change.

        Its blocks stay under a mark that names no endpoint until they are the
        least recently used.
        """
        mark = self._marks.pop(endpoint_id, None)
        if mark is not None:
            del self._endpoints[mark]

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forget every other endpoint."""
        for endpoint_id in self._marks.keys() - endpoint_ids:
            self.forget(endpoint_id)

    def _mark(self, endpoint_id: str) -> int:
        mark = self._marks.get(endpoint_id)
        if mark is None:
            self._last_mark += 1
            mark = self._marks[endpoint_id] = self._last_mark
            self._endpoints[mark] = endpoint_id
        return mark


def _leading(blocks: list[dict[int, None]], mark: int) -> int:
    """Return how many leading blocks are held under a mark."""
    for depth, holders in enumerate(blocks):
        if mark not in holders:
            return depth
    return len(blocks)
