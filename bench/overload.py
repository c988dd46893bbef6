"""Service by worth and by member under overload, in virtual time."""

from collections import Counter
from dataclasses import dataclass
from multiprocessing import Pool
from random import Random

from bench.report import Figure, percentile
from gypsum_core.admission import Admission
from gypsum_core.fairqueue import FairQueue
from gypsum_core.records import Mode
from gypsum_core.spec import KindSpec
from tests.fakes.world import JITTER, LINK_LATENCY, World, make_spec, put
from tests.invariants import is_done

SERVICE = 0.01
SLOTS = 5
CAPACITY = SLOTS / SERVICE
ROUND_TRIP = 2 * LINK_LATENCY * (1 + JITTER / 2)
BOUND_RATE = SLOTS / (SERVICE + ROUND_TRIP)
SECONDS = 6.0
WARM_UP = 1.0
DEADLINE = 0.5
KINDS = (
    KindSpec(name="note", mode=Mode.WRITE, worth=1.0),
    KindSpec(name="entry", mode=Mode.WRITE, worth=3.0),
    KindSpec(name="alarm", mode=Mode.WRITE, worth=10.0),
)
MIX = {"note": 0.6, "entry": 0.3, "alarm": 0.1}


@dataclass
class Arrivals:
    """A member's open-loop load; `rate` is in requests per second."""

    member: str
    rate: float


class OpenLoopLoad:
    """Open-loop writes of several members to one group."""

    def __init__(self, *, arrivals, seed=3):
        self.rng = Random(seed)
        members = tuple(item.member for item in arrivals)
        spec = make_spec(kinds=KINDS, slots=SLOTS, members=members)
        self.world = World(seed=seed, daemons=3, specs=(spec,), service=SERVICE)
        self.world.run(1.0)
        self.count_from = self.world.clock.now + WARM_UP
        self.offered = Counter()
        self.served = Counter()
        self.latencies = {item.member: [] for item in arrivals}
        self.refusal_latencies = []
        self.sequence = 0
        for item in arrivals:
            self.arrive(item)

    def arrive(self, item):
        """Send a member's request and schedule the next one."""
        self.world.clock.after(self.rng.expovariate(item.rate), self.arrive, item)
        kind = self.rng.choices(list(MIX), weights=MIX.values())[0]
        self.sequence += 1
        sent_at = self.world.clock.now
        fields = put(f"c{self.sequence}", 1, item.member, kind)
        verb = fields.pop("verb")
        counted = sent_at >= self.count_from
        self.offered[kind] += counted
        self.world.ask(
            f"d{self.rng.randrange(3)}",
            verb,
            lambda answer: self.record_answer(
                answer, item.member, kind, sent_at, counted
            ),
            member=item.member,
            deadline=DEADLINE,
            **fields,
        )

    def record_answer(self, answer, member, kind, sent_at, counted):
        """Count an answer: served if it is within its deadline, else refused."""
        latency = self.world.clock.now - sent_at
        if counted and is_done(answer) and latency <= DEADLINE:
            self.served[kind] += 1
            self.latencies[member].append(latency)
        elif counted:
            self.refusal_latencies.append(latency)

    def run(self, fault=None):
        """Run the load; a fault is injected after half of the time."""
        self.world.run(WARM_UP + SECONDS / 2)
        if fault:
            fault(self.world)
        self.world.run(SECONDS / 2)
        return self

    def worth_served(self):
        """Return the worth of all answers within their deadline."""
        return sum(kind.worth * self.served[kind.name] for kind in KINDS)

    def upper_bound(self, seconds=SECONDS):
        """Return the maximum worth: all slots in use, the highest worth served first.

        A slot is in use from the sending of a statement to its answer, as the number of
        statements in flight to an upstream is limited by its slots.
        """
        capacity = BOUND_RATE * seconds
        total = 0.0
        for kind in sorted(KINDS, key=lambda item: -item.worth):
            count = min(capacity, self.offered[kind.name])
            total += kind.worth * count
            capacity -= count
        return total


def kill_primary(world):
    """Kill the primary."""
    group = world.groups["grid"]
    group.kill(group.leader().name)


def use_fifo_baseline(enabled):
    """Replace the queue by a plain FIFO without early refusals, as a baseline."""
    if not enabled:
        return

    def push(self, item, *, member, worth, deadline):
        ORIGINAL_PUSH(
            self, item, member="all", worth=0.0, deadline=float(self.sequence)
        )

    FairQueue.push = push
    Admission.admit = lambda self, job, queue, slots, service_time: True
    Admission.refuse_displaced = lambda self, queue, member, slots, service_time: None


ORIGINAL_PUSH = FairQueue.push


def run_overloaded(job):
    """Run an overload; return the share of the upper bound and the median refusal time.

    A job is (factor of overload, FIFO baseline, kill the primary).
    """
    factor, fifo, failover = job
    use_fifo_baseline(fifo)
    load = OpenLoopLoad(arrivals=[Arrivals(member="north", rate=CAPACITY * factor)])
    load.run(kill_primary if failover else None)
    refusal_latency = percentile(load.refusal_latencies or [0.0], 0.5)
    return load.worth_served() / load.upper_bound(), refusal_latency


def run_flooded(job):
    """Return a member's 99th percentile latency and its served requests.

    A job is (another member sends twenty times as much, FIFO baseline).
    """
    flood, fifo = job
    use_fifo_baseline(fifo)
    quiet = Arrivals(member="south", rate=CAPACITY * 0.1)
    arrivals = [quiet]
    if flood:
        arrivals.append(Arrivals(member="north", rate=CAPACITY * 2.0))
    load = OpenLoopLoad(arrivals=arrivals).run()
    return percentile(load.latencies["south"] or [DEADLINE], 0.99), len(
        load.latencies["south"]
    )


def in_new_process(function, jobs):
    """Run each job in a new process, as the baseline patches classes."""
    with Pool(4, maxtasksperchild=1) as pool:
        return dict(zip(jobs, pool.map(function, jobs, chunksize=1), strict=True))


def measure():
    """Yield the figures."""
    yield from measure_worth()
    yield from measure_flood()


def measure_worth():
    """Yield the share of the upper bound of worth that was served."""
    jobs = [
        (factor, fifo, failover)
        for factor in (2.0, 5.0)
        for fifo in (False, True)
        for failover in (False, True)
    ]
    for (factor, fifo, failover), (share, refusal_latency) in in_new_process(
        run_overloaded, jobs
    ).items():
        policy = "fifo" if fifo else "gypsumhitch"
        scenario = "heatwave_failover" if failover else "steady"
        name = f"weighted_service_{factor:.0f}x_{scenario}_{policy}"
        bound = None if fifo else (0.85 if failover else 0.9)
        yield Figure(name=name, value=share, unit="ratio", bound=bound, lowest=True)
        yield Figure(
            name=f"{name}_median_refusal_after", value=refusal_latency, unit="virtual s"
        )


def measure_flood():
    """Yield the effect of a member's flood on the latency of another one."""
    jobs = [(flood, fifo) for flood in (False, True) for fifo in (False, True)]
    results = in_new_process(run_flooded, jobs)
    for fifo in (False, True):
        policy = "fifo" if fifo else "gypsumhitch"
        alone, _ = results[(False, fifo)]
        with_flood, served = results[(True, fifo)]
        yield Figure(
            name=f"flood_p99_moves_by_service_times_{policy}",
            value=(with_flood - alone) / SERVICE,
            unit="service times",
            bound=None if fifo else 3.0,
        )
        yield Figure(
            name=f"flood_other_member_served_{policy}", value=served, unit="count"
        )
