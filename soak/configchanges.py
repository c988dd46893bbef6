"""Configurations of a soak, and whether they are in force where they have to be.

Routes come and go, and so do spare keys: a daemon in touch serves what is there and
refuses what was taken away.
"""

import asyncio
import time

from soak.fleet import connect
from soak.workspaces import SPARE

# The users' bound on a change, and what a probe takes, seconds.
IN_FORCE = 5.0
PROBE_EVERY = 0.7
OPEN_LIMIT = 2.0
# A route that is always there.
KEYED_ROUTE = "own"


class Configs:
    """Adds and drops routes, and asks daemons in touch for them."""

    def __init__(self, *, fleet, standins, book, rng):
        self.fleet = fleet
        self.standins = standins
        self.book = book
        self.rng = rng
        self.number = 0
        self.added = {}
        self.dropped = {}
        self.keys = {}
        self.withdrawn = {}
        self.probes = 0

    async def change(self, bulk=0):
        """A new version: a route and a key more, the oldest route and last key less."""
        self.number += 1
        name = f"extra{self.number}"
        old = list(self.added)[0] if len(self.added) > 3 else ""
        if old:
            del self.added[old]
        await self.standins.do(
            "configure",
            add=[name],
            drop=[old] if old else [],
            bulk=bulk,
            keys=[f"{SPARE}{self.number}"],
        )
        now = time.monotonic()
        self.added[name] = now
        if old:
            self.dropped[old] = now
        self.withdrawn |= dict.fromkeys(self.keys, now)
        self.keys = {f"{SPARE}{self.number}": now}

    async def run(self, until):
        """Ask daemons in touch for routes, until a time of the monotonic clock."""
        while time.monotonic() < until:
            await asyncio.sleep(PROBE_EVERY)
            for daemon in self.fleet.alive():
                if daemon.troubled_until < time.monotonic() and not daemon.ended_by_us:
                    await self.probe(daemon)

    async def probe(self, daemon):
        """Ask one daemon for the newest route that is due, and one that is gone."""
        for names, expected in ((self.added, True), (self.dropped, False)):
            for name in newest_due(names):
                await self.ask(daemon, name, expected)
        for keys, expected in ((self.keys, True), (self.withdrawn, False)):
            for key in newest_due(keys):
                await self.ask(daemon, KEYED_ROUTE, expected, key)

    async def ask(self, daemon, name, expected, key=""):
        """Open a session for a route, with a spare key if one is given."""
        self.probes += 1
        sent = time.monotonic()
        try:
            async with asyncio.timeout(OPEN_LIMIT):
                client = await connect(daemon, name, f"p{self.probes}", key)
        except ConnectionRefusedError:
            return
        except ConnectionError as exc:
            if str(exc) != "refused":
                return
            found = False
        except OSError:
            return
        else:
            found = True
            client.close()
        if found != expected and daemon.troubled_until < sent:
            word = "is served" if found else "is refused"
            asked = f"{name} {key}".strip()
            self.book.broken.append(f"CONFIG {asked} {word} at {daemon.name}")


def newest_due(names):
    """The newest of some names that counts everywhere by now, if there is one."""
    due = time.monotonic() - IN_FORCE
    return [name for name, at in names.items() if at < due][-1:]
