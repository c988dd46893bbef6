"""State that this daemon keeps for each upstream: speed, last answers, connections."""

from dataclasses import dataclass

from gypsum_core.position import Position
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
    avoid_backoff: float = 0.0
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
        """Record an answer to a statement and the time it took."""
        self.mean_time += tuning.mean_weight * (seconds - self.mean_time)
        self.position = position or self.position
        self.behind_since = None
        self.record_response(now)

    def record_behind(self, now, tuning):
        """Record that it lacked a position that a read required."""
        self.lagging_until = now + tuning.lagging_retry_delay
        self.last_behind_at = now
        if self.behind_since is None:
            self.behind_since = now

    def behind_for(self, now, tuning):
        """Seconds for which it has lacked positions that reads required.

        0 if it has not lacked one lately.
        """
        if (
            self.behind_since is None
            or now - self.last_behind_at > tuning.behind_expiry
        ):
            return 0.0
        return self.last_behind_at - self.behind_since

    def record_apply_lag(self, seconds, tuning):
        """Update the usual time from a commit until it is applied here."""
        self.apply_lag += tuning.lag_weight * (seconds - self.apply_lag)

    @property
    def reachable(self):
        """Return whether a short query is likely to be answered.

        A slow statement alone does not count against it. At the upstream's connection
        limit, it takes a connection that is open already.
        """
        return not self.unreachable and (
            self.pool.open_count or not self.pool.refused_at_limit
        )

    def record_probe_answer(self, now):
        """Record an answer to a probe of the leader watch.

        The probe may have used a new connection, so it does not end `unreachable`.
        """
        self.last_response_at = now

    def record_response(self, now):
        """Record an answer over a pooled connection; ends the pause after failures."""
        self.last_response_at = now
        self.unreachable = False
        self.avoid_backoff = 0.0
        self.avoid_until = 0.0

    def record_failure(self, exc, now, tuning):
        """Record a lost connection or a missing answer; the pause doubles each time.

        Not a failure of the upstream: that all of this daemon's connections to it are
        in use, or that it accepts no more of them.
        """
        if is_connection_shortage(exc) or now < self.avoid_until:
            return
        self.avoid_backoff = min(
            max(tuning.avoid_backoff_min, 2 * self.avoid_backoff),
            tuning.avoid_backoff_max,
        )
        self.avoid_until = now + self.avoid_backoff


def is_connection_shortage(exc):
    """Return whether a failure means only that no connection is free or accepted."""
    full = isinstance(exc, UpstreamRefused) and exc.at_limit
    return full or isinstance(exc, NoFreeConnection)
