"""Validation of requests against the manifest before they run."""

import re

from gypsum_core.records import Mode, Verb

READ_KEYWORDS = frozenset({"select", "with", "values", "table", "explain", "show"})
WRITE_KEYWORDS = frozenset({"insert", "update", "delete", "replace", "with"})
FIRST_KEYWORD = re.compile(r"\s*([a-zA-Z]+)")
KEYWORDS_BY_MODE = {
    Mode.READ: READ_KEYWORDS,
    Mode.WRITE: WRITE_KEYWORDS,
    Mode.TRANSACTION: READ_KEYWORDS | WRITE_KEYWORDS,
}


def check_request(spec, request):
    """Return what is wrong with a request, or an empty string."""
    if request.member not in spec.weight_by_member:
        return f"unknown member {request.member!r}"
    if request.verb in (Verb.QUERY, Verb.BEGIN):
        return check_kind(spec, request)
    if request.verb is Verb.TX_QUERY:
        return check_statement(Mode.TRANSACTION, request.statement)
    return ""


def check_statement(mode, statement):
    """Check that a statement begins with a keyword that its mode allows.

    A caller's own COMMIT, or a statement that commits implicitly such as CREATE,
    would end the transaction that holds the ledger row, and the request could run
    twice.
    """
    match = FIRST_KEYWORD.match(statement.sql)
    keyword = match.group(1).lower() if match else ""
    allowed = KEYWORDS_BY_MODE[mode]
    if keyword in allowed:
        return ""
    return f"mode {mode} takes statements that begin with {', '.join(sorted(allowed))}"


def check_kind(spec, request):
    """Check that the kind exists and allows the request's verb and statement."""
    kind = spec.kind_by_name.get(request.kind)
    if kind is None:
        return f"unknown kind {request.kind!r}"
    transactional = kind.mode is Mode.TRANSACTION
    if request.verb is Verb.BEGIN and not transactional:
        return f"kind {kind.name!r} has mode {kind.mode}, not transaction"
    if request.verb is Verb.QUERY and transactional:
        return f"kind {kind.name!r} has mode transaction: open a transaction first"
    if not kind.repeatable and not request.keyed and kind.mode is not Mode.READ:
        return f"kind {kind.name!r} must not repeat: an Idempotency-Key is required"
    if request.verb is Verb.QUERY:
        return check_statement(kind.mode, request.statement)
    return ""
