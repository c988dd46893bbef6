"""Replica share under a spring surge, in virtual time.

Status checks dominate, planners' writes land on the primary, replicas lag from
50 ms to far behind. A read counts as lawful for replicas if, at the moment it was
asked, some replica truly showed the caller's last write and data young enough.
Counting starts when the first home's claim has reached the replicas: until then a
caller without a token is sent to the primary.
"""

from dataclasses import dataclass
from multiprocessing import Pool
from random import Random

from bench.report import Figure, percentile
from gypsum_core.actions import Probe
from gypsum_core.readplacer import Place, Placement, ReadPlacer
from gypsum_core.records import Mode
from gypsum_core.spec import KindSpec
from tests.fakes.world import World, get, make_spec, put
from tests.invariants import done

RATE = 250.0
SECONDS = 8.0
WARM_UP = 2.0
APPLICANTS = 400
WRITE_SHARE = 0.08
ROAMING_SHARE = 0.2
LAGS = (0.05, 0.2, 1.0)
FAR_BEHIND = 30.0
KINDS = (
    KindSpec(name="status", mode=Mode.READ, max_age_ms=2000.0),
    KindSpec(name="submit", mode=Mode.WRITE, worth=10.0, repeatable=False),
)


@dataclass
class Applicant:
    """A caller with its last write."""

    name: str
    value: int = 0
    written: int = 0
    session: object = None
    busy: bool = False


class Surge:
    """Open-loop load on one group; counts lawful reads and where they went."""

    def __init__(self, *, lags, seed=5):
        self.rng = Random(seed)
        self.world = World(
            seed=seed, daemons=9, specs=(make_spec(kinds=KINDS),), service=0.004
        )
        self.group = self.world.groups["grid"]
        self.world.run(1.0)
        for name, lag in zip(("grid-u2", "grid-u3"), lags, strict=True):
            self.group.servers[name].apply_lag = lag
        self.applicants = [Applicant(name=f"a{n}") for n in range(APPLICANTS)]
        self.commit_times = {}
        self.counting = False
        self.lawful = 0
        self.lawful_at_replica = 0
        self.at_replica = 0
        self.reads = 0
        self.too_old = 0
        self.waits = []

    def run(self):
        """Let the surge pass."""
        self.arrive()
        self.world.run(WARM_UP)
        self.counting = True
        self.world.run(SECONDS)
        return self

    def arrive(self):
        """The next applicant comes."""
        self.world.clock.after(self.rng.expovariate(RATE), self.arrive)
        person = self.rng.choice(self.applicants)
        if person.busy:
            return
        person.busy = True
        if self.rng.random() < WRITE_SHARE:
            self.write(person)
        else:
            self.read(person)

    def host(self):
        """Any daemon."""
        return f"d{self.rng.randrange(9)}"

    def write(self, person):
        """A submission."""
        person.value += 1
        fields = put(person.name, person.value, person.name)
        verb = fields.pop("verb")
        self.world.ask(
            self.host(),
            verb,
            lambda a: self.wrote(person, a),
            caller=person.name,
            **fields,
        )

    def wrote(self, person, answer):
        """It is done."""
        person.busy = False
        if done(answer):
            person.session = answer.position
            person.written = answer.position.index
            length = len(self.group.member("grid-u1").log)
            self.commit_times.setdefault(length, self.world.clock.now)

    def read(self, person):
        """A status check; some callers come without their token."""
        fields = get(person.name, person.name)
        verb = fields.pop("verb")
        roams = self.rng.random() < ROAMING_SHARE
        lawful = self.is_lawful(person)
        asked = self.world.clock.now
        self.world.ask(
            self.host(),
            verb,
            lambda a: self.was_read(person, a, lawful, asked),
            caller=person.name,
            session=None if roams else person.session,
            **fields,
        )

    def is_lawful(self, person):
        """Tell whether some replica truly could serve this read now."""
        limit = self.world.clock.now - KINDS[0].max_age_ms / 1000
        for name in ("grid-u2", "grid-u3"):
            applied = self.group.member(name).applied
            missing = [at for index, at in self.commit_times.items() if index > applied]
            if applied >= person.written and min(missing, default=limit) >= limit:
                return True
        return False

    def was_read(self, person, answer, lawful, asked):
        """Count a read."""
        person.busy = False
        if not done(answer):
            return
        if answer.position is not None:
            person.session = max(answer.position, person.session or answer.position)
        if not self.counting:
            return
        self.reads += 1
        self.waits.append(self.world.clock.now - asked)
        replica = answer.served_by != "grid-u1"
        self.at_replica += replica
        self.lawful += lawful
        self.lawful_at_replica += lawful and replica
        if replica and answer.age_ms > KINDS[0].max_age_ms:
            self.too_old += 1


