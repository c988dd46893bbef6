"""Decides which priorities of a workspace at its cap get its tokens.

Load pattern: a workspace sends several times its cap, most of it of low priority.
Served in order of arrival, these use up the cap, and urgent operations are refused with
them. Operations of a lower priority therefore leave a reserve for the recent demand of
more urgent ones. Each priority that waits is owed a small share, so none is starved;
what a priority doesn't ask for, the others use.
"""

from dataclasses import dataclass
from math import exp, sqrt

from gypsum_policy.ratelimit import WINDOW

# Demand is averaged over this many seconds: callers retry within it.
DEMAND_SECONDS = 1.0
# A reserve covers this many seconds of demand and its usual variation: tokens accrue
# meanwhile, so it only has to bridge uneven arrivals. It is room that stays unused.
RESERVE_SECONDS = 0.25
RESERVE_DEVIATIONS = 2.0
# Largest fraction of a bucket that is kept in reserve.
RESERVE_SHARE = 0.5
# Fraction of the rate that each priority is owed while it waits.
OWED_SHARE = 0.05
# Refused callers return within this many seconds: whether there is room later is not
# known, since demand may end sooner.
RETURN_SECONDS = 1.0


@dataclass(slots=True, kw_only=True)
class PriorityState:
    """What is known of one priority.

    `rate` is its demand in operations per second at `seen_at`, `owed` how many
    operations it may begin from the reserve of others, `returns_at` when the last of
    its refused operations is expected back.
    """

    rate: float = 0.0
    seen_at: float
    owed: float = 0.0
    returns_at: float = 0.0

    def rate_at(self, now):
        """The demand, which decays without requests."""
        return self.rate * exp(-max(0.0, now - self.seen_at) / DEMAND_SECONDS)


class PriorityShares:
    """Demand and shares of a workspace's priorities at its home; 0 is most urgent."""

    def __init__(self):
        self.states = {}

    @property
    def lowest(self):
        """The least urgent priority that is known."""
        return max(self.states, default=0)

    def record_demand(self, priority, count, now, rate):
        """Count operations that are asked for, under a cap of `rate`."""
        self.states = {
            known: state
            for known, state in self.states.items()
            if now - state.seen_at < WINDOW or known == priority
        }
        state = self.states.get(priority)
        if state is None:
            state = self.states[priority] = PriorityState(seen_at=now)
        idle = max(0.0, now - state.seen_at)
        state.rate = state.rate_at(now) + count / DEMAND_SECONDS
        most = max(1.0, OWED_SHARE * rate)
        state.owed = min(most, state.owed + OWED_SHARE * rate * idle)
        state.seen_at = now

    def record_grants(self, priority, count):
        """Count granted operations; who is served is owed less."""
        state = self.states[priority]
        state.owed = max(0.0, state.owed - count)

    def urgent_rate(self, priority, now):
        """Demand of more urgent priorities, operations per second."""
        return sum(
            state.rate_at(now)
            for other, state in self.states.items()
            if other < priority
        )

    def reserve(self, priority, now, size):
        """Tokens of a bucket of `size` that a priority has to leave to others."""
        kept = 0.0
        if any(other < priority for other in self.states):
            mean = self.urgent_rate(priority, now) * RESERVE_SECONDS
            kept = max(1.0, mean + RESERVE_DEVIATIONS * sqrt(mean))
        kept += sum(
            state.owed >= 1 for other, state in self.states.items() if other > priority
        )
        return max(0.0, min(kept, RESERVE_SHARE * size, size - 1))

    def owed(self, priority):
        """Operations that a priority may begin from the reserve of others."""
        return int(self.states[priority].owed)

    def rate_left(self, priority, now, rate):
        """What more urgent priorities leave of a rate, operations per second."""
        return max(OWED_SHARE * rate, rate - self.urgent_rate(priority, now))

    def return_after(self, priority, refused, room_in, now, rate):
        """Seconds after which the first of `refused` operations should return.

        `room_in` is when there is room for one. The refused of several requests return
        one after the other, at the rate at which their priority is served.
        """
        state = self.states[priority]
        pace = self.rate_left(priority, now, rate)
        wait = min(max(room_in, state.returns_at - now), RETURN_SECONDS)
        state.returns_at = now + wait + (refused / pace if pace else RETURN_SECONDS)
        return wait

    def served(self, priority, now):
        """Record that all waiting operations of a priority were granted."""
        self.states[priority].returns_at = now
