"""Callers in virtual time that write, read and open transactions at any daemon."""

from random import Random

from gypsum_core.records import Mode, Outcome, Statement, Verb
from tests.fakes.world import get, put
from tests.invariants import is_done

THINK_TIME = 0.04
DEADLINE = 1.5
OUTCOME_RETRY_DELAY = 0.2
TX_TRIES = 3


class Caller:
    """A caller with its own cells that retries under the same key."""

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
        """Start after a random delay."""
        self.world.clock.after(self.rng.random() * THINK_TIME, self.step)

    def choose_host(self):
        """Choose a daemon that accepts callers, as a load balancer does."""
        names = [
            name
            for name, host in self.world.hosts.items()
            if host.alive and not host.node.ctx.draining and host.node.manifests.ready
        ]
        return self.rng.choice(names or list(self.world.hosts))

    def send(self, on_answer, **fields):
        """Send a request to any daemon."""
        self.asked_at = self.world.clock.now
        verb = fields.pop("verb")
        session = self.session if self.token else None
        self.world.ask(
            self.choose_host(),
            verb,
            on_answer,
            caller=self.name,
            session=session,
            deadline=DEADLINE,
            **fields,
        )

    def schedule_next(self, delay=THINK_TIME):
        """Schedule the next step unless stopped."""
        if not self.stopped:
            self.world.clock.after(delay, self.step)

    def step(self):
        """Run a random operation."""
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
        """Send a write with its key."""
        self.checker.write_attempted(self.cell, self.value)
        self.send(
            lambda answer: self.handle_write_answer(answer, key),
            key=key,
            **put(self.cell, self.value, self.name),
        )

    def handle_write_answer(self, answer, key):
        """Record a write's outcome, or query it if it is unknown."""
        self.answers.append((self.world.clock.now, answer))
        if is_done(answer):
            self.record_write(answer)
        elif answer.outcome is Outcome.NOT_RUN:
            self.checker.write_not_run(self.cell, self.value)
            if self.rng.random() < 0.5:
                self.world.clock.after(THINK_TIME, self.try_write, key)
                return
            self.schedule_next()
        else:
            self.world.clock.after(OUTCOME_RETRY_DELAY, self.query_outcome, key)

    def record_write(self, answer):
        """Record a confirmed write."""
        self.checker.write_acknowledged(self.cell, self.value)
        self.own[self.cell] = self.value
        self.session = answer.position
        self.schedule_next(0.0)

    def query_outcome(self, key):
        """Query the outcome of a write."""
        self.send(
            lambda answer: self.handle_outcome(answer, key),
            verb=Verb.OUTCOME,
            key=key,
            keyed=True,
        )

    def handle_outcome(self, answer, key):
        """Handle the outcome like the answer to the write."""
        self.handle_write_answer(answer, key)

    # Reads

    def read(self):
        """Read the caller's own cells and its neighbour's."""
        kind = self.rng.choice(("status", "status", "review"))
        cells = (self.cell, f"{self.name}.x", self.neighbour)
        tag = f"{self.name}/{self.rng.random()}"
        sent_at = self.world.clock.now
        own = dict(self.own)
        self.send(
            lambda answer: self.handle_read_answer(
                answer, cells, tag, kind, own, sent_at
            ),
            **get(" ".join(cells), tag, kind),
        )

    def handle_read_answer(self, answer, cells, tag, kind, own, sent_at):
        """Check the answer to a read."""
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
        self.schedule_next()

    # Transactions

    def begin(self):
        """Open a transaction that sets two cells atomically."""
        self.tx_value += 1
        self.send(self.handle_begin_answer, verb=Verb.BEGIN, kind="plan")

    def handle_begin_answer(self, answer):
        """Set the first cell if the transaction is open."""
        if not is_done(answer):
            self.schedule_next()
            return
        self.set_cell(answer.tx, "x")

    def set_cell(self, tx, part):
        """Set one of the two cells."""
        statement = Statement(
            sql=f"insert {self.name}.{part}", params=(self.tx_value, self.name)
        )
        self.send(
            lambda answer: self.handle_set_answer(answer, tx, part),
            verb=Verb.TX_QUERY,
            tx=tx,
            statement=statement,
        )

    def handle_set_answer(self, answer, tx, part):
        """Set the second cell, commit, or roll back after a failure."""
        if not is_done(answer):
            self.checker.write_not_run(f"{self.name}.x", self.tx_value)
            self.checker.write_not_run(f"{self.name}.y", self.tx_value)
            self.send(lambda _: self.schedule_next(), verb=Verb.ROLLBACK, tx=tx)
            return
        if part == "x":
            self.set_cell(tx, "y")
            return
        self.send(
            self.handle_commit_answer,
            verb=Verb.COMMIT,
            tx=tx,
            key=f"{self.name}-tx-{self.tx_value}",
            keyed=True,
        )

    def handle_commit_answer(self, answer):
        """Record a commit's outcome, or query it if it is unknown."""
        if is_done(answer):
            for part in "xy":
                self.checker.write_acknowledged(f"{self.name}.{part}", self.tx_value)
                self.own[f"{self.name}.{part}"] = self.tx_value
            self.session = answer.position
            self.schedule_next(0.0)
        elif answer.outcome is Outcome.NOT_RUN:
            for part in "xy":
                self.checker.write_not_run(f"{self.name}.{part}", self.tx_value)
            self.schedule_next()
        else:
            key = f"{self.name}-tx-{self.tx_value}"
            self.world.clock.after(OUTCOME_RETRY_DELAY, self.query_commit_outcome, key)

    def query_commit_outcome(self, key):
        """Query the outcome of a commit."""
        self.send(self.handle_commit_answer, verb=Verb.OUTCOME, key=key, keyed=True)
