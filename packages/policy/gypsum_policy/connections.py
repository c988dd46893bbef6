"""Sharing an upstream's connections among workspaces, and which idle one to close.

Load pattern: many workspaces and few connections. A connection belongs to the workspace
for which it was opened, and opening one takes as much of a slot as a statement. If the
connections of busy workspaces were closed for one that calls once a minute, each
statement would pay for a new connection; if none were closed, late workspaces would get
none.

A workspace that needs another connection therefore replaces the idle one that is least
needed: a second one of a workspace that has several, else the one idle for longest.
"""

# Fraction of an upstream's connections that one workspace has to leave to the others:
# its transactions hold their connections while their callers pause.
RESERVED_SHARE = 0.25
# Below this many connections none is reserved: each would be a large fraction.
MIN_LIMIT_TO_RESERVE = 4


def index_to_evict(idle):
    """Index of the idle connection to close for a new one; None if none is idle.

    `idle` is a list of (workspace, idle since) pairs, times in seconds.
    """
    if not idle:
        return None
    names = [workspace for workspace, _ in idle]

    def sort_key(index):
        workspace, since = idle[index]
        return (names.count(workspace) < 2, since)

    return min(range(len(idle)), key=sort_key)


def may_hold(held, *, workspace, limit):
    """Whether a workspace may hold one more connection.

    `held` counts the connections in use by workspace, `limit` is the total for all.
    Without this limit the transactions of a large workspace hold every connection while
    their callers pause, and small workspaces wait for them.
    """
    if not workspace or limit < MIN_LIMIT_TO_RESERVE:
        return True
    return held[workspace] + 1 <= limit * (1 - RESERVED_SHARE)
