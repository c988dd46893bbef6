"""Planted faults: patches that each remove one safeguard from the product.

The random runs have to detect every one of them; a check that detects none proves
nothing.
"""

from contextlib import contextmanager
from unittest.mock import patch

from gypsum_sessions.callers.session import Session
from gypsum_sessions.daemons import remote
from gypsum_sessions.daemons.remote import RemoteAccess
from gypsum_sessions.execution import reads, transactions, writes
from gypsum_sessions.replies import Refusal, Reply
from gypsum_sessions.takeover.floors import Floors
from gypsum_sessions.takeover.replication import PausedReplica, ReplicationControl
from gypsum_sessions.upstreams import pooled
from gypsum_sessions.upstreams.pool import ConnPool


async def confirm_every_commit(group, position, leader, *, timeout):
    """Treat every commit as confirmed."""
    return True


def accept_any_floor(self, not_before):
    """Use floors of any age."""
    return self.known[0] if self.known else None


async def pause_nobody(self, old_primary, *, step_down, led_recently=True):
    """Promote by status replies alone, without pausing replication."""
    others = [item for item in self.group.upstreams.values() if item.id != old_primary]
    found = [(item, await self.status_of(item)) for item in others]
    known = [
        PausedReplica(upstream=item.id, leaving=False, status=status)
        for item, status in found
        if status is not None
    ]
    return known or None


def never_reset(pooled_conn, values, prepared, prepared_limit):
    """Keep the values of the last session on a connection."""
    return False


def report_as_not_run(group, job, item, exc):
    """Report a write without an answer as not run."""
    return Reply(refusal=Refusal.BUSY, detail="broken on purpose")


def send_again(group, job, item, exc):
    """Send a write without an answer again."""
    raise writes.NotSent("broken on purpose")


def forget_own_commits(first, second):
    """Ignore the position of a session's own commits."""
    return first


async def report_sent_commit_as_aborted(group, tx, job):
    """Report a COMMIT without an answer as rolled back."""
    reply = await ORIGINAL_COMMIT(group, tx, job)
    if reply.refusal is Refusal.IN_DOUBT:
        return transactions.aborted_reply("broken on purpose")
    return reply


ORIGINAL_COMMIT = transactions.commit


async def repeat_write(self, job):
    """Send a write to the next owner when its owner is lost."""
    return await self.run(job, repeatable=True)


def report_as_aborted(exc):
    """Report work that may have reached an upstream as rolled back."""
    return transactions.aborted_reply("broken on purpose")


async def wait_for_nothing(self):
    """Change session values whatever may still run."""
    return True


def take_idle_of_any_workspace(self, values, prefer_oldest=False, workspace=None):
    """Take an idle connection whichever workspace it was opened for."""
    return ORIGINAL_TAKE_IDLE(self, values, prefer_oldest)


ORIGINAL_TAKE_IDLE = ConnPool.take_idle

BREAKS = {
    "every commit counts as confirmed": [
        (writes, "is_confirmed", confirm_every_commit),
        (transactions, "is_confirmed", confirm_every_commit),
    ],
    "floors of any age are used": [(Floors, "since", accept_any_floor)],
    "replication is not paused": [(ReplicationControl, "pause_all", pause_nobody)],
    "connections are not reset": [(pooled, "needs_reset", never_reset)],
    "lost writes are reported as not run": [(writes, "lost_write", report_as_not_run)],
    "lost writes are sent again": [(writes, "lost_write", send_again)],
    "own commits are ignored": [(reads, "later", forget_own_commits)],
    "lost commits are reported as rolled back": [
        (transactions, "commit", report_sent_commit_as_aborted)
    ],
}

# Faults of statements that are forwarded to owners.
OWNER_BREAKS = {
    "lost owners' writes are sent again": [(RemoteAccess, "write", repeat_write)],
    "lost owners' commits are reported as rolled back": [
        (remote, "in_doubt", report_as_aborted)
    ],
}

# Faults of statements that may still run after their reply.
SLOW_BREAKS = {
    "values change while lost statements may run": [
        (Session, "wait_unfinished", wait_for_nothing),
    ],
}

# Faults of the workspaces in whose name statements run.
KEY_BREAKS = {
    "connections of any workspace are taken": [
        (ConnPool, "take_idle", take_idle_of_any_workspace),
    ],
}


@contextmanager
def apply_break(name):
    """Apply the patches of one planted fault."""
    changes = {**BREAKS, **OWNER_BREAKS, **KEY_BREAKS, **SLOW_BREAKS}[name]
    patches = [patch.object(*change) for change in changes]
    for item in patches:
        item.start()
    try:
        yield
    finally:
        for item in patches:
            item.stop()
