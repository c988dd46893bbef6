"""Which daemons hold connections to a group, how many, and which owners others ask.

Load pattern: more daemons than an upstream accepts connections. If each daemon opened a
few of its own, an upstream would be full of idle connections and reject the last
daemons, and every daemon would have its own queue for the same few slots. A group
therefore has owners, which hold the connections, prove which upstream is primary and
queue the work; all other daemons send them their statements.

Ownership only affects efficiency. Two daemons that disagree about it may open a few
extra connections; correctness rests on log positions, terms and fencing.
"""

from dataclasses import dataclass

from xxhash import xxh64_intdigest

from gypsum_policy.latency import DEFAULT_LATENCY, is_slower

# Up to this many daemons, all own every group: statements save the hop to an owner, and
# a failed daemon affects only its own callers.
ALL_OWN_UP_TO = 12
# Minimum connections of an owner to one upstream: one for callers and one for the
# proofs of the primary on which they wait.
MIN_CONNECTIONS = 2
# After its start an owner may hold one more connection every this many seconds:
# upstreams count lost connections for three seconds.
GROWTH_INTERVAL = 0.75
# Connections to one upstream that an owner needs to work well: an upstream runs three
# to six statements at once, and transactions keep theirs while their callers pause.
CONNECTIONS_PER_OWNER = 8
# Owners of all groups to which a daemon keeps links open in advance. A link takes about
# 25 kB at each end, and with more owners most links would never be used.
MAX_WARM_LINKS = 32
# Minimum number of owners of a group: two remain when one is lost.
MIN_OWNERS = 3
# Owners that may hand a statement on before the next one has to try it. Each handoff
# costs two milliseconds, and owners that have all just started would all hand it on.
MAX_HANDOFFS = 2
# An owner that has had no primary for longer than this hands work on, seconds: a proof
# that is merely late has arrived by then.
PRIMARY_LOSS_TOLERANCE = 0.25
# Owners that are compared by latency. One whose latency is unknown gets tried, which
# needs a link; when all are slow every daemon would open a link to each of them.
COMPARED_OWNERS = 3


def owner_count(daemons, max_connections):
    """Number of daemons that hold connections to a group's upstreams.

    `max_connections` is what one upstream accepts from all daemons together.
    """
    if daemons <= ALL_OWN_UP_TO and can_share_equally(daemons, max_connections):
        return daemons
    return min(daemons, max(MIN_OWNERS, max_connections // CONNECTIONS_PER_OWNER))


def can_share_equally(daemons, max_connections):
    """Whether every daemon can have the minimum share, with one share left over."""
    return max_connections // (daemons + 1) >= MIN_CONNECTIONS


def connection_share(owners, max_connections):
    """Connections that each owner may hold to one upstream.

    One share is left over, for proofs of the primary and for an owner that replaces
    another one before that one has closed its connections.
    """
    return max(MIN_CONNECTIONS, max_connections // (owners + 1))


def share_after_start(share, since_start):
    """Connections that an owner may hold `since_start` seconds after its start.

    With the full share at once, daemons that restart together while upstreams still
    count the lost connections compete for what is left: the first ones take it, and the
    last ones can't ask which upstream is primary. With the minimum for long, paused
    transactions hold all connections and others wait while upstreams have free slots.
    """
    grown = MIN_CONNECTIONS + int(since_start / GROWTH_INTERVAL)
    return min(share, max(MIN_CONNECTIONS, grown))


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerView:
    """A daemon that may be asked for a group's work, as seen by the asking daemon.

    `rank` is its place in the group's order of daemons. `far`: it is in another failure
    domain. `avoided`: it recently failed to answer, or announced that it leaves.
    `expected_latency` is the time of its answers in seconds, None if unknown. `full`:
    work would wait there for longer than its latency target allows.
    """

    name: str
    rank: int
    far: bool
    avoided: bool
    expected_latency: float | None = None
    full: bool = False


def is_last_resort(*, asked_all, leaving, unable):
    """Whether an owner must try a statement although it leaves or has just started.

    `asked_all`: all owners were asked once and none could run it. `leaving`: this owner
    announced that it leaves, so those that stay were asked before it. `unable`: number
    of owners that handed the statement on.
    """
    return asked_all or leaving or unable >= MAX_HANDOFFS


def owners_to_ask(views, *, owners, daemon, workspace=""):
    """Names of the daemons to ask, in order.

    Owners come before the daemons that would replace failed owners, those that have
    room before full ones, near ones before far ones. Among equals each daemon starts
    with a different one, so that the owners of a failure domain share its callers.
    Avoided ones are the last resort. If the first owner is much slower than one of the
    next, that one is asked first.

    All daemons send the work of a workspace to the same owner, near or far, and to the
    next of its order while that one is full. Otherwise an owner's few connections, each
    bound to a workspace, would serve all workspaces in turn, and most statements would
    wait for a new connection.
    """

    def sort_key(view):
        is_standby = view.rank >= owners
        if workspace:
            order_hash = xxh64_intdigest(f"{workspace}/{view.name}".encode())
            return (view.avoided, is_standby, view.full, order_hash)
        order_hash = xxh64_intdigest(f"{daemon}/{view.name}".encode())
        is_other = view.name != daemon
        return (view.avoided, is_standby, view.full, is_other, view.far, order_hash)

    order = sorted(views, key=sort_key)
    best = fastest(order[:COMPARED_OWNERS], owners)
    if best is not None and is_slower(order[0].expected_latency, best.expected_latency):
        order.remove(best)
        order.insert(0, best)
    return [view.name for view in order]


def fastest(views, owners):
    """The owner with the lowest latency; an unknown one counts as typical."""
    candidates = [
        view
        for view in views
        if not view.avoided and view.rank < owners and view.full == views[0].full
    ]
    return min(
        candidates,
        key=lambda view: view.expected_latency or DEFAULT_LATENCY,
        default=None,
    )
