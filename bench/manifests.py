"""Time until an accepted manifest is in force everywhere, in virtual time."""

from bench.report import Figure
from tests.fakes.world import World, make_spec

STEP = 0.01
LIMIT = 30.0


def time_in_force(*, daemons, domains, outage=0.0):
    """Seconds from acceptance to the last daemon; the platform may fail after it."""
    world = World(daemons=daemons, domains=domains)
    world.run(4.0)
    platform = world.platform
    platform.put(
        lambda number: make_spec(version=number, slots=4), expect=1, writer="operator"
    )
    if outage:
        keep_only_first_answer(world)
        platform.down = True
    begin = world.clock.now
    while not everywhere(world) and world.clock.now < begin + LIMIT:
        world.run(STEP)
    return world.clock.now - begin


def keep_only_first_answer(world):
    """The platform fails after it has told one watcher of the change."""
    watcher = next(
        host for host in world.hosts.values() if host.node.manifests.is_watcher()
    )
    world.clock.after(0.0, lambda: set_down(world, watcher, world.platform.snapshot()))


def set_down(world, watcher, snapshot):
    """Deliver to one watcher although the platform is down."""
    world.platform.down = False
    world.platform.send_all(watcher, snapshot)
    world.platform.down = True


def everywhere(world):
    """Tell whether every daemon has the second version."""
    return all(
        host.node.manifests.in_force["grid"].spec.version == 2
        for host in world.hosts.values()
    )


def measure():
    """Yield the figures."""
    for daemons, domains in ((9, 3), (300, 11)):
        yield Figure(
            name=f"manifest_in_force_{daemons}_daemons",
            value=time_in_force(daemons=daemons, domains=domains),
            unit="virtual s",
            bound=4.0,
        )
        yield Figure(
            name=f"manifest_in_force_{daemons}_daemons_platform_fails_half_way",
            value=time_in_force(daemons=daemons, domains=domains, outage=10.0),
            unit="virtual s",
            bound=4.0,
        )
