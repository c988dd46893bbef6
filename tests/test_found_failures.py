"""Failures that were found, each told and kept from coming back."""

from random import Random

from gypsum_core.actions import Write
from gypsum_core.claim import ClaimKeeper
from gypsum_core.context import Context
from gypsum_core.group import GroupView
from gypsum_core.recent import RecentWriters
from gypsum_core.records import Outcome, Position, Status, Verb
from tests import matrix, scenario
from tests.fakes.world import World, get, put
from tests.invariants import contains, done


def ask(world, host, **fields):
    """Ask something and return the list that its answer will be put in."""
    answers = []
    verb = fields.pop("verb")
    world.ask(host, verb, answers.append, **fields)
    return answers


def begin_with_one_put(world):
    """Open a transaction and set a cell in it; returns its name."""
    begun = ask(world, "d0", verb=Verb.BEGIN, kind="plan")
    world.run(0.1)
    tx = begun[0].tx
    statement = put("c", 1, "c")["statement"]
    ask(world, "d0", verb=Verb.TX_QUERY, tx=tx, statement=statement)
    world.run(0.1)
    return tx


def test_commit_of_an_ended_term_is_settled_not_run_again():
    """
    Symptom: a commit was answered as not run, and its effects were there.
    Sequence: the commit waits for its majority; the same member is promoted at a
    higher term; the transaction's name means nothing there.
    Cause: the commit was queued as a commit again instead of asking the ledger.
    """
    world = World()
    world.run(1)
    group = world.groups["grid"]
    tx = begin_with_one_put(world)
    for server in group.servers.values():
        server.ship_lag = 0.5
    answers = ask(world, "d1", verb=Verb.COMMIT, tx=tx, key="k", keyed=True)
    world.run(0.1)
    leader = group.leader()
    for member in [group.member(name) for name in group.servers]:
        member.fence(2)
    leader.promote(2)
    group.promoted.append((world.clock.now, 2, leader.name))
    world.run(4)
    assert [item.outcome for item in answers] == [Outcome.DONE]


def test_outcome_that_cannot_be_learned_is_unknown():
    """
    Symptom: a key's outcome was told as not run; the write was there later.
    Sequence: a write's answer is lost with the group's majority; the caller asks
    for the outcome; the question waits in the queue until its deadline.
    Cause: "not run" was said of the question, the caller reads it of the write.
    """
    world = World()
    world.run(1)
    for name in world.groups["grid"].servers:
        world.groups["grid"].kill(name)
    answers = ask(world, "d0", verb=Verb.OUTCOME, key="k", keyed=True, deadline=1.0)
    world.run(2)
    assert [item.outcome for item in answers] == [Outcome.UNKNOWN]


def claim_status(holder, index):
    """A primary's status with a claim holder."""
    return Status(
        upstream="u1",
        primary=True,
        promised=1,
        log_term=1,
        received=index,
        applied=index,
        claim=holder,
    )


def test_claim_counts_only_once_its_own_answer_is_in():
    """
    Symptom: a caller without a token missed its own write.
    Sequence: a home claims the group back from another; a probe shows the claim
    before the claim's own answer; a read is placed by the table of the home's
    earlier time, which lacks what the other home wrote.
    Cause: the claim was believed from any status.
    """
    ctx = Context(daemon="d0", incarnation="1", rng=Random(1))
    view = GroupView(upstreams=("u1",), majority=1, marks=10)
    recent = RecentWriters(limit=10)
    recent.wrote(("north", ""), Position(term=1, index=5))
    claim = ClaimKeeper(ctx=ctx, view=view, recent=recent)
    holder = claim.begin()
    view.learn(claim_status(holder, 9), sent_at=1.0)
    assert not claim.held
    claim.answered(claim_status(holder, 9))
    assert claim.held
    assert recent.needs(("north", "")) == Position(term=1, index=9)


def test_late_claim_of_an_earlier_attempt_is_not_ours():
    """
    Symptom: none seen; found by thinking the one above through.
    Sequence: a claim is given up and repeated; another home claims and writes; the
    first claim arrives late and names us again.
    Cause: both attempts would claim under one name.
    """
    ctx = Context(daemon="d0", incarnation="1", rng=Random(1))
    view = GroupView(upstreams=("u1",), majority=1, marks=10)
    claim = ClaimKeeper(ctx=ctx, view=view, recent=RecentWriters(limit=10))
    first = claim.begin()
    claim.failed()
    claim.answered(claim_status(claim.begin(), 3))
    view.learn(claim_status(first, 7), sent_at=1.0)
    assert not claim.held


