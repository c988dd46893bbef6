"""Protocols that the session logic uses and its environment implements."""

from collections.abc import Callable, Set
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from gypsum_core.position import Position
from gypsum_sessions.replies import Reply, UpstreamStatus
from gypsum_sessions.statements import Statement
from gypsum_sessions.upstreams.roster import Member

Clock = Callable[[], float]
"""Monotonic seconds that include time spent suspended."""


class EventLog(Protocol):
    """Structured log: one call writes one event."""

    def __call__(self, part: str, event: str, **fields: Any) -> None:
        """Write one event."""


class UpstreamConn(Protocol):
    """An open connection to an upstream; runs statements in the order sent."""

    alive: bool

    async def ask(
        self,
        statement: Statement,
        *,
        timeout: float,
        request: str = "",
        after: Position | None = None,
    ) -> Reply:
        """Run a statement; raises UpstreamLost or UpstreamTimeout.

        `request` is the caller's request id, empty for the proxy's own statements. An
        upstream whose log has not reached the position `after` refuses.
        """

    def read_status(self, reply: Reply) -> UpstreamStatus:
        """Decode the reply to STATUS or to a replication command."""

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""


class Dialer(Protocol):
    """Opens connections to upstreams."""

    async def dial(
        self, member: Member, *, timeout: float, workspace: str = ""
    ) -> UpstreamConn:
        """Open a connection; raises UpstreamLost or UpstreamRefused.

        Its statements run in the name of `workspace`, in the proxy's own if empty.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionLease:
    """Permission to promote in a group; `token` rises with each takeover.

    `settled` is set once no promotion ordered under this token, or a lower one, can
    take effect any more. `chain_start` is the store's revision of the first lease after
    the last settled one, 0 if that is this lease. `resumes` maps the ids of members to
    the token under which they were told to resume replication, if that command may
    still be carried out.
    """

    holder: str
    token: int
    revision: int
    settled: bool = False
    chain_start: int = 0
    resumes: dict[str, int] = field(default_factory=dict)

    @property
    def takeover_start(self):
        """The store's revision since which takeovers may be in progress."""
        return self.chain_start or self.revision

    @property
    def next_chain_start(self):
        """The `chain_start` of a lease that is acquired after this one."""
        return 0 if self.settled or not self.token else self.takeover_start


class LeaseError(Exception):
    """The store could not be read or written; has the failed step and the peer."""

    def __init__(self, message, *, step, peer):
        super().__init__(f"{step}: {peer}: {message}")
        self.step = step
        self.peer = peer


class LeaseStore(Protocol):
    """Stores the promotion leases, shared by all daemons."""

    async def read(self, group: str) -> PromotionLease:
        """Read a lease; its holder is empty if it was never held."""

    async def read_all(self) -> tuple[dict[str, PromotionLease], int]:
        """Read all leases, by group, and the store's revision of that read."""

    async def acquire(
        self, group: str, holder: str, seen: PromotionLease
    ) -> PromotionLease | None:
        """Acquire the lease with a higher token if it is still at `seen.revision`.

        The new lease has the `resumes` of `seen`. Returns None if it has changed
        meanwhile. Raises LeaseError if the outcome is unknown.
        """

    async def settle(self, group: str, lease: PromotionLease) -> PromotionLease | None:
        """Mark a lease as settled; returns None if it has changed meanwhile."""

    async def update(self, group: str, lease: PromotionLease) -> PromotionLease | None:
        """Write a lease's fields; returns None if it has changed meanwhile."""


class MemberList(Protocol):
    """Reads the list of upstreams from the store."""

    async def read_all(self) -> tuple[list[Member], int]:
        """Read all listed upstreams, and the store's revision of that read.

        Raises LeaseError if that fails.
        """


class MemberRecords(Protocol):
    """Stores which members of each group may hold acknowledged commits."""

    async def read(self, group: str) -> list[Member] | None:
        """Read a group's record, None if there is none; raises LeaseError."""

    async def save(
        self, group: str, members: list[Member], departed: Set[str]
    ) -> list[Member] | None:
        """Add members to a group's record, or update them there.

        Of the others on record only the `departed` ones, by id, are dropped. Returns
        the record as written, None if another daemon has changed it meanwhile. Raises
        LeaseError if the outcome is unknown.
        """


class PromoteOutcome(StrEnum):
    """Outcome of a promotion order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_DONE = "not_done"
    UNANSWERED = "unanswered"


class Promoter(Protocol):
    """Orders promotions, fenced by the lease's token."""

    async def promote(
        self, group: str, upstream: str, holder: str, token: int
    ) -> PromoteOutcome:
        """Order the promotion of an upstream to primary for the next term."""
