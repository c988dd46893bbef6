"""Feed updates reach daemons that do not watch the store, and never out of order."""

import asyncio
from random import Random

import pytest

from gypsum_policy.relays import (
    MAX_CHANGE_BYTES,
    PIECE_BYTES,
    WATCHER_TIMEOUT,
    is_contiguous,
    is_current,
    watcher_count,
)
from gypsum_sessions.daemons.packing import PackingError, pack, unpack
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

DAEMONS = 15
FEED = "things"


async def make_rig():
    """Fifteen daemons in one domain, two of them watchers; one follower runs."""
    rig = Rig(daemons=DAEMONS, max_connections=9)
    follower = next(proxy for proxy in rig.proxies if not proxy.daemons.watches())
    watchers = [rig.links.proxies[name] for name in follower.daemons.watchers()]
    assert len(watchers) == 2
    for proxy in watchers:
        proxy.keep_running(proxy.relay.run)
        proxy.relay.take_all(FEED, {"a": {"x": 1}}, 10)
        proxy.keep_running(keep_store_answering(proxy))
    follower.feed_follower.set_known_revision(FEED, 10)
    follower.keep_running(follower.feed_follower.run)
    await asyncio.sleep(1.0)
    return rig, follower, watchers


def keep_store_answering(proxy):
    """Report an answer of the store to a watcher every 0.1 s."""

    async def keep_answering():
        while True:
            proxy.relay.store_answered(FEED)
            await asyncio.sleep(0.1)

    return keep_answering


def objects_of(count):
    """Objects that compress little."""
    rng = Random(1)
    return {f"n{number}": {"x": rng.getrandbits(60)} for number in range(count)}


def followed(rig, follower):
    """The watcher that a daemon follows."""
    return rig.links.proxies[follower.feed_follower.link.peer]


def test_a_few_daemons_watch_and_in_small_fleets_all_do():
    assert watcher_count(91, 3) == 6
    assert watcher_count(9, 3) == 9


def test_updates_arrive_in_order_and_once():
    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        watcher.relay.take_changes(FEED, {"b": {"x": 2}}, [], 11)
        watcher.relay.take_changes(FEED, {}, ["a"], 12)
        first = await follower.feed_follower.next_update(FEED)
        follower.feed_follower.set_known_revision(FEED, first.revision)
        second = await follower.feed_follower.next_update(FEED)
        assert (first.changed, first.revision) == ({"b": {"x": 2}}, 11)
        assert (second.removed, second.revision) == (("a",), 12)

    run(main())


def test_a_late_follower_gets_the_whole_list():
    async def main():
        rig, follower, watchers = await make_rig()
        late = next(
            proxy
            for proxy in rig.proxies
            if proxy is not follower and not proxy.daemons.watches()
        )
        for proxy in watchers:
            proxy.relay.take_changes(FEED, {"b": {"x": 2}}, [], 11)
        late.feed_follower.set_known_revision(FEED, 10)
        late.keep_running(late.feed_follower.run)
        await asyncio.sleep(1.0)
        update = await late.feed_follower.next_update(FEED)
        assert update.whole and set(update.changed) == {"a", "b"}

    run(main())


def test_a_silent_watcher_is_replaced():
    """Guards against a daemon that uses an outdated configuration.

    The watcher that it follows freezes, and nothing distinguished missing updates from
    no changes.
    """

    async def main():
        rig, follower, _ = await make_rig()
        first = followed(rig, follower)
        rig.links.freeze(first.name)
        await asyncio.sleep(WATCHER_TIMEOUT + 0.1)
        assert not follower.feed_follower.is_up_to_date(FEED)
        await asyncio.sleep(1.5)
        assert follower.feed_follower.is_up_to_date(FEED)
        assert followed(rig, follower) is not first

    run(main())


def test_a_watcher_without_confirmed_feeds_is_replaced():
    """Guards against an outdated configuration while the watcher is alive.

    The watcher is cut off from the store, other watchers are not. It was followed
    further, and had no updates.
    """

    async def main():
        rig, follower, _ = await make_rig()
        first = followed(rig, follower)
        first.relay.store_answered = lambda name: None
        await asyncio.sleep(first.tuning.store_confirmation_time + 1.5)
        assert followed(rig, follower) is not first
        assert follower.feed_follower.is_up_to_date(FEED)

    run(main())


def test_watchers_without_the_store_confirm_nothing():
    async def main():
        rig, follower, watchers = await make_rig()
        for proxy in watchers:
            proxy.relay.store_answered = lambda name: None
        await asyncio.sleep(watchers[0].tuning.store_confirmation_time + 1.5)
        assert not follower.feed_follower.is_up_to_date(FEED)

    run(main())


