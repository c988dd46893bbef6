"""Processor time and messages of the decision logic per request."""

import json
import time
from collections import Counter
from random import Random

from bench.report import Figure
from gypsum_core import actions
from gypsum_core.events import (
    CallerRequest,
    InstancesReceived,
    ManifestsReceived,
    StatementCompleted,
    StatusReceived,
)
from gypsum_core.node import Node
from gypsum_core.placement import Placement
from gypsum_core.records import Position, Request, Result, Statement, Status, Verb
from gypsum_core.spec import Instance, InstanceRole
from tests.fakes.platform import accepted_manifest
from tests.fakes.world import World, get, make_spec, put

READS = 4000
REFERENCE_ANSWER = {
    "columns": ["a", "b"],
    "rows": [[1, "x"] * 4] * 4,
    "served_by": "u2",
}
MESSAGE_COUNT_SECONDS = 4.0


def make_instances(daemons):
    """Return a list of daemon instances over eleven failure domains."""
    return tuple(
        Instance(id=f"d{n}", role=InstanceRole.DAEMON, domain=f"fd{n % 11}")
        for n in range(daemons)
    )


def home_of(database, instances):
    """Return the daemon that is home of a database."""
    placement = Placement()
    placement.update(instances)
    return placement.first(database)


def domain_of(daemon, instances):
    """Return the failure domain of a daemon."""
    return next(item.domain for item in instances if item.id == daemon)


class LogicHarness:
    """Runs one node that is home of its databases, with upstreams that don't wait."""

    def __init__(self, *, databases=1, daemons=1):
        self.now = 0.0
        self.names = [f"db{number}" for number in range(databases)]
        instances = make_instances(daemons)
        self.node = Node(
            daemon=home_of(self.names[0], instances),
            domain=domain_of(home_of(self.names[0], instances), instances),
            incarnation="1",
            rng=Random(1),
        )
        self.replies = 0
        self.pending = []
        self.handle(InstancesReceived(instances=instances))
        manifests = tuple(accepted_manifest(make_spec(name)) for name in self.names)
        self.handle(
            ManifestsReceived(manifests=manifests, source="platform", complete=True)
        )
        self.owned = [name for name, item in self.node.homes.items() if item.rank == 0]

    def handle(self, event):
        """Pass an event to the node and collect its upstream actions."""
        for action in self.node.handle(event, self.now):
            if isinstance(action, actions.Reply):
                self.replies += 1
            elif isinstance(action, actions.Read | actions.Probe | actions.Claim):
                self.pending.append(action)

    def answer_pending(self):
        """Answer all upstream actions, including those that the answers cause."""
        while self.pending:
            action = self.pending.pop(0)
            self.handle(self.answer(action))

    def answer(self, action):
        """Return the answer of a healthy group to an action."""
        ids = {"op": action.op, "database": action.database}
        if isinstance(action, actions.Read):
            return StatementCompleted(
                **ids, result=Result(columns=("a",), rows=((1,),))
            )
        return StatusReceived(**ids, status=self.status(action))

    def status(self, action):
        """Return the status of an upstream in a group without lag."""
        primary = action.upstream.endswith("u1")
        return Status(
            upstream=action.upstream,
            primary=primary,
            promised=1,
            log_term=1,
            received=10,
            applied=10,
            follows="" if primary else f"{action.database}-u1",
        )

    def warm(self):
        """Activate the owned databases and probe their groups."""
        for name in self.owned:
            self.node.homes[name].activate()
            self.node.homes[name].watch.probe_all()
        for action in self.node.ctx.take_actions():
            if isinstance(action, actions.Probe):
                self.pending.append(action)
        self.answer_pending()

    def requests(self, count):
        """Yield reads with a session token, spread over the owned databases."""
        statement = Statement(sql="select a", params=("t",))
        for number in range(count):
            yield Request(
                id=f"r{number}",
                verb=Verb.QUERY,
                database=self.owned[number % len(self.owned)],
                member="north",
                kind="status",
                deadline=self.now + 5.0,
                statement=statement,
                session=Position(term=1, index=5),
            )

    def microseconds(self, count=READS):
        """Return the processor time per request in µs, home and entry together."""
        self.warm()
        requests = list(self.requests(count))
        self.replies = 0
        started_at = time.process_time()
        for request in requests:
            self.handle(CallerRequest(request=request))
            self.answer_pending()
        cpu_seconds = time.process_time() - started_at
        assert self.replies == count, self.replies
        return cpu_seconds / count * 1e6


def reference_microseconds():
    """Return the time to write and read a small JSON answer in µs, as a baseline."""
    started_at = time.process_time()
    for _ in range(READS):
        json.loads(json.dumps(REFERENCE_ANSWER))
    return (time.process_time() - started_at) / READS * 1e6


def measure():
    """Yield the figures."""
    own = min(LogicHarness().microseconds() for _ in range(3))
    yield Figure(name="logic_per_read", value=own, unit="microseconds")
    yield Figure(
        name="logic_per_read_against_a_json_answer",
        value=own / min(reference_microseconds() for _ in range(3)),
        unit="ratio",
        bound=15.0,
    )
    large = min(
        LogicHarness(databases=8700, daemons=4000).microseconds() for _ in range(2)
    )
    yield Figure(
        name="logic_per_read_8700_databases_4000_daemons_against_1",
        value=large / own,
        unit="ratio",
        bound=1.2,
    )
    yield from measure_messages()


def measure_messages():
    """Yield messages per read and write, and platform calls, in virtual time."""
    for verb, fields in (("read", get("c", "t")), ("write", put("c", 1, "t"))):
        counts, requests = count_messages(fields)
        for kind, count in sorted(counts.items()):
            yield Figure(
                name=f"messages_per_{verb}_{kind}", value=count / requests, unit="count"
            )
    few, many = platform_calls(9), platform_calls(90)
    yield Figure(
        name="platform_watch_calls_idle_9_daemons", value=few, unit="per minute"
    )
    yield Figure(
        name="platform_watch_calls_idle_90_daemons_against_9",
        value=many / few,
        unit="ratio",
        bound=1.0,
    )


def count_messages(fields):
    """Return counts of messages by kind for sequential requests, and the requests."""
    world = World(daemons=3)
    world.run(2.0)
    for server in world.groups["grid"].servers.values():
        server.arrivals.clear()
    sent = world.messages
    requests = 0
    verb = fields["verb"]
    plain = {name: value for name, value in fields.items() if name != "verb"}
    end = world.clock.now + MESSAGE_COUNT_SECONDS
    session = Position(term=1, index=0)
    while world.clock.now < end:
        requests += 1
        world.ask("d0", verb, lambda answer: None, session=session, **plain)
        world.run(0.01)
    arrivals = Counter(
        type(action).__name__.lower()
        for server in world.groups["grid"].servers.values()
        for _, action in server.arrivals
    )
    arrivals["between_daemons"] = world.messages - sent
    return arrivals, requests


def platform_calls(daemons):
    """Return the fleet's watch calls per minute, without its lists of instances."""
    world = World(daemons=daemons)
    world.run(2.0)
    watchers = [
        host for host in world.hosts.values() if host.node.manifests.is_watcher()
    ]
    return len(watchers) * 60.0 / 20.0
