"""One caller's connection: messages in, one whole reply for each, in their order."""

import asyncio
from typing import Protocol

from gypsum_sessions.replies import Refusal, Reply, SessionState
from gypsum_sessions.statements import Statement

PART = "caller"
# A caller that comes before the configuration is known waits for it this long,
# seconds: callers give up after 2 s.
CATALOG_TIMEOUT = 1.5
# How often the configuration is looked for meanwhile, seconds.
CATALOG_POLL_INTERVAL = 0.05


class CallerTransport(Protocol):
    """The way back to a caller."""

    def send_greeting(self) -> None:
        """Say that the session is open."""

    def send_reply(self, reply: Reply) -> None:
        """Send the whole reply to one statement."""

    def send_final(self, refusal: Refusal, detail: str) -> None:
        """Send a refusal that ends the session."""

    async def wait_writable(self) -> None:
        """Wait until the caller has taken most of what was sent."""

    def close(self) -> None:
        """Close the connection once all that was sent is out."""


class CallerConnection:
    """Runs one caller's messages one after the other."""

    def __init__(self, *, proxy, transport: CallerTransport):
        self.proxy = proxy
        self.transport = transport
        self.session = None
        self.inbox = asyncio.Queue()
        self.task = None
        self.busy = False
        self.closed = False

    def start(self):
        """Begin to work on messages."""
        self.proxy.callers.add(self)
        self.task = asyncio.create_task(self.run())
        self.task.add_done_callback(self.proxy.on_task_done)

    # Messages, as the adapter decodes them

    def on_startup(self, database, digest=""):
        """The caller asks for a session; `digest` stands for the key that it shows."""
        self.inbox.put_nowait(("open", (database, digest)))

    def on_statement(self, request, statement: Statement | None, detail=""):
        """The caller sent a statement; None if it could not be understood."""
        self.inbox.put_nowait(("statement", (request, statement, detail)))

    def on_protocol_error(self, refusal, detail):
        """The caller sent something after which its stream can't be trusted."""
        self.inbox.put_nowait(("broken", (refusal, detail)))

    def on_disconnect(self):
        """The caller said goodbye or is gone."""
        self.closed = True
        self.inbox.put_nowait(("end", None))

    def close_idle(self):
        """Close an idle connection from our side.

        The connection is closed at once, not by the loop: a statement that arrived
        in between would be read and never answered.
        """
        self.closed = True
        self.transport.close()
        self.inbox.put_nowait(("end", None))

    @property
    def idle(self):
        """Tell whether the connection may be closed without cutting anything."""
        state = self.session.state if self.session else SessionState.IDLE
        return not self.busy and self.inbox.empty() and state is SessionState.IDLE

    # The loop

    async def run(self):
        """Work on messages until the connection ends."""
        try:
            while await self.process_next():
                pass
        finally:
            self.proxy.callers.discard(self)
            self.transport.close()
            if self.session is not None:
                await self.proxy.close_session(self.session)

    async def process_next(self):
        """Work on one message; False when the session is over."""
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
        """Open the session, or refuse it and end."""
        if self.session is not None:
            self.transport.send_final(Refusal.MALFORMED, "the session is open already")
            return False
        if not await self.wait_catalog():
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

    async def wait_catalog(self):
        """Wait a moment for the first configuration; tell whether it is there."""
        until = self.proxy.clock() + CATALOG_TIMEOUT
        while self.proxy.catalog.version < 0 and self.proxy.clock() < until:
            await asyncio.sleep(CATALOG_POLL_INTERVAL)
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
        """Tell whether this session waits for nothing and has to end.

        It has to when the daemon leaves. What goes wrong without it: a caller whose
        statements follow each other closely is never found idle, and begins
        transactions until the process ends. It has to as well when its key counts no
        more.
        """
        drain_state = self.proxy.drain_state
        leaves = drain_state is not None and drain_state.closing_sessions
        if not leaves and not self.session.withdrawn:
            return False
        return self.inbox.empty() and self.session.state is SessionState.IDLE
