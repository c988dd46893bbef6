"""Draws the schedule of a soak run from its seed: faults that may overlap.

A fault ("trouble" in the schedule that is written out) is the name of a method of
`soak.faults.FaultInjector`, which gets its duration.
"""

from dataclasses import dataclass
from random import Random

# Faults and their relative frequencies.
FAULT_WEIGHTS = {
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
# Only planned work; none of it may end a transaction early.
PLANNED_WEIGHTS = {"drain": 3, "drain_some": 3, "roll": 2, "hup": 1, "configure": 2}
# All faults, and a store that is restored from older copies.
STORE_RETURN_WEIGHTS = {**FAULT_WEIGHTS, "store_return": 15}
# All faults, upstreams that outlast the timeout of statements, and links that are reset
# meanwhile.
SLOW_WEIGHTS = {**FAULT_WEIGHTS, "upstream_slow": 15, "links_reset": 10}
# Upstreams that leave while daemons restart, and learn of it late or from older lists.
LEAVING_WEIGHTS = {
    "member_leaves": 8,
    "kill": 4,
    "pause": 3,
    "roll": 2,
    "store_cut_from_some": 3,
    "store_silent_for_some": 3,
    "store_slow": 2,
    "store_forget": 2,
    "upstream_dark": 3,
    "upstream_lag": 3,
    "upstream_crash": 1,
}
# Upstreams that are down together while daemons restart, stand still or are cut off.
ABSENT_WEIGHTS = {
    "two_crash": 8,
    "two_crash_and_kill_all": 8,
    "kill": 3,
    "pause": 3,
    "roll": 2,
    "upstream_deaf": 2,
    "upstream_crash": 2,
    "path_one_way": 3,
    "store_silent_for_some": 2,
    "member_leaves": 1,
}
# Seconds between the starts of faults; often shorter than the faults, so they overlap.
INTERVALS = (0.05, 0.3, 0.8, 1.5, 3.0)
DURATIONS = (0.3, 1.0, 2.5, 5.0)
# Number of faults of one kind in a row.
REPEATS = (1, 1, 1, 2, 4)
# Seconds until the first fault, so that callers run by then.
FIRST_FAULT_AT = 1.0
# The configuration changes once before all faults and once at the end, so that there is
# always a change to check.
CONFIG_CHANGE = "configure"


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One fault: when it starts, its name and its duration; times in seconds.

    The fields are written to schedule.txt under these names.
    """

    at: float
    trouble: str
    lasts: float


def draw_schedule(seed, seconds, fault_weights=FAULT_WEIGHTS):
    """Return the steps of a run; `fault_weights` has the frequency of each fault."""
    rng, at = Random(seed), FIRST_FAULT_AT
    steps = [Step(at=FIRST_FAULT_AT / 2, trouble=CONFIG_CHANGE, lasts=0.0)]
    names, weights = list(fault_weights), list(fault_weights.values())
    while at < seconds:
        name = rng.choices(names, weights)[0]
        for _ in range(rng.choice(REPEATS)):
            steps.append(Step(at=at, trouble=name, lasts=rng.choice(DURATIONS)))
            at += rng.choice(INTERVALS)
    steps = [step for step in steps if step.at < seconds]
    return [*steps, Step(at=seconds, trouble=CONFIG_CHANGE, lasts=0.0)]
