"""Share of reads served by replicas under a read-heavy load, in virtual time.

Most requests are reads; replicas lag by 50 ms to 30 s. A read counts as eligible for
replicas if some replica, when the read was sent, showed the caller's last write and
data within the age limit. Counting starts once the first home's claim has reached the
replicas: until then a caller without a token is sent to the primary.
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
from tests.invariants import is_done

RATE = 250.0
SECONDS = 8.0
WARM_UP = 2.0
CALLERS = 400
WRITE_SHARE = 0.08
NO_TOKEN_SHARE = 0.2
LAGS = (0.05, 0.2, 1.0)
FAR_BEHIND = 30.0
KINDS = (
    KindSpec(name="status", mode=Mode.READ, max_age_ms=2000.0),
    KindSpec(name="submit", mode=Mode.WRITE, worth=10.0, repeatable=False),
)


@dataclass
class Caller:
    """A caller with its last write and session token."""

    name: str
    value: int = 0
    written: int = 0
    session: object = None
    busy: bool = False


class MixedLoad:
    """Open-loop load on one group; counts eligible reads and who served them."""

    def __init__(self, *, lags, seed=5):
        self.rng = Random(seed)
        self.world = World(
            seed=seed, daemons=9, specs=(make_spec(kinds=KINDS),), service=0.004
        )
        self.group = self.world.groups["grid"]
        self.world.run(1.0)
        for name, lag in zip(("grid-u2", "grid-u3"), lags, strict=True):
            self.group.servers[name].apply_lag = lag
        self.callers = [Caller(name=f"a{n}") for n in range(CALLERS)]
        self.commit_times = {}
        self.counting = False
        self.eligible = 0
        self.eligible_at_replica = 0
        self.at_replica = 0
        self.reads = 0
        self.too_old = 0
        self.latencies = []

    def run(self):
        """Run the load; counting starts after WARM_UP."""
        self.arrive()
        self.world.run(WARM_UP)
        self.counting = True
        self.world.run(SECONDS)
        return self

    def arrive(self):
        """Send a request of a random idle caller and schedule the next one."""
        self.world.clock.after(self.rng.expovariate(RATE), self.arrive)
        caller = self.rng.choice(self.callers)
        if caller.busy:
            return
        caller.busy = True
        if self.rng.random() < WRITE_SHARE:
            self.write(caller)
        else:
            self.read(caller)

    def any_daemon(self):
        """Return a random daemon's name."""
        return f"d{self.rng.randrange(9)}"

    def write(self, caller):
        """Send a write."""
        caller.value += 1
        fields = put(caller.name, caller.value, caller.name)
        verb = fields.pop("verb")
        self.world.ask(
            self.any_daemon(),
            verb,
            lambda a: self.write_done(caller, a),
            caller=caller.name,
            **fields,
        )

    def write_done(self, caller, answer):
        """Record a write's position and the time of its commit."""
        caller.busy = False
        if is_done(answer):
            caller.session = answer.position
            caller.written = answer.position.index
            length = len(self.group.member("grid-u1").log)
            self.commit_times.setdefault(length, self.world.clock.now)

    def read(self, caller):
        """Send a read, for a share of the requests without the session token."""
        fields = get(caller.name, caller.name)
        verb = fields.pop("verb")
        without_token = self.rng.random() < NO_TOKEN_SHARE
        eligible = self.is_replica_eligible(caller)
        sent_at = self.world.clock.now
        self.world.ask(
            self.any_daemon(),
            verb,
            lambda a: self.read_done(caller, a, eligible, sent_at),
            caller=caller.name,
            session=None if without_token else caller.session,
            **fields,
        )

    def is_replica_eligible(self, caller):
        """Return whether the actual state of some replica allows this read now."""
        limit = self.world.clock.now - KINDS[0].max_age_ms / 1000
        for name in ("grid-u2", "grid-u3"):
            applied = self.group.member(name).applied
            missing = [at for index, at in self.commit_times.items() if index > applied]
            if applied >= caller.written and min(missing, default=limit) >= limit:
                return True
        return False

    def read_done(self, caller, answer, eligible, sent_at):
        """Count a read that was answered."""
        caller.busy = False
        if not is_done(answer):
            return
        if answer.position is not None:
            caller.session = max(answer.position, caller.session or answer.position)
        if not self.counting:
            return
        self.reads += 1
        self.latencies.append(self.world.clock.now - sent_at)
        replica = answer.served_by != "grid-u1"
        self.at_replica += replica
        self.eligible += eligible
        self.eligible_at_replica += eligible and replica
        if replica and answer.age_ms > KINDS[0].max_age_ms:
            self.too_old += 1


def primary_after_write(self, job, claimed):
    """Baseline: a caller that has written always reads at the primary."""
    placement = ORIGINAL_PLACE(self, job, claimed)
    if placement.place is Place.REPLICA and job.caller in self.recent_writers.positions:
        return Placement(place=Place.PRIMARY)
    return placement


def primary_unless_caught_up(self, job, claimed):
    """Baseline: use a replica only if its lag is zero."""
    placement = ORIGINAL_PLACE(self, job, claimed)
    if placement.place is not Place.REPLICA:
        return placement
    end = self.view.log_end()
    caught_up = tuple(
        name
        for name in placement.upstreams
        if self.view.status(name).visible.covers(end)
    )
    if not caught_up:
        return Placement(place=Place.PRIMARY)
    return Placement(place=Place.REPLICA, upstreams=caught_up)


@dataclass(frozen=True)
class LoadResult:
    """The result of a load: latencies in virtual seconds, `probes` per read.

    `eligible` is the share of eligible reads that replicas served, `share` that of all.
    """

    eligible: float
    share: float
    too_old: int
    median: float
    p99: float
    probes: float


ORIGINAL_PLACE = ReadPlacer.place
POLICIES = {
    "gypsumhitch": ORIGINAL_PLACE,
    "primary_after_write": primary_after_write,
    "primary_unless_level": primary_unless_caught_up,
}


def run_load(job):
    """Run a load (policy, lags) in a worker process."""
    policy, lags = job
    ReadPlacer.place = POLICIES[policy]
    run = MixedLoad(lags=lags).run()
    ReadPlacer.place = ORIGINAL_PLACE
    probes = sum(
        isinstance(action, Probe)
        for server in run.group.servers.values()
        for _, action in server.arrivals
    )
    return LoadResult(
        eligible=run.eligible_at_replica / max(1, run.eligible),
        share=run.at_replica / run.reads,
        too_old=run.too_old,
        median=percentile(run.latencies, 0.5),
        p99=percentile(run.latencies, 0.99),
        probes=probes / run.reads,
    )


def measure():
    """Yield the figures."""
    cases = {f"lag_{int(lag * 1000)}ms": (lag, lag / 2) for lag in LAGS}
    cases["one_far_behind"] = (FAR_BEHIND, 0.05)
    jobs = [(policy, lags) for lags in cases.values() for policy in POLICIES]
    with Pool(4) as pool:
        results = dict(zip(jobs, pool.map(run_load, jobs), strict=True))
    for case, lags in cases.items():
        for policy in POLICIES:
            result = results[(policy, lags)]
            ours = policy == "gypsumhitch"
            name = f"replica_share_{case}_{policy}"
            yield Figure(
                name=f"{name}_of_lawful",
                value=result.eligible,
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
