"""When a daemon is gone for good, and when a fleet that starts knows itself.

Load pattern: daemons are restarted and replaced all day, five at a time or half of them
at once. One that is gone owns groups in everybody's order until its entry is removed;
one that merely restarts must keep its place, or the owners of all groups move twice.

A fleet starts before an empty list: whoever has read it first finds itself alone, and
owns every group. With 300 daemons before a hundred groups each would open connections
to all upstreams within its first second, and the upstreams refuse those of the owners.
"""

# A daemon that could not be reached for this long is taken for gone, seconds: several
# times a restart, and longer than a path between daemons is cut on most days.
DEAD_AFTER = 12.0
# How often those that could not be reached are looked at, seconds.
DEAD_CHECK_INTERVAL = 2.0

# Lost entries that the whole fleet writes again in a second: half of what a small store
# takes, which also serves upstreams and operators.
REREGISTRATIONS_PER_S = 200.0
# Every daemon learns that the store has returned from a copy within this, seconds: the
# longest watch and its margin.
RESTORE_KNOWN_WITHIN = 5.0

# A list to which nobody was added for this long is whole, seconds: machines start
# within a third of a second, and a fleet of hundreds keeps the store busy for longer.
STABLE_AFTER = 2.0
# ... or after this, seconds: in a fleet that grows all day somebody is always new.
STABILITY_TIMEOUT = 6.0


def is_list_stable(*, rejoined, listed_for, unchanged_for):
    """Tell whether the list of daemons can be gone by, times in seconds.

    `rejoined`: this daemon was listed before it started, so the others were too.
    """
    if rejoined or unchanged_for >= STABLE_AFTER:
        return True
    return listed_for >= STABILITY_TIMEOUT


def reregistration_delay(daemons, random_fraction):
    """Seconds until a daemon writes its lost entry again.

    `random_fraction` is from 0 to 1.
    """
    return random_fraction * daemons / REREGISTRATIONS_PER_S


def missing_grace_period(daemons):
    """Seconds for which a daemon that a whole list lacks keeps its place.

    If the store has lost all entries each daemon would otherwise be the only one known,
    own every group and open connections to all upstreams.
    """
    return RESTORE_KNOWN_WITHIN + reregistration_delay(daemons, 1.0)


def may_be_dead(silent_for):
    """Tell whether a daemon is asked one last time before its entry is removed."""
    return silent_for >= DEAD_AFTER
