"""Weighted fair queue over customers.

Start-time fair queueing: each customer has a virtual counter, its served work
divided by its weight. The waiting customer with the lowest counter is served
next, and the virtual time is the counter of the customer served last. The
counter of a customer never counts as lower than the virtual time, so that a
customer gains no credit while it is idle.
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
        """Counter of the customer that was served last; never decreases."""
        return self._virtual_time

    def value(self, customer: str) -> float:
        """Return a customer's counter, at least the virtual time."""
        return max(self._virtual_time, self._counters.get(customer, 0.0))

    def advance_virtual_time(self, customer: str) -> None:
        """Set the virtual time to the counter of the customer that is served next."""
        self._virtual_time = self.value(customer)

    def charge(self, customer: str, work: float, weight: float) -> None:
        """Add served work to a customer's counter.

        Parameters
        ----------
        customer : str
            Customer that was served by this host or a peer.
        work : float
            Served work; negative to correct an earlier estimate.
        weight : float
            Weight of the customer relative to the other customers.
        """
        self._counters[customer] = max(self._virtual_time, self.value(customer) + work / weight)
        if len(self._counters) > MAX_COUNTERS:
            self._evict_idle()

    def _evict_idle(self) -> None:
        self._counters = {
            customer: counter
            for customer, counter in self._counters.items()
            if counter > self._virtual_time
        }


@dataclass(slots=True, order=True)
class _Entry(Generic[T]):
    priority: int
    sequence_number: int
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
class QueueHandle(Generic[T]):
    """Handle of a queued item, by which it is removed from the queue."""

    customer: str
    entry: _Entry[T]


class FairQueue(Generic[T]):
    """Queue ordered by virtual counter of the customer, then priority, then arrival.

    Parameters
    ----------
    counters : VirtualCounters
        Virtual counters, shared with the queues of other models.
    """

    def __init__(self, counters: VirtualCounters) -> None:
        self._counters = counters
        self._backlogs: dict[str, _Backlog[T]] = {}
        self._last_sequence_number = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self, customer: str) -> int:
        """Return the number of a customer's queued items."""
        backlog = self._backlogs.get(customer)
        return backlog.waiting if backlog else 0

    def work_ahead(self, customer: str, priority: int) -> float:
        """Return the queued work of a customer that is served before a new item."""
        backlog = self._backlogs.get(customer)
        if backlog is None:
            return 0.0
        queued = (entry for entry in backlog.entries if not entry.removed)
        return sum(entry.work for entry in queued if entry.priority <= priority)

    def service_share(self, customer: str, weight: float) -> float:
        """Return the fraction of the service that a customer gets while all others wait."""
        other_weights = sum(
            backlog.weight for name, backlog in self._backlogs.items() if name != customer
        )
        return weight / (weight + other_weights)

    def push(
        self, customer: str, item: T, *, weight: float, work: float, priority: int
    ) -> QueueHandle[T]:
        """Add an item to the queue.

        Parameters
        ----------
        customer : str
            Customer that the item belongs to.
        item : object
            Item that `pop` returns.
        weight : float
            Weight of the customer relative to the other customers.
        work : float
            Estimated work, in the unit of the counters.
        priority : int
            Order within the customer's items; lower is served first.
        """
        self._last_sequence_number += 1
        entry = _Entry(priority, self._last_sequence_number, item, work)
        backlog = self._backlogs.setdefault(customer, _Backlog())
        backlog.weight = weight
        backlog.waiting += 1
        backlog.work += work
        heapq.heappush(backlog.entries, entry)
        self._length += 1
        return QueueHandle(customer, entry)

    def pop(self) -> T:
        """Remove and return the next item, and charge its work to its customer.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        if not self._backlogs:
            raise IndexError("the queue is empty")
        customer = min(self._backlogs, key=self._counters.value)
        backlog = self._backlogs[customer]
        entry = heapq.heappop(backlog.entries)
        weight = backlog.weight
        self._record_removal(customer, backlog, entry)
        self._counters.advance_virtual_time(customer)
        self._counters.charge(customer, entry.work, weight)
        return entry.item

    def remove(self, handle: QueueHandle[T]) -> None:
        """Remove an item; does nothing if it is no longer queued."""
        backlog = self._backlogs.get(handle.customer)
        if backlog is None or handle.entry.removed:
            return
        self._record_removal(handle.customer, backlog, handle.entry)

    def last_of_largest_backlog(self) -> QueueHandle[T] | None:
        """Return the last item of the customer with the most queued work per weight."""
        if not self._backlogs:
            return None
        customer = max(
            self._backlogs, key=lambda name: self._backlogs[name].work / self._backlogs[name].weight
        )
        waiting = [entry for entry in self._backlogs[customer].entries if not entry.removed]
        return QueueHandle(customer, max(waiting))

    def _record_removal(self, customer: str, backlog: _Backlog[T], entry: _Entry[T]) -> None:
        entry.removed = True
        backlog.waiting -= 1
        backlog.work -= entry.work
        self._length -= 1
        while backlog.entries and backlog.entries[0].removed:
            heapq.heappop(backlog.entries)
        if not backlog.entries:
            del self._backlogs[customer]
