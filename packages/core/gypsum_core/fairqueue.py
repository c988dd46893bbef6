"""Weighted fair queue: members share by weight, worth orders within a member."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from typing import Any


@dataclass(slots=True, kw_only=True)
class Line:
    """One member's waiting requests and its place in virtual time."""

    heap: list
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
            line = self.lines[member] = Line(heap=[])
        if not line.heap:
            line.finish = max(line.finish, self.clock)
        self.sequence += 1
        heappush(line.heap, (-worth, deadline, self.sequence, item))
        self.size += 1

    def pop(self) -> Any:
        """Take the next item; None when the queue is empty."""
        member = self.next_member()
        if member is None:
            return None
        line = self.lines[member]
        item = heappop(line.heap)[-1]
        self.clock = line.finish
        line.finish += 1.0 / self.weights.get(member, 1.0)
        self.size -= 1
        if not line.heap and line.finish <= self.clock:
            del self.lines[member]
        return item

    def next_member(self):
        """The waiting member with the smallest tag."""
        waiting = [member for member, line in self.lines.items() if line.heap]
        return min(waiting, key=lambda name: self.lines[name].finish, default=None)

    def waiting(self, member):
        """How many of a member's items wait."""
        line = self.lines.get(member)
        return len(line.heap) if line else 0

    def remove_if(self, test):
        """Take out and return all items that pass a test."""
        taken = []
        for line in self.lines.values():
            out = [entry for entry in line.heap if test(entry[-1])]
            if not out:
                continue
            line.heap = [entry for entry in line.heap if not test(entry[-1])]
            heapify(line.heap)
            taken.extend(entry[-1] for entry in out)
        self.size -= len(taken)
        return taken
