"""Computes the figures of docs/CAPACITY.md: measured slopes, scaled to the full size.

Run by `make capacity`. Each slope is a difference between two sizes in one run, so that
fixed costs cancel out. Processor times depend on the speed of the machine. The
constants have the size of the full deployment and its required bounds per daemon: core
share, MB, and KB/s.
"""

import asyncio
import gc
import json
import resource
import time
import tracemalloc
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

import asyncmy
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from bench.logic import LogicHarness, make_instances
from bench.path import processor_seconds
from gypsum_core.events import InstancesReceived, ManifestsReceived
from gypsum_core.messages import Changes, Digest, InstanceChanges, ManifestEntry
from gypsum_core.spec import DEFAULT_TUNING, Instance, InstanceRole
from gypsum_links.codec import encode
from gypsum_links.links import Links
from gypsum_upstream.sql import query_status
from tests.cluster import Cluster
from tests.fakes.platform import accepted_manifest
from tests.fakes.world import make_spec

DOC = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- figures: begin -->", "<!-- figures: end -->"

DAEMONS = 4000
DATABASES = 8700
UPSTREAMS = 3 * DATABASES
CONNECTIONS = 29_000_000
STATEMENTS = 1_900_000
CHANGES_A_DAY = 3900
LIST_CHANGES_A_DAY = 2 * (2900 + 55)
DAY = 86_400.0
DOMAINS = 11
CORE_BOUND, MEMORY_BOUND_MB, RATE_BOUND_KB = 0.033, 64.0, 8.0
IDLE_POLLS_PER_S = 1 / DEFAULT_TUNING.idle_poll_interval
IDLE_SECONDS = 6.0
LINK_COUNT = 150
PROBES = 50
PROXY_CLOSE_WAIT = 0.3
FAST_POLL, SLOW_POLL = 0.02, 0.5
CALLER_COUNT = 400


@dataclass(frozen=True, kw_only=True)
class Slopes:
    """The cost of one more of each object, message or event.

    The fields are written to docs/CAPACITY.md under these names.
    """

    database_kb: float
    instance_kb: float
    home_kb: float
    link_kb: float
    caller_kb: float
    list_change_ms: float
    manifest_change_ms: float
    probe_us: float
    idle_core: float
    entry_us: float
    home_us: float
    status_bytes: float
    manifest_bytes: int
    digest_bytes: int
    list_change_bytes: int


def traced_kb(make, count):
    """Return the KB held by each of the `count` objects that a function makes."""
    gc.collect()
    tracemalloc.start()
    held = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size / 1024 / count


def make_manifests(count):
    """Return manifests as the logic holds them, with the body that is relayed."""
    body = json.dumps({"upstreams": ["x" * 120] * 3, "kinds": ["y" * 90] * 8})
    manifests = []
    for number in range(count):
        item = accepted_manifest(make_spec(f"db{number}"))
        entry = ManifestEntry(database=f"db{number}", version=1, body=body + " ")
        manifests.append(type(item)(spec=item.spec, entry=entry))
    return tuple(manifests)


def measure_memory():
    """Return the KB per database, instance and home in the decision logic."""
    database = traced_kb(lambda: make_manifests(2000), 2000)
    instance = traced_kb(lambda: make_instances(4000), 4000)
    harness = LogicHarness(databases=200, daemons=1)
    home = traced_kb(
        lambda: [create_home(harness, name) for name in harness.names], 200
    )
    return database, instance, home


def create_home(harness, name):
    """Replace a home by a new one and return it."""
    harness.node.homes.pop(name, None)
    return harness.node.home(name)


def measure_changes():
    """Return the ms for a change of the list and of a manifest at full size."""
    harness = LogicHarness(databases=DATABASES, daemons=DAEMONS)
    upstreams = tuple(
        Instance(id=f"u{n}", role=InstanceRole.UPSTREAM, domain=f"fd{n % DOMAINS}")
        for n in range(UPSTREAMS)
    )
    instances = make_instances(DAEMONS) + upstreams
    harness.handle(InstancesReceived(instances=instances, revision=10))
    started_at = time.process_time()
    for revision in (11, 12, 13):
        changed = instances[: revision % 5] + instances[revision % 5 + 1 :]
        harness.handle(InstancesReceived(instances=changed, revision=revision))
    list_ms = (time.process_time() - started_at) / 3 * 1000
    started_at = time.process_time()
    for version in range(2, 52):
        manifests = (accepted_manifest(make_spec("db1", version)),)
        harness.handle(ManifestsReceived(manifests=manifests, source="platform"))
    manifest_ms = (time.process_time() - started_at) / 50 * 1000
    return list_ms, manifest_ms


