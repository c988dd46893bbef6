"""Grants a workspace's operations at its home: by window, by priority, also ahead.

Load pattern: a workspace at its cap with operations of several priorities. The bucket
gets what the window leaves beside the token rate, see `usagewindow`, and is shared by
priority, see `usagepriority`. An operation that would be refused although there is a
token for it soon is granted ahead of time: it begins when the token has accrued.
"""

from dataclasses import dataclass, replace

from gypsum_policy.ratelimit import WINDOW, TokenBucket, bucket_size
from gypsum_policy.usagepriority import PriorityShares
from gypsum_policy.usagewindow import GrantWindow

# What the window leaves is added over about this many seconds, so that operations
# begin evenly rather than all at once when an earlier burst leaves the window.
SPARE_SECONDS = 0.25
# The window is not evaluated more often than this, seconds.
SPARE_INTERVAL = 0.02
# Fraction of a route's latency target that an operation may wait to begin: the rest is
# for the upstream's queue, its work and the way back.
PATIENCE_SHARE = 0.25


# Smallest bucket of operations that priorities can share: one may be kept in reserve
# while another is granted.
MIN_SHARED_BURST = 2.0


def shared_cap(cap):
    """The cap by which a home's bucket is filled, with room for a reserve."""
    return replace(cap, burst=max(MIN_SHARED_BURST, cap.burst))


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Operations of one priority that wait; each may begin up to `patience` later."""

    priority: int
    count: int
    patience: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Grants:
    """Outcome for one priority, in operations.

    `ready` begin at once, one more after each of `delays`; the first that was refused
    should return after `wait`. Times in seconds.
    """

    priority: int
    ready: int
    delays: tuple[float, ...] = ()
    wait: float = 0.0


def patience(latency_target, statement_timeout):
    """Seconds that an operation of a route may wait for a grant to begin."""
    return PATIENCE_SHARE * min(latency_target, statement_timeout)


class WorkspaceBucket(TokenBucket):
    """Token bucket of one workspace, with its window and its priorities.

    `known_since`: since when all grants of the workspace are known here. `homes` is the
    order of homes at that time.
    """

    def __init__(self, *, cap, now, tokens, homes=()):
        super().__init__(cap=cap, now=now, tokens=tokens)
        self.window = GrantWindow()
        self.shares = PriorityShares()
        self.known_since = now
        self.homes = homes
        self.full_cap = cap
        self.spare_added_at = now

    def distrust(self, now):
        """Record that others may have granted operations until now."""
        self.known_since = now

    def check_homes(self, homes, now):
        """Distrust what is known if the order of homes has changed."""
        if homes != self.homes:
            self.homes = homes
            self.distrust(now)

    def set_caps(self, cap, full_cap, now):
        """Use another cap for the tokens, and `full_cap` for the window."""
        self.set_cap(cap, now)
        known = self.full_cap
        if full_cap.version < known.version:
            return
        if full_cap.rate < known.rate or full_cap.burst < known.burst:
            # What was granted under the higher cap doesn't count against this one.
            self.window.clear()
            self.distrust(now)
        self.full_cap = full_cap

    def knows_window(self, now):
        """Whether all grants of the last window are known."""
        return now - self.known_since >= WINDOW

    def apply_window(self, now):
        """Add part of what the window leaves; remove what it doesn't allow.

        Without grants by other homes the tokens never exceed it.
        """
        elapsed = now - self.spare_added_at
        if elapsed < SPARE_INTERVAL:
            return
        self.spare_added_at = now
        spare = self.window.spare(now, self.tokens, self.full_cap)
        if spare > 0 and self.knows_window(now):
            self.tokens += spare * min(1.0, elapsed / SPARE_SECONDS)
            self.tokens = min(self.tokens, bucket_size(self.cap))
        if spare < 0 and self.window.foreign:
            self.tokens = max(min(self.tokens, 0.0), self.tokens + spare)

    def grant(self, demands, now):
        """Grant waiting operations, most urgent first; a list of Grants."""
        self.refill(now)
        self.apply_window(now)
        for demand in demands:
            self.shares.record_demand(demand.priority, demand.count, now, self.cap.rate)
        in_order = sorted(demands, key=lambda demand: demand.priority)
        return [self.grant_priority(demand, now) for demand in in_order]

    def grant_priority(self, demand, now):
        """Grant operations of one priority."""
        shares, priority = self.shares, demand.priority
        reserve = shares.reserve(priority, now, bucket_size(self.cap))
        allowed = max(
            int(self.tokens - reserve), min(shares.owed(priority), int(self.tokens))
        )
        ready = max(0, min(demand.count, allowed))
        self.tokens -= ready
        self.window.record(now, ready)
        delays = self.book(demand, demand.count - ready, reserve, now)
        granted = ready + len(delays)
        shares.record_grants(priority, granted)
        if granted == demand.count:
            shares.served(priority, now)
            return Grants(priority=priority, ready=ready, delays=delays)
        wait = shares.return_after(
            priority,
            demand.count - granted,
            self.room_in(priority, reserve, now),
            now,
            self.cap.rate,
        )
        return Grants(priority=priority, ready=ready, delays=delays, wait=wait)

    def book(self, demand, count, reserve, now):
        """Grant operations that begin later; returns the delay of each.

        Only a home that knows the window books: its successor doesn't know of bookings
        and grants its own beside them. Half of the reserve stays untouched.
        """
        delays = []
        if not self.knows_window(now) or not self.cap.rate:
            return ()
        while len(delays) < count:
            delay = self.room_in(demand.priority, reserve, now)
            if delay > demand.patience or (reserve and self.tokens - 1 < reserve / 2):
                break
            self.tokens -= 1
            self.window.record(now + delay, 1)
            delays.append(delay)
        return tuple(delays)

    def room_in(self, priority, reserve, now):
        """Seconds until there is a token beyond the reserve."""
        if not self.cap.rate:
            return WINDOW
        rate = self.shares.rate_left(priority, now, self.cap.rate)
        return max(0.0, 1 + reserve - self.tokens) / rate
