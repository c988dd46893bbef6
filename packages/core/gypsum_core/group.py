"""What a home knows of a database group, and what that knowledge proves.

Everything is proved from answers and the time their question was sent, on this
daemon's own monotonic clock: no clocks are compared between machines.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from gypsum_core.records import Position, Status


@dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """A status with the time its question was sent."""

    status: Status
    sent_at: float


@dataclass(slots=True, kw_only=True)
class Marks:
    """Observations of the primary's log: at time `times[i]` index was `indexes[i]`.

    An index read by a question sent at t is at least the index of every write
    committed before t. So a replica that has applied it shows all of those.
    """

    limit: int
    times: list[float]
    indexes: list[int]

    def add(self, *, sent_at, index):
        """Add an observation; dominated ones go."""
        while self.times and self.times[-1] <= sent_at and self.indexes[-1] >= index:
            self.times.pop()
            self.indexes.pop()
        if self.times and self.times[-1] >= sent_at:
            return
        self.times.append(sent_at)
        self.indexes.append(index)
        if len(self.times) > self.limit:
            self.thin()

    def thin(self):
        """Forget every second old observation: ages only grow by that."""
        half = len(self.times) // 2
        self.times = self.times[:half:2] + self.times[half:]
        self.indexes = self.indexes[:half:2] + self.indexes[half:]

    def latest_covered(self, index):
        """The latest observation time whose index is at most `index`, or None."""
        place = bisect_right(self.indexes, index)
        return self.times[place - 1] if place else None

    def earliest_at_least(self, index, now):
        """The first observation time whose index is at least `index`, or `now`."""
        place = bisect_left(self.indexes, index)
        return self.times[place] if place < len(self.times) else now


class GroupView:
    """Statuses of one group, its primary, and proofs about freshness."""

    def __init__(self, *, upstreams, majority, marks):
        self.upstreams = tuple(upstreams)
        self.majority = majority
        self.marks_limit = marks
        self.seen = {}
        self.primary = None
        self.term = 0
        self.marks = Marks(limit=marks, times=[], indexes=[])
        self.proved = {}

    @property
    def highest_term(self):
        """The highest term that any member promised."""
        return max(
            (max(seen.status.promised, seen.status.log_term) for seen in self.all()),
            default=0,
        )

    def all(self):
        """All statuses seen."""
        return self.seen.values()

    def learn(self, status, *, sent_at):
        """Take in a status; tell whether the primary or its term changed.

        An answer to an older question is dropped: it may come late and show a
        log end that has since been discarded.
        """
        known = self.seen.get(status.upstream)
        if known and known.sent_at > sent_at:
            return False
        self.seen[status.upstream] = Seen(status=status, sent_at=sent_at)
        self.proved.clear()
        changed = self.choose_primary()
        if status.upstream == self.primary and status.promised == self.term:
            self.marks.add(sent_at=sent_at, index=status.received)
        return changed

    def observed(self, *, sent_at, position, by):
        """Take in a log end that a write's answer carried."""
        if by == self.primary and position.term == self.term:
            self.marks.add(sent_at=sent_at, index=position.index)
            self.proved.clear()

    def choose_primary(self):
        """Find the primary of the highest term; None if that term has none."""
        leaders = [
            seen.status
            for seen in self.all()
            if seen.status.primary and seen.status.promised == seen.status.log_term
        ]
        best = max(leaders, key=lambda status: status.promised, default=None)
        if best is not None and best.promised < self.highest_term:
            best = None
        primary = best.upstream if best else None
        term = best.promised if best else self.term
        if primary == self.primary and term == self.term:
            return False
        if term != self.term:
            self.marks = Marks(limit=self.marks_limit, times=[], indexes=[])
        self.primary = primary
        self.term = term
        return True

    def forget(self, upstream):
        """Drop what is known of an upstream that answers no longer."""
        self.seen.pop(upstream, None)
        self.proved.clear()

    def status(self, upstream):
        """The last status of an upstream, or None."""
        seen = self.seen.get(upstream)
        return seen.status if seen else None

    def seen_at(self, upstream):
        """When the question behind the last status was sent."""
        seen = self.seen.get(upstream)
        return seen.sent_at if seen else float("-inf")

    def verified_at(self):
        """Until when it is proved that no other primary acknowledged a write.

        A majority that had promised nothing above our term at time t rules out
        a newer primary's acknowledgements before t, since those need a majority.
        """
        if self.primary is None:
            return float("-inf")
        times = sorted(
            (
                seen.sent_at
                for seen in self.all()
                if seen.status.promised == self.term
                and seen.status.upstream != self.primary
            ),
            reverse=True,
        )
        needed = self.majority - 1
        if needed == 0:
            return self.seen_at(self.primary)
        if len(times) < needed:
            return float("-inf")
        return min(self.seen_at(self.primary), times[needed - 1])

    def as_of(self, upstream):
        """The latest time before which this upstream shows every acknowledged write.

        Asked several times for each read, proved once for each new status.
        """
        if upstream not in self.proved:
            self.proved[upstream] = self.prove(upstream)
        return self.proved[upstream]

    def prove(self, upstream):
        """Work out what the statuses prove of an upstream's data."""
        verified = self.verified_at()
        if upstream == self.primary:
            return verified
        status = self.status(upstream)
        if status is None or status.log_term != self.term:
            return float("-inf")
        covered = self.marks.latest_covered(status.applied)
        if covered is None:
            return float("-inf")
        return min(covered, verified)

    def lag(self, upstream):
        """Seconds since what a replica lacked when last seen had been written.

        An estimate, for waiting only: it counts from the first observation that the
        replica lacks. Counting from the last one that it has would add the time
        between two observations, half a second in a quiet group.
        """
        status = self.status(upstream)
        if status is None:
            return float("inf")
        seen_at = self.seen_at(upstream)
        lacked_since = self.marks.earliest_at_least(status.applied + 1, seen_at)
        return max(0.0, seen_at - lacked_since)

    def confirmed(self, position, *, by):
        """Tell whether a majority of this very term holds a position.

        `by` is the upstream that reported the position, itself one holder.
        Members that promised a higher term do not count: they may have been
        asked for their log end before the entry reached them.
        """
        holders = {
            seen.status.upstream
            for seen in self.all()
            if seen.status.promised == position.term
            and seen.status.log_term == position.term
            and seen.status.received >= position.index
        }
        holders.add(by)
        return len(holders) >= self.majority

    def end(self):
        """The primary's last known log end."""
        status = self.status(self.primary) if self.primary else None
        return status.log_end if status else Position(term=self.term, index=0)
