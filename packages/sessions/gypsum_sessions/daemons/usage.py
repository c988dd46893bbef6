"""Limits the operations of workspaces, by grants from each workspace's home.

All operations of a workspace that wait at a daemon share one request to its home. If
the home does not answer, the next daemon in order grants in its place, after it has
itself found the home unreachable.
"""

import asyncio
from dataclasses import dataclass

from gypsum_policy.ratelimit import (
    INITIAL_TOKENS,
    REFUSAL_VALID_FOR,
    TokenBucket,
    initial_tokens,
    isolated_cap,
    standby_cap,
)
from gypsum_sessions.daemons.homes import ANSWER_TIMEOUT, FORWARD_TIMEOUT, PART, Homes
from gypsum_sessions.daemons.peermessages import GrantRequest, GrantResponse

# A standby that was not asked for this long starts with a new bucket, seconds: the home
# has granted operations meanwhile.
STALE_AFTER = 1.0
# Maximum number of operations in one request.
MAX_BATCH = 200
# Shortest wait that a refusal returns, seconds: 0 means that the operation may run.
MIN_WAIT = 0.001


@dataclass(slots=True, kw_only=True)
class OutcomeCounts:
    """Numbers of a workspace's operations granted and refused at this daemon."""

    granted: int = 0
    refused: int = 0


class UsageLimiter:
    """Requests grants for this daemon's callers, and grants operations as a home."""

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
        # Buckets of what this daemon grants while it reaches no home.
        self.isolated_buckets = {}
        self.waiters = {}
        self.request_tasks = {}
        self.refused_until = {}
        self.outcomes = {}

    def daemons_changed(self):
        """Record that the list of daemons changed, and with it perhaps the homes."""
        self.candidate_since = self.clock()

    def reconnected(self):
        """Cap the tokens of all buckets after hearing no other daemon for a while.

        A standby may have granted operations meanwhile. Without this, a home that was
        cut off or suspended comes back with a full bucket in addition to what its
        standby has granted.
        """
        now = self.candidate_since = self.clock()
        for bucket in self.buckets.values():
            bucket.refill(now)
            bucket.tokens = min(bucket.tokens, INITIAL_TOKENS)

    # For this daemon's callers

    async def acquire(self, workspace):
        """Request one operation; returns 0 if it may run, else the seconds to wait."""
        if self.catalog.cap(workspace) is None:
            return 0.0
        wait = self.refused_until.get(workspace, 0.0) - self.clock()
        if wait <= 0:
            wait = await self.join_batch(workspace)
        self.record_outcome(workspace, wait)
        return wait

    async def join_batch(self, workspace):
        """Wait for the answer to the next request for a workspace."""
        fut = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(workspace, []).append(fut)
        if workspace not in self.request_tasks:
            task = asyncio.create_task(self.request_batches(workspace))
            self.request_tasks[workspace] = task
        return await fut

    async def request_batches(self, workspace):
        """Send requests for all waiting operations until none are left."""
        waiters = []
        try:
            while waiters := self.waiters.pop(workspace, []):
                answer = await self.request_grant(
                    workspace, min(len(waiters), MAX_BATCH)
                )
                self.resolve(workspace, waiters, answer)
        finally:
            # On an unexpected error too, no waiter is left pending.
            del self.request_tasks[workspace]
            left = waiters + self.waiters.pop(workspace, [])
            self.resolve(
                workspace,
                left,
                GrantResponse(call=0, granted=0, wait=REFUSAL_VALID_FOR),
            )

    def resolve(self, workspace, waiters, answer):
        """Let the granted operations run, and refuse the others."""
        live = [fut for fut in waiters if not fut.done()]
        for fut in live[: answer.granted]:
            fut.set_result(0.0)
        for fut in live[answer.granted :]:
            fut.set_result(max(answer.wait, MIN_WAIT))
        if answer.granted < len(waiters):
            pause = min(answer.wait, REFUSAL_VALID_FOR)
            self.refused_until[workspace] = self.clock() + pause

    def record_outcome(self, workspace, wait):
        """Count an outcome; log the first refusal, and the end of refusals."""
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

    # Requests to homes, and requests of other daemons

    async def request_grant(self, workspace, wanted, *, cap=None, forwarded=False):
        """Ask the homes in order; returns a GrantResponse.

        If this daemon is next in order, it grants the operations itself. `cap` and
        `forwarded` are set for another daemon's request.
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
        """Answer another daemon's request.

        A daemon that is not the home by its own list asks the one that is, unless the
        request was already forwarded to it: two daemons that disagree would otherwise
        forward it to each other forever.
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
        """The newer of another daemon's cap for a workspace and this daemon's."""
        own = self.catalog.cap(workspace)
        if cap is None or (own is not None and own.version >= cap.version):
            return own
        return cap

    # Granting

    def grant_as_home(self, workspace, wanted, cap, rank):
        """Grant as home; with a `rank` above 0 as standby for an unreachable home."""
        now = self.clock()
        if rank:
            cap = standby_cap(cap)
        bucket = self.buckets.get(workspace)
        if bucket is None or (rank and now - bucket.refilled_at > STALE_AFTER):
            known_for = 0.0 if rank else now - self.candidate_since
            tokens = initial_tokens(cap, known_for)
            bucket = self.buckets[workspace] = TokenBucket(
                cap=cap, now=now, tokens=tokens
            )
        return grant(bucket, cap, wanted, now)

    def grant_isolated(self, workspace, wanted, cap):
        """Grant the share of a daemon that reaches no home."""
        now, part = self.clock(), isolated_cap(cap, len(self.daemons.known))
        bucket = self.isolated_buckets.get(workspace)
        if bucket is None:
            bucket = self.isolated_buckets[workspace] = TokenBucket(
                cap=part, now=now, tokens=0.0
            )
        return grant(bucket, part, wanted, now)


def grant(bucket, cap, wanted, now):
    """Take operations from a bucket under a cap; returns a GrantResponse."""
    bucket.set_cap(cap, now)
    granted = bucket.take(wanted, now)
    return GrantResponse(call=0, granted=granted, wait=bucket.seconds_to_next())
