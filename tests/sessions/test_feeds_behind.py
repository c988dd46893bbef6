"""Daemons that missed changes of the store, and how they get them."""

import asyncio
from random import Random

import pytest

from gypsum_policy.draining import make_drain_plan
from gypsum_sessions.callers.drain import drain
from gypsum_sessions.daemons import feedfollower
from gypsum_sessions.daemons.feedfollower import FeedFollower
from gypsum_sessions.daemons.relay import Relay
from tests.sessions.feedrig import SLOW_LINK, FeedRig, large_config
from tests.sessions.vclock import run

# Time within which a change is in force at each daemon that reaches the store, or a
# daemon that does, seconds: the users' bound for large deployments.
BOUND = 5.0
# By then followers have ended the first watch of their own, seconds.
SETTLED = 6.0


def test_a_follower_that_missed_a_large_change_catches_up():
    """Guards against a follower that counts as up to date after a missed change.

    Seven of 74 daemons used configuration 4 until the 23rd second, while 16 was in
    force everywhere else, and did not ask the store. Their logs showed that each was
    behind its watcher but counted as up to date. The store had rejected their calls
    while the change was made, which was too large to be relayed. Afterwards their
    watcher confirmed a later revision than theirs, which was wrongly treated as proof
    that they were up to date.
    """

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        rig.store.busy.update(rig.followers[:5])
        rig.store.put("config", "main", large_config(2))
        await asyncio.sleep(4.0)
        rig.store.busy.clear()
        await rig.wait_in_sync(BOUND)

    run(main())


def test_a_small_change_after_a_gap_does_not_hide_the_gap():
    """Guards against an added upstream that some daemons never learn of.

    A daemon misses a large change while it does not reach the store, then applies a
    small one that is relayed. Updates did not contain the revision that they start
    from, so the daemon counted as up to date at the revision of the small one.
    """

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        rig.store.busy.update(rig.followers[:5])
        for number in range(400):
            rig.store.put("servers", f"n{number}", {"address": f"b:{number}" * 10})
        await asyncio.sleep(0.5)
        rig.store.put("servers", "last", {"address": "c:1"})
        await asyncio.sleep(3.0)
        rig.store.busy.clear()
        await rig.wait_in_sync(BOUND)

    run(main())


async def small_change_right_after_a_gap():
    """Make a small change while a large one is being sent in pieces."""
    rig = FeedRig()
    rig.links.rate = rig.store.rate = SLOW_LINK
    await asyncio.sleep(SETTLED)
    rig.store.busy.update(rig.followers[:5])
    await asyncio.sleep(1.0)
    for number in range(400):
        address = {"address": f"b:{Random(number).getrandbits(400):x}"}
        rig.store.put("servers", f"n{number}", address)
    await asyncio.sleep(0.05)
    rig.store.put("servers", "last", {"address": "c:1"})
    await rig.wait_in_sync(BOUND)


def test_a_small_change_right_after_a_gap_does_not_hide_it():
    """Guards against the same failure for a large change received from a watcher.

    The small change overtakes the pieces of the large one, which were then dropped as
    old.
    """
    run(small_change_right_after_a_gap())


@pytest.mark.parametrize("trouble", ["busy", "silent"])
def test_a_daemon_without_the_store_gets_large_lists_from_a_watcher(trouble):
    """Guards against refusing a route that was added 15 s before.

    The store rejects the calls of a third of the daemons, or does not answer them, and
    a large change is made. Watchers did not relay it because of its size.
    """

    async def main():
        rig = FeedRig()
        rig.links.rate = SLOW_LINK
        rig.store.rate = SLOW_LINK
        await asyncio.sleep(SETTLED)
        getattr(rig.store, trouble).update(rig.followers[:5])
        await asyncio.sleep(1.0)
        rig.store.put("config", "main", large_config(2))
        await rig.wait_in_sync(BOUND)

    run(main())


