"""The observed state of a database group, and the guarantees derived from it.

All guarantees are derived from responses and the times their requests were sent,
on this daemon's own monotonic clock: no clocks are compared between machines.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from gypsum_core.records import Position, Status


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusSample:
    """A status with the time its request was sent."""

    status: Status
    sent_at: float


@dataclass(slots=True, kw_only=True)
class LogSamples:
    """Observations of the primary's log: at time `times[i]` index was `indexes[i]`.

    An index read by a request sent at t is at least the index of every write
    committed before t. So a replica that has applied it shows all of those.
    """

    limit: int
    times: list[float]
    indexes: list[int]

    def add(self, *, sent_at, index):
        """Add an observation and remove those that it supersedes."""
        while self.times and self.times[-1] <= sent_at and self.indexes[-1] >= index:
            self.times.pop()
            self.indexes.pop()
        if self.times and self.times[-1] >= sent_at:
            return
        self.times.append(sent_at)
        self.indexes.append(index)
        if len(self.times) > self.limit:
            self.downsample()

    def downsample(self):
        """Drop every second one of the older half; ages can only become larger."""
        half = len(self.times) // 2
        self.times = self.times[:half:2] + self.times[half:]
        self.indexes = self.indexes[:half:2] + self.indexes[half:]

    def latest_covered(self, index):
        """The latest observation time whose index is at most `index`, or None."""
        pos = bisect_right(self.indexes, index)
        return self.times[pos - 1] if pos else None

    def earliest_at_least(self, index, now):
        """The first observation time whose index is at least `index`, or `now`."""
        pos = bisect_left(self.indexes, index)
        return self.times[pos] if pos < len(self.times) else now


class GroupView:
    """Statuses of one group, its primary, and freshness guarantees."""

    def __init__(self, *, upstreams, majority, sample_limit):
        self.upstreams = tuple(upstreams)
        self.majority = majority
        self.sample_limit = sample_limit
        self.samples = {}
        self.primary = None
        self.term = 0
        self.log_samples = LogSamples(limit=sample_limit, times=[], indexes=[])
        self.as_of_cache = {}

    @property
    def highest_term(self):
        """The highest term that any member promised."""
        return max(
            (
                max(sample.status.promised, sample.status.log_term)
                for sample in self.all_samples()
            ),
            default=0,
        )

    def all_samples(self):
        """The last status of each upstream, with its request time."""
        return self.samples.values()

    def update_status(self, status, *, sent_at):
        """Store a status; return whether the primary or its term changed.

        An answer to an older request is dropped: it may arrive late and show a
        log end that has since been discarded.
        """
        known = self.samples.get(status.upstream)
        if known and known.sent_at > sent_at:
            return False
        self.samples[status.upstream] = StatusSample(status=status, sent_at=sent_at)
        self.as_of_cache.clear()
        changed = self.update_primary()
        if status.upstream == self.primary and status.promised == self.term:
            self.log_samples.add(sent_at=sent_at, index=status.received)
        return changed

    def record_log_end(self, *, sent_at, position, by):
        """Record the log end that a write's answer carried."""
        if by == self.primary and position.term == self.term:
            self.log_samples.add(sent_at=sent_at, index=position.index)
            self.as_of_cache.clear()

    def update_primary(self):
        """Find the primary of the highest term; None if that term has none."""
        leaders = [
            sample.status
            for sample in self.all_samples()
            if sample.status.primary
            and sample.status.promised == sample.status.log_term
        ]
        best = max(leaders, key=lambda status: status.promised, default=None)
        if best is not None and best.promised < self.highest_term:
            best = None
        primary = best.upstream if best else None
        term = best.promised if best else self.term
        if primary == self.primary and term == self.term:
            return False
        if term != self.term:
            self.log_samples = LogSamples(limit=self.sample_limit, times=[], indexes=[])
        self.primary = primary
        self.term = term
        return True

    def remove_status(self, upstream):
        """Drop the status of an upstream that no longer answers."""
        self.samples.pop(upstream, None)
        self.as_of_cache.clear()

    def status(self, upstream):
        """The last status of an upstream, or None."""
        sample = self.samples.get(upstream)
        return sample.status if sample else None

    def status_sent_at(self, upstream):
        """When the request for the last status was sent; -inf if there is none."""
        sample = self.samples.get(upstream)
        return sample.sent_at if sample else float("-inf")

    def verified_until(self):
        """Time until which no other primary can have acknowledged a write.

        A majority that had promised nothing above our term at time t rules out
        a newer primary's acknowledgements before t, since those need a majority.
        """
        if self.primary is None:
            return float("-inf")
        times = sorted(
            (
                sample.sent_at
                for sample in self.all_samples()
                if sample.status.promised == self.term
                and sample.status.upstream != self.primary
            ),
            reverse=True,
        )
        needed = self.majority - 1
        if needed == 0:
            return self.status_sent_at(self.primary)
        if len(times) < needed:
            return float("-inf")
        return min(self.status_sent_at(self.primary), times[needed - 1])

    def as_of(self, upstream):
        """The latest time before which this upstream shows every acknowledged write.

        Used several times for each read, so it is cached until the next status.
        """
        if upstream not in self.as_of_cache:
            self.as_of_cache[upstream] = self.compute_as_of(upstream)
        return self.as_of_cache[upstream]

    def compute_as_of(self, upstream):
        """Compute `as_of` from the statuses; -inf if nothing is guaranteed."""
        verified = self.verified_until()
        if upstream == self.primary:
            return verified
        status = self.status(upstream)
        if status is None or status.log_term != self.term:
            return float("-inf")
        covered = self.log_samples.latest_covered(status.applied)
        if covered is None:
            return float("-inf")
        return min(covered, verified)

    def lag(self, upstream):
        """Age in seconds of the oldest write that a replica lacked when last seen.

        An estimate, used only for waiting. It counts from the first observation that
        the replica lacks; counting from the last one that it has would add the time
        between two observations, half a second in an idle group.
        """
        status = self.status(upstream)
        if status is None:
            return float("inf")
        sent_at = self.status_sent_at(upstream)
        lacked_since = self.log_samples.earliest_at_least(status.applied + 1, sent_at)
        return max(0.0, sent_at - lacked_since)

    def is_confirmed(self, position, *, by):
        """Return whether a majority at exactly this term holds a position.

        `by` is the upstream that reported the position, itself one holder.
        Members that promised a higher term do not count: they may have been
        asked for their log end before the entry reached them.
        """
        holders = {
            sample.status.upstream
            for sample in self.all_samples()
            if sample.status.promised == position.term
            and sample.status.log_term == position.term
            and sample.status.received >= position.index
        }
        holders.add(by)
        return len(holders) >= self.majority

    def log_end(self):
        """The primary's last known log end; index 0 if unknown."""
        status = self.status(self.primary) if self.primary else None
        return status.log_end if status else Position(term=self.term, index=0)
