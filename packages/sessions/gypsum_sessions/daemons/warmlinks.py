"""Opens links to owners before the first statement needs them.

Where many daemons share little work, each has a statement for a given owner only once
in many seconds. Without a warm link the first one waits for the link to open: three
round trips, with two busy event loops on the way each time.
"""

import asyncio

from gypsum_policy.ownership import MAX_WARM_LINKS
from gypsum_sessions.daemons.peers import PeerLost

# Seconds between checks; each opens one link, so that the whole fleet does not connect
# at once to owners that have just started.
CHECK_INTERVAL = 0.25
# A starting daemon serves its callers first, seconds.
START_DELAY = 2.0
# A live daemon opens a link within a few milliseconds.
LINK_TIMEOUT = 0.4


class WarmLinks:
    """Keeps links to the owners of all groups open, if there are few owners."""

    def __init__(self, *, catalog, daemons, peers):
        self.catalog = catalog
        self.daemons = daemons
        self.peers = peers

    def missing(self):
        """Owners without an open link; none if there are too many owners."""
        groups = self.catalog.current.groups if self.catalog.current else {}
        if len(groups) > MAX_WARM_LINKS:
            return []
        owners = {
            name for spec in groups.values() for name in self.daemons.owners(spec)
        }
        if len(owners) > MAX_WARM_LINKS:
            return []
        return sorted(
            name
            for name in owners - {self.daemons.own.id}
            if not self.peers.is_linked(name) and not self.peers.avoided(name)
        )

    async def run(self):
        """Open missing links, one at a time; runs forever."""
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
