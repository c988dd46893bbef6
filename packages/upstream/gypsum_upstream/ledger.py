"""The request ledger: each write leaves its key in its own transaction."""

from dataclasses import dataclass

from gypsum_core.records import Reason, Result
from gypsum_upstream import dialect
from gypsum_upstream.dialect import is_duplicate
from gypsum_upstream.sql import ask_status, run


class ClaimLost(Exception):
    """The claim names another daemon: our table of writers may be incomplete."""


class Refused(Exception):
    """The request is refused for good; `reason` says why."""

    def __init__(self, reason, detail):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerEntry:
    """What the ledger holds for a key."""

    state: str
    fingerprint: str
    result: Result

    @property
    def done(self):
        """Tell whether the write took effect."""
        return self.state == dialect.LEDGER_DONE


@dataclass(slots=True, kw_only=True)
class Progress:
    """How far an attempt got; before its commit was sent it has no effect."""

    commit_sent: bool = False


async def find(conn, row):
    """The ledger's entry for a key, or None."""
    result = await run(conn, dialect.LEDGER_FIND_SQL, (row.member, row.key))
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


async def enter(conn, row, holder):
    """Put a key into the ledger, within the open transaction.

    Returns the earlier entry when the key has been run already, else None. A key
    that was barred may run again: the attempt it was barred against is dead.
    """
    params = (row.member, row.key, row.fingerprint, holder)
    try:
        result = await run(conn, dialect.LEDGER_INSERT_SQL, params)
    except Exception as exc:
        if not is_duplicate(exc):
            raise
        return await revive(conn, row, holder)
    if result.affected != 1:
        raise ClaimLost(holder)
    return None


async def revive(conn, row, holder):
    """Deal with a key that the ledger holds already."""
    entry = await find(conn, row)
    if entry is not None and entry.done:
        check_same(entry, row)
        return entry
    params = (row.fingerprint, row.member, row.key, holder)
    result = await run(conn, dialect.LEDGER_REVIVE_SQL, params)
    if result.affected != 1:
        raise ClaimLost(holder)
    return None


def check_same(entry, row):
    """Refuse a key that stood for another request."""
    if row.fingerprint and entry.fingerprint != row.fingerprint:
        raise Refused(
            Reason.KEY_REUSED, "the key was used for a different request before"
        )


async def write(conn, statement, row, holder, progress):
    """Run a write once; returns its result and a position that covers it."""
    await run(conn, "BEGIN")
    earlier = await enter(conn, row, holder)
    if earlier is not None:
        await run(conn, "ROLLBACK")
        return earlier.result, dialect.end_of_log(await ask_status(conn))
    result = await run(conn, statement.sql, statement.params)
    await run(
        conn,
        dialect.LEDGER_RESULT_SQL,
        (result.affected, result.last_id, row.member, row.key),
    )
    return result, await commit(conn, progress)


async def commit(conn, progress):
    """Commit; returns a position at or after the transaction's own."""
    progress.commit_sent = True
    await run(conn, "COMMIT")
    return dialect.end_of_log(await ask_status(conn))


async def settle(conn, row, progress):
    """Make a key's outcome final: its result, or None once it is barred.

    A barred key makes a late attempt fail on the ledger's unique key, so that
    "not run" stays true whatever still travels.
    """
    try:
        progress.commit_sent = True
        await run(conn, dialect.LEDGER_BAR_SQL, (row.member, row.key))
    except Exception as exc:
        if not is_duplicate(exc):
            raise
    entry = await find(conn, row)
    if entry is None:
        raise LookupError(f"ledger row {row.key} vanished")
    result = entry.result if entry.done else None
    return result, dialect.end_of_log(await ask_status(conn))
