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
CHECK_INTERVAL = 0.2
# A daemon that knows less than its watcher for this long says so, seconds: news of
# small changes are taken in within milliseconds.
LOG_BEHIND_AFTER = 1.0


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
    pending: list[FeedUpdate] = field(default_factory=list)
    pieces: dict[int, bytes] = field(default_factory=dict)
    pieces_revision: int = 0
    requested_at: float = float("-inf")
    store_unreachable: bool = False
    behind_since: float | None = None
    behind_logged: bool = False
    ahead_since: float | None = None
    ahead_logged: bool = False

    @property
    def confirmed_state(self):
        """The watcher's state, None if it is of an earlier era than what is known."""
        if self.state is None or era_of(self.state.revision) < era_of(self.known):
            return None
        return self.state

    @property
    def behind(self):
        """Tell whether the watcher has changes that this daemon lacks."""
        state = self.confirmed_state
        if state is None:
            return False
        if not same_era(self.known, state.revision):
            return True
        return not is_current(self.known, state.since)

    @property
    def ahead(self):
        """Tell whether this daemon knows a later revision than the watcher."""
        return self.state is not None and self.known > self.state.revision

    def clear_watcher_state(self):
        """Nothing that a watcher has sent counts any more."""
        self.state = None
        self.pending.clear()
        self.pieces.clear()
        self.requested_at = float("-inf")


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
        self.excluded_until = {}
        # Whether the one that is followed watches the store, by its own word.
        self.is_watcher = True
        self.feeds = {}
        self.changed = asyncio.Event()

    # What the feeds of this daemon tell

    def feed(self, name):
        """A feed as it stands."""
        return self.feeds.setdefault(name, WatchedFeed())

    def set_known_revision(self, name, revision):
        """This daemon has taken a feed in up to a revision."""
        self.feed(name).known = revision

    def store_lost(self, name):
        """The store does not answer for a feed: a watcher has to."""
        self.feed(name).store_unreachable = True
        self.request_list(name)

    def store_recovered(self, name):
        """The store answers for a feed."""
        self.feed(name).store_unreachable = False

    def needs_watcher(self):
        """Tell whether this daemon needs a watcher."""
        return not self.daemons.watches() or any(
            feed.store_unreachable for feed in self.feeds.values()
        )

    # What they ask

    def is_up_to_date(self, name):
        """Tell whether this daemon has all that a watcher in touch knows of a feed."""
        if self.link is None or self.clock() - self.heard_at > SILENT_AFTER:
            return False
        feed = self.feed(name)
        return feed.confirmed_state is not None and not feed.behind

    def age(self, name):
        """Seconds since a watcher vouched for all that is known; None if none does."""
        return self.clock() - self.heard_at if self.is_up_to_date(name) else None

    def behind(self, name):
        """Tell whether the watcher has changes of a feed that this daemon lacks."""
        return self.feed(name).behind

    def has_updates(self, name):
        """Tell whether there are news that can be taken in."""
        self.drop_stale_updates(name)
        return bool(self.feed(name).pending)

    async def wait_for_list(self, name, seconds):
        """Wait for a list that was asked for; tell whether there are news.

        Ends early if the watcher is gone.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not self.has_updates(name) and self.behind(name) and loop.time() < until:
            event = self.changed
            try:
                async with asyncio.timeout(until - loop.time()):
                    await event.wait()
            except TimeoutError:
                break
        return self.has_updates(name)

    async def next_update(self, name, until=None):
        """The next news of a feed; None once no watcher vouches for it any more.

        Also None from the loop's time `until` on, if it is given.
        """
        loop = asyncio.get_running_loop()
        while True:
            update = self.pop_update(name)
            if update is not None:
                return update
            if not self.is_up_to_date(name) or (
                until is not None and loop.time() >= until
            ):
                return None
            left = SILENT_AFTER if until is None else until - loop.time()
            event = self.changed
            try:
                async with asyncio.timeout(min(SILENT_AFTER, left)):
                    await event.wait()
            except TimeoutError:
                continue

    def pop_update(self, name):
        """News that follow on what is known, or that nothing has changed; or None."""
        feed = self.feed(name)
        self.drop_stale_updates(name)
        if feed.pending:
            return feed.pending.pop(0)
        if self.is_up_to_date(name) and feed.state.revision > feed.known:
            state = feed.state
            return FeedUpdate(
                feed=name, since=state.since, revision=state.revision, changed={}
            )
        return None

    def drop_stale_updates(self, name):
        """Drop news that are old, or that have a gap between them and what is known."""
        feed = self.feed(name)
        while feed.pending and not is_applicable(feed.pending[0], feed.known):
            feed.pending.pop(0)

    def request_list(self, name):
        """Ask the watcher for a feed's whole list, unless it is on its way."""
        feed, now = self.feed(name), self.clock()
        if (
            self.link is None
            or not feed.behind
            or now - feed.requested_at < FETCH_AGAIN
        ):
            return
        feed.requested_at = now
        feed.pieces.clear()
        self.log(
            PART,
            "whole list asked for",
            watcher=self.link.peer,
            **progress_fields(name, feed),
        )
        self.link.send_message(FetchList(feed=name))

    # From the link

    def handle_update(self, message):
        """News of a feed came: it has changed, up to their revision."""
        self.heard_at = self.clock()
        feed = self.feed(message.feed)
        feed.pending.append(message)
        feed.state = FeedState(since=message.revision, revision=message.revision)
        self.notify_waiters()

    def handle_heartbeat(self, message):
        """The watcher says which feeds are in touch, and how far they are known."""
        self.heard_at = self.clock()
        self.is_watcher = message.watches
        for name, feed in self.feeds.items():
            feed.state = message.feeds.get(name)
            if feed.store_unreachable:
                self.request_list(name)
        self.notify_waiters()

    def handle_piece(self, message):
        """A piece of a whole list came; the last one completes it."""
        self.heard_at = self.clock()
        feed = self.feed(message.feed)
        if feed.pieces_revision != message.revision:
            feed.pieces.clear()
            feed.pieces_revision = message.revision
        feed.pieces[message.number] = message.data
        if len(feed.pieces) < message.total:
            return
        parts = [feed.pieces[number] for number in sorted(feed.pieces)]
        feed.pieces.clear()
        feed.requested_at = float("-inf")
        try:
            objects = unpack(parts)
        except PackingError as exc:
            self.log(PART, "unreadable list", feed=message.feed, error=str(exc))
            return
        feed.pending.append(
            FeedUpdate(
                feed=message.feed,
                revision=message.revision,
                whole=True,
                changed=objects,
            )
        )
        self.notify_waiters()

    def notify_waiters(self):
        """Wake who waits for news."""
        self.changed.set()
        self.changed = asyncio.Event()

    # Who is followed

    async def run(self):
        """Follow a watcher, another one when it is of no use, for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.log_behind()
            if not self.needs_watcher():
                self.unfollow()
            elif self.link is None or self.watcher_is_silent():
                self.unfollow()
                await self.choose_watcher()
            elif self.watcher_is_unusable():
                self.excluded_until[self.link.peer] = self.clock() + USELESS_FOR
                self.unfollow()
                await self.choose_watcher()

    def watcher_is_silent(self):
        """Tell whether the watcher is gone or has not been heard of."""
        return not self.link.usable or self.clock() - self.heard_at > SILENT_AFTER

    def watcher_is_unusable(self):
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
        needed = [
            feed
            for feed in self.feeds.values()
            if feed.store_unreachable or not watches
        ]
        return any(feed.confirmed_state is None for feed in needed)

    def unfollow(self):
        """Follow nobody; what was passed on and not taken is forgotten."""
        if self.link is None:
            return
        self.link.follower = None
        self.link.send_message(Unfollow())
        self.link = None
        for feed in self.feeds.values():
            feed.clear_watcher_state()
        self.notify_waiters()

    async def choose_watcher(self):
        """Follow the first watcher that can be reached and may be of use."""
        watchers, now = self.daemons.watchers(), self.clock()
        for name in self.peers.ask_order(watchers, len(watchers)):
            if now < self.excluded_until.get(name, now):
                continue
            try:
                link = await self.peers.link(name, CHECK_INTERVAL)
                await link.check_alive()
            except PeerLost:
                continue
            if link.draining:
                continue
            self.link = link
            self.heard_at = self.chosen_at = self.clock()
            self.is_watcher = True
            link.follower = self
            known = {feed: found.known for feed, found in self.feeds.items()}
            link.send_message(Follow(revisions=known))
            self.log(PART, "following", watcher=name)
            return

    # What on-call sees

    def log_behind(self):
        """Say which feeds the watcher knows more of than this daemon has taken in.

        What goes wrong without it: a daemon serves by an old configuration, and nothing
        in its logs or metrics tells it from one that is up to date.
        """
        now = self.clock()
        for name, feed in self.feeds.items():
            self.log_ahead(name, feed)
            if not feed.behind:
                feed.behind_since = None
                if feed.behind_logged:
                    feed.behind_logged = False
                    self.log(PART, "caught up", **progress_fields(name, feed))
                continue
            feed.behind_since = now if feed.behind_since is None else feed.behind_since
            seconds = now - feed.behind_since
            if seconds >= LOG_BEHIND_AFTER and not feed.behind_logged:
                feed.behind_logged = True
                self.log(
                    PART,
                    "behind",
                    seconds=round(seconds, 2),
                    **progress_fields(name, feed),
                )

    def log_ahead(self, name, feed):
        """Log a feed that is known up to a later revision than the watcher's."""
        now = self.clock()
        if not feed.ahead:
            feed.ahead_since = None
            feed.ahead_logged = False
            return
        feed.ahead_since = now if feed.ahead_since is None else feed.ahead_since
        if now - feed.ahead_since >= LOG_BEHIND_AFTER and not feed.ahead_logged:
            feed.ahead_logged = True
            self.log(PART, "ahead of watcher", **progress_fields(name, feed))


def is_applicable(update, known):
    """Tell whether news can be taken in by who knows their feed up to a revision."""
    if update.whole:
        return update.revision > known
    return continues(known, update.since, update.revision)


def progress_fields(name, feed):
    """Log fields: how far a feed is known here and at the watcher."""
    return {
        "feed": name,
        "known": label(feed.known),
        "vouched": label(feed.state.revision) if feed.state else None,
        "changed": label(feed.state.since) if feed.state else None,
    }
