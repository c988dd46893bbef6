"""Replacing a group's primary: when, by whom, and by which of its replicas.

A replica may only lead if its log holds every acknowledged commit. A commit is
acknowledged once one replica has received it. So replication is paused on every
replica first: from then on nothing more can be acknowledged, and the longest of the
paused logs holds all that was. If one replica cannot be paused, nothing is promoted.

The lease restrains, the fence makes safe: the store gives each take-over a higher
token, and orders with a lower one than was seen are refused.
"""

import asyncio

from gypsum_policy.succession import choose_successor
from gypsum_sessions.interfaces import LeaseError, PromoteOutcome
from gypsum_sessions.replies import UpstreamError
from gypsum_sessions.takeover.leader import prove_leads
from gypsum_sessions.takeover.reasons import Reason, Reasons
from gypsum_sessions.takeover.replication import ReplicationControl
from gypsum_sessions.upstreams.borrow import borrowed

PART = "takeover"
# How often a group is looked at, seconds.
LOOK_EVERY = 0.1
# Pause between two rounds of an attempt, seconds.
ROUND_PAUSE = 0.1
# An attempt that found no way in this time is given up, seconds.
ATTEMPT_LIMIT = 12.0
# ... and one that is for the load's sake sooner: callers wait for replicas meanwhile.
# A promotion takes up to one second of it.
BEHIND_LIMIT = 3.0
# Reasons to replace a primary that serves.
HANDOVERS = frozenset({Reason.LEAVES, Reason.BEHIND})
# A member that crashed is back within this, seconds: ten ordinary restarts.
DEPARTED_WAIT = 15.0


