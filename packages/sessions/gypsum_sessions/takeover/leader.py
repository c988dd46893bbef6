"""Finds the leader of a group and keeps verifying that it leads.

An upstream proves that it leads by accepting BEGIN for a read-write transaction. The
position in its reply is a read floor. Proofs take precedence over statements that wait
for a connection and may open a connection beyond the pool's limit, so that long
statements do not delay them.
"""

import asyncio

from gypsum_policy.reachability import UNREACHABLE_AFTER, is_partitioned
from gypsum_sessions.replies import (
    Refusal,
    UpstreamBusy,
    UpstreamError,
    UpstreamLost,
    UpstreamRefused,
)
from gypsum_sessions.statements import BEGIN_READ_WRITE, ROLLBACK

PART = "leader"
# How often tasks that wait for a leader check whether this daemon is cut off, seconds.
PARTITION_CHECK_INTERVAL = 0.1


async def prove_leads(conn, *, timeout):
    """Ask an upstream for a proof that it leads: its position, or None if it does not.

    Raises UpstreamLost or UpstreamTimeout if there is no answer, and UpstreamBusy if
    the upstream is too busy to run the statement.
    """
    begun, ended = await asyncio.gather(
        conn.ask(BEGIN_READ_WRITE, timeout=timeout),
        conn.ask(ROLLBACK, timeout=timeout),
        return_exceptions=True,
    )
    for result in (begun, ended):
        if isinstance(result, BaseException):
            conn.close()
            raise result
    if begun.ok:
        return begun.position
    if begun.refusal is Refusal.READ_ONLY:
        return None
    if begun.refusal is Refusal.BUSY:
        raise UpstreamBusy(begun.detail, step="prove", peer="upstream")
    raise UpstreamLost(f"{begun.refusal} {begun.detail}", step="prove", peer="upstream")


