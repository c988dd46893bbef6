"""One multiplexed websocket for each pair of communicating daemons."""

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
MAX_MESSAGE_BYTES = 1 << 26
MAX_QUEUED_MESSAGES = 10_000
DAEMON_HEADER = "Gypsum-Daemon"
SECRET_HEADER = "Gypsum-Link-Secret"


class Receiver(Protocol):
    """Receives messages and link losses."""

    def message_arrived(self, peer: str, message: Message) -> None:
        """Handle a message from a peer."""

    def link_lost(self, peer: str) -> None:
        """Handle a link that broke or could not be opened."""


@dataclass(kw_only=True, eq=False)
class Link:
    """A link to one peer, with a queue that a task sends in order."""

    peer: str
    outbox: asyncio.Queue = field(
        default_factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    socket: object = None
    task: asyncio.Task | None = None


class Links:
    """Opens links on demand and keeps them until they break."""

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
        """Listen for links and return the port."""
        self.server = await serve(
            self.accept,
            host,
            port,
            process_request=self.check_secret,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
        )
        return self.server.sockets[0].getsockname()[1]

    def check_secret(self, connection, request):
        """Refuse a peer with a wrong link secret."""
        offered = request.headers.get(SECRET_HEADER, "")
        if not hmac.compare_digest(offered.encode(), self.secret.encode()):
            return connection.respond(HTTPStatus.FORBIDDEN, "wrong link secret\n")
        return None

    async def accept(self, socket):
        """Serve a link that a peer opened."""
        peer = socket.request.headers.get(DAEMON_HEADER, "")
        if not peer:
            return
        if peer not in self.links:
            self.register_accepted(peer, socket)
        await self.receive_messages(peer, socket)

    def register_accepted(self, peer, socket):
        """Send messages over a link that the peer opened.

        Used only if this daemon has no link to the peer: two daemons that dial each
        other at the same time would each replace their own link by the other's, and
        both links would be closed.
        """
        link = Link(peer=peer, socket=socket)
        link.task = asyncio.ensure_future(self.send_queued(link))
        self.links[peer] = link

    def send(self, peer, message):
        """Queue a message; a link whose queue is full is dropped."""
        link = self.links.get(peer)
        if link is None:
            link = Link(peer=peer)
            link.task = asyncio.ensure_future(self.dial(link))
            self.links[peer] = link
        try:
            link.outbox.put_nowait(encode(message))
        except asyncio.QueueFull:
            self.report(f"{peer}: send queue full, link dropped")
            self.drop(link)

    async def dial(self, link):
        """Open a link and send its messages until it breaks."""
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
                max_size=MAX_MESSAGE_BYTES,
                compression=None,
                ping_interval=None,
                proxy=None,
            )
        except (OSError, WebSocketException) as exc:
            self.report(f"{link.peer}: cannot connect: {exc}")
            self.drop(link)
            return
        link.socket = socket
        reader = asyncio.ensure_future(self.receive_messages(link.peer, socket))
        try:
            await self.send_queued(link)
        finally:
            reader.cancel()
            await socket.close()

    async def send_queued(self, link):
        """Send queued messages until the link breaks."""
        try:
            while True:
                data = await link.outbox.get()
                await link.socket.send(data)
        except WebSocketException:
            self.drop(link)

    async def receive_messages(self, peer, socket):
        """Deliver received messages until the link breaks."""
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
        """Close a silent link without calling `link_lost`: the caller knows already."""
        link = self.links.pop(peer, None)
        if link is None:
            return
        link.task.cancel()
        if link.socket is not None:
            link.socket.transport.abort()

    def drop(self, link):
        """Remove a link and its queued messages, and report the loss."""
        if self.links.get(link.peer) is not link:
            return
        del self.links[link.peer]
        if link.task is not None and link.task is not asyncio.current_task():
            link.task.cancel()
        if not self.closing:
            self.receiver.link_lost(link.peer)

    async def close(self):
        """Flush the queues, close all links and stop listening."""
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
        """Wait up to 0.5 s for queued messages to be sent."""
        for _ in range(50):
            if all(link.outbox.empty() for link in self.links.values()):
                return
            await asyncio.sleep(0.01)
