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
from gypsum_policy.replica_progress import LagBounds


@dataclass(frozen=True, slots=True, kw_only=True)
class Floor:
    """A log position and the time at which it was requested, in seconds."""

    position: Position
    asked_at: float


@dataclass(slots=True, kw_only=True)
class LogStep:
    """A position of the leader, and the first and last time it was the newest."""

    position: Position
    first_at: float
    last_at: float


class Floors:
    """The floors known for one group, ordered by `asked_at`.

    `retention` is how long floors are kept, seconds. `highest` is the highest position
    that the leader reported, in a proof or with a commit; no commit acknowledged to
    this daemon lies beyond it. `steps` are the different positions of the floors.
    """

    def __init__(self, *, retention):
        self.retention = retention
        self.known = deque()
        self.steps = deque()
        self.highest = None

    def add(self, position, asked_at):
        """Add the position that a proven leader reported to a request at `asked_at`."""
        known = self.known
        self.highest = later(self.highest, position)
        if known and known[-1].asked_at >= asked_at:
            return
        known.append(Floor(position=position, asked_at=asked_at))
        self.add_step(position, asked_at)
        while known[0].asked_at < asked_at - self.retention:
            known.popleft()
        while self.steps[0].last_at < asked_at - self.retention:
            self.steps.popleft()

    def add_step(self, position, asked_at):
        """Add a position to the steps, or extend the last one."""
        if not self.steps or position > self.steps[-1].position:
            step = LogStep(position=position, first_at=asked_at, last_at=asked_at)
            self.steps.append(step)
        else:
            self.steps[-1].last_at = asked_at

    def reached_at(self, position):
        """When the leader's log reached a position, as far as its floors tell.

        Between two known positions the time is interpolated, as other daemons' commits
        are not seen here. None if the position lies beyond all floors.
        """
        if not self.steps or self.steps[-1].position < position:
            return None
        after = self.steps[-1]
        for step in reversed(self.steps):
            if step.position < position:
                passed = position.index - step.position.index
                share = passed / max(1, after.position.index - step.position.index)
                return step.last_at + min(1.0, share) * (after.first_at - step.last_at)
            after = step
        return after.first_at

    def expected_reached_at(self, position, now):
        """When the leader probably reached a position.

        One beyond all floors was reached since the last one: another daemon passed on
        its commit. On average that was halfway.
        """
        if position is None or not self.steps:
            return now
        reached = self.reached_at(position)
        return (self.steps[-1].last_at + now) / 2 if reached is None else reached

    def lag_bounds(self, position, asked_at, answered_at):
        """Bounds of the lag of a replica that showed a position in an answer."""
        reached = self.reached_at(position)
        following = self.reached_at(
            Position(term=position.term, index=position.index + 1)
        )
        return LagBounds(
            least=None if following is None else asked_at - following,
            greatest=None if reached is None else max(0.0, answered_at - reached),
        )

    def clear(self):
        """Drop all floors because another upstream leads now.

        The end of the old leader's log may be rolled back. Reads would then require a
        position that no log will ever hold again, and every replica would refuse them
        until the floor expired.
        """
        self.known.clear()
        self.steps.clear()
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
