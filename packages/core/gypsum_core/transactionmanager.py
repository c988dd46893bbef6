"""Lifecycle of interactive transactions at a home."""

from dataclasses import replace

from gypsum_core import actions
from gypsum_core.jobs import OperationKind
from gypsum_core.load import DEFAULT_RETRY_AFTER
from gypsum_core.records import Answer, Outcome, Reason, Verb
from gypsum_core.timers import PART
from gypsum_core.transactions import Transaction


class TransactionManager:
    """Opens transactions, runs their statements in order, and ends them."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def submit(self, job):
        """Queue a statement, commit or rollback in its transaction."""
        tx = self.home.transactions.find(job.request.tx, job.request.member)
        if tx is None and job.request.verb is Verb.COMMIT:
            self.home.responses.settle(job)
            return
        if tx is None:
            self.home.refuse(job, Reason.TRANSACTION_LOST, "no such transaction here")
            return
        tx.waiting.append(job)
        if not tx.busy:
            self.start_next(tx.tx)

    def begin(self, job, primary):
        """Open a transaction, unless the limit of open transactions is reached."""
        upstream = self.home.spec.upstream_by_id[primary]
        limit = int(upstream.connections * self.ctx.tuning.home_share) - upstream.slots
        if len(self.home.transactions) >= max(1, limit):
            self.home.refuse(
                job,
                Reason.TRANSACTION_LIMIT,
                "too many open transactions",
                retry_after=DEFAULT_RETRY_AFTER,
            )
            return
        name = f"{self.ctx.daemon}.{self.ctx.random_token()}"
        job.request = replace(job.request, tx=name)
        self.home.dispatch.start(
            job, actions.TxBegin, OperationKind.TX_BEGIN, primary, tx=name
        )

    def roll_back(self, job):
        """Roll back a transaction at its caller's request."""
        tx = self.home.transactions.remove(job.request.tx)
        if tx:
            self.abort(tx)
        self.home.finish(
            job,
            Answer(request=job.request.id, outcome=Outcome.DONE, tx=job.request.tx),
        )

    def abort(self, tx):
        """Roll back a transaction and refuse its waiting statements."""
        self.ctx.emit(
            actions.TxAbort(
                op=self.ctx.next_op(),
                database=self.home.spec.name,
                upstream=tx.upstream,
                timeout=self.ctx.tuning.verb_timeout,
                tx=tx.tx,
            )
        )
        for job in tx.waiting:
            self.home.refuse(job, Reason.TRANSACTION_LOST, "the transaction has ended")
        for job in [
            item for item in self.home.transaction_jobs if item.request.tx == tx.tx
        ]:
            self.home.transaction_jobs.remove(job)
            self.home.refuse(job, Reason.TRANSACTION_LOST, "the transaction has ended")

    def on_opened(self, job, operation):
        """Add an opened transaction, or roll it back if its request has ended."""
        tx = Transaction(
            tx=job.request.tx,
            member=job.request.member,
            upstream=operation.upstream,
            term=operation.term,
            last_used_at=self.ctx.now,
        )
        if job.closed:
            self.abort(tx)
            return
        self.home.transactions.add(tx)
        self.home.finish(
            job,
            Answer(
                request=job.request.id,
                outcome=Outcome.DONE,
                served_by=operation.upstream,
                tx=tx.tx,
                key=job.request.key,
            ),
        )

    def on_statement_done(self, job, result):
        """Answer a statement of a transaction and start the next one."""
        self.home.finish(
            job,
            Answer(
                request=job.request.id,
                outcome=Outcome.DONE,
                result=result,
                tx=job.request.tx,
            ),
        )
        self.start_next(job.request.tx)

    def start_next(self, name):
        """Start a transaction's next waiting statement."""
        tx = self.home.transactions.open.get(name)
        if tx is None:
            return
        tx.busy = False
        tx.last_used_at = self.ctx.now
        while tx.waiting:
            job = tx.waiting.popleft()
            if job.closed:
                continue
            if job.request.verb is Verb.ROLLBACK:
                self.roll_back(job)
                return
            tx.busy = True
            self.home.transaction_jobs.append(job)
            return

    def on_failed(self, operation, event):
        """Handle a failed statement or commit of a transaction."""
        job = operation.job
        name = job.request.tx
        tx = self.home.transactions.open.get(name)
        if operation.kind is OperationKind.TX_RUN and event.reason is Reason.SQL_ERROR:
            if not job.closed:
                self.home.refuse(
                    job, event.reason, event.detail, peer=operation.upstream
                )
            self.start_next(name)
            return
        if tx and event.claim_lost and not job.closed:
            self.retry_commit(job, operation)
            return
        if tx:
            self.home.transactions.remove(name)
            self.abort(tx)
        if job.closed:
            return
        outcome_unknown = event.sent and operation.kind is OperationKind.TX_COMMIT
        if outcome_unknown and event.reason is None:
            self.home.responses.settle(job)
            return
        job.may_have_run = operation.may_have_run_before
        if event.stale:
            self.home.watch.on_claim_lost(operation.upstream)
        reason = event.reason or Reason.TRANSACTION_LOST
        self.home.refuse(job, reason, event.detail, peer=operation.upstream)

    def retry_commit(self, job, operation):
        """Claim the group again and retry a commit; its transaction is still open.

        Otherwise every open transaction would fail at its commit when another home
        takes over, in a drain or after a change of the instance list.
        """
        job.may_have_run = operation.may_have_run_before
        self.home.watch.on_claim_lost(operation.upstream)
        self.home.transaction_jobs.append(job)

    def abort_for(self, job):
        """Roll back the transaction of a statement that ran past its deadline."""
        tx = self.home.transactions.remove(job.request.tx)
        if tx:
            self.abort(tx)

    def abort_idle(self):
        """Roll back the transactions that have been idle for too long."""
        for tx in self.home.transactions.idle(self.ctx.now, self.ctx.tuning.tx_idle):
            self.home.transactions.remove(tx.tx)
            self.ctx.log(PART, f"{self.home.spec.name}: rolled back idle transaction")
            self.abort(tx)

    def abort_all(self):
        """Roll back all open transactions."""
        for tx in list(self.home.transactions.open.values()):
            self.home.transactions.remove(tx.tx)
            self.abort(tx)
