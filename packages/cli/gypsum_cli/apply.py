"""`gypsumhitch apply`: commit a manifest."""

import secrets
from dataclasses import dataclass
from typing import Annotated

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.manifests import KIND, check_change, differences, read_manifest
from gypsum_cli.options import AsJson, ManifestFile, PlatformUrl
from gypsum_cli.output import fail, show
from gypsum_cli.service import platform_at, stored_manifest
from gypsum_platform.client import PlatformError, PutAnswer


async def apply(command):
    """Write a manifest on condition that nobody else has changed it."""
    manifest = read_manifest(command.manifest)
    client = platform_at(command.platform)
    stored = await client.get_object(KIND, manifest.database)
    if command.expect is not None and command.expect != stored.version:
        return conflict(manifest, command.expect, stored)
    old = stored_manifest(stored)
    check_change(old, manifest)
    if old is not None and not differences(old, manifest):
        return report(command, manifest.database, stored.version, changed=False)
    answer = await put(client, manifest, expect=stored.version)
    if not answer.accepted:
        return conflict(manifest, stored.version, answer.current)
    return report(command, manifest.database, answer.current.version, changed=True)


async def put(client, manifest, *, expect):
    """Write conditionally; a lost answer is settled by reading back.

    What goes wrong without it: the write takes effect, its answer is lost, and
    the operator is told of a failure or a conflict with themselves.
    """
    writer = secrets.token_hex(8)
    body = manifest.model_copy(update={"applied_by": writer}).model_dump_json()
    try:
        return await client.put_object(KIND, manifest.database, body, expect=expect)
    except PlatformError as lost:
        stored = await client.get_object(KIND, manifest.database)
        if stored.version == expect:
            raise lost from None
        ours = stored_manifest(stored).applied_by == writer
        return PutAnswer(accepted=ours, current=stored)


def conflict(manifest, expected, current):
    """Show both versions and stop."""
    lines = differences(stored_manifest(current), manifest)
    text = "\n  ".join(
        [
            f"{manifest.database}: expected version {expected}, "
            f"the platform holds version {current.version}; against that, yours has:",
            *lines,
        ]
    )
    return fail(text, ExitCode.CONFLICT)


def report(command, database, version, *, changed):
    """Say which version is accepted now."""
    word = "accepted" if changed else "unchanged"
    show(
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
        cappa.Arg(long=True, help="Only if this version is in force."),
    ] = None
    json: AsJson = False
