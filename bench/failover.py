"""The failover gap in virtual time: how long no write is acknowledged after a fault.

The gap is the longest time between the fault, the acknowledged writes of five callers
after it, and the end of the run.
"""

from dataclasses import replace
from multiprocessing import Pool

from bench.report import Figure, median
from gypsum_core.spec import DEFAULT_TUNING
from tests import matrix, scenario

SEEDS = range(1, 6)
OBSERVED_SECONDS = 4.0
WORKERS = 4
LATENCIES = {"platform": 0.001, "cooling": 0.0005}
SINGLE_FAULTS = (
    matrix.kill_primary,
    matrix.cut_primary_from_group,
    matrix.cut_primary_from_daemons,
    matrix.freeze_primary,
    matrix.kill_home,
    matrix.cut_home_from_primary,
    matrix.silent_connections,
)
DOUBLE_FAULTS = (
    matrix.primary_and_home,
    matrix.primary_while_platform_down,
    matrix.partition_primary_with_one_daemon,
    matrix.partition_while_primary_silent,
)
HARMLESS_FAULTS = (
    matrix.freeze_primary_briefly,
    matrix.silent_connections,
    matrix.cut_home_from_primary,
    matrix.list_misses_home,
)
BASELINE = replace(DEFAULT_TUNING, suspect_after=3.0, ask_after=2.9)


def measure_run(fault, *, seed, latency, tuning=DEFAULT_TUNING):
    """Run a fault; return the gap in seconds and the number of promotions."""
    run = scenario.start(seed=seed, latency=latency, tuning=tuning, callers=5)
    fault(run)
    fault_at = run.world.clock.now
    run.world.run(OBSERVED_SECONDS)
    times = [fault_at, *(ack.at for ack in run.checker.acks if ack.at > fault_at)]
    times.append(run.world.clock.now)
    pairs = zip(times, times[1:], strict=False)
    gap = max(later - earlier for earlier, later in pairs)
    assert not run.checker.violations, run.checker.violations[:3]
    return gap, len(run.group.promoted) - 1


def run_job(job):
    """Run a job (fault name, seed, latency, tuning) in a worker process."""
    name, seed, latency, tuning = job
    return measure_run(getattr(matrix, name), seed=seed, latency=latency, tuning=tuning)


def gaps_by_fault(pool, faults, latency, tuning=DEFAULT_TUNING):
    """Return the gaps of all seeds by the fault's name."""
    jobs = [
        (fault.__name__, seed, latency, tuning) for fault in faults for seed in SEEDS
    ]
    results = pool.map(run_job, jobs)
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
    """Yield the failover gaps."""
    for name, latency in LATENCIES.items():
        single = gaps_by_fault(pool, SINGLE_FAULTS, latency)
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
        double = gaps_by_fault(pool, DOUBLE_FAULTS, latency)
        yield Figure(
            name=f"failover_gap_{name}_double_worst",
            value=max(max(values) for values in double.values()),
            unit="virtual s",
            bound=11.0,
        )
        slow = gaps_by_fault(pool, (matrix.kill_primary,), latency, BASELINE)[
            "kill_primary"
        ]
        yield Figure(
            name=f"failover_gap_{name}_against_fixed_timeout_of_3s",
            value=median(killed) / median(slow),
            unit="ratio",
            bound=0.4,
        )


def measure_false_promotions(pool):
    """Yield the number of promotions after faults that require none."""
    jobs = [
        (fault.__name__, seed, 0.001, DEFAULT_TUNING)
        for fault in HARMLESS_FAULTS
        for seed in SEEDS
    ]
    yield Figure(
        name="false_promotions",
        value=sum(promotions for _, promotions in pool.map(run_job, jobs)),
        unit="count",
        bound=0,
    )
