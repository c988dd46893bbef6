"""When a primary that this daemon can't reach is out of service, and when it isn't.

Load pattern: a primary that some daemons reach and others don't, because of a network
partition or because it accepts no more connections, while callers of all daemons need
it. A daemon that relied on its own view alone would depose a primary that serves half
of the callers, and no caller could write for a second; until then it would reject its
own callers.
"""

# A proof of the primary counts as a confirmation for this many seconds: two rounds of
# proofs, so that losing one doesn't matter.
CONFIRMATION_VALID_FOR = 0.6
# Seconds between queries to the other owners while this daemon reaches no primary:
# each costs them a few milliseconds.
ASK_INTERVAL = 0.15

# A member that has answered nothing for this many seconds is unreachable: without a
# primary it is probed ten times a second, and a connection attempt takes 0.4 to fail.
UNREACHABLE_AFTER = 1.0


def is_partitioned(answered, now):
    """Whether a daemon reaches too few members to see the next primary soon.

    `answered` holds the time of each member's last answer. When a primary dies the
    other members stay reachable, and callers are best served by waiting for its
    successor. On the minority side of a partition that wait is useless, while other
    daemons could serve the callers.
    """
    reached = sum(now - at < UNREACHABLE_AFTER for at in answered)
    return 2 * reached < len(answered)


def confirms_primary(proof_age):
    """Whether a proof of this age in seconds confirms the primary; None is no proof."""
    return proof_age is not None and proof_age < CONFIRMATION_VALID_FOR


def confirming_daemons(seen, now):
    """Names of the daemons that recently confirmed a primary, the latest first.

    `seen` maps names to the time of their confirmation, on this daemon's clock.
    """
    fresh = [
        (at, name) for name, at in seen.items() if now - at < CONFIRMATION_VALID_FOR
    ]
    return [name for _, name in sorted(fresh, reverse=True)]
