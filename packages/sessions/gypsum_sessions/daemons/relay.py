"""Relays feed updates from a daemon that watches the store to its followers.

A feed is one kind of objects; the objects are relayed unchanged.
"""

import asyncio
from dataclasses import dataclass, field

from gypsum_policy.relays import (
    BACKLOG_POLL_INTERVAL,
    HEARTBEAT_INTERVAL,
    MAX_CHANGE_BYTES,
    PIECE_BYTES,
)
from gypsum_policy.revisions import same_era
from gypsum_sessions.daemons.packing import pack
from gypsum_sessions.daemons.peermessages import (
    FeedState,
    FeedUpdate,
    Heartbeat,
    ListPiece,
    encode,
)


@dataclass(slots=True, kw_only=True)
class RelayedFeed:
    """A watcher's copy of a feed: objects by name, and revisions.

    It is known up to `revision`, and has not changed since `since`. `answered_at` is
    when the store last answered, and `confirmed_at` a time at which it is known to have
    had no later changes. `pieces` is the packed list, built on first request.
    """

    objects: dict = field(default_factory=dict)
    revision: int = 0
    since: int = 0
    answered_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    pieces: list[ListPiece] = field(default_factory=list)


class Relay:
    """Keeps feeds, and sends their updates to followers.

    `watches` tells whether this daemon watches the store. A feed is confirmed for
    `in_touch_for` seconds after the store's last answer, or for its own time in
    `confirmation_times`.
    """

    def __init__(self, *, clock, in_touch_for, watches):
        self.clock = clock
        self.watches = watches
        self.in_touch_for = in_touch_for
        self.confirmation_times = {}
        self.feeds = {}
        self.followers = set()
        self.sending = set()

    # State received from the store

    def set_confirmation_time(self, name, seconds):
        """Set for how long a feed is confirmed after the store's last answer."""
        self.confirmation_times[name] = seconds

    def is_confirmed(self, name, feed):
        """Return whether the store has answered for a feed recently."""
        limit = self.confirmation_times.get(name, self.in_touch_for)
        return bool(feed.revision) and self.clock() - feed.answered_at < limit

    def has_feed(self, name):
        """Return whether a complete copy of a feed is kept here."""
        return name in self.feeds

    def drop_feed(self, name):
        """Discard a feed that this daemon now gets from elsewhere.

        If the copy were kept, a daemon that follows for a while and then watches again
        would relay a list without the changes made in between.
        """
        self.feeds.pop(name, None)

    def store_answered(self, name):
        """Record that the store has answered for a feed."""
        if name in self.feeds:
            self.feeds[name].answered_at = self.clock()

    def record_confirmation(self, name, at):
        """Record a time at which the store had no changes beyond a feed's revision."""
        if name in self.feeds:
            self.feeds[name].confirmed_at = max(self.feeds[name].confirmed_at, at)

    def store_unreachable(self, name):
        """Mark a feed as unconfirmed until the store answers for it again."""
        if name in self.feeds:
            self.feeds[name].answered_at = float("-inf")

    def take_all(self, name, objects, revision):
        """Replace a feed by a whole list of objects by name."""
        feed = self.feeds.setdefault(name, RelayedFeed())
        # Followers may know changes of the earlier era that this list lacks.
        same_history = feed.revision and same_era(feed.revision, revision)
        same = same_history and feed.objects == objects
        feed.objects, feed.revision = dict(objects), revision
        self.store_answered(name)
        if same:
            return
        self.mark_changed(feed)
        self.publish(
            FeedUpdate(feed=name, revision=revision, whole=True, changed=objects)
        )

    def take_changes(self, name, changed, removed, revision):
        """Apply changed objects by name, and names of removed objects."""
        feed = self.feeds[name]
        self.store_answered(name)
        feed.objects.update(changed)
        for gone in removed:
            feed.objects.pop(gone, None)
        before, feed.revision = feed.revision, revision
        if not changed and not removed:
            return
        self.mark_changed(feed)
        self.publish(
            FeedUpdate(
                feed=name,
                since=before,
                revision=revision,
                changed=changed,
                removed=tuple(removed),
            )
        )

    def mark_changed(self, feed):
        """Record that a feed changed at its current revision."""
        feed.since = feed.revision
        feed.pieces = []

    # Messages to followers

    def publish(self, update):
        """Send an update to all followers; only a heartbeat if it is too large.

        A follower that learns from the heartbeat that the feed has changed fetches the
        list from the watcher or the store.
        """
        if not self.followers:
            return
        data = encode(update)
        if len(data) > MAX_CHANGE_BYTES:
            data = encode(self.heartbeat())
        self.broadcast(data)

    def broadcast(self, data):
        """Send a message to all followers; forget those whose link is closed."""
        self.followers = {handler for handler in self.followers if not handler.closed}
        for handler in self.followers:
            handler.frames.send(data)

    def follow(self, handler, revisions):
        """Add a follower, and send it the feeds that changed after the given revisions.

        Lists that are too large are left out; the follower requests them.
        """
        self.followers.add(handler)
        for name, revision in revisions.items():
            feed = self.feeds.get(name)
            if feed is None or revision >= feed.since:
                continue
            whole = FeedUpdate(
                feed=name, revision=feed.revision, whole=True, changed=feed.objects
            )
            data = encode(whole)
            if len(data) <= MAX_CHANGE_BYTES:
                handler.frames.send(data)
        handler.frames.send(encode(self.heartbeat()))

    def unfollow(self, handler):
        """Remove a follower."""
        self.followers.discard(handler)

    def heartbeat(self):
        """The confirmed feeds, and up to which revision they are known."""
        return Heartbeat(
            feeds={
                name: FeedState(
                    since=feed.since,
                    revision=feed.revision,
                    age=self.clock() - feed.confirmed_at,
                )
                for name, feed in self.feeds.items()
                if self.is_confirmed(name, feed)
            },
            watches=self.watches(),
        )

    async def send_whole(self, handler, name):
        """Send a feed's whole list in pieces, as fast as the link takes them.

        Sent in one message, it would delay statements on the same link.
        """
        if (handler, name) in self.sending:
            return
        self.sending.add((handler, name))
        try:
            while not await self.send_pieces(handler, name):
                pass
        finally:
            self.sending.discard((handler, name))

    async def send_pieces(self, handler, name):
        """Send the current list; returns False if the feed changes meanwhile."""
        feed = self.feeds.get(name)
        if feed is None:
            return True
        since = feed.since
        for piece in self.packed_pieces(name, feed):
            while handler.frames.backlog > PIECE_BYTES:
                await asyncio.sleep(BACKLOG_POLL_INTERVAL)
            if handler.closed or handler not in self.followers:
                return True
            if feed.since != since:
                return False
            handler.frames.send(encode(piece))
        return True

    def packed_pieces(self, name, feed):
        """The pieces of a feed's list, shared by all followers that request it."""
        if not feed.pieces:
            parts = pack(feed.objects)
            feed.pieces = [
                ListPiece(
                    feed=name,
                    revision=feed.revision,
                    number=number,
                    total=len(parts),
                    data=data,
                )
                for number, data in enumerate(parts)
            ]
        return feed.pieces

    async def run(self):
        """Send heartbeats to followers; runs forever."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            if self.followers:
                self.broadcast(encode(self.heartbeat()))
