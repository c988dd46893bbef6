"""Followers know up to when the store had no changes beyond those relayed to them."""

import asyncio

import cbor2

from gypsum_platform.store import WATCH_MS
from gypsum_policy.relays import HEARTBEAT_INTERVAL, UNREPORTED_AGE
from gypsum_sessions.daemons.peermessages import FeedState, Heartbeat, decode, encode
from tests.sessions.feedrig import FeedRig
from tests.sessions.vclock import run

KIND = "servers"
# A pending watch confirms nothing until it ends; then heartbeats tell followers.
LONGEST_AGE = WATCH_MS / 1000 + 2 * HEARTBEAT_INTERVAL


def followers_of(rig):
    """The daemons that do not watch the store."""
    return [proxy for proxy in rig.rig.proxies if not proxy.daemons.watches()]


def test_a_follower_knows_how_old_the_watchers_confirmation_is():
    async def main():
        rig = FeedRig(daemons=15)
        await rig.wait_in_sync(5.0)
        for _ in range(20):
            await asyncio.sleep(0.7)
            for proxy in followers_of(rig):
                confirmed_at = proxy.feed_follower.confirmed_at(KIND)
                assert confirmed_at is None or confirmed_at <= proxy.clock()
        ages = [
            proxy.clock() - proxy.feed_follower.confirmed_at(KIND)
            for proxy in followers_of(rig)
        ]
        assert ages and max(ages) <= LONGEST_AGE

    run(main())


def test_nothing_is_confirmed_to_followers_while_the_store_is_silent():
    """Guards against a follower that counts late news from when it hears them."""

    async def main():
        rig = FeedRig(daemons=15)
        await rig.wait_in_sync(5.0)
        await asyncio.sleep(5.0)
        silent_since = rig.rig.loop.clock()
        rig.store.silent.update(proxy.name for proxy in rig.rig.proxies)
        await asyncio.sleep(6.0)
        for proxy in followers_of(rig):
            assert proxy.feed_follower.confirmed_at(KIND) <= silent_since

    run(main())


def test_a_watcher_of_an_earlier_version_confirms_with_the_longest_age():
    message = Heartbeat(feeds={KIND: FeedState(since=3, revision=4, age=0.5)})
    tag, feeds, *rest = cbor2.loads(encode(message))
    older = [tag, {name: state[:2] for name, state in feeds.items()}, *rest]
    assert decode(cbor2.dumps(older)).feeds[KIND].age == UNREPORTED_AGE
