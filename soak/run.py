"""One soak run: starts the processes, runs load and faults, checks the end state."""

import asyncio
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from soak.callers import Caller
from soak.checker import AnswerStats, StatementChecker
from soak.configchanges import ConfigChanges
from soak.faults import MAX_JOINS, MAX_JOINS_WHEN_LEAVING, FaultInjector
from soak.fleet import Fleet, StandInProcess, connect
from soak.schedule import (
    ABSENT_WEIGHTS,
    FAULT_WEIGHTS,
    LEAVING_WEIGHTS,
    PLANNED_WEIGHTS,
    SLOW_WEIGHTS,
    STORE_RETURN_WEIGHTS,
    draw_schedule,
)
from tests.standins.platformworld import CONNECTIONS, probe_ready

# More than a daemon's connections to a member.
CALLERS_PER_DAEMON = 3
# Seconds; daemons start within a few, but many at once on a busy machine take longer.
START_TIMEOUT = 120.0
# Seconds for which callers go on after the last fault: unfinished takeovers, paused
# replicas and removed entries take that long to be resolved.
SETTLE_TIME = 15.0
# Seconds after that within which each daemon has to accept a write.
RECOVERY_TIMEOUT = 30.0


@dataclass(slots=True, kw_only=True)
class Outcome:
    """The result of a run: findings are in `broken` and `exits`."""

    seed: int
    steps: list
    broken: list[str]
    stats: AnswerStats
    statements: int
    probes: int
    seconds: float
    exits: list[str] = field(default_factory=list)

    def lines(self):
        """Yield a report of the run as lines of text."""
        yield f"seed {self.seed}: {len(self.steps)} troubles in {self.seconds:.0f} s"
        yield from self.stats.lines()
        yield f"statements run {self.statements}, routes asked for {self.probes}"
        yield from self.exits
        yield from self.broken
        yield f"findings: {len(self.broken) + len(self.exits)}"


def weights_for(*, planned, returns, slow, leaving, absent):
    """Return the faults to draw from, with their weights."""
    if absent:
        return ABSENT_WEIGHTS
    if leaving:
        return LEAVING_WEIGHTS
    if planned:
        return PLANNED_WEIGHTS
    if slow:
        return SLOW_WEIGHTS
    return STORE_RETURN_WEIGHTS if returns else FAULT_WEIGHTS


async def soak(
    *,
    seed,
    seconds,
    daemons,
    folder,
    connections=CONNECTIONS,
    planned=False,
    returns=False,
    slow=False,
    leaving=False,
    absent=False,
):
    """Run one seed and return its outcome. Logs and settings stay in the folder.

    `connections` is the connection limit of an upstream: if it is low, some daemons own
    the group and the others send them their statements. `planned` draws only planned
    work, `returns` also restores the store from older copies, `slow` also makes
    upstreams slower than statements wait. `leaving` draws upstreams that leave, and
    what makes daemons learn of it late. `absent` draws upstreams that are down together
    while daemons restart, stand still or are cut off.
    """
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    weights = weights_for(
        planned=planned, returns=returns, slow=slow, leaving=leaving, absent=absent
    )
    steps = draw_schedule(seed, seconds, weights)
    checker, stats = StatementChecker(), AnswerStats()
    (folder / "schedule.txt").write_text("\n".join(map(str, steps)) + "\n")
    standins = StandInProcess(on_event=checker.handle_event, connections=connections)
    fleet = Fleet(folder=folder, standins=standins)
    started_at = time.monotonic()
    try:
        await fleet.start(daemons, await standins.start())
        if returns:
            await standins.run_command("keep_copies")
        await wait_until_ready(fleet)
        rng = Random(f"{seed}:configs")
        configs = ConfigChanges(
            fleet=fleet, standins=standins, checker=checker, rng=rng
        )
        injector = FaultInjector(
            fleet=fleet,
            standins=standins,
            checker=checker,
            rng=Random(f"{seed}:troubles"),
            configs=configs,
            max_joins=MAX_JOINS_WHEN_LEAVING if leaving else MAX_JOINS,
        )
        await run_load(seed, steps, seconds, fleet, injector, stats)
        await check_recovery(fleet, standins, checker)
    finally:
        await fleet.close()
        await standins.stop()
    return Outcome(
        seed=seed,
        steps=steps,
        broken=checker.broken,
        stats=stats,
        statements=checker.statement_count,
        probes=configs.probes,
        seconds=time.monotonic() - started_at,
        exits=list(unexpected_exits(fleet)),
    )


async def wait_until_ready(fleet):
    """Wait until all daemons accept callers."""
    async with asyncio.timeout(START_TIMEOUT):
        for daemon in fleet.daemons.values():
            while not await probe_ready(daemon.probe_port):
                await asyncio.sleep(0.1)


async def run_load(seed, steps, seconds, fleet, injector, stats):
    """Run callers, probes and faults; callers and probes go on while faults settle."""
    until = time.monotonic() + seconds + SETTLE_TIME
    checker = injector.checker
    checker.fault_free_since = time.monotonic()
    callers = [
        Caller(
            number=number,
            fleet=fleet,
            checker=checker,
            rng=Random(f"{seed}:{number}"),
            stats=stats,
        )
        for number in range(CALLERS_PER_DAEMON * len(fleet.daemons))
    ]
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run(until))
        group.create_task(injector.configs.run(until))
        group.create_task(run_schedule(steps, injector))


async def run_schedule(steps, injector):
    """Start each step at its time, concurrently with earlier ones."""
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for step in steps:
            await asyncio.sleep(max(0.0, started_at + step.at - time.monotonic()))
            group.create_task(injector.run_step(step))


async def check_recovery(fleet, standins, checker):
    """Check that every daemon accepts writes again, and the data in the last log."""
    for daemon in fleet.daemons.values():
        if not await accepts_writes(daemon, checker):
            checker.broken.append(f"RECOVER {daemon.name}")
    report = await standins.run_command("report")
    orders = [(token, holder) for token, holder in report["orders"]]
    checker.finish(report["kept"], orders)


async def accepts_writes(daemon, checker):
    """Return whether a daemon accepts a write within RECOVERY_TIMEOUT."""
    until, turn = time.monotonic() + RECOVERY_TIMEOUT, 0
    while time.monotonic() < until:
        turn += 1
        try:
            client = await connect(daemon, "own", f"last{daemon.name}t{turn}")
            request = client.next_request
            checker.sent.add(request)
            _, end = await client.query(f"WRITE {request} {request}")
            client.close()
        except OSError:
            end = ""
        if end == "COMPLETE":
            return True
        await asyncio.sleep(0.5)
    return False


def unexpected_exits(fleet):
    """Yield findings on processes that ended unasked or with an error code."""
    for daemon in fleet.daemons.values():
        code = daemon.process.returncode
        if not daemon.stopped_by_soak and code is not None:
            yield f"EXIT {daemon.name} ended by itself with {code}"
        for ended in daemon.exit_codes:
            if ended not in (0, -signal.SIGKILL):
                yield f"EXIT {daemon.name} ended with {ended} when it was told to"
