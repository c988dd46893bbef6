"""Callers' connections: each message gets one complete reply, and nothing else runs."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsum_platform.caller_protocol import CallerProtocol
from gypsum_sessions.callers.keys import digest_of
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


class FakeTransport:
    """Records what was written."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def write(self, data):
        """Record bytes sent to the caller."""
        assert not self.closed
        self.written += data

    def close(self):
        """Record that the connection was closed by the proxy."""
        self.closed = True

    def is_closing(self):
        """Return whether it was closed."""
        return self.closed

    def get_extra_info(self, name):
        """A socket that accepts any option."""
        return self

    def setsockopt(self, *args):
        """Accept any option."""

    def pause_reading(self):
        """Do nothing."""

    def resume_reading(self):
        """Do nothing."""

    @property
    def lines(self):
        """The written lines."""
        return self.written.decode("latin-1").split("\r\n")[:-1]


async def converse(rig, chunks, wait=0.5):
    """Send chunks of bytes; returns the transport."""
    conn, transport = CallerProtocol(proxy=rig.proxy), FakeTransport()
    conn.connection_made(transport)
    for chunk in chunks:
        conn.data_received(chunk)
        await asyncio.sleep(0)
    await asyncio.sleep(wait)
    return transport


def lines_of(chunks, wait=0.5):
    """Run one conversation; returns the transport and the rig."""

    async def main():
        rig = Rig()
        await rig.settle()
        transport = await converse(rig, chunks, wait)
        return transport, rig

    return run(main())


def test_pipelined_statements_are_answered_in_their_order():
    text = b"STARTUP own u\r\nQUERY 1 WRITE a x\r\nQUERY 2 READ a\r\n"
    transport, _ = lines_of([text])
    assert transport.lines[0] == "READY I -"
    assert transport.lines[1].startswith("COMPLETE u1:1")
    assert transport.lines[3] == "DATAROW x"


def test_lines_cut_in_pieces():
    text = b"STARTUP own u\r\nQUERY 1 WRITE a x\r\n"
    transport, _ = lines_of([text[i : i + 1] for i in range(len(text))])
    assert transport.lines[1].startswith("COMPLETE u1:1")


def test_an_unknown_database_is_refused_and_closed():
    transport, rig = lines_of([b"STARTUP nobody u\r\n"])
    assert transport.lines == ["ERROR UNKNOWNDB nobody"]
    assert transport.closed
    logged = [fields for _, _, event, fields in rig.lines if event == "no route"]
    assert logged == [{"database": "nobody", "version": 1, "version_age_ms": 0}]


def test_a_statement_before_startup_is_refused():
    transport, rig = lines_of([b"QUERY 1 WRITE a x\r\n"])
    assert transport.lines[0].startswith("ERROR MALFORMED")
    assert transport.closed and rig.group.commits == 0


def test_unknown_messages_end_the_session():
    transport, _ = lines_of([b"STARTUP own u\r\nHELLO\r\n"])
    assert transport.lines[-1].startswith("ERROR MALFORMED")
    assert transport.closed


def test_unknown_statements_leave_the_session_usable():
    text = b"STARTUP own u\r\nQUERY 1 DROP a\r\nQUERY 2 READ a\r\n"
    transport, _ = lines_of([text])
    assert transport.lines[1].startswith("ERROR MALFORMED")
    assert transport.lines[2] == "READY I -"
    assert transport.lines[-2].startswith("COMPLETE")


def test_callers_cannot_send_the_proxys_own_commands():
    for command in (b"STATUS", b"PAUSE 9", b"STEPDOWN 9", b"RESET", b"RESUME"):
        transport, rig = lines_of([b"STARTUP own u\r\nQUERY - " + command + b"\r\n"])
        assert transport.lines[1].startswith("ERROR MALFORMED")
        assert all(not member.paused for member in rig.group.members)


