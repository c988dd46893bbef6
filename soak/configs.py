"""Configurations of a soak, and whether they are in force where they have to be."""

import asyncio
import time

from soak.fleet import connect

# The users' bound on a change, and what a probe takes, seconds.
IN_FORCE = 5.0
PROBE_EVERY = 0.7
OPEN_LIMIT = 2.0


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
        self.probes = 0

    async def change(self, bulk=0):
        """A new version: one route more, the oldest less once there are some."""
        self.number += 1
        name = f"extra{self.number}"
        old = list(self.added)[0] if len(self.added) > 3 else ""
        if old:
            del self.added[old]
        await self.standins.do(
            "configure", add=[name], drop=[old] if old else [], bulk=bulk
        )
        self.added[name] = time.monotonic()
        if old:
            self.dropped[old] = time.monotonic()

    async def run(self, until):
        """Ask daemons in touch for routes, until a time of the monotonic clock."""
        while time.monotonic() < until:
            await asyncio.sleep(PROBE_EVERY)
            for daemon in self.fleet.alive():
                if daemon.troubled_until < time.monotonic() and not daemon.ended_by_us:
                    await self.probe(daemon)

    async def probe(self, daemon):
        """Ask one daemon for the newest route that is due, and one that is gone."""
        due = time.monotonic() - IN_FORCE
        there = [name for name, at in self.added.items() if at < due]
        gone = [name for name, at in self.dropped.items() if at < due]
        for name, expected in [(there[-1:], True), (gone[-1:], False)]:
            if name:
                await self.ask(daemon, name[0], expected)

    async def ask(self, daemon, name, expected):
        """Open a session for a route."""
        self.probes += 1
        sent = time.monotonic()
        try:
            async with asyncio.timeout(OPEN_LIMIT):
                client = await connect(daemon, name, f"p{self.probes}")
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
            self.book.broken.append(f"CONFIG {name} {word} at {daemon.name}")
