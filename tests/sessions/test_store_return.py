"""A fleet whose store is restored from an older copy."""

import asyncio
import os
from random import Random

import pytest

from gypsum_policy.revisions import make_revision
from gypsum_sessions.daemons.feedfollower import WatchedFeed
from gypsum_sessions.daemons.peermessages import FeedState
from gypsum_sessions.daemons.relay import Relay
from tests.sessions import feedrig
from tests.sessions.feedrig import SLOW_LINK, FeedRig
from tests.sessions.test_feeds_behind import (
    BOUND,
    SETTLED,
    change,
    inject_fault,
    recover_all,
)
from tests.sessions.vclock import run

# Time for which the store does not answer before it is restored, seconds.
AWAY = 2.3
# Steps of a random run, and number of random runs.
STEPS = 25
SEEDS = int(os.environ.get("GYPSUM_FUZZ_SEEDS", "10"))


async def lose_changes(rig, count):
    """Make changes that all daemons apply and that the store then loses."""
    copy = rig.store.copy()
    for number in range(count):
        rig.store.put("config", "main", {"version": 10 + number})
        rig.store.put("servers", f"lost{number}", {"address": f"l:{number}"})
    await rig.wait_in_sync(1.0)
    rig.store.silent.update(rig.copies)
    await asyncio.sleep(AWAY)
    rig.store.return_from(copy)
    rig.store.silent.clear()


async def revisions_reused():
    """Three changes are lost, and three others get their revisions."""
    rig = FeedRig()
    await asyncio.sleep(SETTLED)
    await lose_changes(rig, 3)
    for version in (20, 21, 22):
        await asyncio.sleep(0.7)
        rig.store.put("config", "main", {"version": version})
    await rig.wait_in_sync(BOUND)


def test_changes_under_reused_revisions_are_in_force_in_time():
    """Guards against comparing revisions of two eras of the store."""
    run(revisions_reused())


async def removals_in_a_new_history(daemons):
    """Upstreams are removed while no daemon reaches a store that lost changes."""
    rig = FeedRig(daemons=daemons)
    await asyncio.sleep(SETTLED)
    await lose_changes(rig, 3)
    rig.store.silent.update(rig.copies)
    for number in range(6):
        rig.store.remove("servers", f"s{number}")
    rig.store.put("servers", "new", {"address": "n:1"})
    await asyncio.sleep(1.0)
    rig.store.silent.clear()
    await rig.wait_in_sync(BOUND)


@pytest.mark.parametrize("daemons", [15, 6])
def test_objects_removed_in_a_new_era_are_not_kept(daemons):
    """Guards against missing changes below the revision known from the lost era."""
    run(removals_in_a_new_history(daemons))


class StoreBackups:
    """Copies of a rig's store, from which it is restored at random."""

    def __init__(self, *, rig, rng):
        self.rig = rig
        self.rng = rng
        self.kept = [rig.store.copy()]

    def back_up(self):
        """Make a copy of the current state."""
        self.kept.append(self.rig.store.copy())

    def restore_any(self):
        """Restore a random copy; copies made after it are dropped."""
        place = self.rng.randrange(len(self.kept))
        del self.kept[place + 1 :]
        self.rig.store.return_from(self.kept[place])


async def random_run(seed, daemons):
    """Changes, faults and restores of the store in random order."""
    rng = Random(f"returns:{seed}")
    rig = FeedRig(daemons=daemons, seed=seed)
    rig.links.rate = rig.store.rate = rng.choice((0, SLOW_LINK))
    copies = StoreBackups(rig=rig, rng=rng)
    steps = (
        lambda: change(rig, rng),
        lambda: change(rig, rng),
        lambda: inject_fault(rig, rng),
        copies.back_up,
        copies.restore_any,
    )
    await asyncio.sleep(2.0)
    for _ in range(STEPS):
        rng.choice(steps)()
        await asyncio.sleep(rng.choice((0.01, 0.1, 0.7, 3.0)))
    recover_all(rig)
    await asyncio.sleep(BOUND)
    change(rig, rng)
    await rig.wait_in_sync(2 * BOUND)


@pytest.mark.parametrize("daemons", [15, 6])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_daemon_stays_in_a_lost_era_under_random_faults(seed, daemons):
    """Guards against daemons that mix the contents of two eras of the store."""
    run(random_run(seed, daemons))


def test_random_runs_detect_missing_eras(monkeypatch):
    """Checks that the random runs find a missing distinction of eras."""
    monkeypatch.setattr(feedrig, "make_revision", lambda era, number: number)
    with pytest.raises(AssertionError):
        for seed in range(SEEDS):
            run(random_run(seed, daemons=15))


def test_a_watcher_in_an_earlier_era_confirms_nothing():
    """Guards against trusting a watcher whose own watch is stuck in a lost era."""
    old = FeedState(since=make_revision(1, 90), revision=make_revision(1, 99))
    feed = WatchedFeed(known=make_revision(2, 3), state=old)
    assert feed.confirmed_state is None
    assert not feed.behind and feed.ahead


def test_a_follower_in_a_lost_era_is_behind_a_watcher_in_the_new_one():
    """Guards against a follower that relies on the revisions of a lost era."""
    new = FeedState(since=make_revision(1, 90), revision=make_revision(2, 91))
    assert WatchedFeed(known=make_revision(1, 93), state=new).behind


def test_an_equal_list_in_a_new_era_counts_as_changed():
    """Guards against followers that keep objects whose removal they have missed."""
    relay = Relay(clock=lambda: 0.0, in_touch_for=5.0, watches=lambda: True)
    relay.take_all("things", {}, make_revision(1, 5))
    relay.take_all("things", {}, make_revision(1, 7))
    assert relay.feeds["things"].since == make_revision(1, 5)
    relay.take_all("things", {}, make_revision(2, 6))
    assert relay.feeds["things"].since == make_revision(2, 6)
