"""How often a fleet calls the store: at its start, and while nothing changes."""

import asyncio

import pytest

from tests.sessions.fleetrig import FleetRig
from tests.sessions.vclock import run

# Daemons of a large deployment, and of one a third of that.
LARGE, SMALLER = 195, 65
# A day's length, seconds, and when all has settled.
DAY, SETTLED = 50.0, 10.0
# Calls of a day that the aim allows a fleet of 195 daemons.
MAX_CALLS = 1700


async def day(daemons):
    """Calls until all has settled and after it; all daemons know each other then."""
    rig = FleetRig(daemons=daemons)
    await asyncio.sleep(SETTLED)
    assert rig.missing_peers() == []
    start = rig.calls()
    await asyncio.sleep(DAY - SETTLED)
    return start, rig.calls()


def test_a_large_fleet_calls_the_store_a_few_times_a_daemon():
    """Symptom: 195 daemons call the store 3,400 times on a day without events.

    Sequence: they start within a second, each registers, and each that is not told of
    it yet watches the store: every entry ends all waiting watches, which are asked
    again. Cause: changes that come in a swarm were fetched one by one, and daemons that
    were about to follow a watcher watched the store until then.
    """
    start, later = run(day(LARGE))
    assert sum((start + later).values()) <= MAX_CALLS
    assert sum(start.values()) <= 6 * LARGE


def test_calls_of_a_settled_fleet_do_not_grow_with_it():
    _, smaller = run(day(SMALLER))
    _, large = run(day(LARGE))
    assert sum(large.values()) <= 1.1 * sum(smaller.values())


def test_a_fleet_that_starts_leaves_groups_to_their_owners():
    """Symptom: 300 daemons use up all their time, and the upstreams' connections,
    before anybody has asked for anything.

    Sequence: each reads the list of daemons when it is nearly empty, finds that it owns
    every group, searches for the leaders of all, and holds on to them. Cause: a list
    that still grew was gone by.
    """

    async def main():
        rig = FleetRig(daemons=60, groups=40)
        most = 0
        for _ in range(60):
            await asyncio.sleep(0.1)
            most = max([most, *(len(proxy.groups) for proxy in rig.proxies)])
        return most

    # Four owners of forty groups each over sixty daemons: fewer than three a daemon.
    assert run(main()) <= 10


@pytest.mark.parametrize("seed", [2, 3])
def test_everybody_knows_of_a_daemon_that_comes_later(seed):
    """The counterpart: who waits for a watcher misses nothing."""

    async def main():
        rig = FleetRig(daemons=40, seed=seed)
        await asyncio.sleep(SETTLED)
        rig.start("late", "z0")
        await asyncio.sleep(1.5)
        assert rig.missing_peers() == []

    run(main())
