"""When a daemon counts as dead, and when the list of daemons is complete.

Load pattern: daemons are restarted and replaced all day, five at a time or half of them
at once. A dead daemon still owns groups in every daemon's order until its entry is
removed; a restarting one must keep its place, or the owners of all groups change twice.

A starting fleet finds an empty list: the first daemon to read it sees only itself and
owns every group. With 300 daemons and a hundred groups, each would open connections to
all upstreams within its first second, and the upstreams would refuse the real owners.
"""

# A daemon that has been unreachable for this many seconds counts as dead: several
# times a restart, and longer than most network partitions.
DEAD_AFTER = 12.0
# Seconds between checks of the unreachable daemons.
DEAD_CHECK_INTERVAL = 2.0

# Lost entries that the whole fleet writes again per second: half the capacity of a
# small store, which also serves upstreams and operators.
REREGISTRATIONS_PER_S = 200.0
# Every daemon learns within this many seconds that the store was restored from an older
# copy: the longest watch plus a margin.
RESTORE_KNOWN_WITHIN = 5.0

# A list to which no daemon was added for this many seconds is complete: machines start
# within a third of a second of each other, but a fleet of hundreds keeps the store busy
# for longer.
STABLE_AFTER = 2.0
# ... or after this many seconds: a fleet that grows all day always has new entries.
STABILITY_TIMEOUT = 6.0


def is_list_stable(*, rejoined, listed_for, unchanged_for):
    """Whether the list of daemons is complete; times in seconds.

    `rejoined`: this daemon was listed before it started, so the others were too.
    `listed_for`: time since it was listed, `unchanged_for`: since the last addition.
    """
    if rejoined or unchanged_for >= STABLE_AFTER:
        return True
    return listed_for >= STABILITY_TIMEOUT


def reregistration_delay(daemons, random_fraction):
    """Seconds until a daemon writes its lost entry to the store again.

    `random_fraction`, from 0 to 1, spreads the writes of the daemons.
    """
    return random_fraction * daemons / REREGISTRATIONS_PER_S


def missing_grace_period(daemons):
    """Seconds for which a daemon that is missing from a full list keeps its place.

    When the store has lost all entries, each daemon would otherwise see only itself,
    own every group and open connections to all upstreams.
    """
    return RESTORE_KNOWN_WITHIN + reregistration_delay(daemons, 1.0)


def may_be_dead(silent_for):
    """Whether to probe a daemon one last time before its entry is removed."""
    return silent_for >= DEAD_AFTER
