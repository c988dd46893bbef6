"""Statements of a session, parsed, and the proxy's own commands to upstreams."""

from dataclasses import dataclass
from enum import StrEnum


class StatementKind(StrEnum):
    """What a statement asks for."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    # The proxy's own, never a caller's.
    RESET = "reset"
    STATUS = "status"
    PAUSE_REPLICATION = "pause_replication"
    RESUME_REPLICATION = "resume_replication"
    STEP_DOWN = "step_down"


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """One statement.

    `name` is a session value's or prepared statement's name, `argument` what
    follows it (a value, an item with its data), `writes` whether it may change data
    (for BEGIN: whether the transaction may). `text` is what the caller sent; reads,
    writes and commits go to an upstream with exactly this text.
    """

    kind: StatementKind
    name: str = ""
    argument: str = ""
    shape: str = ""
    writes: bool = False
    term: int = 0
    text: str = ""

    @property
    def commits(self):
        """Tell whether it is the end of a transaction that keeps what was done."""
        return self.kind is StatementKind.COMMIT

    @property
    def reads(self):
        """Tell whether it shows data and changes none."""
        shows = self.kind in (StatementKind.READ, StatementKind.EXECUTE)
        return shows and not self.writes


BEGIN_READ_WRITE = Statement(kind=StatementKind.BEGIN, writes=True)
BEGIN_READ_ONLY = Statement(kind=StatementKind.BEGIN)
ROLLBACK = Statement(kind=StatementKind.ROLLBACK)
RESET = Statement(kind=StatementKind.RESET)
STATUS = Statement(kind=StatementKind.STATUS)
RESUME_REPLICATION = Statement(kind=StatementKind.RESUME_REPLICATION)
