"""Floors: log positions that reads have to show.

A position that a proven leader showed to a question asked at time t covers every
commit that was acknowledged before t. A read that may be as old as `max_age` needs
such a position with t no earlier than its arrival less `max_age`; the upstream that
runs it is told the position and refuses if its log lacks it. So no clock of another
instance and no reported lag has to be right.
"""

from collections import deque
from dataclasses import dataclass

from gypsum_core.records import Position


@dataclass(frozen=True, slots=True, kw_only=True)
class Floor:
    """A position and the time of the question that it answered."""

    position: Position
    asked_at: float


class Floors:
    """The floors known for one group, in the order of their questions.

    `highest` is the last position that the leader showed at all, in a proof or with a
    commit: nothing that was acknowledged to us lies beyond it.
    """

    def __init__(self, *, retention):
        self.retention = retention
        self.known = deque()
        self.highest = None

    def add(self, position, asked_at):
        """Add what a proven leader showed to a question asked at `asked_at`."""
        known = self.known
        self.highest = later(self.highest, position)
        if known and known[-1].asked_at >= asked_at:
            return
        known.append(Floor(position=position, asked_at=asked_at))
        while known[0].asked_at < asked_at - self.retention:
            known.popleft()

    def clear(self):
        """Drop all: another upstream leads, and older tails may be rolled back.

        What goes wrong without it: reads ask for a position that no log will ever
        hold again, and every replica refuses them until the floor has aged out.
        """
        self.known.clear()
        self.highest = None

    def since(self, not_before):
        """The lowest floor asked for at or after a time, or None.

        The oldest that is allowed is taken: it lets the most replicas answer.
        """
        for floor in self.known:
            if floor.asked_at >= not_before:
                return floor
        return None

    @property
    def newest(self):
        """The newest floor, or None."""
        return self.known[-1] if self.known else None


def later(first, second):
    """The later of two positions, either of which may be None."""
    if first is None or second is None:
        return first or second
    return max(first, second)
