"""Links over loopback sockets: the handshake, messages, ends, silence."""

import asyncio

import pytest

from gypsum_links.frames import FrameDialer, FrameServer


class Receiver:
    """Keeps what arrives; `echo` sends it back."""

    def __init__(self, echo=False):
        self.echo = echo
        self.frames = None
        self.got = []
        self.ends = []
        self.came = asyncio.Event()

    def opened(self, frames):
        """The link is open."""
        self.frames = frames

    def frame_received(self, data):
        """A message came."""
        self.got.append(data)
        self.came.set()
        if self.echo:
            self.frames.send(data)

    def link_lost(self, why):
        """The link is gone."""
        self.ends.append(why)
        self.came.set()


async def serve(key="secret"):
    """A server that echoes: its address, its receivers and its reports."""
    receivers, reports = [], []

    def accept(peer):
        receivers.append(Receiver(echo=True))
        return receivers[-1]

    server = FrameServer(
        key=lambda: key, accept=accept, report=lambda *why: reports.append(why)
    )
    port = await server.listen("127.0.0.1", 0)
    return f"127.0.0.1:{port}", receivers, reports


def dialer(key="secret"):
    """A dialer that shows a key."""
    return FrameDialer(daemon="d1", key=lambda: key)


async def come(receiver):
    """Wait for what comes next."""
    async with asyncio.timeout(5.0):
        await receiver.came.wait()
    receiver.came.clear()


@pytest.mark.parametrize("size", [0, 1, 125, 126, 70_000, 1 << 20])
def test_messages_of_any_size_come_whole(size):
    async def main():
        address, _, _ = await serve()
        receiver = Receiver()
        link = await dialer().dial(address, receiver, timeout=5.0)
        assert link.send(b"x" * size)
        await come(receiver)
        assert receiver.got == [b"x" * size]

    asyncio.run(main())


@pytest.mark.parametrize(("ours", "theirs"), [("wrong", "secret"), ("secret", "")])
def test_a_daemon_without_the_key_is_refused_and_named(ours, theirs):
    async def main():
        address, receivers, reports = await serve(theirs)
        with pytest.raises(OSError):
            await dialer(ours).dial(address, Receiver(), timeout=5.0)
        assert receivers == [] and reports[0][1] == "d1"

    asyncio.run(main())


def test_both_ends_are_told_once_when_a_link_is_gone():
    async def main():
        address, receivers, _ = await serve()
        receiver = Receiver()
        link = await dialer().dial(address, receiver, timeout=5.0)
        link.close()
        await come(receivers[0])
        assert len(receivers[0].ends) == 1 and receiver.ends == []
        assert not link.send(b"x")

    asyncio.run(main())


def test_a_probe_is_answered_while_the_other_end_lives():
    async def main():
        address, receivers, _ = await serve()
        link = await dialer().dial(address, Receiver(), timeout=5.0)
        assert await link.probe(5.0)
        link.transport.pause_reading()
        assert not await link.probe(0.05)

    asyncio.run(main())


def test_an_address_that_nobody_listens_at_is_an_error():
    async def main():
        with pytest.raises(OSError):
            await dialer().dial("127.0.0.1:1", Receiver(), timeout=5.0)

    asyncio.run(main())


def test_one_that_never_answers_is_an_error_in_time():
    async def main():
        async def be_silent(reader, writer):
            await asyncio.sleep(60)

        server = await asyncio.start_server(be_silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(OSError):
            await dialer().dial(f"127.0.0.1:{port}", Receiver(), timeout=0.1)

    asyncio.run(main())


@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"\x00" * 200])
def test_bytes_that_are_no_link_end_it(data):
    async def main():
        address, receivers, _ = await serve()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(5.0):
            await reader.read()
        assert receivers == []

    asyncio.run(main())


def test_the_library_writes_nothing_into_the_logs(caplog):
    """Symptom: a line of plain text in logs of which every line is JSON.

    Sequence: a daemon opens a link, another one is refused. Cause: the library's own
    logger tells of both.
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


def test_a_link_on_which_a_long_message_arrives_is_not_silent():
    """Symptom: statements are in doubt though the daemon that they were sent to lives.

    Sequence: its answer to another one takes the link longer than a probe may take;
    the answer to the probe comes after it. Cause: only that was a sign of life, not
    the bytes before it.
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


def test_a_link_that_only_tells_and_does_not_hear_is_silent():
    """Symptom: statements wait for seconds though other owners would answer them.

    Sequence: a link is cut one way; the other end's news still come, until its own
    kernel gives up. Cause: they were taken for an answer.
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
