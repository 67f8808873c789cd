"""Approximate index of the prompt prefixes that endpoints have cached."""

from collections import OrderedDict
from collections.abc import Sequence

MAX_BLOCKS = 200_000
MAX_HOLDERS_PER_BLOCK = 8


class PrefixIndex:
    """Maps block hashes to the endpoints that probably cache the blocks.

    An entry may be stale or missing: engines evict blocks, and their events may
    be lost. The index is used only for estimates, so a wrong entry makes a
    request slower but does not affect its result.

    Parameters
    ----------
    max_blocks : int
        Maximum number of blocks; the least recently used are evicted first.
    max_holders : int
        Maximum number of endpoints per block; the oldest are evicted first.
    """

    def __init__(
        self, *, max_blocks: int = MAX_BLOCKS, max_holders: int = MAX_HOLDERS_PER_BLOCK
    ) -> None:
        self._max_blocks = max_blocks
        self._max_holders = max_holders
        self._holders: OrderedDict[int, dict[int, None]] = OrderedDict()
        self._holder_numbers: dict[str, int] = {}
        self._endpoint_ids: dict[int, str] = {}
        self._last_holder_number = 0

    def __len__(self) -> int:
        return len(self._holders)

    def matches(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks of a prompt that each endpoint holds.

        Endpoints that do not hold the first block are left out.
        """
        holders_by_block = []
        for block in hashes:
            holders = self._holders.get(block)
            if holders is None:
                break
            holders_by_block.append(holders)
        matched: dict[str, int] = {}
        for holder in holders_by_block[0] if holders_by_block else ():
            endpoint_id = self._endpoint_ids.get(holder)
            if endpoint_id is not None:
                matched[endpoint_id] = _count_leading_blocks(holders_by_block, holder)
        return matched

    def store(self, endpoint_id: str, hashes: Sequence[int]) -> None:
        """Record that an endpoint holds the blocks of a prompt.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that prefilled the prompt or published events for the blocks.
        hashes : sequence of int
            Chained block hashes.
        """
        holder = self._holder_number(endpoint_id)
        for block in hashes:
            holders = self._holders.setdefault(block, {})
            holders.pop(holder, None)
            holders[holder] = None
            if len(holders) > self._max_holders:
                del holders[next(iter(holders))]
            self._holders.move_to_end(block)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def remove_block(self, endpoint_id: str, block: int) -> None:
        """Record that an endpoint no longer holds a block."""
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(self._holder_number(endpoint_id), None)
        if not holders:
            del self._holders[block]

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove all entries of an endpoint, for example after a role change.

        Only the endpoint's holder number is dropped, which takes constant time.
        `matches` ignores the old number, and the blocks stay until they are
        evicted as the least recently used.
        """
        holder = self._holder_numbers.pop(endpoint_id, None)
        if holder is not None:
            del self._endpoint_ids[holder]

    def retain_endpoints(self, endpoint_ids: set[str]) -> None:
        """Remove the entries of all endpoints that are not in `endpoint_ids`."""
        for endpoint_id in self._holder_numbers.keys() - endpoint_ids:
            self.remove_endpoint(endpoint_id)

    def _holder_number(self, endpoint_id: str) -> int:
        holder = self._holder_numbers.get(endpoint_id)
        if holder is None:
            self._last_holder_number += 1
            holder = self._holder_numbers[endpoint_id] = self._last_holder_number
            self._endpoint_ids[holder] = endpoint_id
        return holder


def _count_leading_blocks(holders_by_block: list[dict[int, None]], holder: int) -> int:
    """Return the number of leading blocks that a holder has."""
    for depth, holders in enumerate(holders_by_block):
        if holder not in holders:
            return depth
    return len(holders_by_block)
