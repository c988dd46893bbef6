"""The daemons that enforce the caps of workspaces, and which of them are reachable.

A home that does not answer is skipped until it answers a probe; no caller's operation
waits for that probe.
"""

import asyncio

from gypsum_policy.ratelimit import MAX_HOMES, Cap, home_group, home_index
from gypsum_sessions.daemons.peermessages import GrantRequest
from gypsum_sessions.daemons.peers import PeerLost

PART = "usage"
# A live home answers within a few milliseconds, and within 0.1 s when its CPU quota is
# used up. Seconds.
ANSWER_TIMEOUT = 0.15
# A standby waits no longer than this for each home before it, seconds.
FORWARD_TIMEOUT = 0.06
# Time between probes of an unreachable home, seconds.
PROBE_INTERVAL = 0.5
# A daemon that has heard from no other one for this long checks whether it is isolated,
# seconds.
HEARD_TIMEOUT = 0.5
# A daemon that has heard from none for this long may have been suspended or isolated,
# seconds: in a fleet with traffic each daemon hears from another one several times a
# second.
ABSENT_AFTER = 1.0
NO_CAP = Cap(rate=0.0, burst=0.0)


class Homes:
    """Each workspace's homes in order, and requests to them.

    `reconnected` is called when this daemon hears from others again after it has heard
    from none for `ABSENT_AFTER`.
    """

    def __init__(self, *, daemons, peers, catalog, clock, log, reconnected):
        self.daemons = daemons
        self.peers = peers
        self.catalog = catalog
        self.clock = clock
        self.log = log
        self.reconnected = reconnected
        # Homes that do not answer, each with the task that probes it.
        self.unreachable = {}
        # Cached group whose owners are a workspace's homes.
        self.group_of = {}
        self.groups = frozenset()
        self.version = -1
        # When another daemon was last heard.
        self.heard_at = clock()

    def close(self):
        """Stop probing unreachable homes."""
        for task in list(self.unreachable.values()):
            task.cancel()

    def for_workspace(self, workspace):
        """Return a workspace's homes; the first one counts unless it is unreachable.

        They are owners of one group, always the same one for a workspace, because links
        to owners are open anyway. Without a group any daemon may count.
        """
        self.refresh()
        if workspace not in self.group_of:
            self.group_of[workspace] = home_group(workspace, self.groups)
        found = self.daemons.order(self.group_of[workspace], MAX_HOMES)
        turn = home_index(workspace, len(found))
        return [*found[turn:], *found[:turn]]

    def refresh(self):
        """Clear the cached choice of groups if the set of groups has changed."""
        if self.version == self.catalog.version:
            return
        self.version = self.catalog.version
        groups = frozenset(self.catalog.current.groups)
        if groups != self.groups:
            self.groups, self.group_of = groups, {}

    def rank(self, workspace):
        """This daemon's index among a workspace's homes; their number if it is none."""
        homes, own = self.for_workspace(workspace), self.daemons.own.id
        return homes.index(own) if own in homes else len(homes)

    async def request(self, name, make, *, timeout=ANSWER_TIMEOUT):
        """Send a home the request that `make` forms for a call number.

        Returns its answer, or None without one.
        """
        if name in self.unreachable:
            return None
        try:
            link = await self.peers.link(name, timeout)
            answer = await link.request(make, timeout=timeout)
        except PeerLost as exc:
            self.mark_unreachable(name, exc)
            return None
        self.record_heard(self.clock())
        return answer

    def mark_unreachable(self, name, exc):
        """Skip a home until it answers a probe.

        If callers' operations were used to retry it, on an isolated daemon some
        operation would wait for each home every second without an answer.
        """
        if name in self.unreachable:
            return
        self.log(PART, "home lost", home=name, error=str(exc))
        task = asyncio.create_task(self.probe_until_reachable(name))
        self.unreachable[name] = task
        task.add_done_callback(lambda _: self.unreachable.pop(name, None))

    async def probe_until_reachable(self, name):
        """Probe a daemon until it answers or is removed from the registry."""
        while self.daemons.get(name) is not None:
            await asyncio.sleep(PROBE_INTERVAL)
            try:
                link = await self.peers.link(name, ANSWER_TIMEOUT)
                await link.request(empty_request, timeout=ANSWER_TIMEOUT)
            except PeerLost:
                continue
            self.record_heard(self.clock())
            self.log(PART, "home answers again", home=name)
            return

    async def is_connected(self, workspace):
        """Return whether this daemon hears from any other one.

        Without this check, an isolated home grants to its own callers while a standby
        grants to all others: together they grant the cap twice.
        """
        if len(self.daemons.known) == 1:
            return True
        links = [
            link.heard_at for link in self.peers.links.values() if not link.close_reason
        ]
        self.record_heard(max(links, default=self.heard_at))
        if self.clock() - self.heard_at < HEARD_TIMEOUT:
            return True
        for name in self.for_workspace(workspace):
            if name == self.daemons.own.id:
                continue
            answer = await self.request(name, empty_request, timeout=FORWARD_TIMEOUT)
            if answer is not None:
                return True
        return False

    def record_heard(self, at):
        """Record when another daemon was last heard.

        After a long silence `reconnected` is called, since others may have granted
        operations meanwhile.
        """
        before, self.heard_at = self.heard_at, max(self.heard_at, at)
        if self.heard_at - before >= ABSENT_AFTER:
            self.reconnected()


def empty_request(call):
    """A request for no operations, used as a probe."""
    return GrantRequest(call=call, workspace="", wanted=0, cap=NO_CAP)
