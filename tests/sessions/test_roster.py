"""Members that join, leave and vanish from the list."""

from gypsum_policy.revisions import make_revision
from gypsum_sessions.upstreams.roster import Member, Roster


def member(name, **changes):
    """A member of one group."""
    fields = {
        "id": name,
        "group": "g",
        "address": "x:1",
        "domain": "a",
        "slots": 5,
    }
    return Member(**{**fields, **changes})


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_roster():
    """A roster and its clock."""
    clock = Clock()
    return Roster(clock=clock, missing_checks=10), clock


def run_checks(roster, count):
    """Run that many checks; returns the members dropped in them."""
    return [item.id for _ in range(count) for item in roster.expire()]


def test_a_vanished_entry_is_kept_for_its_grace_period():
    """Guards against losing all upstreams after an outage of the store.

    The entries' leases expire during the outage; the store comes back with an empty
    list, and the entries return a second later.
    """
    roster, clock = make_roster()
    roster.update(member("a"))
    roster.replace_all([])
    assert run_checks(roster, 8) == []
    assert roster.of_group("g")[0].missing_since == 100.0
    roster.update(member("a"))
    assert run_checks(roster, 40) == []


def test_an_entry_that_stays_away_is_dropped():
    roster, clock = make_roster()
    roster.update(member("a"))
    roster.mark_missing("a")
    assert run_checks(roster, 9) == []
    assert run_checks(roster, 1) == ["a"]
    assert roster.of_group("g") == []


def test_a_relisted_member_has_a_whole_grace_period_again():
    roster, _ = make_roster()
    roster.update(member("a"))
    roster.mark_missing("a")
    run_checks(roster, 8)
    roster.update(member("a"))
    run_checks(roster, 1)
    roster.mark_missing("a")
    assert run_checks(roster, 9) == []


def test_suspended_time_does_not_count_as_grace_period():
    """Guards against an acknowledged commit lost by a promotion.

    Entries vanish and the daemon is suspended for longer than their grace period. If
    the time counted, it would treat the remaining members as the whole group.
    """
    roster, clock = make_roster()
    roster.update(member("a"))
    roster.mark_missing("a")
    clock.now += 60.0
    assert run_checks(roster, 9) == []


def test_leaving_counts_from_the_first_time_it_was_seen():
    roster, clock = make_roster()
    roster.update(member("a", leaving=True))
    clock.now += 1.0
    assert roster.update(member("a", leaving=True)).leaving_since == 100.0
    assert roster.update(member("a")).leaving_since is None


def test_members_on_record_are_missing_until_they_are_listed():
    roster, clock = make_roster()
    roster.update(member("a", joined=50))
    roster.add_recorded([member("a", joined=3), member("b", joined=4)])
    assert roster.members["a"].joined == 50 and roster.members["a"].active
    assert not roster.members["b"].active
    assert roster.update(member("b", joined=60)).joined == 60
    assert roster.members["b"].active


def test_an_entry_that_was_lost_and_is_back_is_a_new_one():
    """Guards against an acknowledged commit lost by a promotion.

    The store loses a member's entry, a takeover reads the list, the entry returns. The
    takeover has not paused that member, so a commit confirmed by it can be lost. The
    member must not count as known to the takeover because its first entry was seen.
    """
    roster, clock = make_roster()
    roster.update(member("a", joined=7))
    clock.now += 9.0
    assert roster.update(member("a", joined=7, leads=True)).joined == 7
    roster.mark_missing("a")
    assert roster.update(member("a", joined=90)).joined == 90


def test_a_leaving_member_is_still_leaving_after_the_store_was_restored():
    """Guards against new work for a leaving member whose report the backup lacks."""
    roster, _ = make_roster()
    roster.update(member("a", leaving=True, changed=make_revision(1, 9)))
    assert (
        roster.update(member("a", changed=make_revision(2, 7))).leaving_since == 100.0
    )
    assert roster.update(member("a", changed=make_revision(2, 8))).leaving_since is None