def primary_after_write(self, job, claimed):
    """Baseline: whoever has written reads at the primary ever after."""
    placement = PLAIN_PLACE(self, job, claimed)
    if placement.place is Place.REPLICA and job.caller in self.recent_writers.positions:
        return Placement(place=Place.PRIMARY)
    return placement


def primary_unless_level(self, job, claimed):
    """Baseline: a replica only if its lag is zero."""
    placement = PLAIN_PLACE(self, job, claimed)
    if placement.place is not Place.REPLICA:
        return placement
    end = self.view.end()
    level = tuple(
        name
        for name in placement.upstreams
        if self.view.status(name).visible.covers(end)
    )
    if not level:
        return Placement(place=Place.PRIMARY)
    return Placement(place=Place.REPLICA, upstreams=level)


@dataclass(frozen=True)
class SurgeResult:
    """What a surge came to; times in virtual seconds, probes for each read."""

    lawful: float
    share: float
    too_old: int
    median: float
    p99: float
    probes: float


PLAIN_PLACE = ReadPlacer.place
POLICIES = {
    "gypsumhitch": PLAIN_PLACE,
    "primary_after_write": primary_after_write,
    "primary_unless_level": primary_unless_level,
}


def surge(job):
    """One surge under one policy, in a process of its own."""
    policy, lags = job
    ReadPlacer.place = POLICIES[policy]
    run = Surge(lags=lags).run()
    ReadPlacer.place = PLAIN_PLACE
    probes = sum(
        isinstance(action, Probe)
        for server in run.group.servers.values()
        for _, action in server.arrivals
    )
    return SurgeResult(
        lawful=run.lawful_at_replica / max(1, run.lawful),
        share=run.at_replica / run.reads,
        too_old=run.too_old,
        median=percentile(run.waits, 0.5),
        p99=percentile(run.waits, 0.99),
        probes=probes / run.reads,
    )


def measure():
    """Yield the figures."""
    cases = {f"lag_{int(lag * 1000)}ms": (lag, lag / 2) for lag in LAGS}
    cases["one_far_behind"] = (FAR_BEHIND, 0.05)
    jobs = [(policy, lags) for lags in cases.values() for policy in POLICIES]
    with Pool(4) as pool:
        results = dict(zip(jobs, pool.map(surge, jobs), strict=True))
    for case, lags in cases.items():
        for policy in POLICIES:
            result = results[(policy, lags)]
            ours = policy == "gypsumhitch"
            name = f"replica_share_{case}_{policy}"
            yield Figure(
                name=f"{name}_of_lawful",
                value=result.lawful,
                unit="ratio",
                bound=0.95 if ours else None,
                lowest=True,
            )
            yield Figure(name=f"{name}_of_all", value=result.share, unit="ratio")
            yield Figure(name=f"{name}_median", value=result.median, unit="virtual s")
            yield Figure(name=f"{name}_p99", value=result.p99, unit="virtual s")
            if ours:
                yield Figure(
                    name=f"{name}_probes_per_read", value=result.probes, unit="count"
                )
                yield Figure(
                    name=f"{name}_too_old", value=result.too_old, unit="count", bound=0
                )
