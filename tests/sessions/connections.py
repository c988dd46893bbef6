"""Callers that are connected to a daemon of a rig."""

import asyncio

from gypsum_sessions.callers.caller import CallerConnection
from gypsum_sessions.callers.keys import digest_of


class FakeCallerTransport:
    """A caller's end of the connection; records what it receives."""

    def __init__(self):
        self.replies = []
        self.greeted = False
        self.final = None
        self.closed_at = None

    def send_greeting(self):
        """Record that the session is open."""
        self.greeted = True

    def send_reply(self, reply):
        """Record a reply; none may follow the close."""
        assert self.closed_at is None
        self.replies.append(reply)

    def send_final(self, refusal, detail):
        """Record the refusal of the session."""
        self.final = refusal

    async def wait_writable(self):
        """Return at once: the buffer never fills."""

    def close(self):
        """Record when the connection was first closed."""
        if self.closed_at is None:
            self.closed_at = asyncio.get_running_loop().time()


async def connect(proxy, database="own", key=""):
    """Open a session at a daemon; returns the connection and the caller's end of it."""
    transport = FakeCallerTransport()
    caller = CallerConnection(proxy=proxy, transport=transport)
    caller.start()
    caller.on_startup(database, digest_of(key.encode()))
    await asyncio.sleep(0.01)
    assert transport.greeted
    return caller, transport
