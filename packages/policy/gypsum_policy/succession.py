"""Which member of a group leads next, and when another one should for its load.

Load pattern: a primary is gone, cut off or leaving while commits are on their way. Each
of its replicas has been paused, so the longest log holds all that was acknowledged.

Second pattern: all replicas are far behind, every read falls on the primary, and its
queue is longer than what can be answered in time. A replica has received what it has
not applied, and leads with all of it; the old primary then is a replica that is level.
So a change of the lead doubles what the group can run, at once instead of when the
replicas have caught up.
"""

# Replicas that have refused all reads for this long are behind for longer, seconds:
# those that catch up do so within a second.
BEHIND_AFTER = 1.0
# Statements have waited without a break for this long, seconds: a rush that the primary
# can take is over sooner.
PRESSED_AFTER = 0.5
# After a takeover the lead stays where it is for its load's sake, seconds: a change
# that did not help is not followed by others.
REST = 6.0


def worth_changing(*, behind_for, pressed_for, led_for):
    """Tell whether another member should lead since the replicas are behind.

    `behind_for`: seconds for which no replica has answered a read, though asked;
    `pressed_for`: for which statements have waited at the primary; `led_for`: since it
    took the lead, or a takeover was tried.
    """
    return (
        behind_for >= BEHIND_AFTER and pressed_for >= PRESSED_AFTER and led_for >= REST
    )


def choose_heir(candidates):
    """The replica to hand the lead to while the primary serves; empty if none stays."""
    staying = [item for item in candidates if not item.leaving]
    if not staying:
        return ""
    best = max(staying, key=lambda item: (item.status.received, item.upstream))
    return best.upstream


def choose_successor(paused, ordered=""):
    """The member to promote: the longest log, then one that stays, then any.

    `ordered` is the one of an order that got no answer. It stays the choice while
    its pause has held, or its log is as long as any: two orders that are both carried
    out, for different members, let the second cut off what the first one acknowledged
    as primary.
    """
    if any(item.upstream == ordered and item.already_paused for item in paused):
        return ordered
    best = max(
        paused,
        key=lambda item: (
            item.status.received,
            item.upstream == ordered,
            not item.leaving,
            item.upstream,
        ),
    )
    return best.upstream
