"""Limits and timings of statement sessions, in seconds unless the name says else."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionTuning:
    """All of them; each line says where its figure comes from."""

    # A leader is asked this often when nothing else asks it: a third of the
    # shortest useful time to notice a dead one.
    ping_interval: float = 0.25
    # Round trips between failure domains take 2 ms, so 0.3 s is silence.
    ping_timeout: float = 0.3
    # Opening costs up to 30 ms at an upstream that has a free slot.
    dial_timeout: float = 0.4
    # Pause between looks at a group without a leader; a promotion takes 0.3 to 1 s.
    search_interval: float = 0.1
    # A primary unreachable on fresh connections for this long is replaced. Above
    # it, a replacement costs less than waiting; below, a hiccup would depose it.
    suspect_after: float = 0.7
    # A primary that proved its lead this long ago is replaced without asking whether it
    # has become a replica: nobody else can replace it and be replaced within it.
    recent_lead_window: float = 2.0
    # A leader that is too busy to prove itself is one for this long: its queue at its
    # slots empties in a fraction of it.
    busy_limit: float = 2.0
    # No write was answered for this long while some wait: a full queue takes 0.3 s.
    stall_timeout: float = 0.8
    # Replicas that are fed show progress within this: their usual lag, ten times.
    stall_check_window: float = 0.3
    # A takeover may be under way this long after its lease was taken: the longest time
    # to its promotion.
    takeover_max_duration: float = 4.0
    # A commit that a replica applies within this is waited for: the wait takes no slot.
    # Of one whose usual lag is longer is asked what it has received, which takes one
    # and a few milliseconds.
    confirm_apply_wait: float = 0.05
    # Weight of the newest sample in a replica's usual lag: three say enough.
    lag_weight: float = 0.3
    confirm_poll_interval: float = 0.01
    # A commit that no replica is known to have is asked for again after this: a round
    # of questions takes slots of replicas that lag.
    confirm_retry_interval: float = 0.1
    # The next replica is asked as well after this: a status that finds a free slot
    # takes a few milliseconds.
    confirm_hedge_delay: float = 0.015
    # Answers of replicas that are still on their way are waited for this much longer.
    confirm_margin: float = 0.05
    # A dial that failed is not repeated for this long, doubling: each costs the
    # upstream a slot, and callers' retries would dial without end.
    redial_backoff_min: float = 0.1
    redial_backoff_max: float = 0.5
    # ... but for this at an upstream that takes no further connection: ten daemons ask
    # it some thirty times a second then, which it refuses without a slot.
    redial_delay_at_limit: float = 0.3
    # Log that a stepped down primary has sent reaches its replicas within this.
    handover_pause: float = 0.05
    # A daemon further down the order waits this much longer per place.
    rank_delay: float = 0.8
    # Nobody takes a lease over that changed hands more recently.
    lease_min_age: float = 3.0
    # How soon a daemon looks again that found a lease taken.
    lease_retry_delay: float = 0.5
    # A promotion that was ordered shows within the platform's time plus a margin.
    promotion_timeout: float = 3.0
    # One without an answer is looked for this much longer than the call itself took.
    unanswered_promotion_wait: float = 0.2
    # Commands to upstreams: one round trip and a slot.
    command_timeout: float = 0.5
    # A read that takes this many times its usual time is asked elsewhere too.
    hedge_factor: float = 6.0
    # ... but not before the tail of ordinary work has passed.
    hedge_min_delay: float = 0.25
    # A read that is not needed any more is waited for this long before the session's
    # values change: most routes give a statement a second. They do not change then.
    running_attempt_wait: float = 1.0
    # Floors older than the longest allowed age are of no use to anyone.
    floor_retention: float = 30.0
    # Share of a request's allowed time that it may wait for a leader: the rest is
    # for the work itself.
    leader_wait_share: float = 0.85
    # A connection beyond the first that was not needed for this long is closed: a new
    # one costs 12 to 27 ms of a slot, and rushes come seconds apart.
    idle_timeout: float = 2.0
    # ... but for this if it belongs to a workspace: those call seconds apart, and each
    # would pay for a new one. At the limit one that is needed takes its place sooner.
    workspace_idle_timeout: float = 10.0
    # A daemon is content with fewer connections for this long after its start:
    # upstreams count one whose other end lost power for three seconds more.
    startup_limit_duration: float = 4.0
    # A watcher of the store vouches for what it passes on this long after the store's
    # last answer: a watch ends after four seconds at the latest, and takes one more to
    # be taken for dead.
    in_touch_for: float = 5.0
    # A member that left the list is still known for this long, so that entries
    # that the store lost in an outage can come back.
    missing_grace: float = 2.5
    # An upstream that gave no answer is left alone for this long, doubling.
    avoid_backoff_min: float = 0.5
    avoid_backoff_max: float = 4.0
    # A replica that lacked a position is not asked for one for this long.
    lagging_retry_delay: float = 0.05
    # ... and counts as behind for this long after it last lacked one: ten such rests.
    behind_expiry: float = 0.5
    # A replica that is to lead next has what the others have within this, unless it
    # receives nothing: a few round trips.
    handover_target_wait: float = 0.3
    # Weight of the newest sample in an upstream's mean time.
    mean_weight: float = 0.1
    # A statement's usual time before any was seen: the workloads' mean.
    initial_mean: float = 0.03
    # Extra cost of an upstream in another failure domain: a round trip.
    far_cost: float = 0.002
    # A dial's usual time before any was seen: the upstreams' 12 to 27 ms.
    initial_dial_time: float = 0.02
    # Prepared statements a connection may carry before it is reset.
    prepared_limit: int = 200
    # Callers are told to come back after this when nobody leads.
    retry_after_ms: int = 500
    # ... and after this when there was merely no free connection.
    busy_retry_after_ms: int = 100
    # Work is sent to a leaving upstream up to this long before the end of the time
    # that it may be: a statement may wait for a slot on the way.
    drain_margin: float = 1.0


DEFAULT_SESSION_TUNING = SessionTuning()
