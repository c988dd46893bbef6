"""Runs one scenario: callers work, a fault is injected, and it ends."""

from dataclasses import dataclass

from tests.callers import Caller
from tests.fakes.world import World
from tests.invariants import Checker

WARM_UP = 1.0
SHIP_LAGS = (0.0, 0.002, 0.025)
SETTLE = 6.0


@dataclass
class Scenario:
    """A world with callers and a checker."""

    world: World
    checker: Checker
    callers: list

    @property
    def group(self):
        """The only group."""
        return self.world.groups["grid"]

    def home(self):
        """The host that is first in the database's order."""
        host = next(item for item in self.world.hosts.values() if item.alive)
        return self.world.hosts[host.node.order("grid")[0]]

    def stop(self):
        """Stop the callers, wait for the system to settle, then check its state."""
        for caller in self.callers:
            caller.stopped = True
        self.world.run(SETTLE)
        self.checker.finish()


def start(*, seed=1, callers=5, warm_up=WARM_UP, **options):
    """Start a world and run it without faults for `warm_up` seconds."""
    world = World(seed=seed, **options)
    checker = Checker(world=world)
    world.observers.append(checker)
    for server, lag in zip(
        world.groups["grid"].servers.values(), SHIP_LAGS, strict=False
    ):
        # Replicas differ in lag, so that promoting the wrong one is detected.
        server.ship_lag = lag
    world.run(0.5)
    clients = [
        Caller(
            world=world,
            checker=checker,
            name=f"c{number}",
            neighbour=f"c{(number + 1) % callers}",
            token=number % 2 == 0,
            writes=number < callers - 1,
        )
        for number in range(callers)
    ]
    for client in clients:
        client.start()
    world.run(warm_up)
    return Scenario(world=world, checker=checker, callers=clients)
