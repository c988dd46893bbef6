"""The promotion leases as this daemon has seen them change."""

from dataclasses import dataclass, replace

from gypsum_sessions.interfaces import PromotionLease

# A takeover that began before this process may be under way this long, seconds.
START_REST = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SeenLease:
    """A lease and when this daemon first saw it so, on its own clock.

    `chain_seen_at` is when it first saw any of the unsettled leases that led up to it.
    """

    lease: PromotionLease
    seen_at: float
    chain_seen_at: float


class LeaseBoard:
    """The newest lease of each group.

    The store's clock and other daemons' clocks are not ours, so a lease's age is the
    time since we saw it change. What goes wrong without an age: a daemon takes the
    lease over while its holder waits for a promotion to show, and undoes its work.
    """

    def __init__(self, *, clock, rest):
        self.clock = clock
        self.rest = rest
        self.seen = {}
        self.known_to = -1

    def note_known(self, revision):
        """All leases up to a revision of the store have been taken in."""
        self.known_to = max(self.known_to, revision)

    def note_first(self, group, lease):
        """Take in a lease as it was found at the start.

        Nobody knows since when it is so. A promotion takes up to a second and this
        process took a part of that to start, so little of a rest is left.
        """
        found = self.clock() - self.rest + START_REST
        self.seen[group] = SeenLease(lease=lease, seen_at=found, chain_seen_at=found)

    def note(self, group, lease):
        """Take in a lease as the store has it; older news and "nobody" are ignored."""
        if not lease.token:
            return
        known = self.seen.get(group)
        if known is None or lease.token > known.lease.token:
            now = self.clock()
            chain = known.chain_seen_at if self.unsettled(group) else now
            self.seen[group] = SeenLease(lease=lease, seen_at=now, chain_seen_at=chain)
        elif lease.token == known.lease.token and lease.settled:
            self.seen[group] = replace(known, lease=lease)

    def newest(self, group, seen):
        """A lease as the store has it, or the newer one that the store has lost.

        A lost one comes with the store's revision, on which the next write depends. Its
        holder may still be at work, so its rest and its chain of takeovers count.
        """
        known = self.seen.get(group)
        if known is None or known.lease.token <= seen.token:
            return seen
        lost = known.lease
        return replace(lost, revision=seen.revision, chain_start=lost.takeover_start)

    def token(self, group):
        """The newest token known, 0 if there is none."""
        known = self.seen.get(group)
        return known.lease.token if known else 0

    def unsettled(self, group):
        """Tell whether orders under the newest token may still have an effect."""
        known = self.seen.get(group)
        return known is not None and known.lease.token > 0 and not known.lease.settled

    def under_way(self, group):
        """Tell whether a takeover may be under way: unsettled, and not for long."""
        return self.unsettled(group) and self.age(group) < self.rest

    def knows(self, group, joined):
        """Tell whether each takeover under way has a member on its list.

        A takeover takes the lease, then reads the list. So it knows of all that were
        listed before its lease was taken. One that we have not heard of yet has a
        lease newer than all that we know. What goes wrong when a takeover counts as
        over after some time: its holder died, an order of it is carried out ten seconds
        late, and cuts off what was acknowledged through a member that it did not know.
        """
        if self.unsettled(group) and joined >= self.seen[group].lease.takeover_start:
            return False
        return joined <= self.known_to

    def trusts(self, group, opened_at):
        """Tell whether a replica's word counts over a connection opened at a time.

        What goes wrong without it: a replica that a takeover has paused restarts, is
        paused no longer, receives a commit of the old primary and confirms it; the
        takeover promotes another. A restart ends connections, so one that is older
        than the takeover shows that there was none.
        """
        return not self.unsettled(group) or opened_at < self.seen[group].chain_seen_at

    def age(self, group):
        """Seconds since the lease changed hands, as far as we saw."""
        known = self.seen.get(group)
        return self.clock() - known.seen_at if known else float("inf")
