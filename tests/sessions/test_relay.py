"""News of the store reach daemons that do not watch it, and never older ones."""

import asyncio

from gypsum_policy.relays import MOST_BYTES, SILENT_AFTER, watcher_count
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

DAEMONS = 15
FEED = "things"


async def make_rig():
    """Fifteen daemons in one domain, two of them watchers; one follower that runs."""
    rig = Rig(daemons=DAEMONS, max_connections=9)
    follower = next(proxy for proxy in rig.proxies if not proxy.daemons.watches())
    watchers = [rig.links.proxies[name] for name in follower.daemons.watchers()]
    assert len(watchers) == 2
    for proxy in watchers:
        proxy.keep_running(proxy.relay.run)
        proxy.relay.take_all(FEED, {"a": {"x": 1}}, 10)
        proxy.keep_running(touch(proxy))
    follower.following.knows(FEED, 10)
    follower.keep_running(follower.following.run)
    await asyncio.sleep(1.0)
    return rig, follower, watchers


def touch(proxy):
    """The store answers a watcher again and again."""

    async def keep_touching():
        while True:
            proxy.relay.touched(FEED)
            await asyncio.sleep(0.1)

    return keep_touching


def followed(rig, follower):
    """The watcher that is followed."""
    return rig.links.proxies[follower.following.link.peer]


def test_a_few_watch_and_small_fleets_all_do():
    assert watcher_count(91, 3) == 6
    assert watcher_count(9, 3) == 9


def test_news_come_in_order_and_once():
    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        watcher.relay.take_changes(FEED, {"b": {"x": 2}}, [], 11)
        watcher.relay.take_changes(FEED, {}, ["a"], 12)
        first = await follower.following.next(FEED)
        follower.following.knows(FEED, first.revision)
        second = await follower.following.next(FEED)
        assert (first.changed, first.revision) == ({"b": {"x": 2}}, 11)
        assert (second.removed, second.revision) == (("a",), 12)

    run(main())


def test_one_that_begins_to_follow_late_gets_the_whole_list():
    async def main():
        rig, follower, watchers = await make_rig()
        late = next(
            proxy
            for proxy in rig.proxies
            if proxy is not follower and not proxy.daemons.watches()
        )
        for proxy in watchers:
            proxy.relay.take_changes(FEED, {"b": {"x": 2}}, [], 11)
        late.following.knows(FEED, 10)
        late.keep_running(late.following.run)
        await asyncio.sleep(1.0)
        news = await late.following.next(FEED)
        assert news.whole and set(news.changed) == {"a", "b"}

    run(main())


def test_a_watcher_that_falls_silent_is_left_for_another():
    """Symptom: a daemon serves by a configuration that is long gone.

    Sequence: the watcher that it follows freezes. Cause: nothing tells it that no
    news come because nobody can send any.
    """

    async def main():
        rig, follower, _ = await make_rig()
        first = followed(rig, follower)
        rig.links.freeze(first.name)
        await asyncio.sleep(SILENT_AFTER + 0.1)
        assert not follower.following.current(FEED)
        await asyncio.sleep(1.5)
        assert follower.following.current(FEED)
        assert followed(rig, follower) is not first

    run(main())


def test_a_watcher_without_the_store_vouches_for_nothing():
    """Symptom: as above, the watcher lives.

    Sequence: the watcher is cut from the store, the others are not. Cause: it is
    followed on, and has no news.
    """

    async def main():
        rig, follower, _ = await make_rig()
        first = followed(rig, follower)
        first.relay.touched = lambda name: None
        await asyncio.sleep(first.tuning.in_touch_for + 1.0)
        assert not follower.following.current(FEED)

    run(main())


def test_a_watcher_that_is_behind_is_not_followed_for_that_feed():
    async def main():
        _, follower, _ = await make_rig()
        follower.following.knows(FEED, 50)
        assert not follower.following.current(FEED)
        assert await follower.following.next(FEED) is None

    run(main())


def test_news_that_are_too_large_are_left_to_the_store():
    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        watcher.relay.take_changes(FEED, {"b": {"x": "y" * MOST_BYTES}}, [], 11)
        await asyncio.sleep(0.1)
        assert not follower.following.current(FEED)
        assert await follower.following.next(FEED) is None

    run(main())
