"""Messages between daemons, as CBOR: statements to owners, news of the store.

Fields go by their place. A new one comes last and has a default, for daemons of two
versions talk to each other while a fleet is rolled; one in the middle closes the links
between them, and what was on its way is in doubt.
"""

import cbor2
from msgspec import Struct, ValidationError, convert, to_builtins

from gypsum_core.records import Position
from gypsum_policy.credentials import NOBODY, Credential
from gypsum_policy.usage import Cap
from gypsum_sessions.catalog import Route
from gypsum_sessions.replies import Reply
from gypsum_sessions.statements import Statement


class MessageError(ValueError):
    """Bytes that are no message between daemons."""


class StatementRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="ask"):
    """Run a caller's statement.

    `call` numbers the question on its link. `left` is the time in seconds that the
    statement still has: clocks of two instances can't be compared. `transaction` is
    the number of the transaction on this link that it belongs to, 0 outside; its
    `first` statement opens it, for writing if `opens_writing`. `values_set`: the caller
    has set a value inside it, which its end undoes. `if_led`: only from an owner that
    has proven a primary. `last_resort`: others were asked and could not. `hears_ends`:
    who asks wants to be told when a read that is answered runs nowhere any more.
    `credential` is what the caller was let in with.
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
    credential: Credential = NOBODY


class StatementResponse(
    Struct, frozen=True, kw_only=True, array_like=True, tag="answer"
):
    """The whole reply to one question.

    `role` tells whether the leader or a replica ran it. For `unfinished` seconds it may
    still run at another upstream that was asked as well; `ReadEnded` follows. `queue`
    is the time in seconds that those before it would have taken, where that was too
    long. `unable`: nothing ran, and the fault is this owner's, so that another one may
    well be able.
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


class ReadEnded(Struct, frozen=True, kw_only=True, array_like=True, tag="read ended"):
    """A read that was answered as unfinished runs nowhere any more."""

    call: int


class EndTransaction(Struct, frozen=True, kw_only=True, array_like=True, tag="end"):
    """Roll back a transaction of this link if it is open."""

    transaction: int


class Leaving(Struct, frozen=True, kw_only=True, array_like=True, tag="leaving"):
    """The owner drains: ask another one from now on.

    The first word on each link that is opened to one that drains. For `opens_for`
    seconds it still opens transactions, if nobody else can.
    """

    opens_for: float = 0.0


class ServeGroup(Struct, frozen=True, kw_only=True, array_like=True, tag="take up"):
    """Be ready to own a group: those that own it leave."""

    group: str


class LeaderRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="leads?"):
    """When have you proven a group's primary?"""

    call: int
    group: str


class LeaderResponse(Struct, frozen=True, kw_only=True, array_like=True, tag="leads"):
    """Seconds since the last proof of the primary; None if there is none."""

    call: int
    proof_age: float | None = None


class GrantRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="leave?"):
    """May so many operations of a workspace begin?

    `cap` is the one that the asking daemon knows, `forwarded` says that it was itself
    asked by another one.
    """

    call: int
    workspace: str
    wanted: int
    cap: Cap
    forwarded: bool = False


class GrantResponse(Struct, frozen=True, kw_only=True, array_like=True, tag="leave"):
    """So many may; the next one after `wait` seconds."""

    call: int
    granted: int
    wait: float = 0.0


class Follow(Struct, frozen=True, kw_only=True, array_like=True, tag="follow"):
    """Pass on what is new in some feeds, after the revisions that are known."""

    revisions: dict[str, int]


class Unfollow(Struct, frozen=True, kw_only=True, array_like=True, tag="unfollow"):
    """Pass on nothing any more."""


class FeedUpdate(Struct, frozen=True, kw_only=True, array_like=True, tag="news"):
    """What is new in a feed up to a revision: objects by name, and those removed.

    All changes after `since` are in it. If it is `whole` there are no other objects.
    """

    feed: str
    revision: int
    changed: dict[str, dict]
    since: int = 0
    removed: tuple[str, ...] = ()
    whole: bool = False


class FeedState(Struct, frozen=True, kw_only=True, array_like=True):
    """How far a feed is known: up to `revision`, with no change after `since`."""

    since: int
    revision: int


class Heartbeat(Struct, frozen=True, kw_only=True, array_like=True, tag="current"):
    """Feeds for which the sender is in touch with the store.

    One that does not watch the store is of no use to who follows it.
    """

    feeds: dict[str, FeedState]
    watches: bool = True


class FetchList(Struct, frozen=True, kw_only=True, array_like=True, tag="fetch"):
    """Send a feed's whole list, however large."""

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
)


def encode(message):
    """A message as bytes."""
    return cbor2.dumps(to_builtins(message, builtin_types=(bytes,)))


def decode(data):
    """A message from bytes; raises MessageError for what is none."""
    try:
        return convert(cbor2.loads(data), type=Message, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, ValidationError, ValueError, TypeError) as exc:
        raise MessageError(f"no message: {exc}") from exc
