"""Limits and timings of statement sessions; in seconds unless the name says else."""

from dataclasses import dataclass


# Never compared or printed: with so many fields, generating the methods for it takes
# longer than the import of most modules.
@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class SessionTuning:
    """Limits and timings; each comment gives the reason for the value."""

    # A primary that runs no statements is probed this often: a third of the shortest
    # useful time to detect a dead one.
    ping_interval: float = 0.25
    # Round trips between failure domains take 2 ms, so no answer for 0.3 s is a
    # failure.
    ping_timeout: float = 0.3
    # Opening a connection takes up to 30 ms at an upstream that has a free slot.
    dial_timeout: float = 0.4
    # Pause between searches for the primary of a group; a promotion takes 0.3 to 1 s.
    search_interval: float = 0.1
    # A primary unreachable on fresh connections for this long is replaced. Longer
    # outages cost more than a promotion; a shorter limit would replace the primary
    # because of a brief interruption.
    suspect_after: float = 0.7
    # A primary that proved its role this recently is replaced without asking whether
    # it has become a replica: within this time no other daemon can have replaced it
    # and promoted it again.
    recent_lead_window: float = 2.0
    # A primary that is too busy to prove its role keeps it for this long: the queue for
    # its slots empties in a fraction of that.
    busy_limit: float = 2.0
    # Writes count as stalled when some wait and none was answered for this long; a
    # full queue takes 0.3 s.
    stall_timeout: float = 0.8
    # Replicas that receive the log show progress within this: ten times their usual
    # lag.
    stall_check_window: float = 0.3
    # A takeover may be in progress for this long after its lease was acquired: the
    # longest time until its promotion.
    takeover_max_duration: float = 4.0
    # A commit that a replica applies within this is waited for, which takes no slot. A
    # replica whose usual lag is longer is asked what it has received, which takes a
    # slot and a few milliseconds.
    confirm_apply_wait: float = 0.05
    # Weight of the newest sample in a replica's usual lag: three samples are enough.
    lag_weight: float = 0.3
    # Pause between two checks of a replica's progress.
    confirm_poll_interval: float = 0.01
    # Pause before the replicas are asked again about a commit that none is known to
    # have: each round takes slots of replicas that lag.
    confirm_retry_interval: float = 0.1
    # The next replica is asked as well after this: a status request that finds a free
    # slot takes a few milliseconds.
    confirm_hedge_delay: float = 0.015
    # Answers of replicas that are still outstanding are waited for this much longer.
    confirm_margin: float = 0.05
    # A failed dial is not repeated for this long, doubling up to the maximum: each dial
    # takes a slot of the upstream, and retries of callers would dial without end.
    redial_backoff_min: float = 0.1
    redial_backoff_max: float = 0.5
    # The same for an upstream at its connection limit: ten daemons then dial it some
    # thirty times a second, which it refuses without using a slot.
    redial_delay_at_limit: float = 0.3
    # The log that a demoted primary has sent reaches its replicas within this.
    handover_pause: float = 0.05
    # Each daemon waits this much longer per rank in the takeover order.
    rank_delay: float = 0.8
    # A lease that changed hands more recently than this is not taken over.
    lease_min_age: float = 3.0
    # Delay before a daemon that found the lease held tries again.
    lease_retry_delay: float = 0.5
    # An accepted promotion takes effect within the platform's time plus a margin.
    promotion_timeout: float = 3.0
    # An order that the platform has accepted can take effect for this long: it takes a
    # second at most.
    promotion_effect_time: float = 1.5
    # A promotion is ordered within this time after its lease was taken, so that it has
    # taken effect before another daemon may take the lease over (lease_min_age).
    lease_order_window: float = 1.0
    # An unanswered promotion order is looked for this much longer than the call took.
    unanswered_promotion_wait: float = 0.2
    # Commands to upstreams: one round trip and a slot.
    command_timeout: float = 0.5
    # A read that takes this many times its usual time is sent to another upstream too.
    hedge_factor: float = 6.0
    # The same, but not before the slowest ordinary reads have been answered.
    hedge_min_delay: float = 0.25
    # Attempts that still run after their reply are waited for this long before session
    # values change: the statement timeout of most routes is one second. If one still
    # runs, the values are not changed. A statement that outlasts its timeout may be
    # answered for this much longer.
    running_attempt_wait: float = 1.0
    # Floors older than the largest allowed age are never needed.
    floor_retention: float = 30.0
    # Share of a request's time that it may wait for a primary: the rest is for the
    # work itself.
    leader_wait_share: float = 0.85
    # A connection beyond the first that was not needed for this long is closed: a new
    # one takes a slot for 12 to 27 ms, and bursts are seconds apart.
    idle_timeout: float = 2.0
    # The same for a connection that belongs to a workspace: its callers are seconds
    # apart, and each would need a new one. At the connection limit it is closed
    # earlier if another workspace needs its place.
    workspace_idle_timeout: float = 10.0
    # A daemon opens fewer connections for this long after its start: for three more
    # seconds, upstreams still count connections of a host that lost power.
    startup_limit_duration: float = 4.0
    # What a watcher of the store passes on counts as confirmed for this long after the
    # store's last answer: a watch ends after four seconds at the latest, and it takes
    # one more to detect that it is dead.
    store_confirmation_time: float = 5.0
    # A member missing from the list is kept for this long, so that entries that the
    # store lost in an outage can come back.
    missing_grace: float = 2.5
    # An upstream that gave no answer is avoided for this long, doubling up to the
    # maximum.
    avoid_backoff_min: float = 0.5
    avoid_backoff_max: float = 4.0
    # A replica counts as behind for this long after a read last required a position
    # that it lacks: under load, such reads are a few milliseconds apart.
    behind_expiry: float = 0.5
    # The replica that is to be promoted catches up with the others within this unless
    # it receives nothing: a few round trips.
    handover_target_wait: float = 0.3
    # Weight of the newest sample in an upstream's mean time.
    mean_weight: float = 0.1
    # Assumed time of a statement before the first sample: the mean of the workloads.
    initial_mean: float = 0.03
    # Added cost of an upstream in another failure domain: a round trip.
    far_cost: float = 0.002
    # Assumed time of a dial before the first sample: upstreams take 12 to 27 ms.
    initial_dial_time: float = 0.02
    # A connection that would carry more prepared statements than this is reset first.
    prepared_limit: int = 200
    # Callers are told to retry after this if there is no primary.
    retry_after_ms: int = 500
    # The same if none can lead before absent members are back: a member that is listed
    # again is paused and promoted within this.
    absent_retry_after_ms: int = 1000
    # The same if there was merely no free connection.
    busy_retry_after_ms: int = 100
    # Work is sent to a leaving upstream until this long before it stops accepting any:
    # a statement may wait for a slot on the way.
    drain_margin: float = 1.0


DEFAULT_SESSION_TUNING = SessionTuning()
