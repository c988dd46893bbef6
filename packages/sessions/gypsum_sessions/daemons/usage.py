"""Leave for operations: asked of a workspace's home, or counted here as one.

All that wait at a daemon for the same workspace share one question to its home. Where a
home does not answer the next daemon of the order counts in its place, once it has seen
for itself that the home is away.
"""

import asyncio
from dataclasses import dataclass

from gypsum_policy.usage import (
    FIRST_GRANTS,
    REFUSED_FOR,
    Bucket,
    first_tokens,
    lone_cap,
    stand_in_cap,
)
from gypsum_sessions.daemons.homes import ANSWER_TIMEOUT, FORWARD_TIMEOUT, PART, Homes
from gypsum_sessions.daemons.peermessages import GrantRequest, GrantResponse

# A stand-in that was not asked for this long starts anew, seconds: the home has counted
# meanwhile.
STALE_AFTER = 1.0
# Operations that one question asks for, at most.
MAX_BATCH = 200
# The shortest wait that a refusal tells, seconds: none would say that it may run.
MIN_WAIT = 0.001


@dataclass(slots=True, kw_only=True)
class OutcomeCounts:
    """What became of a workspace's operations at this daemon."""

    granted: int = 0
    refused: int = 0


class UsageLimiter:
    """Asks leave for callers of this daemon, and grants it where this one counts."""

    def __init__(self, *, daemons, peers, catalog, clock, log):
        self.daemons = daemons
        self.catalog = catalog
        self.clock = clock
        self.log = log
        self.homes = Homes(
            daemons=daemons,
            peers=peers,
            catalog=catalog,
            clock=clock,
            log=log,
            reconnected=self.reconnected,
        )
        # When this daemon may have become the home of any workspace.
        self.candidate_since = clock()
        self.buckets = {}
        # What this daemon grants by itself while it reaches no home.
        self.isolated_buckets = {}
        self.waiters = {}
        self.request_tasks = {}
        self.refused_until = {}
        self.outcomes = {}

    def daemons_changed(self):
        """The list of daemons is another one: so may be the homes."""
        self.candidate_since = self.clock()

    def reconnected(self):
        """This daemon has heard no other one for a while; somebody counted meanwhile.

        What goes wrong without it: a home that was cut off, or stood still, comes back
        with a full bucket beside what its stand-in has granted.
        """
        now = self.candidate_since = self.clock()
        for bucket in self.buckets.values():
            bucket.fill(now)
            bucket.tokens = min(bucket.tokens, FIRST_GRANTS)

    # For this daemon's callers

    async def acquire(self, workspace):
        """Ask leave for one operation: 0 if it may run, else the seconds to wait."""
        if self.catalog.cap(workspace) is None:
            return 0.0
        wait = self.refused_until.get(workspace, 0.0) - self.clock()
        if wait <= 0:
            wait = await self.join_batch(workspace)
        self.record_outcome(workspace, wait)
        return wait

    async def join_batch(self, workspace):
        """Wait for the answer to the next question about a workspace."""
        fut = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(workspace, []).append(fut)
        if workspace not in self.request_tasks:
            task = asyncio.create_task(self.request_batches(workspace))
            self.request_tasks[workspace] = task
        return await fut

    async def request_batches(self, workspace):
        """Ask for all that wait, and again for those that came meanwhile."""
        waiters = []
        try:
            while waiters := self.waiters.pop(workspace, []):
                answer = await self.request_grant(
                    workspace, min(len(waiters), MAX_BATCH)
                )
                self.resolve(workspace, waiters, answer)
        finally:
            # Should asking fail in a way that nobody thought of, nobody waits for ever.
            del self.request_tasks[workspace]
            left = waiters + self.waiters.pop(workspace, [])
            self.resolve(
                workspace, left, GrantResponse(call=0, granted=0, wait=REFUSED_FOR)
            )

    def resolve(self, workspace, waiters, answer):
        """Let those run that have leave, and refuse the others."""
        live = [fut for fut in waiters if not fut.done()]
        for fut in live[: answer.granted]:
            fut.set_result(0.0)
        for fut in live[answer.granted :]:
            fut.set_result(max(answer.wait, MIN_WAIT))
        if answer.granted < len(waiters):
            pause = min(answer.wait, REFUSED_FOR)
            self.refused_until[workspace] = self.clock() + pause

    def record_outcome(self, workspace, wait):
        """Keep count, and log the first refusal and the first leave after one."""
        outcome = self.outcomes.setdefault(workspace, OutcomeCounts())
        if not wait:
            outcome.granted += 1
            if self.refused_until.pop(workspace, None) is not None:
                self.log(PART, "let in again", workspace=workspace)
            return
        outcome.refused += 1
        if outcome.refused == 1:
            self.log(
                PART,
                "over its cap",
                workspace=workspace,
                version=self.catalog.version,
                wait_ms=round(wait * 1000),
            )

    # Questions to homes, and those of others

    async def request_grant(self, workspace, wanted, *, cap=None, forwarded=False):
        """Ask the homes in turn; a LeaveAnswer, of our own count if we come next.

        `cap` is that of another daemon which asks us, `forwarded` that it did.
        """
        cap = self.newer_cap(workspace, cap)
        if cap is None:
            return GrantResponse(call=0, granted=wanted)
        timeout = FORWARD_TIMEOUT if forwarded else ANSWER_TIMEOUT
        homes = self.homes.for_workspace(workspace)
        for rank, name in enumerate(homes):
            if name == self.daemons.own.id:
                if not forwarded and not await self.homes.is_connected(workspace):
                    break
                return self.grant_as_home(workspace, wanted, cap, rank)
            answer = await self.homes.request(
                name,
                lambda call: GrantRequest(
                    call=call,
                    workspace=workspace,
                    wanted=wanted,
                    cap=cap,
                    forwarded=forwarded,
                ),
                timeout=timeout,
            )
            if answer is not None:
                return answer
        if forwarded:
            return self.grant_as_home(workspace, wanted, cap, len(homes))
        return self.grant_isolated(workspace, wanted, cap)

    async def handle_request(self, request):
        """Answer another daemon's question.

        Whoever is not the home by its own list asks who is, unless it was asked as one
        by a daemon that did so: two that disagree would ask each other for ever.
        """
        self.homes.record_heard(self.clock())
        if not request.wanted:
            return GrantResponse(call=0, granted=0)
        workspace, wanted = request.workspace, request.wanted
        if request.forwarded:
            cap = self.newer_cap(workspace, request.cap)
            return self.grant_as_home(
                workspace, wanted, cap, self.homes.rank(workspace)
            )
        return await self.request_grant(
            workspace, wanted, cap=request.cap, forwarded=True
        )

    def newer_cap(self, workspace, cap):
        """The newer of another daemon's cap for a workspace and ours."""
        own = self.catalog.cap(workspace)
        if cap is None or (own is not None and own.version >= cap.version):
            return own
        return cap

    # Counting

    def grant_as_home(self, workspace, wanted, cap, rank):
        """Grant as home; with a `place` above 0 in the place of one that is away."""
        now = self.clock()
        if rank:
            cap = stand_in_cap(cap)
        bucket = self.buckets.get(workspace)
        if bucket is None or (rank and now - bucket.at > STALE_AFTER):
            known_for = 0.0 if rank else now - self.candidate_since
            tokens = first_tokens(cap, known_for)
            bucket = self.buckets[workspace] = Bucket(cap=cap, now=now, tokens=tokens)
        return grant(bucket, cap, wanted, now)

    def grant_isolated(self, workspace, wanted, cap):
        """Grant what a daemon may that reaches no home."""
        now, part = self.clock(), lone_cap(cap, len(self.daemons.known))
        bucket = self.isolated_buckets.get(workspace)
        if bucket is None:
            bucket = self.isolated_buckets[workspace] = Bucket(
                cap=part, now=now, tokens=0.0
            )
        return grant(bucket, part, wanted, now)


def grant(bucket, cap, wanted, now):
    """What a bucket grants by a cap, as an answer."""
    bucket.change(cap, now)
    granted = bucket.take(wanted, now)
    return GrantResponse(call=0, granted=granted, wait=bucket.wait())
