"""When the longest reachable log has every acknowledged commit."""

from dataclasses import dataclass, field
from itertools import combinations
from random import Random

import pytest

from gypsum_core.position import Position
from gypsum_policy.promotion import (
    copies_of_commit,
    may_lack_commits,
    reaches_all,
)

STEPS = 60


def at(index):
    """A position of the first term."""
    return Position(term=1, index=index)


@pytest.mark.parametrize(("members", "sync"), [(3, 1), (5, 1), (5, 2)])
def test_every_set_of_holders_meets_the_members_that_are_reached(members, sync):
    """Guards against a promotion while all holders of a commit are absent."""
    everyone = set(range(members))
    for count in range(members + 1):
        for absent in map(set, combinations(everyone, count)):
            holders = combinations(everyone, copies_of_commit(sync))
            lost = any(set(item) <= absent for item in holders)
            assert may_lack_commits(absent=absent, sync_replicas=sync) == lost


def test_a_group_without_synchronous_replicas_gives_up_its_primary():
    assert not may_lack_commits(absent=["p"], sync_replicas=0)
    assert may_lack_commits(absent=["p", "r"], sync_replicas=0)


def test_all_owners_together_know_the_last_commit():
    """Guards against commits that only another owner knows."""
    assert reaches_all(at(5), [at(5), at(4)])
    assert not reaches_all(at(5), [at(5), at(6)])
    assert not reaches_all(at(5), [at(5), None])


@dataclass(kw_only=True)
class Model:
    """A group whose members crash, return, join, leave and hear nothing.

    `logs` has the number of commits that each member received, as commits are received
    in order. `record` is the record in the store. With `forgets`, a member leaves the
    record as soon as it is down; with `remembers`, a takeover goes by the highest
    commit that its daemon saw, which a restart forgets.
    """

    rng: Random
    sync: int
    forgets: bool = False
    remembers: bool = False
    logs: dict = field(default_factory=dict)
    record: set = field(default_factory=set)
    down: set = field(default_factory=set)
    deaf: set = field(default_factory=set)
    leader: int = 0
    acked: int = 0
    seen: int | None = 0
    lost: bool = False

    def live(self):
        """The members that run."""
        return set(self.logs) - self.down

    def replicas(self):
        """The replicas that run."""
        return self.live() - {self.leader}

    def commit(self):
        """A commit, acknowledged if enough members on record have received it."""
        if self.leader in self.down:
            return
        self.logs[self.leader] += 1
        for name in self.replicas() - self.deaf:
            self.logs[name] = self.logs[self.leader]
        if len(self.holders(self.logs[self.leader])) >= self.sync:
            self.acked = self.logs[self.leader]
            self.seen = max(self.seen or 0, self.acked)

    def holders(self, number):
        """The replicas on record that run and have a commit."""
        found = self.replicas() & self.record
        return {name for name in found if self.logs[name] >= number}

    def write_record(self):
        """Add members that run, drop those whose commits others on record have."""
        self.record |= self.live()
        if self.forgets:
            self.record = self.live()
            return
        copies = len(self.holders(self.logs[self.leader]))
        if self.leader not in self.down and copies >= self.sync:
            self.record = self.live()

    def crash(self):
        """A member stops; its log stays."""
        if len(self.live()) > 1:
            self.down.add(self.rng.choice(sorted(self.live())))

    def come_back(self):
        """A member runs again with its log."""
        if self.down:
            self.down.remove(self.rng.choice(sorted(self.down)))

    def miss(self):
        """A replica receives nothing from now on."""
        if self.replicas():
            self.deaf.add(self.rng.choice(sorted(self.replicas())))

    def hear(self):
        """All replicas receive the primary's log again."""
        self.deaf.clear()
        if self.leader not in self.down:
            for name in self.replicas():
                self.logs[name] = self.logs[self.leader]

    def join(self):
        """A new member joins with an empty log."""
        if len(self.logs) < 7:
            name = len(self.logs)
            self.logs[name] = 0
            self.deaf.add(name)

    def restart_daemons(self):
        """All daemons forget what they saw."""
        self.seen = None

    def take_over(self):
        """Promote the longest log of the members that run, if it is safe."""
        if self.leader not in self.down or not self.live():
            return
        best = max(self.live(), key=lambda name: (self.logs[name], name))
        if self.remembers:
            unsafe = self.seen is not None and self.logs[best] < self.seen
        else:
            absent = self.record - self.live()
            unsafe = may_lack_commits(absent=absent, sync_replicas=self.sync)
        if unsafe:
            return
        self.lost = self.lost or self.logs[best] < self.acked
        self.leader = best
        self.acked = min(self.acked, self.logs[best])
        for name, number in self.logs.items():
            self.logs[name] = min(number, self.logs[best])


ACTIONS = (
    Model.commit,
    Model.commit,
    Model.write_record,
    Model.crash,
    Model.come_back,
    Model.miss,
    Model.hear,
    Model.join,
    Model.restart_daemons,
    Model.take_over,
)


def loses_commits(seed, members, sync, **rules):
    """Whether a random run loses an acknowledged commit."""
    rng = Random(seed)
    names = set(range(members))
    model = Model(
        rng=rng, sync=sync, logs=dict.fromkeys(names, 0), record=names, **rules
    )
    for _ in range(STEPS):
        rng.choice(ACTIONS)(model)
    return model.lost


SIZES = [(3, 1), (5, 1), (5, 2)]


@pytest.mark.parametrize(("members", "sync"), SIZES)
def test_no_order_of_events_loses_a_commit(members, sync):
    assert not any(loses_commits(seed, members, sync) for seed in range(3000))


@pytest.mark.parametrize(("members", "sync"), SIZES)
@pytest.mark.parametrize("rules", [{"forgets": True}, {"remembers": True}])
def test_rules_that_lose_commits_are_detected(members, sync, rules):
    """Shows that the runs find a record that forgets, and a daemon's memory."""
    assert any(loses_commits(seed, members, sync, **rules) for seed in range(300))
