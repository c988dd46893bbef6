"""Calls of a fleet to a store that rejects them all, and its return.

The load: 88 daemons in three failure domains; the store is away for seconds, in the
midst of a day, or while all daemons start after a power loss.
"""

import asyncio

import pytest

from gypsum_platform.leases import SYSTEM_KIND
from gypsum_platform.object_handlers import DAEMON_PREFIX, LINK_KEY
from gypsum_sessions.callers.caller import LISTS_TIMEOUT
from tests.sessions.fleetrig import FleetRig
from tests.sessions.vclock import run

DAEMONS, DOMAINS = 88, 3
NAMES = [f"d{number}" for number in range(DAEMONS)]
SETTLED = 15.0
# Calls in an outage: three feeds that each call at once, and a few retries.
MAX_CALLS = 10 * DAEMONS


def test_a_fleet_calls_an_unavailable_store_a_few_times_a_daemon():
    """Guards against 1,610 calls in an outage of ten seconds.

    Each of the three feeds of a daemon retried by itself.
    """

    async def main():
        rig = FleetRig(daemons=DAEMONS, domains=DOMAINS)
        await asyncio.sleep(SETTLED)
        rig.calls()
        rig.store.busy = set(NAMES)
        await asyncio.sleep(10.0)
        return sum(rig.calls().values())

    assert run(main()) <= MAX_CALLS


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_that_starts_in_an_outage_serves_soon_after_it(seed):
    """Guards against 1,410 calls in an outage of two seconds, and after it.

    Each feed retried by itself, and each daemon tried to write an entry that existed,
    since it could not read the list. Callers wait for the lists for LISTS_TIMEOUT.
    """

    async def main():
        rig = FleetRig(daemons=DAEMONS, domains=DOMAINS, seed=seed)
        for number, name in enumerate(NAMES):
            entry = {"domain": f"z{number % DOMAINS}", "link": name}
            rig.store.put(SYSTEM_KIND, DAEMON_PREFIX + name, entry)
        rig.store.put(SYSTEM_KIND, LINK_KEY, {"key": "k"})
        rig.store.busy = set(NAMES)
        await asyncio.sleep(2.3)
        during = rig.calls()
        rig.store.busy = set()
        await asyncio.sleep(LISTS_TIMEOUT)
        assert all(proxy.daemons.listed for proxy in rig.proxies)
        return during, rig.calls()

    during, after = run(main())
    assert sum(during.values()) <= MAX_CALLS
    assert (during + after)["create", SYSTEM_KIND] == 0
