"""Prepares standby owners when all owners of a group drain at once."""

from gypsum_policy.draining import choose_standby
from gypsum_sessions.daemons.peermessages import ServeGroup
from gypsum_sessions.daemons.peers import PeerLost

PART = "drain"
# Daemons considered for each owner: the owner and one standby.
CANDIDATES_PER_OWNER = 2
# A live daemon opens a link within a few milliseconds.
LINK_TIMEOUT = 0.4


class StandbyOwners:
    """Notifies the standby of each group that this daemon owns.

    Without this, the first statements after a rolling restart wait for new connections
    and the proof of a primary, at a daemon that holds neither.
    """

    def __init__(self, *, proxy):
        self.proxy = proxy
        self.notified = set()
        self.connect_to_owners()

    def connect_to_owners(self):
        """Open links to the other owners, over which they report that they drain."""
        for group in self.proxy.groups.values():
            for name in self.proxy.daemons.owners(group.spec):
                if name != self.proxy.name:
                    self.proxy.spawn(self.connect(name))

    async def connect(self, name):
        """Open a link to an owner; if it fails, the owner counts as avoided."""
        try:
            await self.proxy.peers.link(name, LINK_TIMEOUT)
        except PeerLost:
            return

    def notify_standbys(self):
        """Notify the standbys of groups whose owners all drain, once for each group."""
        for group in self.proxy.groups.values():
            if group.name in self.notified:
                continue
            name = self.standby_for(group)
            if name:
                self.notified.add(group.name)
                self.proxy.spawn(self.notify(name, group.name))

    def standby_for(self, group):
        """The daemon that must prepare to own a group; empty if none has to."""
        daemons, peers = self.proxy.daemons, self.proxy.peers
        owners = daemons.owner_count(group.spec)
        names = daemons.order(group.name, owners * CANDIDATES_PER_OWNER)
        away = {name for name in names if peers.avoided(name)}
        return choose_standby(names, owners=owners, own=self.proxy.name, away=away)

    async def notify(self, name, group):
        """Ask a daemon to prepare to own a group."""
        try:
            link = await self.proxy.peers.link(name, LINK_TIMEOUT)
        except PeerLost as exc:
            self.proxy.log(PART, "stand-in not reached", peer=name, error=str(exc))
            self.notified.discard(group)
            return
        link.send_message(ServeGroup(group=group))
        self.proxy.log(PART, "stand-in woken", peer=name, group=group)
