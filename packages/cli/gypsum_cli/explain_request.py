"""`gypsumhitch explain-request`: traces a request through the daemons' logs."""

import json
import sys
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Annotated

import cappa

from gypsum_cli.exits import ExitCode
from gypsum_cli.options import AsJson
from gypsum_cli.output import print_error, print_result

# Related events are shown up to this many seconds before and after the request's end.
# A takeover takes up to three seconds.
CONTEXT_SECONDS = 3.0
# Parts whose events explain a group's state.
GROUP_PARTS = frozenset(
    {"leader", "takeover", "confirm", "reach", "hosting", "placement", "proxy"}
)
# Parts whose events explain a daemon's state.
DAEMON_PARTS = frozenset({"daemon", "drain", "peers", "relay", "store"})
# Events of a workspace: its cap, and keys that were withdrawn.
WORKSPACE_EVENTS = frozenset({"over its cap", "let in again", "key withdrawn"})
# Logged by the daemon that sends a request to such an upstream.
SENT_TO_LEAVING = "sent to an upstream that leaves or is missing"
# Logged by a daemon whose takeover waits, and what ends its wait.
WAITING_FOR_MEMBERS = "waiting for departed members"
WAIT_ENDS = frozenset(
    {"promoting", "departed members given up", "lease taken", "found"}
)
REFUSAL_TEXTS = {
    "busy": "It has not run: {detail}. The caller got a retry time.",
    "aborted": "Its transaction was rolled back without effect: {detail}.",
    "in_doubt": "It was sent, but whether it took effect is unknown: {detail}.",
    "timeout": "No upstream answered within the route's timeout: {detail}.",
    "unknown_database": "No route of the configuration in force has the name {detail}.",
    "unknown_key": "It has not run, its caller's key is no longer valid: {detail}.",
    "lagging": "No upstream had reached the required position: {detail}.",
    "malformed": "It was malformed or not allowed in this state: {detail}.",
}


@dataclass(slots=True, kw_only=True)
class RequestTrace:
    """The log events of one request, and related events.

    `wait` is the event of a takeover that waited for members when the request ended.
    """

    request: str
    events: list[dict] = field(default_factory=list)
    context_events: list[dict] = field(default_factory=list)
    wait: dict | None = None

    @property
    def final_event(self):
        """The event that ended the request, at the daemon that received it."""
        ends = [line for line in self.events if line["part"] == "request"]
        return ends[-1] if ends else self.events[-1]

    @property
    def daemons(self):
        """The daemon that received the request, and the owner that it forwarded to."""
        return {self.final_event["daemon"], self.final_event.get("owner", "")}


def explain_request(command):
    """Print a request's events in order, its outcome and the related events."""
    lines = read_lines(command.logs)
    trace = trace_request(command.request, lines)
    if not trace.events:
        return print_error(
            f"no event of request {command.request} in {len(lines)} log lines"
        )
    data = {
        "request": trace.request,
        "way": trace.events,
        "around": trace.context_events,
    }
    print_result(data, describe(trace), as_json=command.json)
    return ExitCode.OK


def read_lines(paths):
    """Read the events of some files, or of standard input, ordered by time."""
    texts = [path.read_text() for path in paths] if paths else [sys.stdin.read()]
    lines = [read_line(text) for whole in texts for text in whole.splitlines()]
    return sorted((line for line in lines if line), key=lambda line: line["time"])


