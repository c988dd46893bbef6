"""Reads leases again when what is known of them is too old to confirm commits."""

import asyncio
from dataclasses import dataclass

from gypsum_sessions.interfaces import LeaseError

PART = "lease"
# No lease is read for this long after the store has not answered, seconds.
RETRY_AFTER = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseCall:
    """A call to the store that is under way, and when it began."""

    task: asyncio.Task
    asked_at: float


class LeaseReader:
    """Reads single leases; all commits that wait for a group's lease share one call.

    A call takes milliseconds, but seconds if the store does not answer. Nobody waits
    for it longer than `patience`, seconds.
    """

    def __init__(self, *, leases, lease_view, clock, patience, log):
        self.leases = leases
        self.lease_view = lease_view
        self.clock = clock
        self.patience = patience
        self.log = log
        self.calls = {}
        self.retry_at = float("-inf")

    def request(self, group):
        """Have a group's lease read; return whether the store is likely to answer."""
        call = self.calls.get(group) or self.start(group)
        return call is not None and self.clock() - call.asked_at < self.patience

    async def read(self, group, since):
        """Read a group's lease as it was at `since` or later, if the store answers."""
        until = self.clock() + self.patience
        while self.lease_view.must_read(group, since) and self.clock() < until:
            call = self.calls.get(group) or self.start(group)
            if call is None:
                return
            await asyncio.wait([call.task], timeout=until - self.clock())

    def start(self, group):
        """Start a call for a group's lease; None so soon after a failed one."""
        asked_at = self.clock()
        if asked_at < self.retry_at:
            return None
        task = asyncio.create_task(self.call(group, asked_at))
        call = self.calls[group] = LeaseCall(task=task, asked_at=asked_at)
        task.add_done_callback(lambda _: self.calls.pop(group))
        return call

    async def call(self, group, asked_at):
        """Ask the store for a group's lease and record it."""
        try:
            lease = await self.leases.read(group)
        except LeaseError as exc:
            self.retry_at = self.clock() + RETRY_AFTER
            self.log(PART, "lease not read", group=group, error=str(exc))
            return
        self.lease_view.record_read(group, lease, asked_at)
