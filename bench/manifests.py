"""Time until an accepted manifest is in force everywhere, in virtual time."""

from bench.report import Figure
from tests.fakes.world import World, make_spec

CHECK_INTERVAL = 0.01
TIMEOUT = 30.0


def time_in_force(*, daemons, domains, outage=0.0):
    """Return the seconds from a manifest's acceptance until all daemons use it.

    With an `outage`, the platform fails after it has notified one watcher of the
    change.
    """
    world = World(daemons=daemons, domains=domains)
    world.run(4.0)
    platform = world.platform
    platform.put(
        lambda number: make_spec(version=number, slots=4), expect=1, writer="operator"
    )
    if outage:
        fail_after_first_delivery(world)
        platform.down = True
    started_at = world.clock.now
    while not in_force_everywhere(world) and world.clock.now < started_at + TIMEOUT:
        world.run(CHECK_INTERVAL)
    return world.clock.now - started_at


def fail_after_first_delivery(world):
    """Deliver the change to one watcher before the platform fails."""
    watcher = next(
        host for host in world.hosts.values() if host.node.manifests.is_watcher()
    )
    world.clock.after(
        0.0, lambda: deliver_to_watcher(world, watcher, world.platform.snapshot())
    )


def deliver_to_watcher(world, watcher, snapshot):
    """Send a snapshot to a watcher although the platform is down."""
    world.platform.down = False
    world.platform.send_all(watcher, snapshot)
    world.platform.down = True


def in_force_everywhere(world):
    """Return whether every daemon uses the second version."""
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
