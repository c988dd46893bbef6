"""Ablation: the effect of each mechanism under load and faults.

`python -m bench.ablation` runs loads in virtual time with all mechanisms, then with
each one disabled, and prints a table for docs/policy.md. A load's figure is the share
of its operations that succeeded, their rate, or a time; seeds are fixed.
"""

import asyncio
from contextlib import ExitStack, contextmanager
from math import inf
from random import Random
from unittest.mock import patch

from gypsum_policy import admission, concurrency
from gypsum_sessions.daemons import remote
from gypsum_sessions.execution import writes
from gypsum_sessions.takeover import reasons
from gypsum_sessions.takeover.leader import LeaderWatch
from gypsum_sessions.takeover.peer_reachability import PeerReachability
from gypsum_sessions.takeover.replication import ReplicationControl
from gypsum_sessions.tuning import SessionTuning
from gypsum_sessions.upstreams import group
from tests.sessions import (
    rig,
    test_bounded_load,
    test_handover,
    test_lagging,
    test_mass_restart,
    test_overload,
)
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import start_writers, write_for

NEVER = 1e9


def share_done(outcomes, *, done):
    """Return the share of outcomes for which `done` is true."""
    return sum(map(done, outcomes)) / len(outcomes)


# Loads


def return_of_all():
    """Restart nine daemons while upstreams still count their lost connections."""
    _, outcomes = run(
        test_mass_restart.run_power_loss(test_mass_restart.DEFAULT_SESSION_TUNING)
    )
    return share_done(outcomes, done=lambda item: item[0] is None)


def far_replicas():
    """Let replicas lag by 30 s under twice the load that one upstream can run."""
    return run(test_handover.run_lagging_replicas())[0]


def lagging_commits():
    """Let replicas lag by 150 ms; return the mean seconds of a commit."""

    async def main():
        rig = await test_lagging.make_lagging_rig()
        times = await test_lagging.measure(rig, "WRITE a", 20)
        return sum(times[5:]) / len(times[5:])

    return run(main())


def cut_from_the_primary():
    """Cut one of three daemons from the primary for six seconds.

    Returns the successful writes of its callers per second.
    """

    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        outcomes, proxy = [], rig.proxies[0]
        rig.cut(proxy, "u1")
        rig.loop.call_later(6.0, proxy.context.dialer.dialer.cut.clear)
        await write_for(rig, proxy, 6.0, outcomes)
        return len([1 for _, refusal, _ in outcomes if refusal is None]) / 6.0

    return run(main())


def leaving_primary():
    """Let a primary leave under writes; return the longest gap in seconds."""

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        outcomes = []
        writers = start_writers(rig, 5.0, outcomes)
        await asyncio.sleep(1.0)
        test_handover.list_as_leaving(rig, "u1")
        await asyncio.gather(*writers)
        return test_handover.longest_gap(outcomes, 0.5)

    return run(main())


def rush():
    """Send three times a group's capacity for three seconds.

    Returns the share of reads that were answered within the target latency.
    """

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
        return share_done(await asyncio.gather(*running), done=bool)

    return run(main())


async def timed_read(rig, rng):
    """Run a read; return whether it was answered within the route's target latency."""
    caller = rig.caller(rng.choice(["own", "bounded"]), rng.choice(rig.proxies))
    started_at = rig.loop.time()
    reply = await caller.send("READ a")
    return reply.ok and rig.loop.time() - started_at <= 0.4


def primary_alone():
    """Let both replicas lag and send the primary 1.2 times what it can run.

    Returns the share of statements that were answered within the target latency.
    """
    return test_overload.share_in_time(run(test_overload.primary_alone(1.2)))


def silent_connections():
    """Silence open connections twice; return the share of writes not in doubt."""

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        outcomes = []
        writers = start_writers(rig, 6.0, outcomes)
        for _ in range(2):
            await asyncio.sleep(2.0)
            for member in rig.group.members:
                for conn in list(member.conns):
                    conn.silent = True
        await asyncio.gather(*writers)
        return share_done(outcomes, done=lambda item: item[1] is None)

    return run(main())


