"""The `gypsumhitch` command and its subcommands."""

import asyncio
import inspect
import sys
from dataclasses import dataclass

import cappa

from gypsum_cli.apply import Apply, apply
from gypsum_cli.check import Check, check
from gypsum_cli.check_settings import CheckSettings, check_settings
from gypsum_cli.diff import Diff, diff
from gypsum_cli.drain import Drain, drain
from gypsum_cli.exits import ExitCode
from gypsum_cli.explain import Explain, explain
from gypsum_cli.explain_request import ExplainRequest, explain_request
from gypsum_cli.load import Load, load
from gypsum_cli.output import print_error
from gypsum_cli.service import DaemonError
from gypsum_cli.status import Status, status
from gypsum_model.errors import UserError
from gypsum_platform.client import PlatformError

HANDLERS = {
    Check: check,
    CheckSettings: check_settings,
    Diff: diff,
    Apply: apply,
    Status: status,
    Explain: explain,
    ExplainRequest: explain_request,
    Load: load,
    Drain: drain,
}


@cappa.command(name="gypsumhitch", help="Operate gypsumhitch by its manifests.")
@dataclass
class Gypsumhitch:
    """The command line."""

    subcommand: cappa.Subcommands[
        Check
        | CheckSettings
        | Diff
        | Apply
        | Status
        | Explain
        | ExplainRequest
        | Load
        | Drain
    ]


def run(command):
    """Run a parsed subcommand; return the exit code."""
    try:
        result = HANDLERS[type(command)](command)
        return asyncio.run(result) if inspect.isawaitable(result) else result
    except UserError as exc:
        return print_error(exc)
    except (PlatformError, DaemonError) as exc:
        return print_error(exc, ExitCode.UNAVAILABLE)


def main():
    """Entry point."""
    sys.exit(run(cappa.parse(Gypsumhitch).subcommand))
