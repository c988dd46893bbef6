"""Events that the shell passes to the decision logic."""

from dataclasses import dataclass

from gypsum_core.actions import Timer
from gypsum_core.messages import ManifestEntry, Message
from gypsum_core.records import Position, Reason, Request, Result, Status
from gypsum_core.spec import DatabaseSpec, Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Base of all events."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest(Event):
    """A request arrived from a caller of this daemon."""

    request: Request


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerDisconnected(Event):
    """The caller disconnected; its answer cannot be delivered."""

    request: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessage(Event):
    """A message from another daemon."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLost(Event):
    """The link to another daemon broke or could not be opened."""

    peer: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired(Event):
    """A timer set earlier is due."""

    timer: Timer


@dataclass(frozen=True, slots=True, kw_only=True)
class InstancesReceived(Event):
    """The platform's list of instances, which may lag.

    Seeds from the settings come as revision 0, below any of the platform's.
    """

    instances: tuple[Instance, ...]
    revision: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedManifest:
    """A manifest that passed validation, with the text it was received as."""

    spec: DatabaseSpec
    entry: ManifestEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class ManifestsReceived(Event):
    """Validated manifests from the platform or a peer (`source`)."""

    manifests: tuple[AcceptedManifest, ...]
    source: str
    complete: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequested(Event):
    """The process was asked to shut down gracefully."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEvent(Event):
    """Base of the results of upstream actions, with their `op` and `database`."""

    op: int
    database: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusReceived(UpstreamEvent):
    """Answer to Probe, Fence, Promote, Follow and Claim."""

    status: Status


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementCompleted(UpstreamEvent):
    """A statement completed; writes carry a position at or after their own commit."""

    result: Result
    position: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled(UpstreamEvent):
    """A key's outcome is final at `position`: its result, or None if blocked."""

    result: Result | None
    position: Position


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(UpstreamEvent):
    """An upstream action failed.

    `sent` is False when it provably had no effect (refused, or rolled back).
    `reason` is set if the upstream itself refused the action permanently. `stale`
    says that the upstream is no longer primary, `claim_lost` that the group's claim
    names another daemon; a transaction is then still open. `silent` marks a timeout,
    as opposed to an error.
    """

    sent: bool
    detail: str
    reason: Reason | None = None
    stale: bool = False
    claim_lost: bool = False
    silent: bool = False
