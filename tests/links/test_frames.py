"""Tests links over loopback sockets: handshake, messages, losses, silence."""

import asyncio

import pytest

from gypsum_links.frames import FrameDialer, FrameServer


class Receiver:
    """Records messages and losses; sends messages back if `echo` is set."""

    def __init__(self, echo=False):
        self.echo = echo
        self.link = None
        self.messages = []
        self.losses = []
        self.event = asyncio.Event()

    def opened(self, link):
        """Keep the open link."""
        self.link = link

    def frame_received(self, data):
        """Record a message."""
        self.messages.append(data)
        self.event.set()
        if self.echo:
            self.link.send(data)

    def link_lost(self, reason):
        """Record the loss of the link."""
        self.losses.append(reason)
        self.event.set()


async def serve(key="secret"):
    """Start an echo server; return its address, receivers and reports."""
    receivers, reports = [], []

    def accept(peer):
        receivers.append(Receiver(echo=True))
        return receivers[-1]

    server = FrameServer(
        key=lambda: key, accept=accept, report=lambda *args: reports.append(args)
    )
    port = await server.listen("127.0.0.1", 0)
    return f"127.0.0.1:{port}", receivers, reports


def dialer(key="secret"):
    """Return a dialer with a key."""
    return FrameDialer(daemon="d1", key=lambda: key)


async def wait_event(receiver):
    """Wait for the next message or loss."""
    async with asyncio.timeout(5.0):
        await receiver.event.wait()
    receiver.event.clear()


@pytest.mark.parametrize("size", [0, 1, 125, 126, 70_000, 1 << 20])
def test_messages_of_any_size_arrive_whole(size):
    async def main():
        address, _, _ = await serve()
        receiver = Receiver()
        link = await dialer().dial(address, receiver, timeout=5.0)
        assert link.send(b"x" * size)
        await wait_event(receiver)
        assert receiver.messages == [b"x" * size]

    asyncio.run(main())


@pytest.mark.parametrize(("ours", "theirs"), [("wrong", "secret"), ("secret", "")])
def test_a_daemon_without_the_key_is_refused_and_named(ours, theirs):
    async def main():
        address, receivers, reports = await serve(theirs)
        with pytest.raises(OSError):
            await dialer(ours).dial(address, Receiver(), timeout=5.0)
        assert receivers == [] and reports[0][1] == "d1"

    asyncio.run(main())


def test_the_peer_is_notified_once_of_a_closed_link():
    async def main():
        address, receivers, _ = await serve()
        receiver = Receiver()
        link = await dialer().dial(address, receiver, timeout=5.0)
        link.close()
        await wait_event(receivers[0])
        assert len(receivers[0].losses) == 1 and receiver.losses == []
        assert not link.send(b"x")

    asyncio.run(main())


def test_a_probe_succeeds_only_while_the_peer_responds():
    async def main():
        address, receivers, _ = await serve()
        link = await dialer().dial(address, Receiver(), timeout=5.0)
        assert await link.probe(5.0)
        link.transport.pause_reading()
        assert not await link.probe(0.05)

    asyncio.run(main())


def test_dialling_a_closed_port_raises_oserror():
    async def main():
        with pytest.raises(OSError):
            await dialer().dial("127.0.0.1:1", Receiver(), timeout=5.0)

    asyncio.run(main())


def test_dialling_a_silent_server_times_out():
    async def main():
        async def never_respond(reader, writer):
            await asyncio.sleep(60)

        server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(OSError):
            await dialer().dial(f"127.0.0.1:{port}", Receiver(), timeout=0.1)

    asyncio.run(main())


@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"\x00" * 200])
def test_invalid_handshakes_close_the_connection(data):
    async def main():
        address, receivers, _ = await serve()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(5.0):
            await reader.read()
        assert receivers == []

    asyncio.run(main())


def test_the_websocket_library_logs_nothing(caplog):
    """Guards against plain text lines in logs in which every line is JSON.

    The library's own logger reports opened and refused links.
    """

    async def main():
        address, _, _ = await serve()
        link = await dialer().dial(address, Receiver(), timeout=5.0)
        link.close()
        with pytest.raises(OSError):
            await dialer("wrong").dial(address, Receiver(), timeout=5.0)

    with caplog.at_level("DEBUG"):
        asyncio.run(main())
    assert [item for item in caplog.records if "websockets" in item.name] == []


def test_a_link_that_receives_a_long_message_is_not_silent():
    """Guards against statements left in doubt although their daemon is running.

    The response to another statement takes the link longer than the probe's timeout,
    and the pong comes after it. If only the pong counted, the link would be closed.
    """

    async def main():
        address, _, _ = await serve()
        link = await dialer().dial(address, Receiver(), timeout=5.0)
        link.protocol.send_ping = lambda data: None
        assert not await link.probe(0.05)
        probing = asyncio.create_task(link.probe(0.2))
        await asyncio.sleep(0.05)
        link.data_received(b"\x82\x7e\xff\xff" + b"x" * 20_000)
        assert await probing

    asyncio.run(main())


def test_a_link_cut_in_the_sending_direction_is_silent():
    """Guards against statements that wait for seconds although other owners are free.

    A link is cut in the sending direction only, and the peer's updates still arrive
    until its kernel closes the connection. They must not count as an answer to a probe.
    """

    async def main():
        address, _, _ = await serve()
        link = await dialer().dial(address, Receiver(), timeout=5.0)
        link.protocol.send_ping = lambda data: None
        probing = asyncio.create_task(link.probe(0.2))
        await asyncio.sleep(0.05)
        link.data_received(b"\x82\x7e\xff\xff" + b"x" * 300)
        assert not await probing

    asyncio.run(main())
