"""Connections for the daemon's own queries and commands to upstreams."""

from contextlib import asynccontextmanager

from gypsum_sessions.replies import UpstreamRefused


@asynccontextmanager
async def borrow_connection(context, item, *, urgent=False):
    """A connection of the pool; if all are in use, an urgent one is opened apart.

    Commands of a takeover must not wait behind callers' statements. If the upstream
    accepts no further connection, they do wait. Raises UpstreamError.
    """
    if urgent and not item.pool.has_capacity():
        try:
            conn = await context.dialer.dial(
                item.member, timeout=context.tuning.dial_timeout
            )
        except UpstreamRefused:
            conn = None
        if conn is not None:
            try:
                yield conn
            finally:
                conn.close()
            return
    pooled = await item.pool.acquire(
        values={}, timeout=context.tuning.ping_timeout, urgent=urgent
    )
    try:
        yield pooled.conn
    finally:
        item.pool.release(pooled)
