"""When a read that all upstreams refused should be tried again, or be refused.

Load pattern: both replicas of a group lag and the primary's queue is full. Reads that
ask them all again every few milliseconds until their deadline load the group, hold
their callers for nothing, and keep what could be served from its place.
"""

from dataclasses import dataclass

# Pauses between rounds, seconds: a slot or a connection may be free a moment later. The
# pause doubles, so that a read that goes on for a second makes few rounds.
FIRST_PAUSE = 0.02
LONGEST_PAUSE = 0.16
# A caller waits for a lagging replica for at most this part of its time: the lag may
# last longer than expected, and a refusal must leave time to try again.
LAG_PATIENCE = 0.5
# A replica is checked again this much later than it is expected to be up to date: what
# has been measured of its lag is a mean.
LAG_MARGIN = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class Obstacle:
    """Why one upstream did not run a read.

    `lagging`: it lacked the position, and `ready_in` is when it is expected to have it.
    `queued`: its queue is too long, and has room in `ready_in` seconds. Otherwise
    nothing is known, and it may run the read a moment later.
    """

    lagging: bool = False
    queued: bool = False
    ready_in: float = 0.0


def expected_lag(*, usual, behind_for):
    """Seconds until a replica has a position that it lacks now.

    `usual` is the time in which it usually applies a commit. One that has lacked
    positions for some time is expected to lack them for as long again.
    """
    return max(usual, behind_for) + LAG_MARGIN


def pause_before_round(obstacles, *, number, time_left):
    """Seconds until the next round; None if no upstream can run the read in time."""
    pauses = []
    for item in obstacles:
        if item.lagging and item.ready_in <= LAG_PATIENCE * time_left:
            pauses.append(item.ready_in)
        if not item.lagging and not item.queued:
            pauses.append(usual_pause(number))
    if not pauses:
        return None
    pause = max(FIRST_PAUSE, min(pauses))
    return pause if pause < time_left else None


def usual_pause(number):
    """Pause after the round with this number, counted from 0."""
    return min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** min(number, 8))


def retry_wait(obstacles):
    """Seconds after which a refused read may succeed."""
    return min((item.ready_in for item in obstacles), default=0.0)
