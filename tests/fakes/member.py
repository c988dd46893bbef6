"""A group member in virtual time, with cells instead of tables and a ledger."""

from dataclasses import dataclass, field

from gypsum_core.records import Position, Reason, Result, Status
from tests.standins.grouplog import Entry, LogMember

DONE = "done"
BARRED = "barred"


class NotPrimary(Exception):
    """The member is not primary."""


class ClaimLost(Exception):
    """The claim names another daemon."""


class StatementRefused(Exception):
    """The statement is refused permanently."""

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True)
class Put:
    """Set a cell; `tag` names the caller whose statement it is."""

    cell: str
    value: int
    tag: str


@dataclass(frozen=True)
class LedgerState:
    """A ledger row's content."""

    state: str
    fingerprint: str


@dataclass(frozen=True)
class SetLedger:
    """Set a ledger row."""

    key: tuple
    row: LedgerState


@dataclass(frozen=True)
class SetClaim:
    """Set the claim."""

    holder: str


@dataclass
class OpenTx:
    """A transaction's effects before its commit."""

    effects: list = field(default_factory=list)


class FakeMember(LogMember):
    """A member whose entries hold effects on cells, ledger and claim."""

    def reset_state(self):
        """Clear cells, ledger and claim."""
        self.cells = {}
        self.ledger = {}
        self.claim = ""

    def apply_entry(self, entry):
        """Make an entry's effects visible."""
        for effect in entry.content:
            if isinstance(effect, Put):
                self.cells[effect.cell] = effect.value
            elif isinstance(effect, SetLedger):
                self.ledger[effect.key] = effect.row
            else:
                self.claim = effect.holder

    def claim_holder(self):
        """The holder of the claim."""
        return self.claim

    def status(self, now):
        """The status that the member reports."""
        return Status(
            upstream=self.name,
            primary=self.primary,
            promised=self.promised,
            log_term=self.log_term,
            received=len(self.log),
            applied=self.applied,
            claim=self.claim,
            follows=self.follows,
            heard_ms=self.heard_ms(now),
            discarded=self.take_discarded(),
        )

    @property
    def log_end(self):
        """The position of the last log entry."""
        return Position(term=self.log_term, index=len(self.log))

    # Statements

    def commit(self, effects):
        """Append effects as one transaction."""
        if not self.primary:
            raise NotPrimary("not primary")
        entry = Entry(term=self.promised, content=effects)
        self.apply_entry(entry)
        self.append(entry)

    def read(self, statement):
        """`get CELL...` with the caller's tag as parameter; one row per cell."""
        cells = statement.sql.split()[1:]
        tag = statement.params[0]
        rows = tuple((cell, self.cells.get(cell, 0), tag) for cell in cells)
        return Result(columns=("cell", "value", "tag"), rows=rows)

    def put(self, statement):
        """`insert CELL` with value and tag as parameters."""
        value, tag = statement.params
        return Put(cell=statement.sql.split()[1], value=value, tag=tag)

    def ledger_effect(self, row, holder):
        """The ledger row to write, or None if an earlier run wrote it."""
        if not self.primary:
            raise NotPrimary("not primary")
        if self.claim != holder:
            raise ClaimLost("claim lost")
        key = (row.member, row.key)
        known = self.ledger.get(key)
        if known and known.state == DONE:
            if row.fingerprint and known.fingerprint != row.fingerprint:
                raise StatementRefused(Reason.KEY_REUSED)
            return None
        return SetLedger(key, LedgerState(DONE, row.fingerprint))

    def write(self, action):
        """A write with its ledger row; returns its result and position."""
        ledger_entry = self.ledger_effect(action.row, action.holder)
        if ledger_entry is None:
            return Result(affected=1, replayed=True), self.log_end
        self.commit([ledger_entry, self.put(action.statement)])
        return Result(affected=1), self.log_end

    def settle(self, row):
        """Block a key from a later write unless it is done."""
        if not self.primary:
            raise NotPrimary("not primary")
        key = (row.member, row.key)
        known = self.ledger.get(key)
        if known is None:
            self.commit([SetLedger(key, LedgerState(BARRED, ""))])
        if known and known.state == DONE:
            return Result(affected=1, replayed=True), self.log_end
        return None, self.log_end

    def commit_tx(self, tx, action):
        """Commit a transaction with its ledger row."""
        ledger_entry = self.ledger_effect(action.row, action.holder)
        if ledger_entry is None:
            return Result(replayed=True), self.log_end
        self.commit([ledger_entry, *tx.effects])
        return Result(), self.log_end