def resident_kb():
    """Return the resident memory of this process in KB."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * resource.getpagesize() / 1024


class NullReceiver:
    """Receiver of links that ignores messages."""

    def message_arrived(self, peer, message):
        """Ignore a message."""

    def link_lost(self, peer):
        """Ignore the end of a link."""


async def measure_links():
    """Return the KB of one link at one of its ends."""
    ends = {}

    def make(name):
        ends[name] = Links(
            daemon=name,
            secret="s" * 16,
            receiver=NullReceiver(),
            address_of=lambda peer: f"127.0.0.1:{port}",
            report=lambda text: None,
        )
        return ends[name]

    port = await make("hub").listen("127.0.0.1", 0)
    before = resident_kb()
    for number in range(LINK_COUNT):
        make(f"d{number}").send("hub", Digest(digest="0" * 16))
    await asyncio.sleep(1.5)
    growth_kb = resident_kb() - before
    for end in ends.values():
        await end.close()
    return growth_kb / LINK_COUNT / 2


async def measure_callers():
    """Return the KB of one idle caller's connection."""
    server = HTTPServer(Application([]))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    before = resident_kb()
    streams = [
        await asyncio.open_connection("127.0.0.1", port) for _ in range(CALLER_COUNT)
    ]
    await asyncio.sleep(0.5)
    growth_kb = resident_kb() - before
    for _, writer in streams:
        writer.close()
    server.stop()
    await server.close_all_connections()
    # Both ends are in this process, and the caller's end is the smaller one, so that
    # half of the sum is below the daemon's share.
    return growth_kb / CALLER_COUNT / 2


async def measure_status_bytes():
    """Return the bytes of one status query and its answer on an open connection."""
    with Cluster(daemons=0) as cluster:
        proxy = CountingProxy(cluster.sql_ports["u1"])
        port = await proxy.listen()
        conn = await asyncmy.connect(host="127.0.0.1", port=port, user="x")
        await query_status(conn)
        before = proxy.bytes
        for _ in range(PROBES):
            await query_status(conn)
        total = proxy.bytes - before
        conn.close()
        await asyncio.sleep(PROXY_CLOSE_WAIT)
    return total / PROBES


