"""Persistent record of each group's members: those that may hold acknowledged commits.

The list of upstreams loses entries whose leases expire while the store is down, and
those of crashed upstreams, which come back with their logs. A daemon that replaces a
primary must not treat the listed members as the whole group, however little it knows
otherwise. So a member stays on record until other members on record have every commit
that it may hold, and a replica confirms commits only while it is on record.
"""

from dataclasses import dataclass

from gypsum_sessions.interfaces import LeaseError

PART = "recorder"
# Seconds between two checks of a group's members. Checks are counted instead of time: a
# suspended daemon sees no list, so the time it was suspended does not count.
CHECK_INTERVAL = 0.25
# A change of members is recorded after this many checks that saw it (0.5 s) by the
# first daemon in the group's order, and by each next one a step later, so that only one
# of them writes.
RECORD_AFTER_CHECKS = 2
RECORD_CHECKS_PER_RANK = 4
# The first record of a group is written after this many checks (3 s): a list with gaps
# after an outage of the store is complete again two seconds after the store's return.
FIRST_RECORD_AFTER_CHECKS = 12
# The first record is written after this many checks (15 s) even if commits may lie with
# members that are not listed: nothing is promoted before there is a record.
UNPROVEN_RECORD_AFTER_CHECKS = 60
# Checks until a failed write is retried.
RETRY_AFTER_CHECKS = 8
# Checks until the copies of a departed member's commits are looked for again.
RECHECK_AFTER_CHECKS = 2


@dataclass(slots=True, kw_only=True)
class PendingChange:
    """An unrecorded change: the members to record and how many checks saw it.

    `since` is the time of the first one, on the daemon's clock. The next attempt to
    record it is made at check number `due`.
    """

    members: frozenset
    since: float
    due: int
    checks: int = 0


class MemberRecorder:
    """Keeps the record of each group's members up to date with the list.

    `recorded` has each group's record as the store has it, empty if the store has lost
    it. `members` keeps the members last known to be on record, by group and id.
    """

    def __init__(self, *, records, log):
        self.records = records
        self.log = log
        self.recorded = {}
        self.members = {}
        self.pending = {}

    def set_recorded(self, group, members):
        """Take over a record as the store has it."""
        self.recorded[group] = fingerprint(members)
        self.members[group] = by_id(members)

    def invalidate_unlisted(self, groups):
        """Mark the records of other groups as lost from the store, to be rewritten."""
        for group in self.recorded.keys() - set(groups):
            self.recorded[group] = frozenset()

    def has_record(self, group):
        """Return whether a record of a group's members is known."""
        return group in self.recorded

    def may_confirm(self, group, name):
        """Return whether a takeover would look for the log of a member.

        Any member's while no record is known: nothing is promoted then.
        """
        return not self.recorded.get(group) or name in self.members[group]

    def absent(self, group, reached):
        """The members on record that are not among those reached, by id."""
        known = self.members.get(group, {})
        return [name for name in known if name not in reached]

    async def refresh(self, group):
        """Read a group's record from the store; raises LeaseError."""
        members = await self.records.read(group)
        if members is not None:
            self.set_recorded(group, members)

    async def check(self, group, members, rank, *, now, leader, have_copies):
        """Record a group's members if they have differed from the record long enough.

        `rank` is this daemon's position in the group's order. Members on record that
        are not listed any more, or that leave, are dropped if `have_copies(since,
        names)` says that enough of the named members have every commit that was
        acknowledged before a time.
        """
        if not members:
            self.pending.pop(group, None)
            return
        known = self.members.get(group, {})
        kept = {item.id: item for item in members if not item.leaving}
        kept |= by_id(item for item in members if item.id == leader or not known)
        departed = known.keys() - kept.keys()
        change = fingerprint(kept.values())
        if not departed and self.recorded.get(group) == change:
            self.pending.pop(group, None)
            return
        first = not self.has_record(group)
        pending = self.pending.get(group)
        if pending is None or pending.members != change:
            due = FIRST_RECORD_AFTER_CHECKS if first else RECORD_AFTER_CHECKS
            due += rank * RECORD_CHECKS_PER_RANK
            pending = PendingChange(members=change, since=now, due=due)
            self.pending[group] = pending
        pending.checks += 1
        if pending.checks < pending.due:
            return
        pending.due = pending.checks + RECHECK_AFTER_CHECKS
        if (departed or first) and not await have_copies(pending.since, kept.keys()):
            if first and pending.checks < UNPROVEN_RECORD_AFTER_CHECKS:
                return
            kept, departed = known | kept, frozenset()
        if fingerprint(kept.values()) != self.recorded.get(group):
            pending.due = pending.checks + RETRY_AFTER_CHECKS
            await self.save(group, list(kept.values()), departed)

    async def save(self, group, members, departed):
        """Write the record; a failure is logged and retried."""
        try:
            written = await self.records.save(group, members, departed)
        except LeaseError as exc:
            self.log(PART, "members not recorded", group=group, error=str(exc))
            return
        if written is None:
            # Another daemon has written the record; the watch delivers it.
            return
        self.set_recorded(group, written)
        self.log(
            PART,
            "members recorded",
            group=group,
            members=sorted(item.id for item in written),
            departed=sorted(departed),
        )


def fingerprint(members):
    """The attributes of members whose change requires a new record."""
    return frozenset((member.id, member.address) for member in members)


def by_id(members):
    """Members by their ids."""
    return {member.id: member for member in members}
