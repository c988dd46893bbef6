"""Callers in virtual time: they write, read and transact, roaming between daemons."""

from random import Random

from gypsum_core.records import Mode, Outcome, Statement, Verb
from tests.fakes.world import get, put
from tests.invariants import is_done

THINK = 0.04
DEADLINE = 1.5
SETTLE_PAUSE = 0.2
TX_TRIES = 3


class Caller:
    """One applicant: its own cells, its own order, honest retries."""

    def __init__(self, *, world, checker, name, neighbour, token=True, writes=True):
        self.world = world
        self.checker = checker
        self.name = name
        self.rng = Random(f"{world.seed}/{name}")
        self.token = token
        self.writes = writes
        self.cell = name
        self.neighbour = neighbour
        self.value = 0
        self.tx_value = 0
        self.own = {}
        self.session = None
        self.stopped = False
        self.answers = []
        self.gaps = []
        self.asked_at = 0.0

    def start(self):
        """Begin after a moment of one's own."""
        self.world.clock.after(self.rng.random() * THINK, self.step)

    def host(self):
        """Any daemon that takes callers; the balancer avoids dead ones."""
        names = [
            name
            for name, host in self.world.hosts.items()
            if host.alive and not host.node.ctx.draining and host.node.manifests.ready
        ]
        return self.rng.choice(names or list(self.world.hosts))

    def ask(self, on_answer, **fields):
        """Ask something through any daemon."""
        self.asked_at = self.world.clock.now
        verb = fields.pop("verb")
        session = self.session if self.token else None
        self.world.ask(
            self.host(),
            verb,
            on_answer,
            caller=self.name,
            session=session,
            deadline=DEADLINE,
            **fields,
        )

    def next(self, pause=THINK):
        """Go on after a moment."""
        if not self.stopped:
            self.world.clock.after(pause, self.step)

    def step(self):
        """Do something."""
        choice = self.rng.random()
        if choice < 0.5 or not self.writes:
            self.read()
        elif choice < 0.9:
            self.write()
        else:
            self.begin()

    # Writes

    def write(self):
        """Write the next value."""
        self.value += 1
        self.try_write(f"{self.name}-{self.value}")

    def try_write(self, key):
        """Try a write under its key."""
        self.checker.write_attempted(self.cell, self.value)
        self.ask(
            lambda answer: self.wrote(answer, key),
            key=key,
            **put(self.cell, self.value, self.name),
        )

    def wrote(self, answer, key):
        """Take a write's answer as it is; ask again where it is not known."""
        self.answers.append((self.world.clock.now, answer))
        if is_done(answer):
            self.acknowledged(answer)
        elif answer.outcome is Outcome.NOT_RUN:
            self.checker.write_not_run(self.cell, self.value)
            if self.rng.random() < 0.5:
                self.world.clock.after(THINK, self.try_write, key)
                return
            self.next()
        else:
            self.world.clock.after(SETTLE_PAUSE, self.settle, key)

    def acknowledged(self, answer):
        """The write is done."""
        self.checker.write_acknowledged(self.cell, self.value)
        self.own[self.cell] = self.value
        self.session = answer.position
        self.next(0.0)

    def settle(self, key):
        """Ask for the outcome of a write."""
        self.ask(
            lambda answer: self.settled(answer, key),
            verb=Verb.OUTCOME,
            key=key,
            keyed=True,
        )

    def settled(self, answer, key):
        """The outcome is known, or not yet."""
        self.wrote(answer, key)

    # Reads

    def read(self):
        """Read the own cells and somebody else's."""
        kind = self.rng.choice(("status", "status", "review"))
        cells = (self.cell, f"{self.name}.x", self.neighbour)
        tag = f"{self.name}/{self.rng.random()}"
        sent_at = self.world.clock.now
        own = dict(self.own)
        self.ask(
            lambda answer: self.was_read(answer, cells, tag, kind, own, sent_at),
            **get(" ".join(cells), tag, kind),
        )

    def was_read(self, answer, cells, tag, kind, own, sent_at):
        """Check a read's answer."""
        self.answers.append((self.world.clock.now, answer))
        if is_done(answer):
            kinds = self.world.platform.specs["grid"].kind_by_name
            assert kinds[kind].mode is Mode.READ
            self.checker.check_read(
                caller=self.name,
                asked=answer.request,
                result=answer.result,
                cells=cells,
                tag=tag,
                own=own,
                max_age_ms=kinds[kind].max_age_ms,
                sent_at=sent_at,
            )
        self.next()

    # Transactions

    def begin(self):
        """Open a transaction that sets two cells together."""
        self.tx_value += 1
        self.ask(self.begun, verb=Verb.BEGIN, kind="plan")

    def begun(self, answer):
        """The transaction is open, or not."""
        if not is_done(answer):
            self.next()
            return
        self.put_in(answer.tx, "x")

    def put_in(self, tx, part):
        """Set one cell of the pair."""
        statement = Statement(
            sql=f"insert {self.name}.{part}", params=(self.tx_value, self.name)
        )
        self.ask(
            lambda answer: self.was_put(answer, tx, part),
            verb=Verb.TX_QUERY,
            tx=tx,
            statement=statement,
        )

    def was_put(self, answer, tx, part):
        """Go on with the pair, or end the transaction."""
        if not is_done(answer):
            self.checker.write_not_run(f"{self.name}.x", self.tx_value)
            self.checker.write_not_run(f"{self.name}.y", self.tx_value)
            self.ask(lambda _: self.next(), verb=Verb.ROLLBACK, tx=tx)
            return
        if part == "x":
            self.put_in(tx, "y")
            return
        self.ask(
            self.committed,
            verb=Verb.COMMIT,
            tx=tx,
            key=f"{self.name}-tx-{self.tx_value}",
            keyed=True,
        )

    def committed(self, answer):
        """Take a commit's answer as it is."""
        if is_done(answer):
            for part in "xy":
                self.checker.write_acknowledged(f"{self.name}.{part}", self.tx_value)
                self.own[f"{self.name}.{part}"] = self.tx_value
            self.session = answer.position
            self.next(0.0)
        elif answer.outcome is Outcome.NOT_RUN:
            for part in "xy":
                self.checker.write_not_run(f"{self.name}.{part}", self.tx_value)
            self.next()
        else:
            key = f"{self.name}-tx-{self.tx_value}"
            self.world.clock.after(SETTLE_PAUSE, self.settle_tx, key)

    def settle_tx(self, key):
        """Ask for the outcome of a commit."""
        self.ask(self.committed, verb=Verb.OUTCOME, key=key, keyed=True)
