"""Running statements on one connection."""

from gypsum_core.records import Result
from gypsum_upstream.dialect import STATUS_SQL, parse_status
from gypsum_upstream.values import plain_rows


async def execute(conn, sql, params=()):
    """Run a statement and read its whole result."""
    async with conn.cursor() as cursor:
        await cursor.execute(sql, params or None)
        columns = tuple(item[0] for item in cursor.description or ())
        rows = plain_rows(await cursor.fetchall()) if columns else ()
        return Result(
            columns=columns,
            rows=rows,
            affected=max(0, cursor.rowcount) if not columns else 0,
            last_id=cursor.lastrowid or 0,
        )


async def query_status(conn, sql=STATUS_SQL, params=()):
    """Run a group command and parse the status that it returns."""
    result = await execute(conn, sql, params)
    return parse_status(result.rows[0])
