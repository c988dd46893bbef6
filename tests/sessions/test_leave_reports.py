"""What is kept of an upstream's report that it leaves, once it was dropped."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.revisions import make_revision
from gypsum_sessions.upstreams.roster import (
    MAX_REPORTS,
    REPORT_KEPT_FOR,
    Member,
    Roster,
)

CHECKS = 4


def entry(revision, *, leaving=True, born=1, name="u"):
    """An upstream as its entry shows it."""
    return Member(
        id=f"{name}@{born}",
        name=name,
        born=born,
        group="g",
        address="x:1",
        domain="a",
        slots=5,
        changed=revision,
        leaving=leaving,
    )


class Rig:
    """A roster and its clock; the store's revision rises with each change."""

    def __init__(self):
        self.now = 100.0
        self.revision = 10
        self.roster = Roster(clock=lambda: self.now, missing_checks=CHECKS)
        self.reported = entry(self.revision)

    def list(self, *members):
        """Apply a list; the store is known to be current."""
        self.revision += 1
        self.roster.replace_all(members, self.revision)
        self.roster.confirm(self.now)

    def drop(self):
        """Let the upstream be missing until it is dropped."""
        self.list()
        for _ in range(CHECKS):
            self.now += 0.25
            self.roster.expire()

    def relist(self, member):
        """List an upstream whose entry was written anew."""
        self.revision += 1
        self.list(replace(member, changed=self.revision, joined=self.revision))

    @property
    def member(self):
        """The upstream as it is known."""
        return self.roster.members.get("u@1")


def test_an_upstream_that_is_listed_again_keeps_the_time_of_its_report():
    """Guards against a leaving upstream that is sent work for its drain time anew."""
    rig = Rig()
    rig.list(rig.reported)
    first = rig.member
    rig.drop()
    assert rig.member is None
    rig.now += 5.0
    rig.relist(rig.reported)
    assert rig.member.leaving
    assert rig.member.leaving_since == first.leaving_since
    assert rig.member.not_reported_at == first.not_reported_at


def test_an_upstream_on_record_that_has_left_comes_back_as_leaving():
    """Guards against work for an upstream that is known to leave."""
    rig = Rig()
    rig.list(rig.reported)
    first = rig.member
    rig.drop()
    rig.roster.add_recorded([entry(0, leaving=False)])
    assert rig.member.leaving and rig.member.missing_since == rig.now
    assert rig.member.leaving_since == first.leaving_since


def test_a_new_incarnation_is_not_held_to_the_report_of_the_last_one():
    rig = Rig()
    rig.list(rig.reported)
    rig.drop()
    rig.relist(entry(0, born=2, leaving=False))
    assert not rig.roster.members["u@2"].leaving
    rig.now += 1.0
    rig.relist(entry(0, born=2))
    assert rig.roster.members["u@2"].leaving_since == rig.now


def test_an_upstream_that_is_ready_again_has_no_report():
    rig = Rig()
    rig.list(rig.reported)
    rig.drop()
    rig.relist(replace(rig.reported, leaving=False))
    assert not rig.member.leaving
    rig.now += 3.0
    rig.relist(rig.reported)
    assert rig.member.leaving_since == rig.now


def test_a_backup_from_before_the_report_does_not_undo_it():
    rig = Rig()
    rig.revision = make_revision(1, 10)
    rig.list(replace(rig.reported, changed=rig.revision))
    first = rig.member
    rig.drop()
    rig.revision = make_revision(2, 5)
    rig.list(entry(make_revision(2, 4), leaving=False))
    assert rig.member.leaving
    assert rig.member.leaving_since == first.leaving_since


def test_reports_are_kept_for_a_time_and_in_number():
    rig = Rig()
    rig.list(*(entry(10, name=f"u{number}") for number in range(MAX_REPORTS + 5)))
    rig.drop()
    assert len(rig.roster.dropped_leaving) == MAX_REPORTS
    rig.now += REPORT_KEPT_FOR
    rig.roster.expire()
    assert rig.roster.dropped_leaving == {}


STEPS = st.sampled_from(
    ["report", "report", "drop", "drop", "record", "miss", "older list", "wait"]
)


@given(st.lists(STEPS, max_size=20))
def test_no_order_of_news_renews_a_report(steps):
    """Guards against any news that gives a leaving upstream its drain time anew."""
    rig = Rig()
    first = None
    for step in steps:
        rig.now += 0.5
        if step == "report":
            rig.relist(rig.reported)
            first = first or rig.member
        elif step == "drop":
            rig.drop()
        elif step == "record":
            rig.roster.add_recorded([entry(0, leaving=False)])
        elif step == "miss":
            rig.list()
        elif step == "older list" and first is not None:
            rig.roster.replace_all([entry(9, leaving=False)], 9)
        if first is not None and rig.member is not None:
            assert rig.member.leaving_since == first.leaving_since
            assert rig.member.not_reported_at == first.not_reported_at
