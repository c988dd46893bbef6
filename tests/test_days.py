"""Tests the tables that `bench.days` makes of the users' journal."""

from bench.days import RULES, trouble_table, worth_table


def day(name, troubles, rules):
    """Return the journal record of one simulated day."""
    return {
        "name": name,
        "troubles": troubles,
        "rules": rules,
        "fault": None,
        "G": 0.9,
        "served": 0.99,
        "parts": [["whole day", 0.6, 0.99], ["worst windows", 0.25, 0.8]]
        + [["worst class", 0.15, 0.97]],
        "prices": [["machines", 1.0, 0.02], ["calls", 2.0, 0.01]],
    }


ENTRY = {"cmd": "score", "site": "a"}
DAYS = [
    (ENTRY, day("one", ["cut", "crash"], {})),
    (ENTRY, day("two", ["cut"], {"LOST": 3, "STALE": 1})),
]


def test_trouble_table_counts_violations_by_trouble_and_rule():
    head, _, crash, cut = trouble_table(DAYS)
    assert head.split("|")[3].strip() == RULES[0]
    cells = dict(zip(head.split("|"), cut.split("|"), strict=True))
    assert cells[" days "] == " 2 "
    assert cells[" LOST "] == cells[" STALE "] == " 1 "
    assert cells[" TWICE "] == " - "
    assert set(crash.split("|")[3:-1]) == {" - "}


def test_worth_table_uses_the_newest_score_of_a_day():
    newer = (ENTRY, {**day("one", [], {}), "G": 0.5})
    rows = list(worth_table([*DAYS, newer]))
    assert len(rows) == 4
    assert "| a | one | 0.500 | 0.990 | 0.990 | 0.800 | 0.970 | 0.030 |" in rows
