"""`gypsumhitch explain`: shows a daemon's view of a database."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.options import AsJson, OperatorAddress
from gypsum_cli.output import print_result
from gypsum_cli.service import call_daemon


async def explain(command):
    """Print home, term, positions, lag and queues of a database."""
    answer = await call_daemon(command.daemon, f"/explain/{command.database}")
    print_result(answer, describe(answer), as_json=command.json)
    return ExitCode.OK


def describe(answer):
    """Format the response as lines of text."""
    home = answer["home"]
    yield f"{home['database']}: version {home['version']}, seen by {answer['daemon']}"
    yield f"  order: {' '.join(answer['order'])}"
    yield (
        f"  primary: {home['primary'] or 'none'} at term {home['term']}, "
        f"phase {home['phase']}, claimed {home['claimed']}"
    )
    yield (
        f"  waiting: replicas {home['queued_replica']}, primary "
        f"{home['queued_primary']}, knowledge {home['awaiting']}, "
        f"confirmation {home['unconfirmed']}"
    )
    yield f"  reads: replicas {home['reads_replica']}, primary {home['reads_primary']}"
    for why, count in sorted(home["why_primary"].items()):
        yield f"    at the primary for {why}: {count}"
    for reason, count in sorted(home["refusals"].items()):
        yield f"  refused for {reason}: {count}"
    for item in home["upstreams"]:
        role = "primary" if item["primary"] else "replica"
        lag = "unproved" if item["lag_ms"] < 0 else f"{item['lag_ms']} ms"
        yield (
            f"  {item['id']}: {role}, received {item['received']}, applied "
            f"{item['applied']}, age {lag}, running {item['running']}"
            f" of {item['slots']}"
        )


@cappa.command(name="explain", help="Explain a database's state.")
@dataclass
class Explain:
    """Options of `explain`."""

    database: Annotated[str, cappa.Arg(help="Database name.")]
    daemon: OperatorAddress
    json: AsJson = False
