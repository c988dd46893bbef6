"""The groups that this daemon holds connections to, and access to all others."""

from gypsum_policy.membership import is_list_stable
from gypsum_sessions.callers.access import LocalAccess
from gypsum_sessions.daemons.remote import RemoteAccess
from gypsum_sessions.takeover.attempt import Takeover
from gypsum_sessions.takeover.peer_reachability import PeerReachability
from gypsum_sessions.upstreams.group import Group

PART = "hosting"
# A group owned by others is released after this many seconds without a request: longer
# than an owner takes to come back after a restart.
RELEASE_AFTER = 10.0


class HostedGroups:
    """Starts groups that this daemon owns or is asked for, and releases the others."""

    def __init__(self, *, proxy):
        self.proxy = proxy
        self.groups = {}
        self.takeovers = {}
        self.peer_reachability = {}
        self.tasks = {}
        self.requested_at = {}
        # Number of daemons at the last check, when it last grew, and when the list of
        # daemons was first available.
        self.daemon_count = 0
        self.last_growth_at = self.first_listed_at = float("inf")
        self.settled = False

    def spec(self, name):
        """A group's settings in force, or None."""
        current = self.proxy.catalog.current
        return current.groups.get(name) if current else None

    def reconcile(self):
        """Start the groups that this daemon owns and release those it does not."""
        if not self.proxy.daemons.listed:
            return
        self.check_daemon_list()
        if self.proxy.catalog.current is None or not self.settled:
            return
        for name, spec in self.proxy.catalog.current.groups.items():
            if self.proxy.daemons.owns(spec):
                self.start(spec)
            elif name in self.groups and self.can_release(name):
                self.release(name)

    def check_daemon_list(self):
        """Detect when the list of daemons is complete for the first time."""
        if self.settled:
            return
        now, known = self.proxy.clock(), len(self.proxy.daemons.known)
        self.first_listed_at = min(self.first_listed_at, now)
        if known > self.daemon_count:
            self.last_growth_at = now
        self.daemon_count = known
        self.settled = is_list_stable(
            rejoined=self.proxy.daemons.rejoined,
            listed_for=now - self.first_listed_at,
            unchanged_for=now - self.last_growth_at,
        )

    def start(self, spec):
        """Start a group, unless it is running already; returns it."""
        group = self.groups.get(spec.name)
        if group is not None:
            return group
        group = Group(spec=spec, context=self.proxy.context)
        self.groups[spec.name] = group
        reach = self.peer_reachability[spec.name] = PeerReachability(
            group=group, peers=self.proxy.peers
        )
        self.takeovers[spec.name] = Takeover(
            group=group,
            daemon=self.proxy.name,
            leases=self.proxy.leases,
            lease_view=self.proxy.lease_view,
            promoter=self.proxy.promoter,
            relist=self.proxy.reload_members,
            recorder=self.proxy.recorder,
            peer_reachability=reach,
        )
        self.proxy.refresh_members(spec.name)
        self.tasks[spec.name] = [
            self.proxy.keep_running(group.watch.run),
            self.proxy.keep_running(self.takeovers[spec.name].run),
            self.proxy.keep_running(reach.run),
        ]
        self.proxy.log(PART, "group taken up", group=spec.name)
        return group

    def can_release(self, name):
        """Return whether a group's connections have not been needed lately."""
        if self.takeovers[name].attempting:
            return False
        items = self.groups[name].upstreams.values()
        if any(item.pool.in_use for item in items):
            return False
        return self.proxy.clock() - self.requested_at.get(name, 0.0) > RELEASE_AFTER

    def release(self, name):
        """Close the connections to a group that other daemons own."""
        for task in self.tasks.pop(name):
            task.cancel()
        self.groups.pop(name).close()
        del self.takeovers[name]
        del self.peer_reachability[name]
        self.proxy.log(PART, "group left to its owners", group=name)

    def start_for_peer(self, name):
        """The group that another daemon asks for, started if needed; None if unknown.

        Includes groups that this daemon does not own: the other daemon may reach none
        of the owners, or know of daemons that this one has not heard of.
        """
        spec = self.spec(name)
        if spec is None:
            return None
        self.requested_at[name] = self.proxy.clock()
        return self.start(spec)

    def access(self, name):
        """Local or remote access to a group; None if the group is not known yet."""
        spec = self.spec(name)
        if spec is None or not self.proxy.daemons.listed:
            return None
        if self.proxy.daemons.owns(spec):
            group = self.start(spec)
            return LocalAccess(group=group, reach=self.peer_reachability[name])
        return RemoteAccess(
            spec=spec, context=self.proxy.context, peers=self.proxy.peers
        )
