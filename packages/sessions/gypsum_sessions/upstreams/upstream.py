"""What this daemon knows of each upstream: its speed, its answers, its pool."""

from dataclasses import dataclass

from gypsum_core.records import Position
from gypsum_sessions.execution.admission import AdmissionQueue
from gypsum_sessions.replies import NoFreeConnection, UpstreamRefused
from gypsum_sessions.upstreams.pool import ConnPool
from gypsum_sessions.upstreams.roster import Member


@dataclass(slots=True, kw_only=True)
class Upstream:
    """One upstream as this daemon sees it.

    Statements pass `admission` before they take a connection from `pool`. `mean_time`
    is the mean time of a statement in seconds. Before `avoid_until` and
    `lagging_until`, other upstreams are asked first. `position` is the last log
    position that it reported, `apply_lag` the usual time in seconds from a commit until
    it is applied there.

    `last_response_at` is when it last answered anything. `unreachable` says that a
    short query got no answer and nothing has been answered since. `behind_since` and
    `last_behind_at` are the first and the last time at which it lacked a position that
    a read required, since it last had such a position.
    """

    member: Member
    pool: ConnPool
    admission: AdmissionQueue
    mean_time: float
    avoid_until: float = 0.0
    avoid_for: float = 0.0
    lagging_until: float = 0.0
    position: Position | None = None
    apply_lag: float = 0.0
    unreachable: bool = False
    behind_since: float | None = None
    last_behind_at: float = 0.0
    last_response_at: float = float("-inf")

    @property
    def id(self):
        """The upstream's id."""
        return self.member.id

    def record_answer(self, seconds, position, now, tuning):
        """Note an answer and the time it took."""
        self.mean_time += tuning.mean_weight * (seconds - self.mean_time)
        self.position = position or self.position
        self.behind_since = None
        self.record_response(now)

    def record_behind(self, now, tuning):
        """Note that it lacked a position that a read asked for."""
        self.lagging_until = now + tuning.lagging_rest
        self.last_behind_at = now
        if self.behind_since is None:
            self.behind_since = now

    def behind_for(self, now, tuning):
        """Seconds for which it has lacked what reads asked for; 0 if not lately."""
        if (
            self.behind_since is None
            or now - self.last_behind_at > tuning.behind_known_for
        ):
            return 0.0
        return self.last_behind_at - self.behind_since

    def record_apply_lag(self, seconds, tuning):
        """Note how long a commit took to be applied here."""
        self.apply_lag += tuning.lag_weight * (seconds - self.apply_lag)

    @property
    def reachable(self):
        """Tell whether a short question is likely to be answered.

        A slow statement alone says nothing against it. At the upstream's limit it takes
        a connection that we have already.
        """
        return not self.unreachable and (
            self.pool.open_count or not self.pool.refused_at_limit
        )

    def record_probe_answer(self, now):
        """It answered a question of the watch, over a connection that may be fresh."""
        self.last_response_at = now

    def record_response(self, now):
        """It answered something."""
        self.last_response_at = now
        self.unreachable = False
        self.avoid_for = 0.0
        self.avoid_until = 0.0

    def record_failure(self, exc, now, tuning):
        """Note a lost connection or a silence; the pause doubles.

        No failures of the upstream: that all our own connections to it are in use, or
        that it takes no more of them.
        """
        if is_connection_shortage(exc) or now < self.avoid_until:
            return
        self.avoid_for = min(
            max(tuning.avoid_first, 2 * self.avoid_for), tuning.avoid_most
        )
        self.avoid_until = now + self.avoid_for


def is_connection_shortage(exc):
    """Tell whether a failure is a lack of connections: of ours, or that it takes."""
    full = isinstance(exc, UpstreamRefused) and exc.at_limit
    return full or isinstance(exc, NoFreeConnection)
