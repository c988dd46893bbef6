"""Upstreams of each group, as the lagging list tells, with a grace for gaps."""

from collections import Counter
from dataclasses import dataclass, replace

from gypsum_policy.revisions import same_era


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One upstream. `leads` is what it says of itself, late at times.

    `joined` is the store's revision at which its entry came to be: it orders members
    and leases. An entry that was lost and is back is a new one: a takeover that read
    the list in between has not seen it. `changed` is the revision of the entry's last
    change. `missing_since` and `leaving_since` are on the daemon's clock, None if it is
    neither.

    `id` names one incarnation: an upstream that starts again holds nothing of before,
    so whatever is kept by id (connections, pauses, what it has confirmed) must not
    carry over. `name` is what the upstream and the platform call it, the same for all
    its incarnations, `born` the Unix millisecond of its start, 0 if it does not say.
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
    missing_since: float | None = None

    @property
    def stable_name(self):
        """What the upstream and the platform call it."""
        return self.name or self.id

    @property
    def active(self):
        """Tell whether it is listed and has not said that it leaves."""
        return not self.leaving and self.missing_since is None


def with_restart_revision(member):
    """A member that started again under an entry that may be older than its start.

    What goes wrong with the entry's own age: a takeover that was under way has paused
    what ran before; the new process, which nothing pauses, would count as known to it
    and confirm commits that the takeover then cuts off.
    """
    return replace(member, joined=max(member.joined, member.changed))


def store_was_restored(known, member):
    """Tell whether the store has returned from a copy since an entry was known."""
    return not same_era(known.changed, member.changed)


class Roster:
    """All known upstreams."""

    def __init__(self, *, clock, missing_checks):
        self.clock = clock
        self.missing_checks = missing_checks
        self.members = {}
        # The id of the newest incarnation under each name.
        self.newest = {}
        self.missed_checks = Counter()

    def store(self, member):
        """Know a member, as the newest of its name."""
        self.members[member.id] = member
        self.newest[member.stable_name] = member.id

    def update(self, member):
        """Take in an entry of the list; returns it as it is kept.

        None for an entry of an incarnation that another has replaced already.
        """
        other = self.other_incarnation(member)
        if other is not None:
            if other.born > member.born:
                return None
            del self.members[other.id]
            member = with_restart_revision(member)
        known = self.members.get(member.id)
        if known is not None and known.changed and known.joined > member.joined:
            # It restarted under its entry, which is older than this incarnation.
            member = replace(member, joined=known.joined)
        if known is not None and known.leaving and store_was_restored(known, member):
            # The copy may be older than its report that it drains.
            member = replace(member, leaving=True)
        since = known.leaving_since if known else None
        if member.leaving and since is None:
            since = self.clock()
        kept = replace(
            member,
            leaving_since=since if member.leaving else None,
        )
        self.store(kept)
        return kept

    def add_recorded(self, members):
        """Take in members on record that are not listed: missing, for their grace."""
        for member in members:
            if member.id in self.members:
                continue
            other = self.other_incarnation(member)
            if other is None:
                self.store(replace(member, missing_since=self.clock()))
            elif other.born > member.born:
                self.store(with_restart_revision(other))

    def other_incarnation(self, member):
        """The known member of the same name that started at another time, or None.

        What goes wrong when all are looked through for each: a list of hundreds of
        upstreams takes a daemon tenths of a second, at its start of all times.
        """
        known = self.members.get(self.newest.get(member.stable_name, ""))
        return known if known is not None and known.id != member.id else None

    def mark_missing(self, name):
        """An entry vanished: the upstream left, or the store lost its lease."""
        known = self.members.get(self.newest.get(name, ""))
        if known is not None and known.missing_since is None:
            self.store(replace(known, missing_since=self.clock()))

    def replace_all(self, members):
        """Take in a whole list: what it lacks is missing."""
        listed = {member.stable_name for member in members}
        for member in members:
            self.update(member)
        for name in {member.stable_name for member in self.members.values()} - listed:
            self.mark_missing(name)

    def expire(self):
        """One look: drop members that were missing in so many; returns them.

        Looks are counted, not time. What goes wrong with time: a daemon is suspended
        while the list has gaps, and forgets the members before it sees them listed.
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
        return expired

    def of_group(self, group):
        """Members of a group, missing ones within their grace included."""
        return [item for item in self.members.values() if item.group == group]
