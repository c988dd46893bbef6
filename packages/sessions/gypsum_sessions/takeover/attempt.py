"""Replaces a group's primary with one of its replicas.

A replica may only be promoted if its log holds every acknowledged commit. A commit is
acknowledged once a replica on the group's record has received it. Replication is
therefore paused on every listed replica first: from then on no further commit can be
acknowledged. If one replica cannot be paused, nothing is promoted. The longest of the
paused logs holds all acknowledged commits unless every member that has one of them is
absent; which members count is read from the record in the store, not remembered.

The lease reduces concurrent takeovers but does not exclude them. Safety comes from
fencing: the store gives each takeover a higher token, and the platform refuses orders
whose token is lower than the highest one it has seen.
"""

import asyncio
from dataclasses import replace

from gypsum_policy.promotion import (
    DEPARTED_MEMBER_TIMEOUT,
    choose_promotion_target,
    may_lack_commits,
    reaches_all,
)
from gypsum_sessions.interfaces import LeaseError, PromoteOutcome
from gypsum_sessions.replies import UpstreamError
from gypsum_sessions.takeover.leader import prove_leads
from gypsum_sessions.takeover.lease_view import RESUME_WINDOW
from gypsum_sessions.takeover.outstanding import OutstandingOrders
from gypsum_sessions.takeover.reasons import Reason, Reasons
from gypsum_sessions.takeover.replication import ReplicationControl
from gypsum_sessions.upstreams.borrow import borrow_connection

PART = "takeover"
# Interval between checks of a group, seconds.
CHECK_INTERVAL = 0.1
# Delay between two rounds of an attempt, seconds.
ROUND_INTERVAL = 0.1
# An attempt that has not succeeded within this time is abandoned, seconds.
ATTEMPT_TIMEOUT = 12.0
# An attempt because all replicas are behind is abandoned sooner, since callers wait for
# replicas meanwhile. A promotion takes up to one second of it.
BEHIND_ATTEMPT_TIMEOUT = 3.0
# Reasons to replace a primary that still serves.
HANDOVER_REASONS = frozenset({Reason.LEAVES, Reason.BEHIND})


