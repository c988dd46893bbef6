"""Access to a database group: local connections, or another daemon that owns it."""

from typing import Protocol

from gypsum_sessions.catalog import Route
from gypsum_sessions.daemons.remote import RemoteAccess
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.execution.reads import run_read
from gypsum_sessions.execution.transactions import Transaction
from gypsum_sessions.execution.writes import run_write
from gypsum_sessions.replies import Reply


class OpenTransaction(Protocol):
    """A session's transaction, on a local connection or on an owner's."""

    route: Route
    arrived: float
    wrote: bool
    values_set: bool

    async def run(self, job: Job) -> Reply:
        """Run a statement; any failure has rolled the transaction back."""

    async def commit(self, job: Job) -> Reply:
        """Commit; the reply says committed, not committed or in doubt."""

    async def close(self) -> None:
        """Roll back if the transaction is open."""


class GroupAccess(Protocol):
    """Runs a session's statements in one group."""

    async def read(self, job: Job) -> Reply:
        """Run a read outside a transaction."""

    async def write(self, job: Job) -> Reply:
        """Run a write outside a transaction, at most once."""

    def begin(self, *, route: Route, writes: bool, arrived: float) -> OpenTransaction:
        """Return a transaction that takes its connection at the first statement."""


class LocalAccess:
    """Access to a group that this daemon owns and holds connections to.

    While this daemon cannot reach the primary and another owner can, statements are
    forwarded there. Otherwise, with the path to the primary cut or the primary at its
    connection limit, all callers of this daemon would wait and then be refused.
    """

    def __init__(self, *, group, reach):
        self.group = group
        self.reach = reach

    def remote_access(self):
        """Return access through owners that reach the primary.

        None if this daemon reaches it, or no owner does.
        """
        helpers = self.reach.confirming_daemons()
        if not helpers:
            return None
        return RemoteAccess(
            spec=self.group.spec,
            context=self.group.context,
            peers=self.reach.peers,
            helpers=helpers,
        )

    async def read(self, job):
        """Run a read, forwarded if the primary is out of reach."""
        remote = self.remote_access()
        reply = await remote.read(job) if remote is not None else None
        return reply or await run_read(self.group, job)

    async def write(self, job):
        """Run a write; locally if no owner took it, to wait for the next primary."""
        remote = self.remote_access()
        reply = await remote.write(job) if remote is not None else None
        return reply or await run_write(self.group, job)

    def begin(self, *, route, writes, arrived):
        """Return a transaction on local connections or on those of another owner."""
        remote = self.remote_access()
        if remote is not None:
            return remote.begin(route=route, writes=writes, arrived=arrived)
        return Transaction(
            group=self.group, route=route, writes=writes, arrived=arrived
        )
