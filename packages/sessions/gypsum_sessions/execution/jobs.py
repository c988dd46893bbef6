"""A caller's statement in execution, with what the request log reports of it."""

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
    """A caller's statement and everything that decides where it may run.

    `arrived` and `deadline` are on the daemon's clock. `prepared` lists the
    (shape, writes) pairs that the statement needs at its upstream. `own_floor` is the
    session's last commit. `running_attempts` are attempts that still run after the
    reply. `answered` is set once the caller has its answer, so that attempts that still
    wait for admission give up. `tried` lists the upstreams asked, in order; `served_by`
    is the one that answered and `role` whether it led at that time. `owner` is the
    daemon that the job was sent to, if not this one; `may_have_run` is set while one
    was asked and has not answered. `queue_wait` is the queue's wait in seconds for
    which the job was refused. `credential` is what its caller was authenticated with.
    """

    request: str
    statement: Statement
    route: Route
    arrived: float
    deadline: float
    values: dict[str, str]
    prepared: tuple[tuple[str, bool], ...] = ()
    own_floor: Position | None = None
    running_attempts: set = field(default_factory=set)
    tried: list[str] = field(default_factory=list)
    served_by: str = ""
    role: str = ""
    floor: Position | None = None
    floor_age: float = 0.0
    answered: bool = False
    owner: str = ""
    may_have_run: bool = False
    queue_wait: float = 0.0
    credential: Credential = ANONYMOUS

    @property
    def workspace(self):
        """Workspace that the statement runs for; empty if callers need no key."""
        return self.credential.workspace

    def admission_request(self):
        """Priority, target time and deadline that decide its place in the queue."""
        started_at = self.deadline - self.route.statement_timeout
        return AdmissionRequest(
            priority=self.route.priority,
            target_time=started_at + self.route.latency_target,
            deadline=self.deadline,
        )

    def attempts_time_left(self, clock, least):
        """Seconds for which attempts of this daemon may still run, 0 if none runs.

        At least `least` while one runs, also at the deadline. Otherwise a read that is
        answered in its last moment would count as ended: its session sets a value, and
        an upstream still runs the read with the old value.
        """
        running = any(not task.done() for task in self.running_attempts)
        return max(self.time_left(clock), least) if running else 0.0

    def time_left(self, clock):
        """Seconds until the deadline, never negative."""
        return max(0.0, self.deadline - clock())
