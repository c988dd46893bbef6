"""One statement on its way, and what is noted of it for the log."""

from dataclasses import dataclass, field
from enum import StrEnum

from gypsum_core.records import Position
from gypsum_policy.admission import AdmissionRequest
from gypsum_policy.credentials import ANONYMOUS, Credential
from gypsum_sessions.catalog import Route
from gypsum_sessions.statements import Statement


class ServedBy(StrEnum):
    """Who ran a statement."""

    LEADER = "leader"
    REPLICA = "replica"


@dataclass(slots=True, kw_only=True)
class Job:
    """A caller's statement with all that decides where it may run.

    `arrived` and `deadline` are on the daemon's clock. `prepared` lists the
    (shape, writes) that the statement needs at its upstream. `own_floor` is the
    session's last commit. `leftovers` are attempts still running after the reply.
    `over` says that it was answered: attempts that still wait for a turn give up.
    `tried` are the upstreams asked, in order, `served_by` the one that answered, `role`
    whether it led then. `owner` is the daemon that it was sent to, if not this one;
    `may_have_run` says that one was asked that has not answered. `queue` is the time in
    seconds of the queue for which it was refused. `credential` is what its caller was
    let in with.
    """

    request: str
    statement: Statement
    route: Route
    arrived: float
    deadline: float
    values: dict[str, str]
    prepared: tuple[tuple[str, bool], ...] = ()
    own_floor: Position | None = None
    leftovers: set = field(default_factory=set)
    tried: list[str] = field(default_factory=list)
    served_by: str = ""
    role: str = ""
    floor: Position | None = None
    floor_age: float = 0.0
    over: bool = False
    owner: str = ""
    may_have_run: bool = False
    queue: float = 0.0
    credential: Credential = ANONYMOUS

    @property
    def workspace(self):
        """Whose work it is; empty where callers show no key."""
        return self.credential.workspace

    def claim(self):
        """What decides when it comes: its answer is due by its route's target."""
        began = self.deadline - self.route.statement_timeout
        return AdmissionRequest(
            priority=self.route.priority,
            target_time=began + self.route.latency_target,
            deadline=self.deadline,
        )

    def unfinished(self, clock, least):
        """Seconds for which attempts of this daemon may still run, 0 if none does.

        `least` is how long one may at the end of the job's time. What goes wrong
        without it: a read that is answered in its last moment counts as ended, its
        session sets a value, and an upstream runs it with the old one.
        """
        running = any(not task.done() for task in self.leftovers)
        return max(self.left(clock), least) if running else 0.0

    def left(self, clock):
        """Seconds until the deadline, not below zero."""
        return max(0.0, self.deadline - clock())
