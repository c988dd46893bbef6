"""Number of store calls of a fleet, during its start and while nothing changes."""

import asyncio

import pytest

from tests.sessions.fleetrig import FleetRig
from tests.sessions.vclock import run

# Number of daemons of a large deployment, and of one a third of its size.
LARGE, SMALLER = 195, 65
# Length of a day, and time until the fleet has settled, seconds.
DAY, SETTLED = 50.0, 10.0
# Calls in a day that a fleet of 195 daemons may make.
MAX_CALLS = 1700


async def day(daemons):
    """Calls until the fleet has settled, and after it; checks that it has settled."""
    rig = FleetRig(daemons=daemons)
    await asyncio.sleep(SETTLED)
    assert rig.missing_peers() == []
    start = rig.calls()
    await asyncio.sleep(DAY - SETTLED)
    return start, rig.calls()


def test_a_large_fleet_calls_the_store_a_few_times_a_daemon():
    """Guards against 195 daemons that make 3,400 store calls on a day without events.

    They start within a second and register. Each daemon that does not follow a watcher
    yet watches the store, and every new entry ends all waiting watches, which are then
    repeated. Changes in quick succession were fetched one by one, and daemons watched
    the store until they found a watcher.
    """
    start, later = run(day(LARGE))
    assert sum((start + later).values()) <= MAX_CALLS
    assert sum(start.values()) <= 6 * LARGE


def test_calls_of_a_settled_fleet_do_not_grow_with_it():
    _, smaller = run(day(SMALLER))
    _, large = run(day(LARGE))
    assert sum(large.values()) <= 1.1 * sum(smaller.values())


def test_starting_daemons_leave_groups_to_their_owners():
    """Guards against starting daemons that each take on all groups.

    300 daemons used all of their CPU time and the upstreams' connections before the
    first statement. Each read the list of daemons while it was nearly empty, found that
    it owned every group, searched for the leaders of all, and kept the groups.
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
def test_all_daemons_know_of_one_that_starts_later(seed):
    """A daemon that waits for a watcher misses no entry."""

    async def main():
        rig = FleetRig(daemons=40, seed=seed)
        await asyncio.sleep(SETTLED)
        rig.start("late", "z0")
        await asyncio.sleep(1.5)
        assert rig.missing_peers() == []

    run(main())
