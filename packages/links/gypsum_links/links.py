"""One multiplexed websocket per pair of daemons that have something to say."""

import asyncio
import hmac
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from gypsum_core.messages import Message
from gypsum_links.codec import CodecError, decode, encode

DIAL_TIMEOUT = 1.0
MAX_MESSAGE = 1 << 26
BACKLOG = 10_000
DAEMON_HEADER = "Gypsum-Daemon"
SECRET_HEADER = "Gypsum-Link-Secret"


class Receiver(Protocol):
    """Who gets what arrives."""

    def message_arrived(self, peer: str, message: Message) -> None:
        """A message came from a peer."""

    def link_lost(self, peer: str) -> None:
        """The link to a peer broke or could not be opened."""


@dataclass(kw_only=True, eq=False)
class Link:
    """A link to one peer: a queue that a task writes out in order."""

    peer: str
    outbox: asyncio.Queue = field(default_factory=lambda: asyncio.Queue(BACKLOG))
    socket: object = None
    task: asyncio.Task | None = None


class Links:
    """Opens links when there is something to send, keeps them while they work."""

    def __init__(
        self,
        *,
        daemon,
        secret,
        receiver: Receiver,
        address_of: Callable[[str], str],
        report: Callable[[str], None],
    ):
        self.daemon = daemon
        self.secret = secret
        self.receiver = receiver
        self.address_of = address_of
        self.report = report
        self.links = {}
        self.server = None
        self.closing = False

    async def listen(self, host, port):
        """Accept links; returns the port."""
        self.server = await serve(
            self.accept,
            host,
            port,
            process_request=self.check_secret,
            max_size=MAX_MESSAGE,
            compression=None,
            ping_interval=None,
        )
        return self.server.sockets[0].getsockname()[1]

    def check_secret(self, connection, req):
        """Refuse a peer that does not know the link secret."""
        offered = req.headers.get(SECRET_HEADER, "")
        if not hmac.compare_digest(offered.encode(), self.secret.encode()):
            return connection.respond(HTTPStatus.FORBIDDEN, "wrong link secret\n")
        return None

    async def accept(self, socket):
        """Serve a link that a peer opened."""
        peer = socket.request.headers.get(DAEMON_HEADER, "")
        if not peer:
            return
        if peer not in self.links:
            self.adopt(peer, socket)
        await self.receive(peer, socket)

    def adopt(self, peer, socket):
        """Use a link that the peer opened for our own messages too.

        Only when we have none: two daemons that dial each other at the same time
        would each give up their own link for the other's, and both would close.
        """
        link = Link(peer=peer, socket=socket)
        link.task = asyncio.ensure_future(self.write_out(link))
        self.links[peer] = link

    def send(self, peer, message):
        """Queue a message; a link that cannot take it counts as lost."""
        link = self.links.get(peer)
        if link is None:
            link = Link(peer=peer)
            link.task = asyncio.ensure_future(self.dial(link))
            self.links[peer] = link
        try:
            link.outbox.put_nowait(encode(message))
        except asyncio.QueueFull:
            self.report(f"{peer}: backlog is full, link dropped")
            self.drop(link)

    async def dial(self, link):
        """Open a link and use it until it breaks."""
        address = self.address_of(link.peer)
        if not address:
            self.drop(link)
            return
        headers = {DAEMON_HEADER: self.daemon, SECRET_HEADER: self.secret}
        try:
            socket = await connect(
                f"ws://{address}",
                additional_headers=headers,
                open_timeout=DIAL_TIMEOUT,
                max_size=MAX_MESSAGE,
                compression=None,
                ping_interval=None,
                proxy=None,
            )
        except (OSError, WebSocketException) as exc:
            self.report(f"{link.peer}: cannot connect: {exc}")
            self.drop(link)
            return
        link.socket = socket
        reader = asyncio.ensure_future(self.receive(link.peer, socket))
        try:
            await self.write_out(link)
        finally:
            reader.cancel()
            await socket.close()

    async def write_out(self, link):
        """Send queued messages until the link breaks."""
        try:
            while True:
                data = await link.outbox.get()
                await link.socket.send(data)
        except WebSocketException:
            self.drop(link)

    async def receive(self, peer, socket):
        """Hand over what arrives until the link breaks."""
        try:
            async for data in socket:
                self.receiver.message_arrived(peer, decode(data))
        except CodecError as exc:
            self.report(f"{peer}: {exc}")
        except WebSocketException:
            pass
        link = self.links.get(peer)
        if link is not None and link.socket is socket:
            self.drop(link)

    def reset(self, peer):
        """Close a link that has gone silent; its loss is known already."""
        link = self.links.pop(peer, None)
        if link is None:
            return
        link.task.cancel()
        if link.socket is not None:
            link.socket.transport.abort()

    def drop(self, link):
        """Forget a link; messages still queued are lost and reported as such."""
        if self.links.get(link.peer) is not link:
            return
        del self.links[link.peer]
        if link.task is not None and link.task is not asyncio.current_task():
            link.task.cancel()
        if not self.closing:
            self.receiver.link_lost(link.peer)

    async def close(self):
        """Send what is queued, say goodbye on every link, stop listening."""
        self.closing = True
        await self.flush()
        for link in list(self.links.values()):
            if link.socket is not None:
                await link.socket.close()
            link.task.cancel()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    async def flush(self):
        """Give queued messages a bounded time to leave."""
        for _ in range(50):
            if all(link.outbox.empty() for link in self.links.values()):
                return
            await asyncio.sleep(0.01)
