"""Limits the operations of workspaces, by grants from each workspace's home.

All operations of a workspace that wait at a daemon share one request to its home. If
the home does not answer, the next daemon in order grants in its place, after it has
itself found the home unreachable.
"""

import asyncio

from msgspec.structs import replace

from gypsum_policy.ratelimit import (
    INITIAL_TOKENS,
    REFUSAL_VALID_FOR,
    TokenBucket,
    initial_tokens,
    isolated_cap,
    standby_cap,
)
from gypsum_policy.usagebucket import Demand, WorkspaceBucket, shared_cap
from gypsum_policy.usagewindow import ReceivedGrants, slot_end
from gypsum_sessions.daemons.homes import ANSWER_TIMEOUT, FORWARD_TIMEOUT, PART, Homes
from gypsum_sessions.daemons.peermessages import GrantRequest, GrantResponse
from gypsum_sessions.daemons.usagewaiters import (
    OutcomeCounts,
    Verdict,
    Waiter,
    waiting_by_priority,
)

# A standby that was not asked for this long starts with a new bucket, seconds: the home
# has granted operations meanwhile.
STALE_AFTER = 1.0
# Maximum number of operations in one request.
MAX_BATCH = 200
# Shortest wait that a refusal returns, seconds: 0 means that the operation may run.
MIN_WAIT = 0.001


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
        # Grants that this daemon's callers received, by workspace.
        self.received = {}
        self.waiters = {}
        self.request_tasks = {}
        # Until when a refusal is reused and when its callers should return, by
        # workspace and priority.
        self.refused_until = {}
        self.outcomes = {}
        self.outcomes_by_priority = {}

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
            bucket.distrust(now)

    # For this daemon's callers

    async def acquire(self, workspace, *, priority=0, target_time=0.0, patience=0.0):
        """Request one operation; returns 0 if it may run, else the seconds to wait.

        An operation that may begin within `patience` seconds waits here until then.
        """
        if self.catalog.cap(workspace) is None:
            return 0.0
        now = self.clock()
        until, returns_at = self.refused_until.get((workspace, priority), (0.0, 0.0))
        verdict = Verdict(granted=False, wait=returns_at - now)
        if until <= now:
            verdict = await self.join_batch(workspace, priority, target_time, patience)
        self.record_outcome(workspace, priority, verdict)
        if not verdict.granted:
            return max(verdict.wait, MIN_WAIT)
        if verdict.wait:
            await asyncio.sleep(verdict.wait)
        return 0.0

    async def join_batch(self, workspace, priority, target_time, patience):
        """Wait for the answer to the next request for a workspace."""
        waiter = Waiter(
            priority=priority,
            target_time=target_time,
            patience=patience,
            fut=asyncio.get_running_loop().create_future(),
        )
        self.waiters.setdefault(workspace, []).append(waiter)
        if workspace not in self.request_tasks:
            task = asyncio.create_task(self.request_batches(workspace))
            self.request_tasks[workspace] = task
        return await waiter.fut

    async def request_batches(self, workspace):
        """Send requests for all waiting operations until none are left."""
        batch = []
        try:
            while waiters := self.waiters.pop(workspace, []):
                live = [waiter for waiter in waiters if not waiter.fut.done()]
                live.sort(key=lambda waiter: (waiter.priority, waiter.target_time))
                batch, later = live[:MAX_BATCH], live[MAX_BATCH:]
                if later:
                    self.waiters[workspace] = later
                if batch:
                    self.resolve(workspace, batch, await self.request(workspace, batch))
        finally:
            # On an unexpected error too, no waiter is left pending.
            del self.request_tasks[workspace]
            left = batch + self.waiters.pop(workspace, [])
            self.refuse(
                workspace,
                [waiter for waiter in left if not waiter.fut.done()],
                REFUSAL_VALID_FOR,
            )

    async def request(self, workspace, batch):
        """Request grants for waiting operations; returns a GrantResponse."""
        cap = self.catalog.cap(workspace)
        if cap is None:
            return GrantResponse(call=0, granted=len(batch))
        request = GrantRequest(
            call=0,
            workspace=workspace,
            wanted=len(batch),
            cap=cap,
            waiting=waiting_by_priority(batch),
        )
        return await self.request_grant(request)

    def resolve(self, workspace, batch, answer):
        """Let the granted operations run, and refuse the others.

        Within a priority, those with the earliest target time begin first. A home of an
        earlier version, and an isolated daemon, only tell how many may begin.
        """
        if not answer.priorities:
            self.admit(batch, (0.0,) * answer.granted)
            self.refuse(workspace, batch[answer.granted :], answer.wait)
            return
        for priority, ready, delays, wait in answer.priorities:
            group = [waiter for waiter in batch if waiter.priority == priority]
            self.admit(group, (0.0,) * ready + delays)
            self.refuse(workspace, group[ready + len(delays) :], wait)

    def admit(self, waiters, delays):
        """Let as many operations begin as there are delays, each after its own."""
        for waiter, delay in zip(waiters, delays, strict=False):
            waiter.resolve(Verdict(granted=True, wait=delay))

    def refuse(self, workspace, waiters, wait):
        """Refuse operations, and others of their priorities for a short time."""
        for waiter in waiters:
            waiter.resolve(Verdict(granted=False, wait=wait))
            now = self.clock()
            until = now + min(wait, REFUSAL_VALID_FOR)
            self.refused_until[workspace, waiter.priority] = (until, now + wait)

    def record_outcome(self, workspace, priority, verdict):
        """Count an outcome; log the first refusal, and the end of refusals."""
        key = (workspace, priority)
        for outcome in (
            self.outcomes.setdefault(workspace, OutcomeCounts()),
            self.outcomes_by_priority.setdefault(priority, OutcomeCounts()),
        ):
            outcome.granted += verdict.granted
            outcome.booked += verdict.granted and verdict.wait > 0
            outcome.refused += not verdict.granted
        if verdict.granted:
            if self.refused_until.pop(key, None) is not None:
                self.log(PART, "let in again", workspace=workspace, priority=priority)
            return
        if self.outcomes[workspace].refused == 1:
            self.log(
                PART,
                "over its cap",
                workspace=workspace,
                priority=priority,
                version=self.catalog.version,
                wait_ms=round(verdict.wait * 1000),
            )

    # Requests to homes, and requests of other daemons

    async def request_grant(self, request):
        """Ask the homes in order; returns a GrantResponse.

        If this daemon is next in order, it grants the operations itself. `forwarded` is
        set in another daemon's request.
        """
        workspace, forwarded = request.workspace, request.forwarded
        cap = self.newer_cap(workspace, request.cap)
        if cap is None:
            return GrantResponse(call=0, granted=request.wanted)
        request = replace(request, cap=cap)
        homes = self.homes.for_workspace(workspace)
        for rank, name in enumerate(homes):
            if name == self.daemons.own.id:
                if not forwarded and not await self.homes.is_connected(workspace):
                    break
                answer = await self.confirm_standby(request, homes, rank)
                return answer or self.grant_locally(request, cap, rank)
            answer = await self.request_from(name, request)
            if answer is not None:
                return answer
        if forwarded:
            return self.grant_locally(request, cap, len(homes))
        return self.grant_isolated(workspace, request.wanted, cap)

    async def confirm_standby(self, request, homes, rank):
        """As a standby, let the next home ask those before it once more.

        Its answer, or None if this daemon is the home, was asked by another daemon or
        no next home answers. A standby that was cut off itself would otherwise grant
        beside the home until it has found it again.
        """
        if not rank or request.forwarded:
            return None
        for name in homes[rank + 1 :]:
            answer = await self.request_from(name, request)
            if answer is not None:
                return answer
        return None

    async def request_from(self, name, request):
        """Send a request to a home; returns its answer, or None without one.

        The home is sent the grants by others that it doesn't know of yet.
        """
        received, report = self.report_for(name, request)
        request = self.with_report(request, report)
        timeout = FORWARD_TIMEOUT if request.forwarded else ANSWER_TIMEOUT
        answer = await self.homes.request(
            name, lambda call: replace(request, call=call), timeout=timeout
        )
        if answer is not None and received is not None:
            granter = answer.granter or name
            received.mark_reported(granter, report)
            self.record_received(received, granter, answer)
        return answer

    def grant_locally(self, request, cap, rank):
        """Grant as home or standby to this daemon's callers or another daemon's."""
        own = self.daemons.own.id
        received, report = self.report_for(own, request)
        request = self.with_report(request, report)
        answer = self.grant_as_home(request, request.wanted, cap, rank)
        if received is not None:
            received.mark_reported(own, report)
            self.record_received(received, own, answer)
        return answer

    def report_for(self, home, request):
        """The grants received here, and those that a home doesn't know of.

        For another daemon's request (None, {}): that daemon reports its own.
        """
        if request.forwarded:
            return None, {}
        received = self.received.setdefault(request.workspace, ReceivedGrants())
        return received, received.report_for(home, self.clock())

    def with_report(self, request, report):
        """The request with this daemon's report, if it has one."""
        if not report:
            return request
        now = self.clock()
        elsewhere = tuple(
            (granter, slot, now - slot_end(slot), count)
            for (slot, granter), count in report.items()
        )
        return replace(request, reporter=self.daemons.own.id, elsewhere=elsewhere)

    def record_received(self, received, granter, answer):
        """Record what a home granted, to report it to other homes."""
        now = self.clock()
        received.record(granter, now, answer.granted)
        for _, _, delays, _ in answer.priorities:
            for delay in delays:
                received.record(granter, now + delay, 1)

    async def handle_request(self, request):
        """Answer another daemon's request.

        A daemon that is not the home by its own list asks the one that is, unless the
        request was already forwarded to it: two daemons that disagree would otherwise
        forward it to each other forever.
        """
        self.homes.record_heard(self.clock())
        if not request.wanted:
            return GrantResponse(call=0, granted=0)
        if request.forwarded:
            cap = self.newer_cap(request.workspace, request.cap)
            rank = self.homes.rank(request.workspace)
            return self.grant_as_home(request, request.wanted, cap, rank)
        return await self.request_grant(replace(request, forwarded=True))

    def newer_cap(self, workspace, cap):
        """The newer of another daemon's cap for a workspace and this daemon's."""
        own = self.catalog.cap(workspace)
        if cap is None or (own is not None and own.version >= cap.version):
            return own
        return cap

    # Granting

    def grant_as_home(self, request, wanted, cap, rank):
        """Grant as home; with a `rank` above 0 as standby for an unreachable home."""
        now = self.clock()
        bucket = self.bucket(request.workspace, cap, rank, now)
        self.record_elsewhere(bucket, request, now)
        # A daemon of an earlier version doesn't tell priorities.
        waiting = request.waiting or ((bucket.shares.lowest, wanted, 0.0),)
        found = bucket.grant(
            [
                Demand(priority=priority, count=count, patience=patience)
                for priority, count, patience in waiting
            ],
            now,
        )
        return GrantResponse(
            call=0,
            granted=sum(item.ready for item in found),
            wait=max(item.wait for item in found) or bucket.seconds_to_next(),
            granter=self.daemons.own.id,
            priorities=tuple(
                (item.priority, item.ready, item.delays, item.wait) for item in found
            ),
        )

    def bucket(self, workspace, cap, rank, now):
        """The bucket of a workspace, with the caps in force."""
        homes = self.homes.for_workspace(workspace)
        bucket = self.buckets.get(workspace)
        idle = bucket is not None and now - bucket.refilled_at > STALE_AFTER
        # Another daemon may have been home since.
        changed = idle and bucket.refilled_at < self.candidate_since
        if bucket is None or changed or (rank and idle):
            known_for = 0.0 if rank else now - self.candidate_since
            tokens = initial_tokens(standby_cap(cap) if rank else cap, known_for)
            bucket = self.buckets[workspace] = WorkspaceBucket(
                cap=shared_cap(cap), now=now, tokens=tokens, homes=homes
            )
        bucket.check_homes(homes, now)
        # A standby that knows the window may save up a burst as a home does.
        limited = rank and not bucket.knows_window(now)
        bucket.set_caps(shared_cap(standby_cap(cap) if limited else cap), cap, now)
        return bucket

    def record_elsewhere(self, bucket, request, now):
        """Count what other homes granted to the daemon that sent a request."""
        for granter, slot, age, count in request.elsewhere:
            if granter != self.daemons.own.id:
                key = (request.reporter, granter, slot)
                bucket.window.record_report(key, now - age, count)

    def grant_isolated(self, workspace, wanted, cap):
        """Grant the share of a daemon that reaches no home."""
        now, part = self.clock(), isolated_cap(cap, len(self.daemons.known))
        bucket = self.isolated_buckets.get(workspace)
        if bucket is None:
            bucket = self.isolated_buckets[workspace] = TokenBucket(
                cap=part, now=now, tokens=0.0
            )
        bucket.set_cap(part, now)
        granted = bucket.take(wanted, now)
        return GrantResponse(call=0, granted=granted, wait=bucket.seconds_to_next())
