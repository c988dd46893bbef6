"""Requests and operations while a home works on them."""

from dataclasses import dataclass
from enum import StrEnum

from gypsum_core.records import Mode, Position, Reason, Request, Result, Verb
from gypsum_core.spec import KindSpec


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One request at its home.

    `origin` is the daemon to answer. `may_have_run` says that an attempt may have
    taken effect, so that "not run" needs proof. `closed` says that the final
    answer is out and whatever comes later is dropped.
    """

    request: Request
    origin: str
    kind: KindSpec
    arrived: float
    may_have_run: bool = False
    attempts: int = 0
    closed: bool = False
    settling: bool = False
    waited_for_replica: bool = False
    primary_reason: Reason | None = None
    result: Result | None = None
    position: Position | None = None
    served_by: str = ""
    started_at: float = 0.0
    committed_at: float = 0.0
    step: str = "queue"
    op: int = 0

    @property
    def caller(self):
        """Whose writes the next read of this caller must show."""
        return (self.request.member, self.request.caller)

    @property
    def is_read(self):
        """Tell whether a replica may serve it."""
        return self.request.verb is Verb.QUERY and self.kind.mode is Mode.READ

    @property
    def is_write(self):
        """Tell whether it leaves a ledger row."""
        if self.request.verb is Verb.COMMIT:
            return True
        return self.request.verb is Verb.QUERY and self.kind.mode is Mode.WRITE


class OperationKind(StrEnum):
    """What an upstream operation is for."""

    PROBE = "probe"
    ASKED_PROBE = "asked_probe"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    CLAIM = "claim"
    READ = "read"
    WRITE = "write"
    SETTLE = "settle"
    TX_BEGIN = "begin"
    TX_RUN = "tx_query"
    TX_COMMIT = "commit"


SLOT_OPERATIONS = frozenset(
    {
        OperationKind.READ,
        OperationKind.WRITE,
        OperationKind.SETTLE,
        OperationKind.TX_BEGIN,
        OperationKind.TX_RUN,
        OperationKind.TX_COMMIT,
    }
)

WRITE_OPERATIONS = frozenset({OperationKind.WRITE, OperationKind.TX_COMMIT})


@dataclass(slots=True, kw_only=True)
class Operation:
    """An upstream action in flight.

    `as_of` is the time from which a read's age counts, `floor` the position that it
    was proved to show and that its caller's token will carry; a caller who came
    without a token need not be vouched for again. `may_have_run_before` is what
    the job's `may_have_run` returns to when this attempt provably did nothing.
    """

    op: int
    kind: OperationKind
    upstream: str
    sent_at: float
    term: int
    job: Job | None = None
    as_of: float = 0.0
    floor: Position | None = None
    requester: str = ""
    nonce: int = 0
    fresh: bool = False
    may_have_run_before: bool = False
