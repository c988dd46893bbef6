"""HTTP calls to peers with malformed, late or missing answers."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsum_platform.exchange import AnswerTooLong, Call, CallFailed, exchange

PARTS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 \r\n",
        b"HTTP/1.1 999\r\n",
        b"Content-Length: 2\r\n",
        b"Content-Length: -2\r\n",
        b"Content-Length: x\r\n",
        b"Content-Length: 2, 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"2\r\n{}\r\n0\r\n\r\n",
        b"zz\r\n",
        b": \r\n",
        b"\r\n",
        b"{}",
        b"\xff\x00",
    ]
)


def answer_to(data, *, closes=True, **options):
    """Return the result of a call that a peer answers with the given bytes."""

    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            if closes:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        call = Call(
            method="GET",
            address=f"127.0.0.1:{port}",
            path="/",
            first_byte_timeout=5.0,
            **options,
        )
        try:
            return await exchange(call)
        finally:
            server.close()

    return asyncio.run(main())


def test_a_plain_answer():
    answer = answer_to(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    assert (answer.code, answer.body) == (200, b"{}")


def test_an_answer_without_a_length_ends_with_the_connection():
    assert answer_to(b"HTTP/1.1 200 OK\r\n\r\nhello").body == b"hello"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\n{}",
        b"nonsense\r\n\r\n",
    ],
)
def test_an_incomplete_or_malformed_answer_is_an_error(data, caplog):
    """Guards against a traceback of the HTTP library in a log of JSON lines.

    It was logged if the declared length was not a number, as that was parsed before
    the library had checked it.
    """
    with pytest.raises(CallFailed):
        answer_to(data)
    assert [item for item in caplog.records if item.exc_info] == []


def test_an_answer_with_a_declared_length_over_the_limit_is_not_read():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
    with pytest.raises(AnswerTooLong):
        answer_to(head, closes=False, max_bytes=99)
    assert len(answer_to(head + b"x" * 100, max_bytes=100).body) == 100


def test_an_invalid_address_is_an_error():
    call = Call(method="GET", address="10.0.0.1:http", path="/", first_byte_timeout=1.0)
    with pytest.raises(CallFailed):
        asyncio.run(exchange(call))


@given(st.lists(PARTS, max_size=8))
@settings(max_examples=60)
def test_any_bytes_give_an_answer_or_call_failed(parts):
    try:
        answer_to(b"".join(parts))
    except CallFailed:
        return
