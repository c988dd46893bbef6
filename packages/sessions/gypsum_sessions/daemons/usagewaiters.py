"""Operations that wait for a grant at one daemon, and their outcomes."""

import asyncio
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class OutcomeCounts:
    """Numbers of operations granted and refused at this daemon.

    `booked` are those granted to begin later.
    """

    granted: int = 0
    booked: int = 0
    refused: int = 0

    def add(self, other):
        """Add the numbers of another workspace."""
        self.granted += other.granted
        self.booked += other.booked
        self.refused += other.refused


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Whether an operation may begin, and after how many seconds.

    If it may not, its caller should return after `wait`.
    """

    granted: bool
    wait: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Waiter:
    """An operation that waits for a grant; it may wait `patience` seconds to begin."""

    priority: int
    target_time: float
    patience: float
    fut: asyncio.Future

    def resolve(self, verdict):
        """Report the verdict, unless the caller has left."""
        if not self.fut.done():
            self.fut.set_result(verdict)


def waiting_by_priority(waiters):
    """How many operations of each priority wait, and how long each may wait."""
    groups = {}
    for waiter in waiters:
        groups.setdefault(waiter.priority, []).append(waiter)
    return tuple(
        (priority, len(group), min(waiter.patience for waiter in group))
        for priority, group in groups.items()
    )
