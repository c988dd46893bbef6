"""Upstreams that speak the wire protocol over TCP, backed by an in-memory group."""

import asyncio

from gypsum_platform.codec import (
    LineSplitter,
    MalformedLine,
    error_line,
    line,
    read_position,
    read_statement,
    ready_line,
    split_line,
)
from gypsum_platform.wire_codes import CODE_BY_REFUSAL
from gypsum_sessions.replies import Refusal, UpstreamError
from gypsum_sessions.statements import Statement, StatementKind
from tests.sessions.fakegroup import FakeConn

COMMAND_BY_WORD = {
    "STATUS": StatementKind.STATUS,
    "RESET": StatementKind.RESET,
    "RESUME": StatementKind.RESUME_REPLICATION,
    "PAUSE": StatementKind.PAUSE_REPLICATION,
    "STEPDOWN": StatementKind.STEP_DOWN,
}
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
    _, rest = split_line(text)
    request, query = split_line(rest)
    after = None
    if query.startswith("SYNCTO "):
        _, position, query = query.split(" ", 2)
        after = read_position(position)
    reply = await conn.ask(
        read_query(query),
        timeout=ANSWER_TIMEOUT,
        request="" if request == "-" else request,
        after=after,
    )
    return encode_reply(reply)


def read_query(text):
    """Parse a caller's statement or a command such as STATUS."""
    word, rest = split_line(text)
    kind = COMMAND_BY_WORD.get(word)
    if kind is not None:
        return Statement(kind=kind, term=int(rest or 0))
    try:
        statement = read_statement(text)
    except MalformedLine as exc:
        raise AssertionError(f"{text!r}: {exc}") from exc
    if statement.kind is StatementKind.EXECUTE and statement.name.startswith("w_"):
        return Statement(
            kind=statement.kind,
            name=statement.name,
            argument=statement.argument,
            writes=True,
        )
    return statement


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
