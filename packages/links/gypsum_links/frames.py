"""Links that carry messages one way to ask and one way to answer.

Unlike `gypsum_links.links` a link belongs to the daemon that opened it: what it asked
over a link ends with that link, so both ends know when it broke what is over.

The websocket library is used without its tasks: a message is handed over in the turn of
the loop in which its bytes came, and written in the turn in which it is sent. With a
task for each direction a statement by way of another daemon took 17 ms more than one at
home (median of 2,000 on machines with half a core), most of it turns of four loops.
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
# A message is a statement of at most a megabyte, or its rows, and some words around it.
MOST_BYTES = 2 << 20
# Bytes that wait for a slow link before it is given up: the longest message twice.
BACKLOG_BYTES = 4 << 20
# A link that brings this many bytes while a probe waits is busy, not silent: a second's
# beats and news are some hundred, and 5 Mbit/s carry as many in 13 ms.
BUSY_BYTES = 8 << 10
# Bytes that are on their way unacknowledged for this long say that the way is gone.
SILENCE_MS = 3000
# A daemon shows its key at once; who has not within this many seconds is none.
HANDSHAKE_TIMEOUT = 1.0
# The library writes lines of plain text into logs of which every line is JSON; what it
# has to say of a link its receiver is told.
QUIET = logging.getLogger("gypsum_links.websockets")
QUIET.setLevel(logging.CRITICAL + 1)


class FrameLink(asyncio.Protocol):
    """One open link.

    `receiver` gets each message by `frame_received(data)`, and `link_lost(why)` once.
    """

    def __init__(self, *, protocol, receiver=None):
        self.protocol = protocol
        self.receiver = receiver
        self.transport = None
        self.alive = True
        self.probes = deque()
        self.received = 0

    # asyncio.Protocol

    def connection_made(self, transport):
        """The connection is open; the handshake comes next."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)

    def data_received(self, data):
        """Bytes came."""
        if not self.alive:
            return
        self.received += len(data)
        self.protocol.receive_data(data)
        for event in self.protocol.events_received():
            if self.alive:
                self.take(event)
        self.flush()
        if self.alive and self.protocol.close_expected():
            self.end("closed by the other end")

    def connection_lost(self, exc):
        """The connection ended."""
        self.end(str(exc or "closed by the other end"))

    # Messages

    def take(self, event):
        """One event of the protocol."""
        if not isinstance(event, Frame):
            self.take_handshake(event)
        elif event.opcode is Opcode.BINARY and event.fin:
            self.receiver.frame_received(bytes(event.data))
        elif event.opcode is Opcode.PONG:
            self.probe_answered()
        elif event.opcode is Opcode.CLOSE:
            self.end("closed by the other end")

    def take_handshake(self, event):
        """The other end's part of the handshake."""
        raise NotImplementedError

    @property
    def backlog(self):
        """Bytes that wait to be sent."""
        return self.transport.get_write_buffer_size() if self.alive else 0

    def send(self, data):
        """Send a message; False if the link is gone or too slow."""
        if not self.alive:
            return False
        if self.backlog > BACKLOG_BYTES:
            self.end("too slow")
            return False
        self.protocol.send_binary(data)
        self.flush()
        return True

    def flush(self):
        """Hand what the protocol wants to send to the transport."""
        for data in self.protocol.data_to_send():
            if data and not self.transport.is_closing():
                self.transport.write(data)

    async def probe(self, timeout):
        """Tell whether the other end answers a ping in time, or the link is busy.

        What goes wrong if only the answer to the ping counts: it waits behind a message
        of a megabyte, which takes a link of 5 Mbit/s 1.7 s, and all that was asked over
        the link is in doubt. With any byte counted, one whose other end hears nothing
        of us stays as long as that one has something to say.
        """
        if not self.alive:
            return False
        before = self.received
        answered = asyncio.get_running_loop().create_future()
        self.probes.append(answered)
        self.protocol.send_ping(b"")
        self.flush()
        try:
            async with asyncio.timeout(timeout):
                return await answered
        except TimeoutError:
            return self.received - before >= BUSY_BYTES

    def probe_answered(self):
        """A pong came: it answers the pings in their order."""
        if self.probes:
            answered = self.probes.popleft()
            if not answered.done():
                answered.set_result(True)

    # Ends

    def end(self, why):
        """The link is gone: say so, once."""
        if not self.alive:
            return
        self.close()
        if self.receiver is not None:
            self.receiver.link_lost(why)

    def close(self):
        """Close at once, what is queued included; the receiver is not told."""
        self.alive = False
        while self.probes:
            answered = self.probes.popleft()
            if not answered.done():
                answered.set_result(False)
        if self.transport is not None:
            self.transport.abort()