def test_a_watcher_that_does_not_reach_the_store_follows_another():
    """Guards against a watcher that keeps an old configuration.

    The store rejects the calls of one watcher, and watchers asked only the store.
    """

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        rig.store.busy.add(rig.watchers[0])
        await asyncio.sleep(1.0)
        rig.store.put("config", "main", large_config(2))
        await rig.wait_in_sync(BOUND)

    run(main())


def test_a_watcher_rejected_by_the_store_is_replaced():
    """Guards against an old configuration at all followers of one watcher.

    The store rejects the calls of the watcher and of its followers. The watcher was
    left only when it was silent, not when it had no confirmed feeds.
    """

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        rig.store.busy.add(rig.watchers[0])
        rig.store.busy.update(rig.followers)
        await asyncio.sleep(1.0)
        rig.store.put("config", "main", {"version": 2})
        rig.store.put("servers", "new", {"address": "n:1"})
        await rig.wait_in_sync(BOUND)

    run(main())


def test_a_daemon_that_watches_again_relays_what_it_missed():
    """Guards against a replaced upstream that some daemons keep.

    A watcher follows another one for a while, watches again, and a daemon begins to
    follow it. The list that it relayed lacked what it had applied meanwhile.
    """

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        first, second = rig.watchers
        rig.store.busy.add(first)
        await asyncio.sleep(1.0)
        for number in range(3):
            rig.store.remove("servers", f"s{number}")
            rig.store.put("servers", f"t{number}", {"address": f"t:{number}"})
        await asyncio.sleep(3.0)
        rig.store.busy.clear()
        await asyncio.sleep(6.0)
        rig.store.busy.update([second, *rig.followers])
        rig.store.put("servers", "late", {"address": "l:1"})
        await rig.wait_in_sync(BOUND)

    run(main())


def test_up_to_date_followers_do_not_call_the_store():
    """Followers that are up to date make no calls, even if other kinds change."""

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        before = {name: rig.clients[name].calls for name in rig.followers}
        for number in range(40):
            rig.store.put("servers", f"s{number % 6}", {"address": f"z:{number}"})
            await asyncio.sleep(0.5)
        await rig.wait_in_sync(BOUND)
        after = {name: rig.clients[name].calls for name in rig.followers}
        assert after == before

    run(main())


def test_a_large_change_reaches_followers_through_their_watchers():
    """Load: a large configuration changes, and all daemons have links of 5 Mbit/s.

    A follower that reads it from the store occupies its link for half a second, and
    makes a call that is paid for. Packed, it takes less than half of that, interleaved
    with statements, and only the watchers call the store.
    """

    async def main():
        rig = FeedRig()
        rig.links.rate = rig.store.rate = SLOW_LINK
        await asyncio.sleep(SETTLED)
        before = {name: rig.clients[name].calls for name in rig.followers}
        rig.store.put("config", "main", large_config(2))
        await rig.wait_in_sync(1.0)
        after = {name: rig.clients[name].calls for name in rig.followers}
        assert after == before

    run(main())


def test_followers_of_a_watcher_with_a_silent_store_are_in_time():
    """Guards against a watcher that confirms feeds while its own watch hangs."""

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        rig.store.put("config", "main", {"version": 2})
        rig.store.put("servers", "s1", {"address": "b:1"})
        await asyncio.sleep(0.01)
        silent = rig.watchers[0]
        rig.store.silent.add(silent)
        rig.store.put("config", "main", {"version": 3})
        await asyncio.sleep(BOUND)
        assert [name for name, _ in rig.out_of_date() if name != silent] == []

    run(main())


def change(rig, rng):
    """Make a random change in the store."""
    store, number = rig.store, rng.randrange(8)
    match rng.choice(("small", "small", "large", "many", "remove", "forget")):
        case "small":
            store.put("servers", f"s{number}", {"address": f"x:{rng.random()}"})
        case "large":
            store.put("config", "main", large_config(rng.randrange(1 << 30)))
        case "many":
            for name in range(300):
                store.put("servers", f"m{name}", {"address": f"y:{rng.random()}" * 5})
        case "remove":
            store.remove("servers", f"s{number}")
        case "forget":
            store.forget_history()


