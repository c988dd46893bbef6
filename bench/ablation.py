"""What each mechanism under load and faults is worth: switched off, one by one.

`python -m bench.ablation` replays loads in virtual time with all mechanisms, then with
each one off, and prints a table for docs/policy.md. A load's figure is the share of its
operations that were answered with success, or a time; seeds are fixed.
"""

import asyncio
from contextlib import ExitStack, contextmanager
from random import Random
from unittest.mock import patch

from gypsum_policy import admission
from gypsum_sessions.execution import writes
from gypsum_sessions.takeover import reasons
from gypsum_sessions.takeover.leader import LeaderWatch
from gypsum_sessions.takeover.peer_reachability import PeerReachability
from gypsum_sessions.takeover.replication import ReplicationControl
from gypsum_sessions.tuning import SessionTuning
from gypsum_sessions.upstreams import group
from tests.sessions import rig, test_handover, test_lagging, test_mass_restart
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import start_writers, write_for

NEVER = 1e9


def share(told, *, done):
    """The share of operations that were done."""
    return sum(map(done, told)) / len(told)


# Loads


def return_of_all():
    """Nine daemons come back while upstreams still count their lost connections."""
    _, told = run(
        test_mass_restart.run_power_loss(test_mass_restart.DEFAULT_SESSION_TUNING)
    )
    return share(told, done=lambda item: item[0] is None)


def far_replicas():
    """Replicas apply 30 s late, callers ask for twice what one upstream runs."""
    return run(test_handover.run_lagging_replicas())[0]


def lagging_commits():
    """Replicas apply 150 ms late; seconds that a commit takes."""

    async def main():
        rig = await test_lagging.make_lagging_rig()
        times = await test_lagging.measure(rig, "WRITE a", 20)
        return sum(times[5:]) / len(times[5:])

    return run(main())


def cut_from_the_primary():
    """One of three daemons loses the primary for six seconds; its callers' writes."""

    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        told, proxy = [], rig.proxies[0]
        rig.cut(proxy, "u1")
        rig.loop.call_later(6.0, proxy.context.dialer.dialer.cut.clear)
        await write_for(rig, proxy, 6.0, told)
        return len([1 for _, refusal, _ in told if refusal is None]) / 6.0

    return run(main())


def leaving_primary():
    """A primary leaves under writes: the longest time without one, seconds."""

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        writers = start_writers(rig, 5.0, told)
        await asyncio.sleep(1.0)
        test_handover.list_as_leaving(rig, "u1")
        await asyncio.gather(*writers)
        return test_handover.longest_gap(told, 0.5)

    return run(main())


def rush():
    """Three times what a group runs for three seconds; answered within the aim."""

    async def main():
        rig = Rig(daemons=3)
        for member in rig.group.members:
            member.slots = 3
        await rig.settle()
        await asyncio.sleep(5.0)
        rng, running = Random(7), []
        until = rig.loop.time() + 3.0
        while rig.loop.time() < until:
            running.append(asyncio.create_task(timed_read(rig, rng)))
            await asyncio.sleep(rng.expovariate(1300.0))
        return share(await asyncio.gather(*running), done=bool)

    return run(main())


async def timed_read(rig, rng):
    """One read; tells whether it was answered within the route's target."""
    caller = rig.caller(rng.choice(["own", "bounded"]), rng.choice(rig.proxies))
    began = rig.loop.time()
    reply = await caller.send("READ a")
    return reply.ok and rig.loop.time() - began <= 0.4


def silent_connections():
    """Open connections go silent, twice; writes that are not in doubt."""

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        writers = start_writers(rig, 6.0, told)
        for _ in range(2):
            await asyncio.sleep(2.0)
            for member in rig.group.members:
                for conn in list(member.conns):
                    conn.silent = True
        await asyncio.gather(*writers)
        return share(told, done=lambda item: item[1] is None)

    return run(main())


def slow_replica():
    """One replica takes two seconds a statement: reads within the aim."""

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.group["u2"].work = 2.0
        rng, running = Random(3), []
        for _ in range(200):
            running.append(asyncio.create_task(timed_read(rig, rng)))
            await asyncio.sleep(0.02)
        return share(await asyncio.gather(*running), done=bool)

    return run(main())


LOADS = (
    return_of_all,
    far_replicas,
    lagging_commits,
    cut_from_the_primary,
    leaving_primary,
    rush,
    silent_connections,
    slow_replica,
)

# Switches


@contextmanager
def without(*changes):
    """Apply patches for a while."""
    with ExitStack() as stack:
        for target, name, value in changes:
            stack.enter_context(patch.object(target, name, value))
        yield


def tuned(**values):
    """Patches that put another tuning in the place of the default one."""
    made = SessionTuning(**values)
    defaults = {**rig.Rig.__init__.__kwdefaults__, "tuning": made}
    return [
        (test_mass_restart, "DEFAULT_SESSION_TUNING", made),
        (rig.Rig.__init__, "__kwdefaults__", defaults),
    ]


async def no_heir(self, old, heir=""):
    """Nobody is handed over to while the primary serves."""
    return


async def untried(group, item, values, timeout):
    """A connection that was not tried."""
    try:
        return await item.pool.acquire(values=values, timeout=timeout)
    except writes.UpstreamError as exc:
        raise writes.NotSent(str(exc)) from exc


def any_limit(slots, owners):
    """No limit at upstreams."""
    return 10_000


def no_hurry(self, request, now):
    """Nobody is refused for the queue's length."""
    return 0.0


def all_alike(self, ticket, now):
    """Who came first is first."""
    return ticket


SWITCHES = {
    "change of the lead for the load": lambda: without(
        (reasons, "should_hand_over", lambda **seen: False)
    ),
    "handover while the primary serves": lambda: without(
        (ReplicationControl, "prepare_handover", no_heir)
    ),
    "helpers that reach the primary": lambda: without(
        (PeerReachability, "confirming_daemons", lambda self: [])
    ),
    "refusal of a daemon that is cut off": lambda: without(
        (LeaderWatch, "is_partitioned", lambda self: False)
    ),
    "limit of work at upstreams": lambda: without(
        (group, "concurrency_limit", any_limit)
    ),
    "refusal for the queue's length": lambda: without(
        (admission.WorkQueue, "expected_wait", no_hurry)
    ),
    "order by worth and urgency": lambda: without(
        (admission.WorkQueue, "sort_key", all_alike)
    ),
    "known lag of replicas": lambda: without(*tuned(lag_weight=0.0)),
    "slow reads asked elsewhere": lambda: without(*tuned(hedge_min_delay=NEVER)),
    "modest start": lambda: without(*tuned(startup_limit_duration=0.0)),
    "closing of idle connections": lambda: without(*tuned(idle_timeout=NEVER)),
    "trial of connections before writes": lambda: without(
        (writes, "acquire_verified", untried)
    ),
}


def main():
    """Print the table."""
    names = [load.__name__.replace("_", " ") for load in LOADS]
    print(f"| switched off | {' | '.join(names)} |")
    print(f"|---|{'---|' * len(names)}")
    print_row("nothing", [load() for load in LOADS])
    for name, switch in SWITCHES.items():
        with switch():
            print_row(name, [load() for load in LOADS])


def print_row(name, figures):
    """Print one line of the table."""
    print(f"| {name} | {' | '.join(f'{item:.3f}' for item in figures)} |", flush=True)


if __name__ == "__main__":
    main()
