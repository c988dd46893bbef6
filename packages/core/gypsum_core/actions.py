"""Actions that the decision logic returns for the shell to carry out."""

from dataclasses import dataclass

from gypsum_core.messages import Message
from gypsum_core.records import Answer, Position, Statement


@dataclass(frozen=True, slots=True, kw_only=True)
class Action:
    """Base of all actions."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamAction(Action):
    """Work at one upstream; its event carries the same `op` back.

    `timeout` is in seconds; after it the shell reports a `Failed` event.
    """

    op: int
    database: str
    upstream: str
    timeout: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe(UpstreamAction):
    """Request the upstream's status; `fresh` opens a new connection for it."""

    fresh: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence(UpstreamAction):
    """Make the upstream promise a strictly higher term."""

    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Promote(UpstreamAction):
    """Make the upstream primary of the term that it promised."""

    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Follow(UpstreamAction):
    """Make the upstream replicate from `primary` at `term`."""

    term: int
    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim(UpstreamAction):
    """Name `holder` as the one daemon whose writes the primary accepts."""

    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Read(UpstreamAction):
    """Run a read-only statement."""

    statement: Statement


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerRow:
    """The ledger's entry for one write: member, idempotency key, fingerprint."""

    member: str
    key: str
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Write(UpstreamAction):
    """Run a write and its ledger row in one transaction, guarded by the claim."""

    statement: Statement
    row: LedgerRow
    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Settle(UpstreamAction):
    """Find out whether a key was written; if not, block a later write of it."""

    row: LedgerRow


@dataclass(frozen=True, slots=True, kw_only=True)
class TxBegin(UpstreamAction):
    """Open a transaction on a connection of its own."""

    tx: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TxRun(UpstreamAction):
    """Run one statement in an open transaction."""

    tx: str
    statement: Statement


@dataclass(frozen=True, slots=True, kw_only=True)
class TxCommit(UpstreamAction):
    """Insert the ledger row and commit an open transaction."""

    tx: str
    row: LedgerRow
    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TxAbort(UpstreamAction):
    """Roll back a transaction and discard its connection; no event follows."""

    tx: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Abandon(UpstreamAction):
    """Abort a running `op`; its connection is discarded, never reused."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DropConnections(Action):
    """Close the idle connections to an upstream because they no longer respond."""

    database: str
    upstream: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SetPoolSize(Action):
    """Keep `connections` open to an upstream, and never more than `limit`."""

    database: str
    upstream: str
    connections: int
    limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Send(Action):
    """Send a message to another daemon."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class DropLink(Action):
    """Close the link to an unresponsive daemon; the next send opens a new one."""

    peer: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply(Action):
    """Give a caller of this daemon its final answer."""

    answer: Answer


@dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer(Action):
    """Deliver `TimerFired` with the same `timer` at time `at`."""

    at: float
    timer: "Timer"


@dataclass(frozen=True, slots=True, kw_only=True)
class Timer:
    """Purpose of a timer: the component that set it, and one word of detail."""

    part: str
    database: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordStatus(Action):
    """Report the primary and its position to the platform, best effort."""

    database: str
    primary: str
    position: Position


@dataclass(frozen=True, slots=True, kw_only=True)
class Log(Action):
    """Write one log line; `part` is its prefix."""

    part: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Exit(Action):
    """The drain is complete: the process may exit."""
