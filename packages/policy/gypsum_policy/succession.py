"""Which member of a group leads next.

Load pattern: a primary is gone, cut off or leaving while commits are on their way. Each
of its replicas has been paused, so the longest log holds all that was acknowledged.
"""


def choose_successor(paused, ordered=""):
    """The member to promote: the longest log, then one that stays, then any.

    `ordered` is the one of an order that got no answer. It stays the choice while
    its pause has held: two orders that are both carried out, for different members,
    let the second cut off what the first one acknowledged as primary.
    """
    if any(item.upstream == ordered and item.held_before for item in paused):
        return ordered
    best = max(
        paused,
        key=lambda item: (item.status.received, not item.leaving, item.upstream),
    )
    return best.upstream
