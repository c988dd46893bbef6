"""Changes the configuration during a soak run and checks that daemons apply it.

Each change adds and removes routes and spare keys. A daemon that no fault affects has
to accept what was added and refuse what was removed.
"""

import asyncio
import time

from soak.fleet import connect
from soak.workspaces import SPARE_KEY_PREFIX

# Seconds within which a change has to be in force: the required limit plus the duration
# of a probe.
CHANGE_TIMEOUT = 5.0
PROBE_INTERVAL = 0.7
CONNECT_TIMEOUT = 2.0
# A route that is never removed.
KEYED_ROUTE = "own"


class ConfigChanges:
    """Changes routes and keys, and probes unaffected daemons for them."""

    def __init__(self, *, fleet, standins, checker, rng):
        self.fleet = fleet
        self.standins = standins
        self.checker = checker
        self.rng = rng
        self.change_number = 0
        self.added = {}
        self.removed = {}
        self.keys = {}
        self.withdrawn = {}
        self.probes = 0

    async def change(self, bulk=0):
        """Write a new version with a route and key added.

        The previous key is withdrawn, and the oldest route is removed if there are more
        than three. `bulk` is the number of further routes.
        """
        self.change_number += 1
        name = f"extra{self.change_number}"
        old = list(self.added)[0] if len(self.added) > 3 else ""
        if old:
            del self.added[old]
        await self.standins.run_command(
            "configure",
            add=[name],
            drop=[old] if old else [],
            bulk=bulk,
            keys=[f"{SPARE_KEY_PREFIX}{self.change_number}"],
        )
        now = time.monotonic()
        self.added[name] = now
        if old:
            self.removed[old] = now
        self.withdrawn |= dict.fromkeys(self.keys, now)
        self.keys = {f"{SPARE_KEY_PREFIX}{self.change_number}": now}

    async def run(self, until):
        """Probe unaffected daemons until a time of the monotonic clock."""
        while time.monotonic() < until:
            await asyncio.sleep(PROBE_INTERVAL)
            for daemon in self.fleet.running():
                if (
                    daemon.affected_until < time.monotonic()
                    and not daemon.stopped_by_soak
                ):
                    await self.probe(daemon)

    async def probe(self, daemon):
        """Check the last added and removed routes and keys that have to be in force."""
        for names, expected in ((self.added, True), (self.removed, False)):
            for name in newest_in_force(names):
                await self.check_session(daemon, name, expected)
        for keys, expected in ((self.keys, True), (self.withdrawn, False)):
            for key in newest_in_force(keys):
                await self.check_session(daemon, KEYED_ROUTE, expected, key)

    async def check_session(self, daemon, name, expected, key=""):
        """Open a session for a route, with `key` if given, and check the outcome.

        Other errors than a refusal by the daemon are ignored, and so is the outcome if
        a fault affected the daemon meanwhile.
        """
        self.probes += 1
        sent = time.monotonic()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                client = await connect(daemon, name, f"p{self.probes}", key)
        except ConnectionRefusedError:
            return
        except ConnectionError as exc:
            if str(exc) != "refused":
                return
            accepted = False
        except OSError:
            return
        else:
            accepted = True
            client.close()
        if accepted != expected and daemon.affected_until < sent:
            word = "is served" if accepted else "is refused"
            asked = f"{name} {key}".strip()
            self.checker.broken.append(f"CONFIG {asked} {word} at {daemon.name}")


def newest_in_force(names):
    """Return the newest name whose change has to be in force, in a list, or []."""
    due = time.monotonic() - CHANGE_TIMEOUT
    return [name for name, at in names.items() if at < due][-1:]
