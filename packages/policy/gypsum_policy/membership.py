"""When a daemon is gone for good.

Load pattern: daemons are restarted and replaced all day, five at a time or half of them
at once. One that is gone owns groups in everybody's order until its entry is removed;
one that merely restarts must keep its place, or the owners of all groups move twice.
"""

# A daemon that could not be reached for this long is taken for gone, seconds: several
# times a restart, and longer than a path between daemons is cut on most days.
GONE_AFTER = 12.0
# How often those that could not be reached are looked at, seconds.
GONE_LOOK = 2.0


def may_be_gone(silent_for):
    """Tell whether a daemon is asked one last time before its entry is removed."""
    return silent_for >= GONE_AFTER
