"""Which connection to an upstream a workspace gets, and which one gives way.

Load pattern: many workspaces before few connections. A connection is opened in the name
of one workspace and stays its own, a new one takes as much of a slot as a statement.
Were the connections of those that call all the time closed for one that calls once a
minute, each statement would pay for a new one; were none closed, whoever comes late
would get none.

So a workspace that needs one more takes the place of the idle connection that will be
missed least: a second one of a workspace that has another, else the one that has been
idle for longest.
"""

# Connections that one workspace leaves to the others, as a share of an upstream's:
# its transactions pause, and hold theirs meanwhile.
RESERVED_SHARE = 0.25
# With fewer connections than this none is kept back: each would be a large part.
MIN_LIMIT_TO_RESERVE = 4


def index_to_evict(idle):
    """Place of the idle connection that gives way to a new one; None without any.

    `idle` holds (workspace, idle since) of each, times in seconds.
    """
    if not idle:
        return None
    names = [workspace for workspace, _ in idle]

    def sort_key(index):
        workspace, since = idle[index]
        return (names.count(workspace) < 2, since)

    return min(range(len(idle)), key=sort_key)


def may_hold(held, *, workspace, limit):
    """Tell whether a workspace may hold one more connection.

    `held` counts the connections in use by workspace, `limit` is what there is for all.
    What goes wrong without it: a large workspace's transactions hold every connection
    while their callers pause, and the small ones wait for them.
    """
    if not workspace or limit < MIN_LIMIT_TO_RESERVE:
        return True
    return held[workspace] + 1 <= limit * (1 - RESERVED_SHARE)
