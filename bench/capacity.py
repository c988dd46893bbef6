"""Works out docs/CAPACITY.md: slopes measured here, figures at letter 1's size.

Run by `make capacity`. Each slope is a difference between two sizes in one run, so
that fixed costs cancel out. Figures that a machine's speed moves are marked so.
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

from bench.logic import Bench, make_list
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
CORE_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 0.033, 64.0, 8.0
REFRESHES = 1 / DEFAULT_TUNING.idle_poll_interval
IDLE_SECONDS = 6.0
LINKS = 150
PROBES = 50
RELAY_END = 0.3
FAST_POLL, SLOW_POLL = 0.02, 0.5
CALLERS = 400


@dataclass(frozen=True, kw_only=True)
class Slopes:
    """What one more of each thing costs."""

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


def traced(make, count):
    """Kilobytes that each of `count` things made by a function holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1024 / count


def make_manifests(count):
    """Manifests in the logic's form, with the body that is passed on."""
    body = json.dumps({"upstreams": ["x" * 120] * 3, "kinds": ["y" * 90] * 8})
    manifests = []
    for number in range(count):
        item = accepted_manifest(make_spec(f"db{number}"))
        entry = ManifestEntry(database=f"db{number}", version=1, body=body + " ")
        manifests.append(type(item)(spec=item.spec, entry=entry))
    return tuple(manifests)


def measure_memory():
    """Memory slopes of the decision logic."""
    database = traced(lambda: make_manifests(2000), 2000)
    instance = traced(lambda: make_list(4000), 4000)
    bench = Bench(databases=200, daemons=1)
    home = traced(lambda: [bench_home(bench, name) for name in bench.names], 200)
    return database, instance, home


def bench_home(bench, name):
    """A fresh home."""
    bench.node.homes.pop(name, None)
    return bench.node.home(name)


def measure_changes():
    """Milliseconds for a change of the list and of a manifest at full size."""
    bench = Bench(databases=DATABASES, daemons=DAEMONS)
    upstreams = tuple(
        Instance(id=f"u{n}", role=InstanceRole.UPSTREAM, domain=f"fd{n % DOMAINS}")
        for n in range(UPSTREAMS)
    )
    whole = make_list(DAEMONS) + upstreams
    bench.step(InstancesReceived(instances=whole, revision=10))
    begin = time.process_time()
    for revision in (11, 12, 13):
        changed = whole[: revision % 5] + whole[revision % 5 + 1 :]
        bench.step(InstancesReceived(instances=changed, revision=revision))
    list_ms = (time.process_time() - begin) / 3 * 1000
    begin = time.process_time()
    for version in range(2, 52):
        manifests = (accepted_manifest(make_spec("db1", version)),)
        bench.step(ManifestsReceived(manifests=manifests, source="platform"))
    manifest_ms = (time.process_time() - begin) / 50 * 1000
    return list_ms, manifest_ms


def resident_kb():
    """Resident memory of this process."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * resource.getpagesize() / 1024


class Sink:
    """Takes messages and does nothing."""

    def message_arrived(self, peer, message):
        """Drop it."""

    def link_lost(self, peer):
        """Ignore it."""


async def measure_links():
    """Kilobytes that one link costs one of its ends."""
    ends = {}

    def make(name):
        ends[name] = Links(
            daemon=name,
            secret="s" * 16,
            receiver=Sink(),
            address_of=lambda peer: f"127.0.0.1:{port}",
            report=lambda text: None,
        )
        return ends[name]

    port = await make("hub").listen("127.0.0.1", 0)
    before = resident_kb()
    for number in range(LINKS):
        make(f"d{number}").send("hub", Digest(digest="0" * 16))
    await asyncio.sleep(1.5)
    grown = resident_kb() - before
    for end in ends.values():
        await end.close()
    return grown / LINKS / 2


async def measure_callers():
    """Kilobytes that one idle caller's connection costs."""
    server = HTTPServer(Application([]))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    before = resident_kb()
    streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(CALLERS)]
    await asyncio.sleep(0.5)
    grown = resident_kb() - before
    for _, writer in streams:
        writer.close()
    server.stop()
    await server.close_all_connections()
    # Both ends are in this process; the caller's end is the lighter half.
    return grown / CALLERS / 2


async def measure_status_bytes():
    """Bytes of one status question and answer on an open connection."""
    with Cluster(daemons=0) as cluster:
        counted = CountingRelay(cluster.sql_ports["u1"])
        port = await counted.listen()
        conn = await asyncmy.connect(host="127.0.0.1", port=port, user="x")
        await query_status(conn)
        before = counted.bytes
        for _ in range(PROBES):
            await query_status(conn)
        total = counted.bytes - before
        conn.close()
        await asyncio.sleep(RELAY_END)
    return total / PROBES


class CountingRelay:
    """Passes bytes on to an upstream and counts them, both ways."""

    def __init__(self, target):
        self.target = target
        self.bytes = 0
        self.tasks = []

    async def listen(self):
        """Accept connections; returns the port."""
        server = await asyncio.start_server(self.relay, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def relay(self, reader, writer):
        """Relay one connection."""
        there, back = await asyncio.open_connection("127.0.0.1", self.target)
        self.tasks.append(asyncio.ensure_future(self.copy(reader, back)))
        await self.copy(there, writer)

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
    """Run one in a process whose memory nothing has grown and shrunk before."""
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(run_measurement, (measurement,))


def measure_processes():
    """Core share of an idle daemon that is home, and the cost of a probe."""
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
    """Microseconds a statement costs entry and home."""
    from bench import path

    figures = {figure.name: figure.value for figure in path.measure()}
    return figures["path_entry"], figures["path_home"]


def measure():
    """All slopes."""
    database, instance, home = measure_memory()
    list_ms, manifest_ms = measure_changes()
    idle, probe = measure_processes()
    entry, at_home = measure_path()
    entry_of = ManifestEntry(database="db1", version=2, body="x" * 1500)
    change = InstanceChanges(base=1, revision=2, changed=make_list(2), removed=("d17",))
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
        manifest_bytes=len(encode(Changes(entries=(entry_of,)))),
        digest_bytes=len(encode(Digest(digest="0" * 16, revision=9))),
        list_change_bytes=len(encode(change)),
    )


def table(slopes):
    """The lines between the markers of docs/CAPACITY.md."""
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
        for place, value in enumerate((core, memory, rate)):
            total[place] += value
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
        f"| letter's bound | {CORE_LIMIT * 100:.1f} % | {MEMORY_LIMIT:.0f} MB "
        f"| {BYTES_LIMIT:.0f} KB/s | |"
    )
    yield (
        f"| sum against bound | {core / CORE_LIMIT:.2f} | {memory / MEMORY_LIMIT:.2f} "
        f"| {rate / BYTES_LIMIT:.2f} | |"
    )
    yield ""
    yield from traffic_lines(slopes)


def control_rows(slopes, homes):
    """Name, core share, MB, KB/s and mechanism of each control task."""
    list_rate = LIST_CHANGES_A_DAY / DAY
    change_rate = CHANGES_A_DAY / DAY
    busy = homes * 3 * REFRESHES
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
    """What the callers' traffic costs, beside control."""
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
    """Measure, and write the figures between the markers."""
    lines = list(table(measure()))
    text = DOC.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    DOC.write_text("\n".join([head + BEGIN, *lines, END + tail]))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