def inject_fault(rig, rng):
    """Cut some daemons off from the store, freeze a daemon, or recover all."""
    names = list(rig.copies)
    some = rng.sample(names, len(names) // 3)
    match rng.choice(("busy", "silent", "watchers", "freeze", "well", "well")):
        case "busy":
            rig.store.busy.update(some)
        case "silent":
            rig.store.silent.update(some)
        case "watchers":
            rig.store.busy.update(rng.sample(rig.watchers, 1))
        case "freeze":
            rig.links.freeze(rng.choice(names))
        case "well":
            recover_all(rig)


def recover_all(rig):
    """Resume all daemons and let them reach the store."""
    rig.store.busy.clear()
    rig.store.silent.clear()
    for name in list(rig.links.frozen):
        rig.links.thaw(name)


async def random_run(seed, daemons):
    """Changes and faults in random order; AssertionError if a daemon stays behind."""
    rng = Random(seed)
    rig = FeedRig(daemons=daemons, seed=seed)
    rig.links.rate = rig.store.rate = rng.choice((0, SLOW_LINK))
    await asyncio.sleep(2.0)
    for _ in range(40):
        rng.choice((change, change, inject_fault))(rig, rng)
        await asyncio.sleep(rng.choice((0.01, 0.1, 0.7, 3.0)))
    for name in list(rig.links.frozen):
        rig.links.thaw(name)
    if not set(rig.watchers) - rig.store.busy - rig.store.silent:
        recover_all(rig)
    await asyncio.sleep(BOUND)
    change(rig, rng)
    await rig.wait_in_sync(2 * BOUND)


@pytest.mark.parametrize("daemons", [15, 6])
@pytest.mark.parametrize("seed", range(12))
def test_no_daemon_stays_behind_under_random_faults(seed, daemons):
    """Daemons that reach an up-to-date daemon are not behind for longer than the bound.

    Small and large changes are made while some daemons do not reach the store, daemons
    freeze, and watchers change.
    """
    run(random_run(seed, daemons))


def always(*args, **fields):
    """Return True."""
    return True


def never(*args, **fields):
    """Return False, and do nothing."""
    return False


BREAKS = {
    "every follower counts as up to date": (feedfollower, "is_current", always),
    "gaps are overlooked": (feedfollower, "is_contiguous", always),
    "whole lists are never requested": (FeedFollower, "request_list", never),
    "unusable watchers are kept": (
        FeedFollower,
        "watcher_is_unusable",
        never,
    ),
    "watchers never follow another one": (FeedFollower, "store_lost", never),
    "outdated lists are relayed": (Relay, "drop_feed", never),
    "changes are not recorded": (Relay, "mark_changed", never),
}


@pytest.mark.parametrize("name", BREAKS)
def test_a_planted_break_is_noticed(name, monkeypatch):
    """Each rule that keeps daemons from staying behind is covered by these runs."""
    monkeypatch.setattr(*BREAKS[name])
    with pytest.raises(AssertionError):
        run(small_change_right_after_a_gap())
        for seed in range(12):
            for daemons in (15, 6):
                run(random_run(seed, daemons))


def test_followers_of_a_draining_watcher_have_another_before_it_ends():
    """Guards against daemons that use an old configuration during a rolling restart.

    A watcher is told to stop; a change is made a moment later, and one more after its
    end. Its followers stayed until its links ended, or opened new ones to it.
    """

    async def main():
        rig = FeedRig()
        await asyncio.sleep(SETTLED)
        leaving = next(p for p in rig.rig.proxies if p.daemons.watches())
        draining = asyncio.create_task(
            drain(leaving, make_drain_plan(6.0), lambda: None)
        )
        await asyncio.sleep(0.5)
        followed = {
            proxy.feed_follower.link.peer
            for proxy in rig.rig.proxies
            if proxy.feed_follower.link is not None
        }
        assert followed and leaving.name not in followed
        rig.store.put("config", "main", {"version": 2})
        await rig.wait_in_sync(0.5)
        await draining
        rig.links.kill(leaving.name)
        rig.store.put("config", "main", {"version": 3})
        await rig.wait_in_sync(0.5)

    run(main())
