"""Tables of the days that were played, from the journal of the users' bench.

`python -m bench.days [HEAD ...]` prints, for entries whose source begins with one of
the given commits (all if none is given), worth and losses of each standard day, and for
each kind of trouble how many days had it and how many broke a rule.
"""

import json
import sys
from collections import defaultdict
from pathlib import Path

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
STANDARD = "score"
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


def read_days(heads):
    """All played days of the entries that count: (entry, day) pairs."""
    for path in sorted(JOURNAL.glob("*.json")):
        entry = json.loads(path.read_text())
        wanted = not heads or any(entry["head"].startswith(head) for head in heads)
        if wanted and entry["ok"]:
            yield from ((entry, day) for day in entry["days"])


def worth_table(days):
    """Worth of the standard days in the newest score of each site."""
    newest = {}
    for entry, day in days:
        if entry["cmd"] == STANDARD:
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
    """Days and broken rules for each kind of trouble."""
    played, broken, rules = defaultdict(int), defaultdict(int), defaultdict(set)
    for _, day in days:
        for kind in day["troubles"]:
            played[kind] += 1
            if day["rules"] or day["fault"]:
                broken[kind] += 1
                rules[kind] |= set(day["rules"])
    yield "| trouble | days | with a broken rule | which |"
    yield "|---|---|---|---|"
    for kind in sorted(played):
        which = ", ".join(sorted(rules[kind]))
        yield f"| `{kind}` | {played[kind]} | {broken[kind]} | {which} |"


def main(heads):
    """Print both tables."""
    days = list(read_days(heads))
    print(f"{len(days)} days\n")
    for table in (worth_table, trouble_table):
        print("\n".join(table(days)), end="\n\n")


if __name__ == "__main__":
    main(sys.argv[1:])
