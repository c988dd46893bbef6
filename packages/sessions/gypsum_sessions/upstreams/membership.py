"""Applies what is learned about upstreams to the roster, and logs what it changes."""

from dataclasses import replace

from gypsum_policy.listing import UNKNOWN
from gypsum_policy.revisions import format_revision

PART = "proxy"
# Sources of a list or an entry, as logged.
FEED = "feed"
TAKEOVER = "takeover"
RECORD = "record"


class Membership:
    """Keeps the roster of upstreams; `refresh` updates a group's members from it."""

    def __init__(self, *, roster, recorder, log, refresh):
        self.roster = roster
        self.recorder = recorder
        self.log = log
        self.refresh = refresh
        # Whether a complete list has been applied.
        self.known = False

    def replace_all(self, members, *, revision, source):
        """Apply a complete list, which shows the store at a revision (0: unknown)."""
        before = dict(self.roster.members)
        outdated = self.roster.replace_all(
            [replace(item, source=source) for item in members], revision
        )
        self.known = True
        for member, reason in outdated:
            self.log_outdated(member, reason)
        for member in self.roster.members.values():
            # Ready upstreams that are new have no line: a first list has thousands.
            if work_state(member) != work_state(before.get(member.id)):
                self.log_member("upstream listed", member, source, revision)

    def update(self, member, *, source):
        """Add or change one upstream."""
        member = replace(member, source=source)
        if reason := self.roster.outdated(member):
            self.log_outdated(member, reason)
            return
        kept = self.roster.update(member)
        self.log_member("upstream listed", kept, source, member.changed)
        self.refresh(kept.group)

    def add_recorded(self, group, members):
        """Add the members that a group had when it was last recorded."""
        self.recorder.set_recorded(group, members)
        added = [item.id for item in members if item.id not in self.roster.members]
        self.roster.add_recorded([replace(item, source=RECORD) for item in members])
        for name in added:
            if (member := self.roster.members.get(name)) is not None:
                self.log_member("upstream listed", member, RECORD, UNKNOWN)
        self.refresh(group)

    def remove(self, name, *, revision, source):
        """Mark an upstream as missing whose entry was deleted or became unusable."""
        self.log(
            PART,
            "upstream entry removed",
            upstream=name,
            source=source,
            revision=format_revision(revision),
        )
        self.roster.mark_missing(name, revision)

    def drop(self, member, replacement):
        """Drop a member at whose address another upstream answers."""
        if self.roster.members.pop(member.id, None) is not None:
            self.log(PART, "upstream replaced", upstream=member.id, by=replacement)
            self.refresh(member.group)

    def expire(self):
        """Drop the members that have been missing for the grace period."""
        for member in self.roster.expire():
            self.log(PART, "missing upstream expired", upstream=member.id)
            self.refresh(member.group)

    def log_outdated(self, member, reason):
        """Log an entry that has no effect, as a later state is known."""
        self.log_member(
            "older entry ignored",
            member,
            member.source,
            member.changed,
            reason=reason,
            listed_up_to=format_revision(self.roster.listed_up_to),
        )

    def log_member(self, event, member, source, revision, **fields):
        """Log what an entry says of an upstream, and where it came from."""
        self.log(
            PART,
            event,
            upstream=member.id,
            group=member.group,
            address=member.address,
            leads=member.leads,
            leaving=member.leaving,
            missing=member.missing_since is not None,
            source=source,
            revision=format_revision(revision),
            **fields,
        )


def work_state(member):
    """What decides whether an upstream is sent work: leaving, missing."""
    if member is None:
        return False, False
    return member.leaving, member.missing_since is not None
