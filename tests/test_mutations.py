"""The checker detects each mutation of the logic."""

import pytest

from tests import matrix, mutations

BREAKS = [
    (
        "1",
        mutations.ignore_session_positions,
        "all_replicas_apply_late",
        "in a transaction",
    ),
    (
        "2",
        mutations.acknowledge_unconfirmed_writes,
        "cut_primary_from_group",
        "read running",
    ),
    ("3", mutations.share_transactions, "platform_slow", "in a transaction"),
    ("4", mutations.swap_answers, "platform_slow", "read running"),
    (
        "5",
        mutations.report_unknown_as_not_run,
        "all_replicas_behind",
        "write answered, unconfirmed",
    ),
    (
        "6",
        mutations.retry_under_new_keys,
        "cut_primary_from_daemons",
        "write committed, unanswered",
    ),
    ("7", mutations.ignore_leaving, "upstream_leaves", "read running"),
    ("8", mutations.exit_drain_immediately, "drain_home", "write running"),
    ("9", mutations.accept_any_version, "late_listing", "read running"),
    (
        "A",
        mutations.treat_replicas_as_current,
        "all_replicas_apply_late",
        "read running",
    ),
    (
        "2",
        mutations.confirm_across_terms,
        "partition_primary_with_one_daemon",
        "commit done, unanswered",
    ),
    (
        "2",
        mutations.promote_shortest_log,
        "primary_while_replica_behind",
        "read running",
    ),
]


@pytest.mark.parametrize(
    ("promise", "break_it", "fault_name", "step_name"),
    BREAKS,
    ids=[item[1].__name__ for item in BREAKS],
)
def test_break_is_caught(promise, break_it, fault_name, step_name, monkeypatch):
    fault = getattr(matrix, fault_name)
    step = next(item for item in matrix.STEPS if item.name == step_name)
    break_it(monkeypatch)
    cell = matrix.run_cell(step, fault)
    assert promise in cell.promises
