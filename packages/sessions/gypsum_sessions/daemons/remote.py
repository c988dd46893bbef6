"""A group whose connections other daemons hold: statements go to one of its owners.

Truth over the hop: a statement that never left, or that an owner says has not run, is
tried at the next owner. A read is asked again elsewhere when its owner went silent. A
write or COMMIT that may have left is in doubt. A transaction whose link broke before
COMMIT was sent is rolled back: its number means nothing on any other link, so no
COMMIT can reach it any more.
"""

import asyncio
from dataclasses import dataclass

from gypsum_policy.ownership import is_last_resort
from gypsum_sessions.catalog import Route
from gypsum_sessions.daemons.peermessages import (
    EndTransaction,
    StatementRequest,
    StatementResponse,
)
from gypsum_sessions.daemons.peers import PeerLost
from gypsum_sessions.daemons.standbys import CANDIDATES_PER_OWNER
from gypsum_sessions.execution.transactions import aborted
from gypsum_sessions.replies import Refusal, Reply

PART = "remote"
# An owner answers a statement by its deadline; the way back takes a little longer.
ANSWER_MARGIN = 0.15
# Pause before the owners are asked once more, seconds: they may just be starting.
ROUND_INTERVAL = 0.05


class RemoteAccess:
    """A group reached over its owners; `peers` holds the links to them.

    With `helpers` only those are asked, once, as long as they know of a primary.
    """

    def __init__(self, *, spec, around, peers, helpers=()):
        self.spec = spec
        self.around = around
        self.peers = peers
        self.helpers = helpers

    async def read(self, job):
        """Run a read; it is asked again at another owner when one fails."""
        return await self.run(job, repeatable=True)

    async def write(self, job):
        """Run a write; only one that never left is asked again."""
        return await self.run(job, repeatable=False)

    def begin(self, *, route, writes, arrived):
        """A transaction that its first statement opens at an owner."""
        return RemoteTransaction(
            access=self, route=route, writes=writes, arrived=arrived
        )

    async def run(self, job, *, repeatable):
        """Ask the owners in turn until one has an answer, for most of the time left.

        None if no helper had one: nothing was written then.

        What goes wrong when all are asked just once: all daemons come back together,
        the owners a moment after the others, whose callers are all turned away.
        """
        clock = self.around.clock
        until = clock() + job.left(clock) * self.around.tuning.leader_wait_share
        asked_all = False
        while True:
            reply = await self.run_round(
                job, repeatable=repeatable, asked_all=asked_all
            )
            if reply is not None:
                return reply
            if self.helpers:
                return None
            asked_all = True
            if clock() + ROUND_INTERVAL >= until:
                return no_owner(job, self.around.tuning)
            await asyncio.sleep(ROUND_INTERVAL)

    async def run_round(self, job, *, repeatable, asked_all):
        """Ask each owner once; the first reply, None if nobody could run it."""
        unable = 0
        for name in self.owners(job.workspace):
            if job.left(self.around.clock) <= 0:
                break
            try:
                link = await self.peers.link(name, job.left(self.around.clock))
                if not repeatable:
                    await link.check_alive()
                answer = await self.request(
                    link, job, last_resort=self.last_resort(name, asked_all, unable)
                )
            except PeerLost as exc:
                self.log_owner_lost(job, name, exc)
                if exc.sent:
                    job.may_have_run = True
                    job.leftovers.add(
                        asyncio.create_task(asyncio.sleep(job.left(self.around.clock)))
                    )
                if exc.sent and not repeatable:
                    return in_doubt(exc)
                continue
            self.track_unfinished_read(job, link, answer)
            if not answer.unable:
                return record_response(job, answer)
            unable += 1
        return None

    def track_unfinished_read(self, job, link, answer):
        """Keep in mind that a read may still run at its owner."""
        if answer.unfinished:
            ending = link.wait_read_ended(answer.call, answer.unfinished)
            job.leftovers.add(asyncio.create_task(ending))

    def last_resort(self, name, asked_all, unable):
        """Tell whether an owner has to try although it leaves or has just started."""
        leaves = self.peers.is_draining(name)
        return is_last_resort(asked_all=asked_all, leaves=leaves, unable=unable)

    def owners(self, workspace=""):
        """Names of the owners to ask for a workspace's work, the best first."""
        if self.helpers:
            return self.helpers
        daemons = self.around.daemons
        count = daemons.owner_count(self.spec)
        names = daemons.order(self.spec.name, count * CANDIDATES_PER_OWNER)
        return self.peers.ask_order(names, count, self.spec.name, workspace)

    async def request(self, link, job, **fields):
        """Ask one owner; raises PeerLost. `how` are fields of Ask."""
        job.owner = link.peer
        left = job.left(self.around.clock)
        return await link.timed_request(
            lambda call: StatementRequest(
                call=call,
                request=job.request,
                statement=job.statement,
                route=job.route,
                left=left,
                values=job.values,
                prepared=job.prepared,
                own_floor=job.own_floor,
                if_led=bool(self.helpers),
                hears_ends=True,
                credential=job.credential,
                **fields,
            ),
            self.peers.pace(link.peer, self.spec.name),
            timeout=left + ANSWER_MARGIN,
        )

    def log_owner_lost(self, job, name, exc):
        """Log an owner that gave no answer."""
        job.tried.append(name)
        self.around.log(
            PART,
            "owner lost",
            request=job.request,
            owner=name,
            sent=exc.sent,
            error=str(exc),
        )


