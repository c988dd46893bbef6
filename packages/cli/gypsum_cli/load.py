"""`gypsumhitch load`: shows the queues, limits and refusals of a group."""

import asyncio
import re
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.options import AsJson
from gypsum_cli.output import print_result
from gypsum_cli.service import DaemonError, fetch

LINE = re.compile(r"(?P<name>\w+)\{(?P<labels>[^}]*)\} (?P<value>\S+)")
LABEL = re.compile(r'(\w+)="([^"]*)"')
# Sums over all owners of an upstream.
SUMS = ("running", "waiting", "limit", "connections_open", "connections_in_use")


async def load(command):
    """Print the load of a group as its owners see it, and who refused what."""
    daemons = await asyncio.gather(
        *(fetch_load(address, command.group) for address in command.metrics)
    )
    print_result(
        {"group": command.group, "daemons": daemons},
        describe(command.group, daemons),
        as_json=command.json,
    )
    failed = any(item["error"] for item in daemons)
    return ExitCode.UNAVAILABLE if failed else ExitCode.OK


async def fetch_load(address, group):
    """Return what a daemon's metrics tell of a group, or the error of the call."""
    try:
        text = (await fetch(address, "/metrics")).decode()
        return {"address": address, "error": "", **read_metrics(text, group)}
    except (DaemonError, UnicodeDecodeError) as exc:
        return {"address": address, "error": str(exc), **read_metrics("", group)}


def read_metrics(text, group):
    """Return the load of a group: upstreams, refusals and the number sent past."""
    upstreams, refusals, spread = defaultdict(dict), [], 0
    for found in LINE.finditer(text):
        labels, value = dict(LABEL.findall(found["labels"])), float(found["value"])
        if labels.get("group") != group:
            continue
        match found["name"]:
            case "gypsum_load":
                upstreams[labels["upstream"]][labels["what"]] = value
            case "gypsum_refusals_by_cause":
                refusals.append({**labels, "count": int(value)})
            case "gypsum_spread":
                spread = int(value)
    owned = {name: item for name, item in upstreams.items() if item.get("limit")}
    return {"upstreams": owned, "refusals": refusals, "spread": spread}


def describe(group, daemons):
    """Format the load of a group as lines of text."""
    yield f"group {group}"
    for daemon in daemons:
        if daemon["error"]:
            yield f"{daemon['address']}: {daemon['error']}"
        for name, item in sorted(daemon["upstreams"].items()):
            yield f"owner {daemon['address']}, {name}: {describe_upstream(item)}"
    yield from describe_sums(daemons)
    yield from describe_refusals(daemons)
    spread = sum(daemon["spread"] for daemon in daemons)
    yield f"statements sent past an owner without room: {spread}"


def describe_upstream(item):
    """Format one owner's view of an upstream."""
    lead = "leads, " if item.get("leads") else ""
    return (
        f"{lead}running {item['running']:.0f} of {item['limit']:.0f}, "
        f"waiting {item['waiting']:.0f}, "
        f"expected wait {item['expected_wait'] * 1000:.0f} ms, "
        f"connections {item['connections_open']:.0f} open, "
        f"{item['connections_in_use']:.0f} in use of "
        f"{item['connections_limit']:.0f}, "
        f"{item['connections_waited_for']:.0f} waited for"
    )


def describe_sums(daemons):
    """Yield for each upstream what all owners together have there."""
    sums = defaultdict(lambda: dict.fromkeys(SUMS, 0.0))
    for daemon in daemons:
        for name, item in daemon["upstreams"].items():
            for what in SUMS:
                sums[name][what] += item[what]
    for name, total in sorted(sums.items()):
        yield (
            f"all owners, {name}: running {total['running']:.0f} of "
            f"{total['limit']:.0f}, waiting {total['waiting']:.0f}, connections "
            f"{total['connections_open']:.0f} open, "
            f"{total['connections_in_use']:.0f} in use"
        )


def describe_refusals(daemons):
    """Yield how many statements were refused, by whom and for which cause."""
    totals = defaultdict(int)
    for daemon in daemons:
        for item in daemon["refusals"]:
            totals[item["to"], item["cause"]] += item["count"]
    for (to, cause), count in sorted(totals.items(), key=lambda item: -item[1]):
        yield f"refused to {to}: {count} for {cause}"


@cappa.command(name="load", help="Show the queues and limits of a group.")
@dataclass
class Load:
    """Options of `load`."""

    group: Annotated[str, cappa.Arg(help="The group's name.")]
    metrics: Annotated[
        list[str],
        cappa.Arg(
            long="--metrics",
            help="Metrics address of a daemon, HOST:PORT; may be repeated.",
            value_name="ADDRESS",
        ),
    ] = field(default_factory=list)
    json: AsJson = False
