"""What a draining daemon still accepts, and which standby replaces it."""

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.draining import (
    accepts_work,
    choose_standby,
    make_drain_plan,
    session_share_to_close,
)
from gypsum_policy.ownership import MAX_HANDOFFS, is_last_resort

GRACE = 6.0
PLAN = make_drain_plan(GRACE)
ORDER = ["a", "b", "c", "d", "e", "f"]


@given(grace=st.floats(1.0, 120.0))
def test_phases_follow_each_other_and_end_within_the_grace(grace):
    plan = make_drain_plan(grace)
    phases = [
        plan.notice_end,
        plan.close_sessions_by,
        plan.stop_listening_at,
        plan.roll_back_at,
        plan.answers_due,
        plan.exit_by,
    ]
    assert phases == sorted(phases)
    assert plan.exit_by < grace
    assert plan.roll_back_at >= grace / 2


def test_new_work_is_accepted_until_the_notice_period_ends():
    assert accepts_work(
        PLAN, PLAN.notice_end - 0.1, opens_transaction=True, last_resort=False
    )
    assert not accepts_work(
        PLAN, PLAN.notice_end, opens_transaction=True, last_resort=False
    )
    assert not accepts_work(
        PLAN, PLAN.notice_end, opens_transaction=False, last_resort=False
    )


def test_single_statements_that_no_other_daemon_can_run_are_accepted_to_the_end():
    assert accepts_work(
        PLAN, PLAN.answers_due, opens_transaction=False, last_resort=True
    )


def test_no_transaction_is_opened_after_the_notice_period():
    assert not accepts_work(
        PLAN, PLAN.notice_end, opens_transaction=True, last_resort=True
    )


def test_sessions_are_closed_in_growing_shares_up_to_all():
    shares = [
        session_share_to_close(PLAN, PLAN.notice_end + n * 0.05, 0.05)
        for n in range(20)
    ]
    assert shares == sorted(shares)
    assert shares[0] < 0.1 and shares[-1] == 1


def test_no_standby_is_needed_while_an_owner_stays():
    away = {"a", "b"}
    assert choose_standby(ORDER, owners=3, own="a", away=away) == ""


def test_each_of_the_leaving_owners_picks_a_different_standby():
    away = {"a", "b", "c"}
    standbys = [choose_standby(ORDER, owners=3, own=own, away=away) for own in "abc"]
    assert sorted(standbys) == ["d", "e", "f"]


def test_no_standby_from_a_daemon_that_is_no_owner_or_if_all_are_away():
    assert choose_standby(ORDER, owners=3, own="e", away={"a", "b", "c"}) == ""
    assert choose_standby(ORDER, owners=3, own="a", away=set(ORDER)) == ""


def test_an_owner_must_try_when_others_could_not():
    """Statements must not be handed on by all owners without being run.

    After a power loss of all daemons no owner has proven a primary yet. Each hands
    statements on to the next one, unless one of them must try.
    """
    assert not is_last_resort(asked_all=False, leaving=False, unable=MAX_HANDOFFS - 1)
    assert is_last_resort(asked_all=False, leaving=False, unable=MAX_HANDOFFS)
    assert is_last_resort(asked_all=True, leaving=False, unable=0)
    assert is_last_resort(asked_all=False, leaving=True, unable=0)
