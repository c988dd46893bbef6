"""Makes those that come next ready when all owners of a group leave at once."""

from gypsum_policy.leaving import stand_in
from gypsum_sessions.daemons.peermessages import ServeGroup
from gypsum_sessions.daemons.peers import PeerLost

PART = "drain"
# Daemons that would own if an owner failed: each owner has one that stands in.
CANDIDATES_PER_OWNER = 2
# A daemon that lives opens a link within a few milliseconds.
LINK_TIMEOUT = 0.4


class StandbyOwners:
    """Wakes, for each group that this daemon owns, who stands in for it.

    What goes wrong without it: the first statements after a roll wait for new
    connections and the proof of a primary, at a daemon that holds nothing.
    """

    def __init__(self, *, proxy):
        self.proxy = proxy
        self.notified = set()
        self.connect_to_owners()

    def connect_to_owners(self):
        """Open links to the other owners: over these they tell that they leave too."""
        for group in self.proxy.groups.values():
            for name in self.proxy.daemons.owners(group.spec):
                if name != self.proxy.name:
                    self.proxy.spawn(self.connect(name))

    async def connect(self, name):
        """Open a link to an owner; one that can't be reached is avoided from now on."""
        try:
            await self.proxy.peers.link(name, LINK_TIMEOUT)
        except PeerLost:
            return

    def notify_standbys(self):
        """Wake stand-ins of groups whose owners all leave, each group's once."""
        for group in self.proxy.groups.values():
            if group.name in self.notified:
                continue
            name = self.standby_for(group)
            if name:
                self.notified.add(group.name)
                self.proxy.spawn(self.notify(name, group.name))

    def standby_for(self, group):
        """Who has to be ready to own a group; empty if nobody has to."""
        daemons, peers = self.proxy.daemons, self.proxy.peers
        owners = daemons.owner_count(group.spec)
        names = daemons.order(group.name, owners * CANDIDATES_PER_OWNER)
        away = {name for name in names if peers.avoided(name)}
        return stand_in(names, owners=owners, own=self.proxy.name, away=away)

    async def notify(self, name, group):
        """Ask a daemon to work with a group."""
        try:
            link = await self.proxy.peers.link(name, LINK_TIMEOUT)
        except PeerLost as exc:
            self.proxy.log(PART, "stand-in not reached", peer=name, error=str(exc))
            self.notified.discard(group)
            return
        link.send_message(ServeGroup(group=group))
        self.proxy.log(PART, "stand-in woken", peer=name, group=group)
