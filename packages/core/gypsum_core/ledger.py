"""Rows of the group's request ledger, which makes writes idempotent."""

from xxhash import xxh3_128_hexdigest

from gypsum_core.actions import LedgerRow
from gypsum_core.records import Verb


def ledger_row(job):
    """Return the ledger row of a job's write."""
    request = job.request
    return LedgerRow(
        member=request.member, key=request.key, fingerprint=fingerprint(request)
    )


def fingerprint(request):
    """Return a hash of the request, to detect reuse of its key for another one.

    Empty for requests that have only the key: commits and outcome queries.
    """
    if request.verb is not Verb.QUERY or request.statement is None:
        return ""
    statement = request.statement
    text = repr((request.kind, statement.sql, statement.params))
    return xxh3_128_hexdigest(text.encode())
