"""A database group as this daemon works with it."""

from dataclasses import dataclass

from gypsum_policy.concurrency import (
    concurrency_limit,
    greatest_limit,
    least_limit,
    queue_goal,
)
from gypsum_policy.leaving import work_ends_at
from gypsum_policy.ownership import share_after_start
from gypsum_policy.promotion import may_lack_commits
from gypsum_policy.reachability import UNREACHABLE_AFTER
from gypsum_policy.revisions import format_revision
from gypsum_policy.routing import Candidate
from gypsum_sessions.catalog import Catalog
from gypsum_sessions.daemons.registry import DaemonRegistry
from gypsum_sessions.execution.admission import AdmissionQueue
from gypsum_sessions.execution.jobs import ServedBy
from gypsum_sessions.interfaces import Clock, Dialer, EventLog
from gypsum_sessions.takeover.floors import Floors
from gypsum_sessions.takeover.leader import LeaderWatch
from gypsum_sessions.takeover.lease_reader import LeaseReader
from gypsum_sessions.takeover.lease_view import LeaseView
from gypsum_sessions.takeover.stall import WriteStallDetector
from gypsum_sessions.tuning import SessionTuning
from gypsum_sessions.upstreams.pool import ConnPool
from gypsum_sessions.upstreams.recorder import MemberRecorder
from gypsum_sessions.upstreams.upstream import Upstream

PART = "group"


@dataclass(slots=True, kw_only=True)
class GroupContext:
    """Dependencies and settings that all groups of a daemon share.

    `domain` is this daemon's failure domain. `daemons` knows how many daemons share the
    upstreams' connections. `drain_seconds` is how long a leaving upstream may still be
    sent work; new settings may change it. `started_at` is when this daemon started.
    `catalog` holds the configuration in force, `recorder` the groups' members on
    record.
    """

    clock: Clock
    dialer: Dialer
    tuning: SessionTuning
    log: EventLog
    domain: str
    daemons: DaemonRegistry
    lease_view: LeaseView
    lease_reader: LeaseReader
    drain_seconds: float
    started_at: float
    catalog: Catalog
    recorder: MemberRecorder


