"""What this daemon knows of each upstream: its speed, its answers, its pool."""

from dataclasses import dataclass

from gypsum_core.records import Position
from gypsum_sessions.execution.turns import Turns
from gypsum_sessions.replies import NoFreeConnection, UpstreamRefused
from gypsum_sessions.upstreams.pool import ConnPool
from gypsum_sessions.upstreams.roster import Member


@dataclass(slots=True, kw_only=True)
class Upstream:
    """One upstream as seen from here.

    Statements wait in `turns` before they take a connection of the `pool`. `mean` is
    the mean time of a statement in seconds, `avoid_until` and `lagging_until` times
    before which others are asked first, `position` the last log position it showed,
    `lag` the usual time in seconds from a commit to its being applied there.

    `heard_at` is when it last answered anything, `unreachable` says that a short
    question to it was not answered, and nothing since. `behind_since` and `behind_at`
    are the first and the last time at which it lacked a position that a read asked for,
    since it last had one.
    """

    member: Member
    pool: ConnPool
    turns: Turns
    mean: float
    avoid_until: float = 0.0
    avoid_for: float = 0.0
    lagging_until: float = 0.0
    position: Position | None = None
    lag: float = 0.0
    unreachable: bool = False
    behind_since: float | None = None
    behind_at: float = 0.0
    heard_at: float = float("-inf")

    @property
    def id(self):
        """The upstream's id."""
        return self.member.id

    def answered(self, seconds, position, now, tuning):
        """Note an answer and the time it took."""
        self.mean += tuning.mean_weight * (seconds - self.mean)
        self.position = position or self.position
        self.behind_since = None
        self.heard(now)

    def lacked(self, now, tuning):
        """Note that it lacked a position that a read asked for."""
        self.lagging_until = now + tuning.lagging_retry_delay
        self.behind_at = now
        if self.behind_since is None:
            self.behind_since = now

    def behind_for(self, now, tuning):
        """Seconds for which it has lacked what reads asked for; 0 if not lately."""
        if self.behind_since is None or now - self.behind_at > tuning.behind_expiry:
            return 0.0
        return self.behind_at - self.behind_since

    def applied_after(self, seconds, tuning):
        """Note how long a commit took to be applied here."""
        self.lag += tuning.lag_weight * (seconds - self.lag)

    @property
    def askable(self):
        """Tell whether a short question is likely to be answered.

        A slow statement alone says nothing against it. At the upstream's limit it takes
        a connection that we have already.
        """
        return not self.unreachable and (self.pool.opened or not self.pool.at_limit)

    def reached(self, now):
        """It answered a question of the watch, over a connection that may be fresh."""
        self.heard_at = now

    def heard(self, now):
        """It answered something."""
        self.heard_at = now
        self.unreachable = False
        self.avoid_for = 0.0
        self.avoid_until = 0.0

    def failed(self, exc, now, tuning):
        """Note a lost connection or a silence; the pause doubles.

        No failures of the upstream: that all our own connections to it are in use, or
        that it takes no more of them.
        """
        if is_ours(exc) or now < self.avoid_until:
            return
        self.avoid_for = min(
            max(tuning.avoid_backoff_min, 2 * self.avoid_for), tuning.avoid_backoff_max
        )
        self.avoid_until = now + self.avoid_for


def is_ours(exc):
    """Tell whether a failure is a lack of connections: of ours, or that it takes."""
    full = isinstance(exc, UpstreamRefused) and exc.at_limit
    return full or isinstance(exc, NoFreeConnection)
