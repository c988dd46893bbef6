"""Runs one scenario: callers work, something goes wrong, everything heals."""

from dataclasses import dataclass

from tests.callers import Caller
from tests.fakes.world import World
from tests.invariants import Checker

WARM_UP = 1.0
SETTLE = 6.0


@dataclass
class Scenario:
    """A world with callers and a checker."""

    world: World
    checker: Checker
    callers: list

    @property
    def group(self):
        """The one group."""
        return self.world.groups["grid"]

    def home(self):
        """The host that leads the database's order now."""
        host = next(item for item in self.world.hosts.values() if item.alive)
        return self.world.hosts[host.node.order("grid")[0]]

    def stop(self):
        """Let the callers finish, everything settle, then check the end."""
        for caller in self.callers:
            caller.stopped = True
        self.world.run(SETTLE)
        self.checker.finish()


def start(*, seed=1, callers=4, transactions=True, warm_up=WARM_UP, **options):
    """Start a world and let it work undisturbed for a while."""
    world = World(seed=seed, **options)
    checker = Checker(world=world)
    world.observers.append(checker)
    world.run(0.5)
    people = [
        Caller(
            world=world,
            checker=checker,
            name=f"c{number}",
            token=number % 2 == 0,
            transactions=transactions,
        )
        for number in range(callers)
    ]
    for person in people:
        person.start()
    world.run(warm_up)
    return Scenario(world=world, checker=checker, callers=people)
