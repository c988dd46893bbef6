"""`gypsumhitch check`: validates a manifest file."""

from dataclasses import dataclass

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.manifests import read_manifest
from gypsum_cli.options import AsJson, ManifestFile
from gypsum_cli.output import print_result


def check(command):
    """Validate a manifest file without contacting any service."""
    manifest = read_manifest(command.manifest)
    print_result(
        {"database": manifest.database, "in_order": True},
        [f"{manifest.database}: the manifest is in order"],
        as_json=command.json,
    )
    return ExitCode.OK


@cappa.command(name="check", help="Check a manifest file.")
@dataclass
class Check:
    """Options of `check`."""

    manifest: ManifestFile
    json: AsJson = False
