"""`python -m soak`: play seeds, print what was found, keep logs of what was broken."""

import asyncio
import shutil
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from tempfile import mkdtemp
from typing import Annotated

import cappa

from soak.run import soak
from tests.standins.platformworld import CONNECTIONS

FRESH = 1 << 31


@cappa.command(name="soak", help="Faults against real daemons; promises are checked.")
@dataclass
class Soak:
    """Options of the soak."""

    seed: Annotated[
        int | None, cappa.Arg(long=True, help="First seed; drawn if left out.")
    ] = None
    runs: Annotated[int, cappa.Arg(long=True, help="How many seeds.")] = 1
    minutes: Annotated[float, cappa.Arg(long=True, help="Troubles of one run.")] = 1.0
    daemons: Annotated[int, cappa.Arg(long=True, help="Processes.")] = 9
    connections: Annotated[
        int, cappa.Arg(long=True, help="What an upstream takes; few: owners.")
    ] = CONNECTIONS
    planned: Annotated[
        bool, cappa.Arg(long=True, help="Restarts and changes alone.")
    ] = False
    returns: Annotated[
        bool, cappa.Arg(long=True, help="Also a store that returns from older copies.")
    ] = False
    keep: Annotated[
        Path | None, cappa.Arg(long=True, help="Folder of logs; one of its own if not.")
    ] = None


def main(options):
    """Play the seeds; 1 if anything was found."""
    first = options.seed
    if first is None:
        first = SystemRandom().randrange(FRESH)
    folder = options.keep or Path(mkdtemp(prefix="soak-"))
    found = 0
    for seed in range(first, first + options.runs):
        place = folder / str(seed)
        began = time.strftime("%H:%M:%S")
        outcome = asyncio.run(
            soak(
                seed=seed,
                seconds=60 * options.minutes,
                daemons=options.daemons,
                folder=place,
                connections=options.connections,
                planned=options.planned,
                returns=options.returns,
            )
        )
        print(began, *outcome.lines(), sep="\n", flush=True)
        if outcome.broken or outcome.exits:
            found += 1
            print(f"logs and schedule in {place}", flush=True)
        else:
            shutil.rmtree(place)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(cappa.parse(Soak)))
