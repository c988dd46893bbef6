"""A pooled connection and the session state that the upstream keeps for it."""

import asyncio
from dataclasses import dataclass, field
from hashlib import blake2b

from gypsum_sessions.interfaces import UpstreamConn
from gypsum_sessions.replies import (
    Refusal,
    Reply,
    SessionState,
    StateRejected,
    UpstreamLost,
)
from gypsum_sessions.statements import RESET, ROLLBACK, Statement, StatementKind

# Collisions are negligible, also among shapes that are chosen to collide.
NAME_DIGEST_BYTES = 16
# Refusals of a SET or PREPARE that any attempt would get.
INVALID = frozenset({Refusal.MALFORMED, Refusal.TOO_LARGE})


@dataclass(slots=True, kw_only=True, eq=False)
class PooledConn:
    """A connection with the values and prepared statements set on it.

    It was opened for `workspace`, empty for the daemon's own use. `dirty` says that its
    values are not known for certain; it is reset before use. `prepared` holds (shape,
    writes) pairs; see `prepared_name`. `unanswered` is a statement that outlasted its
    timeout and still runs.
    """

    upstream: str
    conn: UpstreamConn
    workspace: str = ""
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[tuple[str, bool]] = field(default_factory=set)
    dirty: bool = False
    in_transaction: bool = False
    opened_at: float = 0.0
    idle_since: float = 0.0
    unanswered: asyncio.Task | None = None

    @property
    def alive(self):
        """Return whether the connection can still be used."""
        return self.conn.alive


def prepared_name(shape, writes):
    """Name of a prepared statement at upstreams, the same for all sessions.

    Names that callers choose collide on a shared connection. Named after their content,
    prepared statements can be shared. A shape may hold blanks and be long, a name may
    not, so the name has the shape's digest.
    """
    digest = blake2b(shape.encode(), digest_size=NAME_DIGEST_BYTES).hexdigest()
    return f"{'w' if writes else 'r'}_{digest}"


async def sync_session_state(pooled, values, prepared, *, timeout, prepared_limit):
    """Set a connection's values and prepared statements to a session's.

    `prepared` lists the (shape, writes) pairs that the next statement needs. Each step
    is awaited: if a value were refused unnoticed, the statement would run with another
    session's value. Raises StateRejected for a value or shape that the upstream refuses
    as invalid, another UpstreamError otherwise.
    """
    if needs_reset(pooled, values, prepared, prepared_limit):
        await run_or_close(pooled, RESET, timeout)
        pooled.values.clear()
        pooled.prepared.clear()
        pooled.dirty = False
    for name, value in values.items():
        if pooled.values.get(name) == value:
            continue
        pooled.dirty = True
        await apply_state(pooled, set_statement(name, value), timeout)
        pooled.values[name] = value
        pooled.dirty = False
    for shape, writes in prepared:
        if (shape, writes) in pooled.prepared:
            continue
        await apply_state(pooled, prepare_statement(shape, writes), timeout)
        pooled.prepared.add((shape, writes))


def needs_reset(pooled, values, prepared, prepared_limit):
    """Return whether a connection carries state that the session must not see."""
    if pooled.in_transaction:
        return False
    has_other_values = not pooled.values.keys() <= values.keys()
    too_many_prepared = len(pooled.prepared | set(prepared)) > prepared_limit
    return pooled.dirty or has_other_values or too_many_prepared


async def run_or_close(pooled, statement, timeout):
    """Run one of the proxy's own statements; closes the connection if it is refused."""
    reply = await pooled.conn.ask(statement, timeout=timeout)
    if not reply.ok:
        pooled.conn.close()
        raise refused(pooled, statement, reply)


async def apply_state(pooled, statement, timeout):
    """Run a SET or PREPARE of a session's state; closes the connection if it fails.

    One that is refused as invalid leaves the connection as it was.
    """
    reply = await pooled.conn.ask(statement, timeout=timeout)
    if reply.ok:
        return
    if reply.refusal not in INVALID:
        pooled.conn.close()
        raise refused(pooled, statement, reply)
    step = str(statement.kind)
    detail = f"not run, {step} {statement.name}: {reply.detail or reply.refusal}"
    raise StateRejected(
        detail,
        step=step,
        peer=pooled.upstream,
        reply=Reply(refusal=reply.refusal, detail=detail),
    )


def refused(pooled, statement, reply):
    """The error for a statement that the upstream did not run."""
    return UpstreamLost(
        f"{reply.refusal} {reply.detail}",
        step=str(statement.kind),
        peer=pooled.upstream,
    )


async def roll_back(pooled, timeout):
    """Roll back an open transaction; a connection that does not confirm is closed.

    Closing rolls back as well, so nothing of the transaction is kept either way.
    """
    try:
        reply = await pooled.conn.ask(ROLLBACK, timeout=timeout)
    except BaseException:
        pooled.conn.close()
        raise
    pooled.in_transaction = False
    if reply.state is not SessionState.IDLE:
        pooled.conn.close()


def set_statement(name, value):
    """The statement that sets a session value."""
    return Statement(kind=StatementKind.SET, name=name, argument=value)


def prepare_statement(shape, writes):
    """The statement that prepares a shape under its shared name."""
    name = prepared_name(shape, writes)
    return Statement(kind=StatementKind.PREPARE, name=name, shape=shape, writes=writes)
