"""Options that several subcommands share."""

from pathlib import Path
from typing import Annotated

import cappa

ManifestFile = Annotated[Path, cappa.Arg(help="Manifest file, JSON.")]
PlatformUrl = Annotated[
    str,
    cappa.Arg(
        long="--platform",
        default=cappa.Env("GYPSUM_PLATFORM"),
        help="Base URL of the platform's object service.",
        value_name="URL",
    ),
]
OperatorAddress = Annotated[
    str,
    cappa.Arg(
        long="--daemon",
        help="Operators' address of a daemon, HOST:PORT.",
        value_name="ADDRESS",
    ),
]
OperatorAddresses = Annotated[
    list[str],
    cappa.Arg(
        long="--daemon",
        help="Operators' address of a daemon, HOST:PORT; may be repeated.",
        value_name="ADDRESS",
    ),
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
