"""Which daemons hold connections to a group, how many, and whom others ask.

Load pattern: more daemons than an upstream takes connections. Each daemon that opened
its own few would leave an upstream full of idle connections, turn the last daemons away
and hold a queue of its own before the same few slots. So a group has owners: they hold
the connections, prove the leader and queue; all other daemons send them statements.

Who owns is only a matter of efficiency. Two daemons that disagree about it may open a
few connections more; promises rest on positions, terms and fences, not on this.
"""

from dataclasses import dataclass

from xxhash import xxh64_intdigest

from gypsum_policy.latency import DEFAULT_LATENCY, is_slower

# Up to this many daemons each hold connections of their own: a statement saves the hop
# to an owner, and a daemon that fails harms its own callers only.
ALL_OWN_UP_TO = 12
# Connections that an owner has to have to one upstream, at least: one for callers and
# one for the proofs on which they wait.
MIN_CONNECTIONS = 2
# After its start an owner may hold one connection more each time this has passed,
# seconds: upstreams count lost connections for three seconds.
GROWTH_INTERVAL = 0.75
# Connections to one upstream that an owner works well with: an upstream works on three
# to six statements at once, and transactions hold theirs while their callers pause.
CONNECTIONS_PER_OWNER = 8
# Owners of all groups to which a daemon keeps links before it needs them: a link takes
# some 25 kB at each end, and where there are more most are never needed.
MAX_WARM_LINKS = 32
# Owners of a group, at least: the loss of one leaves two.
MIN_OWNERS = 3
# Owners that may hand a statement on to the next, before one has to try: each costs two
# milliseconds, and when all have just started all would.
MAX_HANDOFFS = 2
# An owner that has lost the primary for longer than this hands work on, seconds: a late
# proof has come by then.
PRIMARY_LOSS_TOLERANCE = 0.25
# Owners that are compared by how fast they answer: one that is not known is asked,
# which takes a link; when all are slow every daemon would open one to each of them.
COMPARED_OWNERS = 3


def owner_count(daemons, max_connections):
    """How many of a number of daemons hold connections to a group's upstreams.

    `max_connections` is what one upstream takes of all daemons together.
    """
    if daemons <= ALL_OWN_UP_TO and can_share_equally(daemons, max_connections):
        return daemons
    return min(daemons, max(MIN_OWNERS, max_connections // CONNECTIONS_PER_OWNER))


def can_share_equally(daemons, max_connections):
    """Tell whether every daemon can have its least share, with one left over."""
    return max_connections // (daemons + 1) >= MIN_CONNECTIONS


def connection_share(owners, max_connections):
    """Connections that one of several owners may hold to one upstream.

    One share is left over, for proofs of the leader and for an owner that replaces
    another before it is gone.
    """
    return max(MIN_CONNECTIONS, max_connections // (owners + 1))


def share_after_start(share, since_start):
    """Connections that an owner is content with so many seconds after its start.

    What goes wrong with the full share at once: all daemons come back together while
    upstreams still count the connections that were lost; the first take what is left,
    and the last can't ask who leads. With the least for long, transactions that pause
    hold what there is, and all others wait, at upstreams that have room.
    """
    grown = MIN_CONNECTIONS + int(since_start / GROWTH_INTERVAL)
    return min(share, max(MIN_CONNECTIONS, grown))


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerView:
    """An owner of a group as one daemon sees it.

    `rank` is its place in the group's order of daemons, `avoided` that it did not
    answer a moment ago or said that it leaves, `expected_latency` the seconds that
    its answers take, None if that is not known.
    """

    name: str
    rank: int
    far: bool
    avoided: bool
    expected_latency: float | None = None


def is_last_resort(*, asked_all, leaving, unable):
    """Tell whether an owner has to try although it leaves or has just started.

    `asked_all`: all were asked once and none could. `leaving`: it said that it leaves,
    so that those that stay were asked before it. `unable` owners have handed it on.
    """
    return asked_all or leaving or unable >= MAX_HANDOFFS


def owners_to_ask(views, *, owners, daemon, workspace=""):
    """Names of those that a daemon asks, in turn.

    Owners come before the daemons that would own if they failed, near ones before far
    ones, and each daemon starts at another of equal ones, so that the owners of a
    failure domain share its callers. Those that did not answer are the last resort.
    One of the next comes before the first if that lags behind it.

    The work of a workspace goes to the same owner from all daemons, near or far. What
    goes wrong without it: an owner's few connections, each in the name of a workspace,
    serve all of them in turn, and most statements wait for a new one.
    """

    def sort_key(view):
        stands_in = view.rank >= owners
        if workspace:
            turn = xxh64_intdigest(f"{workspace}/{view.name}".encode())
            return (view.avoided, stands_in, turn)
        turn = xxh64_intdigest(f"{daemon}/{view.name}".encode())
        return (view.avoided, stands_in, view.name != daemon, view.far, turn)

    order = sorted(views, key=sort_key)
    best = fastest(order[:COMPARED_OWNERS], owners)
    if best is not None and is_slower(order[0].expected_latency, best.expected_latency):
        order.remove(best)
        order.insert(0, best)
    return [view.name for view in order]


def fastest(views, owners):
    """The owner whose answers take least; one that nobody knows counts as usual."""
    candidates = [view for view in views if not view.avoided and view.rank < owners]
    return min(
        candidates,
        key=lambda view: view.expected_latency or DEFAULT_LATENCY,
        default=None,
    )
