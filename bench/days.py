"""Tables of the days in the journal of the users' bench.

`python -m bench.days [HEAD ...]` selects entries by prefixes of their commit (all
without arguments). It prints worth and losses of each standard day, and writes
docs/platform-matrix.md: each kind of trouble against each rule.
"""

import json
import sys
from collections import defaultdict
from pathlib import Path

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
MATRIX = JOURNAL.parent / "docs" / "platform-matrix.md"
SCORE_COMMAND = "score"
RULES = (
    "UNASKED",
    "ROUTE",
    "DRAIN",
    "LOST",
    "CONFIG",
    "RECOVER",
    "MIXED",
    "PINNED",
    "TWICE",
    "REFUSED",
    "STALE",
    "ONE",
    "fault",
)
WORTH_COLUMNS = (
    "site",
    "day",
    "worth",
    "served",
    "whole day",
    "worst windows",
    "worst kind",
    "prices",
)


def read_days(commits):
    """Yield (entry, day) pairs of the selected entries that are ok."""
    for path in sorted(JOURNAL.glob("*.json")):
        entry = json.loads(path.read_text())
        wanted = not commits or any(
            entry["head"].startswith(commit) for commit in commits
        )
        if wanted and entry["ok"]:
            yield from ((entry, day) for day in entry["days"])


def worth_table(days):
    """Yield a table of the standard days in the newest score of each site."""
    newest = {}
    for entry, day in days:
        if entry["cmd"] == SCORE_COMMAND:
            newest[entry["site"], day["name"]] = day
    yield f"| {' | '.join(WORTH_COLUMNS)} |"
    yield "|---" * len(WORTH_COLUMNS) + "|"
    for (site, name), day in sorted(newest.items()):
        parts = {part: earned for part, _, earned in day["parts"]}
        prices = sum(price for _, _, price in day["prices"])
        yield (
            f"| {site} | {name} | {day['G']:.3f} | {day['served']:.3f} "
            f"| {parts['whole day']:.3f} | {parts['worst windows']:.3f} "
            f"| {parts['worst class']:.3f} | {prices:.3f} |"
        )


def trouble_table(days):
    """Yield a table of the days with each kind of trouble and the rules they broke."""
    played, broken = defaultdict(int), defaultdict(int)
    for _, day in days:
        violations = [*day["rules"], *(["fault"] if day["fault"] else [])]
        for kind in day["troubles"]:
            played[kind] += 1
            for rule in violations:
                broken[kind, rule] += 1
    yield f"| trouble | days | {' | '.join(RULES)} |"
    yield "|---" * (2 + len(RULES)) + "|"
    for kind in sorted(played):
        cells = (str(broken[kind, rule] or "-") for rule in RULES)
        yield f"| `{kind}` | {played[kind]} | {' | '.join(cells)} |"


def write_matrix(days, commits):
    """Write docs/platform-matrix.md."""
    lines = [
        "# Troubles of the platform against its rules",
        "",
        f"Written by `python -m bench.days {' '.join(commits)}`",
        f"from {len(days)} days of the journal. A row is a kind of trouble, alone or",
        "among others; `days` is how many days had it; a number under a rule says on",
        "how many of them that rule was broken, whichever trouble was the cause. Days",
        "that the users' bench hides are counted in no row.",
        "",
        *trouble_table(days),
    ]
    MATRIX.write_text("\n".join(lines) + "\n")


def main(commits):
    """Print the table of worth and write the matrix."""
    days = list(read_days(commits))
    print(f"{len(days)} days\n")
    print("\n".join(worth_table(days)))
    write_matrix(days, commits)


if __name__ == "__main__":
    main(sys.argv[1:])
