"""Websocket links between daemons that carry requests one way and responses back.

Unlike in `gypsum_links.links`, a link belongs to the daemon that opened it. A request
ends with the link that it was sent over, so when a link breaks both daemons know which
requests have ended.

Uses the sans-I/O protocol of the websocket library instead of its tasks: a message is
delivered in the event loop iteration that receives its bytes and written in the one
that sends it. With a task for each direction, a forwarded statement took 17 ms longer
than a local one (median of 2,000, machines with half a core), mostly spent in
iterations of the four event loops involved.
"""

import asyncio
import hmac
import logging
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import OPEN
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

DAEMON_HEADER = "Gypsum-Daemon"
KEY_HEADER = "Gypsum-Link-Key"
# A message holds a statement of at most 1 MiB and the values and shapes of its session,
# 2 MiB, or rows; a character takes up to two bytes.
MAX_MESSAGE_BYTES = 8 << 20
# A slow link is closed when more unsent bytes are queued: one of the longest messages.
MAX_BACKLOG_BYTES = 8 << 20
# A link that receives this many bytes during a probe is busy, not silent: heartbeats
# and updates are some hundred bytes a second, and 5 Mbit/s carry 8 KiB in 13 ms.
BUSY_THRESHOLD_BYTES = 8 << 10
# TCP closes the connection when sent data stays unacknowledged for this long.
UNACKED_TIMEOUT_MS = 3000
# Daemons send their key immediately; a peer that has not sent it within this many
# seconds is not a daemon.
HANDSHAKE_TIMEOUT = 1.0
# The library would write plain text lines into logs in which every line is JSON. Its
# link errors reach the receiver through `link_lost`.
SILENCED_LOGGER = logging.getLogger("gypsum_links.websockets")
SILENCED_LOGGER.setLevel(logging.CRITICAL + 1)


class FrameLink(asyncio.Protocol):
    """One open link.

    `receiver.frame_received(data)` is called for each message, and
    `receiver.link_lost(reason)` once.
    """

    def __init__(self, *, protocol, receiver=None):
        self.protocol = protocol
        self.receiver = receiver
        self.transport = None
        self.alive = True
        self.probes = deque()
        self.bytes_received = 0

    # asyncio.Protocol

    def connection_made(self, transport):
        """Set the socket options; the handshake follows."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)

    def data_received(self, data):
        """Handle the messages that received bytes complete."""
        if not self.alive:
            return
        self.bytes_received += len(data)
        self.protocol.receive_data(data)
        for event in self.protocol.events_received():
            if self.alive:
                self.handle_event(event)
        self.flush()
        if self.alive and self.protocol.close_expected():
            self.fail("closed by the peer")

    def connection_lost(self, exc):
        """Report that the connection was closed."""
        self.fail(str(exc or "closed by the peer"))

    # Messages

    def handle_event(self, event):
        """Handle an event of the websocket protocol."""
        if not isinstance(event, Frame):
            self.handle_handshake(event)
        elif event.opcode is Opcode.BINARY and event.fin:
            self.receiver.frame_received(bytes(event.data))
        elif event.opcode is Opcode.PONG:
            self.handle_pong()
        elif event.opcode is Opcode.CLOSE:
            self.fail("closed by the peer")

    def handle_handshake(self, event):
        """Handle the peer's handshake message."""
        raise NotImplementedError

    @property
    def backlog(self):
        """Number of bytes queued for sending."""
        return self.transport.get_write_buffer_size() if self.alive else 0

    def send(self, data):
        """Send a message; return False if the link is closed or too slow."""
        if not self.alive:
            return False
        if self.backlog > MAX_BACKLOG_BYTES:
            self.fail("peer reads too slowly")
            return False
        self.protocol.send_binary(data)
        self.flush()
        return True

    def flush(self):
        """Write the protocol's pending data to the transport."""
        for data in self.protocol.data_to_send():
            if data and not self.transport.is_closing():
                self.transport.write(data)

    async def probe(self, timeout):
        """Return whether the peer answers a ping in time, or the link is busy.

        The pong alone isn't enough: queued behind a message of 1 MB, it takes 1.7 s on
        a link of 5 Mbit/s, and closing the link would leave all its requests in doubt.
        Nor does any received byte count: a link that is cut in the sending direction
        would stay open as long as the peer sends data.
        """
        if not self.alive:
            return False
        before = self.bytes_received
        answered = asyncio.get_running_loop().create_future()
        self.probes.append(answered)
        self.protocol.send_ping(b"")
        self.flush()
        try:
            async with asyncio.timeout(timeout):
                return await answered
        except TimeoutError:
            return self.bytes_received - before >= BUSY_THRESHOLD_BYTES

    def handle_pong(self):
        """Complete the oldest probe; pongs arrive in the order of the pings."""
        if self.probes:
            answered = self.probes.popleft()
            if not answered.done():
                answered.set_result(True)

    # Closing

    def fail(self, reason):
        """Close the link and notify the receiver, once."""
        if not self.alive:
            return
        self.close()
        if self.receiver is not None:
            self.receiver.link_lost(reason)

    def close(self):
        """Abort the connection, drop queued data; the receiver isn't notified."""
        self.alive = False
        while self.probes:
            answered = self.probes.popleft()
            if not answered.done():
                answered.set_result(False)
        if self.transport is not None:
            self.transport.abort()


