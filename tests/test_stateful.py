"""No random sequence of faults violates a guarantee.

A fixed seed in CI; `make fuzz` searches longer with new seeds.
"""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests import matrix, scenario

SEARCH_RUNS = int(os.environ.get("GYPSUM_FUZZ", "0"))
CI_RUNS = 25
MEMBERS = st.sampled_from(["grid-u1", "grid-u2", "grid-u3"])
DAEMONS = st.sampled_from(["d0", "d1", "d2"])
PLACES = st.one_of(MEMBERS, DAEMONS)
PAUSES = st.sampled_from([0.01, 0.1, 0.4, 0.8, 2.0])
LAGS = st.sampled_from([0.0, 0.05, 1.0, 10.0])


class Faults(RuleBasedStateMachine):
    """Faults start and end while callers work."""

    @initialize(seed=st.integers(min_value=1, max_value=1000))
    def begin(self, seed):
        self.run = scenario.start(seed=seed, warm_up=0.5)
        self.world = self.run.world

    @rule(pause=PAUSES)
    def wait(self, pause):
        self.world.run(pause)

    @rule(name=MEMBERS)
    def kill_member(self, name):
        self.run.group.kill(name)

    @rule(name=MEMBERS)
    def revive_member(self, name):
        self.run.group.revive(name)

    @rule(name=MEMBERS)
    def freeze_member(self, name):
        self.run.group.freeze(name)

    @rule(name=MEMBERS)
    def thaw_member(self, name):
        self.run.group.thaw(name)

    @rule(name=MEMBERS, ship=LAGS, apply=LAGS)
    def lag_member(self, name, ship, apply):
        server = self.run.group.servers[name]
        server.ship_lag, server.apply_lag = ship, apply

    @rule(one=PLACES, other=PLACES)
    def cut(self, one, other):
        if one != other:
            self.world.cut(one, other)

    @rule()
    def heal(self):
        self.world.heal()

    @rule(name=DAEMONS)
    def kill_daemon(self, name):
        if self.world.hosts[name].alive:
            self.world.hosts[name].kill()

    @rule(name=DAEMONS)
    def boot_daemon(self, name):
        host = self.world.hosts[name]
        if not host.alive:
            host.boot()
            self.world.platform.connect_host(host)

    @rule(name=DAEMONS)
    def freeze_daemon(self, name):
        self.world.hosts[name].freeze()

    @rule(name=DAEMONS)
    def thaw_daemon(self, name):
        self.world.hosts[name].thaw()

    @rule(daemon=DAEMONS, member=MEMBERS)
    def silence_connections(self, daemon, member):
        self.world.hosts[daemon].mute(member)

    @rule(down=st.booleans(), slow=st.sampled_from([0.0, 0.0, 2.0]))
    def disturb_platform(self, down, slow):
        self.world.platform.down = down
        self.world.platform.extra_delay = slow

    @rule()
    def apply(self):
        matrix.apply_manifest(self.run)

    @rule(without=st.sets(DAEMONS, max_size=2))
    def list_incompletely(self, without):
        self.world.list_instances(without=without)

    @rule(name=DAEMONS)
    def drain(self, name):
        host = self.world.hosts[name]
        if host.alive and not host.frozen:
            matrix.begin_drain_at(host)

    def teardown(self):
        if not hasattr(self, "run"):
            return
        self.heal_everything()
        self.world.run(3.0)
        self.run.stop()
        assert not self.run.checker.violations

    def heal_everything(self):
        """End all faults and restart stopped daemons."""
        self.world.heal()
        self.world.list_instances()
        self.world.platform.down = False
        self.world.platform.extra_delay = 0.0
        for name, server in self.run.group.servers.items():
            server.ship_lag = server.apply_lag = 0.0
            self.run.group.thaw(name)
            self.run.group.revive(name)
        for host in self.world.hosts.values():
            host.thaw()
        # A running drain ends before its daemon is restarted.
        self.world.run(8.0)
        for host in self.world.hosts.values():
            if not host.alive:
                host.boot()
                self.world.platform.connect_host(host)


Faults.TestCase.settings = settings(
    derandomize=not SEARCH_RUNS,
    max_examples=SEARCH_RUNS or CI_RUNS,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
)
TestFaults = Faults.TestCase
