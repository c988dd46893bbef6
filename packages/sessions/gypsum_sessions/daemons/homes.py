"""The daemons that count for workspaces: who they are, and which of them answer.

One that does not answer is left out until it answers a question that nobody waits for.
"""

import asyncio

from gypsum_policy.usage import HOMES, Cap, home_group, place_of
from gypsum_sessions.daemons.peermessages import GrantRequest
from gypsum_sessions.daemons.peers import PeerLost

PART = "usage"
# A home that lives answers within a few milliseconds; one whose share of a processor is
# used up within a tenth of a second. Seconds.
ANSWER_TIMEOUT = 0.15
# One that stands in asks those before it for no longer than this, seconds.
FORWARD_TIMEOUT = 0.06
# A home that gave no answer is tried again this often, seconds.
PROBE_INTERVAL = 0.5
# A daemon that has heard none of the others for this long asks whether it is cut off.
HEARD_TIMEOUT = 0.5
# One that has heard none for this long may have been away, seconds: in a fleet with
# traffic each hears another one several times a second.
ABSENT_AFTER = 1.0
NO_CAP = Cap(rate=0.0, burst=0.0)


class Homes:
    """Each workspace's homes in their order, and questions to them.

    `returned` is called when this daemon hears others again after it has heard none.
    """

    def __init__(self, *, daemons, peers, catalog, clock, log, reconnected):
        self.daemons = daemons
        self.peers = peers
        self.catalog = catalog
        self.clock = clock
        self.log = log
        self.reconnected = reconnected
        # Homes that do not answer, each with the task that looks for it.
        self.unreachable = {}
        # The group whose owners count for a workspace, of the groups in force.
        self.group_of = {}
        self.groups = frozenset()
        self.version = -1
        # When another daemon was last heard.
        self.heard_at = clock()

    def close(self):
        """Look for homes no more."""
        for task in list(self.unreachable.values()):
            task.cancel()

    def for_workspace(self, workspace):
        """The daemons that count for a workspace, the first one unless it is away.

        They own a group, the same one for a workspace: to owners there are links
        anyway. Without a group any daemon may count.
        """
        self.refresh()
        if workspace not in self.group_of:
            self.group_of[workspace] = home_group(workspace, self.groups)
        found = self.daemons.order(self.group_of[workspace], HOMES)
        turn = place_of(workspace, len(found))
        return [*found[turn:], *found[:turn]]

    def refresh(self):
        """Forget whose owners count if there are other groups than before."""
        if self.version == self.catalog.version:
            return
        self.version = self.catalog.version
        groups = frozenset(self.catalog.current.groups)
        if groups != self.groups:
            self.groups, self.group_of = groups, {}

    def rank(self, workspace):
        """This daemon's place among a workspace's homes; after them if it is none."""
        homes, own = self.for_workspace(workspace), self.daemons.own.id
        return homes.index(own) if own in homes else len(homes)

    async def request(self, name, make, *, timeout=ANSWER_TIMEOUT):
        """The answer of one home to the question formed for a number; None without."""
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
        """Ask a home no more until it answers again.

        What goes wrong when callers ask again now and then: on a daemon that is cut off
        some operation waits in vain for each home every second.
        """
        if name in self.unreachable:
            return
        self.log(PART, "home lost", home=name, error=str(exc))
        task = asyncio.create_task(self.probe_until_reachable(name))
        self.unreachable[name] = task
        task.add_done_callback(lambda _: self.unreachable.pop(name, None))

    async def probe_until_reachable(self, name):
        """Wait until a daemon answers again, or is not known any more."""
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
        """Tell whether this daemon hears any other one.

        What goes wrong without it: a home that is cut off counts for its own callers,
        and whoever stands in for it for all others: together they grant the cap twice.
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
        """Another daemon was heard then; what others granted may have passed us by."""
        before, self.heard_at = self.heard_at, max(self.heard_at, at)
        if self.heard_at - before >= ABSENT_AFTER:
            self.reconnected()


def empty_request(call):
    """A question that only wants an answer."""
    return GrantRequest(call=call, workspace="", wanted=0, cap=NO_CAP)
