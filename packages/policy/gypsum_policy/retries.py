"""When a daemon calls a store again that doesn't answer it.

Load pattern: the store is away for seconds, or rejects some daemons, in a fleet whose
daemons keep three feeds each. If each feed retried by itself, 88 daemons would make
1,610 calls in ten seconds, all refused. The feeds of a daemon that get no answer
therefore take turns, since one answer tells all of them that the store is back.
Followers, which serve by what they know and are told by a watcher when the store is
back, begin with a longer backoff.
"""

# Backoff after failed calls, seconds: it doubles up to the maximum, and a random part
# is added. A single feed may fail because its answers are large, so that it calls less
# often than feeds that take turns, each of which is woken when another one succeeds.
RETRY_BACKOFF_MIN = 0.1
RETRY_BACKOFF_MAX = 1.0
SHARED_BACKOFF_MAX = 0.5
# The same for a follower: in the first second a watcher tries again a few times.
FOLLOWER_BACKOFF_MIN = 1.0
# Turns that a feed may skip in a row: with three feeds each makes every third call, and
# none depends on the others' success for longer.
MAX_SKIPPED = 2


class FailedFeeds:
    """The feeds of one daemon whose last call failed, and when it did."""

    def __init__(self):
        self.failed_at = {}
        self.skipped = {}
        self.answered_at = float("-inf")

    def record_failure(self, kind, now):
        """Record a failed call of a feed."""
        self.failed_at[kind] = now
        self.skipped[kind] = 0

    def record_success(self, kind, now):
        """Record an answered call of a feed."""
        self.answered_at = now
        self.failed_at.pop(kind, None)

    def includes(self, kind):
        """Whether the last call of a feed has failed."""
        return kind in self.failed_at

    def skip_turn(self, kind):
        """Whether a feed that is about to call leaves this turn to another one.

        It does if another feed has failed since it last failed itself and no call has
        been answered since; the other's failure then counts as its own.
        """
        own = self.failed_at.get(kind)
        if own is None or self.skipped[kind] >= MAX_SKIPPED:
            return False
        latest = max(self.failed_at.values())
        if latest <= max(own, self.answered_at):
            return False
        self.failed_at[kind] = latest
        self.skipped[kind] += 1
        return True

    def shares_turns(self):
        """Whether several feeds fail, so that each skips some of its turns."""
        return len(self.failed_at) > 1

    def max_backoff(self):
        """The longest backoff of a feed that does not follow, seconds."""
        return SHARED_BACKOFF_MAX if self.shares_turns() else RETRY_BACKOFF_MAX
