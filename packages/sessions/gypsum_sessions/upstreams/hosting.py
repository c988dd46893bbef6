"""The groups that this daemon holds connections to, and its way to all others."""

from gypsum_policy.membership import has_settled
from gypsum_sessions.callers.access import LocalAccess
from gypsum_sessions.daemons.remote import RemoteAccess
from gypsum_sessions.takeover.attempt import Takeover
from gypsum_sessions.takeover.reach import Reach
from gypsum_sessions.upstreams.group import Group

PART = "hosting"
# A group that others own is left when nobody has asked for this long, seconds: longer
# than an owner takes to come back after a restart.
LEAVE_AFTER = 10.0


class Hosting:
    """Takes groups up that this daemon owns or is asked for, and leaves the others."""

    def __init__(self, *, proxy):
        self.proxy = proxy
        self.groups = {}
        self.takeovers = {}
        self.reaches = {}
        self.tasks = {}
        self.asked_at = {}
        # Daemons that were known at the last look, since when there are so many, and
        # since when there is a list.
        self.fleet = 0
        self.grown_at = self.listed_at = float("inf")
        self.settled = False

    def spec(self, name):
        """A group's settings in force, or None."""
        current = self.proxy.catalog.current
        return current.groups.get(name) if current else None

    def tend(self):
        """Work with the groups that this daemon owns, and leave those it does not."""
        if not self.proxy.daemons.listed:
            return
        self.look_at_fleet()
        if self.proxy.catalog.current is None or not self.settled:
            return
        for name, spec in self.proxy.catalog.current.groups.items():
            if self.proxy.daemons.owns(spec):
                self.start(spec)
            elif name in self.groups and self.may_leave(name):
                self.leave(name)

    def look_at_fleet(self):
        """Notice when the list of daemons is whole for the first time."""
        if self.settled:
            return
        now, known = self.proxy.clock(), len(self.proxy.daemons.known)
        self.listed_at = min(self.listed_at, now)
        if known > self.fleet:
            self.grown_at = now
        self.fleet = known
        self.settled = has_settled(
            rejoined=self.proxy.daemons.rejoined,
            listed_for=now - self.listed_at,
            unchanged_for=now - self.grown_at,
        )

    def start(self, spec):
        """Start to work with a group, unless we do already; returns it."""
        group = self.groups.get(spec.name)
        if group is not None:
            return group
        group = Group(spec=spec, around=self.proxy.around)
        self.groups[spec.name] = group
        reach = self.reaches[spec.name] = Reach(group=group, peers=self.proxy.peers)
        self.takeovers[spec.name] = Takeover(
            group=group,
            daemon=self.proxy.name,
            leases=self.proxy.leases,
            board=self.proxy.lease_view,
            promoter=self.proxy.promoter,
            relist=self.proxy.reload_members,
            recorder=self.proxy.recorder,
            reach=reach,
        )
        self.proxy.refresh_members(spec.name)
        self.tasks[spec.name] = [
            self.proxy.keep_running(group.watch.run),
            self.proxy.keep_running(self.takeovers[spec.name].run),
            self.proxy.keep_running(reach.run),
        ]
        self.proxy.log(PART, "group taken up", group=spec.name)
        return group

    def may_leave(self, name):
        """Tell whether nobody has needed our connections to a group for a while."""
        if self.takeovers[name].attempting:
            return False
        items = self.groups[name].upstreams.values()
        if any(item.pool.in_use for item in items):
            return False
        return self.proxy.clock() - self.asked_at.get(name, 0.0) > LEAVE_AFTER

    def leave(self, name):
        """Close what we hold of a group that others own."""
        for task in self.tasks.pop(name):
            task.cancel()
        self.groups.pop(name).close()
        del self.takeovers[name]
        del self.reaches[name]
        self.proxy.log(PART, "group left to its owners", group=name)

    def serve(self, name):
        """A group for which another daemon asks us, or None if it is not known.

        Also one that we do not own: the other daemon reaches none of its owners, or
        knows of daemons that we have not heard of.
        """
        spec = self.spec(name)
        if spec is None:
            return None
        self.asked_at[name] = self.proxy.clock()
        return self.start(spec)

    def access(self, name):
        """The way to a group, or None if it is not known yet."""
        spec = self.spec(name)
        if spec is None or not self.proxy.daemons.listed:
            return None
        if self.proxy.daemons.owns(spec):
            group = self.start(spec)
            return LocalAccess(group=group, reach=self.reaches[name])
        return RemoteAccess(spec=spec, around=self.proxy.around, peers=self.proxy.peers)
