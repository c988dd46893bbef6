"""`python -m soak`: run seeds, print findings and keep the logs of failed runs."""

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

MAX_SEED = 1 << 31


@cappa.command(
    name="soak", help="Inject faults into real daemons and check guarantees."
)
@dataclass
class Soak:
    """Command-line options."""

    seed: Annotated[
        int | None, cappa.Arg(long=True, help="First seed; random by default.")
    ] = None
    runs: Annotated[int, cappa.Arg(long=True, help="Number of seeds.")] = 1
    minutes: Annotated[
        float, cappa.Arg(long=True, help="Duration of the faults of one run.")
    ] = 1.0
    daemons: Annotated[int, cappa.Arg(long=True, help="Number of daemons.")] = 9
    connections: Annotated[
        int,
        cappa.Arg(
            long=True, help="Connections per upstream; a low value limits owners."
        ),
    ] = CONNECTIONS
    planned: Annotated[
        bool, cappa.Arg(long=True, help="Only restarts and configuration changes.")
    ] = False
    returns: Annotated[
        bool, cappa.Arg(long=True, help="Also restore the store from older copies.")
    ] = False
    slow: Annotated[
        bool, cappa.Arg(long=True, help="Also slow upstreams and many link resets.")
    ] = False
    leaving: Annotated[
        bool, cappa.Arg(long=True, help="Upstreams leave; daemons learn of it late.")
    ] = False
    absent: Annotated[
        bool, cappa.Arg(long=True, help="Upstreams are down together, daemons restart.")
    ] = False
    keep: Annotated[
        Path | None,
        cappa.Arg(long=True, help="Folder for logs; a temporary one by default."),
    ] = None


def main(options):
    """Run the seeds; return 1 if any run had findings, else 0."""
    first = options.seed
    if first is None:
        first = SystemRandom().randrange(MAX_SEED)
    folder = options.keep or Path(mkdtemp(prefix="soak-"))
    failed_runs = 0
    for seed in range(first, first + options.runs):
        run_folder = folder / str(seed)
        started_at = time.strftime("%H:%M:%S")
        outcome = asyncio.run(
            soak(
                seed=seed,
                seconds=60 * options.minutes,
                daemons=options.daemons,
                folder=run_folder,
                connections=options.connections,
                planned=options.planned,
                returns=options.returns,
                slow=options.slow,
                leaving=options.leaving,
                absent=options.absent,
            )
        )
        print(started_at, *outcome.lines(), sep="\n", flush=True)
        if outcome.broken or outcome.exits:
            failed_runs += 1
            print(f"logs and schedule in {run_folder}", flush=True)
        else:
            shutil.rmtree(run_folder)
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main(cappa.parse(Soak)))
