"""Connections for short questions and commands, apart from callers' statements."""

from contextlib import asynccontextmanager


@asynccontextmanager
async def borrowed(around, item):
    """A connection for a command: an idle one of the pool, else one of its own.

    Commands must not wait behind callers' statements for a free connection.
    """
    pooled = item.pool.take_idle({})
    if pooled is not None:
        try:
            yield pooled.conn
        finally:
            item.pool.release(pooled)
        return
    conn = await around.dialer.dial(item.member, timeout=around.tuning.dial_timeout)
    try:
        yield conn
    finally:
        conn.close()
