"""A stand-in upstream: MySQL wire protocol over sqlite, with log shipping.

Run it as `python -m tests.standins.upstream CONFIG.json`; it prints
`ready SQL-PORT SHIP-PORT`. The file holds `{id, primary, follows, schema}` and lags;
`CALL test_ship('ID', PORT)` tells it where another member ships its log from. Test
switches are statements: `CALL test_lag(SHIP_MS, APPLY_MS)`,
`CALL test_cut('ID', 0 or 1)` cuts shipping from a member, `CALL test_mute()` makes
all open connections silent permanently. A statement with `/* sleep=MS */` takes that
long; one with `/* lose */` in a transaction makes its COMMIT take effect unanswered.
"""

import asyncio
import json
import logging
import re
import sys
import time
from pathlib import Path

from mysql_mimic import MysqlServer, Session
from mysql_mimic.errors import MysqlError

from tests.standins.grouplog import Entry
from tests.standins.sqlmember import Executed, MemberError, SqlMember, run_sql

HEARTBEAT = 0.05
RECONNECT = 0.1
CALL = re.compile(r"CALL (\w+)\((.*)\)$")
SLEEP = re.compile(r"/\* sleep=(\d+) \*/")
LITERAL = re.compile(r"'((?:[^'\\]|\\.|'')*)'", re.DOTALL)
ESCAPES = {"n": "\n", "r": "\r", "0": "\0", "Z": "\x1a", "t": "\t"}
SHIP_LIMIT = 1 << 26


def translate(sql):
    """Rewrite MySQL's string escapes into sqlite's."""

    def literal(match):
        text = re.sub(
            r"\\(.)", lambda m: ESCAPES.get(m.group(1), m.group(1)), match.group(1)
        )
        return "'" + text.replace("''", "'").replace("'", "''") + "'"

    return LITERAL.sub(literal, sql)


class Upstream:
    """One member as a process: SQL sessions, shipping, faults."""

    def __init__(self, cfg):
        self.member = SqlMember(
            name=cfg["id"], schema=cfg.get("schema", ""), primary=cfg["primary"]
        )
        self.member.follows = cfg.get("follows", "")
        self.ship_ports = {}
        self.ship_lag = cfg.get("ship_lag_ms", 0) / 1000
        self.apply_lag = cfg.get("apply_lag_ms", 0) / 1000
        self.cut = set()
        self.sessions = set()
        self.arrived = []

    # Shipping

    async def serve_follower(self, reader, writer):
        """Send the log to a follower, then whatever is added, with heartbeats."""
        try:
            hello = json.loads(await reader.readline())
            member = self.member
            if not member.primary or hello["id"] in self.cut:
                return
            sent = member.common_prefix(hello["terms"])
            first = True
            while member.primary and hello["id"] not in self.cut:
                entries = member.log[sent:]
                sent += len(entries)
                line = {
                    "term": member.promised,
                    "from": sent - len(entries) if first else None,
                    "entries": [pack(entry) for entry in entries],
                }
                first = False
                writer.write(json.dumps(line).encode() + b"\n")
                await writer.drain()
                await asyncio.sleep(0.001 if entries else 0.002)
                if not entries:
                    await self.wait_for_more(sent)
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    async def wait_for_more(self, sent):
        """Wait for new entries, at most a heartbeat long."""
        end = time.monotonic() + HEARTBEAT
        while len(self.member.log) <= sent and time.monotonic() < end:
            await asyncio.sleep(0.002)

    async def follow_primary(self):
        """Follow the primary that the member is set to follow; runs forever."""
        while True:
            source = self.member.follows
            if source in self.ship_ports and source not in self.cut:
                try:
                    await self.follow_once(source)
                except (OSError, ValueError, asyncio.IncompleteReadError):
                    pass
            await asyncio.sleep(RECONNECT)

    async def follow_once(self, source):
        """Follow one primary until the connection ends or the term changes."""
        member = self.member
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ship_ports[source], limit=SHIP_LIMIT
        )
        try:
            terms = [entry.term for entry in member.log]
            hello = {"id": member.name, "terms": terms}
            writer.write(json.dumps(hello).encode() + b"\n")
            while member.follows == source and source not in self.cut:
                raw = await asyncio.wait_for(reader.readline(), 10 * HEARTBEAT)
                if not raw:
                    return
                line = json.loads(raw)
                if line["term"] < member.promised or member.follows != source:
                    return
                member.promised = max(member.promised, line["term"])
                member.heard_at = time.monotonic()
                await self.take_line(line, source)
        finally:
            writer.close()

    async def take_line(self, line, source):
        """Receive entries after the shipping lag, apply them after the other."""
        if line["from"] is not None:
            self.member.cut_to(line["from"])
        for data in line["entries"]:
            self.arrived.append((time.monotonic(), line["term"], source, unpack(data)))

    async def take_arrived(self):
        """Move entries into the log, then into the database, each after its lag."""
        received = []
        while True:
            now = time.monotonic()
            member = self.member
            while self.arrived and now - self.arrived[0][0] >= self.ship_lag:
                _, term, source, entry = self.arrived.pop(0)
                if term == member.promised and member.follows == source:
                    member.log.append(entry)
                    received.append((now, len(member.log)))
            if not member.follows:
                self.arrived.clear()
                received.clear()
            while received and now - received[0][0] >= self.apply_lag:
                _, length = received.pop(0)
                if length <= len(member.log) and not member.primary:
                    member.apply_to(length)
            await asyncio.sleep(0.002)

    # Group commands and test switches

    def call(self, name, args):
        """Run a stored procedure: group commands answer with the status row."""
        member = self.member
        if name == "gypsum_fence":
            member.fence(int(args[0]))
        elif name == "gypsum_promote":
            member.promote(int(args[0]))
        elif name == "gypsum_follow":
            member.follow(int(args[0]), args[1], time.monotonic())
        elif name == "test_lag":
            self.ship_lag = float(args[0]) / 1000
            self.apply_lag = float(args[1]) / 1000
        elif name == "test_cut":
            (self.cut.add if args[1] == "1" else self.cut.discard)(args[0])
        elif name == "test_ship":
            self.ship_ports[args[0]] = int(args[1])
        elif name == "test_mute":
            for session in self.sessions:
                session.mute = True
        elif name != "gypsum_status":
            raise MysqlError(f"no procedure {name}", code=1305)
        columns = "id primary promised log_term received applied claim follows heard"
        return [member.status_row()], [*columns.split(), "discarded"]


