"""Why a group's primary should be replaced now, and by this daemon. No I/O."""

from enum import StrEnum

from gypsum_policy.succession import worth_changing


class Reason(StrEnum):
    """Why a primary is replaced."""

    NO_PRIMARY = "no primary"
    LEAVES = "the primary leaves"
    STALLED = "writes stand still"
    BEHIND = "all replicas are behind, and statements wait"
    RESUME = "replicas were paused for nothing"
    UNSETTLED = "a takeover was left unfinished"


class Reasons:
    """Looks at one group for a reason to act."""

    def __init__(self, *, group, board, recorder, reach):
        self.reach = reach
        self.group = group
        self.around = group.around
        self.board = board
        self.recorder = recorder

    def find(self):
        """The reason to act now, or None."""
        if not self.group.upstreams or not self.recorder.knows(self.group.name):
            # Without a record the list may have gaps, and nothing tells who is missing.
            return None
        delay = self.place() * self.around.tuning.rank_delay
        if not self.group.watch.leader:
            return Reason.NO_PRIMARY if self.lost_for(delay) else None
        if self.stalled_for(delay):
            return Reason.STALLED
        if self.left_unfinished(delay):
            return Reason.UNSETTLED
        if self.primary_leaves(delay):
            return Reason.LEAVES
        return Reason.BEHIND if self.replicas_behind(delay) else None

    def place(self):
        """This daemon's place among the group's owners."""
        return self.around.daemons.rank(self.group.spec)

    def lost_for(self, delay):
        """Tell whether nobody has led for long enough, and nobody may do so unseen."""
        since = self.group.watch.leaderless_since
        if since is None or self.group.watch.hidden() or self.reach.helpers():
            return False
        lost = self.around.clock() - since
        return lost >= self.around.tuning.suspect_after + delay

    def stalled_for(self, delay):
        """Tell whether writes wait at the primary and none is answered."""
        lasting = self.group.stall.lasting(self.around.clock())
        return lasting >= self.around.tuning.stall_after + delay

    def left_unfinished(self, delay):
        """Tell whether somebody's takeover ended without a word, a while ago.

        What goes wrong without a look: its replicas stay paused, and members that have
        joined since can't confirm commits, for an order may still be carried out.
        """
        name = self.group.name
        if not self.board.unsettled(name):
            return False
        return self.board.age(name) >= self.around.tuning.settled_after + delay

    def primary_leaves(self, delay):
        """Tell whether the primary leaves and another member could lead."""
        member = self.group.member(self.group.watch.leader)
        if member is None or member.leaving_since is None:
            return False
        late = self.around.clock() - member.leaving_since >= delay
        return late and bool(self.successors(member.id))

    def replicas_behind(self, delay):
        """Tell whether reads all fall on a primary that can't take them."""
        now, group = self.around.clock(), self.group
        leader = group.upstreams.get(group.watch.leader)
        replicas = [
            item
            for item in group.upstreams.values()
            if item is not leader and item.member.stays
        ]
        if leader is None or not replicas:
            return False
        behind_for = min(item.behind_for(now, self.around.tuning) for item in replicas)
        return worth_changing(
            behind_for=behind_for - delay,
            pressed_for=leader.turns.queue.pressed_for(now),
            led_for=min(self.board.age(group.name), now - group.watch.found_at),
        )

    def successors(self, leader):
        """Members that could lead and that stay."""
        return [
            member.id
            for member in self.group.members()
            if member.id != leader and member.stays
        ]
