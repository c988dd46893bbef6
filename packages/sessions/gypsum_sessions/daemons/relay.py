"""News of the store, passed on from a daemon that watches it to those that follow.

A feed is one kind of objects, named by a word; its objects are passed on as they are.
"""

import asyncio
from dataclasses import dataclass, field

from gypsum_policy.relays import BEAT_EVERY, MOST_BYTES, PIECE_BYTES, PIECE_PAUSE
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
    """What a watcher knows of a feed: its objects by name, and how far.

    It is known up to `revision`, and has not changed since `since`. `touched_at` is
    when the store last answered; `pieces` is the packed list, made when asked for.
    """

    objects: dict = field(default_factory=dict)
    revision: int = 0
    since: int = 0
    answered_at: float = float("-inf")
    pieces: list[ListPiece] = field(default_factory=list)


class Relay:
    """Keeps feeds, and passes their updates on to followers.

    `watches` tells whether this daemon is one that watches the store. A feed is
    confirmed for `in_touch_for` seconds after the store's last answer, or for its own
    time in `limits`.
    """

    def __init__(self, *, clock, in_touch_for, watches):
        self.clock = clock
        self.watches = watches
        self.in_touch_for = in_touch_for
        self.confirmation_times = {}
        self.feeds = {}
        self.followers = set()
        self.sending = set()

    # What this daemon learns of the store

    def set_confirmation_time(self, name, seconds):
        """Confirm a feed for so long after the store's last answer."""
        self.confirmation_times[name] = seconds

    def is_confirmed(self, name, feed):
        """Tell whether the store has answered for a feed lately."""
        limit = self.confirmation_times.get(name, self.in_touch_for)
        return bool(feed.revision) and self.clock() - feed.answered_at < limit

    def has_feed(self, name):
        """Tell whether all of a feed is kept here."""
        return name in self.feeds

    def drop_feed(self, name):
        """This daemon learns of a feed without us: what is kept here is out of date.

        What goes wrong without it: a daemon follows for a while, watches again, and
        passes on a list without what changed in between.
        """
        self.feeds.pop(name, None)

    def store_answered(self, name):
        """The store has answered for a feed."""
        if name in self.feeds:
            self.feeds[name].answered_at = self.clock()

    def store_unreachable(self, name):
        """The store did not answer for a feed: nothing is vouched for until it does."""
        if name in self.feeds:
            self.feeds[name].answered_at = float("-inf")

    def take_all(self, name, objects, revision):
        """A whole list came: objects by name."""
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
        """Changes came: objects by name, and names of those removed."""
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
        """A feed is another one since the revision that it is known up to."""
        feed.since = feed.revision
        feed.pieces = []

    # What others learn of it

    def publish(self, update):
        """Send an update to all followers; only a heartbeat if it is too large.

        Who reads that a feed has changed since what it knows asks the store, or us.
        """
        if not self.followers:
            return
        data = encode(update)
        if len(data) > MOST_BYTES:
            data = encode(self.heartbeat())
        self.broadcast(data)

    def broadcast(self, data):
        """Send a message to all who follow; forget those whose link is gone."""
        self.followers = {handler for handler in self.followers if not handler.closed}
        for handler in self.followers:
            handler.frames.send(data)

    def follow(self, handler, revisions):
        """A daemon follows from the revisions that it knows."""
        self.followers.add(handler)
        for name, revision in revisions.items():
            feed = self.feeds.get(name)
            if feed is None or revision >= feed.since:
                continue
            whole = FeedUpdate(
                feed=name, revision=feed.revision, whole=True, changed=feed.objects
            )
            data = encode(whole)
            if len(data) <= MOST_BYTES:
                handler.frames.send(data)
        handler.frames.send(encode(self.heartbeat()))

    def unfollow(self, handler):
        """A daemon follows no more."""
        self.followers.discard(handler)

    def heartbeat(self):
        """Feeds that are in touch with the store, and how far they are known."""
        return Heartbeat(
            feeds={
                name: FeedState(since=feed.since, revision=feed.revision)
                for name, feed in self.feeds.items()
                if self.is_confirmed(name, feed)
            },
            watches=self.watches(),
        )

    async def send_whole(self, handler, name):
        """Send a feed's whole list in pieces, as fast as the link takes them.

        What goes wrong in one go: statements of the same link wait behind it.
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
        """Send what is known now; False if it has changed meanwhile."""
        feed = self.feeds.get(name)
        if feed is None:
            return True
        since = feed.since
        for piece in self.packed_pieces(name, feed):
            while handler.frames.backlog > PIECE_BYTES:
                await asyncio.sleep(PIECE_PAUSE)
            if handler.closed or handler not in self.followers:
                return True
            if feed.since != since:
                return False
            handler.frames.send(encode(piece))
        return True

    def packed_pieces(self, name, feed):
        """The pieces of a feed's list; all who ask for the same one share them."""
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
        """Say which feeds are in touch, for ever."""
        while True:
            await asyncio.sleep(BEAT_EVERY)
            if self.followers:
                self.broadcast(encode(self.heartbeat()))
