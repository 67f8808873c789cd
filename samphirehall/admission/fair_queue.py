"""Weighted fair queue over customers, by the work that each was served.

Start-time fair queueing: each customer has a virtual counter, its served work
divided by its weight. The waiting customer with the lowest counter goes next,
and the virtual time is the counter of the last one that went. A customer that
begins to wait is lifted to the virtual time, so that idle time earns no credit.
"""

import heapq
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_COUNTERS = 4096


class VirtualCounters:
    """Virtual counters of customers, shared by the queues of all models."""

    def __init__(self) -> None:
        self._counters: dict[str, float] = {}
        self._virtual_time = 0.0

    @property
    def virtual_time(self) -> float:
        """Counter of the customer that went last; never falls."""
        return self._virtual_time

    def of(self, customer: str) -> float:
        """Return a customer's counter, at least the virtual time."""
        return max(self._virtual_time, self._counters.get(customer, 0.0))

    def advance(self, customer: str) -> None:
        """Note that a customer goes next."""
        self._virtual_time = self.of(customer)

    def charge(self, customer: str, work: float, weight: float) -> None:
        """Add served work; below 0 corrects an earlier estimate.

        Parameters
        ----------
        customer : str
            Who was served, here or by a peer.
        work : float
            Work in the unit of all charges.
        weight : float
            The customer's share against the others' weights.
        """
        self._counters[customer] = max(self._virtual_time, self.of(customer) + work / weight)
        if len(self._counters) > MAX_COUNTERS:
            self._forget_idle()

    def _forget_idle(self) -> None:
        self._counters = {
            customer: counter
            for customer, counter in self._counters.items()
            if counter > self._virtual_time
        }


@dataclass(slots=True, order=True)
class _Entry(Generic[T]):
    priority: int
    number: int
    item: T = field(compare=False)
    work: float = field(compare=False)
    removed: bool = field(compare=False, default=False)


@dataclass(slots=True)
class _Backlog(Generic[T]):
    entries: list[_Entry[T]] = field(default_factory=list)
    waiting: int = 0
    work: float = 0.0
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Place(Generic[T]):
    """A place in the queue, by which it is given up."""

    customer: str
    entry: _Entry[T]


class FairQueue(Generic[T]):
    """Items that wait, taken by lowest virtual counter, then priority, then arrival.

    Parameters
    ----------
    counters : VirtualCounters
        Counters, shared with other queues.
    """

    def __init__(self, counters: VirtualCounters) -> None:
        self._counters = counters
        self._backlogs: dict[str, _Backlog[T]] = {}
        self._number = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self, customer: str) -> int:
        """Return the number of a customer's items."""
        backlog = self._backlogs.get(customer)
        return backlog.waiting if backlog else 0

    def work_ahead(self, customer: str, priority: int) -> float:
        """Return the work of a customer's items that go before a new one."""
        backlog = self._backlogs.get(customer)
        if backlog is None:
            return 0.0
        ahead = (entry for entry in backlog.entries if not entry.removed)
        return sum(entry.work for entry in ahead if entry.priority <= priority)

    def share(self, customer: str, weight: float) -> float:
        """Return the share of the service that a customer gets while all others wait."""
        others = sum(backlog.weight for name, backlog in self._backlogs.items() if name != customer)
        return weight / (weight + others)

    def push(
        self, customer: str, item: T, *, weight: float, work: float, priority: int
    ) -> Place[T]:
        """Queue an item.

        Parameters
        ----------
        customer : str
            Whose item it is.
        item : object
            What is returned by `pop`.
        weight : float
            The customer's share against the others' weights.
        work : float
            Estimated work, in the unit of the counters.
        priority : int
            Order within the customer's items; lower goes first.
        """
        self._number += 1
        entry = _Entry(priority, self._number, item, work)
        backlog = self._backlogs.setdefault(customer, _Backlog())
        backlog.weight = weight
        backlog.waiting += 1
        backlog.work += work
        heapq.heappush(backlog.entries, entry)
        self._length += 1
        return Place(customer, entry)

    def pop(self) -> T:
        """Remove and return the next item; its work is charged to its customer.

        Raises
        ------
        IndexError
            Nothing waits.
        """
        if not self._backlogs:
            raise IndexError("the queue is empty")
        customer = min(self._backlogs, key=self._counters.of)
        backlog = self._backlogs[customer]
        entry = heapq.heappop(backlog.entries)
        weight = backlog.weight
        self._note_removed(customer, backlog, entry)
        self._counters.advance(customer)
        self._counters.charge(customer, entry.work, weight)
        return entry.item

    def remove(self, place: Place[T]) -> None:
        """Give up a place; does nothing if the item is not waiting any more."""
        backlog = self._backlogs.get(place.customer)
        if backlog is None or place.entry.removed:
            return
        self._note_removed(place.customer, backlog, place.entry)

    def last_of_longest(self) -> Place[T] | None:
        """Return the last place of the customer with the most work for its weight."""
        if not self._backlogs:
            return None
        customer = max(
            self._backlogs, key=lambda name: self._backlogs[name].work / self._backlogs[name].weight
        )
        waiting = [entry for entry in self._backlogs[customer].entries if not entry.removed]
        return Place(customer, max(waiting))

    def _note_removed(self, customer: str, backlog: _Backlog[T], entry: _Entry[T]) -> None:
        entry.removed = True
        backlog.waiting -= 1
        backlog.work -= entry.work
        self._length -= 1
        while backlog.entries and backlog.entries[0].removed:
            heapq.heappop(backlog.entries)
        if not backlog.entries:
            del self._backlogs[customer]
