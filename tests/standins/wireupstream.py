"""Upstreams that speak the platform's wire protocol, backed by a group in memory."""

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
ANSWER_LIMIT = 3600.0


async def listen(member):
    """Serve one member on a port of the system's choice: (server, address)."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(member, reader, writer), "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def serve(member, reader, writer):
    """One connection: its opening, then its statements in turn."""
    conn = FakeConn(member=member, loop=asyncio.get_running_loop())
    texts = asyncio.Queue()
    reading = asyncio.create_task(read_texts(reader, conn, texts))
    opened = False
    try:
        while (text := await texts.get()) is not None and not member.dead:
            if opened:
                writer.write(await answer(conn, text))
                await writer.drain()
                continue
            opened = open_for(member, text, writer, conn)
            if not opened:
                return
    except (ConnectionError, UpstreamError):
        return
    finally:
        reading.cancel()
        conn.close()
        writer.close()


async def read_texts(reader, conn, texts):
    """Read lines; close the upstream's connection when the client closes its end.

    Otherwise an upstream that was unresponsive would run statements that its caller has
    long abandoned.
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


def open_for(member, text, writer, conn):
    """Answer the opening; a wrong group or id is refused."""
    word, rest = split_line(text)
    group, conn.workspace, expected = rest.split(" ")
    if word != "STARTUP" or group != member.group.name or expected != member.id:
        writer.write(error_line(Refusal.WRONG_UPSTREAM, member.id))
        return False
    writer.write(ready_line(position=member.end))
    return True


async def answer(conn, text):
    """Answer one QUERY line."""
    _, rest = split_line(text)
    request, query = split_line(rest)
    after = None
    if query.startswith("SYNCTO "):
        _, position, query = query.split(" ", 2)
        after = read_position(position)
    reply = await conn.ask(
        read_query(query),
        timeout=ANSWER_LIMIT,
        request="" if request == "-" else request,
        after=after,
    )
    return encode(reply)


def read_query(text):
    """A statement of a caller, or a command."""
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


def encode(reply):
    """A reply as lines; statuses become rows of fields."""
    lines = []
    for row in reply.rows:
        lines.append(line(f"DATAROW {row if isinstance(row, str) else fields(row)}"))
    if reply.ok:
        lines.append(line(f"COMPLETE {reply.proof or '-'}"))
    else:
        lines.append(line(f"ERROR {CODE_BY_REFUSAL[reply.refusal]} {reply.detail}"))
    lines.append(ready_line(reply.state, reply.position))
    return b"".join(lines)


def fields(status):
    """The row of a status."""
    role = "primary" if status.leads else "replica"
    received = f"{status.received.term}.{status.received.index}"
    return f"{role} {status.term} {received} {status.paused_term} 0 0 1"
