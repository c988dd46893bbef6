"""Jobs (requests at a home) and the upstream operations that run them."""

from dataclasses import dataclass
from enum import StrEnum

from gypsum_core.records import Mode, Position, Reason, Request, Result, Verb
from gypsum_core.spec import KindSpec

# A job that waits for a primary is refused this share of its time before its deadline,
# at most ANSWER_RESERVE seconds: the answer still has to reach the caller.
ANSWER_RESERVE_SHARE = 0.15
ANSWER_RESERVE = 0.5


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A request at its home.

    `origin` is the daemon to answer. If `may_have_run`, an attempt may have taken
    effect, and "not run" may be answered only with proof. Once `closed`, the final
    answer was sent and later responses are dropped.
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
        """The key of this caller in the table of recent writers."""
        return (self.request.member, self.request.caller)

    @property
    def wait_until(self):
        """Time until which it may wait for a primary."""
        left = self.request.deadline - self.arrived
        return self.request.deadline - min(ANSWER_RESERVE, ANSWER_RESERVE_SHARE * left)

    @property
    def is_read(self):
        """Whether a replica may serve it."""
        return self.request.verb is Verb.QUERY and self.kind.mode is Mode.READ

    @property
    def is_write(self):
        """Whether it inserts a ledger row."""
        if self.request.verb is Verb.COMMIT:
            return True
        return self.request.verb is Verb.QUERY and self.kind.mode is Mode.WRITE


class OperationKind(StrEnum):
    """Purpose of an upstream operation."""

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
    """A pending upstream action.

    `as_of` is the time from which a read's age counts. `floor` is the position that
    the read is proven to reflect; it goes into the caller's session token, so that
    a caller without a token needs no lookup of recent writes next time. The job's
    `may_have_run` is reset to `may_have_run_before` if this attempt provably had no
    effect.
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
