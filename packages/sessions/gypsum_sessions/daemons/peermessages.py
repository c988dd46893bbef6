"""Messages between daemons, encoded as CBOR: statement requests and feed updates.

Fields are encoded by position. Add a new field at the end and give it a default, since
daemons of two versions exchange messages during a rolling upgrade. A field added in the
middle makes messages undecodable, which closes the links and leaves requests in flight
in doubt.
"""

import cbor2
from msgspec import Struct, ValidationError, convert, to_builtins

from gypsum_core.position import Position
from gypsum_policy.credentials import ANONYMOUS, Credential
from gypsum_policy.ratelimit import Cap
from gypsum_policy.relays import UNREPORTED_AGE
from gypsum_sessions.catalog import Route
from gypsum_sessions.replies import Reply
from gypsum_sessions.statements import Statement

# Longest message that a link carries, bytes. A longer one would close the link, and all
# statements on it would be lost.
MESSAGE_LIMIT = 8 << 20


class MessageError(ValueError):
    """Raised for bytes that are not a valid message between daemons."""


class StatementRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="ask"):
    """Request to run a caller's statement.

    `call` identifies the request on its link. `left` is the time in seconds that the
    statement still has; a duration, since the clocks of two instances can't be
    compared. `transaction` is the number of its transaction on this link, 0 outside of
    one; the `first` statement opens it, for writing if `opens_writing`. `values_set`:
    the caller has set a value inside the transaction, which the end of the transaction
    undoes. `if_led`: run it only on an owner that has proven a primary. `last_resort`:
    the other owners were tried and could not run it. `hears_ends`: the sender wants a
    `ReadEnded` once an answered statement no longer runs. `credential` is what the
    caller authenticated with.
    """

    call: int
    request: str
    statement: Statement
    route: Route
    left: float
    values: dict[str, str]
    prepared: tuple[tuple[str, bool], ...] = ()
    own_floor: Position | None = None
    transaction: int = 0
    first: bool = False
    opens_writing: bool = False
    values_set: bool = False
    if_led: bool = False
    last_resort: bool = False
    hears_ends: bool = False
    credential: Credential = ANONYMOUS


class StatementResponse(
    Struct, frozen=True, kw_only=True, array_like=True, tag="answer"
):
    """Complete response to one statement request.

    `role` tells whether the leader or a replica ran it. For up to `unfinished` seconds
    the statement may still run: a read at another upstream that it was sent to as well,
    or any statement that outlasted its timeout; `ReadEnded` follows. `queue` is the
    estimated queueing time in seconds if the statement was refused because of it.
    `unable`: nothing ran, for a reason that concerns this owner only, so another owner
    may be able to run it. `orphaned`: an attempt was sent to an upstream, and the owner
    can't tell whether it still runs. `left_out` gives the reason for each upstream that
    a read was last not sent to. `accepts_abandon`: the owner understands
    `AbandonStatement`. `wait_ms`: expected wait at this owner for the same kind of work
    of the same workspace, 0 if it would start at once; `pace_ms`: the time that each
    further statement adds to it.
    """

    call: int
    reply: Reply
    tried: tuple[str, ...] = ()
    served_by: str = ""
    role: str = ""
    floor: Position | None = None
    floor_age: float = 0.0
    unable: bool = False
    unfinished: float = 0.0
    queue: float = 0.0
    orphaned: bool = False
    left_out: dict[str, str] = {}
    accepts_abandon: bool = False
    wait_ms: int = 0
    pace_ms: int = 0


class AbandonStatement(
    Struct, frozen=True, kw_only=True, array_like=True, tag="abandon"
):
    """The caller of a statement has left: don't start it if it is not running yet.

    The statement is still answered. Sent only to an owner that has shown, by
    `accepts_abandon`, that it understands the message.
    """

    call: int


class ReadEnded(Struct, frozen=True, kw_only=True, array_like=True, tag="read ended"):
    """A statement that was answered as unfinished no longer runs anywhere.

    Unless it is `orphaned`: the owner gave up waiting for an upstream that may still
    run it.
    """

    call: int
    orphaned: bool = False


class EndTransaction(Struct, frozen=True, kw_only=True, array_like=True, tag="end"):
    """Roll back a transaction of this link if it is open."""

    transaction: int


class Leaving(Struct, frozen=True, kw_only=True, array_like=True, tag="leaving"):
    """The owner is draining: send new requests to another one.

    It is the first message on each link to a draining daemon. For `opens_for` seconds
    the owner still opens transactions that no other daemon can open.
    """

    opens_for: float = 0.0


