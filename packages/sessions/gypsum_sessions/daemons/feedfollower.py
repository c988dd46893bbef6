"""Following a daemon that watches the store: news of it, and whole lists on demand.

Who watches the store itself follows as well while the store does not answer it.
"""

import asyncio
from dataclasses import dataclass, field

from gypsum_policy.relays import (
    FETCH_AGAIN,
    SILENT_AFTER,
    USELESS_AFTER,
    USELESS_FOR,
    continues,
    is_current,
)
from gypsum_policy.revisions import era_of, label, same_era
from gypsum_sessions.daemons.packing import PackingError, unpack
from gypsum_sessions.daemons.peermessages import (
    FeedState,
    FeedUpdate,
    FetchList,
    Follow,
    Unfollow,
)
from gypsum_sessions.daemons.peers import PeerLost

PART = "relay"
# Pause before another watcher is looked for, seconds.
LOOK_EVERY = 0.2
# A daemon that knows less than its watcher for this long says so, seconds: news of
# small changes are taken in within milliseconds.
BEHIND_TOLD = 1.0


@dataclass(slots=True, kw_only=True)
class WatchedFeed:
    """A feed as this daemon and its watcher know it.

    `known` is the revision up to which this daemon has taken it in. `state` is what the
    watcher reports, None if it is not in touch with the store. `waiting` news are
    not taken in yet, `pieces` of a whole list belong to the revision `pieces_of`, and
    one was `asked_at` then. `behind_since` is None for a daemon that is not behind.
    """

    known: int = 0
    state: FeedState | None = None
    waiting: list[FeedUpdate] = field(default_factory=list)
    pieces: dict[int, bytes] = field(default_factory=dict)
    pieces_of: int = 0
    asked_at: float = float("-inf")
    lost: bool = False
    behind_since: float | None = None
    behind_told: bool = False
    ahead_since: float | None = None
    ahead_logged: bool = False

    @property
    def confirmed(self):
        """The watcher's state, None if it is of an earlier era than what is known."""
        if self.state is None or era_of(self.state.revision) < era_of(self.known):
            return None
        return self.state

    @property
    def behind(self):
        """Tell whether the watcher has changes that this daemon lacks."""
        state = self.confirmed
        if state is None:
            return False
        if not same_era(self.known, state.revision):
            return True
        return not is_current(self.known, state.since)

    @property
    def ahead(self):
        """Tell whether this daemon knows a later revision than the watcher."""
        return self.state is not None and self.known > self.state.revision

    def forget_watcher(self):
        """Nothing that a watcher has sent counts any more."""
        self.state = None
        self.waiting.clear()
        self.pieces.clear()
        self.asked_at = float("-inf")


