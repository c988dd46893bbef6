"""A group member with a sqlite database that its log builds."""

import sqlite3
import time
from dataclasses import dataclass, field

from tests.standins.grouplog import Entry, LogMember

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


class SqlMember(LogMember):
    """A member whose entries hold SQL statements."""

    def __init__(self, *, name, schema, primary):
        self.schema = schema
        super().__init__(name=name, primary=primary, now=time.monotonic())

    def reset_state(self):
        """An empty database with the schema."""
        self.db = sqlite3.connect(":memory:", isolation_level=None)
        self.db.executescript(SCHEMA + self.schema)

    def apply_entry(self, entry):
        """Run an entry's statements."""
        for statement in entry.content:
            run_sql(self.db, statement.sql)

    def claim_holder(self):
        """Read the claim row."""
        return self.db.execute("SELECT holder FROM gypsum_claim").fetchone()[0]

    def status_row(self):
        """The row that answers every group command."""
        return (
            self.name,
            int(self.primary),
            self.promised,
            self.log_term,
            len(self.log),
            self.applied,
            self.claim_holder(),
            self.follows,
            self.heard_ms(time.monotonic()),
            self.take_discarded(),
        )

    def begin(self):
        """Open a transaction on a snapshot."""
        base = sqlite3.connect(":memory:", isolation_level=None)
        base.deserialize(self.db.serialize())
        return Transaction(base=base)

    def run_in(self, tx, sql):
        """Run a statement inside a transaction.

        A statement that looks at the claim sees its newest state, as a locking
        read does.
        """
        if "gypsum_claim" in sql:
            holder = self.claim_holder()
            tx.base.execute("UPDATE gypsum_claim SET holder = ?", (holder,))
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
        self.append(Entry(term=self.promised, content=tx.statements))
