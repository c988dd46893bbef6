"""The SQL of a database group: commands, ledger, claim, error classes.

This module makes the following assumptions, not yet verified on the users' database:

- Each group member answers `CALL gypsum_status()` with one row: id, is primary,
  promised term, term of the last log entry, received index, applied index,
  holder of the claim, the id of its replication source, milliseconds since the last
  message from it (-1: not a replica), log entries discarded by the last follow.
- `CALL gypsum_fence(T)` promises a strictly higher term and stops primaries of older
  terms and their log; `CALL gypsum_promote(T)` makes a member that promised T primary;
  `CALL gypsum_follow(T, ID)` makes it replicate from a primary. Each returns
  the status row; that of a refused fence shows the higher promised term.
- The tables `gypsum_ledger` and `gypsum_claim` exist in the database and are
  replicated with it. `INSERT ... SELECT` from the claim locks its row against
  changes until the transaction ends, as InnoDB does.
"""

from enum import StrEnum

from asyncmy.errors import Error, MySQLError, OperationalError

from gypsum_core.records import Position, Status

STATUS_SQL = "CALL gypsum_status()"
FENCE_SQL = "CALL gypsum_fence(%s)"
PROMOTE_SQL = "CALL gypsum_promote(%s)"
FOLLOW_SQL = "CALL gypsum_follow(%s, %s)"
CLAIM_SQL = "UPDATE gypsum_claim SET holder = %s"
READ_ONLY_SQL = "SET SESSION TRANSACTION READ ONLY"
READ_WRITE_SQL = "SET SESSION TRANSACTION READ WRITE"

LEDGER_DONE = "done"
LEDGER_BARRED = "barred"
LEDGER_INSERT_SQL = (
    "INSERT INTO gypsum_ledger (member, ledger_key, fingerprint, state)"
    " SELECT %s, %s, %s, 'done' FROM gypsum_claim WHERE holder = %s"
)
LEDGER_REUSE_SQL = (
    "UPDATE gypsum_ledger SET fingerprint = %s, state = 'done'"
    " WHERE member = %s AND ledger_key = %s AND state = 'barred'"
    " AND EXISTS (SELECT 1 FROM gypsum_claim WHERE holder = %s)"
)
LEDGER_RESULT_SQL = (
    "UPDATE gypsum_ledger SET affected = %s, last_id = %s"
    " WHERE member = %s AND ledger_key = %s"
)
LEDGER_BAR_SQL = (
    "INSERT INTO gypsum_ledger (member, ledger_key, fingerprint, state)"
    " VALUES (%s, %s, '', 'barred')"
)
LEDGER_FIND_SQL = (
    "SELECT state, fingerprint, affected, last_id FROM gypsum_ledger"
    " WHERE member = %s AND ledger_key = %s"
)

ER_DUP_ENTRY = 1062
ER_LOCK_WAIT = 1205
ER_DEADLOCK = 1213
ER_READ_ONLY_SERVER = 1290
ER_READ_ONLY_TX = 1792
ER_READ_ONLY_MODE = 1836
ER_KILLED = 1317
CLIENT_ERROR_MIN = 2000
CLIENT_ERROR_MAX = 2999


class ErrorClass(StrEnum):
    """The consequence of an error for the statement that caused it."""

    STATEMENT = "statement"
    RETRY = "retry"
    STALE = "stale"
    LOST = "lost"


def classify_error(exc):
    """Classify an error: statement error, transient, fenced or lost connection."""
    if isinstance(exc, TypeError | ValueError):
        return ErrorClass.STATEMENT
    if not isinstance(exc, MySQLError | Error):
        return ErrorClass.LOST
    code = exc.args[0] if exc.args and isinstance(exc.args[0], int) else 0
    if code in (ER_READ_ONLY_SERVER, ER_READ_ONLY_MODE):
        return ErrorClass.STALE
    if code in (ER_LOCK_WAIT, ER_DEADLOCK):
        return ErrorClass.RETRY
    if code == ER_KILLED or CLIENT_ERROR_MIN <= code <= CLIENT_ERROR_MAX:
        return ErrorClass.LOST
    if isinstance(exc, OperationalError) and code == 0:
        return ErrorClass.LOST
    return ErrorClass.STATEMENT


def is_duplicate_key(exc):
    """Return whether the error is a duplicate key violation."""
    return isinstance(exc, Error) and bool(exc.args) and exc.args[0] == ER_DUP_ENTRY


def describe_error(exc):
    """Format an error as one short line."""
    if len(exc.args) > 1:
        return f"{exc.args[1]} ({exc.args[0]})"
    return str(exc) or type(exc).__name__


def parse_status(row):
    """Parse the status row of a group command."""
    return Status(
        upstream=str(row[0]),
        primary=bool(int(row[1])),
        promised=int(row[2]),
        log_term=int(row[3]),
        received=int(row[4]),
        applied=int(row[5]),
        claim=str(row[6] or ""),
        follows=str(row[7] or ""),
        heard_ms=float(row[8]),
        discarded=int(row[9]),
    )


def end_of_log(status):
    """Return a log position at or after everything committed before the status."""
    return Position(term=status.log_term, index=status.received)
