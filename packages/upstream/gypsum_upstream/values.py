"""Column values in a form that JSON and CBOR carry alike."""

from datetime import date, datetime, time, timedelta
from decimal import Decimal


def plain_value(value):
    """A column value as a string, number, boolean or None."""
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
    """All rows of an answer in plain values."""
    return tuple(tuple(plain_value(value) for value in row) for row in rows)
