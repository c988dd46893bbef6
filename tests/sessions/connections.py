"""Callers with a connection of their own to a daemon of a rig."""

import asyncio

from gypsum_sessions.callers.caller import CallerConnection
from gypsum_sessions.callers.keys import digest_of


class FakeCallerTransport:
    """A caller's end of the connection; keeps what it gets."""

    def __init__(self):
        self.replies = []
        self.greeted = False
        self.final = None
        self.closed_at = None

    def send_greeting(self):
        """The session is open."""
        self.greeted = True

    def send_reply(self, reply):
        """A reply came."""
        assert self.closed_at is None
        self.replies.append(reply)

    def send_final(self, refusal, detail):
        """The session is refused."""
        self.final = refusal

    async def wait_writable(self):
        """Nothing is ever waited for."""

    def close(self):
        """The connection is closed."""
        if self.closed_at is None:
            self.closed_at = asyncio.get_running_loop().time()


async def connect(proxy, database="own", key=""):
    """A caller with an open session at a daemon, and its end of the connection."""
    transport = FakeCallerTransport()
    caller = CallerConnection(proxy=proxy, transport=transport)
    caller.start()
    caller.on_startup(database, digest_of(key.encode()))
    await asyncio.sleep(0.01)
    assert transport.greeted
    return caller, transport
