"""The log and state machine of a stand-in upstream, without any network."""

import sqlite3
import time
from dataclasses import dataclass, field

READ_ONLY_SERVER = 1290
DUPLICATE = 1062
DEADLOCK = 1213
SYNTAX = 1064

SCHEMA = """
CREATE TABLE gypsum_ledger (
    member TEXT, ledger_key TEXT, fingerprint TEXT, state TEXT,
    affected INTEGER DEFAULT 0, last_id INTEGER DEFAULT 0,
    PRIMARY KEY (member, ledger_key));
CREATE TABLE gypsum_claim (holder TEXT);
INSERT INTO gypsum_claim VALUES ('');
"""


class MemberError(Exception):
    """A refusal with its MySQL error code."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code


@dataclass
class Executed:
    """One statement of a transaction and how many rows it changed."""

    sql: str
    affected: int


@dataclass
class Entry:
    """One committed transaction in the log."""

    term: int
    statements: list


@dataclass
class Transaction:
    """An open transaction: a private snapshot and what ran on it."""

    base: sqlite3.Connection
    statements: list = field(default_factory=list)


def run_sql(conn, sql):
    """Run SQL; sqlite's errors come as MySQL's."""
    try:
        return conn.execute(sql)
    except sqlite3.IntegrityError as exc:
        raise MemberError(DUPLICATE, f"Duplicate entry: {exc}") from exc
    except sqlite3.Error as exc:
        raise MemberError(SYNTAX, str(exc)) from exc


def new_database(schema):
    """An empty database with the schema."""
    conn = sqlite3.connect(":memory:", isolation_level=None)
    conn.executescript(SCHEMA + schema)
    return conn


class Member:
    """One member of a group: its term, log, database, and what it applied."""

    def __init__(self, *, name, schema, primary):
        self.name = name
        self.schema = schema
        self.primary = primary
        self.promised = 1
        self.log = []
        self.applied = 0
        self.follows = ""
        self.heard_at = time.monotonic()
        self.discarded = 0
        self.db = new_database(schema)

    # Status

    @property
    def log_term(self):
        """The term of the last entry."""
        return self.log[-1].term if self.log else 1

    def status_row(self):
        """The row that answers every group verb."""
        heard = -1.0 if self.primary else (time.monotonic() - self.heard_at) * 1000
        holder = self.db.execute("SELECT holder FROM gypsum_claim").fetchone()[0]
        discarded, self.discarded = self.discarded, 0
        return (
            self.name,
            int(self.primary),
            self.promised,
            self.log_term,
            len(self.log),
            self.applied,
            holder,
            self.follows,
            heard,
            discarded,
        )

    # Group verbs

    def fence(self, term):
        """Promise a strictly higher term; an older primary stops."""
        if term <= self.promised:
            return
        self.promised = term
        self.primary = False
        self.follows = ""

    def promote(self, term):
        """Lead the promised term; its first entry marks it in the log."""
        if term != self.promised or self.primary:
            return
        self.apply_to(len(self.log))
        self.primary = True
        self.follows = ""
        self.append(Entry(term=term, statements=[]))

    def follow(self, term, primary):
        """Replicate from a primary of at least the promised term."""
        if term < self.promised or (self.primary and term == self.promised):
            return
        self.promised = term
        self.primary = False
        self.follows = primary
        self.heard_at = time.monotonic()

    # Log

    def append(self, entry):
        """The primary adds an entry that its database shows already."""
        self.log.append(entry)
        self.applied = len(self.log)

    def common_prefix(self, terms):
        """How many entries another log shares with ours."""
        shared = 0
        for mine, theirs in zip(self.log, terms, strict=False):
            if mine.term != theirs:
                break
            shared += 1
        return shared

    def cut_to(self, length):
        """Discard a divergent tail; the database is rebuilt from what stays."""
        if length >= len(self.log):
            return
        self.discarded = len(self.log) - length
        del self.log[length:]
        if self.applied > length:
            self.db = new_database(self.schema)
            self.applied = 0
            self.apply_to(length)

    def apply_to(self, length):
        """Make entries visible."""
        for entry in self.log[self.applied : length]:
            for statement in entry.statements:
                run_sql(self.db, statement.sql)
        self.applied = max(self.applied, length)

    # Statements

    def begin(self):
        """Open a transaction on a snapshot."""
        base = sqlite3.connect(":memory:", isolation_level=None)
        base.deserialize(self.db.serialize())
        return Transaction(base=base)

    def run_in(self, tx, sql):
        """Run a statement inside a transaction."""
        cursor = run_sql(tx.base, sql)
        if cursor.description is None:
            tx.statements.append(Executed(sql=sql, affected=cursor.rowcount))
        return cursor

    def commit(self, tx):
        """Replay a transaction on the newest state, or fail as a deadlock does."""
        if not tx.statements:
            return
        if not self.primary:
            raise MemberError(READ_ONLY_SERVER, "the member is not primary")
        self.db.execute("BEGIN")
        try:
            for statement in tx.statements:
                if run_sql(self.db, statement.sql).rowcount != statement.affected:
                    raise MemberError(DEADLOCK, "the snapshot is outdated")
        except MemberError as exc:
            self.db.execute("ROLLBACK")
            raise MemberError(DEADLOCK, f"conflict at commit: {exc}") from exc
        self.db.execute("COMMIT")
        self.append(Entry(term=self.promised, statements=tx.statements))
