"""One database group as this daemon works with it."""

from dataclasses import dataclass

from gypsum_policy.admission import work_limit
from gypsum_policy.ownership import share_after_start
from gypsum_policy.routing import Candidate
from gypsum_sessions.borders import Clock, Dialer, EventLog
from gypsum_sessions.catalog import Catalog
from gypsum_sessions.daemons.registry import DaemonRegistry
from gypsum_sessions.execution.jobs import ServedBy
from gypsum_sessions.execution.turns import Turns
from gypsum_sessions.takeover.floors import Floors
from gypsum_sessions.takeover.leader import LeaderWatch
from gypsum_sessions.takeover.leaseboard import LeaseBoard
from gypsum_sessions.takeover.stall import WriteStall
from gypsum_sessions.tuning import SessionTuning
from gypsum_sessions.upstreams.pool import ConnPool
from gypsum_sessions.upstreams.upstream import Upstream


@dataclass(slots=True, kw_only=True)
class Surroundings:
    """What all groups of a daemon share.

    `domain` is this daemon's failure domain; `daemons` tells how many daemons share
    the upstreams' connections; `drain_seconds` is how long an upstream that leaves
    may still be sent work, which new settings may change; `started_at` is when this
    daemon started. `catalog` holds the configuration in force.
    """

    clock: Clock
    dialer: Dialer
    tuning: SessionTuning
    log: EventLog
    domain: str
    daemons: DaemonRegistry
    board: LeaseBoard
    drain_seconds: float
    started_at: float
    catalog: Catalog


class Group:
    """Upstreams, floors and the leader of one group."""

    def __init__(self, *, spec, around):
        self.spec = spec
        self.around = around
        self.upstreams = {}
        self.departed_at = {}
        self.tasks = set()
        self.stall = WriteStall()
        self.floors = Floors(keep=around.tuning.floor_keep)
        self.watch = LeaderWatch(
            group=self,
            floors=self.floors,
            clock=around.clock,
            tuning=around.tuning,
            log=around.log,
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

    def take_members(self, members):
        """Take in the group's members as the roster has them now."""
        listed = {member.id: member for member in members}
        for upstream in set(self.upstreams) - set(listed):
            self.drop_member(self.upstreams.pop(upstream))
        for member in listed.values():
            self.departed_at.pop(member.id, None)
            self.take_member(member)

    def drop_member(self, item):
        """Close what is open to a member off the list; note when it went unasked."""
        item.pool.close()
        if not item.member.leaving:
            self.departed_at[item.id] = self.around.clock()

    def departed_since(self, moment):
        """Members that went off the list unasked at or after a moment."""
        return [name for name, at in self.departed_at.items() if at >= moment]

    def take_member(self, member):
        """Add or refresh one upstream; one that moved gets a new pool."""
        known = self.upstreams.get(member.id)
        if known is not None and known.member.address == member.address:
            known.member = known.pool.member = member
            known.pool.set_limit(self.connection_limit())
            return
        if known is not None:
            known.pool.close()
        pool = ConnPool(
            member=member,
            dialer=self.around.dialer,
            limit=self.connection_limit(),
            clock=self.around.clock,
            tuning=self.around.tuning,
        )
        mean = self.around.tuning.first_mean
        turns = Turns(
            limit=self.work_limit(member),
            mean=mean,
            clock=self.around.clock,
        )
        self.upstreams[member.id] = Upstream(
            member=member, pool=pool, turns=turns, mean=mean
        )

    def work_limit(self, member):
        """Statements that this daemon may have at an upstream at once."""
        return work_limit(member.slots, self.around.daemons.owner_count(self.spec))

    def has_connection(self, *, writes, soon=False):
        """Tell whether a transaction can be opened without waiting for a connection.

        With `soon` one will do that a single statement uses.
        """
        leader = self.watch.leader
        items = [
            item
            for item in self.upstreams.values()
            if item.id == leader or not (writes and leader)
        ]
        return any(
            item.pool.has_room() or (soon and item.pool.frees_soon()) for item in items
        )

    def trim(self):
        """Close connections that are not needed; the limit follows the daemons."""
        for item in self.upstreams.values():
            item.pool.set_limit(self.connection_limit())
            item.pool.trim()
            item.turns.queue.limit = self.work_limit(item.member)

    def connection_limit(self):
        """This daemon's share of an upstream's connections, as one of the owners.

        After its start a daemon is content with less.
        """
        share = self.around.daemons.connection_share(self.spec)
        since_start = self.around.clock() - self.around.started_at
        if since_start >= self.around.tuning.modest_for:
            return share
        return share_after_start(share, since_start)

    def role_of(self, upstream):
        """Whether the leader or a replica answered; None for nobody."""
        if not upstream:
            return None
        return ServedBy.LEADER if upstream == self.watch.leader else ServedBy.REPLICA

    def presumed_leader(self):
        """The member that leads or led last; empty if nobody can say.

        A daemon that has seen no proof goes by the list, if just one member there says
        that it leads. What goes wrong without it: all daemons lost power together with
        the primary, and wait for it until it is off the list.
        """
        known = self.watch.leader or self.watch.last_leader
        if known:
            return known
        leading = [member.id for member in self.members() if member.leads]
        return leading[0] if len(leading) == 1 else ""

    def candidates(self, workspace=""):
        """All upstreams as the router sees them for a workspace's read."""
        now = self.around.clock()
        return [
            self.candidate(item, now, workspace)
            for item in self.upstreams.values()
            if self.takes_work(item.member)
        ]

    def takes_work(self, member):
        """Tell whether a member may be sent work: it stays, or left a moment ago.

        What goes wrong without it: a primary that leaves and cannot be replaced, as
        the store is away, is sent work until it is gone with it.
        """
        if member.leaving_since is None:
            return True
        left_for = self.around.clock() - member.leaving_since
        return left_for < self.around.drain_seconds - self.around.tuning.drain_margin

    async def wait_writable(self, timeout):
        """The upstream that leads and takes work; None if there is none in time."""
        leader = await self.watch.wait_leader(timeout)
        item = self.upstreams.get(leader)
        return item if item is not None and self.takes_work(item.member) else None

    def candidate(self, item, now, workspace):
        """One upstream as the router sees it."""
        member = item.member
        return Candidate(
            id=item.id,
            expected=item.mean,
            ahead=item.turns.queue.load,
            slots=member.slots,
            leads=item.id == self.watch.leader,
            far=member.domain != self.around.domain,
            leaving=not member.stays,
            avoided=now < item.avoid_until,
            lagging=now < item.lagging_until,
            full=not item.turns.queue.has_room(now),
            opening=item.pool.opening_cost(workspace),
        )

    def takeover_under_way(self):
        """Tell whether a takeover began a moment ago.

        A new leader does not end it: an order that was given up may still be carried
        out, and an earlier one may have taken effect in between.
        """
        return self.around.board.under_way(self.name)

    def keep_tasks(self, tasks):
        """Hold on to tasks that finish on their own."""
        for task in tasks:
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close(self):
        """Close all connections."""
        for item in self.upstreams.values():
            item.pool.close()
