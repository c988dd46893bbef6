"""Persistent record of each group's members.

The list of upstreams loses entries whose leases expire while the store is down. A
daemon that starts at that time sees only some of a group's members, or none. It must
not treat these as the whole group when it replaces a primary, and it can serve from the
members on record.
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
# Checks until a failed write is retried.
RETRY_AFTER_CHECKS = 8


@dataclass(slots=True, kw_only=True)
class PendingChange:
    """An unrecorded change: the members seen and the number of checks that saw them."""

    members: frozenset
    checks: int = 0


class MemberRecorder:
    """Keeps the record of each group's members up to date with the list."""

    def __init__(self, *, records, log):
        self.records = records
        self.log = log
        self.recorded = {}
        self.pending = {}

    def set_recorded(self, group, members):
        """Take over a record as the store has it."""
        self.recorded[group] = fingerprint(members)

    def invalidate_unlisted(self, groups):
        """Mark the records of other groups as lost from the store, to be rewritten."""
        for group in self.recorded.keys() - set(groups):
            self.recorded[group] = frozenset()

    def has_record(self, group):
        """Return whether a record of a group's members is known."""
        return group in self.recorded

    async def check(self, group, members, rank):
        """Record a group's members if they have differed from the record long enough.

        `rank` is this daemon's position in the group's order.
        """
        current = fingerprint(members)
        if not current or self.recorded.get(group) == current:
            self.pending.pop(group, None)
            return
        pending = self.pending.get(group)
        if pending is None or pending.members != current:
            pending = self.pending[group] = PendingChange(members=current)
        pending.checks += 1
        threshold = (
            RECORD_AFTER_CHECKS if self.has_record(group) else FIRST_RECORD_AFTER_CHECKS
        )
        if pending.checks < threshold + rank * RECORD_CHECKS_PER_RANK:
            return
        pending.checks -= RETRY_AFTER_CHECKS
        await self.save(group, members, current)

    async def save(self, group, members, current):
        """Write the record; a failure is logged and retried."""
        try:
            await self.records.save(group, members)
        except LeaseError as exc:
            self.log(PART, "members not recorded", group=group, error=str(exc))
            return
        self.recorded[group] = current


def fingerprint(members):
    """The attributes of members whose change requires a new record."""
    return frozenset((member.id, member.address) for member in members)
