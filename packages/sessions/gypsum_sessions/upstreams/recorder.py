"""Keeping on record which members a group has.

The list of upstreams forgets entries whose leases run out while the store is away. A
daemon that starts just then finds a part of a group, or nothing: it must not take the
part for the whole when it replaces a primary, and it can serve from what was on record.
"""

from dataclasses import dataclass

from gypsum_sessions.borders import LeaseError

PART = "recorder"
# Seconds between two looks at a group's members. Looks are counted instead of time: a
# suspended daemon sees no list, and the time that it slept proves nothing.
CHECK_INTERVAL = 0.25
# A change of members is recorded after this many looks that saw it (0.5 s) by the first
# daemon of the group's order, by each next one a step later: one does it, not all.
RECORD_AFTER_CHECKS = 2
RECORD_CHECKS_PER_RANK = 4
# The first record of a group is written this late (3 s): a list that has gaps since the
# store was away is whole again two seconds after its return.
FIRST_RECORD_AFTER_CHECKS = 12
# Looks until a failed attempt is repeated.
RETRY_AFTER_CHECKS = 8


@dataclass(slots=True, kw_only=True)
class PendingChange:
    """A change that is not on record yet: what was seen, and in how many looks."""

    members: frozenset
    checks: int = 0


class MemberRecorder:
    """Brings the record of each group's members level with the list."""

    def __init__(self, *, records, log):
        self.records = records
        self.log = log
        self.recorded = {}
        self.pending = {}

    def set_recorded(self, group, members):
        """Take in a record as the store has it."""
        self.recorded[group] = fingerprint(members)

    def invalidate_unlisted(self, groups):
        """The store has the records of these groups alone: the others are due again."""
        for group in self.recorded.keys() - set(groups):
            self.recorded[group] = frozenset()

    def has_record(self, group):
        """Tell whether a group's members are on record."""
        return group in self.recorded

    async def check(self, group, members, rank):
        """Record a group's members once they have differed from the record a while."""
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
        """Write the record; a failure is logged and tried again."""
        try:
            await self.records.save(group, members)
        except LeaseError as exc:
            self.log(PART, "members not recorded", group=group, error=str(exc))
            return
        self.recorded[group] = current


def fingerprint(members):
    """What of the members is worth a new record."""
    return frozenset((member.id, member.address) for member in members)
