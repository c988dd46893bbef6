"""Messages between daemons."""

from dataclasses import dataclass

from gypsum_core.records import Answer, Request
from gypsum_core.spec import Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Base of all messages between daemons."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward(Message):
    """A request forwarded to the database's home.

    `deadline` inside the request is relative on the wire: the seconds that remain.
    """

    request: Request


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered(Message):
    """The home's final answer."""

    answer: Answer


@dataclass(frozen=True, slots=True, kw_only=True)
class Redirect(Message):
    """The home cannot serve the request but believes that `to` can."""

    request: str
    to: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Ping(Message):
    """Liveness check; `nonce` is returned in the `Pong`."""

    nonce: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Pong(Message):
    """The answer to a `Ping`; `leaving`: send no new work."""

    nonce: int
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AskPrimary(Message):
    """Asks whether an upstream responds to the peer, before it is replaced."""

    database: str
    upstream: str
    nonce: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryHeard(Message):
    """The answer to `AskPrimary`."""

    database: str
    upstream: str
    nonce: int
    heard: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TermNews(Message):
    """A promotion took place: the new primary and its term."""

    database: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Message):
    """The sender drains: send it no new work."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ManifestEntry:
    """One database's manifest at one version, in its JSON form."""

    database: str
    version: int
    body: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes(Message):
    """Manifests that are in force at the sender.

    `complete` says that the sender has sent all that it has and the peer lacks.
    """

    entries: tuple[ManifestEntry, ...]
    complete: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceChanges(Message):
    """What changed in the instance list from revision `base` to `revision`."""

    base: int
    revision: int
    changed: tuple[Instance, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class AskInstances(Message):
    """The sender missed a change of the instance list."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WholeList(Message):
    """The sender's whole instance list."""

    revision: int
    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Digest(Message):
    """A hash over the versions in force, and the revision of the instance list.

    A peer whose digest differs sends its versions; one with a newer list sends it.
    """

    digest: str
    revision: int = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseVersion:
    """The version in force of one database's manifest."""

    database: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Versions(Message):
    """The versions that the sender holds; `reply` requests the receiver's too."""

    versions: tuple[DatabaseVersion, ...]
    reply: bool = False
