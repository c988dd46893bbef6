"""A fleet whose store returns from an older copy."""

import asyncio
import os
from random import Random

import pytest

from gypsum_policy.revisions import in_era
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

# The store is away for this long before it returns, seconds.
AWAY = 2.3
# Changes, troubles and returns of a random run, and how many of these there are.
STEPS = 25
SEEDS = int(os.environ.get("GYPSUM_FUZZ_SEEDS", "10"))


async def lose_changes(rig, count):
    """Make changes that all daemons learn of and that the store then loses."""
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
    """Three changes are lost, three others get their revisions."""
    rig = FeedRig()
    await asyncio.sleep(SETTLED)
    await lose_changes(rig, 3)
    for version in (20, 21, 22):
        await asyncio.sleep(0.7)
        rig.store.put("config", "main", {"version": version})
    await rig.wait_in_sync(BOUND)


def test_changes_under_revisions_that_are_given_out_again_are_in_force_in_time():
    """Guards against comparing revisions of two histories of the store."""
    run(revisions_reused())


async def removals_in_a_new_history(daemons):
    """Upstreams are removed while nobody reaches a store that lost changes."""
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
def test_what_a_new_history_removed_is_not_kept(daemons):
    """Guards against missing changes below the revision known of the lost history."""
    run(removals_in_a_new_history(daemons))


class StoreBackups:
    """Copies of a rig's store, from which it returns now and then."""

    def __init__(self, *, rig, rng):
        self.rig = rig
        self.rng = rng
        self.kept = [rig.store.copy()]

    def back_up(self):
        """Keep a copy of now."""
        self.kept.append(self.rig.store.copy())

    def restore_any(self):
        """Return from any copy; those after it are lost with the history."""
        place = self.rng.randrange(len(self.kept))
        del self.kept[place + 1 :]
        self.rig.store.return_from(self.kept[place])


async def random_run(seed, daemons):
    """Changes, troubles and returns of the store in any order."""
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
def test_nobody_stays_in_a_lost_history_whatever_happens(seed, daemons):
    """Guards against daemons that mix what two histories of the store hold."""
    run(random_run(seed, daemons))


def test_a_fleet_that_does_not_tell_eras_apart_is_noticed(monkeypatch):
    """Guards against random runs that would find nothing."""
    monkeypatch.setattr(feedrig, "in_era", lambda era, number: number)
    with pytest.raises(AssertionError):
        for seed in range(SEEDS):
            run(random_run(seed, daemons=15))


def test_a_watcher_in_an_earlier_era_confirms_nothing():
    """Guards against resting on a watcher whose own watch hangs in a lost history."""
    old = FeedState(since=in_era(1, 90), revision=in_era(1, 99))
    feed = WatchedFeed(known=in_era(2, 3), state=old)
    assert feed.confirmed_state is None
    assert not feed.behind and feed.ahead


def test_who_knows_a_lost_history_is_behind_a_watcher_in_the_new_one():
    """Guards against a follower that rests on the revisions of a lost history."""
    new = FeedState(since=in_era(1, 90), revision=in_era(2, 91))
    assert WatchedFeed(known=in_era(1, 93), state=new).behind


def test_a_list_that_is_the_same_in_a_new_era_counts_as_changed():
    """Guards against followers that keep what a lost history has removed."""
    relay = Relay(clock=lambda: 0.0, in_touch_for=5.0, watches=lambda: True)
    relay.take_all("things", {}, in_era(1, 5))
    relay.take_all("things", {}, in_era(1, 7))
    assert relay.feeds["things"].since == in_era(1, 5)
    relay.take_all("things", {}, in_era(2, 6))
    assert relay.feeds["things"].since == in_era(2, 6)
