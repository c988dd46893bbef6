"""How much a workspace may still ask, counted over all daemons at one of them.

Load pattern: a workspace sends several times its usual, over every daemon at once, and
has a cap that holds for all of them together. Shares that each daemon keeps for itself
refuse work below the cap wherever callers are uneven, and let too much through when the
number of daemons is wrong. So each workspace has a home, an owner of a group, which
counts for all: a daemon asks it for leave before it begins an operation, for all
that wait at once. Published as a rate limit service with a global token bucket.

What is let through: in `w` seconds a home grants rate * w + burst at most, always.
A grant is counted when it is given and used at once, so none is kept and none comes
back. A home that is new has counted nothing of what another one granted: it starts
with what has come in since it may have become one, and with `INITIAL_TOKENS`. One that
stands in for another starts from nothing. While a fleet is split into parts that reach
upstreams and not each other, each part has a home and grants the whole cap. A daemon
that reaches no home grants by its own part of what a cap tolerates, see `isolated_cap`.
"""

from dataclasses import dataclass

from xxhash import xxh32_intdigest

# Operations that a home grants before it knows anything: a workspace that was quiet is
# not refused its first ones after a restart.
INITIAL_TOKENS = 2.0
# Seconds of its rate that a stand-in saves up.
STANDBY_BURST_SECONDS = 0.1
# Daemons of a workspace's order that are asked for leave, one after the other.
MAX_HOMES = 3
# A refusal holds at a daemon without another question for this long, seconds, at most:
# hundreds of a hot workspace's callers come in that time.
REFUSAL_VALID_FOR = 0.1
# The time to come back that a refusal tells is spread over this share of it.
RETRY_JITTER = 1.0
# What a cap tolerates over its window beyond itself, and the part of the fleet that may
# be cut off from all homes at once and use it.
TOLERATED_EXCESS = 0.1
ISOLATED_SHARE = 0.25
WINDOW = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Cap:
    """A workspace's cap: operations a second, and how many more at once.

    `version` is the configuration that sets it.
    """

    rate: float
    burst: float
    version: int = -1


class TokenBucket:
    """Tokens of one workspace at whoever counts for it; `now` in seconds."""

    def __init__(self, *, cap, now, tokens):
        self.cap = cap
        self.tokens = min(tokens, bucket_size(cap))
        self.refilled_at = now

    def refill(self, now):
        """Add what has come in since the last look."""
        self.tokens += self.cap.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(self.tokens, bucket_size(self.cap))
        self.refilled_at = now

    def set_cap(self, cap, now):
        """Count by another cap from now on, unless it is an older one."""
        if cap.version < self.cap.version:
            return
        self.refill(now)
        self.cap = cap
        self.tokens = min(self.tokens, bucket_size(cap))

    def take(self, wanted, now):
        """Grant up to so many operations; returns how many."""
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
    """The group whose owners count for a workspace; a group that comes moves few."""
    return max(groups, key=lambda name: stable_hash(workspace, name), default="")


def home_index(workspace, homes):
    """Which of a group's owners is a workspace's home: they share the workspaces."""
    return stable_hash(workspace, "home") % max(1, homes)


def stable_hash(*words):
    """A number that all daemons work out alike."""
    return xxh32_intdigest("\x00".join(words).encode())


def bucket_size(cap):
    """Tokens that a bucket holds at most: one whole operation at least."""
    return max(1.0, cap.burst)


def initial_tokens(cap, known_for):
    """Tokens of a home that may have been one for so many seconds."""
    return min(bucket_size(cap), INITIAL_TOKENS + cap.rate * max(0.0, known_for))


def standby_cap(cap):
    """What one grants that stands in for a home: its rate, and hardly more at once.

    What goes wrong with the whole burst: homes are away one after the other, and each
    stand-in has saved up another one.
    """
    burst = min(cap.burst, INITIAL_TOKENS + cap.rate * STANDBY_BURST_SECONDS)
    return Cap(rate=cap.rate, burst=burst, version=cap.version)


def isolated_cap(cap, daemons):
    """What one of so many daemons grants while it reaches no home.

    Half of what the cap tolerates, over the daemons that may be alone at once.
    """
    window = cap.rate * WINDOW + cap.burst
    alone = max(1.0, ISOLATED_SHARE * daemons)
    rate = TOLERATED_EXCESS * window / 2 / alone / WINDOW
    return Cap(rate=rate, burst=1.0, version=cap.version)


def refusal_retry_ms(wait, request_id):
    """When a refused caller should come back, each at its own time, milliseconds."""
    spread = xxh32_intdigest(request_id.encode()) % 1000 / 1000
    return max(
        1, round(1000 * max(wait, REFUSAL_VALID_FOR) * (1 + RETRY_JITTER * spread))
    )
