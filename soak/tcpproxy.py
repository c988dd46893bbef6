"""A loopback TCP proxy that simulates network faults."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

CHUNK_BYTES = 64 << 10
# With a linger time of zero, close resets the connection instead of shutting it down.
ZERO_LINGER = struct.pack("ii", 1, 0)


@dataclass(slots=True, kw_only=True)
class ProxyFaults:
    """The faults of a proxy; by default there are none.

    `delay` delays each chunk by some seconds, `silent` discards all bytes of both
    directions, `blocked_direction` those of one ("to_target" or "to_client"), `refuse`
    aborts new connections, `reset_after_bytes` resets a connection after so many bytes.
    Silenced connections stay silent when the fault is over, like those of which a
    firewall or NAT has lost its state.
    """

    delay: float = 0.0
    silent: bool = False
    blocked_direction: str = ""
    refuse: bool = False
    reset_after_bytes: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class ProxiedConnection:
    """A client's connection and the one to the target."""

    client: asyncio.StreamWriter
    target: asyncio.StreamWriter
    silenced: bool = False
    forwarded_bytes: int = 0

    def reset(self):
        """Reset both connections and discard unsent bytes."""
        for writer in (self.client, self.target):
            if not writer.transport.is_closing():
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()


@dataclass(slots=True, kw_only=True)
class TcpProxy:
    """Forwards connections to a target `host:port`.

    `rewrite` maps texts in responses to their replacements, which have the same length
    so that lengths sent earlier, as in headers, stay valid.
    """

    target: str
    rewrite: dict[bytes, bytes] = field(default_factory=dict)
    faults: ProxyFaults = field(default_factory=ProxyFaults)
    address: str = ""
    server: asyncio.Server | None = None
    connections: set[ProxiedConnection] = field(default_factory=set)

    async def open(self):
        """Listen on a free port and return the proxy."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def close(self):
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()

    def reset(self, share=1.0, rng=None):
        """Reset all connections, or with `rng` each one with probability `share`."""
        for connection in list(self.connections):
            if rng is None or rng.random() < share:
                connection.reset()

    def silence(self, share=1.0, rng=None):
        """Silence open connections permanently; `share` and `rng` as in reset."""
        for connection in self.connections:
            if rng is None or rng.random() < share:
                connection.silenced = True

    async def accept(self, reader, writer):
        """Forward a new connection until it ends."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection(client=writer, target=target)
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.forward(connection, reader, target, "to_target"))
                group.create_task(
                    self.forward(connection, target_reader, writer, "to_client")
                )
        finally:
            self.connections.discard(connection)
            connection.reset()

    async def forward(self, connection, reader, writer, direction):
        """Forward bytes in one direction until an end closes."""
        held_back = b""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay)
                if self.faults.silent:
                    connection.silenced = True
                if connection.silenced or self.faults.blocked_direction == direction:
                    continue
                connection.forwarded_bytes += len(data)
                if 0 < self.faults.reset_after_bytes < connection.forwarded_bytes:
                    connection.reset()
                    return
                if direction == "to_client" and self.rewrite:
                    data, held_back = self.replace_texts(held_back + data)
                writer.write(data)
                await writer.drain()
            if connection.silenced or self.faults.blocked_direction == direction:
                return
            writer.write(held_back)
            writer.write_eof()
        except (OSError, RuntimeError):
            connection.reset()

    def replace_texts(self, data):
        """Return (replaced bytes, rest that may be the beginning of a text)."""
        for old, new in self.rewrite.items():
            data = data.replace(old, new)
        longest = max(map(len, self.rewrite))
        for size in range(min(longest - 1, len(data)), 0, -1):
            if any(old.startswith(data[-size:]) for old in self.rewrite):
                return data[:-size], data[-size:]
        return data, b""
