"""Dispatch of a home's queued jobs to upstreams."""

from collections import deque

from gypsum_core import actions
from gypsum_core.actions import Abandon
from gypsum_core.jobs import WRITE_OPERATIONS, Operation, OperationKind
from gypsum_core.ledger import ledger_row
from gypsum_core.load import DEFAULT_RETRY_AFTER
from gypsum_core.readplacer import Place
from gypsum_core.records import Reason, Verb

MAX_READS_TRIED = 32
FIRST_ATTEMPT_SHARE = 0.5


class Dispatcher:
    """Starts queued jobs on upstreams with free slots and sufficiently fresh data."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def start_queued(self):
        """Start all jobs that can start now."""
        self.redirect_if_vetoed()
        self.start_replica_reads()
        self.start_primary_work()
        if self.home.waiting_reads or self.home.unconfirmed_writes.jobs:
            self.home.watch.request_round()

    def redirect_if_vetoed(self):
        """Redirect waiting jobs to a daemon that still reaches the primary."""
        if not self.home.failover.vetoed:
            return
        waiting = (
            self.home.primary_queue.remove_if(lambda job: True)
            + self.home.waiting_reads
        )
        self.home.waiting_reads = []
        for job in waiting:
            if job.closed:
                continue
            if job.request.hops >= self.ctx.tuning.max_hops:
                self.home.refuse(
                    job,
                    Reason.NO_PRIMARY,
                    "no daemon reaches the primary",
                    DEFAULT_RETRY_AFTER,
                )
                continue
            self.home.close(job)
            self.home.node.redirect(
                job.origin, job.request.id, self.home.failover.alternate_home
            )

    def start_replica_reads(self):
        """Start queued reads at replicas with free slots."""
        tried = 0
        deferred = deque()
        while tried < MAX_READS_TRIED and self.has_free_replica():
            job = (
                self.home.deferred_reads.popleft()
                if self.home.deferred_reads
                else self.home.replica_queue.pop()
            )
            if job is None:
                break
            if job.closed:
                continue
            tried += 1
            placement = self.home.read_placer.place(job, self.home.claim.held)
            if placement.place is not Place.REPLICA:
                self.home.read_scheduler.place_read(job)
                continue
            upstream = self.home.read_placer.fastest(placement.upstreams)
            if upstream is None:
                deferred.append(job)
                continue
            if self.home.admission.refuse_if_late(job, self.home.loads[upstream]):
                continue
            self.start_read(job, upstream)
        deferred.extend(self.home.deferred_reads)
        self.home.deferred_reads = deferred

    def has_free_replica(self):
        """Return whether a replica has a free slot."""
        return any(
            load.free_slots
            for name, load in self.home.loads.items()
            if name != self.home.view.primary
        )

    def start_primary_work(self):
        """Start queued jobs at the primary while it is trusted and has free slots."""
        primary = self.home.view.primary
        if primary is None or self.home.failover.election is not None:
            return
        if not self.home.failover.accepts_work(primary):
            return
        load = self.home.loads[primary]
        while load.free_slots:
            job = (
                self.home.transaction_jobs.popleft()
                if self.home.transaction_jobs
                else self.home.primary_queue.pop()
            )
            if job is None:
                return
            if job.closed:
                self.home.transaction_manager.start_next(job.request.tx)
                continue
            if self.home.admission.refuse_if_late(job, load):
                continue
            if job.is_read:
                self.start_primary_read(job, primary)
                continue
            if not self.home.claim.held and not job.settling:
                self.requeue_at_head(job)
                self.home.watch.claim_group()
                return
            self.start_at_primary(job, primary)

    def requeue_at_head(self, job):
        """Put a job back at the head of the queue that it came from."""
        if job.request.tx and not job.settling:
            self.home.transaction_jobs.appendleft(job)
            return
        self.home.admission.enqueue_primary(job, first=True)

    def start_primary_read(self, job, primary):
        """Run a read at the primary, unless that is no longer proven to be current."""
        placement = self.home.read_placer.place(job, self.home.claim.held)
        if placement.place is Place.PRIMARY:
            job.primary_reason = placement.why
            self.start_read(job, primary)
            return
        if placement.place is Place.REPLICA:
            upstream = self.home.read_placer.fastest(placement.upstreams)
            if upstream:
                self.start_read(job, upstream)
                return
            self.start_read(job, primary)
            return
        job.step = f"wait_{placement.place}"
        self.home.waiting_reads.append(job)

    def start_read(self, job, upstream):
        """Run a read at an upstream."""
        timeout = min(self.ctx.tuning.read_timeout, self.attempt_time(job))
        self.start(
            job,
            actions.Read,
            OperationKind.READ,
            upstream,
            timeout=timeout,
            statement=job.request.statement,
        )

    def attempt_time(self, job):
        """Return the timeout of one attempt in seconds.

        The first attempt gets half of the remaining time. Otherwise a silent
        connection would use up the whole deadline and leave no time for a retry.
        """
        left = max(0.001, job.request.deadline - self.ctx.now)
        return left * FIRST_ATTEMPT_SHARE if job.attempts < 2 else left

    def start_at_primary(self, job, primary):
        """Run a write, outcome query, begin, statement or commit."""
        request = job.request
        if job.settling or request.verb is Verb.OUTCOME:
            self.start(
                job, actions.Settle, OperationKind.SETTLE, primary, row=ledger_row(job)
            )
        elif request.verb is Verb.BEGIN:
            self.home.transaction_manager.begin(job, primary)
        elif request.verb is Verb.TX_QUERY:
            self.start(
                job,
                actions.TxRun,
                OperationKind.TX_RUN,
                primary,
                tx=request.tx,
                statement=request.statement,
            )
        elif request.verb is Verb.COMMIT:
            self.start(
                job,
                actions.TxCommit,
                OperationKind.TX_COMMIT,
                primary,
                tx=request.tx,
                row=ledger_row(job),
                holder=self.home.claim.holder,
            )
        else:
            self.start(
                job,
                actions.Write,
                OperationKind.WRITE,
                primary,
                statement=request.statement,
                row=ledger_row(job),
                holder=self.home.claim.holder,
            )

    def start(self, job, action_class, kind, upstream, timeout=None, **fields):
        """Emit an operation that occupies a slot of its upstream."""
        may_have_run_before = job.may_have_run
        job.may_have_run = may_have_run_before or kind in WRITE_OPERATIONS
        job.attempts += 1
        job.started_at = self.ctx.now
        job.step = kind.value
        action = action_class(
            op=self.ctx.next_op(),
            database=self.home.spec.name,
            upstream=upstream,
            timeout=timeout or self.attempt_time(job),
            **fields,
        )
        job.op = action.op
        self.home.operations[action.op] = Operation(
            op=action.op,
            kind=kind,
            upstream=upstream,
            sent_at=self.ctx.now,
            term=self.home.view.term,
            job=job,
            as_of=self.home.view.as_of(upstream),
            floor=self.home.read_placer.floor(job) if job.is_read else None,
            may_have_run_before=may_have_run_before,
        )
        self.home.loads[upstream].start()
        self.ctx.emit(action)

    def is_outdated(self, operation):
        """Return whether an operation runs at a primary that has been replaced."""
        if (
            operation.kind is OperationKind.READ
            and operation.job.primary_reason is None
        ):
            return False
        return (
            operation.term != self.home.view.term
            or operation.upstream != self.home.view.primary
        )

    def abandon_silent_reads(self):
        """Abandon and retry reads at upstreams that have become silent.

        A read sent to a replica just before it froze would otherwise wait for half
        of its deadline, although the silence is known after 0.2 s.
        """
        for operation in list(self.home.operations.values()):
            silent = self.home.failover.is_unresponsive(operation.upstream)
            if operation.kind is OperationKind.READ and silent:
                self.abandon_and_retry(operation)

    def abandon_and_retry(self, operation):
        """Abandon an operation, drop its late response, and retry its job."""
        self.home.operations.pop(operation.op, None)
        self.home.loads[operation.upstream].finish(None)
        self.ctx.emit(
            Abandon(
                op=operation.op,
                database=self.home.spec.name,
                upstream=operation.upstream,
                timeout=self.ctx.tuning.verb_timeout,
            )
        )
        if not operation.job.closed:
            self.home.responses.retry(operation, "its primary was replaced")
