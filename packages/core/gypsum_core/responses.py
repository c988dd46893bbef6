"""Handling of upstreams' responses at a home."""

from dataclasses import replace

from gypsum_core.actions import DropConnections
from gypsum_core.events import Failed, Settled, StatementCompleted, StatusReceived
from gypsum_core.jobs import SLOT_OPERATIONS, OperationKind
from gypsum_core.load import DEFAULT_RETRY_AFTER
from gypsum_core.records import Answer, Outcome, Reason, Verb
from gypsum_core.unconfirmedwrites import done_answer


class ResponseHandler:
    """Turns responses into final answers, retries or checks of the upstream."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def settle(self, job):
        """Look up the outcome of a key in the ledger instead of running the request."""
        job.settling = True
        job.may_have_run = True
        self.home.admission.enqueue_primary(job, first=True)

    def on_response(self, event):
        """Handle the response to an operation; drop one that is no longer pending."""
        operation = self.home.operations.pop(event.op, None)
        if operation is None:
            return
        if self.home.probing.get(operation.upstream) == operation.op:
            del self.home.probing[operation.upstream]
        if operation.kind in SLOT_OPERATIONS:
            seconds = self.ctx.now - operation.sent_at
            ran = isinstance(event, StatementCompleted | Settled)
            self.home.loads[operation.upstream].finish(seconds if ran else None)
        if isinstance(event, Failed):
            self.on_failed(operation, event)
        elif isinstance(event, StatusReceived):
            self.on_status(operation, event.status)
        elif isinstance(event, Settled):
            self.on_settled(operation, event)
        else:
            self.on_ran(operation, event)
        self.home.dispatch.start_queued()

    def on_status(self, operation, status):
        """Handle a status from a probe, fence, promotion, follow or claim."""
        self.home.watch.answer_peer(operation, heard=True)
        if operation.kind is OperationKind.CLAIM:
            self.home.claim.on_answer(status)
        if operation.kind is OperationKind.PROBE and operation.fresh:
            self.home.watch.drop_silent_connections(operation.upstream)
        self.home.apply_status(status, operation.sent_at)
        if operation.kind is OperationKind.FENCE:
            self.home.failover.on_fenced(status, operation.term)
        if operation.kind is OperationKind.PROMOTE:
            self.home.failover.on_promoted(status)
        self.home.dispatch.start_queued()

    def on_ran(self, operation, event):
        """Handle the result of a statement."""
        self.home.failover.record_response(operation.upstream)
        job = operation.job
        if operation.kind is OperationKind.READ:
            self.answer_read(job, operation, event.result)
        elif operation.kind is OperationKind.TX_BEGIN:
            self.home.transaction_manager.on_opened(job, operation)
        elif operation.kind is OperationKind.TX_RUN:
            self.home.transaction_manager.on_statement_done(job, event.result)
        else:
            if operation.kind is OperationKind.TX_COMMIT:
                self.home.transactions.remove(job.request.tx)
            self.on_committed(job, operation, event.result, event.position)

    def answer_read(self, job, operation, result):
        """Answer a read with the proven maximum age of its data."""
        if job.closed:
            return
        age = max(0.0, self.ctx.now - operation.as_of)
        current = operation.as_of >= job.arrived
        if not current and age * 1000 > job.kind.max_age_ms:
            # The result has become too old since the read was sent, for instance
            # while this process was suspended. Request current data instead, which
            # remains a valid answer however long the read takes.
            job.request = replace(job.request, current=True)
            self.home.read_scheduler.place_read(job)
            return
        self.home.read_placer.counts.record(
            job, operation.upstream, self.home.view.primary
        )
        self.home.finish(
            job,
            Answer(
                request=job.request.id,
                outcome=Outcome.DONE,
                result=result,
                served_by=operation.upstream,
                position=operation.floor,
                age_ms=age * 1000,
                current=current,
            ),
        )

    def on_committed(self, job, operation, result, position):
        """Record a write that is in the primary's log and wait for a majority."""
        self.home.view.record_log_end(
            sent_at=operation.sent_at, position=position, by=operation.upstream
        )
        self.home.recent_writers.record(job.caller, position)
        self.home.recent_writers.record((job.request.member, ""), position)
        if job.closed:
            return
        self.await_majority(job, operation, result, position)

    def await_majority(self, job, operation, result, position):
        """Hold a write, or a settled key, until a majority has its position.

        A position of another term confirms nothing: the primary may have been
        replaced between the commit and the query for its position. It then
        discarded the write and reports a position of the new term, which a majority
        holds. Such a write is looked up in the ledger.
        """
        if position.term != operation.term:
            self.requeue(job)
            return
        self.home.unconfirmed_writes.add(
            job, result=result, position=position, served_by=operation.upstream
        )
        self.confirm_writes()

    def confirm_writes(self):
        """Answer the writes that a majority holds."""
        for job in self.home.unconfirmed_writes.take_confirmed():
            if job.closed:
                continue
            if job.settling and job.result is None:
                self.home.refuse(
                    job, Reason.CANCELLED, "it was not run and never will be"
                )
                continue
            self.home.finish(job, done_answer(job))

    def on_settled(self, operation, event):
        """Handle a key's outcome from the ledger; it needs a majority as well."""
        self.home.failover.record_response(operation.upstream)
        job = operation.job
        job.settling = True
        if job.closed:
            return
        self.await_majority(job, operation, event.result, event.position)

    def on_failed(self, operation, event):
        """Handle a failure: answer, retry, or check whether the upstream is alive."""
        self.home.watch.answer_peer(operation, heard=False)
        if operation.kind is OperationKind.CLAIM:
            self.home.claim.on_failure()
            self.home.watch.verify(operation.upstream)
        if operation.kind in (OperationKind.FENCE, OperationKind.PROMOTE):
            self.home.failover.on_order_failed(operation.upstream, operation.term)
        job = operation.job
        if job is None:
            self.home.failover.check()
            return
        if event.reason is not None:
            self.home.failover.record_response(operation.upstream)
        elif not event.stale and not event.claim_lost:
            self.home.watch.verify(operation.upstream)
        if operation.kind in (OperationKind.TX_RUN, OperationKind.TX_COMMIT):
            self.home.transaction_manager.on_failed(operation, event)
            return
        if job.closed:
            return
        if event.reason is not None:
            self.home.refuse(job, event.reason, event.detail, peer=operation.upstream)
            return
        if event.silent and not self.home.failover.is_unresponsive(operation.upstream):
            self.ctx.emit(
                DropConnections(
                    database=self.home.spec.name, upstream=operation.upstream
                )
            )
        if event.stale or event.claim_lost:
            self.home.watch.on_claim_lost(operation.upstream)
        if not event.sent:
            job.may_have_run = operation.may_have_run_before
        self.retry(operation, event.detail)

    def retry(self, operation, detail):
        """Retry a job: reads have no effects, the ledger prevents duplicate writes."""
        job = operation.job
        if job.request.verb in (Verb.TX_QUERY, Verb.ROLLBACK):
            self.home.refuse(
                job, Reason.TRANSACTION_LOST, detail, peer=operation.upstream
            )
            return
        if job.request.verb is Verb.COMMIT:
            self.requeue(job)
            return
        if not self.home.budget.withdraw():
            self.home.refuse(
                job,
                Reason.RETRY_BUDGET,
                detail,
                peer=operation.upstream,
                retry_after=DEFAULT_RETRY_AFTER,
            )
            return
        if job.is_read:
            self.home.read_scheduler.place_read(job)
            return
        self.requeue(job)

    def requeue(self, job):
        """Queue a job whose first attempt may have taken effect.

        A write runs again under its key. A commit cannot: its transaction ended
        with its connection, so its outcome is looked up in the ledger.
        """
        if job.request.verb is Verb.COMMIT:
            self.home.transactions.remove(job.request.tx)
            self.settle(job)
            return
        self.home.admission.enqueue_primary(job, first=True)
