"""Conversion of column values to types that both JSON and CBOR can encode."""

from datetime import date, datetime, time, timedelta
from decimal import Decimal


def plain_value(value):
    """Convert a column value to a string, number, boolean or None."""
    if value is None or isinstance(value, str | int | float):
        return value
    if isinstance(value, Decimal | timedelta):
        return str(value)
    if isinstance(value, datetime | date | time):
        return value.isoformat()
    if isinstance(value, bytes | bytearray):
        return bytes(value).decode("utf-8", "backslashreplace")
    return str(value)


def plain_rows(rows):
    """Convert all rows of a result to plain values."""
    return tuple(tuple(plain_value(value) for value in row) for row in rows)
