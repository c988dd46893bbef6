"""When a primary that this daemon does not reach is out of service, and when it is not.

Load pattern: a primary that some daemons reach and others do not, as a path is cut or
it takes no further connection, while callers of all daemons need it. A daemon that goes
by its own view alone deposes a primary that serves half of the callers, for a second
in which nobody writes; and until then it turns its own callers away.
"""

# A daemon that has proven a primary this lately vouches for it, seconds: two rounds of
# proofs, so that one that is lost does not count.
CONFIRMATION_VALID_FOR = 0.6
# Other owners are asked again after this, seconds, while we reach no primary: a few
# milliseconds of theirs each time.
ASK_INTERVAL = 0.15

# A member that has answered nothing for this long is out of our reach, seconds: it is
# asked ten times a second while nobody leads, and a dial takes 0.4 to fail.
UNREACHABLE_AFTER = 1.0


def is_partitioned(answered, now):
    """Tell whether a daemon reaches too few members to see the next primary soon.

    `answered` holds when each member last answered anything. A primary that died leaves
    the others in reach, and waiting for its successor serves the callers; a daemon on
    the wrong side of a cut keeps them waiting for nothing, while others could serve
    them.
    """
    reached = sum(now - at < UNREACHABLE_AFTER for at in answered)
    return 2 * reached < len(answered)


def confirms_primary(proof_age):
    """Tell whether a daemon whose last proof is so old vouches for its primary."""
    return proof_age is not None and proof_age < CONFIRMATION_VALID_FOR


def confirming_daemons(seen, now):
    """Names of daemons that lately vouched for a primary, the one seen last first.

    `seen` maps names to when they did, on our clock.
    """
    fresh = [
        (at, name) for name, at in seen.items() if now - at < CONFIRMATION_VALID_FOR
    ]
    return [name for _, name in sorted(fresh, reverse=True)]