class Group:
    """Upstreams, read floors and leader of one group."""

    def __init__(self, *, spec, context):
        self.spec = spec
        self.context = context
        self.upstreams = {}
        self.departed_at = {}
        self.tasks = set()
        self.stall = WriteStallDetector()
        self.floors = Floors(retention=context.tuning.floor_retention)
        self.watch = LeaderWatch(
            group=self,
            floors=self.floors,
            clock=context.clock,
            tuning=context.tuning,
            log=context.log,
        )

    @property
    def name(self):
        """The group's name."""
        return self.spec.name

    def members(self):
        """All known members."""
        return [item.member for item in self.upstreams.values()]

    def member(self, upstream):
        """One member, or None."""
        found = self.upstreams.get(upstream)
        return found.member if found else None

    def update_members(self, members):
        """Replace the group's members by those that the roster now has."""
        listed = {member.id: member for member in members}
        for upstream in set(self.upstreams) - set(listed):
            self.remove_member(self.upstreams.pop(upstream))
        for member in listed.values():
            self.departed_at.pop(member.id, None)
            self.update_member(member)

    def remove_member(self, item):
        """Close connections to a member that is no longer listed.

        The log of a member that has left is gone with it; one that crashed comes back
        with its log.
        """
        item.pool.close()
        left = item.member.leaving
        self.departed_at[item.id] = float("-inf") if left else self.context.clock()

    def may_return(self, names, timeout):
        """Those of the absent members that have been absent for less than `timeout`.

        A daemon that has not seen a member depart counts from now.
        """
        now = self.context.clock()
        self.departed_at = {name: self.departed_at.get(name, now) for name in names}
        return [name for name, at in self.departed_at.items() if now - at < timeout]

    def waits_for_members(self):
        """Return whether no member can lead before absent ones are listed again.

        Only once the leader has been lost for a while: just after the start the members
        on record are known before the list is.
        """
        if self.watch.leaderless_for() < UNREACHABLE_AFTER:
            return False
        listed = [
            item.id
            for item in self.upstreams.values()
            if item.member.missing_since is None
        ]
        absent = self.context.recorder.absent(self.name, listed)
        return may_lack_commits(absent=absent, sync_replicas=self.spec.sync_replicas)

    def update_member(self, member):
        """Add or update one upstream; a changed address gets a new pool."""
        known = self.upstreams.get(member.id)
        if known is not None and known.member.address == member.address:
            known.member = known.pool.member = member
            known.pool.set_limit(self.connection_limit())
            return
        if known is not None:
            known.pool.close()
        pool = ConnPool(
            member=member,
            dialer=self.context.dialer,
            limit=self.connection_limit(),
            clock=self.context.clock,
            tuning=self.context.tuning,
        )
        mean = self.context.tuning.initial_mean
        admission = AdmissionQueue(
            limit=self.work_limit(member),
            mean=mean,
            clock=self.context.clock,
        )
        item = Upstream(
            member=member,
            pool=pool,
            admission=admission,
            mean_time=mean,
            floors=self.floors,
        )
        self.upstreams[member.id] = item
        self.adjust_work_limit(item)

    def work_limit(self, member):
        """This daemon's equal share of the statements at an upstream."""
        return concurrency_limit(
            member.slots, self.context.daemons.owner_count(self.spec)
        )

    def adjust_work_limit(self, item):
        """Set the bounds of an upstream's concurrency limit."""
        slots, owners = item.member.slots, self.context.daemons.owner_count(self.spec)
        item.admission.queue.concurrency.set_bounds(
            share=self.work_limit(item.member),
            floor=least_limit(slots, owners),
            ceiling=greatest_limit(slots, item.pool.limit),
            queue_goal=queue_goal(slots, owners),
        )

    def can_open_transaction(self, *, writes, soon=False):
        """Return whether a transaction can be opened without waiting for a connection.

        With `soon`, a connection that a single statement uses counts too: it is
        released when the statement ends.
        """
        leader = self.watch.leader
        items = [
            item
            for item in self.upstreams.values()
            if item.id == leader or not (writes and leader)
        ]
        return any(
            item.pool.has_capacity() or (soon and item.pool.may_free_soon())
            for item in items
        )

    def adjust_connections(self):
        """Close surplus connections and update limits to the number of daemons."""
        for item in self.upstreams.values():
            item.pool.set_limit(self.connection_limit())
            item.pool.close_surplus()
            self.adjust_work_limit(item)

    def connection_limit(self):
        """This daemon's share, as one of the owners, of an upstream's connections.

        For some seconds after its start, a daemon uses fewer than its share.
        """
        share = self.context.daemons.connection_share(self.spec)
        since_start = self.context.clock() - self.context.started_at
        if since_start >= self.context.tuning.startup_limit_duration:
            return share
        return share_after_start(share, since_start)

    def role_of(self, upstream):
        """The role of an upstream that answered; None if there is none."""
        if not upstream:
            return None
        return ServedBy.LEADER if upstream == self.watch.leader else ServedBy.REPLICA

    def presumed_leader(self):
        """The member that leads or led last; empty if unknown.

        A daemon that has not yet verified a leader relies on the list if exactly one
        member there claims to lead. Otherwise, when all daemons lose power together
        with the primary, they would wait for it until its entry expires.
        """
        known = self.watch.leader or self.watch.last_leader
        if known:
            return known
        leading = [member.id for member in self.members() if member.leads]
        return leading[0] if len(leading) == 1 else ""

    def candidates(self, workspace=""):
        """Upstreams that accept work, as routing candidates for a workspace's read."""
        now = self.context.clock()
        return [
            self.candidate(item, now, workspace)
            for item in self.upstreams.values()
            if self.accepts_work(item.member)
        ]

    def accepts_work(self, member):
        """Return whether a member may be sent work: not if it has long been leaving.

        A primary that leaves and cannot be replaced because the store is down would
        otherwise be sent work until it stops, and the work would be lost with it.
        """
        if member.leaving_since is None:
            return True
        context = self.context
        return context.clock() < work_ends_at(
            not_reported_at=member.not_reported_at,
            started_at=context.started_at,
            drain_seconds=context.drain_seconds,
            margin=context.tuning.drain_margin,
        )

    def may_send(self, item):
        """Return whether an upstream still accepts work, asked just before sending.

        A statement may have waited for seconds since the upstream was chosen.
        """
        return self.upstreams.get(item.id) is item and self.accepts_work(item.member)

    def log_sent(self, item, job):
        """Log that a statement is sent to an upstream that leaves or is missing.

        Without what was known of it, a late statement at an upstream that had reported
        that it leaves looks the same whether the report was unknown, new or forgotten.
        """
        member, now = item.member, self.context.clock()
        if member.active:
            return
        self.context.log(
            PART,
            "sent to an upstream that leaves or is missing",
            request=job.request,
            group=self.name,
            upstream=member.id,
            leaving_ms=elapsed_ms(member.leaving_since, now),
            not_reported_ms=elapsed_ms(member.not_reported_at, now),
            missing_ms=elapsed_ms(member.missing_since, now),
            source=member.source,
            revision=format_revision(member.changed),
        )

    async def wait_writable(self, timeout):
        """The upstream that leads and accepts work; None if there is none in time."""
        leader = await self.watch.wait_leader(timeout)
        item = self.upstreams.get(leader)
        return item if item is not None and self.accepts_work(item.member) else None

    def hedge_delay(self, item):
        """Seconds after which a read at an upstream is sent to another one too.

        At one that is slower than others, the time that the others take counts.
        """
        tuning = self.context.tuning
        mean = item.mean_time if item else tuning.initial_mean
        if item and item.results.needs_probes:
            mean = min(other.mean_time for other in self.upstreams.values())
        return max(tuning.hedge_min_delay, tuning.hedge_factor * mean)

    def candidate(
        self, item, now, workspace, *, suspected=False, probed=False, lagging=False
    ):
        """One upstream as a routing candidate.

        `suspected` by its results, `probed` by this read all the same, `lagging` behind
        the read's floor.
        """
        member = item.member
        return Candidate(
            id=item.id,
            expected_latency=item.mean_time,
            outstanding=item.admission.queue.load,
            slots=member.slots,
            is_primary=item.id == self.watch.leader,
            far=member.domain != self.context.domain,
            leaving=not member.active,
            avoided=suspected or now < item.avoid_until,
            lagging=lagging,
            saturated=not item.admission.queue.has_room(now),
            connect_cost=item.pool.dial_cost(workspace),
            probed=probed,
        )

    def takeover_in_progress(self):
        """Return whether a takeover started recently.

        A new leader does not end it: an abandoned promotion order may still be carried
        out, and an earlier order may have taken effect in between.
        """
        return self.context.lease_view.under_way(self.name)

    def track_tasks(self, tasks):
        """Keep references to tasks that finish on their own."""
        for task in tasks:
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close(self):
        """Close all connections."""
        for item in self.upstreams.values():
            item.pool.close()


def elapsed_ms(since, now):
    """Milliseconds since a moment; None if there is none."""
    return None if since is None else round(1000 * (now - since))
