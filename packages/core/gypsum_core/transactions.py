"""Interactive transactions: each pinned to one connection, one caller."""

from collections import deque
from dataclasses import dataclass, field

from gypsum_core.jobs import Job


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction. `busy` while a statement of it runs."""

    tx: str
    member: str
    upstream: str
    term: int
    last_used_at: float
    busy: bool = False
    waiting: deque[Job] = field(default_factory=deque)


class Transactions:
    """The open transactions of one home.

    What goes wrong without the pinning: a statement of one caller runs inside
    another's transaction and is committed or rolled back with it. A name is
    random, belongs to one member and dies with its connection, which is never
    reused after an abnormal end.
    """

    def __init__(self):
        self.open = {}

    def __len__(self):
        return len(self.open)

    def add(self, tx):
        """Open a transaction."""
        self.open[tx.tx] = tx

    def find(self, name, member):
        """The transaction of that name if it belongs to the member."""
        tx = self.open.get(name)
        return tx if tx and tx.member == member else None

    def remove(self, name):
        """Forget a transaction that ended; None if there was none."""
        return self.open.pop(name, None)

    def idle(self, now, limit):
        """Transactions whose caller has said nothing for `limit` seconds."""
        return [
            tx
            for tx in self.open.values()
            if not tx.busy and now - tx.last_used_at >= limit
        ]

    def opened_elsewhere(self, primary, term):
        """Transactions that were opened at another primary or term."""
        return [
            tx for tx in self.open.values() if tx.upstream != primary or tx.term != term
        ]
