"""Records shared by the decision logic."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from gypsum_core.position import Position


class Mode(StrEnum):
    """What a request kind may do at an upstream."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class Verb(StrEnum):
    """Operation that a caller requests."""

    QUERY = "query"
    BEGIN = "begin"
    TX_QUERY = "tx_query"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OUTCOME = "outcome"


class Outcome(StrEnum):
    """The three final answers a caller can get."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was refused, or why a read went to the primary."""

    BAD_REQUEST = "bad_request"
    SQL_ERROR = "sql_error"
    KEY_REUSED = "key_reused"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_PRIMARY = "no_primary"
    REPLICAS_BEHIND = "replicas_behind"
    NO_HOME = "no_home"
    TRANSACTION_LOST = "transaction_lost"
    TRANSACTION_LIMIT = "transaction_limit"
    ANSWER_TOO_LARGE = "answer_too_large"
    CANCELLED = "cancelled"
    RETRY_BUDGET = "retry_budget"
    SHUTDOWN = "shutdown"
    UNSETTLED = "unsettled"


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Status that an upstream reports about itself.

    `promised` is the highest term it was fenced at, `log_term` the term of its
    last log entry, `received` and `applied` log indexes, `claim` the daemon
    incarnation that the group's claim row names. `heard_ms` is the time since a
    replica last heard its source (-1: the dialect cannot tell), `discarded` the
    number of entries that its last follow cut off its log.
    """

    upstream: str
    primary: bool
    promised: int
    log_term: int
    received: int
    applied: int
    claim: str = ""
    follows: str = ""
    heard_ms: float = -1.0
    discarded: int = 0

    @property
    def log_end(self):
        """The position of the last received entry."""
        return Position(term=self.log_term, index=self.received)

    @property
    def visible(self):
        """The position that reads at this upstream can see."""
        return Position(term=self.log_term, index=self.applied)


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """One SQL statement with its positional parameters."""

    sql: str
    params: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A caller's validated request.

    `deadline` is in seconds on the clock of the daemon that holds the request;
    `session` the position its token proves, `caller` an optional name within
    the member; `key` is always set for writes and commits, `keyed` says that the
    caller chose it. `hops` counts redirects between daemons. `current` asks a
    read to show everything acknowledged before it was asked, whatever its kind
    allows.
    """

    id: str
    verb: Verb
    database: str
    member: str
    deadline: float
    kind: str = ""
    caller: str = ""
    statement: Statement | None = None
    session: Position | None = None
    key: str = ""
    keyed: bool = False
    tx: str = ""
    hops: int = 0
    current: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What a statement produced."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected: int = 0
    last_id: int = 0
    replayed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The final answer to one request.

    `position` is what the caller's session must see from now on, `age_ms` the proven
    bound on the age of the data, `retry_after_s` when to retry (0: a retry does not
    help). `current` says that the data shows everything acknowledged before the request
    was asked.
    """

    request: str
    outcome: Outcome
    result: Result | None = None
    served_by: str = ""
    position: Position | None = None
    age_ms: float = 0.0
    reason: Reason | None = None
    detail: str = ""
    step: str = ""
    peer: str = ""
    retry_after_s: float = 0.0
    tx: str = ""
    key: str = ""
    current: bool = False
