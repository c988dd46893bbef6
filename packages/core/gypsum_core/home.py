"""The home of one database: its components and its open jobs."""

from collections import deque
from typing import Protocol

from gypsum_core import actions
from gypsum_core.actions import SetPoolSize
from gypsum_core.admission import Admission
from gypsum_core.claim import WriteClaim
from gypsum_core.dispatch import Dispatcher
from gypsum_core.failover import PART as FAILOVER_PART
from gypsum_core.failover import Failover
from gypsum_core.fairqueue import FairQueue
from gypsum_core.group import GroupView
from gypsum_core.homereport import describe_home
from gypsum_core.jobs import Job, Operation, OperationKind
from gypsum_core.load import DEFAULT_RETRY_AFTER, UpstreamLoad
from gypsum_core.readplacer import ReadPlacer
from gypsum_core.readscheduler import ReadScheduler
from gypsum_core.recentwriters import RecentWriters
from gypsum_core.records import Answer, Outcome, Reason, Verb
from gypsum_core.responses import ResponseHandler
from gypsum_core.retry import RetryBudget
from gypsum_core.timers import CATCH_UP, DEADLINE, PART, POLL, ROUND
from gypsum_core.transactionmanager import TransactionManager
from gypsum_core.transactions import Transactions
from gypsum_core.unconfirmedwrites import UnconfirmedWrites
from gypsum_core.watch import GroupMonitor

SPARE_CONNECTIONS = 2
# Seconds after a deadline from which a refusal is logged as late: its entry may have
# answered already.
LATE_REFUSAL = 0.02
KIND_BY_ACTION = {
    actions.Probe: OperationKind.PROBE,
    actions.Fence: OperationKind.FENCE,
    actions.Promote: OperationKind.PROMOTE,
    actions.Follow: OperationKind.FOLLOW,
    actions.Claim: OperationKind.CLAIM,
}


class NodeInterface(Protocol):
    """What a home needs from the daemon that it is part of."""

    def deliver(self, origin: str, answer: Answer) -> None:
        """Send the final answer to the daemon that the request came from."""

    def redirect(self, origin: str, request: str, to: str) -> None:
        """Redirect a request: ask its daemon to send it to another home."""

    def monitors(self, database: str) -> list[str]:
        """Return other daemons to ask whether they reach the primary."""

    def upstream_leaving(self, upstream: str) -> bool:
        """Return whether the instance list marks an upstream as leaving."""


