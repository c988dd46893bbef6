"""What the group's request ledger stores for a write."""

from xxhash import xxh3_128_hexdigest

from gypsum_core.actions import LedgerRow
from gypsum_core.records import Verb


def ledger_row(job):
    """The ledger entry that stands for a job's write."""
    request = job.request
    return LedgerRow(
        member=request.member, key=request.key, fingerprint=fingerprint(request)
    )


def fingerprint(request):
    """A hash of what a key stands for, so that its reuse for other work shows.

    Empty for a request that knows only the key: a commit or an outcome.
    """
    if request.verb is not Verb.QUERY or request.statement is None:
        return ""
    statement = request.statement
    text = repr((request.kind, statement.sql, statement.params))
    return xxh3_128_hexdigest(text.encode())
