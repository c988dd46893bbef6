"""Members of each group from a list that may lag, with a grace period for gaps."""

from collections import Counter
from dataclasses import dataclass, replace

from gypsum_policy.listing import (
    UNKNOWN,
    is_outdated,
    is_outdated_list,
    is_outdated_removal,
)
from gypsum_policy.revisions import same_era

# How long the report of an upstream that was dropped is kept, seconds: it may end long
# after its drain time, and until then its entry may be lost and listed again.
REPORT_KEPT_FOR = 120.0
# The number of such reports, a limit on memory.
MAX_REPORTS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One upstream. `leads` is what it reports about itself, sometimes late.

    `joined` is the store's revision at which its entry was created; it orders members
    relative to leases. An entry that was lost and is back counts as new: a takeover
    that read the list in between has not seen it. `changed` is the revision of the
    entry's last change. `missing_since` and `leaving_since` are on the daemon's clock,
    None if the member is not missing or not leaving. `not_reported_at` is the last time
    at which the store is known not to have had its report that it leaves, None if there
    is none. `source` is where its entry came from, as logged.

    `id` names one incarnation: an upstream that restarts has none of its earlier data,
    so state kept by id (connections, pauses, confirmed positions) must not carry over.
    `name` is the upstream's name for itself and for the platform, the same for all
    incarnations. `born` is the Unix time of its start in milliseconds, 0 if it does not
    report it.
    """

    id: str
    group: str
    address: str
    domain: str
    slots: int
    leads: bool = False
    leaving: bool = False
    joined: int = 0
    changed: int = 0
    born: int = 0
    name: str = ""
    leaving_since: float | None = None
    not_reported_at: float | None = None
    missing_since: float | None = None
    source: str = ""

    @property
    def stable_name(self):
        """Its name for itself and for the platform, the same for all incarnations."""
        return self.name or self.id

    @property
    def active(self):
        """Return whether it is listed and has not said that it leaves."""
        return not self.leaving and self.missing_since is None


def with_restart_revision(member):
    """A restarted member whose entry may be older than its start, with `joined` raised.

    With the entry's own revision, the new process would count as known to a takeover
    under way, which has paused only the earlier process. It could then confirm commits
    that the takeover discards.
    """
    return replace(member, joined=max(member.joined, member.changed))


def store_was_restored(known, member):
    """Return whether the store was restored from a backup since an entry was known."""
    return not same_era(known.changed, member.changed)


class Roster:
    """All known upstreams.

    `listed_up_to` is the store's revision up to which all entries have been applied.
    `confirmed_at` is the last time at which the store is known to have had no later
    changes, on the daemon's clock; None before the first list.
    """

    def __init__(self, *, clock, missing_checks):
        self.clock = clock
        self.missing_checks = missing_checks
        self.members = {}
        self.listed_up_to = UNKNOWN
        self.confirmed_at = None
        # The id of the newest incarnation under each name.
        self.newest = {}
        self.missed_checks = Counter()
        # Upstreams that had reported that they leave when they were dropped, by id.
        self.dropped_leaving = {}

    def store(self, member):
        """Store a member as the newest incarnation of its name."""
        self.members[member.id] = member
        self.newest[member.stable_name] = member.id

    def update(self, member, listed_at=None):
        """Apply an entry; returns the member as it is stored, None if it is outdated.

        `listed_at` is the revision of the list that has it, None for a single change.
        """
        if self.outdated(member, listed_at):
            return None
        other = self.other_incarnation(member)
        if other is not None:
            del self.members[other.id]
            member = with_restart_revision(member)
        known = self.members.get(member.id)
        if known is not None and known.changed and known.joined > member.joined:
            # It restarted under an entry that is older than this incarnation.
            member = replace(member, joined=known.joined)
        reported = known or self.dropped_leaving.get(member.id)
        if reported and reported.leaving and store_was_restored(reported, member):
            # The backup may be older than its report that it drains.
            member = replace(member, leaving=True)
        kept = self.with_report_times(member, reported)
        self.dropped_leaving.pop(member.id, None)
        self.store(kept)
        return kept

    def with_report_times(self, member, reported):
        """A member with the times of its report that it leaves, if it has made one.

        `reported` is the member as it was last known, also if it was dropped since:
        otherwise an entry that the store lost and has back would give it its drain time
        anew.
        """
        if not member.leaving:
            return replace(member, leaving_since=None, not_reported_at=None)
        if reported is not None and reported.leaving_since is not None:
            since, not_reported_at = reported.leaving_since, reported.not_reported_at
        else:
            since, not_reported_at = self.clock(), self.confirmed_at
        return replace(member, leaving_since=since, not_reported_at=not_reported_at)

    def outdated(self, member, listed_at=None):
        """Why an entry is older than what is known; empty if it is not."""
        other = self.other_incarnation(member)
        if other is not None and other.born > member.born:
            return "of an earlier incarnation"
        known = self.members.get(self.newest.get(member.stable_name, ""))
        listed = known is not None and known.missing_since is None
        if is_outdated(
            member.changed,
            shown_at=member.changed if listed_at is None else listed_at,
            known=known.changed if listed else None,
            listed_up_to=self.listed_up_to,
        ):
            return "changed since" if listed else "removed since"
        return ""

    def caught_up(self, revision):
        """Record that all entries up to a revision have been applied."""
        self.listed_up_to = max(self.listed_up_to, revision)

    def confirm(self, at):
        """Record a time at which the store had no changes but those applied."""
        known = self.confirmed_at
        self.confirmed_at = at if known is None else max(known, at)

    def add_recorded(self, members):
        """Add members on record that are not listed, as missing."""
        for member in members:
            if member.id in self.members:
                continue
            other = self.other_incarnation(member)
            if other is None:
                member = self.dropped_leaving.pop(member.id, member)
                self.store(replace(member, missing_since=self.clock()))
            elif other.born > member.born:
                self.store(with_restart_revision(other))

    def other_incarnation(self, member):
        """The known member of the same name with another start, or None.

        It is looked up by name: comparing each entry with all members takes tenths of a
        second for hundreds of upstreams, at the start of a daemon.
        """
        known = self.members.get(self.newest.get(member.stable_name, ""))
        return known if known is not None and known.id != member.id else None

    def mark_missing(self, name, revision=UNKNOWN):
        """Mark a member whose entry vanished: it left, or the store lost its lease.

        Not if the entry is known to have changed after the given revision.
        """
        known = self.members.get(self.newest.get(name, ""))
        if known is None or known.missing_since is not None:
            return
        if not is_outdated_removal(revision, known=known.changed):
            self.store(replace(known, missing_since=self.clock()))

    def replace_all(self, members, revision=UNKNOWN):
        """Apply a list that is complete at a revision; members not in it are missing.

        Returns the outdated entries, which have no effect.
        """
        listed = {member.stable_name for member in members}
        known = {member.stable_name for member in self.members.values()}
        is_older = is_outdated_list(revision, listed_up_to=self.listed_up_to)
        outdated = []
        for member in members:
            if reason := self.outdated(member, revision):
                outdated.append((member, reason))
            self.update(member, revision)
        for name in () if is_older else known - listed:
            self.mark_missing(name, revision)
        self.caught_up(revision)
        return outdated

    def expire(self):
        """Drop members that were missing in enough checks; returns them.

        Called once per check. Checks are counted instead of time: a daemon that is
        suspended while the list has gaps would otherwise drop members before it sees
        them listed again.
        """
        missing = [
            item for item in self.members.values() if item.missing_since is not None
        ]
        self.missed_checks = Counter(
            {item.id: self.missed_checks[item.id] + 1 for item in missing}
        )
        expired = [
            item
            for item in missing
            if self.missed_checks[item.id] >= self.missing_checks
        ]
        for member in expired:
            del self.members[member.id]
            if self.newest.get(member.stable_name) == member.id:
                del self.newest[member.stable_name]
            if member.leaving:
                self.dropped_leaving[member.id] = member
        self.forget_reports()
        return expired

    def forget_reports(self):
        """Forget the reports of dropped members that are too old or too many."""
        oldest = self.clock() - REPORT_KEPT_FOR
        kept = [
            item
            for item in self.dropped_leaving.values()
            if item.leaving_since is not None and item.leaving_since >= oldest
        ]
        self.dropped_leaving = {item.id: item for item in kept[-MAX_REPORTS:]}

    def of_group(self, group):
        """Members of a group, including missing ones within their grace period."""
        return [item for item in self.members.values() if item.group == group]
