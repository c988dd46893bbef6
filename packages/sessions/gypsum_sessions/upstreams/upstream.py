"""State that this daemon keeps for each upstream: speed, last answers, connections."""

from asyncio import Task
from contextlib import contextmanager
from dataclasses import dataclass, field

from gypsum_policy.replica_progress import ReplicaProgress
from gypsum_policy.upstream_health import LATENCY_WEIGHT, UpstreamResults
from gypsum_sessions.execution.admission import AdmissionQueue
from gypsum_sessions.replies import (
    NoFreeConnection,
    Refusal,
    Reply,
    UpstreamError,
    UpstreamRefused,
)
from gypsum_sessions.takeover.floors import Floors
from gypsum_sessions.upstreams.pool import ConnPool
from gypsum_sessions.upstreams.roster import Member


@dataclass(slots=True)
class MeasuredAttempt:
    """An attempt at a read whose result counts for the upstream's health."""

    reply: Reply | None = None

    @property
    def failed(self):
        """Whether it failed; None if the reply says nothing of the upstream's health.

        A full queue and a shorter log are no failures.
        """
        if self.reply.ok:
            return False
        return True if self.reply.refusal in (Refusal.FAILED, Refusal.TIMEOUT) else None


@dataclass(slots=True, kw_only=True)
class Upstream:
    """One upstream as this daemon sees it.

    Statements pass `admission` before they take a connection from `pool`. `mean_time`
    is the mean time of a statement in seconds. Before `avoid_until`, other upstreams
    are asked first. `floors` are those of its group; `progress` is how far it has
    applied the log and `results` how it answered reads. `apply_lag` is the usual time
    in seconds from a commit until it is applied there, as commits found it.
    `reads_withheld` counts reads that were not sent to it because it lags, and
    `position_probes` the queries for its position; `probing` while one is under way.
    `status_query` is the query for its status that commits wait for.

    `last_response_at` is when it last answered anything. `unreachable` says that a
    short query got no answer and nothing has been answered since. `behind_since` and
    `last_behind_at` are the first and the last time at which it lacked a position that
    a read required, since it last had such a position.
    """

    member: Member
    pool: ConnPool
    admission: AdmissionQueue
    mean_time: float
    floors: Floors
    progress: ReplicaProgress = field(default_factory=ReplicaProgress)
    results: UpstreamResults = field(default_factory=UpstreamResults)
    reads_withheld: int = 0
    position_probes: int = 0
    probing: bool = False
    status_query: Task | None = None
    avoid_until: float = 0.0
    avoid_backoff: float = 0.0
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
        weight = LATENCY_WEIGHT if self.results.needs_probes else tuning.mean_weight
        self.mean_time += weight * (seconds - self.mean_time)
        self.record_position(position, now - seconds, now)
        self.behind_since = None
        self.record_response(now)

    def record_position(self, position, asked_at, now):
        """Record the position that an answer showed; None shows nothing."""
        if position is None:
            return
        bounds = self.floors.lag_bounds(position, asked_at, now)
        self.progress.record_position(position, asked_at, bounds)

    def record_lagging(self, floor, shown, now):
        """Record that it refused a floor because its log lacks it."""
        if floor is not None:
            reached_at = self.floors.reached_at(floor)
            self.progress.record_refusal(floor, shown, now, reached_at)
        self.record_behind(now)

    def record_served(self, floor):
        """Record that it answered a read with a floor."""
        if floor is not None:
            self.progress.record_served(floor)

    @contextmanager
    def measure_attempt(self, request, clock):
        """Measure an attempt at a read; the caller sets its `reply`."""
        attempt = MeasuredAttempt()
        key = (request, clock())
        self.results.start(key, clock())
        failed = None
        try:
            yield attempt
            failed = attempt.failed
        except UpstreamError:
            failed = True
            raise
        finally:
            self.results.finish(key, clock(), failed=failed)

    def record_behind(self, now):
        """Record that it lacks a position that a read requires."""
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
