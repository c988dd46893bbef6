"""What the session logic needs from its surroundings, as protocols."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from gypsum_core.records import Position
from gypsum_sessions.replies import Reply, UpstreamStatus
from gypsum_sessions.statements import Statement
from gypsum_sessions.upstreams.roster import Member

Clock = Callable[[], float]
"""Seconds that never run backwards and count time spent suspended."""


class EventLog(Protocol):
    """Structured log: one call a decision."""

    def __call__(self, part: str, event: str, **fields: Any) -> None:
        """Write one line."""


class UpstreamConn(Protocol):
    """One open connection to an upstream; statements run in the order asked."""

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

        `request` is the caller's id, empty for the proxy's own statements. With
        `after`, an upstream whose log lacks that position refuses.
        """

    def read_status(self, reply: Reply) -> UpstreamStatus:
        """Decode the reply to STATUS and to the replication commands."""

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""


class Dialer(Protocol):
    """Opens connections to upstreams."""

    async def dial(
        self, member: Member, *, timeout: float, workspace: str = ""
    ) -> UpstreamConn:
        """Open a connection; raises UpstreamLost or UpstreamRefused.

        Its statements run in the name of `workspace`, in our own if that is empty.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionLease:
    """Who may promote in a group: `token` rises with each take-over.

    `settled` says that no order under this token, or a lower one, can have an effect
    any more. `chain_start` is the store's revision of the first lease after the last
    settled one, 0 if that is this lease.
    """

    holder: str
    token: int
    revision: int
    settled: bool = False
    chain_start: int = 0

    @property
    def takeover_start(self):
        """The store's revision since which takeovers may be under way."""
        return self.chain_start or self.revision

    @property
    def next_chain_start(self):
        """The `chain_start` of a lease that is taken after this one."""
        return 0 if self.settled or not self.token else self.takeover_start


class LeaseError(Exception):
    """The lease could not be read or taken; says at which step and why."""

    def __init__(self, message, *, step, peer):
        super().__init__(f"{step}: {peer}: {message}")
        self.step = step
        self.peer = peer


class LeaseStore(Protocol):
    """Keeps the promotion leases where all daemons see them."""

    async def read(self, group: str) -> PromotionLease:
        """The lease as it stands; holder empty if nobody had it yet."""

    async def read_all(self) -> tuple[dict[str, PromotionLease], int]:
        """All leases by group, and the store's revision at which they stood so."""

    async def acquire(
        self, group: str, holder: str, seen: PromotionLease
    ) -> PromotionLease | None:
        """Take over with a higher token if the lease is still at `seen.revision`.

        None: somebody else changed it. Raises LeaseError when it is unclear.
        """

    async def settle(self, group: str, lease: PromotionLease) -> PromotionLease | None:
        """Mark a lease as settled if it is still as it was; None if it is not."""


class MemberList(Protocol):
    """The list of upstreams, read afresh."""

    async def read_all(self) -> list[Member]:
        """All listed upstreams; raises LeaseError when the list can't be had."""


class MemberRecords(Protocol):
    """Keeps each group's members where a daemon finds them at its start."""

    async def save(self, group: str, members: list[Member]) -> None:
        """Replace a group's record; raises LeaseError if that is unclear."""


class PromoteOutcome(StrEnum):
    """What became of an order to promote."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_DONE = "not_done"
    UNANSWERED = "unanswered"


class Promoter(Protocol):
    """Orders promotions; the order is fenced by the lease's token."""

    async def promote(
        self, group: str, upstream: str, holder: str, token: int
    ) -> PromoteOutcome:
        """Order that an upstream leads its group's next term."""
