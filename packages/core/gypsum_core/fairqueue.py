"""Weighted fair queue: members share by weight, worth orders within a member."""

from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedList


@dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """One waiting item in the order in which its member wants it served."""

    cost: float
    deadline: float
    sequence: int
    item: Any = field(compare=False)


@dataclass(slots=True, kw_only=True)
class Line:
    """One member's waiting items and its place in virtual time."""

    items: SortedList
    finish: float = 0.0


class FairQueue:
    """Start-time fair queueing over members.

    What goes wrong without it: one member's flood stands in front of everyone,
    and the others' waiting time grows with the flood. Here each dequeue charges
    the member 1/weight of virtual time and the member with the smallest tag goes
    next, so another member waits at most for its own share.
    """

    def __init__(self, *, weights):
        self.weights = weights
        self.lines = {}
        self.clock = 0.0
        self.sequence = 0
        self.size = 0

    def __len__(self):
        return self.size

    def push(self, item, *, member, worth, deadline):
        """Add an item; higher worth first, then the earlier deadline."""
        line = self.lines.get(member)
        if line is None:
            line = self.lines[member] = Line(items=SortedList())
        if not line.items:
            line.finish = max(line.finish, self.clock)
        self.sequence += 1
        line.items.add(Waiting(-worth, deadline, self.sequence, item))
        self.size += 1

    def pop(self) -> Any:
        """Take the next item; None when the queue is empty."""
        if not self.size:
            return None
        member = self.next_member()
        line = self.lines[member]
        item = line.items.pop(0).item
        self.clock = line.finish
        line.finish += 1.0 / self.weights.get(member, 1.0)
        self.size -= 1
        return item

    def next_member(self):
        """The waiting member with the smallest tag."""
        waiting = [member for member, line in self.lines.items() if line.items]
        return min(waiting, key=lambda name: self.lines[name].finish, default=None)

    def share(self, member):
        """The part of the service that a member gets while it waits."""
        rivals = {name for name, line in self.lines.items() if line.items}
        rivals.add(member)
        total = sum(self.weights.get(name, 1.0) for name in rivals)
        return self.weights.get(member, 1.0) / total

    def ahead_of(self, member, *, worth, deadline):
        """How many of a member's items would be served before a new one."""
        line = self.lines.get(member)
        if line is None:
            return 0
        return line.items.bisect_right(Waiting(-worth, deadline, self.sequence, None))

    def last(self, member):
        """The item of a member that is served last, or None."""
        line = self.lines.get(member)
        return line.items[-1].item if line and line.items else None

    def waiting(self, member):
        """How many of a member's items wait."""
        line = self.lines.get(member)
        return len(line.items) if line else 0

    def drop_last(self, member):
        """Take out the item of a member that is served last."""
        self.size -= 1
        return self.lines[member].items.pop().item

    def remove_if(self, test):
        """Take out and return all items that pass a test."""
        taken = []
        for line in self.lines.values():
            out = [entry for entry in line.items if test(entry.item)]
            for entry in out:
                line.items.remove(entry)
                taken.append(entry.item)
        self.size -= len(taken)
        return taken
