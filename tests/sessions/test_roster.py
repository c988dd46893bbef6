"""Members come, leave and vanish from the list."""

from gypsum_policy.revisions import in_era
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


def look(roster, times):
    """That many looks; the members that were dropped in them."""
    return [item.id for _ in range(times) for item in roster.expire()]


def test_a_vanished_entry_is_kept_for_its_grace():
    """Symptom: all upstreams are gone after an outage of the store.

    Sequence: the store is down, the entries' leases run out, the store is back and
    lists nobody; a second later the entries return. Cause: the list was believed.
    """
    roster, clock = make_roster()
    roster.update(member("a"))
    roster.replace_all([])
    assert look(roster, 8) == []
    assert roster.of_group("g")[0].missing_since == 100.0
    roster.update(member("a"))
    assert look(roster, 40) == []


def test_an_entry_that_stays_away_is_dropped():
    roster, clock = make_roster()
    roster.update(member("a"))
    roster.mark_missing("a")
    assert look(roster, 9) == []
    assert look(roster, 1) == ["a"]
    assert roster.of_group("g") == []


def test_a_member_that_comes_back_has_its_whole_grace_again():
    roster, _ = make_roster()
    roster.update(member("a"))
    roster.mark_missing("a")
    look(roster, 8)
    roster.update(member("a"))
    look(roster, 1)
    roster.mark_missing("a")
    assert look(roster, 9) == []


def test_suspended_time_is_no_grace():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: entries vanish from the list, the daemon is suspended for longer than
    their grace, goes on, and takes what is left for the whole group. Cause: the grace
    was measured in time that counts suspension.
    """
    roster, clock = make_roster()
    roster.update(member("a"))
    roster.mark_missing("a")
    clock.now += 60.0
    assert look(roster, 9) == []


def test_leaving_counts_from_the_first_time_it_was_seen():
    roster, clock = make_roster()
    roster.update(member("a", leaving=True))
    clock.now += 1.0
    assert roster.update(member("a", leaving=True)).leaving_since == 100.0
    assert roster.update(member("a")).leaving_since is None


def test_what_is_on_record_is_missing_until_it_is_listed():
    roster, clock = make_roster()
    roster.update(member("a", joined=50))
    roster.add_recorded([member("a", joined=3), member("b", joined=4)])
    assert roster.members["a"].joined == 50 and roster.members["a"].active
    assert not roster.members["b"].active
    assert roster.update(member("b", joined=60)).joined == 60
    assert roster.members["b"].active


def test_an_entry_that_was_lost_and_is_back_is_a_new_one():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: the store loses a member's entry, a takeover reads the list, the entry is
    back; a commit is proved by that member, which the takeover has not paused. Cause: a
    daemon that had seen the first entry took the member for one known to the takeover.
    """
    roster, clock = make_roster()
    roster.update(member("a", joined=7))
    clock.now += 9.0
    assert roster.update(member("a", joined=7, leads=True)).joined == 7
    roster.mark_missing("a")
    assert roster.update(member("a", joined=90)).joined == 90


def test_a_member_that_leaves_still_does_after_the_store_returned_from_a_copy():
    """Guards against new work for a member whose word that it leaves was lost."""
    roster, _ = make_roster()
    roster.update(member("a", leaving=True, changed=in_era(1, 9)))
    assert roster.update(member("a", changed=in_era(2, 7))).leaving_since == 100.0
    assert roster.update(member("a", changed=in_era(2, 8))).leaving_since is None
