"""A caller's connection: runs its messages in order, one complete reply for each."""

import asyncio
from typing import Protocol

from gypsum_sessions.replies import Refusal, Reply, SessionState
from gypsum_sessions.statements import Statement

PART = "caller"
# How long a new caller waits for the first configuration and the list of daemons,
# seconds; callers give up after 2 s.
LISTS_TIMEOUT = 1.5
# How often the wait checks the time, seconds; the lists themselves end it.
LISTS_CHECK_INTERVAL = 0.1


class CallerTransport(Protocol):
    """Sends replies to a caller."""

    def send_greeting(self) -> None:
        """Tell the caller that the session is open."""

    def send_reply(self, reply: Reply) -> None:
        """Send the complete reply to one statement."""

    def send_final(self, refusal: Refusal, detail: str) -> None:
        """Send a refusal that ends the session."""

    async def wait_writable(self) -> None:
        """Wait until the send buffer has room again."""

    def close(self) -> None:
        """Close the connection once the send buffer is flushed."""


class CallerConnection:
    """Processes the messages of one caller sequentially."""

    def __init__(self, *, proxy, transport: CallerTransport):
        self.proxy = proxy
        self.transport = transport
        self.session = None
        self.inbox = asyncio.Queue()
        self.task = None
        self.busy = False
        self.closed = False

    def start(self):
        """Start processing messages."""
        self.proxy.callers.add(self)
        self.task = asyncio.create_task(self.run())
        self.task.add_done_callback(self.proxy.on_task_done)

    # Messages decoded by the protocol adapter

    def on_startup(self, database, digest=""):
        """The caller requests a session; `digest` is the digest of its key."""
        self.inbox.put_nowait(("open", (database, digest)))

    def on_statement(self, request, statement: Statement | None, detail=""):
        """The caller sent a statement; None if it could not be parsed."""
        self.inbox.put_nowait(("statement", (request, statement, detail)))

    def on_protocol_error(self, refusal, detail):
        """The caller sent data after which its stream can't be decoded any further."""
        self.inbox.put_nowait(("broken", (refusal, detail)))

    def on_disconnect(self):
        """The caller ended the session, or its connection was lost."""
        self.closed = True
        if self.session is not None:
            self.session.abandon()
        self.inbox.put_nowait(("end", None))

    def close_idle(self):
        """Close an idle connection.

        It is closed at once and not by the message loop: a statement that arrived in
        between would be read and never answered.
        """
        self.closed = True
        self.transport.close()
        self.inbox.put_nowait(("end", None))

    @property
    def idle(self):
        """Whether no statement is pending and no transaction is open."""
        state = self.session.state if self.session else SessionState.IDLE
        return not self.busy and self.inbox.empty() and state is SessionState.IDLE

    # Message loop

    async def run(self):
        """Process messages until the connection ends."""
        try:
            while await self.process_next():
                pass
        finally:
            self.proxy.callers.discard(self)
            self.transport.close()
            if self.session is not None:
                await self.proxy.close_session(self.session)

    async def process_next(self):
        """Process one message; return False when the session has ended."""
        kind, content = await self.inbox.get()
        self.busy = True
        try:
            match kind:
                case "open":
                    return await self.open(*content)
                case "statement":
                    return await self.run_statement(*content)
                case "broken":
                    self.transport.send_final(*content)
            return False
        finally:
            self.busy = False

    async def open(self, database, digest):
        """Open the session, or refuse it and close the connection."""
        if self.session is not None:
            self.transport.send_final(Refusal.MALFORMED, "the session is open already")
            return False
        if not await self.wait_lists():
            self.transport.send_final(Refusal.BUSY, "not run, no configuration yet")
            return False
        route = self.proxy.catalog.route(database)
        if route is None:
            self.proxy.request_log.log_rejected("no route", database)
            self.transport.send_final(Refusal.UNKNOWN_DATABASE, database)
            return False
        self.session = self.proxy.open_session(database, digest)
        if self.session is None:
            self.proxy.request_log.log_rejected("unknown key", database)
            self.transport.send_final(Refusal.UNKNOWN_KEY, "no workspace has this key")
            return False
        self.transport.send_greeting()
        return True

    async def wait_lists(self):
        """Wait briefly for the first lists; return whether there is a configuration.

        With a configuration alone the session would open, and its first statement be
        refused as long as it is not known which daemons own the group.
        """
        until = self.proxy.clock() + LISTS_TIMEOUT
        while not self.proxy.lists_known and self.proxy.clock() < until:
            event = self.proxy.lists_changed
            try:
                async with asyncio.timeout(LISTS_CHECK_INTERVAL):
                    await event.wait()
            except TimeoutError:
                continue
        return self.proxy.catalog.version >= 0

    async def run_statement(self, request, statement, detail):
        """Run a statement and send its reply."""
        if self.session is None:
            self.transport.send_final(Refusal.MALFORMED, "no session is open")
            return False
        if self.closed:
            return False
        if statement is None:
            reply = self.session.refuse(Refusal.MALFORMED, detail)
        else:
            reply = await self.session.run(request, statement)
        self.transport.send_reply(reply)
        await self.transport.wait_writable()
        return not self.should_close()

    def should_close(self):
        """Return whether the session has to end and nothing of it is pending.

        Checked after each reply: a caller that sends statements back to back is never
        found idle by the drain, and would begin transactions until the process ends.
        A session also ends once its key has been withdrawn.
        """
        drain_state = self.proxy.drain_state
        draining = drain_state is not None and drain_state.closing_sessions
        if not draining and not self.session.withdrawn:
            return False
        return self.inbox.empty() and self.session.state is SessionState.IDLE