class ServeGroup(Struct, frozen=True, kw_only=True, array_like=True, tag="take up"):
    """Prepare to own a group because all of its owners are draining."""

    group: str


class LeaderRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="leads?"):
    """Ask when the receiver last proved a group's primary."""

    call: int
    group: str


class LeaderResponse(Struct, frozen=True, kw_only=True, array_like=True, tag="leads"):
    """Seconds since the last proof of the primary; None if there is none.

    `shown` is the highest position that the newest primary showed to this daemon, in a
    proof or with a commit; None if none is known.
    """

    call: int
    proof_age: float | None = None
    shown: Position | None = None


class GrantRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="leave?"):
    """Request permission to begin a number of operations of a workspace.

    `cap` is the cap known to the requesting daemon. `forwarded`: that daemon was itself
    asked by another one. `waiting` tells for each priority how many operations wait and
    how many seconds they may wait to begin. `elsewhere` has the operations that other
    homes granted to the `reporter` within the last window and that the receiver has not
    confirmed: the granter, a number of the time slot, how many seconds ago, how many.
    """

    call: int
    workspace: str
    wanted: int
    cap: Cap
    forwarded: bool = False
    waiting: tuple[tuple[int, int, float], ...] = ()
    reporter: str = ""
    elsewhere: tuple[tuple[str, int, float, int], ...] = ()


class GrantResponse(Struct, frozen=True, kw_only=True, array_like=True, tag="leave"):
    """Number of operations granted; the next one may begin after `wait` seconds.

    `granter` is the daemon that granted them. `priorities` has for each priority of the
    request how many may begin at once, after how many seconds each further one may
    begin, and when the first refused one should return.
    """

    call: int
    granted: int
    wait: float = 0.0
    granter: str = ""
    priorities: tuple[tuple[int, int, tuple[float, ...], float], ...] = ()


class Follow(Struct, frozen=True, kw_only=True, array_like=True, tag="follow"):
    """Subscribe to updates of feeds, starting after the given known revisions."""

    revisions: dict[str, int]


class Unfollow(Struct, frozen=True, kw_only=True, array_like=True, tag="unfollow"):
    """Cancel the subscription to feed updates."""


class FeedUpdate(Struct, frozen=True, kw_only=True, array_like=True, tag="news"):
    """Changes of a feed up to a revision: changed objects by name, and removed names.

    It contains all changes after `since`. If it is `whole`, no other objects exist.
    """

    feed: str
    revision: int
    changed: dict[str, dict]
    since: int = 0
    removed: tuple[str, ...] = ()
    whole: bool = False


class FeedState(Struct, frozen=True, kw_only=True, array_like=True):
    """A feed is known up to `revision`; its last change was at `since`.

    `age` is how many seconds ago the store is known to have had no later changes.
    """

    since: int
    revision: int
    age: float = UNREPORTED_AGE


class Heartbeat(Struct, frozen=True, kw_only=True, array_like=True, tag="current"):
    """Feeds that the sender has confirmed with the store.

    `watches` tells whether the sender watches the store; otherwise it is of no use to a
    follower.
    """

    feeds: dict[str, FeedState]
    watches: bool = True


class FetchList(Struct, frozen=True, kw_only=True, array_like=True, tag="fetch"):
    """Request a feed's whole list, whatever its size."""

    feed: str


class ListPiece(Struct, frozen=True, kw_only=True, array_like=True, tag="piece"):
    """One of `total` pieces of a packed list; `number` counts from 0."""

    feed: str
    revision: int
    number: int
    total: int
    data: bytes


Message = (
    StatementRequest
    | StatementResponse
    | ReadEnded
    | EndTransaction
    | Leaving
    | ServeGroup
    | LeaderRequest
    | LeaderResponse
    | GrantRequest
    | GrantResponse
    | Follow
    | Unfollow
    | FeedUpdate
    | Heartbeat
    | FetchList
    | ListPiece
    | AbandonStatement
)


def encode(message):
    """Encode a message to bytes."""
    return cbor2.dumps(to_builtins(message, builtin_types=(bytes,)))


def decode(data):
    """Decode a message; raises MessageError for invalid bytes."""
    try:
        return convert(cbor2.loads(data), type=Message, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, ValidationError, ValueError, TypeError) as exc:
        raise MessageError(f"invalid message: {exc}") from exc
