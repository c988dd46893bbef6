"""Weighted fair queue over members; items of one member are ordered by worth."""

from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedList


@dataclass(frozen=True, slots=True, order=True)
class QueuedItem:
    """A queued item; items of a member sort by worth, deadline and arrival."""

    negated_worth: float
    deadline: float
    sequence: int
    item: Any = field(compare=False)


@dataclass(slots=True, kw_only=True)
class MemberQueue:
    """One member's queued items and its finish tag in virtual time."""

    items: SortedList
    finish_tag: float = 0.0


class FairQueue:
    """Start-time fair queueing over members.

    With a single queue, a burst of one member would delay all others by its length.
    Here each dequeue charges the member 1/weight of virtual time, and the member
    with the smallest tag is served next, so the delay of a member depends on its
    own share only.
    """

    def __init__(self, *, weights):
        self.weights = weights
        self.queues = {}
        self.virtual_time = 0.0
        self.sequence = 0
        self.size = 0

    def __len__(self):
        return self.size

    def push(self, item, *, member, worth, deadline):
        """Add an item; higher worth first, then the earlier deadline."""
        queue = self.queues.get(member)
        if queue is None:
            queue = self.queues[member] = MemberQueue(items=SortedList())
        if not queue.items:
            queue.finish_tag = max(queue.finish_tag, self.virtual_time)
        self.sequence += 1
        queue.items.add(QueuedItem(-worth, deadline, self.sequence, item))
        self.size += 1

    def pop(self) -> Any:
        """Take the next item; None when the queue is empty."""
        if not self.size:
            return None
        member = self.next_member()
        queue = self.queues[member]
        item = queue.items.pop(0).item
        self.virtual_time = queue.finish_tag
        queue.finish_tag += 1.0 / self.weights.get(member, 1.0)
        self.size -= 1
        return item

    def next_member(self):
        """Return the member with queued items and the smallest finish tag."""
        backlogged = [member for member, queue in self.queues.items() if queue.items]
        return min(
            backlogged, key=lambda name: self.queues[name].finish_tag, default=None
        )

    def share(self, member):
        """Return the fraction of the service that a member gets while it has items."""
        competing = {name for name, queue in self.queues.items() if queue.items}
        competing.add(member)
        total = sum(self.weights.get(name, 1.0) for name in competing)
        return self.weights.get(member, 1.0) / total

    def count_ahead(self, member, *, worth, deadline):
        """Return how many of a member's items would be served before a new one."""
        queue = self.queues.get(member)
        if queue is None:
            return 0
        return queue.items.bisect_right(
            QueuedItem(-worth, deadline, self.sequence, None)
        )

    def last(self, member):
        """Return the item that a member would be served last, or None."""
        queue = self.queues.get(member)
        return queue.items[-1].item if queue and queue.items else None

    def queued(self, member):
        """Return the number of a member's queued items."""
        queue = self.queues.get(member)
        return len(queue.items) if queue else 0

    def pop_last(self, member):
        """Remove and return the item that a member would be served last."""
        self.size -= 1
        return self.queues[member].items.pop().item

    def remove_if(self, predicate):
        """Remove and return all items for which the predicate holds."""
        removed = []
        for queue in self.queues.values():
            matching = [entry for entry in queue.items if predicate(entry.item)]
            for entry in matching:
                queue.items.remove(entry)
                removed.append(entry.item)
        self.size -= len(removed)
        return removed
