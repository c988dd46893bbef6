"""Links that carry messages one way to ask and one way to answer.

Unlike `gypsum_links.links` a link belongs to the daemon that opened it: what it asked
over a link ends with that link, so both ends know when it broke what is over.
"""

import asyncio
import hmac
import logging
import socket
from collections.abc import Callable
from http import HTTPStatus

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, WebSocketException

DAEMON_HEADER = "Gypsum-Daemon"
KEY_HEADER = "Gypsum-Link-Key"
# A message is a statement of at most a megabyte, or its rows, and some words around it.
MOST_BYTES = 2 << 20
# Messages that wait for a slow link before it is given up: a second of a busy owner's.
BACKLOG = 512
# Bytes that are on their way unacknowledged for this long say that the way is gone.
SILENCE_MS = 3000
# The library's own lines are no JSON, and tell of each link what its receiver is told.
QUIET = logging.getLogger("gypsum_links.websockets")
QUIET.addHandler(logging.NullHandler())
QUIET.propagate = False


class FrameLink:
    """One open link: sends in turn, hands over what arrives.

    `receiver` has `frame(data)` and `lost(why)`; it is told once that the link is gone.
    """

    def __init__(self, *, connection, receiver):
        self.connection = connection
        self.receiver = receiver
        self.outbox = asyncio.Queue(BACKLOG)
        self.alive = True
        limit_silence(connection)
        self.tasks = [
            asyncio.create_task(self.write_out()),
            asyncio.create_task(self.read_in()),
        ]

    def send(self, data):
        """Queue a message; False if the link is gone or too slow."""
        if not self.alive:
            return False
        try:
            self.outbox.put_nowait(data)
        except asyncio.QueueFull:
            self.end("too slow")
            return False
        return True

    async def write_out(self):
        """Send what is queued until the link breaks."""
        try:
            while True:
                await self.connection.send(await self.outbox.get())
        except (ConnectionClosed, OSError) as exc:
            self.end(str(exc))

    async def read_in(self):
        """Hand over what arrives until the link breaks."""
        try:
            async for data in self.connection:
                if self.alive:
                    self.receiver.frame(data)
            self.end("closed by the other end")
        except (ConnectionClosed, OSError) as exc:
            self.end(str(exc))

    async def probe(self, timeout):
        """Tell whether the other end answers a ping in time."""
        if not self.alive:
            return False
        try:
            async with asyncio.timeout(timeout):
                await (await self.connection.ping())
        except (TimeoutError, ConnectionClosed, OSError):
            return False
        return self.alive

    def end(self, why):
        """The link is gone: say so, once."""
        if self.alive:
            self.close()
            self.receiver.lost(why)

    def close(self):
        """Close at once, what is queued included; the receiver is not told."""
        self.alive = False
        self.connection.transport.abort()
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()

    async def wait_closed(self):
        """Wait until the link is gone."""
        await self.connection.wait_closed()


class FrameDialer:
    """Opens links; `key` gives the key that all daemons share."""

    def __init__(self, *, daemon, key: Callable[[], str]):
        self.daemon = daemon
        self.key = key

    async def dial(self, address, receiver, *, timeout):
        """Open a link; raises OSError if that fails."""
        headers = {DAEMON_HEADER: self.daemon, KEY_HEADER: self.key()}
        try:
            async with asyncio.timeout(timeout):
                connection = await connect(
                    f"ws://{address}",
                    additional_headers=headers,
                    open_timeout=None,
                    max_size=MOST_BYTES,
                    compression=None,
                    ping_interval=None,
                    proxy=None,
                    logger=QUIET,
                )
        except TimeoutError as exc:
            raise OSError("no answer") from exc
        except WebSocketException as exc:
            raise OSError(f"not accepted: {exc}") from exc
        return FrameLink(connection=connection, receiver=receiver)


class FrameServer:
    """Accepts links; `accept(peer)` makes the receiver of each, `opened` its link."""

    def __init__(self, *, key: Callable[[], str], accept, report):
        self.key = key
        self.accept = accept
        self.report = report
        self.server = None

    async def listen(self, host, port):
        """Accept links at an address; returns the port."""
        self.server = await serve(
            self.run,
            host,
            port,
            process_request=self.check_key,
            max_size=MOST_BYTES,
            compression=None,
            ping_interval=None,
            logger=QUIET,
        )
        return self.server.sockets[0].getsockname()[1]

    def check_key(self, connection, req):
        """Refuse a daemon that does not know the key, or comes before we do."""
        offered, key = req.headers.get(KEY_HEADER, ""), self.key()
        if key and hmac.compare_digest(offered.encode(), key.encode()):
            return None
        peer = req.headers.get(DAEMON_HEADER, "")
        self.report("wrong key" if key else "no key yet", peer)
        return connection.respond(HTTPStatus.FORBIDDEN, "wrong link key\n")

    async def run(self, connection):
        """Serve one link to its end."""
        receiver = self.accept(connection.request.headers.get(DAEMON_HEADER, ""))
        link = FrameLink(connection=connection, receiver=receiver)
        receiver.frames = link
        await link.wait_closed()

    def close(self):
        """Accept no more links; those that are open end with the process."""
        if self.server is not None:
            self.server.close(close_connections=False)


def limit_silence(connection):
    """Let the kernel give up a way that is gone, and send small messages at once."""
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