def slow_replica():
    """Let one replica take two seconds per statement.

    Returns the share of reads that were answered within the target latency.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.group["u2"].work = 2.0
        rng, running = Random(3), []
        for _ in range(200):
            running.append(asyncio.create_task(timed_read(rig, rng)))
            await asyncio.sleep(0.02)
        return share_done(await asyncio.gather(*running), done=bool)

    return run(main())


def hot_workspace():
    """Send five times the usual load of one workspace, next to others.

    Returns the share of its operations that met their latency target.
    """
    return run(test_bounded_load.run_burst(5))[test_bounded_load.HOT]


LOADS = (
    return_of_all,
    far_replicas,
    lagging_commits,
    cut_from_the_primary,
    leaving_primary,
    rush,
    silent_connections,
    slow_replica,
    primary_alone,
    hot_workspace,
)

# Switches


@contextmanager
def patched(*changes):
    """Apply patches, (target, name, value) each, within the context."""
    with ExitStack() as stack:
        for target, name, value in changes:
            stack.enter_context(patch.object(target, name, value))
        yield


def tuning_patches(**values):
    """Return patches that replace the default tuning."""
    made = SessionTuning(**values)
    defaults = {**rig.Rig.__init__.__kwdefaults__, "tuning": made}
    return [
        (test_mass_restart, "DEFAULT_SESSION_TUNING", made),
        (rig.Rig.__init__, "__kwdefaults__", defaults),
    ]


async def no_handover(self, old, heir=""):
    """Find no handover target."""
    return


async def acquire_unverified(group, item, job):
    """Acquire a connection without checking that it still works."""
    try:
        return await item.pool.acquire(
            values=job.values,
            timeout=job.time_left(group.context.clock),
            workspace=job.workspace,
        )
    except writes.UpstreamError as exc:
        raise writes.NotSent(str(exc)) from exc


def unlimited(slots, owners):
    """Return a limit that is never reached."""
    return 10_000


def no_expected_wait(self, request, now):
    """Return a wait for which no request is refused."""
    return 0.0


def arrival_order(self, ticket, now):
    """Sort statements by their arrival alone."""
    return (0, ticket)


def never_timed_out(self, now):
    """Judge no waiting statement again."""
    return []


def fixed_limit(self, slowdown, *, queued):
    """Leave the limit as it is."""
    return


SWITCHES = {
    "change of the lead for the load": lambda: patched(
        (reasons, "should_hand_over", lambda **state: False)
    ),
    "handover while the primary serves": lambda: patched(
        (ReplicationControl, "prepare_handover", no_handover)
    ),
    "helpers that reach the primary": lambda: patched(
        (PeerReachability, "confirming_daemons", lambda self: [])
    ),
    "refusal of a daemon that is cut off": lambda: patched(
        (LeaderWatch, "is_partitioned", lambda self: False)
    ),
    "limit of work at upstreams": lambda: patched(
        (group, "concurrency_limit", unlimited)
    ),
    "refusal for the queue's length": lambda: patched(
        (admission.WorkQueue, "expected_wait", no_expected_wait)
    ),
    "waiting work judged again": lambda: patched(
        (admission.WorkQueue, "timed_out", never_timed_out)
    ),
    "limit by what the upstream shows": lambda: patched(
        (concurrency.ConcurrencyLimit, "record_answer", fixed_limit)
    ),
    "order by worth and urgency": lambda: patched(
        (admission.WorkQueue, "sort_key", arrival_order)
    ),
    "known lag of replicas": lambda: patched(*tuning_patches(lag_weight=0.0)),
    "slow reads asked elsewhere": lambda: patched(
        *tuning_patches(hedge_min_delay=NEVER)
    ),
    "modest start": lambda: patched(*tuning_patches(startup_limit_duration=0.0)),
    "closing of idle connections": lambda: patched(*tuning_patches(idle_timeout=NEVER)),
    "bounded load between owners": lambda: patched(
        (remote, "longest_wait", lambda **times: inf)
    ),
    "trial of connections before writes": lambda: patched(
        (writes, "acquire_verified", acquire_unverified)
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
    """Print a row of the table."""
    print(f"| {name} | {' | '.join(f'{item:.3f}' for item in figures)} |", flush=True)


if __name__ == "__main__":
    main()
