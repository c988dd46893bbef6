"""`gypsumhitch diff`: what would apply change?"""

from dataclasses import dataclass

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.manifests import KIND, differences, read_manifest
from gypsum_cli.options import AsJson, ManifestFile, PlatformUrl
from gypsum_cli.output import show
from gypsum_cli.service import platform_at, stored_manifest


async def diff(command):
    """Compare a manifest file with what the platform holds."""
    manifest = read_manifest(command.manifest)
    client = platform_at(command.platform)
    stored = await client.get_object(KIND, manifest.database)
    lines = differences(stored_manifest(stored), manifest)
    data = {
        "database": manifest.database,
        "version": stored.version,
        "differences": lines,
    }
    head = f"{manifest.database}: {len(lines)} differences to version {stored.version}"
    show(data, [head, *lines], as_json=command.json)
    return ExitCode.DIFFERENT if lines else ExitCode.OK


@cappa.command(name="diff", help="Compare a manifest with the one in force.")
@dataclass
class Diff:
    """Options of `diff`."""

    manifest: ManifestFile
    platform: PlatformUrl
    json: AsJson = False
