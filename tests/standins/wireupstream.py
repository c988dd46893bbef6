"""Upstreams that speak the wire protocol over TCP, backed by an in-memory group."""

import asyncio
from dataclasses import replace

from gypsum_platform.codec import (
    LineSplitter,
    error_line,
    line,
    ready_line,
    split_line,
)
from gypsum_platform.wire_codes import CODE_BY_REFUSAL
from gypsum_sessions.replies import Refusal, Reply, UpstreamError
from gypsum_sessions.statements import StatementKind
from tests.sessions.fakegroup import FakeConn
from tests.standins.wirereader import NotAllowed, read_message

ANSWER_TIMEOUT = 3600.0


async def listen(member):
    """Serve one member on an ephemeral port; return (server, address)."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(member, reader, writer), "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def serve(member, reader, writer):
    """Serve one connection: its STARTUP line, then its statements in order."""
    conn = FakeConn(member=member, loop=asyncio.get_running_loop())
    texts = asyncio.Queue()
    reading = asyncio.create_task(read_lines(reader, conn, texts))
    opened = False
    try:
        while (text := await texts.get()) is not None and not member.dead:
            if opened:
                writer.write(await run_query(conn, text))
                await writer.drain()
                continue
            opened = handle_startup(member, text, writer, conn)
            if not opened:
                return
    except (ConnectionError, UpstreamError):
        return
    finally:
        reading.cancel()
        conn.close()
        writer.close()


async def read_lines(reader, conn, texts):
    """Queue the lines of a connection; close `conn` when the connection ends.

    Otherwise an upstream that was frozen would run statements whose caller has already
    given up and closed the connection.
    """
    splitter = LineSplitter()
    try:
        while data := await reader.read(65536):
            for text in splitter.feed(data):
                texts.put_nowait(text)
    except ConnectionError:
        pass
    conn.close()
    texts.put_nowait(None)


def handle_startup(member, text, writer, conn):
    """Answer the STARTUP line; refuse a wrong group or id. Return whether accepted."""
    word, rest = split_line(text)
    group, conn.workspace, expected = rest.split(" ")
    if word != "STARTUP" or group != member.group.name or expected != member.id:
        writer.write(error_line(Refusal.WRONG_UPSTREAM, member.id))
        return False
    writer.write(ready_line(position=member.end))
    return True


async def run_query(conn, text):
    """Run one QUERY line and return the encoded reply."""
    try:
        request, after, statement = read_message(text)
    except NotAllowed:
        return encode_reply(Reply(refusal=Refusal.MALFORMED, state=conn.state))
    if statement.kind is StatementKind.EXECUTE and statement.name in conn.prepared:
        _, writes = conn.prepared[statement.name]
        statement = replace(statement, writes=writes)
    reply = await conn.ask(
        statement,
        timeout=ANSWER_TIMEOUT,
        request="" if request == "-" else request,
        after=after,
    )
    return encode_reply(reply)


def encode_reply(reply):
    """Encode a reply as lines; a status becomes a row of its fields."""
    lines = []
    for row in reply.rows:
        lines.append(
            line(f"DATAROW {row if isinstance(row, str) else format_status(row)}")
        )
    if reply.ok:
        lines.append(line(f"COMPLETE {reply.proof or '-'}"))
    else:
        lines.append(line(f"ERROR {CODE_BY_REFUSAL[reply.refusal]} {reply.detail}"))
    lines.append(ready_line(reply.state, reply.position))
    return b"".join(lines)


def format_status(status):
    """Format a status as a row."""
    role = "primary" if status.leads else "replica"
    received = f"{status.received.term}.{status.received.index}"
    return f"{role} {status.term} {received} {status.paused_term} 0 0 1"
