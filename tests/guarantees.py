"""Checks of the proxy's guarantees from callers' answers and upstreams' statements.

Shared by the random runs in virtual time and the soak over real processes.
"""

from dataclasses import dataclass, field

from gypsum_sessions.catalog import ReadRule

# Maximum age in seconds of the data of a read, by the read rules of the tests.
MAX_AGE = {
    ReadRule.PRIMARY: 0.0,
    ReadRule.BOUNDED: 1.5,
    ReadRule.READ_YOUR_WRITES: 2.5,
}


@dataclass(slots=True, kw_only=True)
class AckedWrite:
    """Writes that were acknowledged to a caller."""

    data: tuple[str, ...]
    at: float
    session: int | str


@dataclass(frozen=True, slots=True, kw_only=True)
class SentRead:
    """A read as its caller sent it; `at` is when it, or its transaction, was sent."""

    at: float
    session: int | str
    rule: ReadRule


@dataclass(slots=True, kw_only=True)
class GuaranteeChecker:
    """Records what was sent, answered and run, and collects violations in `broken`.

    `refused_writes` is the data of writes that were answered as not run.
    """

    acked: list[AckedWrite] = field(default_factory=list)
    refused_writes: list[str] = field(default_factory=list)
    values: dict[int | str, dict[str, str]] = field(default_factory=dict)
    reads: dict[str, SentRead] = field(default_factory=dict)
    transactions: dict[str, int | str] = field(default_factory=dict)
    owners: dict[object, int | str] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def values_match(self, session, values, at):
        """Return whether a session had these values at a time; here: has them now."""
        return values == self.values.get(session, {})

    def ran(self, request, session, *, conn, values, in_transaction, at=0.0):
        """Check that a statement ran with its session's values and transaction.

        `conn` identifies the connection, `values` are the values set on it.
        """
        if not self.values_match(session, values, at):
            self.broken.append(f"PINNED {request}: values {values}")
        owner = self.owners.get(conn)
        if in_transaction and owner not in (None, session):
            self.broken.append(f"PINNED {request}: in the transaction of {owner}")
        if in_transaction != (request in self.transactions):
            self.broken.append(f"PINNED {request}: in a transaction {in_transaction}")
        self.owners[conn] = session if in_transaction else None

    def read_ran(self, request, member, lacks):
        """Check that a read was not run on a log that lacks data it must reflect."""
        sent = self.reads[request]
        for item in self.acked:
            own = (
                sent.rule is ReadRule.READ_YOUR_WRITES and item.session == sent.session
            )
            bound = sent.at if own else sent.at - MAX_AGE[sent.rule]
            if item.at < bound and not lacks.isdisjoint(item.data):
                self.broken.append(f"STALE {request} at {member}: lacks {item.data}")

    def finish(self, kept, orders):
        """Check the final log and the promotions.

        `kept` is the data in the final log, `orders` tokens and holders of promotions.
        """
        if len(kept) != len(set(kept)):
            self.broken.append("TWICE")
        for item in self.acked:
            if not set(item.data) <= set(kept):
                self.broken.append(f"LOST {item.data}")
        for data in self.refused_writes:
            if data in kept:
                self.broken.append(f"REFUSED {data}")
        if len({token for token, _ in orders}) != len(set(orders)):
            self.broken.append("ONE: two holders with one token")
