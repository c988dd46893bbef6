"""When an owner has room for a statement, and which owner is asked if it has none."""

from gypsum_policy.boundedload import OwnerWaits, longest_wait
from gypsum_policy.latency import DEFAULT_LATENCY
from gypsum_policy.ownership import OwnerView, owners_to_ask

KIND = ("north", False)


def waits(wait, pace=0.0, now=10.0):
    """An owner's waits after one report."""
    owner = OwnerWaits()
    owner.record(KIND, wait=wait, pace=pace, now=now)
    return owner


def order(full=(), workspace="", far=("f1", "f2")):
    """The order of four owners, two of them far, with one standby."""
    names = ["n1", "n2", "f1", "f2", "standby"]
    views = [
        OwnerView(
            name=name, rank=rank, far=name in far, avoided=False, full=name in full
        )
        for rank, name in enumerate(names)
    ]
    return owners_to_ask(views, owners=4, daemon="me", workspace=workspace)


def test_a_wait_is_bounded_by_the_latency_target_and_then_by_the_deadline():
    assert longest_wait(now=0.0, target_time=0.4, deadline=1.0) < 0.2
    late = longest_wait(now=0.5, target_time=0.4, deadline=1.5)
    assert 0.2 < late < 0.5
    assert longest_wait(now=1.5, target_time=0.4, deadline=1.5) == 0.0
    assert longest_wait(now=0.0, target_time=DEFAULT_LATENCY, deadline=1.0) > 0.0


def test_an_owner_that_reports_nothing_has_room():
    """Guards against work that avoids owners of an older version: they report none."""
    assert waits(0.0).expected(KIND, 10.0) == 0.0
    assert OwnerWaits().expected(KIND, 10.0) == 0.0
    assert waits(0.3).expected(("south", False), 10.0) == 0.0


def test_a_report_runs_out_with_the_wait_that_it_reports():
    """Guards against an owner that is never asked again after one report."""
    owner = waits(0.3)
    assert owner.expected(KIND, 10.1) > 0.15
    assert owner.expected(KIND, 10.3) == 0.0
    assert not owner.reports


def test_statements_sent_since_the_report_add_to_the_wait():
    """Guards against a burst that one daemon sends whole on the word of one report."""
    owner = waits(0.1, pace=0.02)
    for _ in range(5):
        owner.record_sent(KIND)
    assert owner.expected(KIND, 10.0) > 0.15
    owner.record(KIND, wait=0.0, pace=0.0, now=10.0)
    assert owner.expected(KIND, 10.0) == 0.0


def test_a_workspace_goes_to_the_next_owner_of_its_order_and_back():
    usual = order(workspace="north")
    assert order([usual[0]], workspace="north")[:2] == usual[1:3]
    assert order(usual[:2], workspace="north")[0] == usual[2]
    assert order(workspace="north") == usual


def test_a_far_owner_is_asked_once_the_near_ones_are_full():
    assert set(order()[:2]) == {"n1", "n2"}
    assert order(["n1"])[0] == "n2"
    assert set(order(["n1", "n2"])[:2]) == {"f1", "f2"}


def test_if_all_are_full_the_order_is_as_usual():
    """Guards against an overload that sends all work far away, for nothing."""
    every = ["n1", "n2", "f1", "f2"]
    assert order(every) == order()
    assert order(every, workspace="north") == order(workspace="north")
    assert order()[-1] == "standby"
