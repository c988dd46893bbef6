"""A loopback proxy between two ends, and what a network does to connections."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

CHUNK = 64 << 10
# Linger for no time: closing resets the connection instead of ending it in order.
AT_ONCE = struct.pack("ii", 1, 0)


@dataclass(slots=True, kw_only=True)
class Faults:
    """What a wire does to its connections; all off is a good one.

    `delay` holds each chunk back for some seconds, `silent` keeps all bytes of both
    ways, `cut_way` those of one ("there" or "back"), `refuse` closes new connections,
    `drop_after` closes a connection after so many bytes. Silenced connections stay
    silent when the fault is over, as where something between has forgotten them.
    """

    delay: float = 0.0
    silent: bool = False
    cut_way: str = ""
    refuse: bool = False
    drop_after: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class Passage:
    """One connection through a wire."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    silenced: bool = False
    passed: int = 0

    def reset(self):
        """End it at once, unsent bytes and all."""
        for writer in (self.near, self.far):
            if not writer.transport.is_closing():
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
            writer.transport.abort()


@dataclass(slots=True, kw_only=True)
class Wire:
    """Forwards connections to a target `host:port`; `rewrite` replaces bytes back.

    Texts and what replaces them are of one length, so that lengths told before hold.
    """

    target: str
    rewrite: dict[bytes, bytes] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    address: str = ""
    server: asyncio.Server | None = None
    passages: set[Passage] = field(default_factory=set)

    async def open(self):
        """Listen on a port of the system's choice; returns the wire."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def close(self):
        """Stop, and end all connections."""
        self.server.close()
        self.reset()

    def reset(self, share=1.0, rng=None):
        """Reset connections, or a share of them."""
        for passage in list(self.passages):
            if rng is None or rng.random() < share:
                passage.reset()

    def silence(self, share=1.0, rng=None):
        """Let open connections go silent for good, or a share of them."""
        for passage in self.passages:
            if rng is None or rng.random() < share:
                passage.silenced = True

    async def accept(self, reader, writer):
        """One connection, to its end."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        passage = Passage(near=writer, far=far)
        self.passages.add(passage)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.carry(passage, reader, far, "there"))
                group.create_task(self.carry(passage, far_reader, writer, "back"))
        finally:
            self.passages.discard(passage)
            passage.reset()

    async def carry(self, passage, reader, writer, way):
        """Carry bytes one way until an end closes."""
        kept = b""
        try:
            while data := await reader.read(CHUNK):
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay)
                if self.faults.silent:
                    passage.silenced = True
                if passage.silenced or self.faults.cut_way == way:
                    continue
                passage.passed += len(data)
                if 0 < self.faults.drop_after < passage.passed:
                    passage.reset()
                    return
                if way == "back" and self.rewrite:
                    data, kept = self.rewritten(kept + data)
                writer.write(data)
                await writer.drain()
            if passage.silenced or self.faults.cut_way == way:
                return
            writer.write(kept)
            writer.write_eof()
        except (OSError, RuntimeError):
            passage.reset()

    def rewritten(self, data):
        """Bytes with replacements, and a rest that may be the beginning of a text."""
        for old, new in self.rewrite.items():
            data = data.replace(old, new)
        longest = max(map(len, self.rewrite))
        for size in range(min(longest - 1, len(data)), 0, -1):
            if any(old.startswith(data[-size:]) for old in self.rewrite):
                return data[:-size], data[-size:]
        return data, b""
