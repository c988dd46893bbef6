"""A fleet whose store returns from an older copy."""

import asyncio

import pytest

from tests.sessions.feedrig import FeedRig
from tests.sessions.test_feeds_behind import BOUND, SETTLED
from tests.sessions.vclock import run

# The store is away for this long before it returns, seconds.
AWAY = 2.3


async def lose_changes(rig, count):
    """Make changes that all daemons learn of and that the store then loses."""
    copy = rig.store.copy()
    for number in range(count):
        rig.store.put("config", "main", {"version": 10 + number})
        rig.store.put("servers", f"lost{number}", {"address": f"l:{number}"})
    await rig.in_force(1.0)
    rig.store.silent.update(rig.copies)
    await asyncio.sleep(AWAY)
    rig.store.return_from(copy)
    rig.store.silent.clear()


def test_changes_under_revisions_that_are_given_out_again_are_in_force_in_time():
    """Guards against comparing revisions of two histories of the store."""

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        await lose_changes(rig, 3)
        for version in (20, 21, 22):
            await asyncio.sleep(0.7)
            rig.store.put("config", "main", {"version": version})
        await rig.in_force(BOUND)

    run(main())


@pytest.mark.parametrize("daemons", [15, 6])
def test_what_a_new_history_removed_is_not_kept(daemons):
    """Guards against missing changes below the revision known of the lost history."""

    async def main():
        rig = FeedRig(daemons=daemons)
        await asyncio.sleep(SETTLED)
        await lose_changes(rig, 3)
        rig.store.silent.update(rig.copies)
        for number in range(6):
            rig.store.remove("servers", f"s{number}")
        rig.store.put("servers", "new", {"address": "n:1"})
        await asyncio.sleep(1.0)
        rig.store.silent.clear()
        await rig.in_force(BOUND)

    run(main())