class Takeover:
    """Watches one group and replaces its primary when there is a reason to.

    `pending_order` is the member of this attempt's last promotion order if it got no
    answer. `orders` has all orders that may still be carried out, also those of earlier
    attempts. No attempt starts before `backoff_until`.
    """

    def __init__(
        self,
        *,
        group,
        daemon,
        leases,
        lease_view,
        promoter,
        relist,
        recorder,
        peer_reachability,
    ):
        self.group = group
        self.context = group.context
        self.recorder = recorder
        self.peer_reachability = peer_reachability
        self.daemon = daemon
        self.leases = leases
        self.lease_view = lease_view
        self.promoter = promoter
        self.relist = relist
        self.reasons = Reasons(
            group=group,
            lease_view=lease_view,
            recorder=recorder,
            peer_reachability=peer_reachability,
        )
        self.lease = None
        self.replication = ReplicationControl(group=group, log=self.log)
        self.pending_order = ""
        self.orders = OutstandingOrders(
            clock=self.context.clock,
            effect_time=self.context.tuning.promotion_effect_time,
        )
        self.lease_taken_at = float("-inf")
        # Absent members that a takeover waits for, and those it no longer waits for.
        self.waiting_for = []
        self.given_up = []
        self.waits_given_up = 0
        # Whether nobody could be promoted in the last round, as paused replicas may
        # receive again.
        self.pauses_unreliable = False
        self.backoff_until = 0.0
        self.promotions = 0
        self.attempting = False

    def log(self, event, **fields):
        """Log an event with the group's name."""
        self.context.log(PART, event, group=self.group.name, **fields)

    async def run(self):
        """Check the group periodically and act on what is found, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            backing_off = self.context.clock() < self.backoff_until
            reason = None if backing_off else self.reasons.find()
            if reason is None:
                reason = Reason.RESUME if self.should_resume() else None
            if reason is None:
                continue
            self.attempting = True
            try:
                await self.attempt(reason)
            except (LeaseError, UpstreamError) as exc:
                self.log("attempt aborted", error=str(exc))
                self.backoff_until = (
                    self.context.clock() + self.context.tuning.lease_min_age
                )
            finally:
                self.attempting = False

    def should_resume(self):
        """Return whether replicas that this daemon paused should resume replication."""
        return bool(
            self.group.watch.leader
            and self.replication.paused
            and self.context.clock() >= self.backoff_until
        )

    def rank(self):
        """This daemon's position in the order in which owners take over."""
        return self.reasons.rank()

    @property
    def unanswered_orders(self):
        """Members of our promotion orders that may still be carried out."""
        return self.orders.unanswered

    # One attempt

    async def attempt(self, reason):
        """Take the lease, pause the replicas and promote the one with the longest log.

        The attempt ends when a member was promoted, the reason no longer applies,
        another daemon took over, or the attempt timed out.
        """
        if reason is Reason.RESUME:
            await self.resume_all()
            return
        if reason is Reason.UNSETTLED:
            await self.finish_abandoned_takeover()
            return
        if reason is Reason.STALLED and not await self.confirm_stall():
            return
        if not await self.acquire_lease(reason):
            return
        self.pending_order = ""
        self.pauses_unreliable = False
        await self.refresh_members(reason)
        old_primary = self.group.presumed_leader()
        limit = BEHIND_ATTEMPT_TIMEOUT if reason is Reason.BEHIND else ATTEMPT_TIMEOUT
        deadline = self.context.clock() + limit
        while self.context.clock() < deadline:
            if self.reason_resolved(reason, old_primary):
                self.log(
                    "attempt abandoned: reason no longer applies", reason=str(reason)
                )
                await self.conclude()
                return
            if self.superseded():
                self.log("attempt abandoned: another daemon took over")
                return
            if await self.run_round(reason, old_primary):
                return
            await asyncio.sleep(ROUND_INTERVAL)
        self.log("attempt timed out")
        await self.conclude()

    async def conclude(self):
        """End an attempt: settle the lease, or finish what may still take effect.

        Orders of a holder before us may be carried out until the platform has seen a
        token of ours, which an attempt that promoted nobody never showed it.
        """
        leader = self.group.watch.leader
        if leader and self.orders.may_be_carried_out(leader):
            if not self.superseded():
                await self.finish_abandoned_takeover()
            return
        if leader:
            await self.wait_for_effects(leader)
        await self.settle()

    async def settle(self):
        """Mark our lease as settled unless an order may still take effect."""
        if self.superseded():
            return
        if self.orders.may_take_effect(self.group.watch.leader):
            self.log(
                "lease left unsettled",
                token=self.lease.token,
                unanswered=sorted(self.orders.unanswered),
                inherited=self.orders.inherited,
                accepted=sorted(self.orders.accepted()),
            )
            return
        lease = await self.leases.settle(self.group.name, self.lease)
        if lease is not None:
            self.lease = lease
            self.lease_view.record(self.group.name, lease)

    async def finish_abandoned_takeover(self):
        """Finish a takeover that its holder abandoned.

        Confirms the primary under a new token and resumes the paused replicas.
        """
        replicas = [
            item
            for item in self.group.upstreams.values()
            if item.id != self.group.watch.leader
        ]
        statuses = await asyncio.gather(
            *(self.replication.status_of(item) for item in replicas)
        )
        for item, status in zip(replicas, statuses, strict=True):
            if status is not None and status.paused_term:
                self.replication.paused[item.id] = status.paused_term
        self.lease = None
        await self.resume_all()

    def superseded(self):
        """Return whether a token higher than ours is known."""
        return self.lease_view.token(self.group.name) > self.lease.token

    async def refresh_members(self, reason):
        """Read the member list again before deciding anything about the members.

        A daemon that was cut off from the store does not know of a promotion or of
        members that joined meanwhile. With its old list it would see that the old
        primary is dead and depose the new one. The record is read after the list: a
        member that was dropped from the list by then, and may have confirmed a commit
        before, is on it.
        """
        await self.relist()
        await self.recorder.refresh(self.group.name)
        if reason is Reason.NO_PRIMARY:
            await self.group.watch.search()

    def reason_resolved(self, reason, old_primary):
        """Return whether the reason for an attempt no longer applies."""
        leader = self.group.watch.leader
        if leader and leader != old_primary:
            return True
        if self.pending_order:
            # An unanswered order may still be carried out, so the attempt continues.
            # Otherwise the old primary would serve until the order takes effect, and
            # the commits it acknowledged meanwhile would be lost.
            return False
        if reason is Reason.NO_PRIMARY:
            return bool(leader)
        if reason is Reason.BEHIND:
            # A primary lost meanwhile is a different reason.
            return not leader
        return reason is Reason.STALLED and not self.group.stall.pending

    async def confirm_stall(self):
        """Return whether the leader's log reaches no replica.

        A single lost answer looks the same as a leader that is cut off from its
        replicas, so the replicas' received positions are checked. Replicas that are
        only paused, by a command that was carried out late, are resumed instead.
        """
        floor = self.group.floors.newest
        replicas = [
            item
            for item in self.group.upstreams.values()
            if item.id != self.group.watch.leader
        ]
        if floor is None or not replicas:
            return False
        await asyncio.sleep(self.context.tuning.stall_check_window)
        statuses = await asyncio.gather(
            *(self.replication.status_of(item) for item in replicas)
        )
        known = [status for status in statuses if status is not None]
        if any(status.received >= floor.position for status in known):
            self.group.stall.reset()
            return False
        held = {
            item.id: status.paused_term
            for item, status in zip(replicas, statuses, strict=True)
            if status is not None and status.paused_term
        }
        if held:
            await self.handle_paused_replicas(held)
            return False
        return bool(known)

    async def handle_paused_replicas(self, held):
        """Resume replicas that were found paused, unless a takeover may be under way.

        If another daemon has paused them and its promotion is under way, resuming them
        would let the old primary acknowledge commits that the new one will not have.
        """
        age = self.lease_view.age(self.group.name)
        self.log("replicas found paused", held=held, lease_age=round(age, 2))
        if age < self.context.tuning.takeover_max_duration:
            self.backoff_until = self.context.clock() + ROUND_INTERVAL
            return
        self.replication.paused.update(held)
        self.lease = None
        await self.resume_all()

    async def acquire_lease(self, reason):
        """Acquire the lease with a new token; return whether that succeeded."""
        name, tuning = self.group.name, self.context.tuning
        found = await self.leases.read(name)
        self.lease_view.record(name, found)
        seen = self.lease_view.newest(name, found)
        foreign = seen.holder not in ("", self.daemon)
        if foreign and self.lease_view.age(name) < tuning.lease_min_age:
            self.log("left to its holder", reason=reason, holder=seen.holder)
            self.backoff_until = self.context.clock() + tuning.lease_retry_delay
            return False
        return await self.take_lease(seen, reason)

    async def take_lease(self, seen, reason):
        """Replace the lease `seen` by ours; return whether it had not changed."""
        name, tuning = self.group.name, self.context.tuning
        asked_at = self.context.clock()
        lease = await self.leases.acquire(name, self.daemon, seen)
        if lease is None:
            self.log("lease taken by another", reason=reason)
            self.backoff_until = self.context.clock() + tuning.lease_retry_delay
            return False
        self.lease = lease
        self.lease_taken_at = asked_at
        self.lease_view.record(name, lease)
        self.orders.lease_taken(seen, lease)
        self.log(
            "lease taken",
            reason=reason,
            token=lease.token,
            after=seen.holder,
            after_settled=seen.settled,
        )
        return True

    async def renew_lease(self):
        """Take our lease again if it is old; False if another daemon has taken it.

        Other daemons finish a takeover whose lease is old. An order has to be sent
        early enough in a lease's time to have taken effect by then.
        """
        age = self.context.clock() - self.lease_taken_at
        if age < self.context.tuning.lease_order_window:
            return True
        if self.superseded():
            return False
        resumes = self.lease_view.outstanding_resumes(self.group.name)
        return await self.take_lease(replace(self.lease, resumes=resumes), "renewed")

    async def run_round(self, reason, old_primary):
        """Run one round of an attempt; return whether the attempt is over.

        A round pauses the replicas, chooses a candidate and orders its promotion.
        """
        candidate = await self.choose_candidate(reason, old_primary)
        if not candidate:
            return False
        if not await self.renew_lease():
            return True
        outcome = await self.order_promotion(candidate)
        self.log("promotion ordered", upstream=candidate, outcome=str(outcome))
        self.pending_order = candidate if outcome is PromoteOutcome.UNANSWERED else ""
        self.record_outcome(candidate, outcome)
        if outcome is PromoteOutcome.NOT_DONE:
            return False
        if outcome is not PromoteOutcome.REFUSED and await self.wait_until_leads(
            candidate, self.promotion_timeout(outcome)
        ):
            self.promotions += 1
            self.replication.paused.clear()
            self.backoff_until = (
                self.context.clock() + self.context.tuning.lease_retry_delay
            )
            await self.conclude()
            return True
        # The token cannot be used again: the order was refused or may still be carried
        # out.
        return not await self.acquire_lease("again")

    async def choose_candidate(self, reason, old_primary):
        """Pause replicas and choose the member to promote; empty if none can be yet.

        A primary that serves keeps serving until the promotion takes effect. If it
        stepped down first, writes would stall for the duration of a promotion, about
        a second, each time a primary leaves.
        """
        if reason in HANDOVER_REASONS and self.group.watch.leader == old_primary:
            found = await self.replication.prepare_handover(
                old_primary, self.pending_order
            )
            if found is not None:
                target, paused = found
                self.log("handing over", upstream=target, token=self.lease.token)
                return target
            if reason is Reason.BEHIND or self.may_lack_commits_without(old_primary):
                return ""
        # Unless it leads, pauses that may end by themselves do no harm.
        step_down = reason is Reason.LEAVES or (
            self.pauses_unreliable and not self.may_lack_commits_without(old_primary)
        )
        paused = await self.replication.pause_all(
            old_primary,
            step_down=step_down,
            led_recently=self.group.watch.led_recently(old_primary),
        )
        if paused is None:
            return ""
        resumable = self.replication.resumable()
        candidate = choose_promotion_target(
            paused, self.pending_order, resumable, self.group.spec.sync_replicas
        )
        known, self.pauses_unreliable = self.pauses_unreliable, not candidate
        if not candidate:
            if not known:
                self.log("waiting: replicas may resume", resumable=sorted(resumable))
            return ""
        if await self.must_wait_for_absent(paused):
            return ""
        self.log(
            "promoting",
            upstream=candidate,
            token=self.lease.token,
            received={item.upstream: str(item.status.received) for item in paused},
        )
        return candidate

    async def order_promotion(self, upstream):
        """Order a member's promotion; NOT_DONE if the member is no longer known.

        A member that restarted meanwhile is empty and has a new id. The platform knows
        members by name only and would promote the empty one.
        """
        member = self.group.member(upstream)
        if member is None:
            return PromoteOutcome.NOT_DONE
        return await self.promoter.promote(
            self.group.name, member.stable_name, self.daemon, self.lease.token
        )

    def record_outcome(self, upstream, outcome):
        """Keep track of orders that may still take effect.

        An accepted order proves that the platform has seen our token, so it refuses
        earlier orders from then on. A refusal proves nothing: the upstream may just not
        be running.
        """
        if outcome is PromoteOutcome.UNANSWERED:
            self.orders.order_unanswered(upstream)
        elif outcome is PromoteOutcome.ACCEPTED:
            self.orders.order_accepted(upstream)

    def may_lack_commits_without(self, primary):
        """Return whether only the primary and absent members may have a commit.

        Then no other member may be promoted, and the primary must not step down.
        """
        others = self.group.upstreams.keys() - {primary}
        return may_lack_commits(
            absent=self.recorder.absent(self.group.name, others),
            sync_replicas=self.group.spec.sync_replicas,
        )

    async def must_wait_for_absent(self, paused):
        """Return whether absent members may hold a commit that the paused ones lack.

        The primary and the only replica that has a commit may have crashed together:
        seconds later both are off the list, and a replica that was behind would be
        promoted. They are waited for as long as one may return, unless every owner
        knows that the longest log reaches all that it was shown.
        """
        absent = self.recorder.absent(
            self.group.name, {item.upstream for item in paused}
        )
        before, self.waiting_for = self.waiting_for, []
        if not may_lack_commits(
            absent=absent, sync_replicas=self.group.spec.sync_replicas
        ):
            return False
        longest = max(item.status.received for item in paused)
        shown = await self.peer_reachability.shown_positions()
        if reaches_all(longest, shown):
            return False
        if self.group.may_return(absent, DEPARTED_MEMBER_TIMEOUT):
            self.waiting_for = absent
            if absent != before:
                self.log_absent("waiting for departed members", absent, longest, shown)
            return True
        if absent != self.given_up:
            self.given_up = absent
            self.waits_given_up += 1
            self.log_absent("departed members given up", absent, longest, shown)
        return False

    def log_absent(self, event, absent, longest, shown):
        """Log absent members, and what is known of the commits that they may hold."""
        known = [position for position in shown if position is not None]
        self.log(
            event,
            departed=absent,
            longest=str(longest),
            shown=str(max(known, default="")),
            owners=len(shown),
            owners_that_know=len(known),
        )

    def promotion_timeout(self, outcome):
        """Seconds to wait until an ordered promotion shows.

        After an unanswered order a new one is sent soon, under a higher token. If the
        first were carried out seconds later, the other logs could have grown past that
        of the promoted member.
        """
        tuning = self.context.tuning
        if outcome is PromoteOutcome.UNANSWERED:
            return tuning.unanswered_promotion_wait
        return tuning.promotion_timeout

    async def wait_until_leads(self, upstream, timeout):
        """Wait until a member leads; False if it does not within `timeout` seconds."""
        deadline = self.context.clock() + timeout
        while self.context.clock() < deadline:
            item = self.group.upstreams.get(upstream)
            if item is None:
                return False
            if self.group.watch.leader == upstream or await self.check_leads(item):
                return True
            await asyncio.sleep(ROUND_INTERVAL / 2)
        return False

    async def check_leads(self, item):
        """Ask a member for a proof that it leads; False if it gives none."""
        try:
            async with borrow_connection(self.context, item, urgent=True) as conn:
                asked_at = self.context.clock()
                position = await prove_leads(
                    conn, timeout=self.context.tuning.ping_timeout
                )
        except UpstreamError:
            return False
        if position is not None:
            self.group.watch.record_proof(item.id, position, asked_at)
        return position is not None

    async def resume_all(self):
        """Resume paused replicas once the primary is back and was not replaced.

        Nothing is resumed if another daemon took the lease after us, because its
        takeover relies on the pause. The primary is confirmed under a new token first:
        an unanswered order of ours may be carried out seconds later and must be refused
        then.
        """
        ours = (
            self.lease.token if self.lease else self.lease_view.token(self.group.name)
        )
        if self.lease_view.token(self.group.name) > ours:
            self.log("replicas left paused: another daemon took over")
            self.replication.paused.clear()
            return
        if not self.group.watch.leader or not await self.acquire_lease(Reason.RESUME):
            return
        # Unless it still leads, the order would replace the present primary.
        await self.group.watch.wait_proof(self.context.tuning.ping_timeout)
        leader = self.group.watch.leader
        if not leader:
            return
        outcome = await self.order_promotion(leader)
        self.log("primary confirmed", upstream=leader, outcome=str(outcome))
        self.record_outcome(leader, outcome)
        if outcome is not PromoteOutcome.ACCEPTED:
            self.backoff_until = (
                self.context.clock() + self.context.tuning.lease_retry_delay
            )
            return
        if await self.wait_for_effects(leader):
            await self.resume_replicas()
        await self.settle()

    async def wait_for_effects(self, leader):
        """Wait until no other order can take effect; return whether a member leads.

        The platform may have accepted one just before it saw our token, and the pauses
        are needed until it has taken effect. A promotion ends them itself.
        """
        while self.orders.may_take_effect(leader):
            if self.superseded() or not self.group.watch.leader:
                return False
            await asyncio.sleep(ROUND_INTERVAL)
        found = self.group.watch.leader
        if found and found != leader:
            self.log("an earlier order took effect", upstream=found, before=leader)
            self.replication.paused.clear()
        return found == leader

    async def resume_replicas(self):
        """Resume the paused replicas, which the lease names beforehand.

        A command without an answer may be carried out seconds later and end the pause
        of another takeover, which has to know of it whichever daemon runs it.
        """
        if not self.replication.paused:
            return
        until = self.context.clock() + RESUME_WINDOW
        earlier = self.lease_view.outstanding_resumes(self.group.name)
        ours = dict.fromkeys(self.replication.paused, self.lease.token)
        if not await self.record_resumes({**earlier, **ours}):
            self.log("replicas left paused: another daemon took over")
            self.replication.paused.clear()
            return
        unanswered = await self.replication.resume_all(until)
        late = dict.fromkeys(unanswered, self.lease.token)
        self.lease = replace(self.lease, resumes={**earlier, **late})

    async def record_resumes(self, resumes):
        """Write our lease with its `resumes`; False if another daemon has taken it."""
        lease = replace(self.lease, resumes=resumes)
        lease = await self.leases.update(self.group.name, lease)
        if lease is None:
            return False
        self.lease = lease
        self.lease_view.record(self.group.name, lease)
        return True
