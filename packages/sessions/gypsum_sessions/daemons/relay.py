"""News of the store, passed on from daemons that watch it to those that follow them.

A feed is one kind of objects, named by a word; its objects are passed on as they are.
News of a feed come in the order of the store's revisions, or as a whole list.
"""

import asyncio
from dataclasses import dataclass, field

from gypsum_policy.relays import BEAT_EVERY, MOST_BYTES, SILENT_AFTER
from gypsum_sessions.daemons.asks import Current, Follow, News, encode
from gypsum_sessions.daemons.peers import PeerLost

PART = "relay"
# Pause before another watcher is looked for, seconds.
LOOK_EVERY = 0.2
# After news that were too large to pass on a feed is not vouched for this long,
# seconds: followers read them from the store meanwhile.
LEFT_ALONE = 2.0
# A daemon that knows less than its watcher for this long says so, seconds: news of
# small changes are taken in within milliseconds.
BEHIND_TOLD = 1.0


@dataclass(slots=True, kw_only=True)
class KnownFeed:
    """What a watcher knows of a feed: its objects by name, and up to which revision.

    `touched_at` is when the store last answered, `until` how long the feed is not
    vouched for.
    """

    objects: dict = field(default_factory=dict)
    revision: int = 0
    touched_at: float = float("-inf")
    until: float = float("-inf")


class Relay:
    """The watcher's side: keeps feeds, and passes their news on to those who follow."""

    def __init__(self, *, clock, in_touch_for):
        self.clock = clock
        self.in_touch_for = in_touch_for
        self.feeds = {}
        self.followers = set()

    def feed(self, name):
        """What is known of a feed."""
        return self.feeds.setdefault(name, KnownFeed())

    def touched(self, name):
        """The store has answered for a feed."""
        self.feed(name).touched_at = self.clock()

    def take_all(self, name, objects, revision):
        """A whole list came: objects by name."""
        feed = self.feed(name)
        feed.objects, feed.revision = dict(objects), revision
        self.pass_on(News(feed=name, revision=revision, whole=True, changed=objects))

    def take_changes(self, name, changed, removed, revision):
        """Changes came: objects by name, and names of those removed."""
        feed = self.feed(name)
        feed.objects.update(changed)
        for gone in removed:
            feed.objects.pop(gone, None)
        feed.revision = revision
        if changed or removed:
            self.pass_on(
                News(
                    feed=name,
                    revision=revision,
                    changed=changed,
                    removed=tuple(removed),
                )
            )

    def pass_on(self, news):
        """Send news to all who follow, unless they are too large."""
        if not self.followers:
            return
        data = encode(news)
        if len(data) > MOST_BYTES:
            self.feed(news.feed).until = self.clock() + LEFT_ALONE
            data = encode(self.current())
        self.send_all(data)

    def send_all(self, data):
        """Send a message to all who follow; forget those whose link is gone."""
        self.followers = {desk for desk in self.followers if not desk.closed}
        for desk in self.followers:
            desk.frames.send(data)

    def follow(self, desk, revisions):
        """A daemon follows from the revisions that it knows."""
        self.followers.add(desk)
        for name, revision in revisions.items():
            feed = self.feeds.get(name)
            if feed is None or feed.revision <= revision:
                continue
            data = encode(
                News(
                    feed=name,
                    revision=feed.revision,
                    whole=True,
                    changed=feed.objects,
                )
            )
            if len(data) <= MOST_BYTES:
                desk.frames.send(data)
        desk.frames.send(encode(self.current()))

    def current(self):
        """Feeds that are in touch with the store, and up to which revision."""
        now = self.clock()
        return Current(
            feeds={
                name: feed.revision
                for name, feed in self.feeds.items()
                if now - feed.touched_at < self.in_touch_for and now >= feed.until
            }
        )

    async def run(self):
        """Say which feeds are in touch, for ever."""
        while True:
            await asyncio.sleep(BEAT_EVERY)
            if self.followers:
                self.send_all(encode(self.current()))


