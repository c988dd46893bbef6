"""Parsed statements of callers, and the proxy's own commands to upstreams."""

from dataclasses import dataclass
from enum import StrEnum


class StatementKind(StrEnum):
    """Kind of a statement."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    # Sent by the proxy only, never by callers.
    RESET = "reset"
    STATUS = "status"
    PAUSE_REPLICATION = "pause_replication"
    RESUME_REPLICATION = "resume_replication"
    STEP_DOWN = "step_down"


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """A parsed statement.

    `name` is the name of a session value or prepared statement, `argument` what follows
    it (a value, an item with its data), `writes` whether it may change data (for BEGIN:
    whether the transaction may). `text` is what the caller sent; reads, writes and
    commits are sent to an upstream with exactly this text.
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
        """Whether this is a COMMIT."""
        return self.kind is StatementKind.COMMIT

    @property
    def reads(self):
        """Whether it returns data and changes none."""
        returns_data = self.kind in (StatementKind.READ, StatementKind.EXECUTE)
        return returns_data and not self.writes


BEGIN_READ_WRITE = Statement(kind=StatementKind.BEGIN, writes=True)
BEGIN_READ_ONLY = Statement(kind=StatementKind.BEGIN)
ROLLBACK = Statement(kind=StatementKind.ROLLBACK)
RESET = Statement(kind=StatementKind.RESET)
STATUS = Statement(kind=StatementKind.STATUS)
RESUME_REPLICATION = Statement(kind=StatementKind.RESUME_REPLICATION)
