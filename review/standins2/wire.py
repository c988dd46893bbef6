"""A loopback wire that can go silent: it then passes nothing on, and closes nothing."""

import asyncio


class Wire:
    """Forwards connections to an address; `silent` stops the bytes of all of them."""

    def __init__(self, *, target):
        self.target = target
        self.silent = False
        self.address = ""
        self.server = None
        self.writers = set()
        # Called with the first bytes of each connection.
        self.on_call = lambda data: None

    async def listen(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def reset(self):
        """Reset all open connections, as a host does that has started again."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Forward one connection in both directions."""
        self.writers.add(writer)
        try:
            await self.forward_both(reader, writer)
        finally:
            self.writers.discard(writer)

    async def forward_both(self, reader, writer):
        """Connect to the target, and forward both directions until they end."""
        host, port = self.target.rsplit(":", 1)
        try:
            await self.wait_open()
            out_reader, out_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.forward(reader, out_writer, self.on_call),
            self.forward(out_reader, writer, None),
        )

    async def forward(self, reader, writer, on_first):
        """Forward the bytes of one direction until it ends."""
        try:
            while data := await reader.read(65536):
                if on_first is not None:
                    on_first(data)
                    on_first = None
                await self.wait_open()
                writer.write(data)
                await writer.drain()
            await self.wait_open()
        except OSError:
            pass
        finally:
            writer.close()

    async def wait_open(self):
        """Wait until the wire isn't silent."""
        while self.silent:
            await asyncio.sleep(0.01)
