"""Simulation of several daemons, database groups and a platform in virtual time."""

from random import Random

from gypsum_core.events import CallerDisconnected, CallerRequest, PeerLost
from gypsum_core.records import Answer, Mode, Outcome, Request, Statement, Verb
from gypsum_core.spec import (
    DEFAULT_TUNING,
    DatabaseSpec,
    Instance,
    InstanceRole,
    KindSpec,
    UpstreamSpec,
)
from tests.fakes.clock import Clock
from tests.fakes.group import FakeGroup
from tests.fakes.host import Host
from tests.fakes.platform import FakePlatform, accepted_manifest

LINK_LATENCY = 0.001
JITTER = 0.3
REFUSAL_DELAY = 0.002
CALLER_TIMEOUT = 0.5

KINDS = (
    KindSpec(name="status", mode=Mode.READ, max_age_ms=2000.0),
    KindSpec(name="review", mode=Mode.READ, worth=3.0),
    KindSpec(name="note", mode=Mode.WRITE, worth=2.0),
    KindSpec(name="submit", mode=Mode.WRITE, worth=10.0, repeatable=False),
    KindSpec(name="plan", mode=Mode.TRANSACTION, worth=5.0),
)


def make_spec(
    name="grid",
    version=1,
    *,
    upstreams=3,
    slots=5,
    connections=35,
    kinds=KINDS,
    members=("north", "south"),
):
    """Return a manifest as the decision logic takes it."""
    return DatabaseSpec(
        name=name,
        version=version,
        upstreams=tuple(
            UpstreamSpec(
                id=f"{name}-u{number}",
                domain=f"fd{number % 3}",
                host="127.0.0.1",
                port=1,
                slots=slots,
                connections=connections,
            )
            for number in range(1, upstreams + 1)
        ),
        kinds=kinds,
        weights=tuple((member, 1.0) for member in members),
    )


