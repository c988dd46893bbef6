"""Which member of a group to promote, and when to hand over because of load.

Load pattern: the primary is dead, cut off or leaving while commits are in flight, and
other members may be down with it. Replication to the members that answer has been
paused; their longest log is promoted once it is certain to hold every acknowledged
commit. A daemon that has just started, stood still or was cut off must come to the same
conclusion, so it rests on the record of members in the store and on the logs alone.

Second pattern: all replicas lag far behind, every read goes to the primary, and its
queue is longer than what can be answered in time. A replica has received log that it
hasn't applied yet, and has all of it once it is primary; the old primary then is an up
to date replica. A handover therefore doubles the group's capacity at once instead of
when the replicas have caught up.
"""

# Replicas that have refused all reads for this many seconds lag for longer: one that is
# about to catch up does so within a second.
LAGGING_AFTER = 1.0
# The primary's queue must have been non-empty for this many seconds: a burst that it
# can handle is over sooner.
BACKLOGGED_AFTER = 0.5
# No handover because of load within this many seconds of a takeover: one that didn't
# help isn't followed by others.
HANDOVER_COOLDOWN = 6.0

# A member that was absent for this many seconds counts as gone for good: ten ordinary
# restarts of an upstream. Nothing tells that one never returns, and a group that waits
# has no writes.
DEPARTED_MEMBER_TIMEOUT = 15.0


def copies_of_commit(sync_replicas):
    """The number of members on record that have each acknowledged commit.

    These are the primary and the replicas that received it. A group without synchronous
    replicas gives up what only its primary has, or no primary could be replaced.
    """
    return 1 + max(1, sync_replicas)


def may_lack_commits(*, absent, sync_replicas):
    """Whether the longest log of the paused members may lack an acknowledged commit.

    `absent` are the members on record whose log was not read. Fewer of them than a
    commit has copies can't be all that have it, whichever of them was the primary.
    """
    return len(absent) >= copies_of_commit(sync_replicas)


def reaches_all(longest, shown):
    """Whether a log reaches every position that the group's owners were shown.

    `shown` has one position for each owner, None for one that doesn't know. Every
    commit is acknowledged through an owner, so only all of them together know the last.
    """
    return all(position is not None and position <= longest for position in shown)


def should_hand_over(*, lagging_for, backlogged_for, since_takeover):
    """Whether to hand over to a replica because all replicas lag; times in seconds.

    `lagging_for`: time for which no replica has answered a read, though asked.
    `backlogged_for`: time for which statements have waited at the primary.
    `since_takeover`: time since the primary took over or a takeover was tried.
    """
    return (
        lagging_for >= LAGGING_AFTER
        and backlogged_for >= BACKLOGGED_AFTER
        and since_takeover >= HANDOVER_COOLDOWN
    )


def pauses_suffice(target, resumable, sync_replicas):
    """Whether pausing the others keeps all later commits with the member to promote.

    `resumable` are the paused members that may receive again by themselves, as an
    earlier command to resume them may still be carried out. The old primary can
    acknowledge a commit that `target` lacks once enough others of them receive it.
    """
    others = set(resumable) - {target}
    return not sync_replicas or len(others) < sync_replicas


def choose_handover_target(candidates, resumable=(), sync_replicas=1):
    """The replica to promote while the primary still serves; "" if none can be."""
    staying = [
        item
        for item in candidates
        if not item.leaving and pauses_suffice(item.upstream, resumable, sync_replicas)
    ]
    if not staying:
        return ""
    best = max(staying, key=lambda item: (item.status.received, item.upstream))
    return best.upstream


def choose_promotion_target(paused, pending="", resumable=(), sync_replicas=1):
    """The member to promote: the one with the longest log, preferably one that stays.

    `pending` is the member of a promotion order that got no answer. It is chosen again
    if it has stayed paused since or its log is as long as any: if two orders for
    different members both took effect, the second one would lose what the first member
    acknowledged as primary. Returns "" if none can be promoted while the `resumable`
    ones may receive again.
    """
    if any(item.upstream == pending and item.already_paused for item in paused):
        suffices = pauses_suffice(pending, resumable, sync_replicas)
        return pending if suffices else ""
    longest = max(item.status.received for item in paused)
    candidates = [
        item
        for item in paused
        if item.status.received == longest
        and pauses_suffice(item.upstream, resumable, sync_replicas)
    ]
    if not candidates:
        return ""
    best = max(
        candidates,
        key=lambda item: (item.upstream == pending, not item.leaving, item.upstream),
    )
    return best.upstream