class Home:
    """Serves one database on behalf of all daemons."""

    def __init__(self, *, ctx, spec, node: NodeInterface):
        self.ctx = ctx
        self.spec = spec
        self.node = node
        self.view = GroupView(
            upstreams=spec.upstream_by_id,
            majority=spec.majority,
            sample_limit=ctx.tuning.marks,
        )
        self.failover = Failover(ctx=ctx, database=spec.name, view=self.view, home=self)
        self.recent_writers = RecentWriters(limit=ctx.tuning.recent_writers)
        self.loads = {
            item.id: UpstreamLoad(slots=item.slots) for item in spec.upstreams
        }
        self.read_placer = ReadPlacer(
            ctx=ctx,
            view=self.view,
            failover=self.failover,
            recent_writers=self.recent_writers,
            loads=self.loads,
            leaving=node.upstream_leaving,
        )
        self.unconfirmed_writes = UnconfirmedWrites(ctx=ctx, view=self.view)
        self.transactions = Transactions()
        self.replica_queue = FairQueue(weights=spec.weight_by_member)
        self.primary_queue = FairQueue(weights=spec.weight_by_member)
        self.budget = RetryBudget(
            rate=ctx.tuning.retry_rate,
            burst=ctx.tuning.retry_burst,
            tokens=ctx.tuning.retry_burst,
        )
        self.deferred_reads = deque()
        self.transaction_jobs = deque()
        self.waiting_reads = []
        self.jobs = {}
        self.operations = {}
        self.probing = {}
        self.claim = WriteClaim(
            ctx=ctx, view=self.view, recent_writers=self.recent_writers
        )
        self.last_round_at = float("-inf")
        self.round_scheduled = False
        self.active = False
        self.rank = None
        self.last_used_at = float("-inf")
        self.refusals = {}
        self.admission = Admission(home=self)
        self.dispatch = Dispatcher(home=self)
        self.watch = GroupMonitor(home=self)
        self.transaction_manager = TransactionManager(home=self)
        self.read_scheduler = ReadScheduler(home=self)
        self.responses = ResponseHandler(home=self)

    def activate(self):
        """Start polling the group."""
        if self.active:
            return
        self.active = True
        self.failover.reset_monitoring()
        self.watch.poll()

    def set_rank(self, rank):
        """Set the rank in the database's order: 0 is the home, 1 the standby."""
        changed = rank != self.rank
        self.rank = rank
        if rank == 0:
            self.activate()
        if changed:
            self.warm_connections()

    def warm_connections(self):
        """Open connections before they are needed, within this daemon's share.

        The home may use `home_share` of an upstream's connections, the standby the
        rest. So both together never exceed the limit, even while the old home
        doesn't know yet that it was replaced.
        """
        share = self.ctx.tuning.home_share
        if self.rank != 0:
            share = 1.0 - share
        for upstream in self.spec.upstreams:
            limit = max(1, int(upstream.connections * share))
            target = min(limit, upstream.slots + SPARE_CONNECTIONS)
            self.ctx.emit(
                SetPoolSize(
                    database=self.spec.name,
                    upstream=upstream.id,
                    connections=target if self.rank in (0, 1) else 0,
                    limit=limit,
                )
            )

    def update_spec(self, spec):
        """Apply a newer manifest; running jobs continue under it."""
        self.spec = spec
        for queue in (self.replica_queue, self.primary_queue):
            queue.weights = spec.weight_by_member
        for upstream in spec.upstreams:
            load = self.loads.setdefault(
                upstream.id, UpstreamLoad(slots=upstream.slots)
            )
            load.slots = upstream.slots
        self.view.upstreams = tuple(spec.upstream_by_id)
        self.view.majority = spec.majority
        for upstream in list(self.view.samples):
            if upstream not in spec.upstream_by_id:
                self.view.remove_status(upstream)
        self.warm_connections()
        self.dispatch.start_queued()

    @property
    def busy(self):
        """Whether jobs or transactions are open here."""
        return bool(self.jobs) or bool(len(self.transactions))

    def submit(self, request, origin):
        """Accept a request; the final answer goes to the node's `deliver`."""
        if request.id in self.jobs:
            return
        self.last_used_at = self.ctx.now
        self.activate()
        kind = self.kind_of(request)
        job = Job(request=request, origin=origin, kind=kind, arrived=self.ctx.now)
        self.jobs[request.id] = job
        self.budget.deposit()
        if request.deadline <= self.ctx.now:
            self.refuse(job, Reason.DEADLINE, "the deadline was over on arrival")
            return
        self.set_deadline_timer(job, job.wait_until)
        if request.verb in (Verb.TX_QUERY, Verb.COMMIT, Verb.ROLLBACK):
            self.transaction_manager.submit(job)
        elif job.is_read:
            self.read_scheduler.place_read(job)
        else:
            self.admission.admit_primary(job)
        self.dispatch.start_queued()

    def kind_of(self, request):
        """Return the request's kind, or the first kind for verbs without one."""
        kind = self.spec.kind_by_name.get(request.kind)
        return kind or self.spec.kinds[0]

    def launch(self, action):
        """Emit an action without a job and record it as a pending operation."""
        kind = KIND_BY_ACTION[type(action)]
        term = getattr(action, "term", self.view.term)
        self.operations[action.op] = Operation(
            op=action.op,
            kind=kind,
            upstream=action.upstream,
            sent_at=self.ctx.now,
            term=term,
            fresh=getattr(action, "fresh", False),
        )
        self.ctx.emit(action)

    def apply_status(self, status, sent_at):
        """Apply a status to the group view and act on the changes."""
        self.failover.record_response(status.upstream)
        if status.discarded:
            self.ctx.log(
                FAILOVER_PART,
                f"{self.spec.name}: {status.upstream} discarded a divergent tail, "
                f"entries={status.discarded}",
            )
        changed = self.view.update_status(status, sent_at=sent_at)
        if changed:
            self.on_primary_changed()
        self.responses.confirm_writes()
        self.failover.check()
        self.read_scheduler.place_waiting_reads()
        self.dispatch.start_queued()

    def on_primary_changed(self):
        """Abandon operations, transactions and writes of the previous primary."""
        for operation in list(self.operations.values()):
            if operation.job and self.dispatch.is_outdated(operation):
                self.dispatch.abandon_and_retry(operation)
        for tx in self.transactions.opened_elsewhere(self.view.primary, self.view.term):
            self.transactions.remove(tx.tx)
            self.transaction_manager.abort(tx)
        if self.view.primary is not None:
            for job in self.unconfirmed_writes.take_outdated():
                self.responses.requeue(job)

    def on_timer(self, timer):
        """Handle a timer of this home."""
        if timer.part == FAILOVER_PART:
            self.failover.check()
            self.dispatch.start_queued()
        elif timer.part == DEADLINE:
            self.on_deadline(timer.detail)
        elif timer.part == CATCH_UP:
            self.read_scheduler.on_wait_expired(timer.detail)
        elif timer.detail == ROUND:
            self.round_scheduled = False
            if self.waiting_reads or self.unconfirmed_writes.jobs:
                self.watch.request_round()
        elif timer.detail == POLL:
            self.watch.poll()

    def set_deadline_timer(self, job, at):
        """Request a call of `on_deadline` for a job."""
        self.ctx.set_timer(
            at - self.ctx.now,
            part=DEADLINE,
            database=self.spec.name,
            detail=job.request.id,
        )

    def on_deadline(self, request_id):
        """Answer a job at its deadline, earlier if it still waits for a primary.

        The answer of one that waits until its deadline may come after its caller's
        daemon has given up: how long the request took to get here is not known here.
        """
        job = self.jobs.get(request_id)
        if job is None or job.closed:
            return
        if self.ctx.now < job.request.deadline:
            started = job.may_have_run or job.op in self.operations
            if started or not self.admission.lacks_primary():
                self.set_deadline_timer(job, job.request.deadline)
                return
            self.refuse(
                job,
                Reason.NO_PRIMARY,
                "the group has had no primary in time",
                retry_after=DEFAULT_RETRY_AFTER,
            )
            return
        late = self.ctx.now - job.request.deadline
        if late > LATE_REFUSAL:
            self.ctx.log(
                PART,
                f"{self.spec.name}: {request_id} refused {late * 1000:.0f} ms after "
                f"its deadline, step={job.step}",
            )
        running = job.op in self.operations
        if running:
            self.transaction_manager.abort_for(job)
        self.refuse(
            job,
            Reason.DEADLINE,
            f"the deadline was over at step {job.step}",
            outcome_unknown=running,
        )

    def refuse(
        self, job, reason, detail, retry_after=0.0, *, peer="", outcome_unknown=False
    ):
        """Answer that a request was not run, or that its outcome is unknown."""
        asks_outcome = job.request.verb is Verb.OUTCOME
        known = not job.may_have_run and not outcome_unknown and not asks_outcome
        known = known or reason in (
            Reason.SQL_ERROR,
            Reason.KEY_REUSED,
            Reason.CANCELLED,
        )
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        self.finish(
            job,
            Answer(
                request=job.request.id,
                outcome=Outcome.NOT_RUN if known else Outcome.UNKNOWN,
                reason=reason,
                detail=detail,
                step=job.step,
                peer=peer,
                retry_after_s=retry_after,
                key=job.request.key,
                tx=job.request.tx,
            ),
        )

    def close(self, job):
        """Remove a job; later responses for it are dropped."""
        job.closed = True
        self.jobs.pop(job.request.id, None)

    def finish(self, job, answer):
        """Deliver the final answer of a job."""
        if job.closed:
            return
        self.close(job)
        self.node.deliver(job.origin, answer)

    def hand_over(self, to):
        """Redirect all jobs that have not started to the next home."""
        waiting = self.primary_queue.remove_if(lambda job: not job.settling)
        waiting += self.replica_queue.remove_if(lambda job: True)
        waiting += self.waiting_reads
        waiting += self.deferred_reads
        self.waiting_reads = []
        self.deferred_reads.clear()
        for job in waiting:
            if job.closed:
                continue
            self.close(job)
            self.node.redirect(job.origin, job.request.id, to)

    def monitors(self):
        """Return other daemons to ask whether they reach the primary."""
        return self.node.monitors(self.spec.name)

    def upstream_leaving(self, upstream):
        """Return whether the instance list marks an upstream as leaving."""
        return self.node.upstream_leaving(upstream)

    def describe(self):
        """Return this home's state for metrics and operators."""
        return describe_home(self)
