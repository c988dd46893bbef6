"""A fleet whose entries are lost because the store is restored from an older copy."""

import asyncio

import pytest

from gypsum_platform.leases import SYSTEM_KIND
from gypsum_platform.object_handlers import DAEMON_PREFIX, LINK_KEY
from gypsum_policy.membership import (
    REREGISTRATIONS_PER_S,
    missing_grace_period,
    reregistration_delay,
)
from gypsum_sessions.daemons.registry import DaemonEntry, DaemonRegistry
from tests.sessions.fleetrig import FleetRig
from tests.sessions.vclock import run

SETTLED = 10.0
# Maximum number of entries written in any second: twice the target rate.
MAX_WRITES = 2 * REREGISTRATIONS_PER_S


async def lose_all_entries(rig):
    """Restore the store from a copy that is older than the fleet."""
    empty = rig.store.copy()
    await asyncio.sleep(SETTLED)
    assert rig.missing_peers() == []
    key = rig.store.kinds[SYSTEM_KIND][LINK_KEY].spec
    rig.calls()
    rig.store.return_from(empty)
    return key


def listed(rig):
    """Daemons that have an entry in the store."""
    return [name for name in rig.store.kinds[SYSTEM_KIND] if DAEMON_PREFIX in name]


@pytest.mark.parametrize("daemons", [9, 65, 195])
def test_lost_entries_and_the_key_are_rewritten_at_a_limited_rate(daemons):
    """Guards against a fleet unknown to new daemons, which use another key."""

    async def main():
        rig = FleetRig(daemons=daemons)
        key = await lose_all_entries(rig)
        for _ in range(20):
            before = rig.calls()["create", SYSTEM_KIND]
            assert before <= MAX_WRITES
            await asyncio.sleep(1.0)
        assert len(listed(rig)) == daemons
        assert rig.store.kinds[SYSTEM_KIND][LINK_KEY].spec == key
        assert rig.missing_peers() == []

    run(main())


@pytest.mark.parametrize("daemons", [9, 65])
def test_daemons_keep_their_places_while_entries_are_lost(daemons):
    """Guards against daemons that each consider themselves the only one."""

    async def main():
        rig = FleetRig(daemons=daemons)
        await lose_all_entries(rig)
        for _ in range(200):
            assert rig.missing_peers() == []
            await asyncio.sleep(0.1)

    run(main())


def entries(*names):
    """Entries of daemons."""
    return [DaemonEntry(id=name, domain="a", revision=1) for name in names]


def test_a_daemon_off_the_list_is_dropped_after_its_checks():
    daemons = DaemonRegistry(own=DaemonEntry(id="d1", domain="a"))
    daemons.take_all(entries("d1", "d2", "d3"))
    daemons.take_all(entries("d1"))
    assert set(daemons.known) == {"d1", "d2", "d3"}
    assert daemons.expire(2) == []
    daemons.add(entries("d3")[0])
    assert daemons.expire(2) == ["d2"]
    daemons.discard("d2")
    assert daemons.expire(2) == []
    assert set(daemons.known) == {"d1", "d3"}


def test_a_large_fleet_rewrites_entries_within_the_grace_period():
    assert reregistration_delay(4000, 1.0) == 4000 / REREGISTRATIONS_PER_S
    assert missing_grace_period(4000) > reregistration_delay(4000, 1.0)
