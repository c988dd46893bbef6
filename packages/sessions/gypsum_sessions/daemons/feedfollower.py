"""Follows a daemon that watches the store: feed updates, and whole lists on request.

A daemon that watches the store itself also follows another watcher while the store does
not answer it.
"""

import asyncio
from dataclasses import dataclass, field

from gypsum_policy.relays import (
    DISCONNECTED_WATCHER_TIMEOUT,
    LIST_RETRY_AFTER,
    WATCHER_RETRY_AFTER,
    WATCHER_TIMEOUT,
    is_contiguous,
    is_current,
)
from gypsum_policy.revisions import era_of, format_revision, same_era
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
# Seconds between checks of the watcher, and before another one is tried.
CHECK_INTERVAL = 0.2
# A daemon that knows less than its watcher for this long logs it, seconds; small
# changes are normally applied within milliseconds.
LOG_BEHIND_AFTER = 1.0


@dataclass(slots=True, kw_only=True)
class WatchedFeed:
    """State of one feed at this daemon and at its watcher.

    `known` is the revision up to which this daemon has applied the feed. `state` is
    what the watcher reports, None if the watcher has not confirmed the feed with the
    store. `pending` updates are not applied yet. `pieces` of a whole list belong to
    `pieces_revision`; the list was requested at `requested_at`. `behind_since` is None
    while this daemon is not behind. `confirmed_at` is a time at which the store had no
    changes beyond those applied here, None if none is known.
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
    confirmed_at: float | None = None

    @property
    def confirmed_state(self):
        """The watcher's state, None if its era is older than that of `known`."""
        if self.state is None or era_of(self.state.revision) < era_of(self.known):
            return None
        return self.state

    @property
    def behind(self):
        """Whether the watcher has changes that this daemon lacks."""
        state = self.confirmed_state
        if state is None:
            return False
        if not same_era(self.known, state.revision):
            return True
        return not is_current(self.known, state.since)

    @property
    def ahead(self):
        """Whether this daemon knows a later revision than the watcher."""
        return self.state is not None and self.known > self.state.revision

    def clear_watcher_state(self):
        """Discard everything received from a watcher."""
        self.state = None
        self.pending.clear()
        self.pieces.clear()
        self.requested_at = float("-inf")


