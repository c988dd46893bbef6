"""Tests what is logged of upstreams: every change of state, with its source."""

from dataclasses import replace

from gypsum_sessions.upstreams.membership import TAKEOVER, Membership
from gypsum_sessions.upstreams.roster import Member, Roster

U1 = Member(id="u1", group="g", address="x:1", domain="a", slots=5, changed=3)
LEAVING = replace(U1, leaving=True, changed=7)


class Harness:
    """A membership, with its log lines and the groups that were refreshed."""

    def __init__(self):
        self.now = 100.0
        self.lines = []
        self.refreshed = []
        self.membership = Membership(
            roster=Roster(clock=lambda: self.now, missing_checks=10),
            recorder=None,
            log=self.log,
            refresh=self.refreshed.append,
        )

    def log(self, part, event, **fields):
        """Collect a line."""
        self.lines.append((event, fields))

    def listed(self, *members, revision=0, source=TAKEOVER):
        """Apply a list; returns the lines that it left."""
        self.lines.clear()
        self.membership.replace_all(members, revision=revision, source=source)
        return self.lines


def test_a_list_that_changes_a_state_leaves_a_line():
    """Guards against a record that can't tell which list changed an upstream."""
    harness = Harness()
    harness.listed(U1, revision=5)
    [(event, fields)] = harness.listed(LEAVING, revision=9)
    assert event == "upstream listed"
    assert fields["source"] == TAKEOVER and fields["revision"] == 9
    assert fields["leaving"] and not fields["missing"]
    [(_, fields)] = harness.listed(revision=12)
    assert fields["upstream"] == "u1" and fields["missing"]


def test_a_list_that_changes_nothing_leaves_no_line():
    harness = Harness()
    harness.listed(U1, revision=5)
    assert harness.listed(U1, revision=6) == []