class CountingProxy:
    """Forwards connections to an upstream and counts the bytes of both directions."""

    def __init__(self, target):
        self.target = target
        self.bytes = 0
        self.tasks = []

    async def listen(self):
        """Listen on a free port and return it."""
        server = await asyncio.start_server(self.relay, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def relay(self, reader, writer):
        """Forward one connection."""
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target
        )
        self.tasks.append(asyncio.ensure_future(self.copy(reader, target_writer)))
        await self.copy(target_reader, writer)

    async def copy(self, reader, writer):
        """Copy one direction."""
        while data := await reader.read(65536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


def run_measurement(measurement):
    """Run an asynchronous measurement."""
    return asyncio.run(measurement())


def in_fresh_process(measurement):
    """Run a measurement in a new process, whose heap has not been used before."""
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(run_measurement, (measurement,))


def measure_processes():
    """Return the core share of an idle home without probes, and µs per probe."""
    shares = []
    for poll in FAST_POLL, SLOW_POLL:
        tuning = {"poll_interval": poll, "idle_poll_interval": poll}
        with Cluster(tuning=tuning) as cluster:
            home = cluster.daemons[cluster.home()[0]]
            time.sleep(1.0)
            before = processor_seconds(home)
            time.sleep(IDLE_SECONDS)
            shares.append((processor_seconds(home) - before) / IDLE_SECONDS)
    probes = 3 / FAST_POLL - 3 / SLOW_POLL
    probe = (shares[0] - shares[1]) / probes
    return max(0.0, shares[1] - probe * 3 / SLOW_POLL), probe * 1e6


def measure_path():
    """Return the µs per statement at the entry and at the home."""
    from bench import path

    figures = {figure.name: figure.value for figure in path.measure()}
    return figures["path_entry"], figures["path_home"]


def measure():
    """Measure all slopes."""
    database, instance, home = measure_memory()
    list_ms, manifest_ms = measure_changes()
    idle, probe = measure_processes()
    entry, at_home = measure_path()
    manifest_entry = ManifestEntry(database="db1", version=2, body="x" * 1500)
    change = InstanceChanges(
        base=1, revision=2, changed=make_instances(2), removed=("d17",)
    )
    return Slopes(
        database_kb=database,
        instance_kb=instance,
        home_kb=home,
        link_kb=in_fresh_process(measure_links),
        caller_kb=in_fresh_process(measure_callers),
        list_change_ms=list_ms,
        manifest_change_ms=manifest_ms,
        probe_us=probe,
        idle_core=idle,
        entry_us=entry,
        home_us=at_home,
        status_bytes=asyncio.run(measure_status_bytes()),
        manifest_bytes=len(encode(Changes(entries=(manifest_entry,)))),
        digest_bytes=len(encode(Digest(digest="0" * 16, revision=9))),
        list_change_bytes=len(encode(change)),
    )


def table(slopes):
    """Yield the lines between the markers of docs/CAPACITY.md."""
    homes = DATABASES / DAEMONS
    yield "| slope | measured |"
    yield "|---|---|"
    for name, value in vars(slopes).items():
        yield f"| `{name}` | {value:,.2f} |"
    yield ""
    yield "| control, a daemon | processor | memory | bytes | mechanism |"
    yield "|---|---|---|---|---|"
    total = [0.0, 0.0, 0.0]
    for row in control_rows(slopes, homes):
        name, core, memory, rate, mechanism = row
        for index, value in enumerate((core, memory, rate)):
            total[index] += value
        yield (
            f"| {name} | {core * 100:.2f} % | {memory:.1f} MB | {rate:.2f} KB/s "
            f"| {mechanism} |"
        )
    core, memory, rate = total
    yield (
        f"| **sum** | **{core * 100:.2f} %** | **{memory:.1f} MB** | **{rate:.2f} "
        "KB/s** | |"
    )
    yield (
        f"| letter's bound | {CORE_BOUND * 100:.1f} % | {MEMORY_BOUND_MB:.0f} MB "
        f"| {RATE_BOUND_KB:.0f} KB/s | |"
    )
    yield (
        f"| sum against bound | {core / CORE_BOUND:.2f} "
        f"| {memory / MEMORY_BOUND_MB:.2f} | {rate / RATE_BOUND_KB:.2f} | |"
    )
    yield ""
    yield from traffic_lines(slopes)


def control_rows(slopes, homes):
    """Yield the name, core share, MB, KB/s and mechanism of each control task."""
    list_rate = LIST_CHANGES_A_DAY / DAY
    change_rate = CHANGES_A_DAY / DAY
    busy = homes * 3 * IDLE_POLLS_PER_S
    yield (
        "home: polls of 2.2 groups",
        busy * slopes.probe_us / 1e6,
        2 * homes * slopes.home_kb / 1024,
        busy * slopes.status_bytes / 1024,
        "one round serves all that wait",
    )
    yield (
        "standby: 2.2 databases",
        0.0,
        0.0,
        0.0,
        "warm connections, no polls until asked",
    )
    yield (
        "manifests in force",
        change_rate * slopes.manifest_change_ms / 1000,
        DATABASES * slopes.database_kb / 1024,
        change_rate * 17 * slopes.manifest_bytes / 1024,
        "tree of 16, versions only rise",
    )
    yield (
        "instance list",
        list_rate * slopes.list_change_ms / 1000,
        (DAEMONS + UPSTREAMS) * slopes.instance_kb / 1024,
        list_rate * 17 * slopes.list_change_bytes / 1024,
        "changes down the same tree",
    )
    yield (
        "comparing with a parent",
        17 * 50e-6,
        17 * slopes.link_kb / 1024,
        17 * slopes.digest_bytes / 1024,
        "one digest a second",
    )
    yield ("event loop, timers, listeners", slopes.idle_core, 0.0, 0.0, "one loop")


def traffic_lines(slopes):
    """Yield the costs of the callers' traffic and of the platform's calls."""
    rate = STATEMENTS / DAEMONS
    callers = CONNECTIONS / DAEMONS
    core = rate * (slopes.entry_us + slopes.home_us) / 1e6
    yield (
        f"Traffic, beside control: {rate:.0f} statements/s a daemon as entry and as "
        f"many as home take {core:.2f} of a core; {callers:,.0f} callers' connections "
        f"take {callers * slopes.caller_kb / 1024:,.0f} MB; links to every home would "
        f"take {DAEMONS * slopes.link_kb / 1024:,.0f} MB."
    )
    watchers = 2 * DOMAINS
    yield ""
    yield (
        f"Platform: {watchers} watchers make {watchers / 20:.1f} watch calls and "
        f"{watchers / 1.0:.0f} list calls a second, whatever the number of daemons; a "
        f"restart adds 2 calls, {2900 * 2 / DAY:.2f} a second over the day."
    )


def main():
    """Measure, write the figures between the markers of the page, and print them."""
    lines = list(table(measure()))
    text = DOC.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    DOC.write_text("\n".join([head + BEGIN, *lines, END + tail]))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