class FeedFollower:
    """Follows one watcher at a time, preferably a near one with confirmed feeds."""

    def __init__(self, *, daemons, peers, clock, log):
        self.daemons = daemons
        self.peers = peers
        self.clock = clock
        self.log = log
        self.link = None
        self.heard_at = float("-inf")
        self.chosen_at = float("-inf")
        self.excluded_until = {}
        # Whether the followed daemon reports that it watches the store.
        self.is_watcher = True
        self.feeds = {}
        self.changed = asyncio.Event()

    # State of this daemon's feeds

    def feed(self, name):
        """Return the state of a feed, created on first use."""
        return self.feeds.setdefault(name, WatchedFeed())

    def set_known_revision(self, name, revision):
        """Record that this daemon has applied a feed up to a revision."""
        self.feed(name).known = revision

    def store_lost(self, name):
        """Record that the store does not answer for a feed, and use a watcher."""
        self.feed(name).store_unreachable = True
        self.request_list(name)

    def store_recovered(self, name):
        """Record that the store answers for a feed again."""
        self.feed(name).store_unreachable = False

    def needs_watcher(self):
        """Return whether this daemon needs a watcher."""
        return not self.daemons.watches() or any(
            feed.store_unreachable for feed in self.feeds.values()
        )

    # Queries by this daemon's feeds

    def is_up_to_date(self, name):
        """Return whether this daemon has all changes that the watcher has confirmed."""
        if self.link is None or self.clock() - self.heard_at > WATCHER_TIMEOUT:
            return False
        feed = self.feed(name)
        return feed.confirmed_state is not None and not feed.behind

    def age(self, name):
        """Seconds since a watcher confirmed what is known here; None without one."""
        return self.clock() - self.heard_at if self.is_up_to_date(name) else None

    def confirmed_at(self, name):
        """A time at which the store had no changes beyond those applied here, or None.

        On this daemon's clock, by the watchers' heartbeats.
        """
        return self.feed(name).confirmed_at

    def behind(self, name):
        """Return whether the watcher has changes of a feed that this daemon lacks."""
        return self.feed(name).behind

    def has_updates(self, name):
        """Return whether there are updates that can be applied."""
        self.drop_stale_updates(name)
        return bool(self.feed(name).pending)

    def has_whole_list(self, name):
        """Return whether the next update that can be applied is a whole list."""
        return self.has_updates(name) and self.feed(name).pending[0].whole

    async def wait_for_list(self, name, seconds):
        """Wait for a requested list; return whether there are updates.

        Returns early if the watcher is lost.
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
        """Return a feed's next update; None once no watcher confirms the feed.

        Also returns None from the event loop's time `until` on, if it is given.
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
            left = WATCHER_TIMEOUT if until is None else until - loop.time()
            event = self.changed
            try:
                async with asyncio.timeout(min(WATCHER_TIMEOUT, left)):
                    await event.wait()
            except TimeoutError:
                continue

    def pop_update(self, name):
        """Return the next applicable update, or None.

        If nothing has changed up to a later revision, this is an empty update to that
        revision.
        """
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
        """Drop updates that are old or do not follow on the known revision."""
        feed = self.feed(name)
        while feed.pending and not is_applicable(feed.pending[0], feed.known):
            feed.pending.pop(0)

    def request_list(self, name):
        """Request a feed's whole list from the watcher unless one is on its way."""
        feed, now = self.feed(name), self.clock()
        if (
            self.link is None
            or not feed.behind
            or now - feed.requested_at < LIST_RETRY_AFTER
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

    # Messages from the link

    def handle_update(self, message):
        """Store an update of a feed that the watcher has sent."""
        self.heard_at = self.clock()
        feed = self.feed(message.feed)
        feed.pending.append(message)
        feed.state = FeedState(since=message.revision, revision=message.revision)
        self.notify_waiters()

    def handle_heartbeat(self, message):
        """Record which feeds the watcher has confirmed, and up to which revision."""
        self.heard_at = self.clock()
        self.is_watcher = message.watches
        for name, feed in self.feeds.items():
            feed.state = message.feeds.get(name)
            state = feed.confirmed_state
            if state is not None and not feed.behind:
                feed.confirmed_at = self.clock() - state.age
            if feed.store_unreachable:
                self.request_list(name)
        self.notify_waiters()

    def handle_piece(self, message):
        """Store a piece of a whole list; the last piece completes it."""
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
        """Wake the tasks that wait for updates."""
        self.changed.set()
        self.changed = asyncio.Event()

    # Choice of the watcher

    async def run(self):
        """Follow a watcher, and switch when it is silent or unusable; runs forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.log_behind()
            if not self.needs_watcher():
                self.unfollow()
            elif self.link is None or self.watcher_is_silent():
                self.unfollow()
                await self.choose_watcher()
            elif self.watcher_is_unusable():
                self.excluded_until[self.link.peer] = self.clock() + WATCHER_RETRY_AFTER
                self.unfollow()
                await self.choose_watcher()

    def watcher_is_silent(self):
        """Return whether the watcher's link is unusable or silent for too long."""
        return not self.link.usable or self.clock() - self.heard_at > WATCHER_TIMEOUT

    def watcher_is_unusable(self):
        """Return whether the watcher has not confirmed a feed that is needed from it.

        Without this check, a daemon keeps an old configuration if the store also
        rejects its watcher, although another watcher has a newer one. A daemon that
        reports that it does not watch is left at once: a starting daemon knows only
        some of the others and treats the first of these as watchers.
        """
        if not self.is_watcher:
            return True
        if self.clock() - self.chosen_at < DISCONNECTED_WATCHER_TIMEOUT:
            return False
        watches = self.daemons.watches()
        needed = [
            feed
            for feed in self.feeds.values()
            if feed.store_unreachable or not watches
        ]
        return any(feed.confirmed_state is None for feed in needed)

    def unfollow(self):
        """Stop following, and discard updates that were not applied."""
        if self.link is None:
            return
        self.link.follower = None
        self.link.send_message(Unfollow())
        self.link = None
        for feed in self.feeds.values():
            feed.clear_watcher_state()
        self.notify_waiters()

    async def choose_watcher(self):
        """Follow the first watcher that can be reached and is not excluded."""
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

    # Logging

    def log_behind(self):
        """Log the feeds of which this daemon lacks changes that the watcher has.

        Without this, neither logs nor metrics distinguish a daemon that uses an old
        configuration from one that is up to date.
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
    """Return whether an update can be applied to a feed known up to a revision."""
    if update.whole:
        return update.revision > known
    return is_contiguous(known, update.since, update.revision)


def progress_fields(name, feed):
    """Log fields: how far a feed is known here and at the watcher."""
    return {
        "feed": name,
        "known": format_revision(feed.known),
        "vouched": format_revision(feed.state.revision) if feed.state else None,
        "changed": format_revision(feed.state.since) if feed.state else None,
    }
