"""Deliberate breaks of the product: each takes one protection away.

The random runs have to notice them; a check that finds no planted break proves
nothing.
"""

from contextlib import contextmanager
from unittest.mock import patch

from gypsum_sessions.daemons import remote
from gypsum_sessions.daemons.remote import RemoteAccess
from gypsum_sessions.execution import reads, transactions, writes
from gypsum_sessions.replies import Refusal, Reply
from gypsum_sessions.takeover.floors import Floors
from gypsum_sessions.takeover.replication import Paused, ReplicationControl
from gypsum_sessions.upstreams import pooled
from gypsum_sessions.upstreams.pool import ConnPool


async def pass_on_every_commit(group, position, leader, *, patience):
    """Commits are passed on unconfirmed."""
    return True


def oldest_floor(self, not_before):
    """Floors of any age will do."""
    return self.known[0] if self.known else None


async def pause_nobody(self, old, *, step_down, sure=True):
    """Promote by statuses alone, with replication running, whoever answers."""
    others = [item for item in self.group.upstreams.values() if item.id != old]
    found = [(item, await self.status_of(item)) for item in others]
    known = [
        Paused(upstream=item.id, leaving=False, status=status)
        for item, status in found
        if status is not None
    ]
    return known or None


def never_reset(pooled_conn, values, prepared, prepared_limit):
    """Connections keep the values of their last session."""
    return False


def told_as_not_run(group, job, item, exc):
    """A write without an answer is told as not run."""
    return Reply(refusal=Refusal.BUSY, detail="broken on purpose")


def sent_again(group, job, item, exc):
    """A write without an answer is sent again."""
    raise writes.NotSent("broken on purpose")


def own_commits_forgotten(first, second):
    """A session's own commits do not count."""
    return first


async def aborted_though_sent(group, tx, job):
    """A COMMIT without an answer is told as rolled back."""
    reply = await KEPT_COMMIT(group, tx, job)
    if reply.refusal is Refusal.IN_DOUBT:
        return transactions.aborted("broken on purpose")
    return reply


KEPT_COMMIT = transactions.commit


async def write_that_is_repeated(self, job):
    """A write is sent to the next owner when its owner is lost."""
    return await self.run(job, repeatable=True)


def told_as_rolled_back(exc):
    """Work that may have reached an upstream is told as rolled back."""
    return transactions.aborted("broken on purpose")


def take_any_idle(self, values, oldest=False, workspace=None):
    """A connection is taken whoever it was opened for."""
    return KEPT_TAKE_IDLE(self, values, oldest)


KEPT_TAKE_IDLE = ConnPool.take_idle

BREAKS = {
    "every commit is passed on": [
        (writes, "is_safe", pass_on_every_commit),
        (transactions, "is_safe", pass_on_every_commit),
    ],
    "floors of any age": [(Floors, "since", oldest_floor)],
    "nobody is paused": [(ReplicationControl, "pause_all", pause_nobody)],
    "connections are not reset": [(pooled, "needs_reset", never_reset)],
    "lost writes are told as not run": [(writes, "lost_write", told_as_not_run)],
    "lost writes are sent again": [(writes, "lost_write", sent_again)],
    "own commits are forgotten": [(reads, "later", own_commits_forgotten)],
    "lost commits are told as rolled back": [
        (transactions, "commit", aborted_though_sent)
    ],
}

# Breaks of the way by owners.
OWNER_BREAKS = {
    "lost owners' writes are sent again": [
        (RemoteAccess, "write", write_that_is_repeated)
    ],
    "lost owners' commits are told as rolled back": [
        (remote, "in_doubt", told_as_rolled_back)
    ],
}


# Breaks of the names that statements run in.
KEY_BREAKS = {
    "connections of any workspace are taken": [
        (ConnPool, "take_idle", take_any_idle),
    ],
}


@contextmanager
def broken(name):
    """Apply one break."""
    changes = {**BREAKS, **OWNER_BREAKS, **KEY_BREAKS}[name]
    patches = [patch.object(*change) for change in changes]
    for item in patches:
        item.start()
    try:
        yield
    finally:
        for item in patches:
            item.stop()
