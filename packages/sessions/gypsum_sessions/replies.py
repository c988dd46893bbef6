"""Replies, refusals, and errors of upstream connections."""

from dataclasses import dataclass
from enum import StrEnum

from gypsum_core.position import Position


class Refusal(StrEnum):
    """Why a statement has no result.

    `NOT_RUN` has those that mean, from an upstream, that the statement did not run.
    """

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


# Detail of refusals after the caller's key was withdrawn.
KEY_WITHDRAWN = "the key is not in force any more"
# Refusals by an upstream that mean that the statement did not run.
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
    """State of a session between statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The complete reply to one statement.

    `proof` is the upstream's own evidence that it ran the statement, empty if the proxy
    answered. `position` is the upstream's log position when it answered.
    `retry_after_ms` is set on refusals of work that has not run.
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
        """Whether the statement succeeded."""
        return self.refusal is None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """Status that an upstream reports.

    `paused_term` is the term for which replication is paused, 0 if it is running;
    `received` is the end of its log, including entries that are not applied yet.
    """

    leads: bool
    term: int
    received: Position
    paused_term: int
    lag_ms: float


class UpstreamError(Exception):
    """An upstream gave no usable answer; has the failed step and the upstream."""

    def __init__(self, message, *, step, peer):
        super().__init__(f"{step}: {peer}: {message}")
        self.step = step
        self.peer = peer


class UpstreamLost(UpstreamError):
    """The connection broke, or could not be opened.

    `sent` is False if the statement certainly never left this process.
    """

    def __init__(self, message, *, step, peer, sent=True):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class UpstreamTimeout(UpstreamError):
    """No answer arrived in time; the statement may have run or may run later."""


class NoFreeConnection(UpstreamTimeout):
    """All connections of this daemon to an upstream are in use; nothing was sent."""


class UpstreamRefused(UpstreamError):
    """The upstream refused the connection, so nothing ran."""

    def __init__(self, message, *, step, peer, refusal):
        super().__init__(message, step=step, peer=peer)
        self.refusal = refusal
        self.detail = message

    @property
    def at_limit(self):
        """Whether the upstream is alive, and merely at its connection limit."""
        return self.refusal is Refusal.CONNECTION_LIMIT


class StateRejected(UpstreamError):
    """The upstream refused a session's value or prepared statement as invalid.

    `reply` is the refusal of the statement that needed it, which has not run. Another
    attempt would be refused too.
    """

    def __init__(self, message, *, step, peer, reply):
        super().__init__(message, step=step, peer=peer)
        self.reply = reply


class UpstreamBusy(UpstreamError):
    """The upstream is alive, but its queue is full; nothing ran."""
