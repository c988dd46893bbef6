"""`gypsumhitch drain`: shuts a daemon down gracefully."""

from dataclasses import dataclass

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.options import AsJson, OperatorAddress
from gypsum_cli.output import print_result
from gypsum_cli.service import call_daemon


async def drain(command):
    """Tell a daemon to drain and exit."""
    answer = await call_daemon(command.daemon, "/drain", method="POST")
    print_result(answer, [f"{command.daemon}: draining"], as_json=command.json)
    return ExitCode.OK


@cappa.command(name="drain", help="Shut a daemon down gracefully.")
@dataclass
class Drain:
    """Options of `drain`."""

    daemon: OperatorAddress
    json: AsJson = False
