"""What the roster knows does not depend on the order in which news arrives."""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.revisions import make_revision
from gypsum_sessions.upstreams.roster import Member, Roster

NAMES = ("u1", "u2", "u3")
# What an upstream's entry may show; None: it is removed.
STATES = st.sampled_from(["ready", "leading", "leaving", None])


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreHistory:
    """Changes as (revision, name, state), by ascending revision."""

    changes: list

    def entries(self, revision):
        """The entries at a revision, by name."""
        found = {}
        for changed, name, state in self.changes:
            if changed <= revision:
                found[name] = (changed, state)
        return {
            name: entry(name, changed, state)
            for name, (changed, state) in found.items()
            if state is not None
        }

    def between(self, after, until):
        """The changes after one revision up to another."""
        return [change for change in self.changes if after < change[0] <= until]


def entry(name, changed, state):
    """A member as its entry shows it."""
    return Member(
        id=name,
        group="g",
        address="x:1",
        domain="a",
        slots=5,
        changed=changed,
        leads=state == "leading",
        leaving=state == "leaving",
    )


@st.composite
def histories(draw):
    """Changes of three upstreams in the second era of a store."""
    found = draw(st.lists(st.tuples(st.sampled_from(NAMES), STATES), max_size=12))
    return StoreHistory(
        changes=[
            (make_revision(2, 10 + number), name, state)
            for number, (name, state) in enumerate(found)
        ]
    )


class Learner:
    """A roster that learns of a history by lists, a watch and relayed batches."""

    def __init__(self, history):
        self.history = history
        self.roster = Roster(clock=lambda: 100.0, missing_checks=10)
        self.fed_up_to = 0
        self.known_up_to = 0

    def take_list(self, revision):
        """Apply a list that the store answered at a revision."""
        self.roster.replace_all(self.history.entries(revision).values(), revision)
        self.known_up_to = max(self.known_up_to, revision)

    def feed(self, revision, *, last_only):
        """Apply the feed's changes up to a revision, or the last one of each entry."""
        changes = self.history.between(self.fed_up_to, revision)
        if last_only:
            changes = {name: (at, name, state) for at, name, state in changes}.values()
        for changed, name, state in changes:
            if state is None:
                self.roster.mark_missing(name, changed)
            else:
                self.roster.update(entry(name, changed, state))
        self.fed_up_to = max(self.fed_up_to, revision)
        self.roster.caught_up(self.fed_up_to)
        self.known_up_to = max(self.known_up_to, self.fed_up_to)

    def listed(self):
        """What the roster has as listed: revision, lead and leave by name."""
        return {
            item.id: (item.changed, item.leads, item.leaving)
            for item in self.roster.members.values()
            if item.missing_since is None
        }


@given(histories(), st.data())
def test_news_in_any_order_shows_the_latest_known_state(history, data):
    """Guards against an older list or entry that undoes a report or a removal."""
    learner = Learner(history)
    revisions = st.integers(make_revision(2, 9), make_revision(2, 22))
    news = st.tuples(st.sampled_from(["list", "watch", "relay"]), revisions)
    for kind, revision in data.draw(st.lists(news, max_size=12)):
        if kind == "list":
            learner.take_list(revision)
        elif revision > learner.fed_up_to:
            learner.feed(revision, last_only=kind == "relay")
        assert learner.listed() == {
            name: (item.changed, item.leads, item.leaving)
            for name, item in history.entries(learner.known_up_to).items()
        }


def test_an_entry_of_an_earlier_era_has_no_effect():
    """Guards against a list from before a restore that is applied after it."""
    learner = Learner(StoreHistory(changes=[]))
    learner.roster.replace_all(
        [entry("u1", make_revision(2, 5), "leaving")], make_revision(2, 6)
    )
    learner.roster.replace_all(
        [entry("u1", make_revision(1, 900), "ready")], make_revision(1, 950)
    )
    assert learner.roster.members["u1"].leaving
