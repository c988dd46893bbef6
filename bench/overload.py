"""Members and worth under overload, in virtual time."""

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
from tests.invariants import done

SERVICE = 0.01
SLOTS = 5
CAPACITY = SLOTS / SERVICE
ROUND_TRIP = 2 * LINK_LATENCY * (1 + JITTER / 2)
OCCUPIED = SLOTS / (SERVICE + ROUND_TRIP)
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
    """One member's open-loop load in requests a second."""

    member: str
    rate: float


class Load:
    """Open-loop writes of several members on one group."""

    def __init__(self, *, arrivals, seed=3):
        self.rng = Random(seed)
        members = tuple(item.member for item in arrivals)
        spec = make_spec(kinds=KINDS, slots=SLOTS, members=members)
        self.world = World(seed=seed, daemons=3, specs=(spec,), service=SERVICE)
        self.world.run(1.0)
        self.begin = self.world.clock.now + WARM_UP
        self.offered = Counter()
        self.served = Counter()
        self.waits = {item.member: [] for item in arrivals}
        self.refused_after = []
        self.sequence = 0
        for item in arrivals:
            self.arrive(item)

    def arrive(self, item):
        """A member's next request."""
        self.world.clock.after(self.rng.expovariate(item.rate), self.arrive, item)
        kind = self.rng.choices(list(MIX), weights=MIX.values())[0]
        self.sequence += 1
        asked = self.world.clock.now
        fields = put(f"c{self.sequence}", 1, item.member, kind)
        verb = fields.pop("verb")
        counts = asked >= self.begin
        self.offered[kind] += counts
        self.world.ask(
            f"d{self.rng.randrange(3)}",
            verb,
            lambda answer: self.answered(answer, item.member, kind, asked, counts),
            member=item.member,
            deadline=DEADLINE,
            **fields,
        )

    def answered(self, answer, member, kind, asked, counts):
        """Count an answer that came within its deadline."""
        took = self.world.clock.now - asked
        if counts and done(answer) and took <= DEADLINE:
            self.served[kind] += 1
            self.waits[member].append(took)
        elif counts:
            self.refused_after.append(took)

    def run(self, fault=None):
        """Let the load pass; a fault strikes half way."""
        self.world.run(WARM_UP + SECONDS / 2)
        if fault:
            fault(self.world)
        self.world.run(SECONDS / 2)
        return self

    def worth_served(self):
        """The worth of all answers in time."""
        return sum(kind.worth * self.served[kind.name] for kind in KINDS)

    def upper_bound(self, seconds=SECONDS):
        """The worth that nobody could exceed: the worthiest first, slots full.

        A slot is taken from the sending of a statement to its answer, since no more
        than its slots may be in flight to an upstream.
        """
        room = OCCUPIED * seconds
        total = 0.0
        for kind in sorted(KINDS, key=lambda item: -item.worth):
            count = min(room, self.offered[kind.name])
            total += kind.worth * count
            room -= count
        return total


def kill_primary(world):
    """The primary dies in the middle of a heatwave."""
    group = world.groups["grid"]
    group.kill(group.leader().name)


def first_in_first_out(switch):
    """Baseline: one line for all, nobody refused early."""
    if not switch:
        return

    def push(self, item, *, member, worth, deadline):
        PLAIN_PUSH(self, item, member="all", worth=0.0, deadline=float(self.sequence))

    FairQueue.push = push
    Admission.admit = lambda self, job, queue, slots, service_time: True
    Admission.refuse_displaced = lambda self, queue, member, slots, service_time: None


PLAIN_PUSH = FairQueue.push


def overloaded(job):
    """Weighted service under a factor of overload, ours or the baseline."""
    factor, fifo, heatwave = job
    first_in_first_out(fifo)
    load = Load(arrivals=[Arrivals(member="north", rate=CAPACITY * factor)])
    load.run(kill_primary if heatwave else None)
    late = percentile(load.refused_after or [0.0], 0.5)
    return load.worth_served() / load.upper_bound(), late


def flooded(job):
    """Another member's 99th percentile, alone or beside a flood of twenty times."""
    flood, fifo = job
    first_in_first_out(fifo)
    quiet = Arrivals(member="south", rate=CAPACITY * 0.1)
    arrivals = [quiet]
    if flood:
        arrivals.append(Arrivals(member="north", rate=CAPACITY * 2.0))
    load = Load(arrivals=arrivals).run()
    return percentile(load.waits["south"] or [DEADLINE], 0.99), len(load.waits["south"])


def in_new_process(function, jobs):
    """Run jobs, each in a process that no baseline has changed."""
    with Pool(4, maxtasksperchild=1) as pool:
        return dict(zip(jobs, pool.map(function, jobs, chunksize=1), strict=True))


def measure():
    """Yield the figures."""
    yield from measure_worth()
    yield from measure_flood()


def measure_worth():
    """Weighted service against the offline bound."""
    jobs = [
        (factor, fifo, heatwave)
        for factor in (2.0, 5.0)
        for fifo in (False, True)
        for heatwave in (False, True)
    ]
    for (factor, fifo, heatwave), (share, late) in in_new_process(
        overloaded, jobs
    ).items():
        policy = "fifo" if fifo else "gypsumhitch"
        scene = "heatwave_failover" if heatwave else "steady"
        name = f"weighted_service_{factor:.0f}x_{scene}_{policy}"
        bound = None if fifo else (0.85 if heatwave else 0.9)
        yield Figure(name=name, value=share, unit="ratio", bound=bound, lowest=True)
        yield Figure(name=f"{name}_median_refusal_after", value=late, unit="virtual s")


def measure_flood():
    """One member floods twenty times, another looks at its own wait."""
    jobs = [(flood, fifo) for flood in (False, True) for fifo in (False, True)]
    results = in_new_process(flooded, jobs)
    for fifo in (False, True):
        policy = "fifo" if fifo else "gypsumhitch"
        alone, _ = results[(False, fifo)]
        beside, served = results[(True, fifo)]
        yield Figure(
            name=f"flood_p99_moves_by_service_times_{policy}",
            value=(beside - alone) / SERVICE,
            unit="service times",
            bound=None if fifo else 3.0,
        )
        yield Figure(
            name=f"flood_other_member_served_{policy}", value=served, unit="count"
        )
