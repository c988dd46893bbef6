"""Processor time of the decision logic for each request, and the messages it costs."""

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
REFERENCE = {"columns": ["a", "b"], "rows": [[1, "x"] * 4] * 4, "served_by": "u2"}
SHARE_SECONDS = 4.0


def make_list(daemons):
    """An instance list of some size, over eleven failure domains."""
    return tuple(
        Instance(id=f"d{n}", role=InstanceRole.DAEMON, domain=f"fd{n % 11}")
        for n in range(daemons)
    )


def owner_of(database, instances):
    """The daemon that is home of a database."""
    placement = Placement()
    placement.update(instances)
    return placement.first(database)


def domain_of(daemon, instances):
    """The failure domain of a daemon."""
    return next(item.domain for item in instances if item.id == daemon)


class Bench:
    """One node that is home of its databases, with instant upstreams."""

    def __init__(self, *, databases=1, daemons=1):
        self.now = 0.0
        self.names = [f"db{number}" for number in range(databases)]
        instances = make_list(daemons)
        self.node = Node(
            daemon=owner_of(self.names[0], instances),
            domain=domain_of(owner_of(self.names[0], instances), instances),
            incarnation="1",
            rng=Random(1),
        )
        self.replies = 0
        self.pending = []
        self.step(InstancesReceived(instances=instances))
        manifests = tuple(accepted_manifest(make_spec(name)) for name in self.names)
        self.step(
            ManifestsReceived(manifests=manifests, source="platform", complete=True)
        )
        self.owned = [name for name, item in self.node.homes.items() if item.rank == 0]

    def step(self, event):
        """Feed one event; upstream actions wait to be answered."""
        for action in self.node.handle(event, self.now):
            if isinstance(action, actions.Reply):
                self.replies += 1
            elif isinstance(action, actions.Read | actions.Probe | actions.Claim):
                self.pending.append(action)

    def settle(self):
        """Answer all upstream actions, and what follows from them."""
        while self.pending:
            action = self.pending.pop(0)
            self.step(self.answer(action))

    def answer(self, action):
        """The answer of a healthy group."""
        ids = {"op": action.op, "database": action.database}
        if isinstance(action, actions.Read):
            return StatementCompleted(
                **ids, result=Result(columns=("a",), rows=((1,),))
            )
        return StatusReceived(**ids, status=self.status(action))

    def status(self, action):
        """A level group's status."""
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
        """Let the owned databases learn their groups."""
        for name in self.owned:
            self.node.homes[name].activate()
            self.node.homes[name].watch.probe_all()
        for action in self.node.ctx.take_actions():
            if isinstance(action, actions.Probe):
                self.pending.append(action)
        self.settle()

    def requests(self, count):
        """Reads with a token, spread over the owned databases."""
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
        """Processor time per request, home and entry together."""
        self.warm()
        requests = list(self.requests(count))
        self.replies = 0
        begin = time.process_time()
        for request in requests:
            self.step(CallerRequest(request=request))
            self.settle()
        used = time.process_time() - begin
        assert self.replies == count, self.replies
        return used / count * 1e6


def reference_microseconds():
    """A yardstick in the same run: writing and reading one small JSON answer."""
    begin = time.process_time()
    for _ in range(READS):
        json.loads(json.dumps(REFERENCE))
    return (time.process_time() - begin) / READS * 1e6


def measure():
    """Yield the figures."""
    own = min(Bench().microseconds() for _ in range(3))
    yield Figure(name="logic_per_read", value=own, unit="microseconds")
    yield Figure(
        name="logic_per_read_against_a_json_answer",
        value=own / min(reference_microseconds() for _ in range(3)),
        unit="ratio",
        bound=15.0,
    )
    large = min(Bench(databases=8700, daemons=4000).microseconds() for _ in range(2))
    yield Figure(
        name="logic_per_read_8700_databases_4000_daemons_against_1",
        value=large / own,
        unit="ratio",
        bound=1.2,
    )
    yield from measure_messages()


def measure_messages():
    """Messages for each read and write, and platform calls, in virtual time."""
    for verb, fields in (("read", get("c", "t")), ("write", put("c", 1, "t"))):
        counts, asked = count_messages(fields)
        for kind, count in sorted(counts.items()):
            yield Figure(
                name=f"messages_per_{verb}_{kind}", value=count / asked, unit="count"
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
    """Upstream actions while requests come one after the other, by kind."""
    world = World(daemons=3)
    world.run(2.0)
    for server in world.groups["grid"].servers.values():
        server.arrivals.clear()
    sent = world.messages
    asked = 0
    verb = fields["verb"]
    plain = {name: value for name, value in fields.items() if name != "verb"}
    end = world.clock.now + SHARE_SECONDS
    session = Position(term=1, index=0)
    while world.clock.now < end:
        asked += 1
        world.ask("d0", verb, lambda answer: None, session=session, **plain)
        world.run(0.01)
    arrivals = Counter(
        type(action).__name__.lower()
        for server in world.groups["grid"].servers.values()
        for _, action in server.arrivals
    )
    arrivals["between_daemons"] = world.messages - sent
    return arrivals, asked


def platform_calls(daemons):
    """Watch calls that the fleet holds open; lists of instances come on top."""
    world = World(daemons=daemons)
    world.run(2.0)
    watchers = [
        host for host in world.hosts.values() if host.node.manifests.is_watcher()
    ]
    return len(watchers) * 60.0 / 20.0
