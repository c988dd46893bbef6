"""`gypsumhitch check-settings`: validates a daemon's settings for the platform."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.options import AsJson
from gypsum_cli.output import print_error, print_result
from gypsum_policy.draining import make_drain_plan
from gypsum_sessions.settings import SettingsError, load_session_settings


def check_settings(command):
    """Validate a settings file without starting a daemon."""
    try:
        settings = load_session_settings(command.settings)
    except SettingsError as exc:
        return print_error(exc)
    plan = make_drain_plan(settings.grace_seconds)
    print_result(
        {"daemon": settings.daemon, "in_order": True, "drain_seconds": plan.exit_by},
        [
            f"{settings.daemon}: the settings are in order",
            f"callers at {settings.callers}, probes at {settings.probes}",
            f"a drain ends within {plan.exit_by:.1f} s",
        ],
        as_json=command.json,
    )
    return ExitCode.OK


@cappa.command(
    name="check-settings", help="Check the settings of a daemon on the platform."
)
@dataclass
class CheckSettings:
    """Options of `check-settings`."""

    settings: Annotated[Path, cappa.Arg(help="The settings file, JSON.")]
    json: AsJson = False