class UpstreamSession(Session):
    """One SQL connection."""

    def __init__(self, upstream):
        super().__init__()
        self.upstream = upstream
        self.tx = None
        self.killed = False
        self.mute = False
        self.lose_commit = False
        self.read_only = False
        self.affected = 0
        self.last_id = 0
        upstream.sessions.add(self)

    async def init(self, connection):
        """Make OK packets carry the number of changed rows."""
        await super().init(connection)
        plain_ok = connection.ok

        def ok(**fields):
            fields.setdefault("affected_rows", self.affected)
            fields.setdefault("last_insert_id", self.last_id)
            return plain_ok(**fields)

        connection.ok = ok

    async def close(self):
        """The client disconnected: roll back its open transaction."""
        self.tx = None
        self.upstream.sessions.discard(self)
        await super().close()

    async def handle_query(self, sql, attrs):
        """Run one statement."""
        sql = sql.strip().rstrip(";")
        self.affected = self.last_id = 0
        if self.mute:
            await asyncio.Event().wait()
        pause = SLEEP.search(sql)
        if pause:
            await asyncio.sleep(int(pause.group(1)) / 1000)
        if self.killed:
            raise MysqlError("the session was killed", code=1317)
        if "/* lose */" in sql:
            self.lose_commit = True
        try:
            answer = self.run(sql)
        except MemberError as exc:
            raise MysqlError(str(exc), code=exc.code) from exc
        if sql.upper() == "COMMIT" and self.lose_commit:
            await asyncio.Event().wait()
        return answer

    def run(self, sql):
        """Run one statement now."""
        word = sql.split(None, 1)[0].upper()
        if word == "CALL":
            name, args = CALL.match(sql).groups()
            parts = [part.strip().strip("'") for part in args.split(",") if part]
            return self.upstream.call(name, parts)
        if word == "KILL":
            return self.kill(int(sql.split()[-1]))
        if word == "SET":
            if "TRANSACTION" in sql:
                self.read_only = sql.endswith("READ ONLY")
            return [], []
        if word == "BEGIN":
            self.tx = self.upstream.member.begin()
            return [], []
        if word in ("COMMIT", "ROLLBACK"):
            tx, self.tx = self.tx, None
            if tx and word == "COMMIT":
                self.upstream.member.commit(tx)
            return [], []
        return self.run_statement(translate(sql), word)

    def run_statement(self, sql, word):
        """Run a read on the newest state, a write in its own transaction."""
        member = self.upstream.member
        if word not in ("SELECT", "WITH", "VALUES") and self.read_only:
            raise MemberError(1792, "the transaction is read only")
        if self.tx:
            cursor = member.run_in(self.tx, sql)
        elif word in ("SELECT", "WITH", "VALUES"):
            cursor = run_sql(member.db, sql)
        else:
            tx = member.begin()
            cursor = member.run_in(tx, sql)
            member.commit(tx)
        if cursor.description is None:
            return self.changed(cursor)
        return cursor.fetchall(), [item[0] for item in cursor.description]

    def changed(self, cursor):
        """Return how many rows a statement changed."""
        self.affected = max(0, cursor.rowcount)
        self.last_id = cursor.lastrowid or 0
        return [], []

    def kill(self, connection_id):
        """Roll back and end another session."""
        for session in self.upstream.sessions:
            if session.connection.connection_id == connection_id:
                session.killed = True
                session.tx = None
        return [], []


def pack(entry):
    """An entry as JSON."""
    return [entry.term, [[item.sql, item.affected] for item in entry.content]]


def unpack(data):
    """An entry from JSON."""
    statements = [Executed(sql=sql, affected=count) for sql, count in data[1]]
    return Entry(term=data[0], content=statements)


async def main(path):
    """Serve until killed."""
    cfg = json.loads(Path(path).read_text())
    upstream = Upstream(cfg)
    server = MysqlServer(session_factory=lambda: UpstreamSession(upstream))
    await server.start_server(host="127.0.0.1", port=0)
    ship = await asyncio.start_server(
        upstream.serve_follower, "127.0.0.1", 0, limit=SHIP_LIMIT
    )
    sql_port = server.sockets()[0].getsockname()[1]
    print(f"ready {sql_port} {ship.sockets[0].getsockname()[1]}", flush=True)
    await asyncio.gather(upstream.follow_primary(), upstream.take_arrived())


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    asyncio.run(main(sys.argv[1]))