class DialledLink(FrameLink):
    """An outgoing link; the future `opened` completes with the handshake."""

    def __init__(self, *, address, daemon, key, receiver):
        protocol = ClientProtocol(
            parse_uri(f"ws://{address}"),
            max_size=MAX_MESSAGE_BYTES,
            logger=SILENCED_LOGGER,
        )
        super().__init__(protocol=protocol, receiver=receiver)
        self.headers = {DAEMON_HEADER: daemon, KEY_HEADER: key}
        self.opened = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Send the handshake request."""
        super().connection_made(transport)
        request = self.protocol.connect()
        for name, value in self.headers.items():
            request.headers[name] = value
        self.protocol.send_request(request)
        self.flush()

    def handle_handshake(self, event: Response):
        """Complete `opened` with the peer's response."""
        if self.opened.done():
            return
        if self.protocol.state is OPEN:
            self.opened.set_result(self)
        else:
            self.open_failed(f"handshake refused: HTTP {event.status_code}")

    def open_failed(self, reason):
        """Fail `opened` with an OSError."""
        if not self.opened.done():
            self.opened.set_exception(OSError(reason))

    def fail(self, reason):
        """Close the link; fail `opened` if the handshake wasn't complete."""
        if self.opened.done():
            super().fail(reason)
            return
        self.open_failed(reason)
        self.close()


class FrameDialer:
    """Opens links; `key` returns the key that all daemons share."""

    def __init__(self, *, daemon, key: Callable[[], str]):
        self.daemon = daemon
        self.key = key

    async def dial(self, address, receiver, *, timeout):
        """Open a link; raises OSError on failure or after `timeout` seconds."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        link = DialledLink(
            address=address, daemon=self.daemon, key=self.key(), receiver=receiver
        )
        try:
            async with asyncio.timeout(timeout):
                await loop.create_connection(lambda: link, host, int(port))
                return await link.opened
        except TimeoutError as exc:
            link.close()
            raise OSError("no answer") from exc


class AcceptedLink(FrameLink):
    """An incoming link."""

    def __init__(self, *, server):
        super().__init__(
            protocol=ServerProtocol(max_size=MAX_MESSAGE_BYTES, logger=SILENCED_LOGGER)
        )
        self.server = server

    def connection_made(self, transport):
        """Start the handshake timeout of a new connection."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        loop.call_later(HANDSHAKE_TIMEOUT, self.close_unidentified)

    def close_unidentified(self):
        """Close the connection if its handshake is not complete."""
        if self.receiver is None:
            self.fail("handshake timed out")

    def handle_handshake(self, event: Request):
        """Refuse a peer with a wrong key, or any while this daemon has no key yet."""
        peer = event.headers.get(DAEMON_HEADER, "")
        refused = self.server.refusal_reason(event.headers.get(KEY_HEADER, ""))
        if refused:
            self.server.report(refused, peer)
            self.protocol.send_response(
                self.protocol.reject(HTTPStatus.FORBIDDEN, f"{refused}\n")
            )
            self.flush()
            self.fail(refused)
            return
        self.protocol.send_response(self.protocol.accept(event))
        if self.protocol.state is OPEN:
            self.receiver = self.server.accept(peer)
            self.receiver.opened(self)


class FrameServer:
    """Accepts links until the process ends.

    `accept(peer)` returns the receiver for a link, whose `opened(link)` is called when
    the link is open. `report(reason, peer)` is called for each refused peer.
    """

    def __init__(self, *, key: Callable[[], str], accept, report):
        self.key = key
        self.accept = accept
        self.report = report
        self.server = None

    async def listen(self, host, port):
        """Listen on an address and return the port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: AcceptedLink(server=self), host, port
        )
        return self.server.sockets[0].getsockname()[1]

    def refusal_reason(self, offered):
        """Return why a peer with this key is refused, or an empty string."""
        key = self.key()
        if not key:
            return "no key yet"
        matches = hmac.compare_digest(offered.encode(), key.encode())
        return "" if matches else "wrong key"
