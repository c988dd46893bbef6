"""`gypsumhitch status`: shows which versions are in force."""

import asyncio
from dataclasses import dataclass, field

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.manifests import OBJECT_KIND
from gypsum_cli.options import AsJson, OperatorAddresses, PlatformUrl
from gypsum_cli.output import print_result
from gypsum_cli.service import DaemonError, call_daemon, make_platform_client


async def status(command):
    """Compare the accepted versions with those in force on daemons."""
    client = make_platform_client(command.platform)
    listing = await client.list_objects(OBJECT_KIND)
    accepted = {item.name: item.version for item in listing.objects}
    daemons = await asyncio.gather(
        *(fetch_versions(address) for address in command.daemon)
    )
    behind = [item["address"] for item in daemons if is_behind(item, accepted)]
    lines = [f"{name}: accepted version {accepted[name]}" for name in sorted(accepted)]
    lines += [describe(item, accepted) for item in daemons]
    data = {"accepted": accepted, "daemons": daemons, "behind": behind}
    print_result(data, lines, as_json=command.json)
    return ExitCode.DIFFERENT if behind else ExitCode.OK


async def fetch_versions(address):
    """Return a daemon's versions, or the error of the call."""
    try:
        answer = await call_daemon(address, "/manifests")
        return {"address": address, "error": "", **answer}
    except DaemonError as exc:
        return {"address": address, "error": str(exc), "versions": {}, "ready": False}


def is_behind(daemon, accepted):
    """Return whether a daemon lacks an accepted version."""
    versions = daemon["versions"]
    return any(versions.get(name, 0) < version for name, version in accepted.items())


def describe(daemon, accepted):
    """Format a daemon's state as one line."""
    if daemon["error"]:
        return f"{daemon['address']}: {daemon['error']}"
    state = "behind" if is_behind(daemon, accepted) else "in force"
    ready = "ready" if daemon["ready"] else "not ready"
    return f"{daemon['daemon']} at {daemon['address']}: {state}, {ready}"


@cappa.command(name="status", help="Show which versions are in force.")
@dataclass
class Status:
    """Options of `status`."""

    platform: PlatformUrl
    daemon: OperatorAddresses = field(default_factory=list)
    json: AsJson = False
