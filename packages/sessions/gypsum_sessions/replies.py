"""Replies of upstreams, refusals, and the errors of a lost upstream."""

from dataclasses import dataclass
from enum import StrEnum

from gypsum_core.records import Position


class Refusal(StrEnum):
    """Why a statement has no result. See `NOT_KEPT` for what each promises."""

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    WRONG_UPSTREAM = "wrong_upstream"
    CONNECTION_LIMIT = "connection_limit"
    IN_DOUBT = "in_doubt"
    TIMEOUT = "timeout"
    FAILED = "failed"
    UNKNOWN_NAME = "unknown_name"
    UNKNOWN_DATABASE = "unknown_database"
    UNKNOWN_KEY = "unknown_key"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"


# Why work of a caller is refused whose key was withdrawn.
KEY_WITHDRAWN = "the key is not in force any more"
# Refusals by an upstream that say that the statement did not run.
NOT_RUN = frozenset(
    {
        Refusal.BUSY,
        Refusal.LAGGING,
        Refusal.READ_ONLY,
        Refusal.WRONG_UPSTREAM,
        Refusal.CONNECTION_LIMIT,
        Refusal.UNKNOWN_NAME,
        Refusal.MALFORMED,
    }
)


class SessionState(StrEnum):
    """Where a session stands between statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The whole answer to one statement.

    `proof` is the upstream's own mark that it ran the statement, empty when the
    proxy answered. `position` is the upstream's log position when it answered.
    `retry_after_ms` goes with refusals of work that has not run.
    """

    rows: tuple[str, ...] = ()
    proof: str = ""
    refusal: Refusal | None = None
    detail: str = ""
    state: SessionState = SessionState.IDLE
    position: Position | None = None
    retry_after_ms: int = 0

    @property
    def ok(self):
        """Tell whether the statement succeeded."""
        return self.refusal is None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """What an upstream says of itself.

    `paused_term` is the term that replication is paused for, 0 when it is not;
    `received` the end of its log, whether applied yet or not.
    """

    leads: bool
    term: int
    received: Position
    paused_term: int
    lag_ms: float


class UpstreamError(Exception):
    """An upstream gave no usable answer; says at which step and which one."""

    def __init__(self, message, *, step, peer):
        super().__init__(f"{step}: {peer}: {message}")
        self.step = step
        self.peer = peer


class UpstreamLost(UpstreamError):
    """The connection broke, or could not be opened.

    `sent` is False when the statement provably never left this process.
    """

    def __init__(self, message, *, step, peer, sent=True):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class UpstreamTimeout(UpstreamError):
    """No answer came in time; the statement may have run or may run later."""


class NoFreeConnection(UpstreamTimeout):
    """All of our own connections to an upstream stayed in use; nothing was sent."""


class UpstreamRefused(UpstreamError):
    """The upstream turned the connection away, so nothing ran."""

    def __init__(self, message, *, step, peer, refusal):
        super().__init__(message, step=step, peer=peer)
        self.refusal = refusal
        self.detail = message

    @property
    def at_limit(self):
        """Tell whether it merely takes no further connection, and is alive."""
        return self.refusal is Refusal.CONNECTION_LIMIT


class UpstreamBusy(UpstreamError):
    """The upstream is alive and its queue is full; nothing ran."""
