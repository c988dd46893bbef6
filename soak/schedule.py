"""What happens in a soak, and when, drawn from its seed: troubles that overlap.

A trouble is the name of a method of `soak.faults.Troubles`, with the time for which
it lasts.
"""

from dataclasses import dataclass
from random import Random

# Troubles and how often they come, relative to each other.
WEIGHTS = {
    "kill": 3,
    "drain": 3,
    "pause": 3,
    "kill_all": 1,
    "roll": 1,
    "hup": 1,
    "store_busy": 2,
    "store_silent": 2,
    "store_slow": 1,
    "store_lose": 1,
    "store_forget": 2,
    "store_cut_from_some": 3,
    "store_silent_for_some": 3,
    "store_reset": 1,
    "upstream_crash": 3,
    "upstream_dark": 2,
    "upstream_deaf": 2,
    "upstream_lag": 2,
    "primary_cut": 2,
    "path_silent": 2,
    "path_one_way": 2,
    "path_reset": 2,
    "path_delay": 2,
    "path_drop": 1,
    "links_silent": 2,
    "links_delay": 1,
    "links_reset": 2,
    "links_one_way": 1,
    "member_leaves": 1,
    "strange_entry": 1,
    "configure": 5,
    "configure_large": 2,
    "configure_storm": 1,
}
# Planned work alone, none of which may end a transaction before its time.
PLANNED = {"drain": 3, "drain_some": 3, "roll": 2, "hup": 1, "configure": 2}
# All troubles, and a store that returns from older copies.
RETURNS = {**WEIGHTS, "store_return": 15}
# Pauses between troubles, seconds: often shorter than they last.
PAUSES = (0.05, 0.3, 0.8, 1.5, 3.0)
LASTS = (0.3, 1.0, 2.5, 5.0)
# Troubles of one kind in a row.
SERIES = (1, 1, 1, 2, 4)
# The first comes once callers are at work, seconds.
FIRST = 1.0
# A change of the configuration comes before all troubles and one with the last, so that
# there is something to ask for.
CHANGE = "configure"


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One trouble: when it begins, its name, how long it lasts; seconds."""

    at: float
    trouble: str
    lasts: float


def draw(seed, seconds, kinds=WEIGHTS):
    """The steps of a run; `kinds` are troubles and how often they come."""
    rng, at = Random(seed), FIRST
    steps = [Step(at=FIRST / 2, trouble=CHANGE, lasts=0.0)]
    names, weights = list(kinds), list(kinds.values())
    while at < seconds:
        name = rng.choices(names, weights)[0]
        for _ in range(rng.choice(SERIES)):
            steps.append(Step(at=at, trouble=name, lasts=rng.choice(LASTS)))
            at += rng.choice(PAUSES)
    steps = [step for step in steps if step.at < seconds]
    return [*steps, Step(at=seconds, trouble=CHANGE, lasts=0.0)]
