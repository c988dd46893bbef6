"""Links to owners, opened before the first statement needs them.

Where many daemons share a little work each sees a statement for an owner once in many
seconds, and the first one waits for the link: three round trips, and a turn of two
busy loops each.
"""

import asyncio

from gypsum_policy.ownership import MOST_WARM
from gypsum_sessions.daemons.peers import PeerLost

# Seconds between two looks; one link is opened at each, so that owners that have just
# started are not met by the whole fleet at once.
CHECK_INTERVAL = 0.25
# Daemons that start serve their callers first, seconds.
START_DELAY = 2.0
# A daemon that lives opens a link within a few milliseconds.
LINK_TIMEOUT = 0.4


class WarmLinks:
    """Keeps links to the owners of all groups open, where these are few."""

    def __init__(self, *, catalog, daemons, peers):
        self.catalog = catalog
        self.daemons = daemons
        self.peers = peers

    def missing(self):
        """Owners to which there is no link; none where the owners are many."""
        groups = self.catalog.current.groups if self.catalog.current else {}
        if len(groups) > MOST_WARM:
            return []
        owners = {
            name for spec in groups.values() for name in self.daemons.owners(spec)
        }
        if len(owners) > MOST_WARM:
            return []
        return sorted(
            name
            for name in owners - {self.daemons.own.id}
            if not self.peers.is_linked(name) and not self.peers.avoided(name)
        )

    async def run(self):
        """Open what is missing, one link at a time, for ever."""
        await asyncio.sleep(START_DELAY)
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            missing = self.missing()
            if not missing:
                continue
            try:
                await self.peers.link(missing[0], LINK_TIMEOUT)
            except PeerLost:
                continue
