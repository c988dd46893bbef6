"""The failover gap in virtual time: how long writes stand still after a fault.

The gap is the longest time between two acknowledged writes around the fault, less
the usual time between two, with four writers at work.
"""

from dataclasses import replace
from multiprocessing import Pool

from bench.report import Figure, median
from gypsum_core.spec import DEFAULT_TUNING
from tests import matrix, scenario

SEEDS = range(1, 6)
WATCH = 4.0
WORKERS = 4
LATENCIES = {"platform": 0.001, "cooling": 0.0005}
SINGLE = (
    matrix.kill_primary,
    matrix.cut_primary_from_group,
    matrix.cut_primary_from_daemons,
    matrix.freeze_primary,
    matrix.kill_home,
    matrix.cut_home_from_primary,
    matrix.silent_connections,
)
DOUBLE = (
    matrix.primary_and_home,
    matrix.primary_while_platform_down,
    matrix.partition_primary_with_one_daemon,
    matrix.partition_while_primary_silent,
)
HARMLESS = (
    matrix.freeze_primary_briefly,
    matrix.silent_connections,
    matrix.cut_home_from_primary,
    matrix.list_misses_home,
)
BASELINE = replace(DEFAULT_TUNING, suspect_after=3.0, ask_after=2.9)


def writers_gap(fault, *, seed, latency, tuning=DEFAULT_TUNING):
    """Seconds without an acknowledged write after a fault, and promotions."""
    run = scenario.start(seed=seed, latency=latency, tuning=tuning, callers=5)
    fault(run)
    struck = run.world.clock.now
    run.world.run(WATCH)
    times = [struck, *(ack.at for ack in run.checker.acks if ack.at > struck)]
    times.append(run.world.clock.now)
    pairs = zip(times, times[1:], strict=False)
    gap = max(later - earlier for earlier, later in pairs)
    assert not run.checker.violations, run.checker.violations[:3]
    return gap, len(run.group.promoted) - 1


def one_run(job):
    """The gap and promotions of one run, in a process of its own."""
    name, seed, latency, tuning = job
    return writers_gap(getattr(matrix, name), seed=seed, latency=latency, tuning=tuning)


def gaps(pool, faults, latency, tuning=DEFAULT_TUNING):
    """Gaps of all faults with all seeds, by fault."""
    jobs = [
        (fault.__name__, seed, latency, tuning) for fault in faults for seed in SEEDS
    ]
    results = pool.map(one_run, jobs)
    by_fault = {}
    for (name, *_), (gap, _) in zip(jobs, results, strict=True):
        by_fault.setdefault(name, []).append(gap)
    return by_fault


def measure():
    """Yield the figures."""
    with Pool(WORKERS) as pool:
        yield from measure_gaps(pool)
        yield from measure_false_promotions(pool)


def measure_gaps(pool):
    """How long writes stand still."""
    for name, latency in LATENCIES.items():
        single = gaps(pool, SINGLE, latency)
        for fault, values in single.items():
            yield Figure(
                name=f"failover_gap_{name}_{fault}_median",
                value=median(values),
                unit="virtual s",
            )
        killed = single["kill_primary"]
        yield Figure(
            name=f"failover_gap_{name}_median",
            value=median(killed),
            unit="virtual s",
            bound=1.0,
        )
        yield Figure(
            name=f"failover_gap_{name}_single_worst",
            value=max(max(values) for values in single.values()),
            unit="virtual s",
            bound=2.0,
        )
        double = gaps(pool, DOUBLE, latency)
        yield Figure(
            name=f"failover_gap_{name}_double_worst",
            value=max(max(values) for values in double.values()),
            unit="virtual s",
            bound=11.0,
        )
        slow = gaps(pool, (matrix.kill_primary,), latency, BASELINE)["kill_primary"]
        yield Figure(
            name=f"failover_gap_{name}_against_fixed_timeout_of_3s",
            value=median(killed) / median(slow),
            unit="ratio",
            bound=0.4,
        )


def measure_false_promotions(pool):
    """Promotions after faults that call for none."""
    jobs = [
        (fault.__name__, seed, 0.001, DEFAULT_TUNING)
        for fault in HARMLESS
        for seed in SEEDS
    ]
    yield Figure(
        name="false_promotions",
        value=sum(promotions for _, promotions in pool.map(one_run, jobs)),
        unit="count",
        bound=0,
    )
