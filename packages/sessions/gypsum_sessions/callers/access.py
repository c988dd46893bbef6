"""How a session's statements reach a group: here, or at an owner of it."""

from typing import Protocol

from gypsum_sessions.catalog import Route
from gypsum_sessions.daemons.remote import RemoteAccess
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.execution.reads import run_read
from gypsum_sessions.execution.transactions import Transaction
from gypsum_sessions.execution.writes import run_write
from gypsum_sessions.replies import Reply


class OpenTransaction(Protocol):
    """One transaction of a session, wherever its connection is."""

    route: Route
    arrived: float
    wrote: bool
    values_set: bool

    async def run(self, job: Job) -> Reply:
        """Run a statement; anything but success has rolled the transaction back."""

    async def commit(self, job: Job) -> Reply:
        """COMMIT; the reply says whether it is kept, is not, or is in doubt."""

    async def close(self) -> None:
        """Roll back if anything is open."""


class GroupAccess(Protocol):
    """Runs a session's statements in one group."""

    async def read(self, job: Job) -> Reply:
        """Run a single read."""

    async def write(self, job: Job) -> Reply:
        """Run a single write, at most once."""

    def begin(self, *, route: Route, writes: bool, arrived: float) -> OpenTransaction:
        """A transaction that opens with its first statement."""


class LocalAccess:
    """A group whose connections this daemon holds.

    While it does not reach the primary and another owner does, statements go there.
    What goes wrong otherwise: a path to the primary is cut, or it takes no further
    connection, and all callers of this daemon wait and are turned away.
    """

    def __init__(self, *, group, reach):
        self.group = group
        self.reach = reach

    def remote_access(self):
        """The way over owners that reach the primary; None if we do, or nobody does."""
        helpers = self.reach.helpers()
        if not helpers:
            return None
        return RemoteAccess(
            spec=self.group.spec,
            around=self.group.around,
            peers=self.reach.peers,
            helpers=helpers,
        )

    async def read(self, job):
        """Run a read."""
        remote = self.remote_access()
        reply = await remote.read(job) if remote is not None else None
        return reply or await run_read(self.group, job)

    async def write(self, job):
        """Run a write; here if no helper took it, to wait for the next primary."""
        remote = self.remote_access()
        reply = await remote.write(job) if remote is not None else None
        return reply or await run_write(self.group, job)

    def begin(self, *, route, writes, arrived):
        """A transaction over our own connections, or those of another owner."""
        remote = self.remote_access()
        if remote is not None:
            return remote.begin(route=route, writes=writes, arrived=arrived)
        return Transaction(
            group=self.group, route=route, writes=writes, arrived=arrived
        )
