"""The guarantees of the proxy, checked over any run in virtual time.

1 read-your-writes, 2 acknowledged writes are kept and come from no replaced primary, 3
transactions contain one caller's statements, 4 complete answers to the right request, 5
"not run" was not run, 6 at most once, 7 a leaving upstream gets no new work, 8 a drain
aborts no request, 9 manifest versions only increase and come into force; and A, no read
is older than its kind allows.
"""

from collections import Counter
from dataclasses import dataclass, field

from gypsum_core import actions
from gypsum_core.records import Outcome
from tests.fakes.member import Put

TRANSIT = 0.02
LEAVING_GRACE = 3.0


@dataclass
class Ack:
    """An acknowledged write."""

    at: float
    cell: str
    value: int


@dataclass
class Violation:
    """A violated guarantee; `promise` is its number or letter."""

    promise: str
    text: str


@dataclass
class Checker:
    """Observes a world and collects violations."""

    world: object
    violations: list = field(default_factory=list)
    acks: list = field(default_factory=list)
    not_run: set = field(default_factory=set)
    versions: dict = field(default_factory=dict)
    answered_ids: Counter = field(default_factory=Counter)
    leaving_since: dict = field(default_factory=dict)
    drained: set = field(default_factory=set)

    def add_violation(self, promise, text):
        """Record a violated guarantee."""
        self.violations.append(Violation(promise, text))

    @property
    def promises(self):
        """Sorted names of the violated guarantees."""
        return sorted({item.promise for item in self.violations})

    # Called by the world

    def after_event(self, host):
        """Check a daemon after each event."""
        for name, manifest in host.node.manifests.in_force.items():
            version = manifest.spec.version
            key = (host.name, host.incarnation, name)
            if version < self.versions.get(key, 0):
                self.add_violation("9", f"{host.name}: {name} reverted to {version}")
            self.versions[key] = version
        if host.exited and host.name not in self.drained:
            self.drained.add(host.name)
            if host.node.busy():
                self.add_violation("8", f"{host.name} exited with work in flight")

    def answered(self, host, answer, surplus):
        """An answer reached a caller."""
        self.answered_ids[answer.request] += 1
        if surplus and self.answered_ids[answer.request] > 1:
            self.add_violation("4", f"{answer.request} was answered twice")

    # Called by callers

    def write_acknowledged(self, cell, value):
        """A write was acknowledged to its caller."""
        self.not_run.discard((cell, value))
        self.acks.append(Ack(self.world.clock.now, cell, value))
        group = self.world.groups["grid"]
        _, term, name = group.promoted[-1]
        if not contains(group.member(name), cell, value):
            self.add_violation(
                "2", f"{cell}={value} acknowledged, not at {name} term {term}"
            )

    def write_not_run(self, cell, value):
        """A write was answered as not run."""
        self.not_run.add((cell, value))

    def write_attempted(self, cell, value):
        """A write is attempted, possibly again."""
        self.not_run.discard((cell, value))

    def check_read(
        self, *, caller, asked, result, cells, tag, own, max_age_ms, sent_at
    ):
        """A read was answered."""
        names = tuple(row[0] for row in result.rows)
        tags = {row[2] for row in result.rows}
        if names != tuple(cells) or tags != {tag}:
            self.add_violation(
                "4", f"{asked}: asked {cells} as {tag}, got {result.rows}"
            )
            return
        values = {row[0]: row[1] for row in result.rows}
        for cell, value in own.items():
            if cell in values and values[cell] < value:
                self.add_violation(
                    "1", f"{caller}: wrote {cell}={value}, reads {values[cell]}"
                )
        limit = self.world.clock.now - max_age_ms / 1000 - TRANSIT
        limit = min(limit, sent_at) if max_age_ms else sent_at
        for ack in self.acks:
            if ack.at < limit and ack.cell in values and values[ack.cell] < ack.value:
                self.add_violation(
                    "A", f"{caller}: {ack.cell}={ack.value} acknowledged at {ack.at}"
                )

    def mark_leaving(self, upstream):
        """The instance list marks an upstream as leaving from now on."""
        self.leaving_since[upstream] = self.world.clock.now

    # Final state

    def finish(self):
        """Check the state of the group after all faults have ended."""
        leader = self.world.groups["grid"].leader()
        if leader is None:
            self.add_violation("2", "the group has no primary at the end")
            return
        counts = Counter(
            (effect.cell, effect.value)
            for entry in leader.log
            for effect in entry.content
            if isinstance(effect, Put)
        )
        self.finish_writes(leader, counts)
        self.finish_transactions(leader)
        self.finish_leaving()
        self.finish_manifests()

    def finish_writes(self, leader, counts):
        """Every acknowledged write exists once, and none that was reported not run."""
        for ack in self.acks:
            if counts[(ack.cell, ack.value)] == 0:
                self.add_violation("2", f"{ack.cell}={ack.value} acknowledged and lost")
        for (cell, value), count in counts.items():
            if count > 1:
                self.add_violation("6", f"{cell}={value} ran {count} times")
            if (cell, value) in self.not_run:
                self.add_violation("5", f"{cell}={value} answered as not run, but ran")

    def finish_transactions(self, leader):
        """Each log entry contains all statements of one caller's transaction."""
        for entry in leader.log:
            puts = [effect for effect in entry.content if isinstance(effect, Put)]
            if len({effect.tag for effect in puts}) > 1:
                self.add_violation("3", f"one transaction carries {puts}")
            pair = {effect.cell.partition(".")[2] for effect in puts} - {""}
            if pair and pair != {"x", "y"}:
                self.add_violation(
                    "3", f"a part of a transaction was committed: {puts}"
                )

    def finish_leaving(self):
        """No new work arrived at a leaving upstream after `LEAVING_GRACE`."""
        group = self.world.groups["grid"]
        for name, since in self.leaving_since.items():
            for at, action in group.servers[name].arrivals:
                work = isinstance(
                    action, actions.Read | actions.Write | actions.TxBegin
                )
                if work and at > since + LEAVING_GRACE:
                    self.add_violation(
                        "7", f"{name} got {type(action).__name__} at {at:.2f}"
                    )

    def finish_manifests(self):
        """Every running daemon has the accepted versions in force."""
        for host in self.world.hosts.values():
            for name, spec in self.world.platform.specs.items():
                held = host.node.manifests.in_force.get(name)
                if host.alive and (held is None or held.spec.version < spec.version):
                    self.add_violation(
                        "9", f"{host.name} lacks {name} version {spec.version}"
                    )


def contains(member, cell, value):
    """Return whether a member's log contains a write."""
    return any(
        isinstance(effect, Put) and (effect.cell, effect.value) == (cell, value)
        for entry in reversed(member.log)
        for effect in entry.content
    )


def is_done(answer):
    """Return whether an answer reports success."""
    return answer.outcome is Outcome.DONE
