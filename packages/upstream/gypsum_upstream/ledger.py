"""The request ledger: each write records its key in its own transaction."""

from dataclasses import dataclass

from gypsum_core.records import Reason, Result
from gypsum_upstream import dialect
from gypsum_upstream.dialect import is_duplicate_key
from gypsum_upstream.sql import execute, query_status


class ClaimLost(Exception):
    """Raised if another daemon holds the claim: the writers known here may be stale."""


class RequestRefused(Exception):
    """Raised for a permanently refused request; `reason` is its cause."""

    def __init__(self, reason, detail):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerEntry:
    """The ledger row of a key."""

    state: str
    fingerprint: str
    result: Result

    @property
    def done(self):
        """Return whether the write was committed."""
        return self.state == dialect.LEDGER_DONE


@dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of an attempt; it has no effect before its commit was sent."""

    commit_sent: bool = False


async def find_entry(conn, row):
    """Return the ledger entry of a key, or None."""
    result = await execute(conn, dialect.LEDGER_FIND_SQL, (row.member, row.key))
    if not result.rows:
        return None
    state, fingerprint, affected, last_id = result.rows[0]
    return LedgerEntry(
        state=state,
        fingerprint=fingerprint or "",
        result=Result(
            affected=int(affected or 0), last_id=int(last_id or 0), replayed=True
        ),
    )


async def insert_entry(conn, row, holder):
    """Insert a key into the ledger, within the open transaction.

    Returns the earlier entry if the key was run before, else None. A barred key may run
    again, because the attempt that it was barred against can't commit any more.
    """
    params = (row.member, row.key, row.fingerprint, holder)
    try:
        result = await execute(conn, dialect.LEDGER_INSERT_SQL, params)
    except Exception as exc:
        if not is_duplicate_key(exc):
            raise
        return await reuse_entry(conn, row, holder)
    if result.affected != 1:
        raise ClaimLost(holder)
    return None


async def reuse_entry(conn, row, holder):
    """Return the finished entry of an existing key, or reuse a barred one."""
    entry = await find_entry(conn, row)
    if entry is not None and entry.done:
        check_fingerprint(entry, row)
        return entry
    params = (row.fingerprint, row.member, row.key, holder)
    result = await execute(conn, dialect.LEDGER_REUSE_SQL, params)
    if result.affected != 1:
        raise ClaimLost(holder)
    return None


def check_fingerprint(entry, row):
    """Refuse a key that was used for a different request."""
    if row.fingerprint and entry.fingerprint != row.fingerprint:
        raise RequestRefused(
            Reason.KEY_REUSED, "the key was used for a different request before"
        )


async def write(conn, statement, row, holder, progress):
    """Run a write once; return its result and a log position that includes it."""
    await execute(conn, "BEGIN")
    earlier = await insert_entry(conn, row, holder)
    if earlier is not None:
        await execute(conn, "ROLLBACK")
        return earlier.result, dialect.end_of_log(await query_status(conn))
    result = await execute(conn, statement.sql, statement.params)
    await execute(
        conn,
        dialect.LEDGER_RESULT_SQL,
        (result.affected, result.last_id, row.member, row.key),
    )
    return result, await commit(conn, progress)


async def commit(conn, progress):
    """Commit; return a log position at or after the transaction's own."""
    progress.commit_sent = True
    await execute(conn, "COMMIT")
    return dialect.end_of_log(await query_status(conn))


async def settle(conn, row, progress):
    """Make a key's outcome final; return its result, or None if it is now barred.

    A delayed attempt with a barred key violates the ledger's unique key and fails, so
    the outcome "not run" stays true for messages that are still in transit.
    """
    try:
        progress.commit_sent = True
        await execute(conn, dialect.LEDGER_BAR_SQL, (row.member, row.key))
    except Exception as exc:
        if not is_duplicate_key(exc):
            raise
    entry = await find_entry(conn, row)
    if entry is None:
        raise LookupError(f"ledger row {row.key} vanished")
    result = entry.result if entry.done else None
    return result, dialect.end_of_log(await query_status(conn))