class Following:
    """The other side: follows one watcher at a time, a near one if there is one."""

    def __init__(self, *, daemons, peers, clock, log):
        self.daemons = daemons
        self.peers = peers
        self.clock = clock
        self.log = log
        self.link = None
        self.heard_at = float("-inf")
        self.vouched = {}
        self.waiting = {}
        self.known = {}
        self.behind_since = {}
        self.behind_told = set()
        self.changed = asyncio.Event()

    def knows(self, feed, revision):
        """This daemon knows a feed up to a revision."""
        self.known[feed] = revision

    def current(self, feed):
        """Tell whether a watcher vouches for all that this daemon knows of a feed."""
        if self.link is None or self.clock() - self.heard_at > SILENT_AFTER:
            return False
        return self.vouched.get(feed, -1) >= self.known.get(feed, 0)

    async def next(self, feed):
        """The next news of a feed; None once no watcher vouches for it any more."""
        while True:
            waiting = self.waiting.setdefault(feed, [])
            while waiting:
                news = waiting.pop(0)
                if news.revision > self.known.get(feed, 0):
                    return news
            if not self.current(feed):
                return None
            event = self.changed
            try:
                async with asyncio.timeout(SILENT_AFTER):
                    await event.wait()
            except TimeoutError:
                continue

    # From the link

    def news(self, message):
        """News of a feed came."""
        self.waiting.setdefault(message.feed, []).append(message)
        self.vouched[message.feed] = message.revision
        self.tell()

    def beat(self, message):
        """The watcher says which feeds are in touch."""
        self.heard_at = self.clock()
        self.vouched = dict(message.feeds)
        self.tell()

    def tell(self):
        """Wake who waits for news."""
        self.changed.set()
        self.changed = asyncio.Event()

    # The loop

    def look_behind(self):
        """Say for which feeds the watcher knows more than this daemon has taken in.

        What goes wrong without it: a daemon serves by an old configuration, and nothing
        in its logs or metrics tells it from one that is up to date.
        """
        now = self.clock()
        for feed, known in self.known.items():
            vouched = self.vouched.get(feed, -1)
            if vouched <= known:
                self.behind_since.pop(feed, None)
                if feed in self.behind_told:
                    self.behind_told.discard(feed)
                    self.log(PART, "caught up", feed=feed, known=known)
                continue
            age = now - self.behind_since.setdefault(feed, now)
            if age >= BEHIND_TOLD and feed not in self.behind_told:
                self.behind_told.add(feed)
                self.log(
                    PART,
                    "behind",
                    feed=feed,
                    known=known,
                    vouched=vouched,
                    seconds=round(age, 2),
                    taken_for_current=self.current(feed),
                )

    async def run(self):
        """Follow a watcher, another one when it falls silent, for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            self.look_behind()
            if self.daemons.watches():
                self.leave()
            elif self.link is None or self.silent():
                self.leave()
                await self.choose()

    def silent(self):
        """Tell whether the watcher is gone or has not been heard of."""
        return not self.link.usable or self.clock() - self.heard_at > SILENT_AFTER

    def leave(self):
        """Follow nobody; what was passed on and not taken is forgotten."""
        if self.link is not None:
            self.link.following = None
            self.link = None
            self.waiting.clear()
            self.tell()

    async def choose(self):
        """Follow the first watcher that can be reached."""
        watchers = self.daemons.watchers()
        for name in self.peers.in_turn(watchers, len(watchers)):
            try:
                link = await self.peers.link(name, LOOK_EVERY)
                await link.try_out()
            except PeerLost:
                continue
            self.link, self.heard_at = link, self.clock()
            self.vouched.clear()
            link.following = self
            link.tell(Follow(revisions=dict(self.known)))
            self.log(PART, "following", watcher=name)
            return
