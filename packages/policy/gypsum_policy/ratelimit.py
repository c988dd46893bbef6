"""Rate limits of workspaces, counted at one daemon for the whole fleet.

Load pattern: a workspace sends several times its usual load through all daemons at
once, and its cap holds for all of them together. With a fixed share per daemon, work
below the cap is refused wherever callers are unevenly spread, and too much is let
through when the number of daemons is wrong. Each workspace therefore has a home, an
owner of a group, that counts for the whole fleet: a daemon requests grants from it
before it starts operations, for all waiting ones at once. The published name of this is
a rate limit service with a global token bucket.

What is let through: in any `w` seconds a home grants at most rate * w + burst. A grant
is counted when given and used at once, so none is saved and none is returned. A new
home doesn't know what another one granted: it starts with the tokens that accrued since
it may have become home, and with `INITIAL_TOKENS`. A standby for a home starts with no
accrued tokens. While a fleet is partitioned into parts that reach upstreams but not
each other, each part has a home and grants the whole cap. A daemon that reaches no home
grants its own share of what a cap tolerates, see `isolated_cap`.
"""

from dataclasses import dataclass

from xxhash import xxh32_intdigest

# Operations that a home grants before it has any history, so that a quiet workspace
# isn't refused its first ones after a restart.
INITIAL_TOKENS = 2.0
# Seconds' worth of its rate that a standby's bucket may save.
STANDBY_BURST_SECONDS = 0.1
# Daemons in a workspace's order that are asked for grants, one after the other.
MAX_HOMES = 3
# A daemon reuses a refusal for at most this many seconds without asking again: hundreds
# of a busy workspace's callers arrive in that time.
REFUSAL_VALID_FOR = 0.1
# The retry delays of refused callers are spread over this fraction of the delay.
RETRY_JITTER = 1.0
# Tolerated excess over a cap within its window, as a fraction, and the fraction of the
# fleet that may be cut off from all homes at once and use it. The window is in seconds.
TOLERATED_EXCESS = 0.1
ISOLATED_SHARE = 0.25
WINDOW = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Cap:
    """A workspace's cap: operations per second and the burst above that.

    `version` is the configuration version that sets it.
    """

    rate: float
    burst: float
    version: int = -1


class TokenBucket:
    """Token bucket of one workspace; `now` in seconds."""

    def __init__(self, *, cap, now, tokens):
        self.cap = cap
        self.tokens = min(tokens, bucket_size(cap))
        self.refilled_at = now

    def refill(self, now):
        """Add the tokens that accrued since the last refill."""
        self.tokens += self.cap.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(self.tokens, bucket_size(self.cap))
        self.refilled_at = now

    def set_cap(self, cap, now):
        """Use another cap from now on, unless it is an older version."""
        if cap.version < self.cap.version:
            return
        self.refill(now)
        self.cap = cap
        self.tokens = min(self.tokens, bucket_size(cap))

    def take(self, wanted, now):
        """Grant up to `wanted` operations; return how many."""
        self.refill(now)
        granted = min(wanted, int(self.tokens))
        self.tokens -= granted
        return granted

    def seconds_to_next(self):
        """Seconds until the next operation can be granted."""
        if self.tokens >= 1:
            return 0.0
        if not self.cap.rate:
            return WINDOW
        return (1 - self.tokens) / self.cap.rate


def home_group(workspace, groups):
    """The group whose owners count for a workspace; a new group moves few of them."""
    return max(groups, key=lambda name: stable_hash(workspace, name), default="")


def home_index(workspace, homes):
    """Index of a workspace's home among a group's owners: they share the workspaces."""
    return stable_hash(workspace, "home") % max(1, homes)


def stable_hash(*words):
    """A hash that is the same at all daemons."""
    return xxh32_intdigest("\x00".join(words).encode())


def bucket_size(cap):
    """Maximum tokens of a bucket: at least one whole operation."""
    return max(1.0, cap.burst)


def initial_tokens(cap, known_for):
    """Initial tokens of a home that may have been one for `known_for` seconds."""
    return min(bucket_size(cap), INITIAL_TOKENS + cap.rate * max(0.0, known_for))


def standby_cap(cap):
    """The cap that a standby grants by: the full rate with hardly any burst.

    With the full burst, homes that fail one after the other would each be replaced by a
    standby that has saved up another burst.
    """
    burst = min(cap.burst, INITIAL_TOKENS + cap.rate * STANDBY_BURST_SECONDS)
    return Cap(rate=cap.rate, burst=burst, version=cap.version)


def isolated_cap(cap, daemons):
    """The cap that one of `daemons` daemons grants by while it reaches no home.

    Half of what the cap tolerates, divided among the daemons that may be isolated at
    once.
    """
    window = cap.rate * WINDOW + cap.burst
    alone = max(1.0, ISOLATED_SHARE * daemons)
    rate = TOLERATED_EXCESS * window / 2 / alone / WINDOW
    return Cap(rate=rate, burst=1.0, version=cap.version)


def refusal_retry_ms(wait, request_id):
    """Milliseconds after which a refused caller should retry, jittered by request."""
    spread = xxh32_intdigest(request_id.encode()) % 1000 / 1000
    return max(
        1, round(1000 * max(wait, REFUSAL_VALID_FOR) * (1 + RETRY_JITTER * spread))
    )
