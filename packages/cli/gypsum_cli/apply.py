"""`gypsumhitch apply`: commit a manifest."""

import secrets
from dataclasses import dataclass
from typing import Annotated

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.manifests import OBJECT_KIND, check_change, differences, read_manifest
from gypsum_cli.options import AsJson, ManifestFile, PlatformUrl
from gypsum_cli.output import print_error, print_result
from gypsum_cli.service import make_platform_client, parse_stored_manifest
from gypsum_platform.client import PlatformError, PutAnswer


async def apply(command):
    """Store a manifest unless it was changed meanwhile."""
    manifest = read_manifest(command.manifest)
    client = make_platform_client(command.platform)
    stored = await client.get_object(OBJECT_KIND, manifest.database)
    if command.expect is not None and command.expect != stored.version:
        return report_conflict(manifest, command.expect, stored)
    old = parse_stored_manifest(stored)
    check_change(old, manifest)
    if old is not None and not differences(old, manifest):
        return report(command, manifest.database, stored.version, changed=False)
    answer = await put_manifest(client, manifest, expect=stored.version)
    if not answer.accepted:
        return report_conflict(manifest, stored.version, answer.current)
    return report(command, manifest.database, answer.current.version, changed=True)


async def put_manifest(client, manifest, *, expect):
    """Write conditionally; if the response is lost, read back the stored object.

    Otherwise a write that took effect but whose response was lost would be reported
    as a failure, or as a conflict with the operator's own change.
    """
    run_id = secrets.token_hex(8)
    body = manifest.model_copy(update={"applied_by": run_id}).model_dump_json()
    try:
        return await client.put_object(
            OBJECT_KIND, manifest.database, body, expect=expect
        )
    except PlatformError as error:
        stored = await client.get_object(OBJECT_KIND, manifest.database)
        if stored.version == expect:
            raise error from None
        ours = parse_stored_manifest(stored).applied_by == run_id
        return PutAnswer(accepted=ours, current=stored)


def report_conflict(manifest, expected, current):
    """Print both versions and the differences; return the exit code."""
    lines = differences(parse_stored_manifest(current), manifest)
    text = "\n  ".join(
        [
            f"{manifest.database}: expected version {expected}, "
            f"the platform holds version {current.version}; differences to it:",
            *lines,
        ]
    )
    return print_error(text, ExitCode.CONFLICT)


def report(command, database, version, *, changed):
    """Print the accepted version."""
    word = "accepted" if changed else "unchanged"
    print_result(
        {"database": database, "version": version, "changed": changed},
        [f"{database}: version {version} {word}"],
        as_json=command.json,
    )
    return ExitCode.OK


@cappa.command(name="apply", help="Commit a manifest.")
@dataclass
class Apply:
    """Options of `apply`."""

    manifest: ManifestFile
    platform: PlatformUrl
    expect: Annotated[
        int | None,
        cappa.Arg(long=True, help="Apply only if this version is in force."),
    ] = None
    json: AsJson = False
