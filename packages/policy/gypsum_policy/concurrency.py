"""Concurrency limit of one owner at one upstream, adapted to what the upstream shows.

Load pattern: the work of a group is uneven over its owners. With a fixed share, a busy
owner queues while the upstream has free slots; when all are busy, the shares add up to
a queue at the upstream in which nothing is ordered by priority or deadline.

The limit follows TCP Vegas (Brakmo and Peterson, 1995), as the limits by latency of
Netflix' concurrency-limits do: the time of answers against that without load tells how
many of the owner's own statements queue at the upstream, and each owner keeps that
number small. Owners that share an upstream thus get equal parts, which a rule by
latency alone doesn't give: the owner that knows the shortest time would yield to all
others. It rests on this owner's own measurements, so no messages are needed and an
owner that dies or is cut off leaves nothing behind.
"""

# Statements that all owners together have at an upstream for each of its slots. One
# runs; the others keep the slot busy during network round trips and where the owners'
# shares are uneven. With four, the last one waits for three statements to finish.
OUTSTANDING_PER_SLOT = 4
# Answers that take up to this factor longer than without load are no sign of a queue:
# service times vary, and so do their means.
TOLERANCE = 1.3
# The limit rises while fewer of the owner's statements than this part of `queue_goal`
# wait at the upstream.
RISE_BELOW = 0.5
# After a rejection: the upstream's queue was full.
DECREASE_ON_REJECTION = 0.7
# Answers without a queue in which the limit returns to the equal share.
ANSWERS_TO_RETURN = 10


def concurrency_limit(slots, owners):
    """Statements that each owner may have at an upstream at once, to begin with."""
    return 1 + -(-OUTSTANDING_PER_SLOT * slots // max(1, owners))


def least_limit(slots, owners):
    """Statements that each owner may have at an upstream however slow it is.

    Two for each slot over all owners: one that runs and the next, on its way.
    """
    return -(-2 * slots // max(1, owners))


def queue_goal(slots, owners):
    """How many of each owner's statements may wait at an upstream: one for each slot.

    They keep the slots busy during round trips and wait about as long as they run.
    """
    return max(1.0, slots / max(1, owners))


def greatest_limit(slots, connections):
    """Statements that an owner may have at an upstream that no other owner uses."""
    return min(OUTSTANDING_PER_SLOT * slots, connections)


class ConcurrencyLimit:
    """The limit of statements at an upstream, from `floor` to `ceiling`.

    `share` is the owner's equal share. The limit starts there, and returns there while
    no statement waits: what a busy owner took, an idle one gives up. `queue_goal` is
    how many of its statements may wait at the upstream.
    """

    def __init__(self, *, share):
        self.value = float(share)
        self.lowered_at = float("-inf")
        self.set_bounds(share=share, floor=share, ceiling=share, queue_goal=1.0)

    def set_bounds(self, *, share, floor, ceiling, queue_goal):
        """Change the bounds, as when the number of owners changes."""
        self.share = share
        self.floor = min(floor, share)
        self.ceiling = max(ceiling, share)
        self.queue_goal = queue_goal
        self.value = min(max(self.value, self.floor), self.ceiling)

    @property
    def current(self):
        """The limit as a number of statements."""
        return int(self.value)

    def record_answer(self, slowdown, *, queued):
        """Adapt to an answer.

        `slowdown` is the ratio of recent times to those without load; `queued` says
        whether statements wait for the limit.
        """
        waiting_there = self.value * (1 - TOLERANCE / max(slowdown, TOLERANCE))
        if waiting_there > self.queue_goal:
            self.value = max(self.floor, self.value - 1 / self.value)
        elif not queued:
            self.value += (self.share - self.value) / ANSWERS_TO_RETURN
        elif waiting_there < RISE_BELOW * self.queue_goal:
            self.value = min(self.ceiling, self.value + 1 / self.value)

    def record_rejection(self, now, answer_time):
        """Lower the limit: the upstream's queue was full.

        Only once within the time of an answer: those that come earlier say nothing
        about the lowered limit.
        """
        if now - self.lowered_at < answer_time:
            return
        self.lowered_at = now
        self.value = max(self.floor, self.value * DECREASE_ON_REJECTION)
