"""A daemon's view of the promotion leases, with the times of their changes."""

from dataclasses import dataclass, field, replace

from gypsum_sessions.interfaces import PromotionLease

# A takeover that began before this process started counts as under way for this long
# after the start, seconds.
INITIAL_WINDOW = 1.0
# A command to resume replication is sent within this time after its record in the
# lease was begun, seconds.
RESUME_WINDOW = 2.0
# An upstream may carry out a command that it left unanswered for this long, seconds.
LATE_COMMAND_LIMIT = 12.0
# A recorded command to resume replication has no effect any more after this time,
# seconds: the way to the upstream takes part of it.
RESUME_LIFETIME = RESUME_WINDOW + LATE_COMMAND_LIMIT + 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class SeenLease:
    """A lease and the time at which this daemon first saw it, on its own clock.

    `settled_at` is the last time at which the store is known to have had no lease of
    the chain: the sequence of unsettled leases that ends with this one. `resumes_seen`
    has the times at which each entry of the lease's `resumes` was first seen.
    """

    lease: PromotionLease
    seen_at: float
    settled_at: float
    resumes_seen: dict[tuple[str, int], float] = field(default_factory=dict)


class LeaseView:
    """The newest known lease of each group.

    The clocks of the store and of other daemons are not comparable with ours, so a
    lease's age is the time since this daemon saw it change. The age keeps a daemon from
    taking a lease over while its holder waits for a promotion to take effect, which
    would undo that promotion.

    `takeover_window` is how long a takeover may be under way, seconds.
    `known_revision` is the store's revision up to which all leases are known, -1 before
    the first. `confirmed_at` is the last time at which the store is known to have had
    no later leases, `read_at` the same for single groups.
    """

    def __init__(self, *, clock, takeover_window):
        self.clock = clock
        self.takeover_window = takeover_window
        self.seen = {}
        self.known_revision = -1
        self.confirmed_at = float("-inf")
        self.read_at = {}

    def record_revision(self, revision):
        """Note that all leases up to a revision of the store are known."""
        self.known_revision = max(self.known_revision, revision)

    def record_confirmed(self, at):
        """Note that the store had no other leases than the known ones at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def record_read(self, group, lease, asked_at):
        """Record a lease that was asked for at a time; it may have been taken since."""
        self.record(group, lease)
        self.read_at[group] = max(self.group_confirmed_at(group), asked_at)

    def group_confirmed_at(self, group):
        """The last time at which the store had no later lease of a group, as known."""
        return max(self.confirmed_at, self.read_at.get(group, float("-inf")))

    def settled_at(self, group):
        """The last time at which no takeover of a group was under way, as is known."""
        if self.unsettled(group):
            return self.seen[group].settled_at
        return self.group_confirmed_at(group)

    def record_initial(self, group, lease):
        """Record a lease that was found when the process started.

        Its age is unknown. A promotion takes up to a second, and starting the process
        took part of that, so only INITIAL_WINDOW of the takeover window is left.
        """
        found = self.clock() - self.takeover_window + INITIAL_WINDOW
        self.seen[group] = SeenLease(
            lease=lease,
            seen_at=found,
            settled_at=float("-inf"),
            resumes_seen=self.resume_times(group, lease),
        )

    def record(self, group, lease):
        """Record a lease as read from the store.

        Leases older than the known one, and the empty lease that was never held (token
        0), are ignored.
        """
        if not lease.token:
            return
        known = self.seen.get(group)
        resumes_seen = self.resume_times(group, lease)
        if known is None or lease.token > known.lease.token:
            self.seen[group] = SeenLease(
                lease=lease,
                seen_at=self.clock(),
                settled_at=self.settled_at(group),
                resumes_seen=resumes_seen,
            )
        elif lease.token == known.lease.token and (
            lease.settled or lease.revision > known.lease.revision
        ):
            self.seen[group] = replace(known, lease=lease, resumes_seen=resumes_seen)

    def resume_times(self, group, lease):
        """When each command to resume replication was first seen in a group's lease."""
        known = self.seen.get(group)
        before = known.resumes_seen if known else {}
        return {key: before.get(key, self.clock()) for key in lease.resumes.items()}

    def outstanding_resumes(self, group):
        """Commands to resume replication that may be carried out late: `resumes`."""
        known = self.seen.get(group)
        if known is None:
            return {}
        oldest = self.clock() - RESUME_LIFETIME
        return dict(key for key, at in known.resumes_seen.items() if at > oldest)

    def newest(self, group, seen):
        """The lease read from the store, or a known newer one that the store has lost.

        A lost lease is returned with the store's revision, because the next write is
        conditional on it. Its holder may still be active, so its age and its chain of
        takeovers still count. The lease has only those `resumes` that may still take
        effect.
        """
        resumes = self.outstanding_resumes(group)
        known = self.seen.get(group)
        if known is None or known.lease.token <= seen.token:
            return replace(seen, resumes=resumes)
        lost = known.lease
        return replace(
            lost,
            revision=seen.revision,
            chain_start=lost.takeover_start,
            resumes=resumes,
        )

    def token(self, group):
        """The highest known token, 0 if there is none."""
        known = self.seen.get(group)
        return known.lease.token if known else 0

    def unsettled(self, group):
        """Return whether orders under the highest known token may still take effect."""
        known = self.seen.get(group)
        return known is not None and known.lease.token > 0 and not known.lease.settled

    def under_way(self, group):
        """Return whether the lease is unsettled and within the takeover window."""
        return self.unsettled(group) and self.age(group) < self.takeover_window

    def member_known(self, group, joined):
        """Return whether every unsettled takeover has a member on its list.

        A takeover takes the lease and then reads the member list, so it knows all
        members listed before its lease was taken. `joined` is the store's revision at
        which the member was listed. A takeover not seen yet has a lease newer than
        `known_revision`. An unsettled takeover never counts as over because of its age:
        its holder may have died and its order be carried out ten seconds late, which
        would discard commits acknowledged through a member that it did not know.
        """
        if self.unsettled(group) and joined >= self.seen[group].lease.takeover_start:
            return False
        return joined <= self.known_revision

    def connection_trusted(self, group, opened_at):
        """Return whether a replica may confirm commits over a connection.

        A replica that a takeover has paused may restart, which ends the pause, and then
        receive and confirm a commit of the old primary while the takeover promotes
        another member. A restart closes all connections. So a connection proves that
        the replica has not restarted in a takeover, if none was under way at some time
        after it was opened. What this daemon knows of the leases may be seconds old.
        """
        return opened_at <= self.settled_at(group)

    def must_read(self, group, opened_at):
        """Return whether a connection is trusted once the store shows no takeover."""
        return not self.unsettled(group) and opened_at > self.group_confirmed_at(group)

    def age(self, group):
        """Seconds since this daemon saw the lease change; infinite if none is known."""
        known = self.seen.get(group)
        return self.clock() - known.seen_at if known else float("inf")
