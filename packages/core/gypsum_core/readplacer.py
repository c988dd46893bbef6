"""Choice of the upstreams that may serve a read, and of the fastest of them."""

from dataclasses import dataclass, field
from enum import StrEnum

from gypsum_core.records import Reason


class Place(StrEnum):
    """Where a read goes, or what it waits for.

    ROUND waits for a round of statuses, CATCH_UP for a replica to apply more of
    the log, STUCK for a primary.
    """

    REPLICA = "replica"
    PRIMARY = "primary"
    ROUND = "round"
    CATCH_UP = "catch_up"
    STUCK = "stuck"


CATCH_UP_STEP = f"wait_{Place.CATCH_UP}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where a read goes; `upstreams` are the eligible replicas."""

    place: Place
    upstreams: tuple[str, ...] = ()
    why: Reason | None = None


@dataclass(slots=True, kw_only=True)
class ReadCounts:
    """Number of reads served by replicas, and by the primary with reasons."""

    replica: int = 0
    primary: int = 0
    why: dict[str, int] = field(default_factory=dict)

    def record(self, job, upstream, primary):
        """Count a served read."""
        if upstream != primary:
            self.replica += 1
            return
        self.primary += 1
        why = job.primary_reason or Reason.NO_PRIMARY
        self.why[why] = self.why.get(why, 0) + 1


class ReadPlacer:
    """Places reads on upstreams that are proven to be fresh enough."""

    def __init__(self, *, ctx, view, failover, recent_writers, loads, leaving):
        self.ctx = ctx
        self.view = view
        self.failover = failover
        self.recent_writers = recent_writers
        self.loads = loads
        self.leaving = leaving
        self.counts = ReadCounts()

    def recent_writes_known(self, job, claimed):
        """Return whether the recent writers' table is complete for this read.

        True if at some time after the read arrived the group's claim still named
        this daemon and no newer primary had acknowledged a write.
        """
        return claimed and self.view.verified_until() >= job.arrived

    def floor(self, job):
        """Return the log position that the answer must reflect."""
        if job.request.session is not None:
            return job.request.session
        return self.recent_writers.required_position(job.caller)

    def is_fresh(self, job, upstream):
        """Return whether an upstream's data is proven to be within the maximum age."""
        as_of = self.view.as_of(upstream)
        if as_of >= job.arrived:
            return True
        if job.request.current:
            return False
        age = self.ctx.now + self.ctx.tuning.route_margin - as_of
        return age * 1000 <= job.kind.max_age_ms

    def place(self, job, claimed):
        """Return the placement of a read by the current group view."""
        needs_recent_writes = job.request.session is None
        if needs_recent_writes and not self.recent_writes_known(job, claimed):
            return Placement(place=Place.ROUND)
        floor = self.floor(job)
        usable = self.usable_replicas()
        eligible = tuple(
            name
            for name in usable
            if self.view.status(name).visible.covers(floor) and self.is_fresh(job, name)
        )
        if eligible:
            return Placement(place=Place.REPLICA, upstreams=eligible)
        if self.replica_catches_up_soon(job, usable, floor):
            return Placement(place=Place.CATCH_UP)
        return self.place_primary(job, floor)

    def place_primary(self, job, floor):
        """Place a read on the primary if that is proven to be current."""
        why = Reason.REPLICAS_BEHIND
        primary = self.view.primary
        if primary is None or self.view.term < floor.term:
            return Placement(place=Place.STUCK, why=Reason.NO_PRIMARY)
        if not self.is_fresh(job, primary):
            return Placement(place=Place.ROUND, why=why)
        return Placement(place=Place.PRIMARY, why=why)

    def usable_replicas(self):
        """Return replicas that answer, follow the current term and are not leaving."""
        return [
            name
            for name in self.view.upstreams
            if name != self.view.primary
            and self.view.status(name) is not None
            and self.view.status(name).log_term == self.view.term
            and self.failover.accepts_work(name)
            and not self.leaving(name)
        ]

    def replica_catches_up_soon(self, job, usable, floor):
        """Return whether a replica is expected to reach the read's position soon.

        A write at time t is visible at a replica with lag l at about t + l. Without
        the wait, reads would go to the primary although a replica lacks little, or
        has caught up since its last status.
        """
        if job.waited_for_replica or job.kind.max_age_ms <= 0:
            return False
        wait = self.ctx.tuning.replica_wait
        if job.request.deadline - self.ctx.now < 4 * wait:
            return False
        written_at = self.view.log_samples.earliest_at_least(floor.index, self.ctx.now)
        ready = (written_at + self.view.lag(name) for name in usable)
        return min(ready, default=float("inf")) <= self.ctx.now + wait

    def fastest(self, upstreams):
        """Return the replica with a free slot and the least expected delay, or None."""
        free = [name for name in upstreams if self.loads[name].free_slots]
        return min(
            free, key=lambda name: (self.loads[name].expected_delay, name), default=None
        )
