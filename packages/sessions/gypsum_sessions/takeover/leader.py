"""Finding out who leads a group, and proving it again and again.

An upstream proves that it leads by accepting BEGIN for a writing transaction. The
position it shows with that is a floor. Proofs go before statements that wait for a
connection and may open one beyond the pool's limit, so that long statements do not
hold them up.
"""

import asyncio

from gypsum_policy.suspicion import OUT_OF_REACH, is_cut_off
from gypsum_sessions.replies import (
    Refusal,
    UpstreamBusy,
    UpstreamError,
    UpstreamLost,
    UpstreamRefused,
)
from gypsum_sessions.statements import BEGIN_READ_WRITE, ROLLBACK

PART = "leader"
# How often those who wait for a leader look whether it is worth it, seconds.
CUT_LOOK = 0.1


async def prove_leads(conn, *, timeout):
    """Ask an upstream to prove that it leads; its position, or None if it refuses.

    Raises UpstreamLost or UpstreamTimeout, and UpstreamBusy if it could not look.
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
    """Keeps the leader of one group proven; the source of the group's floors."""

    def __init__(self, *, group, floors, clock, tuning, log):
        self.group = group
        self.floors = floors
        self.clock = clock
        self.tuning = tuning
        self.log = log
        self.leader = ""
        self.leaderless_since = None
        self.changed = asyncio.Event()
        self.wanted = asyncio.Event()
        self.proofs = []
        self.asking = {}
        self.last_leader = ""
        self.full_at = float("-inf")
        self.found_at = float("-inf")

    def note(self, event, upstream, **fields):
        """Write one line about this group."""
        self.log(PART, event, group=self.group.name, upstream=upstream, **fields)

    # For the rest of the daemon

    async def wait_leader(self, timeout):
        """The proven leader's id, or empty if there is none in time."""
        deadline = self.clock() + timeout
        while not self.leader:
            left = deadline - self.clock()
            if left <= 0 or self.cut_off():
                return ""
            await self.wait_change(min(left, CUT_LOOK))
        return self.leader

    def cut_off(self):
        """Tell whether nobody leads and too few members are in reach to wait for it."""
        now, items = self.clock(), self.group.upstreams.values()
        since = self.leaderless_since
        if self.leader or since is None or now - since < OUT_OF_REACH:
            return False
        return is_cut_off([item.heard_at for item in items], now)

    async def wait_change(self, timeout):
        """Wait until the leader is found or lost."""
        event = self.changed
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
        except TimeoutError:
            return

    async def floor_since(self, not_before, timeout):
        """A floor asked for at or after a time; None if no leader proves one."""
        deadline = self.clock() + timeout
        while True:
            floor = self.floors.since(not_before)
            if floor is not None:
                return floor
            left = deadline - self.clock()
            if left <= 0 or self.cut_off():
                return None
            await self.wait_proof(min(left, CUT_LOOK))

    async def wait_proof(self, timeout):
        """Ask for a proof now, and wait for it."""
        proof = asyncio.get_running_loop().create_future()
        self.proofs.append(proof)
        self.wanted.set()
        try:
            async with asyncio.timeout(timeout):
                await proof
        except TimeoutError:
            return
        finally:
            if proof in self.proofs:
                self.proofs.remove(proof)

    def proof_age(self):
        """Seconds since the leader was last proven; None if nobody leads."""
        newest = self.floors.newest
        if not self.leader or newest is None:
            return None
        return self.clock() - newest.asked_at

    def lost_for(self):
        """Seconds for which nobody has been proven to lead; 0 while somebody is."""
        if self.leader or self.leaderless_since is None:
            return 0.0
        return self.clock() - self.leaderless_since

    def led_lately(self, upstream):
        """Tell whether a member was the last to prove its lead, and not long ago."""
        newest = self.floors.newest
        known = newest is not None and upstream == self.last_leader
        return known and self.clock() - newest.asked_at < self.tuning.recent_lead_window

    def hidden(self):
        """Tell whether a member that takes no further connection may be the leader.

        What goes wrong without it: all daemons come back at once while an upstream
        still counts their old connections; nobody can ask it, and it is replaced.
        """
        return self.clock() - self.full_at < self.tuning.suspect_after

    def doubt(self, upstream):
        """A statement was refused or lost at an upstream: look at once."""
        if upstream == self.leader:
            self.wanted.set()

    # The loop

    async def run(self):
        """Prove the leader, or search for one, for ever."""
        while True:
            try:
                await self.step()
            except UpstreamError as exc:
                self.log(PART, "proof failed", group=self.group.name, error=str(exc))
            await self.pause()

    async def pause(self):
        """Wait until the next proof is due or wanted."""
        searching = not self.leader
        delay = self.tuning.search_interval if searching else self.tuning.ping_interval
        if searching:
            await asyncio.sleep(delay)
            return
        try:
            async with asyncio.timeout(delay):
                await self.wanted.wait()
        except TimeoutError:
            return

    async def step(self):
        """One proof, or one round of search."""
        self.wanted.clear()
        if not self.group.upstreams:
            # Without members there is nothing that could be missing a leader.
            self.leaderless_since = None
            return
        began = self.clock()
        if self.leader and await self.try_target(self.leader):
            return
        self.lose(began)
        await self.search()

    async def try_target(self, target):
        """Ask for a proof, on a fresh connection if the one at hand is silent."""
        item = self.group.upstreams.get(target)
        if item is None:
            return False
        timeout = self.tuning.ping_timeout
        at_hand = item.pool.acquire(values={}, timeout=timeout, first=True)
        answer = await self.ask_leader(item, at_hand)
        if answer is None:
            answer = await self.ask_leader(item, item.pool.open_fresh())
        return bool(answer)

    async def ask_leader(self, item, getting):
        """Ask on a connection that is being got; None if that gave no answer."""
        try:
            result = await self.ask_member(item, getting)
        except UpstreamBusy:
            return self.keep_busy(item.id)
        except UpstreamRefused as exc:
            if not exc.at_limit:
                return None
            self.full_at = self.clock()
            item.reached(self.clock())
            return self.keep_busy(item.id)
        except UpstreamError as exc:
            self.note("no proof", item.id, error=str(exc))
            return None
        if result is None:
            return False
        self.proven(*result)
        return True

    async def ask_member(self, item, getting):
        """Ask one member: (id, position, time asked), or None if it does not lead.

        Raises UpstreamError if it gave no answer.
        """
        pooled = await getting
        asked_at = self.clock()
        try:
            position = await prove_leads(pooled.conn, timeout=self.tuning.ping_timeout)
        finally:
            item.pool.release(pooled)
        item.reached(self.clock())
        return None if position is None else (item.id, position, asked_at)

    def keep_busy(self, target):
        """Tell whether a leader whose queue is full is still taken for one.

        What goes wrong without it: a burst fills the queue, the proof is turned
        away, and a healthy primary is replaced at the worst moment.
        """
        if target != self.leader:
            return False
        newest = self.floors.newest
        since = newest.asked_at if newest else self.clock()
        return self.clock() - since < self.tuning.busy_limit

    def proven(self, upstream, position, asked_at):
        """An upstream has proven that it led after `asked_at`."""
        if upstream != self.leader:
            if upstream != self.last_leader:
                self.floors.forget()
                self.group.stall.forget()
            self.note("found", upstream, position=str(position))
            self.leader = self.last_leader = upstream
            self.found_at = self.clock()
            self.leaderless_since = None
            self.announce()
        self.floors.learn(position, asked_at)
        for proof in self.proofs:
            if not proof.done():
                proof.set_result(None)
        self.proofs = []

    def lose(self, since):
        """The leader, if there was one, is not proven since a time."""
        if self.leaderless_since is None:
            self.leaderless_since = since
        if self.leader:
            self.note("lost", self.leader)
            self.leader = ""
            self.announce()

    def announce(self):
        """Wake those who wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def search(self):
        """Ask all members at once who leads; the first proof ends the search.

        Members that still owe an answer are not asked again and not waited for: an
        upstream that is silent would hide for its whole timeout that another leads.
        """
        for item in self.group.upstreams.values():
            if item.id not in self.asking:
                self.ask_in_background(item)
        until = self.clock() + self.tuning.search_interval
        while self.asking and not self.leader and self.clock() < until:
            await asyncio.wait(
                list(self.asking.values()),
                timeout=until - self.clock(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # Let what is done be taken in before the next look.
            await asyncio.sleep(0)

    def ask_in_background(self, item):
        """Ask one member; a proof is taken in whenever it comes."""
        task = asyncio.create_task(self.ask_quietly(item))
        self.asking[item.id] = task

        def answered(task):
            self.asking.pop(item.id, None)
            if not task.cancelled() and task.exception() is None and task.result():
                self.found(*task.result())

        task.add_done_callback(answered)

    async def ask_quietly(self, item):
        """Ask one member of which a search knows nothing; None for any failure."""
        timeout = self.tuning.ping_timeout
        getting = item.pool.acquire(values={}, timeout=timeout, first=True)
        try:
            return await self.ask_member(item, getting)
        except UpstreamError as exc:
            if isinstance(exc, UpstreamRefused) and exc.at_limit:
                self.full_at = self.clock()
                item.reached(self.clock())
            return None

    def found(self, upstream, position, asked_at):
        """A search was answered by a member that leads."""
        newest = self.floors.newest
        if self.leader and newest and newest.asked_at >= asked_at:
            return
        self.proven(upstream, position, asked_at)