class DialledLink(FrameLink):
    """The end of a link that opened it; `opened` is done with the handshake."""

    def __init__(self, *, address, daemon, key, receiver):
        protocol = ClientProtocol(
            parse_uri(f"ws://{address}"), max_size=MOST_BYTES, logger=QUIET
        )
        super().__init__(protocol=protocol, receiver=receiver)
        self.headers = {DAEMON_HEADER: daemon, KEY_HEADER: key}
        self.opened = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Send our part of the handshake."""
        super().connection_made(transport)
        req = self.protocol.connect()
        for name, value in self.headers.items():
            req.headers[name] = value
        self.protocol.send_request(req)
        self.flush()

    def take_handshake(self, event: Response):
        """The other end accepted or refused."""
        if self.opened.done():
            return
        if self.protocol.state is OPEN:
            self.opened.set_result(self)
        else:
            self.fail_open(f"not accepted: {event.status_code}")

    def fail_open(self, why):
        """The link did not come to be."""
        if not self.opened.done():
            self.opened.set_exception(OSError(why))

    def end(self, why):
        """The link is gone, or never came to be."""
        if self.opened.done():
            super().end(why)
            return
        self.fail_open(why)
        self.close()


class FrameDialer:
    """Opens links; `key` gives the key that all daemons share."""

    def __init__(self, *, daemon, key: Callable[[], str]):
        self.daemon = daemon
        self.key = key

    async def dial(self, address, receiver, *, timeout):
        """Open a link; raises OSError if that fails."""
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
    """The end of a link that was opened to us."""

    def __init__(self, *, server):
        super().__init__(protocol=ServerProtocol(max_size=MOST_BYTES, logger=QUIET))
        self.server = server

    def connection_made(self, transport):
        """A peer has connected; it has a moment to say who it is."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        loop.call_later(HANDSHAKE_TIMEOUT, self.end_strangers)

    def end_strangers(self):
        """Close a connection over which no link was opened in time."""
        if self.receiver is None:
            self.end("no handshake")

    def take_handshake(self, event: Request):
        """Refuse a daemon that does not know the key, or comes before we do."""
        peer = event.headers.get(DAEMON_HEADER, "")
        refused = self.server.why_refused(event.headers.get(KEY_HEADER, ""))
        if refused:
            self.server.report(refused, peer)
            self.protocol.send_response(
                self.protocol.reject(HTTPStatus.FORBIDDEN, f"{refused}\n")
            )
            self.flush()
            self.end(refused)
            return
        self.protocol.send_response(self.protocol.accept(event))
        if self.protocol.state is OPEN:
            self.receiver = self.server.accept(peer)
            self.receiver.opened(self)


class FrameServer:
    """Accepts links for as long as we run; `accept(peer)` makes a receiver of each.

    It is told with `opened(link)` when its link is open.
    """

    def __init__(self, *, key: Callable[[], str], accept, report):
        self.key = key
        self.accept = accept
        self.report = report
        self.server = None

    async def listen(self, host, port):
        """Accept links at an address; returns the port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: AcceptedLink(server=self), host, port
        )
        return self.server.sockets[0].getsockname()[1]

    def why_refused(self, offered):
        """Why a daemon that offers a key is refused; empty if it is not."""
        key = self.key()
        if not key:
            return "no key yet"
        matches = hmac.compare_digest(offered.encode(), key.encode())
        return "" if matches else "wrong key"
