"""One run of the soak: start, load, troubles, calm, checks at the end."""

import asyncio
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from soak.callers import Caller
from soak.checker import Book, Stats
from soak.configchanges import Configs
from soak.faults import Troubles
from soak.fleet import Fleet, StandInProcess, connect
from soak.schedule import PLANNED, RETURNS, WEIGHTS, draw
from tests.standins.platformworld import CONNECTIONS, says_ready

# Callers for each daemon: more than its connections to a member.
CALLERS_EACH = 3
# Daemons start within seconds; many at once on a busy machine take longer, seconds.
START_LIMIT = 120.0
# Callers go on for this long after the last trouble is mended, seconds: takeovers that
# are left unfinished, paused replicas and removed entries take that to settle.
CALM = 15.0
# After that each daemon serves within this, seconds.
RECOVER_LIMIT = 30.0


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What a run found."""

    seed: int
    steps: list
    broken: list[str]
    stats: Stats
    statements: int
    probes: int
    seconds: float
    exits: list[str] = field(default_factory=list)

    def lines(self):
        """The run as lines of text."""
        yield f"seed {self.seed}: {len(self.steps)} troubles in {self.seconds:.0f} s"
        yield from self.stats.lines()
        yield f"statements run {self.statements}, routes asked for {self.probes}"
        yield from self.exits
        yield from self.broken
        yield f"findings: {len(self.broken) + len(self.exits)}"


def kinds_of(*, planned, returns):
    """The troubles that are drawn."""
    if planned:
        return PLANNED
    return RETURNS if returns else WEIGHTS


async def soak(
    *,
    seed,
    seconds,
    daemons,
    folder,
    connections=CONNECTIONS,
    planned=False,
    returns=False,
):
    """Play one seed; returns its outcome. Logs and settings stay in the folder.

    `connections` is what an upstream takes: with few some daemons own the group, and
    the others send them statements. `planned` draws planned work alone, `returns` also
    a store that returns from older copies.
    """
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    steps = draw(seed, seconds, kinds_of(planned=planned, returns=returns))
    book, stats = Book(), Stats()
    (folder / "schedule.txt").write_text("\n".join(map(str, steps)) + "\n")
    standins = StandInProcess(heard=book.heard, connections=connections)
    fleet = Fleet(folder=folder, standins=standins)
    began = time.monotonic()
    try:
        await fleet.start(daemons, await standins.start())
        if returns:
            await standins.do("keep_copies")
        await until_ready(fleet)
        rng = Random(f"{seed}:configs")
        configs = Configs(fleet=fleet, standins=standins, book=book, rng=rng)
        await play(seed, steps, seconds, fleet, standins, book, stats, configs)
        await check_end(fleet, standins, book)
    finally:
        await fleet.close()
        await standins.stop()
    return Outcome(
        seed=seed,
        steps=steps,
        broken=book.broken,
        stats=stats,
        statements=book.ran_count,
        probes=configs.probes,
        seconds=time.monotonic() - began,
        exits=list(own_ends(fleet)),
    )


async def until_ready(fleet):
    """Wait until all daemons take callers."""
    async with asyncio.timeout(START_LIMIT):
        for daemon in fleet.daemons.values():
            while not await says_ready(daemon.probes):
                await asyncio.sleep(0.1)


async def play(seed, steps, seconds, fleet, standins, book, stats, configs):
    """Callers, probes and troubles; then all is well, and callers go on."""
    until = time.monotonic() + seconds + CALM
    book.calm_since = time.monotonic()
    callers = [
        Caller(
            number=number,
            fleet=fleet,
            book=book,
            rng=Random(f"{seed}:{number}"),
            stats=stats,
        )
        for number in range(CALLERS_EACH * len(fleet.daemons))
    ]
    troubles = Troubles(
        fleet=fleet,
        standins=standins,
        book=book,
        rng=Random(f"{seed}:troubles"),
        configs=configs,
    )
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run(until))
        group.create_task(configs.run(until))
        group.create_task(carry_out(steps, troubles))


async def carry_out(steps, troubles):
    """Each step at its time, beside those before it."""
    began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for step in steps:
            await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
            group.create_task(troubles.play(step))


async def check_end(fleet, standins, book):
    """Every daemon serves again, and the last log holds what was promised."""
    for daemon in fleet.daemons.values():
        if not await serves(daemon, book):
            book.broken.append(f"RECOVER {daemon.name}")
    report = await standins.do("report")
    orders = [(token, holder) for token, holder in report["orders"]]
    book.finish(report["kept"], orders)


async def serves(daemon, book):
    """Tell whether a daemon takes a write before long."""
    until, turn = time.monotonic() + RECOVER_LIMIT, 0
    while time.monotonic() < until:
        turn += 1
        try:
            client = await connect(daemon, "own", f"last{daemon.name}t{turn}")
            request = client.next_request
            book.sent.add(request)
            _, end = await client.query(f"WRITE {request} {request}")
            client.close()
        except OSError:
            end = ""
        if end == "COMPLETE":
            return True
        await asyncio.sleep(0.5)
    return False


def own_ends(fleet):
    """Processes that ended by themselves, or not in order when they were told to."""
    for daemon in fleet.daemons.values():
        code = daemon.process.returncode
        if not daemon.ended_by_us and code is not None:
            yield f"EXIT {daemon.name} ended by itself with {code}"
        for ended in daemon.exits:
            if ended not in (0, -signal.SIGKILL):
                yield f"EXIT {daemon.name} ended with {ended} when it was told to"
