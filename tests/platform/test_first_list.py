"""A feed without a list, while a watcher has one and the store does not answer."""

import asyncio

from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.store import StoreError
from gypsum_sessions.daemons.feedfollower import FeedFollower
from gypsum_sessions.daemons.peermessages import (
    FeedState,
    FeedUpdate,
    Heartbeat,
)
from gypsum_sessions.daemons.registry import DaemonEntry, DaemonRegistry
from tests.sessions.vclock import run

KIND = "config"
# A feed that spins instead of waiting makes more calls than this at once.
MAX_WAITS = 100


class SilentStore:
    """Answers no call."""

    async def list_objects(self, kind):
        """Fail after the time that a call waits."""
        await asyncio.sleep(2.0)
        raise StoreError("silent", step="list", peer="store")

    async def watch(self, kind, revision, *, wait_ms):
        """Fail after the time that a call waits."""
        await asyncio.sleep(2.0)
        raise StoreError("silent", step="watch", peer="store")


class WatcherLink:
    """A link to a watcher that has a list."""

    peer = "w"
    usable = True

    def send_message(self, message):
        """Ignore requests."""


class CountingFollower(FeedFollower):
    """Ends a feed that spins, which would never let the test end."""

    waits = 0

    async def wait_for_list(self, name, seconds):
        """Count a wait for a list."""
        self.waits += 1
        assert self.waits < MAX_WAITS, "the feed does not wait"
        return await super().wait_for_list(name, seconds)


def test_a_watchers_list_is_applied_before_the_store_has_answered():
    """Guards against a starting daemon that spins with its first list received."""

    async def main():
        loop = asyncio.get_running_loop()
        own = DaemonEntry(id="d", domain="a")
        follower = CountingFollower(
            daemons=DaemonRegistry(own=own),
            peers=None,
            clock=loop.time,
            log=lambda *args, **fields: None,
        )
        lists = []
        feed = Feed(
            store=SilentStore(),
            kind=KIND,
            on_list=lambda objects, revision: lists.append(
                ([obj.name for obj in objects], revision)
            ),
            on_change=None,
            log=lambda *args, **fields: None,
            waker=Waker(),
            follower=follower,
        )
        task = asyncio.create_task(feed.run())
        await asyncio.sleep(2.05)
        follower.link = WatcherLink()
        entry = {"name": "main", "revision": 7, "spec": {}, "created": 1}
        state = FeedState(since=7, revision=9)
        follower.handle_update(
            FeedUpdate(feed=KIND, revision=9, whole=True, changed={"main": entry})
        )
        follower.handle_heartbeat(Heartbeat(feeds={KIND: state}))
        await asyncio.sleep(0.5)
        assert not task.done(), task.exception()
        task.cancel()
        assert lists == [(["main"], 9)]

    run(main())
