"""Read floors: log positions that the result of a read must reflect.

If a proven leader reports a position in answer to a request sent at time t, that
position covers every commit acknowledged before t. A read with a staleness bound of
`max_age` needs a floor with t no earlier than the read's arrival minus `max_age`. The
upstream that runs the read is sent the position and refuses if its log lacks it.
Freshness therefore depends on no other instance's clock and on no reported lag.
"""

from collections import deque
from dataclasses import dataclass

from gypsum_core.position import Position


@dataclass(frozen=True, slots=True, kw_only=True)
class Floor:
    """A log position and the time at which it was requested, in seconds."""

    position: Position
    asked_at: float


class Floors:
    """The floors known for one group, ordered by `asked_at`.

    `retention` is how long floors are kept, seconds. `highest` is the highest position
    that the leader reported, in a proof or with a commit; no commit acknowledged to
    this daemon lies beyond it.
    """

    def __init__(self, *, retention):
        self.retention = retention
        self.known = deque()
        self.highest = None

    def add(self, position, asked_at):
        """Add the position that a proven leader reported to a request at `asked_at`."""
        known = self.known
        self.highest = later(self.highest, position)
        if known and known[-1].asked_at >= asked_at:
            return
        known.append(Floor(position=position, asked_at=asked_at))
        while known[0].asked_at < asked_at - self.retention:
            known.popleft()

    def clear(self):
        """Drop all floors because another upstream leads now.

        The end of the old leader's log may be rolled back. Reads would then require a
        position that no log will ever hold again, and every replica would refuse them
        until the floor expired.
        """
        self.known.clear()
        self.highest = None

    def since(self, not_before):
        """The oldest floor asked for at or after `not_before`, or None.

        The oldest floor allowed is the lowest position, so the most replicas can serve
        the read.
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
