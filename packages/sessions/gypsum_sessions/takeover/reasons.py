"""Decides whether this daemon should replace a group's primary now. No I/O."""

from enum import StrEnum

from gypsum_policy.promotion import should_hand_over


class Reason(StrEnum):
    """Reason for acting on a group; the value is logged."""

    NO_PRIMARY = "no primary"
    LEAVES = "the primary leaves"
    STALLED = "writes stand still"
    BEHIND = "all replicas are behind, and statements wait"
    RESUME = "replicas were paused for nothing"
    UNSETTLED = "a takeover was left unfinished"


class Reasons:
    """Checks one group for a reason to act."""

    def __init__(self, *, group, lease_view, recorder, peer_reachability):
        self.peer_reachability = peer_reachability
        self.group = group
        self.context = group.context
        self.lease_view = lease_view
        self.recorder = recorder

    def find(self):
        """The reason to act now, or None."""
        if not self.group.upstreams or not self.recorder.has_record(self.group.name):
            # Without a record of the members the list may be incomplete, and it is
            # unknown which members are missing.
            return None
        delay = self.rank() * self.context.tuning.rank_delay
        if not self.group.watch.leader:
            return Reason.NO_PRIMARY if self.primary_lost(delay) else None
        if self.writes_stalled(delay):
            return Reason.STALLED
        if self.takeover_unfinished(delay):
            return Reason.UNSETTLED
        if self.primary_leaving(delay):
            return Reason.LEAVES
        return Reason.BEHIND if self.replicas_behind(delay) else None

    def rank(self):
        """This daemon's position in the order of the group's owners, from 0."""
        return self.context.daemons.rank(self.group.spec)

    def primary_lost(self, delay):
        """Return whether the group has been without a leader for long enough.

        False if a member at its connection limit may be the leader, or another owner
        has recently proven the primary.
        """
        since = self.group.watch.leaderless_since
        if (
            since is None
            or self.group.watch.leader_may_be_at_limit()
            or self.peer_reachability.confirming_daemons()
        ):
            return False
        lost = self.context.clock() - since
        return lost >= self.context.tuning.suspect_after + delay

    def writes_stalled(self, delay):
        """Return whether writes are pending at the primary and none is answered."""
        stalled_for = self.group.stall.stalled_for(self.context.clock())
        return stalled_for >= self.context.tuning.stall_timeout + delay

    def takeover_unfinished(self, delay):
        """Return whether a takeover was abandoned without settling its lease.

        Until another daemon finishes it, its replicas stay paused, and members that
        joined since cannot confirm commits because an order may still be carried out.
        """
        name = self.group.name
        if not self.lease_view.unsettled(name):
            return False
        return (
            self.lease_view.age(name)
            >= self.context.tuning.takeover_max_duration + delay
        )

    def primary_leaving(self, delay):
        """Return whether the primary is leaving and another member could lead."""
        member = self.group.member(self.group.watch.leader)
        if member is None or member.leaving_since is None:
            return False
        late = self.context.clock() - member.leaving_since >= delay
        return late and bool(self.successors(member.id))

    def replicas_behind(self, delay):
        """Return whether all reads go to the primary and exceed its capacity."""
        now, group = self.context.clock(), self.group
        leader = group.upstreams.get(group.watch.leader)
        replicas = [
            item
            for item in group.upstreams.values()
            if item is not leader and item.member.active
        ]
        if leader is None or not replicas:
            return False
        behind_for = min(item.behind_for(now, self.context.tuning) for item in replicas)
        return should_hand_over(
            lagging_for=behind_for - delay,
            backlogged_for=leader.admission.queue.backlogged_for(now),
            since_takeover=min(
                self.lease_view.age(group.name), now - group.watch.leader_since
            ),
        )

    def successors(self, leader):
        """Other members that could lead and are not leaving."""
        return [
            member.id
            for member in self.group.members()
            if member.id != leader and member.active
        ]
