"""Order in which upstreams are tried for a read. No I/O, no state."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream that may run a read, with the properties that rank it.

    `expected_latency` is the mean time of a statement in seconds, `outstanding` the
    number of this daemon's statements there, `slots` how many it runs at once.
    `connect_cost` is the time in seconds that a new connection takes, 0 if the
    caller's workspace has an idle one. `far`: it is in another failure domain.
    `avoided`: it failed a moment ago, or is slower or fails more than others.
    `lagging`: it may lack the read's position. `saturated`: a statement would have to
    queue. `probed`: it is avoided, and this read may find out whether it still has to.
    """

    id: str
    expected_latency: float
    outstanding: int
    slots: int
    is_primary: bool
    far: bool
    leaving: bool
    avoided: bool
    lagging: bool
    saturated: bool
    connect_cost: float = 0.0
    probed: bool = False


def order_for_read(candidates, *, far_cost):
    """Candidate ids, the best first.

    Replicas come before the primary, whose slots are needed for writes, unless they are
    expected to be slower by a whole statement. Upstreams that failed or leave come last
    instead of being excluded, so that a read is refused only when none can run it.
    """
    ranked = sorted(candidates, key=lambda item: sort_key(item, far_cost))
    return [item.id for item in ranked]


def sort_key(item, far_cost):
    """Sort key of one candidate.

    It includes the cost of a new connection. Otherwise the reads of a workspace rotate
    over all replicas and evict other workspaces' connections at each of them.
    """
    delay = (
        item.expected_latency * (1 + item.outstanding / max(1, item.slots))
        + item.connect_cost
    )
    if item.saturated:
        delay += item.expected_latency
    if item.is_primary:
        delay += item.expected_latency
    if item.far:
        delay += far_cost
    avoided = item.avoided and not item.probed
    return (not item.probed, avoided, item.leaving, item.lagging, delay, item.id)