def read_line(text):
    """Parse a log line, which may have a prefix; None if it is not an event."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if {"time", "daemon", "part", "event"} <= line.keys() else None


def trace_request(request, lines):
    """Collect the events of a request, and the related events."""
    events = [line for line in lines if line.get("request") == request]
    trace = RequestTrace(request=request, events=events)
    if events:
        trace.context_events = [line for line in lines if is_related(line, trace)]
        trace.wait = find_wait(trace.final_event, lines)
    return trace


def find_wait(final, lines):
    """The event of a takeover that waited for members when a request was refused."""
    waits = {}
    for line in lines:
        if timestamp(line) > timestamp(final) or line.get("group") != final.get(
            "group"
        ):
            continue
        if line["event"] == WAITING_FOR_MEMBERS:
            waits[line["daemon"]] = line
        elif line["event"] in WAIT_ENDS:
            waits.pop(line["daemon"], None)
    return (
        max(waits.values(), key=timestamp, default=None) if "refusal" in final else None
    )


def is_related(line, trace):
    """Return whether an event may explain the outcome of a request."""
    final = trace.final_event
    if abs(timestamp(line) - timestamp(final)) > CONTEXT_SECONDS:
        return False
    if line["daemon"] not in trace.daemons:
        return False
    if line["part"] in DAEMON_PARTS:
        return True
    if line["event"] in WORKSPACE_EVENTS:
        return line.get("workspace") == final.get("workspace")
    return line["part"] in GROUP_PARTS and line.get("group") == final.get("group")


def timestamp(line):
    """Return the time of an event in seconds."""
    return datetime.fromisoformat(line["time"]).timestamp()


def describe(trace):
    """Format a trace as lines of text."""
    home = trace.final_event["daemon"]
    yield f"request {trace.request} at {home}"
    for line in trace.events:
        yield f"  {format_event(line, home)}"
    yield describe_outcome(trace.final_event)
    yield from describe_owner(trace.final_event)
    yield from describe_leaving(trace.events)
    yield from describe_wait(trace.wait)
    yield from describe_configuration(trace.final_event)
    if trace.context_events:
        yield "related events:"
    for line in trace.context_events:
        yield f"  {format_event(line, home)}"


def format_event(line, home):
    """Format an event as a line, with its daemon if that is not `home`."""
    omitted = {"time", "daemon", "part", "event", "request"}
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in omitted
    )
    where = "" if line["daemon"] == home else f"at {line['daemon']} "
    return f"{line['time'][11:23]} {where}{line['part']}: {line['event']} {fields}"


def describe_outcome(line):
    """Return a sentence on why the request ended as it did."""
    refusal = line.get("refusal")
    if refusal is None:
        return f"It was answered in {line.get('ms')} ms{describe_attempts(line)}."
    text = REFUSAL_TEXTS.get(refusal, "It was refused as {refusal}: {detail}.")
    return text.format(refusal=refusal, detail=line.get("detail", ""))


def describe_owner(line):
    """Yield why the request did not go to its preferred owner, and if it was left."""
    if "passed_over" in line:
        yield (
            f"Its usual owner {line['passed_over']} had no room: the wait there was "
            f"expected to be {line['passed_over_wait_ms']} ms."
        )
    if line.get("abandoned"):
        yield "Its caller left before the answer."


def describe_leaving(events):
    """Yield what was known of upstreams that were leaving or missing when asked."""
    for line in events:
        if line["event"] != SENT_TO_LEAVING:
            continue
        known = [
            f"{name} for {line[field] / 1000:.1f} s"
            for name, field in (("leaving", "leaving_ms"), ("missing", "missing_ms"))
            if line[field] is not None
        ]
        yield (
            f"{line['daemon']} knew {line['upstream']} to be {' and '.join(known)} "
            f"when it sent the request there (entry of revision {line['revision']} "
            f"from {line['source']})."
        )


def describe_wait(line):
    """Yield which members a takeover waited for."""
    if line is not None:
        yield (
            f"{line['daemon']} waited for {', '.join(line['departed'])} to come back: "
            f"one of them may hold commits beyond {line['longest']}, so no other "
            "member could be promoted."
        )


def describe_configuration(line):
    """Yield the configuration used for the request, and when it was last confirmed.

    Watches of the store end after four seconds, so a configuration that was confirmed
    as the newest longer ago may have been replaced.
    """
    if "version_age_ms" not in line:
        return
    age = line["version_age_ms"] / 1000
    text = f"It used configuration {line['version']}"
    yield f"{text}, confirmed as the newest {age:.1f} s before."


def describe_attempts(line):
    """Return the attempts of a request that was tried at several upstreams."""
    upstreams = line.get("upstreams", [])
    if len(upstreams) < 2:
        return ""
    return f", after {len(upstreams)} attempts at {', '.join(upstreams)}"


@cappa.command(
    name="explain-request", help="Trace a request through the daemons' logs."
)
@dataclass
class ExplainRequest:
    """Options of `explain-request`."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    logs: Annotated[
        list[Path],
        cappa.Arg(help="Log files; standard input if there are none.", num_args=-1),
    ] = field(default_factory=list)
    json: AsJson = False
