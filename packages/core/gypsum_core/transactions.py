"""Open interactive transactions, each pinned to one connection and one member."""

from collections import deque
from dataclasses import dataclass, field

from gypsum_core.jobs import Job


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction; `busy` while one of its statements runs."""

    tx: str
    member: str
    upstream: str
    term: int
    last_used_at: float
    busy: bool = False
    waiting: deque[Job] = field(default_factory=deque)


class Transactions:
    """The open transactions of one home.

    Names are random, belong to one member and end with their connection, which is
    never reused after an abnormal end. Otherwise a caller's statement could run
    inside another's transaction and be committed or rolled back with it.
    """

    def __init__(self):
        self.open = {}

    def __len__(self):
        return len(self.open)

    def add(self, tx):
        """Add an open transaction."""
        self.open[tx.tx] = tx

    def find(self, name, member):
        """Return the transaction of that name if it belongs to the member, or None."""
        tx = self.open.get(name)
        return tx if tx and tx.member == member else None

    def remove(self, name):
        """Remove and return a transaction; None if there is none of that name."""
        return self.open.pop(name, None)

    def idle(self, now, limit):
        """Return transactions that have been idle for `limit` seconds."""
        return [
            tx
            for tx in self.open.values()
            if not tx.busy and now - tx.last_used_at >= limit
        ]

    def opened_elsewhere(self, primary, term):
        """Return transactions that were opened at another primary or term."""
        return [
            tx for tx in self.open.values() if tx.upstream != primary or tx.term != term
        ]
