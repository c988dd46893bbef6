"""Keeping on record which members a group has.

The list of upstreams forgets entries whose leases run out while the store is away. A
daemon that starts just then finds a part of a group, or nothing: it must not take the
part for the whole when it replaces a primary, and it can serve from what was on record.
"""

from dataclasses import dataclass

from gypsum_sessions.interfaces import LeaseError

PART = "recorder"
# Seconds between two looks at a group's members. Looks are counted instead of time: a
# suspended daemon sees no list, and the time that it slept proves nothing.
LOOK_EVERY = 0.25
# A change of members is recorded after this many looks that saw it (0.5 s) by the first
# daemon of the group's order, by each next one a step later: one does it, not all.
RECORD_AFTER = 2
RECORD_STEP = 4
# The first record of a group is written this late (3 s): a list that has gaps since the
# store was away is whole again two seconds after its return.
FIRST_RECORD_AFTER = 12
# Looks until a failed attempt is repeated.
RETRY_AFTER = 8


@dataclass(slots=True, kw_only=True)
class Pending:
    """A change that is not on record yet: what was seen, and in how many looks."""

    members: frozenset
    looks: int = 0


class MemberRecorder:
    """Brings the record of each group's members level with the list."""

    def __init__(self, *, records, log):
        self.records = records
        self.log = log
        self.recorded = {}
        self.pending = {}

    def note(self, group, members):
        """Take in a record as the store has it."""
        self.recorded[group] = fingerprint(members)

    def keep_listed(self, groups):
        """The store has the records of these groups alone: the others are due again."""
        for group in self.recorded.keys() - set(groups):
            self.recorded[group] = frozenset()

    def knows(self, group):
        """Tell whether a group's members are on record."""
        return group in self.recorded

    async def look(self, group, members, place):
        """Record a group's members once they have differed from the record a while."""
        seen = fingerprint(members)
        if not seen or self.recorded.get(group) == seen:
            self.pending.pop(group, None)
            return
        pending = self.pending.get(group)
        if pending is None or pending.members != seen:
            pending = self.pending[group] = Pending(members=seen)
        pending.looks += 1
        wait = RECORD_AFTER if self.knows(group) else FIRST_RECORD_AFTER
        if pending.looks < wait + place * RECORD_STEP:
            return
        pending.looks -= RETRY_AFTER
        await self.save(group, members, seen)

    async def save(self, group, members, seen):
        """Write the record; a failure is logged and tried again."""
        try:
            await self.records.save(group, members)
        except LeaseError as exc:
            self.log(PART, "members not recorded", group=group, error=str(exc))
            return
        self.recorded[group] = seen


def fingerprint(members):
    """What of the members is worth a new record."""
    return frozenset((member.id, member.address) for member in members)