def test_a_follower_ahead_of_its_watcher_applies_later_updates():
    """A follower ahead of its watcher is up to date.

    It has asked the store itself. Its watcher is confirmed by the store, and sends all
    changes after the revision that the watcher knows.
    """

    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        follower.feed_follower.set_known_revision(FEED, 50)
        assert follower.feed_follower.is_up_to_date(FEED)
        watcher.relay.take_changes(FEED, {"b": {"x": 2}}, [], 40)
        watcher.relay.take_changes(FEED, {"c": {"x": 3}}, [], 60)
        update = await follower.feed_follower.next_update(FEED)
        assert (update.changed, update.revision) == ({"c": {"x": 3}}, 60)

    run(main())


def test_updates_after_a_gap_are_not_applied():
    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        watcher.relay.feeds[FEED].revision = 12
        watcher.relay.take_changes(FEED, {"b": {"x": 2}}, [], 13)
        await asyncio.sleep(0.1)
        assert follower.feed_follower.behind(FEED)
        assert not follower.feed_follower.is_up_to_date(FEED)
        assert await follower.feed_follower.next_update(FEED) is None

    run(main())


def test_updates_that_are_too_large_are_not_relayed():
    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        watcher.relay.take_changes(FEED, {"b": {"x": "y" * MAX_CHANGE_BYTES}}, [], 11)
        await asyncio.sleep(0.1)
        assert not follower.feed_follower.is_up_to_date(FEED)
        assert await follower.feed_follower.next_update(FEED) is None

    run(main())


def test_a_whole_list_is_sent_in_pieces_on_request():
    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        large = objects_of(4000)
        watcher.relay.take_changes(FEED, large, [], 11)
        await asyncio.sleep(0.1)
        assert follower.feed_follower.behind(FEED)
        follower.feed_follower.store_lost(FEED)
        await asyncio.sleep(0.5)
        update = await follower.feed_follower.next_update(FEED)
        assert update.whole and update.revision == 11
        assert update.changed == {"a": {"x": 1}, **large}

    run(main())


def test_a_list_is_packed_in_pieces_and_unpacked():
    objects = objects_of(2000)
    pieces = pack(objects)
    assert len(pieces) > 1
    assert max(map(len, pieces)) <= PIECE_BYTES
    assert unpack(pieces) == objects


@pytest.mark.parametrize("pieces", [[], [b"x"], pack({"a": {}})[0:0], pack([1])])
def test_pieces_that_are_no_list_are_refused(pieces):
    with pytest.raises(PackingError):
        unpack(pieces)


def test_a_daemon_with_the_last_change_is_current():
    assert is_current(known=12, since=12)
    assert is_current(known=13, since=12)
    assert not is_current(known=11, since=12)


def test_changes_continue_what_reaches_their_beginning():
    assert is_contiguous(known=12, since=10, revision=15)
    assert is_contiguous(known=10, since=10, revision=15)
    assert not is_contiguous(known=9, since=10, revision=15)
    assert not is_contiguous(known=15, since=10, revision=15)


def test_updates_of_a_previous_watcher_are_discarded():
    """Guards against a removed upstream that reappears in a daemon's list.

    Updates are in flight or not applied yet when their watcher is left for another one
    that knows more. They were applied after the updates of the new watcher.
    """

    async def main():
        rig, follower, watchers = await make_rig()
        first = followed(rig, follower)
        second = next(proxy for proxy in watchers if proxy is not first)
        first.relay.take_changes(FEED, {"b": {"x": 2}}, [], 11)
        await asyncio.sleep(0.01)
        first.relay.take_changes(FEED, {"c": {"x": 3}}, [], 12)
        follower.feed_follower.unfollow()
        second.relay.take_changes(FEED, {"b": {"x": 2}}, [], 11)
        second.relay.take_changes(FEED, {}, ["b"], 13)
        rig.links.freeze(first.name)
        await asyncio.sleep(2.0)
        assert followed(rig, follower) is second
        update = await follower.feed_follower.next_update(FEED)
        assert update.whole and set(update.changed) == {"a"} and update.revision == 13
        follower.feed_follower.set_known_revision(FEED, 13)
        rig.links.thaw(first.name)
        await asyncio.sleep(0.5)
        assert not follower.feed_follower.has_updates(FEED)

    run(main())


def test_a_suspended_follower_applies_queued_updates():
    async def main():
        rig, follower, _ = await make_rig()
        watcher = followed(rig, follower)
        rig.links.freeze(follower.name)
        for revision in (11, 12, 13):
            changed = {f"n{revision}": {"x": revision}}
            watcher.relay.take_changes(FEED, changed, [], revision)
        await asyncio.sleep(0.5)
        rig.links.frozen.discard(follower.name)
        for link in list(rig.links.open):
            if link.at == follower.name:
                link.deliver_waiting()
        known = []
        while follower.feed_follower.feed(FEED).known < 13:
            update = await follower.feed_follower.next_update(FEED)
            follower.feed_follower.set_known_revision(FEED, update.revision)
            known.append(update.revision)
        assert known == [11, 12, 13]

    run(main())