class LeaderWatch:
    """Tracks the proven leader of one group and records the group's read floors.

    `leader` is the id of the proven leader, empty if there is none. `last_leader` is
    the last member that was proven. `leaderless_since` is the time since which no
    leader has been proven, None while one is. `connection_limit_at` is when a member
    last refused a connection because it was at its limit.
    """

    def __init__(self, *, group, floors, clock, tuning, log):
        self.group = group
        self.floors = floors
        self.clock = clock
        self.tuning = tuning
        self.log = log
        self.leader = ""
        self.leaderless_since = None
        self.changed = asyncio.Event()
        self.proof_requested = asyncio.Event()
        self.proof_waiters = []
        self.pending_probes = {}
        self.last_leader = ""
        self.connection_limit_at = float("-inf")
        self.leader_since = float("-inf")

    def log_event(self, event, upstream, **fields):
        """Log an event with the group's name and an upstream."""
        self.log(PART, event, group=self.group.name, upstream=upstream, **fields)

    # Used by other packages

    async def wait_leader(self, timeout):
        """The proven leader's id; empty if none is proven within `timeout` seconds."""
        deadline = self.clock() + timeout
        while not self.leader:
            left = deadline - self.clock()
            if left <= 0 or self.is_wait_pointless():
                return ""
            await self.wait_change(min(left, PARTITION_CHECK_INTERVAL))
        return self.leader

    def is_partitioned(self):
        """Return whether no member leads and too few members are reachable.

        Waiting for a leader is then pointless.
        """
        now, items = self.clock(), self.group.upstreams.values()
        since = self.leaderless_since
        if self.leader or since is None or now - since < UNREACHABLE_AFTER:
            return False
        return is_partitioned([item.last_response_at for item in items], now)

    def is_wait_pointless(self):
        """Return whether no member is likely to lead soon.

        Callers are then refused at once instead of at the end of their time.
        """
        return self.is_partitioned() or self.group.waits_for_members()

    async def wait_change(self, timeout):
        """Wait until the leader is found or lost, for at most `timeout` seconds."""
        event = self.changed
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
        except TimeoutError:
            return

    async def wait_floor(self, not_before, timeout):
        """A floor asked for at or after `not_before`; None if there is none in time."""
        deadline = self.clock() + timeout
        while True:
            floor = self.floors.since(not_before)
            if floor is not None:
                return floor
            left = deadline - self.clock()
            if left <= 0 or self.is_wait_pointless():
                return None
            await self.wait_proof(min(left, PARTITION_CHECK_INTERVAL))

    async def wait_proof(self, timeout):
        """Request a proof now and wait for it, for at most `timeout` seconds."""
        proof = asyncio.get_running_loop().create_future()
        self.proof_waiters.append(proof)
        self.proof_requested.set()
        try:
            async with asyncio.timeout(timeout):
                await proof
        except TimeoutError:
            return
        finally:
            if proof in self.proof_waiters:
                self.proof_waiters.remove(proof)

    def proof_age(self):
        """Seconds since the leader was last proven; None if no member leads."""
        newest = self.floors.newest
        if not self.leader or newest is None:
            return None
        return self.clock() - newest.asked_at

    def leaderless_for(self):
        """Seconds since a leader was last proven; 0 while one is proven."""
        if self.leader or self.leaderless_since is None:
            return 0.0
        return self.clock() - self.leaderless_since

    def led_recently(self, upstream):
        """Return whether a member was the last proven leader, and recently."""
        newest = self.floors.newest
        known = newest is not None and upstream == self.last_leader
        return known and self.clock() - newest.asked_at < self.tuning.recent_lead_window

    def leader_may_be_at_limit(self):
        """Return whether a member at its connection limit may be the leader.

        When all daemons restart at once, an upstream still counts their old connections
        and refuses new ones. No daemon can ask it for a proof then, and without this
        check it would be replaced.
        """
        return self.clock() - self.connection_limit_at < self.tuning.suspect_after

    def recheck(self, upstream):
        """Request a proof at once, after an upstream refused or lost a statement."""
        if upstream == self.leader:
            self.proof_requested.set()

    # The loop

    async def run(self):
        """Prove the leader, or search for one, until cancelled."""
        while True:
            try:
                await self.step()
            except UpstreamError as exc:
                self.log(PART, "proof failed", group=self.group.name, error=str(exc))
            await self.wait_until_due()

    async def wait_until_due(self):
        """Wait until the next proof is due or requested."""
        searching = not self.leader
        delay = self.tuning.search_interval if searching else self.tuning.ping_interval
        if searching:
            await asyncio.sleep(delay)
            return
        try:
            async with asyncio.timeout(delay):
                await self.proof_requested.wait()
        except TimeoutError:
            return

    async def step(self):
        """Run one proof; search for a leader if there is none or it gives no proof."""
        self.proof_requested.clear()
        if not self.group.upstreams:
            # A group without members is not missing a leader.
            self.leaderless_since = None
            return
        began = self.clock()
        if self.leader and await self.prove_target(self.leader):
            return
        self.mark_lost(began)
        await self.search()

    async def prove_target(self, target):
        """Ask for a proof; on a new connection if the pooled one gives no answer."""
        item = self.group.upstreams.get(target)
        if item is None:
            return False
        timeout = self.tuning.ping_timeout
        from_pool = item.pool.acquire(values={}, timeout=timeout, urgent=True)
        answer = await self.ask_leader(item, from_pool)
        if answer is None:
            answer = await self.ask_leader(item, item.pool.open_new())
        return bool(answer)

    async def ask_leader(self, item, acquiring):
        """Ask for a proof: whether the member leads, None if it gave no answer.

        `acquiring` is the awaitable that yields the connection.
        """
        try:
            result = await self.ask_member(item, acquiring)
        except UpstreamBusy:
            return self.still_leads_when_busy(item.id)
        except UpstreamRefused as exc:
            if not exc.at_limit:
                return None
            self.connection_limit_at = self.clock()
            item.record_probe_answer(self.clock())
            return self.still_leads_when_busy(item.id)
        except UpstreamError as exc:
            self.log_event("no proof", item.id, error=str(exc))
            return None
        if result is None:
            return False
        self.record_proof(*result)
        return True

    async def ask_member(self, item, acquiring):
        """Ask one member: (id, position, time asked), or None if it does not lead.

        `acquiring` is the awaitable that yields the connection. Raises UpstreamError if
        the member gave no answer.
        """
        pooled = await acquiring
        asked_at = self.clock()
        try:
            position = await prove_leads(pooled.conn, timeout=self.tuning.ping_timeout)
        finally:
            item.pool.release(pooled)
        item.record_probe_answer(self.clock())
        return None if position is None else (item.id, position, asked_at)

    def still_leads_when_busy(self, target):
        """Return whether a member that is too busy for a proof still counts as leader.

        A burst of load fills the leader's queue, so that the proof is refused. Without
        this a healthy primary would be replaced under peak load.
        """
        if target != self.leader:
            return False
        newest = self.floors.newest
        since = newest.asked_at if newest else self.clock()
        return self.clock() - since < self.tuning.busy_limit

    def record_proof(self, upstream, position, asked_at):
        """Record that an upstream has proven to lead at some time after `asked_at`."""
        if upstream != self.leader:
            if upstream != self.last_leader:
                self.floors.clear()
                self.group.stall.reset()
            self.log_event("found", upstream, position=str(position))
            self.leader = self.last_leader = upstream
            self.leader_since = self.clock()
            self.leaderless_since = None
            self.notify_change()
        self.floors.add(position, asked_at)
        for proof in self.proof_waiters:
            if not proof.done():
                proof.set_result(None)
        self.proof_waiters = []

    def mark_lost(self, since):
        """Record that no leader has been proven since a time."""
        if self.leaderless_since is None:
            self.leaderless_since = since
        if self.leader:
            self.log_event("lost", self.leader)
            self.leader = ""
            self.notify_change()

    def notify_change(self):
        """Wake all tasks that wait for a change of the leader."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def search(self):
        """Ask all members concurrently for a proof; the first proof ends the search.

        Members with an unanswered probe are not probed again, and the search does not
        wait for them: an unresponsive upstream would otherwise delay the discovery of
        another leader by its whole timeout.
        """
        for item in self.group.upstreams.values():
            if item.id not in self.pending_probes:
                self.probe_in_background(item)
        until = self.clock() + self.tuning.search_interval
        while self.pending_probes and not self.leader and self.clock() < until:
            await asyncio.wait(
                list(self.pending_probes.values()),
                timeout=until - self.clock(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # Let the callbacks of finished probes run before the next check.
            await asyncio.sleep(0)

    def probe_in_background(self, item):
        """Probe one member; a proof is recorded whenever it arrives."""
        task = asyncio.create_task(self.probe(item))
        self.pending_probes[item.id] = task

        def answered(task):
            self.pending_probes.pop(item.id, None)
            if not task.cancelled() and task.exception() is None and task.result():
                self.take_search_result(*task.result())

        task.add_done_callback(answered)

    async def probe(self, item):
        """Ask one member for a proof; None if it does not lead or on any failure."""
        timeout = self.tuning.ping_timeout
        acquiring = item.pool.acquire(values={}, timeout=timeout, urgent=True)
        try:
            return await self.ask_member(item, acquiring)
        except UpstreamError as exc:
            if isinstance(exc, UpstreamRefused) and exc.at_limit:
                self.connection_limit_at = self.clock()
                item.record_probe_answer(self.clock())
            return None

    def take_search_result(self, upstream, position, asked_at):
        """Record a proof found by a search, unless a newer one is known."""
        newest = self.floors.newest
        if self.leader and newest and newest.asked_at >= asked_at:
            return
        self.record_proof(upstream, position, asked_at)