class World:
    """The whole simulation, on one virtual clock and deterministic by its seed."""

    def __init__(
        self,
        *,
        seed=1,
        daemons=3,
        domains=3,
        specs=(),
        service=0.002,
        tuning=DEFAULT_TUNING,
        latency=LINK_LATENCY,
        node_class=None,
    ):
        self.seed = seed
        self.rng = Random(seed)
        self.clock = Clock()
        self.base_latency = latency
        self.cuts = set()
        self.hosts = {}
        self.groups = {}
        self.hooks = {}
        self.observers = []
        self.callers = {}
        self.requests = 0
        self.messages = 0
        self.manifests = {}
        self.platform = FakePlatform(world=self)
        specs = specs or (make_spec(),)
        for spec in specs:
            self.add_group(spec, service)
        extra = {"node_class": node_class} if node_class else {}
        for number in range(daemons):
            self.hosts[f"d{number}"] = Host(
                world=self,
                name=f"d{number}",
                domain=f"fd{number % domains}",
                tuning=tuning,
                **extra,
            )
        self.list_instances()
        for host in self.hosts.values():
            self.platform.connect_host(host)

    def add_group(self, spec, service):
        """Add a database group and its manifest."""
        names = [item.id for item in spec.upstreams]
        self.groups[spec.name] = FakeGroup(
            world=self, names=names, slots=spec.upstreams[0].slots, service=service
        )
        self.platform.specs[spec.name] = spec
        self.manifests[(spec.name, spec.version)] = spec

    def list_instances(self, *, without=(), leaving=()):
        """Set the platform's instance list."""
        daemons = [
            Instance(
                id=name,
                role=InstanceRole.DAEMON,
                domain=host.domain,
                leaving=name in leaving,
            )
            for name, host in self.hosts.items()
            if name not in without
        ]
        upstreams = [
            Instance(
                id=name,
                role=InstanceRole.UPSTREAM,
                domain="fd0",
                leaving=name in leaving,
            )
            for group in self.groups.values()
            for name in group.servers
        ]
        self.platform.instances = (*daemons, *upstreams)
        self.platform.list_revision += 1

    # Network

    def latency(self, one, other):
        """Return the seconds of one message, with jitter."""
        return self.base_latency * (1 + JITTER * self.rng.random())

    def cut(self, one, other):
        """Cut a path in both directions."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, *paths):
        """Restore the given paths, or all."""
        for path in paths:
            self.cuts.discard(frozenset(path))
        if not paths:
            self.cuts.clear()

    def is_cut(self, one, other):
        """Return whether a path is cut."""
        return frozenset((one, other)) in self.cuts

    def send(self, host, peer, message):
        """Send a message to a daemon; a dead one refuses the link."""
        self.messages += 1
        target = self.hosts.get(peer)
        if self.is_cut(host.name, peer):
            return
        if target is None or not target.alive:
            self.clock.after(REFUSAL_DELAY, host.feed, PeerLost(peer=peer))
            return
        self.clock.after(
            self.latency(host.name, peer), self.arrive, host.name, target, message
        )

    def arrive(self, sender, target, message):
        """Deliver a message unless its path was cut meanwhile."""
        if not self.is_cut(sender, target.name):
            target.message(sender, message)

    def manifest_of(self, entry):
        """Return the manifest for an entry exchanged between daemons."""
        return accepted_manifest(self.manifests[(entry.database, entry.version)])

    # Steps

    def run_hook(self, step, call):
        """Run the hook of the step that a call has reached, if there is one."""
        hook = self.hooks.get(step)
        if hook is not None:
            hook(call)

    def after_event(self, host):
        """Notify the observers that a daemon handled an event."""
        for observer in self.observers:
            observer.after_event(host)

    def service_factor(self, call):
        """Return the factor on a statement's usual service time."""
        return 1.0

    # Callers

    def ask(self, host, verb, on_answer, *, deadline=5.0, database="grid", **fields):
        """Send a caller's request; `on_answer` gets the final answer."""
        self.requests += 1
        name = f"r{self.requests}"
        fields.setdefault("key", f"auto-{name}")
        fields.setdefault("member", "north")
        request = Request(
            id=name,
            verb=verb,
            database=database,
            deadline=self.clock.now + deadline,
            **fields,
        )
        self.callers[name] = (host, on_answer)
        self.clock.after(deadline + CALLER_TIMEOUT, self.hang_up, name)
        self.hosts[host].feed(CallerRequest(request=request))
        return request

    def hang_up(self, name):
        """Disconnect a caller, whose request then has an unknown outcome."""
        waiting = self.callers.pop(name, None)
        if waiting is None:
            return
        host, on_answer = waiting
        self.hosts[host].feed(CallerDisconnected(request=name))
        on_answer(Answer(request=name, outcome=Outcome.UNKNOWN, detail="hung up"))

    def disconnect_callers(self, host):
        """Disconnect the callers of a daemon that died."""
        for name, (other, _) in list(self.callers.items()):
            if other == host:
                self.clock.after(REFUSAL_DELAY, self.hang_up, name)

    def on_reply(self, host, answer):
        """Pass a daemon's answer to its caller."""
        waiting = self.callers.pop(answer.request, None)
        for observer in self.observers:
            observer.answered(host, answer, waiting is None)
        if waiting is not None:
            waiting[1](answer)

    def run(self, seconds):
        """Advance virtual time by `seconds`."""
        self.clock.run_until(self.clock.now + seconds)


def put(cell, value, tag, kind="submit"):
    """Return the fields of a write request."""
    return {
        "verb": Verb.QUERY,
        "kind": kind,
        "keyed": True,
        "statement": Statement(sql=f"insert {cell}", params=(value, tag)),
    }


def get(cells, tag, kind="status"):
    """Return the fields of a read request."""
    return {
        "verb": Verb.QUERY,
        "kind": kind,
        "statement": Statement(sql=f"select {cells}", params=(tag,)),
    }
