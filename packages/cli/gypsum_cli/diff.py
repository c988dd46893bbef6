"""`gypsumhitch diff`: shows what `apply` would change."""

from dataclasses import dataclass

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.manifests import OBJECT_KIND, differences, read_manifest
from gypsum_cli.options import AsJson, ManifestFile, PlatformUrl
from gypsum_cli.output import print_result
from gypsum_cli.service import make_platform_client, parse_stored_manifest


async def diff(command):
    """Compare a manifest file with the stored manifest."""
    manifest = read_manifest(command.manifest)
    client = make_platform_client(command.platform)
    stored = await client.get_object(OBJECT_KIND, manifest.database)
    lines = differences(parse_stored_manifest(stored), manifest)
    data = {
        "database": manifest.database,
        "version": stored.version,
        "differences": lines,
    }
    head = f"{manifest.database}: {len(lines)} differences to version {stored.version}"
    print_result(data, [head, *lines], as_json=command.json)
    return ExitCode.DIFFERENT if lines else ExitCode.OK


@cappa.command(name="diff", help="Compare a manifest with the one in force.")
@dataclass
class Diff:
    """Options of `diff`."""

    manifest: ManifestFile
    platform: PlatformUrl
    json: AsJson = False