def test_primary_cut_from_its_group_is_not_promoted_again():
    """
    Symptom: writes stood still for as long as a primary was cut from its group.
    Sequence: the primary answers the fence, has the longest log, is promoted again.
    Cause: an unconfirmed tail outweighed that no replica hears it.
    """
    run = scenario.start(seed=3)
    first = run.group.leader().name
    matrix.cut_primary_from_group(run)
    acks = len(run.checker.acks)
    run.world.run(3)
    assert [name for _, _, name in run.group.promoted][1] != first
    assert len(run.group.promoted) == 2
    assert len(run.checker.acks) > acks


def test_dead_primary_does_not_burn_the_retry_budget():
    """
    Symptom: queued writes were refused within milliseconds of a primary's death.
    Sequence: the dead primary refuses connections at once; each write is retried
    against it again and again; the retry budget is empty before a new one leads.
    Cause: nothing kept work from an upstream that had just failed.
    """
    world = World()
    world.run(1)
    group = world.groups["grid"]
    group.kill(group.leader().name)
    answers = [
        ask(world, "d0", key=f"k{number}", **put(f"c{number}", 1, "c"))
        for number in range(100)
    ]
    world.run(4)
    assert all(len(item) == 1 and done(item[0]) for item in answers)


def test_read_at_a_frozen_replica_moves_on():
    """
    Symptom: a status check took half its deadline when a replica froze.
    Sequence: a read is sent to a replica; the replica stops; the home knows it after
    0.2 s, the read stays until its attempt times out.
    Cause: knowing that an upstream is silent moved new work only.
    """
    world = World(service=0.05)
    world.run(1)
    group = world.groups["grid"]
    answers = ask(world, "d0", deadline=8.0, **get("c", "t"))
    world.run(0.02)
    frozen = next(name for name, server in group.servers.items() if server.running)
    group.freeze(frozen)
    world.run(0.8)
    assert len(answers) == 1
    assert answers[0].served_by != frozen


def replace_primary_at_once(group):
    """A write has committed at u1 alone; u2 leads the next term, all follow it."""
    new = group.member("grid-u2")
    for name in group.servers:
        group.member(name).fence(2)
    new.promote(2)
    for name in ("grid-u1", "grid-u3"):
        member = group.member(name)
        member.follow(2, "grid-u2", group.clock.now)
        member.truncate(member.common_prefix([entry.term for entry in new.log]))
        member.log.extend(new.log[len(member.log) :])
    group.promoted.append((group.clock.now, 2, "grid-u2"))


def test_position_of_another_term_confirms_nothing():
    """
    Symptom: none seen; found by reading. A write would be answered as done although
    no member has it.
    Sequence: it commits at a primary; before the question for its position is
    answered the primary is replaced, follows, and has discarded the write; the
    position it tells is the new term's, which a majority holds.
    Cause: a position was believed whatever its term.
    """
    world = World()
    world.run(1)
    group = world.groups["grid"]
    for server in group.servers.values():
        server.ship_lag = 0.3

    def strike(call):
        if isinstance(call.action, Write):
            world.hooks.clear()
            replace_primary_at_once(group)
            # The home hears of the new term from the replicas first.
            world.cut(call.host.name, "grid-u2")
            world.clock.after(0.5, world.heal)

    world.hooks["committed"] = strike
    answers = ask(world, "d0", **put("c", 1, "c"))
    world.run(3)
    assert len(answers) == 1
    assert done(answers[0])
    assert contains(group.leader(), "c", 1)


def test_first_write_after_a_quiet_time_keeps_reads_at_replicas():
    """
    Symptom: an aged read half a second after a write went to the primary; the demo
    failed now and then.
    Sequence: a group is quiet, its statuses are half a second old; a write; a read
    with its token, before the next status.
    Cause: a replica's lag was counted from the last status before the write, so it
    looked as far behind as the statuses are apart, and nobody asked it again.
    """
    places = []
    for delay in (0.1, 0.2, 0.3, 0.4):
        world = World()
        for server in world.groups["grid"].servers.values():
            server.apply_lag = 0.06
        world.run(8.0 + delay)
        wrote = ask(world, "d0", **put("c", 1, "c"))
        world.run(0.03 + delay)
        session = wrote[0].position
        read = ask(world, "d1", session=session, **get("c", "c"))
        world.run(0.5)
        places.append(read[0].served_by)
    assert "grid-u1" not in places
