"""A caller's statement in execution, with what the request log reports of it."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from gypsum_core.position import Position
from gypsum_policy.admission import AdmissionRequest
from gypsum_policy.credentials import ANONYMOUS, Credential
from gypsum_sessions.catalog import Route
from gypsum_sessions.replies import UpstreamLost, UpstreamTimeout
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
    daemon that the job was sent to, if not this one. `orphaned` is set once an attempt
    was sent and nothing will tell any more whether it ran, or whether it still does.
    `queue_wait` is the queue's wait in seconds for which the job was refused.
    `credential` is what its caller was authenticated with. `left_out` gives the reason
    for each upstream that a read was last not sent to. `maybe_run` counts attempts that
    were sent to an upstream which did not report them as not run. `abandoned` is set
    once the caller has left; `withdrawals` end the job's waits for admission then.
    `passed_over` is the preferred owner that had no room for the job, and
    `passed_over_wait` the wait expected there in seconds.
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
    orphaned: bool = False
    queue_wait: float = 0.0
    credential: Credential = ANONYMOUS
    left_out: dict[str, str] = field(default_factory=dict)
    maybe_run: int = 0
    abandoned: bool = False
    withdrawals: set = field(default_factory=set)
    passed_over: str = ""
    passed_over_wait: float = 0.0

    @property
    def workspace(self):
        """Workspace that the statement runs for; empty if callers need no key."""
        return self.credential.workspace

    def admission_request(self, kind=None):
        """Priority, target time, deadline and kind, which decide its place in a queue.

        `kind` replaces its own for a statement that the proxy sends for it.
        """
        started_at = self.deadline - self.route.statement_timeout
        return AdmissionRequest(
            priority=self.route.priority,
            target_time=started_at + self.route.latency_target,
            deadline=self.deadline,
            kind=kind or self.kind,
        )

    @property
    def kind(self):
        """Key of the statements that take about as long as this one."""
        if self.statement.commits:
            return (self.route.name, "commit")
        return (self.route.name, "write" if self.statement.writes else "read")

    def abandon(self):
        """Give up the job because its caller has left; safe to call at any time.

        Attempts that wait for admission leave their queues at once and are never sent.
        What was sent runs to its end and is accounted for. A transaction is not ended
        here: its owner rolls it back.
        """
        self.abandoned = True
        for withdraw in list(self.withdrawals):
            withdraw()

    @property
    def may_have_run(self):
        """Whether an attempt was sent that did not turn out not to have run."""
        return bool(self.maybe_run or self.orphaned)

    @property
    def running(self):
        """Whether attempts of which the end will be known still run."""
        return any(not task.done() for task in self.running_attempts)

    async def wait_ended(self):
        """Wait for the end of all attempts, those included that start meanwhile."""
        while self.running:
            await asyncio.wait(self.running_attempts)

    def attempts_time_left(self, clock, least):
        """Seconds for which attempts of this daemon may still run, 0 if none runs.

        At least `least` while one runs, also at the deadline. Otherwise a read that is
        answered in its last moment would count as ended: its session sets a value, and
        an upstream still runs the read with the old value.
        """
        return max(self.time_left(clock), least) if self.running else 0.0

    def time_left(self, clock):
        """Seconds until the deadline, never negative."""
        return max(0.0, self.deadline - clock())


async def send_statement(pooled, job, *, timeout, linger, after=None):
    """Run a job's statement on a connection; raises UpstreamError.

    A statement that outlasts its timeout is left running for `linger` seconds more,
    with its connection set aside, so that its end becomes known.
    """
    work = ask_upstream(pooled.conn, job, timeout=timeout + linger, after=after)
    asking = asyncio.create_task(work)
    asking.add_done_callback(lambda task: task.cancelled() or task.exception())
    await asyncio.wait({asking}, timeout=timeout)
    if asking.done():
        return asking.result()
    pooled.unanswered = asking
    job.running_attempts.add(asking)
    raise UpstreamTimeout(
        f"no answer in {timeout:.3f} s",
        step=str(job.statement.kind),
        peer=pooled.upstream,
    )


async def ask_upstream(conn, job, *, timeout, after=None):
    """Run a job's statement; raises UpstreamError once it is lost or timed out.

    The job is orphaned if the statement was sent and not answered: an upstream may run
    what it has received later, even after the connection was closed.
    """
    try:
        return await conn.ask(
            job.statement, timeout=timeout, request=job.request, after=after
        )
    except UpstreamLost as exc:
        job.orphaned = job.orphaned or exc.sent
        raise
    except (UpstreamTimeout, asyncio.CancelledError):
        job.orphaned = True
        raise