class FeedFollower:
    """Follows one watcher at a time, a near one that is in touch if there is one."""

    def __init__(self, *, daemons, peers, clock, log):
        self.daemons = daemons
        self.peers = peers
        self.clock = clock
        self.log = log
        self.link = None
        self.heard_at = float("-inf")
        self.chosen_at = float("-inf")
        self.useless_until = {}
        # Whether the one that is followed watches the store, by its own word.
        self.is_watcher = True
        self.feeds = {}
        self.changed = asyncio.Event()

    # What the feeds of this daemon tell

    def feed(self, name):
        """A feed as it stands."""
        return self.feeds.setdefault(name, WatchedFeed())

    def knows(self, name, revision):
        """This daemon has taken a feed in up to a revision."""
        self.feed(name).known = revision

    def store_lost(self, name):
        """The store does not answer for a feed: a watcher has to."""
        self.feed(name).lost = True
        self.fetch(name)

    def store_back(self, name):
        """The store answers for a feed."""
        self.feed(name).lost = False

    def wanted(self):
        """Tell whether this daemon needs a watcher."""
        return not self.daemons.watches() or any(
            feed.lost for feed in self.feeds.values()
        )

    # What they ask

    def current(self, name):
        """Tell whether this daemon has all that a watcher in touch knows of a feed."""
        if self.link is None or self.clock() - self.heard_at > SILENT_AFTER:
            return False
        feed = self.feed(name)
        return feed.confirmed is not None and not feed.behind

    def age(self, name):
        """Seconds since a watcher vouched for all that is known; None if none does."""
        return self.clock() - self.heard_at if self.current(name) else None

    def behind(self, name):
        """Tell whether the watcher has changes of a feed that this daemon lacks."""
        return self.feed(name).behind

    def has_news(self, name):
        """Tell whether there are news that can be taken in."""
        self.drop_useless(name)
        return bool(self.feed(name).waiting)

    async def arrives(self, name, seconds):
        """Wait for a list that was asked for; tell whether there are news.

        Ends early if the watcher is gone.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not self.has_news(name) and self.behind(name) and loop.time() < until:
            event = self.changed
            try:
                async with asyncio.timeout(until - loop.time()):
                    await event.wait()
            except TimeoutError:
                break
        return self.has_news(name)

    async def next(self, name, until=None):
        """The next news of a feed; None once no watcher vouches for it any more.

        Also None from the loop's time `until` on, if it is given.
        """
        loop = asyncio.get_running_loop()
        while True:
            news = self.take_next(name)
            if news is not None:
                return news
            if not self.current(name) or (until is not None and loop.time() >= until):
                return None
            left = SILENT_AFTER if until is None else until - loop.time()
            event = self.changed
            try:
                async with asyncio.timeout(min(SILENT_AFTER, left)):
                    await event.wait()
            except TimeoutError:
                continue

    def take_next(self, name):
        """News that follow on what is known, or that nothing has changed; or None."""
        feed = self.feed(name)
        self.drop_useless(name)
        if feed.waiting:
            return feed.waiting.pop(0)
        if self.current(name) and feed.state.revision > feed.known:
            state = feed.state
            return FeedUpdate(
                feed=name, since=state.since, revision=state.revision, changed={}
            )
        return None

    def drop_useless(self, name):
        """Drop news that are old, or that have a gap between them and what is known."""
        feed = self.feed(name)
        while feed.waiting and not usable(feed.waiting[0], feed.known):
            feed.waiting.pop(0)

    def fetch(self, name):
        """Ask the watcher for a feed's whole list, unless it is on its way."""
        feed, now = self.feed(name), self.clock()
        if self.link is None or not feed.behind or now - feed.asked_at < FETCH_AGAIN:
            return
        feed.asked_at = now
        feed.pieces.clear()
        self.log(
            PART, "whole list asked for", watcher=self.link.peer, **progress(name, feed)
        )
        self.link.tell(FetchList(feed=name))

    # From the link

    def news(self, message):
        """News of a feed came: it has changed, up to their revision."""
        self.heard_at = self.clock()
        feed = self.feed(message.feed)
        feed.waiting.append(message)
        feed.state = FeedState(since=message.revision, revision=message.revision)
        self.tell()

    def beat(self, message):
        """The watcher says which feeds are in touch, and how far they are known."""
        self.heard_at = self.clock()
        self.is_watcher = message.watches
        for name, feed in self.feeds.items():
            feed.state = message.feeds.get(name)
            if feed.lost:
                self.fetch(name)
        self.tell()

    def piece(self, message):
        """A piece of a whole list came; the last one completes it."""
        self.heard_at = self.clock()
        feed = self.feed(message.feed)
        if feed.pieces_of != message.revision:
            feed.pieces.clear()
            feed.pieces_of = message.revision
        feed.pieces[message.number] = message.data
        if len(feed.pieces) < message.total:
            return
        parts = [feed.pieces[number] for number in sorted(feed.pieces)]
        feed.pieces.clear()
        feed.asked_at = float("-inf")
        try:
            objects = unpack(parts)
        except PackingError as exc:
            self.log(PART, "unreadable list", feed=message.feed, error=str(exc))
            return
        feed.waiting.append(
            FeedUpdate(
                feed=message.feed,
                revision=message.revision,
                whole=True,
                changed=objects,
            )
        )
        self.tell()

    def tell(self):
        """Wake who waits for news."""
        self.changed.set()
        self.changed = asyncio.Event()

    # Who is followed

    async def run(self):
        """Follow a watcher, another one when it is of no use, for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            self.look_behind()
            if not self.wanted():
                self.leave()
            elif self.link is None or self.silent():
                self.leave()
                await self.choose()
            elif self.useless():
                self.useless_until[self.link.peer] = self.clock() + USELESS_FOR
                self.leave()
                await self.choose()

    def silent(self):
        """Tell whether the watcher is gone or has not been heard of."""
        return not self.link.usable or self.clock() - self.heard_at > SILENT_AFTER

    def useless(self):
        """Tell whether the watcher is not in touch for a feed that is needed of it.

        What goes wrong without it: the store turns the watcher away as well, another
        one has a newer configuration, and nobody asks it. One that says that it does
        not watch is left at once: a daemon that starts with others knows some of them,
        and takes the first of these for watchers.
        """
        if not self.is_watcher:
            return True
        if self.clock() - self.chosen_at < USELESS_AFTER:
            return False
        watches = self.daemons.watches()
        needed = [feed for feed in self.feeds.values() if feed.lost or not watches]
        return any(feed.confirmed is None for feed in needed)

    def leave(self):
        """Follow nobody; what was passed on and not taken is forgotten."""
        if self.link is None:
            return
        self.link.following = None
        self.link.tell(Unfollow())
        self.link = None
        for feed in self.feeds.values():
            feed.forget_watcher()
        self.tell()

    async def choose(self):
        """Follow the first watcher that can be reached and may be of use."""
        watchers, now = self.daemons.watchers(), self.clock()
        for name in self.peers.in_turn(watchers, len(watchers)):
            if now < self.useless_until.get(name, now):
                continue
            try:
                link = await self.peers.link(name, LOOK_EVERY)
                await link.try_out()
            except PeerLost:
                continue
            if link.leaving:
                continue
            self.link = link
            self.heard_at = self.chosen_at = self.clock()
            self.is_watcher = True
            link.following = self
            known = {feed: found.known for feed, found in self.feeds.items()}
            link.tell(Follow(revisions=known))
            self.log(PART, "following", watcher=name)
            return

    # What on-call sees

    def look_behind(self):
        """Say which feeds the watcher knows more of than this daemon has taken in.

        What goes wrong without it: a daemon serves by an old configuration, and nothing
        in its logs or metrics tells it from one that is up to date.
        """
        now = self.clock()
        for name, feed in self.feeds.items():
            self.look_ahead(name, feed)
            if not feed.behind:
                feed.behind_since = None
                if feed.behind_told:
                    feed.behind_told = False
                    self.log(PART, "caught up", **progress(name, feed))
                continue
            feed.behind_since = now if feed.behind_since is None else feed.behind_since
            seconds = now - feed.behind_since
            if seconds >= BEHIND_TOLD and not feed.behind_told:
                feed.behind_told = True
                self.log(
                    PART, "behind", seconds=round(seconds, 2), **progress(name, feed)
                )

    def look_ahead(self, name, feed):
        """Log a feed that is known up to a later revision than the watcher's."""
        now = self.clock()
        if not feed.ahead:
            feed.ahead_since = None
            feed.ahead_logged = False
            return
        feed.ahead_since = now if feed.ahead_since is None else feed.ahead_since
        if now - feed.ahead_since >= BEHIND_TOLD and not feed.ahead_logged:
            feed.ahead_logged = True
            self.log(PART, "ahead of watcher", **progress(name, feed))


def usable(news, known):
    """Tell whether news can be taken in by who knows their feed up to a revision."""
    if news.whole:
        return news.revision > known
    return continues(known, news.since, news.revision)


def progress(name, feed):
    """Log fields: how far a feed is known here and at the watcher."""
    return {
        "feed": name,
        "known": label(feed.known),
        "vouched": label(feed.state.revision) if feed.state else None,
        "changed": label(feed.state.since) if feed.state else None,
    }