@dataclass(slots=True, kw_only=True, eq=False)
class RemoteTransaction:
    """A transaction at an owner, tied to the link that its first statement took."""

    access: RemoteAccess
    route: Route
    writes: bool
    arrived: float
    wrote: bool = False
    values_set: bool = False
    link: object = None
    number: int = 0
    closed: bool = False

    async def run(self, job):
        """Run a statement; anything but success has rolled it back."""
        self.wrote = self.wrote or job.statement.writes
        try:
            answer = await self.request(job)
        except PeerLost as exc:
            await self.close()
            self.access.log_owner_lost(job, exc.peer, exc)
            return aborted(str(exc))
        reply = record_response(job, answer)
        if not reply.ok:
            self.closed = True
        return reply

    async def commit(self, job):
        """COMMIT; without an answer it is in doubt if anything was written."""
        try:
            answer = await self.request(job)
        except PeerLost as exc:
            self.access.log_owner_lost(job, exc.peer, exc)
            return in_doubt(exc) if exc.sent and self.wrote else aborted(str(exc))
        finally:
            self.closed = True
        return record_response(job, answer)

    async def request(self, job):
        """Ask the owner of this transaction; raises PeerLost."""
        if self.closed:
            raise PeerLost("it is over", step="ask", peer="", sent=False)
        if self.link is None:
            return await self.open(job)
        return await self.request_owner(job)

    async def request_owner(self, job, **fields):
        """Ask the owner whose link this transaction has; raises PeerLost."""
        return await self.access.request(
            self.link,
            job,
            transaction=self.number,
            opens_writing=self.writes,
            values_set=self.values_set,
            **fields,
        )

    async def open(self, job):
        """Open it with its first statement, at an owner that is able to.

        Raises PeerLost if there is none, or if the one that was asked is lost.
        """
        clock = self.access.around.clock
        share = self.access.around.tuning.leader_wait_share
        until = clock() + job.left(clock) * share
        asked_all = False
        while clock() < until:
            answer = await self.open_round(job, asked_all)
            if answer is not None:
                return answer
            asked_all = True
            await asyncio.sleep(ROUND_INTERVAL)
        raise PeerLost("no owner is able", step="open", peer="", sent=False)

    async def open_round(self, job, asked_all):
        """Ask each owner once to open it; the first answer, None if nobody could."""
        unable = 0
        for name in self.access.owners(job.workspace):
            if not self.access.peers.accepts_transactions(name):
                continue
            if not await self.use_link(job, name):
                continue
            last_resort = self.access.last_resort(name, asked_all, unable)
            answer = await self.request_owner(job, first=True, last_resort=last_resort)
            if not answer.unable:
                return answer
            unable += 1
            self.link = None
        return None

    async def use_link(self, job, name):
        """Take the link to an owner if it works; tell whether it does."""
        try:
            link = await self.access.peers.link(
                name, job.left(self.access.around.clock)
            )
            await link.check_alive()
        except PeerLost as exc:
            self.access.log_owner_lost(job, name, exc)
            return False
        self.link, self.number = link, link.next_number()
        return True

    async def close(self):
        """Tell the owner that it is over; a broken link has told it already."""
        if self.link is not None and not self.closed:
            self.link.send_message(EndTransaction(transaction=self.number))
        self.closed = True


def record_response(job, answer: StatementResponse):
    """Note on a job what its answer tells; returns the reply."""
    job.tried.extend(answer.tried)
    job.served_by = answer.served_by
    job.role = answer.role
    job.floor, job.floor_age = answer.floor, answer.floor_age
    return answer.reply


def in_doubt(exc):
    """The reply for work that may have reached an upstream."""
    return Reply(refusal=Refusal.IN_DOUBT, detail=f"may have run, {exc}")


def no_owner(job, tuning):
    """The refusal of work that no owner answered; nothing of it is kept.

    A read may have run at an owner that went silent since, so that is not denied.
    """
    not_run = "" if job.may_have_run else "not run, "
    return Reply(
        refusal=Refusal.BUSY,
        detail=f"{not_run}no owner of the group answers",
        retry_after_ms=tuning.busy_retry_after_ms,
    )