class Takeover:
    """Watches one group and replaces its primary when it is out of service."""

    def __init__(
        self, *, group, daemon, leases, board, promoter, relist, recorder, reach
    ):
        self.group = group
        self.around = group.around
        self.daemon = daemon
        self.leases = leases
        self.board = board
        self.promoter = promoter
        self.relist = relist
        self.reasons = Reasons(group=group, board=board, recorder=recorder, reach=reach)
        self.lease = None
        self.control = ReplicationControl(group=group, log=self.log)
        self.ordered = ""
        self.unanswered = set()
        self.waiting_for = []
        self.rest_until = 0.0
        self.promotions = 0
        self.attempting = False

    def log(self, event, **fields):
        """Write one line about this group."""
        self.around.log(PART, event, group=self.group.name, **fields)

    async def run(self):
        """Look at the group for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            resting = self.around.clock() < self.rest_until
            reason = None if resting else self.reasons.find()
            if reason is None:
                reason = Reason.RESUME if self.may_resume() else None
            if reason is None:
                continue
            self.attempting = True
            try:
                await self.attempt(reason)
            except (LeaseError, UpstreamError) as exc:
                self.log("attempt ended", error=str(exc))
                self.rest_until = self.around.clock() + self.around.tuning.lease_min_age
            finally:
                self.attempting = False

    def may_resume(self):
        """Tell whether replicas that we paused should go on."""
        return bool(
            self.group.watch.leader
            and self.control.paused
            and self.around.clock() >= self.rest_until
        )

    def place(self):
        """This daemon's place in the order for the group."""
        return self.reasons.place()

    # One attempt

    async def attempt(self, reason):
        """Take the lease, pause the replicas, promote the longest log."""
        if reason is Reason.RESUME:
            await self.resume_all()
            return
        if reason is Reason.UNSETTLED:
            await self.finish_for_another()
            return
        if reason is Reason.STALLED and not await self.confirm_stall():
            return
        if not await self.take_lease(reason):
            return
        self.ordered = ""
        self.unanswered = set()
        await self.refresh(reason)
        old = self.group.presumed_leader()
        limit = BEHIND_LIMIT if reason is Reason.BEHIND else ATTEMPT_LIMIT
        deadline = self.around.clock() + limit
        while self.around.clock() < deadline:
            if self.settled(reason, old):
                self.log("given up, the reason is gone", reason=str(reason))
                await self.settle()
                return
            if self.superseded():
                self.log("given up, another daemon took over")
                return
            if await self.try_once(reason, old):
                return
            await asyncio.sleep(ROUND_PAUSE)
        self.log("attempt timed out")
        await self.settle()

    async def settle(self):
        """Mark our lease as settled, unless an order of ours may still change anything.

        One for the member that leads changes nothing when it is carried out again.
        """
        if self.unanswered - {self.group.watch.leader} or self.superseded():
            return
        lease = await self.leases.settle(self.group.name, self.lease)
        if lease is not None:
            self.lease = lease
            self.board.note(self.group.name, lease)

    async def finish_for_another(self):
        """Confirm the primary under a new token, and let paused replicas go on."""
        replicas = [
            item
            for item in self.group.upstreams.values()
            if item.id != self.group.watch.leader
        ]
        statuses = await asyncio.gather(
            *(self.control.status_of(item) for item in replicas)
        )
        for item, status in zip(replicas, statuses, strict=True):
            if status is not None and status.paused_term:
                self.control.paused[item.id] = status.paused_term
        self.lease = None
        await self.resume_all()

    def superseded(self):
        """Tell whether a higher token than ours is known."""
        return self.board.token(self.group.name) > self.lease.token

    async def refresh(self, reason):
        """Read the members anew before anything is decided about them.

        What goes wrong without it: a daemon that was cut off from the store does not
        know of a promotion and of members that joined meanwhile; it sees the old
        primary dead, and deposes the new one.
        """
        await self.relist()
        if reason is Reason.NO_PRIMARY:
            await self.group.watch.search()

    def settled(self, reason, old):
        """Tell whether the reason for an attempt is gone."""
        leader = self.group.watch.leader
        if leader and leader != old:
            return True
        if self.ordered:
            # An order without an answer may still be carried out: it is seen through,
            # or the old primary would serve until it falls, and lose what it did.
            return False
        if reason is Reason.NO_PRIMARY:
            return bool(leader)
        if reason is Reason.BEHIND:
            # A primary that is gone meanwhile is another reason.
            return not leader
        return reason is Reason.STALLED and not self.group.stall.started

    async def confirm_stall(self):
        """Tell whether the leader's log reaches no replica.

        What goes wrong without it: a single lost answer looks like a leader that is
        cut from its group. Replicas that are merely paused, by an order that was
        carried out late, are resumed instead.
        """
        floor = self.group.floors.newest
        replicas = [
            item
            for item in self.group.upstreams.values()
            if item.id != self.group.watch.leader
        ]
        if floor is None or not replicas:
            return False
        await asyncio.sleep(self.around.tuning.stall_check_window)
        statuses = await asyncio.gather(
            *(self.control.status_of(item) for item in replicas)
        )
        known = [status for status in statuses if status is not None]
        if any(status.received >= floor.position for status in known):
            self.group.stall.forget()
            return False
        held = {
            item.id: status.paused_term
            for item, status in zip(replicas, statuses, strict=True)
            if status is not None and status.paused_term
        }
        if held:
            await self.found_paused(held)
            return False
        return bool(known)

    async def found_paused(self, held):
        """Replicas are paused: by a takeover that goes on, or by a forgotten order.

        What goes wrong without the wait: a rival has paused them and its promotion
        is under way; resumed, they let the old primary acknowledge commits that the
        new one will not have.
        """
        age = self.board.age(self.group.name)
        self.log("replicas found paused", held=held, lease_age=round(age, 2))
        if age < self.around.tuning.takeover_max_duration:
            self.rest_until = self.around.clock() + ROUND_PAUSE
            return
        self.control.paused.update(held)
        self.lease = None
        await self.resume_all()

    async def take_lease(self, reason):
        """Get a fresh token for this attempt; tell whether we have it."""
        name, tuning = self.group.name, self.around.tuning
        found = await self.leases.read(name)
        self.board.note(name, found)
        seen = self.board.newest(name, found)
        foreign = seen.holder not in ("", self.daemon)
        if foreign and self.board.age(name) < tuning.lease_min_age:
            self.log("left to its holder", reason=reason, holder=seen.holder)
            self.rest_until = self.around.clock() + tuning.lease_retry_delay
            return False
        lease = await self.leases.acquire(name, self.daemon, seen)
        if lease is None:
            self.log("lease taken by another", reason=reason)
            self.rest_until = self.around.clock() + tuning.lease_retry_delay
            return False
        self.lease = lease
        self.board.note(name, lease)
        self.log("lease taken", reason=reason, token=lease.token, after=seen.holder)
        return True

    async def try_once(self, reason, old):
        """One round: pause, choose, order; tell whether the attempt is over."""
        best = await self.choose(reason, old)
        if not best:
            return False
        outcome = await self.order(best)
        self.log("promotion ordered", upstream=best, outcome=str(outcome))
        self.ordered = best if outcome is PromoteOutcome.UNANSWERED else ""
        self.note_outcome(best, outcome)
        if outcome is PromoteOutcome.NOT_DONE:
            return False
        if outcome is not PromoteOutcome.REFUSED and await self.wait_led_by(
            best, self.patience(outcome)
        ):
            self.promotions += 1
            self.control.paused.clear()
            self.rest_until = self.around.clock() + self.around.tuning.lease_retry_delay
            await self.settle()
            return True
        # The token is spent: the order may still be carried out, or was refused.
        return not await self.take_lease("again")

    async def choose(self, reason, old):
        """Pause who has to be and choose who leads; empty if nobody can yet.

        A primary that serves is replaced while it does. What goes wrong when it steps
        down first: writes stand still for as long as a promotion takes, a second, each
        time a primary leaves.
        """
        if reason in HANDOVERS and self.group.watch.leader == old:
            found = await self.control.spare_heir(old, self.ordered)
            if found is not None:
                heir, paused = found
                self.log("handing over", upstream=heir, token=self.lease.token)
                return heir
            if reason is Reason.BEHIND:
                return ""
        paused = await self.control.pause_all(
            old,
            step_down=reason is Reason.LEAVES,
            sure=self.group.watch.led_lately(old),
        )
        if paused is None:
            return ""
        best = choose_successor(paused, self.ordered)
        if self.lacks_commits(paused, best, old):
            return ""
        self.log(
            "promoting",
            upstream=best,
            token=self.lease.token,
            received={item.upstream: str(item.status.received) for item in paused},
        )
        return best

    async def order(self, upstream):
        """Order that a member leads; NOT_DONE if it is not known any more.

        What goes wrong without the look: it started again meanwhile, empty, and the
        platform, which knows it by its name alone, promotes the empty one.
        """
        member = self.group.member(upstream)
        if member is None:
            return PromoteOutcome.NOT_DONE
        return await self.promoter.promote(
            self.group.name, member.called, self.daemon, self.lease.token
        )

    def note_outcome(self, upstream, outcome):
        """Remember orders that may still be carried out.

        An order that was accepted shows that the platform has seen our token: earlier
        orders are refused from then on. A refusal shows nothing, it may mean that the
        upstream does not run.
        """
        if outcome is PromoteOutcome.UNANSWERED:
            self.unanswered.add(upstream)
        elif outcome is PromoteOutcome.ACCEPTED:
            self.unanswered.clear()

    def lacks_commits(self, paused, best, old):
        """Tell whether the longest log lacks what a member that is gone may have.

        What goes wrong without it: the primary and the only replica that has a commit
        crash together; seconds later both are off the list, and one that was behind is
        promoted. Members that do not come back are waited for within bounds. Where only
        the old primary is gone, all replicas are paused and nothing can be missing but
        what was never acknowledged.
        """
        shown = self.group.floors.highest
        since = self.around.clock() - DEPARTED_WAIT
        departed = [name for name in self.group.departed_since(since) if name != old]
        received = {item.upstream: item.status.received for item in paused}
        if shown is None or not departed or received[best] >= shown:
            return False
        if departed != self.waiting_for:
            self.waiting_for = departed
            self.log(
                "waiting for departed members",
                departed=departed,
                longest=str(received[best]),
                shown=str(shown),
            )
        return True

    def patience(self, outcome):
        """How long an ordered promotion is waited for.

        One without an answer is ordered again soon, under a new token: carried out
        seconds later, the first would meet logs that have grown past it.
        """
        tuning = self.around.tuning
        if outcome is PromoteOutcome.UNANSWERED:
            return tuning.unanswered_promotion_wait
        return tuning.promotion_timeout

    async def wait_led_by(self, upstream, patience):
        """Wait until a member leads; tell whether it does."""
        deadline = self.around.clock() + patience
        while self.around.clock() < deadline:
            item = self.group.upstreams.get(upstream)
            if item is None:
                return False
            if self.group.watch.leader == upstream or await self.leads(item):
                return True
            await asyncio.sleep(ROUND_PAUSE / 2)
        return False

    async def leads(self, item):
        """Ask a member whether it leads."""
        try:
            async with borrowed(self.around, item, urgent=True) as conn:
                asked_at = self.around.clock()
                position = await prove_leads(
                    conn, timeout=self.around.tuning.ping_timeout
                )
        except UpstreamError:
            return False
        if position is not None:
            self.group.watch.proven(item.id, position, asked_at)
        return position is not None

    async def resume_all(self):
        """Let paused replicas go on: the primary is back and was not replaced.

        Only while nobody took the lease after us: a rival relies on the pause. And
        only after the primary was confirmed under a new token: an order of ours that
        got no answer may be carried out seconds later, and must be refused then.
        """
        ours = self.lease.token if self.lease else self.board.token(self.group.name)
        if self.board.token(self.group.name) > ours:
            self.log("left paused for the daemon that took over")
            self.control.paused.clear()
            return
        leader = self.group.watch.leader
        if not leader or not await self.take_lease(Reason.RESUME):
            return
        outcome = await self.order(leader)
        self.log("primary confirmed", upstream=leader, outcome=str(outcome))
        self.note_outcome(leader, outcome)
        if outcome is not PromoteOutcome.ACCEPTED:
            self.rest_until = self.around.clock() + self.around.tuning.lease_retry_delay
            return
        await self.control.resume_all()
        await self.settle()
