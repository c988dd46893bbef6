"""What the shell tells the decision logic."""

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
class CallerGone(Event):
    """The caller hung up; its answer has nowhere to go."""

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
class InstancesListed(Event):
    """The platform's list of instances, as lagging as it is.

    Seeds from the settings come as revision 0, below any of the platform's.
    """

    instances: tuple[Instance, ...]
    revision: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedManifest:
    """A manifest that passed its border checks, with the text it came as."""

    spec: DatabaseSpec
    entry: ManifestEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class ManifestsSeen(Event):
    """Validated manifests from the platform or a peer (`source`)."""

    manifests: tuple[AcceptedManifest, ...]
    source: str
    complete: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainAsked(Event):
    """The process was asked to shut down gracefully."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEvent(Event):
    """Base of the answers to upstream actions: the same `op` and `database`."""

    op: int
    database: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusKnown(UpstreamEvent):
    """Answer to Probe, Fence, Promote, Follow and Claim."""

    status: Status


@dataclass(frozen=True, slots=True, kw_only=True)
class Ran(UpstreamEvent):
    """A statement ran; writes carry a position at or after their own commit."""

    result: Result
    position: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled(UpstreamEvent):
    """A key's outcome is final at `position`: its result, or None if barred."""

    result: Result | None
    position: Position


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(UpstreamEvent):
    """An upstream action failed.

    `sent` is False when it provably had no effect (refused, or rolled back).
    `reason` is set when the upstream itself refused for good. `stale` says that
    the upstream is no primary any more, `claim_lost` that the group's claim names
    another daemon; a transaction then is still open. `silent` says that no answer
    came in time, as opposed to an error.
    """

    sent: bool
    detail: str
    reason: Reason | None = None
    stale: bool = False
    claim_lost: bool = False
    silent: bool = False