def test_a_message_that_is_too_long_ends_the_session():
    transport, _ = lines_of(
        [b"STARTUP own u\r\n", b"QUERY 1 WRITE a " + b"x" * (1 << 20)]
    )
    assert transport.lines[-1].startswith("ERROR TOOLARGE")
    assert transport.closed


def test_a_second_startup_ends_the_session():
    transport, _ = lines_of([b"STARTUP own u\r\nSTARTUP own u\r\n"])
    assert transport.lines[-1].startswith("ERROR MALFORMED")


def test_terminate_closes_the_connection():
    transport, _ = lines_of([b"STARTUP own u\r\nTERMINATE\r\n"])
    assert transport.lines == ["READY I -"]
    assert transport.closed


def test_before_the_first_configuration_callers_wait():
    async def main():
        rig = Rig()
        await rig.settle()
        known, rig.proxy.catalog.current = rig.proxy.catalog.current, None
        conn, transport = CallerProtocol(proxy=rig.proxy), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(b"STARTUP own u\r\n")
        await asyncio.sleep(1.0)
        rig.proxy.catalog.current = known
        await asyncio.sleep(0.2)
        assert transport.lines == ["READY I -"]

    run(main())


MESSAGES = st.sampled_from(
    [
        b"STARTUP own u",
        b"QUERY 1 BEGIN",
        b"QUERY 2 BEGIN READ",
        b"QUERY 3 WRITE a x",
        b"QUERY 4 READ a",
        b"QUERY 5 COMMIT",
        b"QUERY 6 ROLLBACK",
        b"QUERY 7 PREPARE s WRITE q",
        b"QUERY 8 EXECUTE s a y",
        b"QUERY 9 DEALLOC s",
        b"QUERY 10 SET v w",
        b"QUERY",
        b"QUERY 11",
        b"TERMINATE",
        b"",
        b"\xff\x00",
        b"COMPLETE -",
    ]
)


@given(st.lists(MESSAGES, max_size=12), st.integers(1, 50))
@settings(max_examples=60)
def test_any_messages_get_at_most_one_reply_each(messages, size):
    stream = b"".join(item + b"\r\n" for item in [b"STARTUP own u", *messages])
    chunks = [stream[i : i + size] for i in range(0, len(stream), size)]
    transport, rig = lines_of(chunks, wait=3.0)
    ready = [text for text in transport.lines if text.startswith("READY")]
    assert transport.lines[0] == "READY I -"
    assert len(ready) <= 1 + len(messages)
    writes = sum(b"WRITE" in item or b"EXECUTE" in item for item in messages)
    assert rig.group.commits <= writes


def started_with(line):
    """What a STARTUP line gives: the database, and the digest of the key."""
    opened = []
    conn = CallerProtocol(proxy=None)
    conn.caller = SimpleNamespace(on_startup=lambda *args: opened.append(args))
    conn.on_line(line)
    return opened[0]


@pytest.mark.parametrize("key", ["k", "two words", " k ", "", "k\r", "ő", "-"])
@pytest.mark.parametrize("database", ["orders", "főkönyv"])
def test_a_key_and_a_database_name_arrive_whole(database, key):
    """Guards against names and keys that the wire splits or spells otherwise."""
    line = f"STARTUP {database} {key}".encode().decode("latin-1")
    assert started_with(line) == (database, digest_of(key.encode()))


def test_a_database_name_that_is_no_text_is_kept():
    assert started_with("STARTUP \xff k")[0] == "\xff"


def test_a_statement_without_an_id_of_its_own_is_refused():
    """Guards against a caller's statement that upstreams take for the proxy's own."""
    for request in (b"-", b""):
        texts = [
            b"STARTUP own c",
            b"QUERY " + request + b" WRITE a 1",
            b"QUERY r READ a",
        ]
        transport, rig = lines_of([text + b"\r\n" for text in texts])
        assert transport.lines[1].startswith("ERROR MALFORMED")
        assert rig.group.acknowledged == []
        assert any(line.startswith("COMPLETE") for line in transport.lines)
