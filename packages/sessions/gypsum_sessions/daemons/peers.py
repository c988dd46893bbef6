"""Links to other daemons, and the handling of requests on silent links.

A link is silent if a probe on it is not answered while requests are pending. It is then
closed, and all of its requests fail at once; the owner discards what the link held
there.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from gypsum_policy.boundedload import OwnerWaits
from gypsum_policy.latency import LatencyTracker
from gypsum_policy.ownership import OwnerView, owners_to_ask
from gypsum_sessions.daemons.peermessages import (
    AbandonStatement,
    FeedUpdate,
    GrantResponse,
    Heartbeat,
    LeaderResponse,
    Leaving,
    ListPiece,
    MessageError,
    ReadEnded,
    StatementResponse,
    decode,
    encode,
)

PART = "peers"
# Opening a link takes three round trips between failure domains, under 10 ms.
DIAL_TIMEOUT = 0.4
# Delay before an unreachable daemon is dialled again, seconds, doubling.
BACKOFF_MIN = 0.1
BACKOFF_MAX = 2.0
# Probes are answered within a few milliseconds; a daemon whose CPU quota is used up is
# silent for 0.1 s at a time.
PROBE_TIMEOUT = 0.6
PROBE_INTERVAL = 0.15
# Before non-repeatable work, a link that has been idle for longer is probed.
IDLE_PROBE_AFTER = 0.25


class PeerLost(Exception):
    """A daemon gave no answer; `sent` is False if it provably got no request."""

    def __init__(self, message, *, step, peer, sent):
        super().__init__(f"{step}: {peer}: {message}")
        self.step = step
        self.peer = peer
        self.sent = sent


class FrameReceiver(Protocol):
    """Receives what arrives on a link."""

    def frame_received(self, data: bytes) -> None:
        """Handle one message."""

    def link_lost(self, why: str) -> None:
        """Handle the loss of the link."""


class FrameLink(Protocol):
    """One open link to another daemon."""

    alive: bool
    # Bytes that wait to be sent.
    backlog: int

    def send(self, data: bytes) -> bool:
        """Queue a message for sending; False if the link accepts no more."""

    async def probe(self, timeout: float) -> bool:
        """Return whether the peer answers in time."""

    def close(self) -> None:
        """Close at once; nothing more arrives."""


class FrameDialer(Protocol):
    """Opens links."""

    async def dial(
        self, address: str, receiver: FrameReceiver, *, timeout: float
    ) -> FrameLink:
        """Open a link; raises OSError on failure."""


class PeerLink:
    """This daemon's requests to one other daemon, over one link."""

    def __init__(self, *, peer, clock):
        self.peer = peer
        self.clock = clock
        self.frames = None
        self.pending = {}
        # Futures of answered statements that may still run at the peer, by request
        # number: True once one has ended, False if its end will not be known.
        self.unfinished = {}
        self.last_number = 0
        self.heard_at = clock()
        self.draining = False
        # Whether the peer has shown that it understands `AbandonStatement`.
        self.accepts_abandon = False
        self.accepts_until = float("inf")
        self.close_reason = ""
        self.watchdog = None
        self.follower = None

    # FrameReceiver

    def frame_received(self, data):
        """Handle a response, a feed update, or the notice that the peer is draining."""
        self.heard_at = self.clock()
        try:
            message = decode(data)
        except MessageError as exc:
            self.close(str(exc))
            return
        if isinstance(message, Leaving):
            self.draining = True
            self.accepts_until = self.clock() + message.opens_for
        elif isinstance(message, StatementResponse | LeaderResponse | GrantResponse):
            self.handle_response(message)
        elif isinstance(message, ReadEnded):
            ended = self.unfinished.get(message.call)
            if ended is not None and not ended.done():
                ended.set_result(not message.orphaned)
        elif isinstance(message, FeedUpdate) and self.follower is not None:
            self.follower.handle_update(message)
        elif isinstance(message, Heartbeat) and self.follower is not None:
            self.follower.handle_heartbeat(message)
        elif isinstance(message, ListPiece) and self.follower is not None:
            self.follower.handle_piece(message)

    def handle_response(self, message):
        """Complete the request that a response belongs to, if it is still pending."""
        if isinstance(message, StatementResponse):
            self.accepts_abandon = self.accepts_abandon or message.accepts_abandon
        fut = self.pending.pop(message.call, None)
        if fut is None or fut.done():
            return
        if isinstance(message, StatementResponse) and message.unfinished:
            loop = asyncio.get_running_loop()
            self.unfinished[message.call] = loop.create_future()
        fut.set_result(message)

    def link_lost(self, why):
        """Record that the link is closed, and fail all pending requests."""
        self.close_reason = self.close_reason or why
        for ended in self.unfinished.values():
            if not ended.done():
                ended.set_result(False)
        pending, self.pending = self.pending, {}
        for fut in pending.values():
            if not fut.done():
                fut.set_exception(self.lost_error("ask", sent=True))

    # Requests

    @property
    def usable(self):
        """Return whether new work may be sent over the link."""
        return not self.close_reason and not self.draining

    def next_number(self):
        """A number that no other request or transaction of this link has."""
        self.last_number += 1
        return self.last_number

    def lost_error(self, step, *, sent):
        """The error of a request on a closed link."""
        return PeerLost(self.close_reason, step=step, peer=self.peer, sent=sent)

    async def wait_ended(self, call, seconds):
        """Wait for the end of an answered statement; return whether it is known.

        It is not if the link is lost before, or after a timeout.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self.unfinished[call]
        except TimeoutError:
            return False
        finally:
            del self.unfinished[call]

    async def timed_request(self, make, pace, *, timeout, job):
        """Send a job's request and record how long its answer took; raises PeerLost.

        If the peer refuses because of its queue, the queueing time that it reports is
        recorded; without an answer the time spent waiting is.
        """
        began, token = self.clock(), object()
        pace.start_request(token, began)
        try:
            answer = await self.request(
                make, timeout=timeout, withdrawals=job.withdrawals
            )
        except PeerLost as exc:
            if exc.sent:
                pace.record(self.clock() - began, self.clock())
            raise
        finally:
            pace.finish_request(token)
        if answer.reply.ok:
            pace.record(self.clock() - began, self.clock())
        elif answer.queue:
            pace.record(answer.queue, self.clock())
        return answer

    async def check_alive(self):
        """Check that the peer answers; raises PeerLost.

        Without this check, a write on an idle connection that something on the path has
        dropped is in doubt although it never arrived.
        """
        if self.clock() - self.heard_at < IDLE_PROBE_AFTER:
            return
        if not self.close_reason and await self.frames.probe(PROBE_TIMEOUT):
            self.heard_at = self.clock()
            return
        self.close("silent")
        raise self.lost_error("try", sent=False)

    async def request(self, make: Callable, *, timeout, withdrawals=None):
        """Send the request that `make` forms for its number; raises PeerLost.

        While it is pending, `withdrawals` has a function that tells the peer that the
        caller has left.
        """
        withdrawals = set() if withdrawals is None else withdrawals
        if self.close_reason:
            raise self.lost_error("ask", sent=False)
        call = self.next_number()
        fut = asyncio.get_running_loop().create_future()
        self.pending[call] = fut
        if not self.frames.send(encode(make(call))):
            del self.pending[call]
            raise PeerLost("takes no more", step="ask", peer=self.peer, sent=False)
        if self.watchdog is None or self.watchdog.done():
            self.watchdog = asyncio.create_task(self.run_watchdog())
        withdraw = partial(self.abandon, call)
        withdrawals.add(withdraw)
        try:
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            raise PeerLost(
                "no answer in time", step="ask", peer=self.peer, sent=True
            ) from None
        finally:
            withdrawals.discard(withdraw)
            self.pending.pop(call, None)

    def abandon(self, call):
        """Tell the peer that the caller of a pending request has left.

        A daemon of an older version would close the link at the unknown message, so it
        runs the statement to its end.
        """
        if self.accepts_abandon and call in self.pending:
            self.send_message(AbandonStatement(call=call))

    def send_message(self, message):
        """Send a message that needs no answer; dropped if the link is closed."""
        if not self.close_reason:
            self.frames.send(encode(message))

    async def run_watchdog(self):
        """Close the link if it is silent while requests are pending."""
        while self.pending and not self.close_reason:
            await asyncio.sleep(PROBE_INTERVAL)
            if not self.pending or self.close_reason:
                return
            if not await self.frames.probe(PROBE_TIMEOUT):
                self.close("silent")
                return
            self.heard_at = self.clock()

    def close(self, why):
        """Close the link and fail its requests."""
        if self.frames is not None:
            self.frames.close()
        self.link_lost(why)


@dataclass(slots=True, kw_only=True)
class DialBackoff:
    """Backoff of a daemon that could not be reached.

    No dial before `until`; `pause` is the current delay in seconds, and `since` the
    time of the first failure.
    """

    until: float
    pause: float
    since: float


class Peers:
    """This daemon's links to other daemons, opened when there is work for them."""

    def __init__(self, *, dialer, daemons, clock, log):
        self.dialer = dialer
        self.daemons = daemons
        self.clock = clock
        self.log = log
        self.links = {}
        self.dials = {}
        self.backoffs = {}
        # Response times, and reported waits, by daemon and group.
        self.paces = {}
        self.waits = {}
        # Statements sent past their preferred owner, which had no room, by group.
        self.spread = Counter()

    def avoided(self, name):
        """Return whether other daemons are tried before this one."""
        return self.is_draining(name) or name in self.backoffs

    def is_draining(self, name):
        """Return whether a daemon has said that it is draining.

        A draining daemon says so first on each of its links. So an open link without
        that notice belongs to a process that is not draining, such as one restarted
        since.
        """
        link = self.links.get(name)
        return link is not None and not link.close_reason and link.draining

    def is_linked(self, name):
        """Return whether there is an open link to a daemon."""
        link = self.links.get(name)
        return link is not None and not link.close_reason

    def accepts_transactions(self, name):
        """Return whether a daemon may open a transaction, as far as is known here.

        Without this check, when all other candidates are draining or just starting, a
        draining owner is asked while its process ends, and the statement is lost.
        """
        return (
            not self.is_draining(name) or self.clock() < self.links[name].accepts_until
        )

    def expected(self, name, group):
        """Expected latency of a daemon's answers in a group, seconds, or None."""
        pace = self.paces.get((name, group))
        return pace.estimate(self.clock()) if pace is not None else None

    def pace(self, name, group):
        """Response times of a daemon in a group; kept when the link closes."""
        return self.paces.setdefault((name, group), LatencyTracker())

    def owner_waits(self, name, group):
        """Waits that a daemon reported in a group."""
        return self.waits.setdefault((name, group), OwnerWaits())

    def expected_wait(self, name, group, kind):
        """Expected wait of a kind of work at a daemon, seconds; 0 if unknown."""
        waits = self.waits.get((name, group))
        return waits.expected(kind, self.clock()) if waits is not None else 0.0

    def ask_order(self, names, owners, group="", workspace="", full=frozenset()):
        """Order the other daemons of a group by preference for requests.

        The first `owners` names are the group's owners; see `owners_to_ask`. `full` are
        the daemons that have no room for the work.
        """
        own = self.daemons.own
        views = [
            OwnerView(
                name=name,
                rank=place,
                far=self.daemons.get(name).domain != own.domain,
                avoided=self.avoided(name),
                expected_latency=self.expected(name, group),
                full=name in full,
            )
            for place, name in enumerate(names)
            if name != own.id
        ]
        return owners_to_ask(views, owners=owners, daemon=own.id, workspace=workspace)

    def unreachable_for(self, name):
        """Seconds for which a daemon has been unreachable, 0 if it has not."""
        found = self.backoffs.get(name)
        return self.clock() - found.since if found else 0.0

    async def link(self, name, timeout):
        """Return a link to a daemon, opened if there is none; raises PeerLost."""
        link = self.links.get(name)
        if link is not None and not link.close_reason:
            return link
        found = self.backoffs.get(name)
        if found is not None and self.clock() < found.until:
            raise PeerLost("no new dial yet", step="dial", peer=name, sent=False)
        dial = self.dials.get(name)
        if dial is None:
            dial = self.dials[name] = asyncio.create_task(self.dial(name))
            dial.add_done_callback(lambda task: self.dial_finished(name, task))
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(dial)
        except TimeoutError:
            raise PeerLost("not open yet", step="dial", peer=name, sent=False) from None
        except asyncio.CancelledError:
            if not dial.cancelled():
                raise
            # This daemon is stopping: the dial was cancelled, not the task that waits.
            raise PeerLost("given up", step="dial", peer=name, sent=False) from None

    async def dial(self, name):
        """Open a link; raises PeerLost."""
        entry = self.daemons.get(name)
        link = PeerLink(peer=name, clock=self.clock)
        if entry is None or not entry.link:
            raise PeerLost("no address", step="dial", peer=name, sent=False)
        try:
            link.frames = await self.dialer.dial(entry.link, link, timeout=DIAL_TIMEOUT)
        except OSError as exc:
            self.back_off(name)
            raise PeerLost(str(exc), step="dial", peer=name, sent=False) from exc
        self.links[name] = link
        if self.backoffs.pop(name, None) is not None:
            self.log(PART, "daemon reached again", peer=name)
        return link

    def dial_finished(self, name, task):
        """Remove a finished dial; its waiters have its result."""
        self.dials.pop(name, None)
        if not task.cancelled():
            task.exception()

    def back_off(self, name):
        """Record that a daemon could not be reached, and double its dial delay."""
        now, found = self.clock(), self.backoffs.get(name)
        if found is None:
            self.log(PART, "daemon not reached", peer=name)
            found = DialBackoff(until=now, pause=BACKOFF_MIN / 2, since=now)
        pause = min(2 * found.pause, BACKOFF_MAX)
        self.backoffs[name] = DialBackoff(
            until=now + pause, pause=pause, since=found.since
        )

    def remove(self, name):
        """Discard the link and state of a daemon that is no longer registered."""
        self.paces = {key: pace for key, pace in self.paces.items() if key[0] != name}
        self.waits = {key: kept for key, kept in self.waits.items() if key[0] != name}
        self.backoffs.pop(name, None)
        link = self.links.pop(name, None)
        if link is not None:
            link.close("no longer registered")

    def close(self):
        """Close all links."""
        for dial in self.dials.values():
            dial.cancel()
        for link in self.links.values():
            link.close("closed by this daemon")
