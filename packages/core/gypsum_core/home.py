"""The home of one database: its queues, limits, pool and decisions."""

from collections import deque
from dataclasses import replace
from typing import Protocol

from gypsum_core import actions
from gypsum_core.actions import Abandon, DropConnections, Probe, Warm
from gypsum_core.claim import ClaimKeeper
from gypsum_core.events import Failed, Ran, Settled, StatusKnown
from gypsum_core.failover import PART as FAILOVER_PART
from gypsum_core.failover import Failover
from gypsum_core.fairqueue import FairQueue
from gypsum_core.group import GroupView
from gypsum_core.homeboard import describe_home
from gypsum_core.jobs import LASTING, SLOTTED, Job, Operation, Work
from gypsum_core.ledger import ledger_row
from gypsum_core.limits import Lane, expected_wait
from gypsum_core.messages import PrimaryHeard
from gypsum_core.readdesk import Place, ReadDesk
from gypsum_core.recent import RecentWriters
from gypsum_core.records import Answer, Outcome, Reason, Verb
from gypsum_core.retry import RetryBudget
from gypsum_core.transactions import Transaction, Transactions
from gypsum_core.writedesk import WriteDesk, answer_done

PART = "home"
POLL = "poll"
ROUND = "round"
DEADLINE = "deadline"
CATCH_UP = "catch_up"
REFRESH_PART = 0.25
ROUND_GAP = 0.002
CATCH_UP_GAP = 0.01
CATCHING_UP = f"wait_{Place.CATCH_UP}"
HELD_LIMIT = 32
GONE_AFTER = 3.0
RETRY_SOON = 1.0
RETRY_BEHIND = 2.0
FIRST_TRY_PART = 0.5
WARM_SPARE = 2
TIME_NEEDED = 1.5

WORK_OF_ACTION = {
    actions.Probe: Work.PROBE,
    actions.Fence: Work.FENCE,
    actions.Promote: Work.PROMOTE,
    actions.Follow: Work.FOLLOW,
    actions.Claim: Work.CLAIM,
}


class Office(Protocol):
    """What a home asks of the daemon it is part of."""

    def deliver(self, origin: str, answer: Answer) -> None:
        """Give the final answer to the daemon that the request came from."""

    def redirect(self, origin: str, request: str, to: str) -> None:
        """Ask the request's daemon to try another home."""

    def monitors(self, database: str) -> list[str]:
        """Other daemons that may be asked about the database's primary."""

    def upstream_leaving(self, upstream: str) -> bool:
        """Tell whether the instance list marks an upstream as leaving."""


class Home:
    """Serves one database on behalf of all daemons."""

    def __init__(self, *, ctx, spec, office: Office):
        self.ctx = ctx
        self.spec = spec
        self.office = office
        self.view = GroupView(
            upstreams=spec.upstream_by_id,
            majority=spec.majority,
            marks=ctx.tuning.marks,
        )
        self.failover = Failover(ctx=ctx, database=spec.name, view=self.view, home=self)
        self.recent = RecentWriters(limit=ctx.tuning.recent_writers)
        self.lanes = {item.id: Lane(slots=item.slots) for item in spec.upstreams}
        self.reads = ReadDesk(
            ctx=ctx,
            view=self.view,
            failover=self.failover,
            recent=self.recent,
            lanes=self.lanes,
            leaving=office.upstream_leaving,
        )
        self.writes = WriteDesk(ctx=ctx, view=self.view)
        self.transactions = Transactions()
        self.replica_queue = FairQueue(weights=spec.weight_by_member)
        self.primary_queue = FairQueue(weights=spec.weight_by_member)
        self.budget = RetryBudget(
            rate=ctx.tuning.retry_rate,
            burst=ctx.tuning.retry_burst,
            tokens=ctx.tuning.retry_burst,
        )
        self.held = deque()
        self.urgent = deque()
        self.awaiting = []
        self.jobs = {}
        self.operations = {}
        self.probing = {}
        self.claim = ClaimKeeper(ctx=ctx, view=self.view, recent=self.recent)
        self.round_at = float("-inf")
        self.round_set = False
        self.active = False
        self.rank = None
        self.used_at = float("-inf")
        self.refusals = {}

    # Life

    def activate(self):
        """Start polling the group."""
        if self.active:
            return
        self.active = True
        self.failover.watch_from()
        self.poll()

    def set_rank(self, rank):
        """Take the place in the database's order: 0 serves, 1 stands by."""
        changed = rank != self.rank
        self.rank = rank
        if rank == 0:
            self.activate()
        if changed:
            self.warm()

    def warm(self):
        """Open connections before they are needed, within our part of the limit.

        The home may use `home_share` of an upstream's connections; the rest is
        left for the standby, so that both together never exceed the limit while
        the old home does not know that it was passed over.
        """
        share = self.ctx.tuning.home_share
        if self.rank != 0:
            share = 1.0 - share
        for upstream in self.spec.upstreams:
            limit = max(1, int(upstream.connections * share))
            target = min(limit, upstream.slots + WARM_SPARE)
            self.ctx.emit(
                Warm(
                    database=self.spec.name,
                    upstream=upstream.id,
                    connections=target if self.rank in (0, 1) else 0,
                    limit=limit,
                )
            )

    def update_spec(self, spec):
        """Put a newer manifest in force; running work goes on under it."""
        self.spec = spec
        for queue in (self.replica_queue, self.primary_queue):
            queue.weights = spec.weight_by_member
        for upstream in spec.upstreams:
            lane = self.lanes.setdefault(upstream.id, Lane(slots=upstream.slots))
            lane.slots = upstream.slots
        self.view.upstreams = tuple(spec.upstream_by_id)
        self.view.majority = spec.majority
        for upstream in list(self.view.seen):
            if upstream not in spec.upstream_by_id:
                self.view.forget(upstream)
        self.warm()
        self.pump()

    @property
    def busy(self):
        """Tell whether anything is still to be answered here."""
        return bool(self.jobs) or bool(len(self.transactions))

    # Requests

    def submit(self, request, origin):
        """Take a request; its final answer comes through the office."""
        if request.id in self.jobs:
            return
        self.used_at = self.ctx.now
        self.activate()
        kind = self.kind_of(request)
        job = Job(request=request, origin=origin, kind=kind, arrived=self.ctx.now)
        self.jobs[request.id] = job
        self.budget.deposit()
        if request.deadline <= self.ctx.now:
            self.refuse(job, Reason.DEADLINE, "the deadline was over on arrival")
            return
        self.ctx.set_timer(
            request.deadline - self.ctx.now,
            part=DEADLINE,
            database=self.spec.name,
            detail=request.id,
        )
        if request.verb in (Verb.TX_QUERY, Verb.COMMIT, Verb.ROLLBACK):
            self.submit_to_transaction(job)
        elif job.is_read:
            self.place_read(job)
        else:
            self.admit_primary(job)
        self.pump()

    def kind_of(self, request):
        """The request's kind; verbs without one get the transaction's defaults."""
        kind = self.spec.kind_by_name.get(request.kind)
        return kind or self.spec.kinds[0]

    def admit_primary(self, job):
        """Queue work for the primary, or refuse it at once."""
        if job.writes and self.writes.stalled():
            self.refuse(
                job,
                Reason.REPLICAS_BEHIND,
                "no replica keeps up with the primary",
                retry_after=RETRY_BEHIND,
            )
            return
        if self.gone_for() > GONE_AFTER and not self.failover.vetoed:
            self.refuse(
                job,
                Reason.NO_PRIMARY,
                "the group has no primary",
                retry_after=RETRY_SOON,
            )
            return
        slots = self.lanes[self.view.primary].slots if self.view.primary else 1
        service = self.primary_service()
        if self.admit(job, self.primary_queue, slots, service):
            self.queue_primary(job)
            self.trim(self.primary_queue, job.request.member, slots, service)

    def gone_for(self):
        """Seconds without a primary that answers."""
        since = self.failover.leaderless_since
        if since is not None:
            return self.ctx.now - since
        if self.view.primary is None:
            return 0.0
        return self.failover.silence(self.view.primary)

    def primary_service(self):
        """Seconds that one statement takes at the primary."""
        lane = self.lanes.get(self.view.primary)
        return lane.service if lane else 0.0

    def admit(self, job, queue, slots, service):
        """Refuse now what could not be answered in time; tell if it may wait."""
        member = job.request.member
        wait = expected_wait(
            ahead=queue.ahead_of(
                member, worth=job.kind.worth, deadline=job.request.deadline
            ),
            share=queue.share(member),
            slots=slots,
            service=service,
        )
        late = self.ctx.now + wait > job.request.deadline
        if not late and len(queue) < self.ctx.tuning.queue_limit:
            return True
        self.overloaded(job, wait)
        return False

    def overloaded(self, job, wait):
        """Refuse a request that its member's queue leaves no time for."""
        member = job.request.member
        self.refuse(
            job, Reason.OVERLOAD, f"{member}: queue is too long", retry_after=wait
        )

    def too_late(self, job, lane):
        """Refuse a request that could not be answered any more; tell if so.

        What goes wrong without it: after a failover the queue holds what is about
        to expire, each such request takes a slot and is answered too late, and the
        next one has expired meanwhile as well.
        """
        left = job.request.deadline - self.ctx.now
        needed = lane.service if job.is_read else self.writes.whole_time
        if job.maybe_run or job.request.tx or left >= TIME_NEEDED * needed:
            return False
        self.refuse(
            job,
            Reason.OVERLOAD,
            "its turn came too late to answer in time",
            retry_after=RETRY_SOON,
        )
        return True

    def trim(self, queue, member, slots, service):
        """Refuse what newer and worthier requests have pushed out of time.

        What goes wrong without it: a request of little worth waits until its
        deadline for a turn that never comes, and its caller learns nothing until
        then.
        """
        while queue.waiting(member) > slots:
            job = queue.last(member)
            wait = expected_wait(
                ahead=queue.waiting(member) - 1,
                share=queue.share(member),
                slots=slots,
                service=service,
            )
            if job.maybe_run or self.ctx.now + wait <= job.request.deadline:
                return
            queue.drop_last(member)
            if not job.closed:
                self.overloaded(job, wait)

    def queue_primary(self, job, *, first=False):
        """Put a job into the primary's queue."""
        job.step = "queue"
        self.primary_queue.push(
            job,
            member=job.request.member,
            worth=float("inf") if first else job.kind.worth,
            deadline=job.request.deadline,
        )

    def place_read(self, job):
        """Queue a read where it may lawfully run, or wait for knowledge."""
        placement = self.reads.place(job, self.claim.held)
        if placement.place is Place.REPLICA:
            if not len(self.replica_queue) and not self.held:
                upstream = self.reads.quickest(placement.upstreams)
                if upstream is not None:
                    self.start_read(job, upstream)
                    return
            lanes = [self.lanes[name] for name in placement.upstreams]
            slots = sum(lane.slots for lane in lanes)
            service = min(lane.service for lane in lanes)
            if self.admit(job, self.replica_queue, slots, service):
                self.replica_queue.push(
                    job,
                    member=job.request.member,
                    worth=job.kind.worth,
                    deadline=job.request.deadline,
                )
                self.trim(self.replica_queue, job.request.member, slots, service)
            return
        if placement.place is Place.PRIMARY:
            job.why_primary = placement.why
            self.admit_primary(job)
            return
        if placement.place is Place.CATCH_UP:
            job.waited_replica = True
            self.ctx.set_timer(
                self.ctx.tuning.replica_wait,
                part=CATCH_UP,
                database=self.spec.name,
                detail=job.request.id,
            )
        job.step = f"wait_{placement.place}"
        self.awaiting.append(job)

    def submit_to_transaction(self, job):
        """Hand a statement, commit or rollback to its transaction."""
        tx = self.transactions.find(job.request.tx, job.request.member)
        if tx is None and job.request.verb is Verb.COMMIT:
            self.settle(job)
            return
        if tx is None:
            self.refuse(job, Reason.TRANSACTION_LOST, "no such transaction here")
            return
        tx.waiting.append(job)
        if not tx.busy:
            self.next_in_transaction(tx.tx)

    def settle(self, job):
        """Look a key's outcome up in the ledger instead of running the request."""
        job.settling = True
        job.maybe_run = True
        self.queue_primary(job, first=True)

    # Dispatch

    def pump(self):
        """Start whatever may start now."""
        self.redirect_if_vetoed()
        self.pump_replicas()
        self.pump_primary()
        if self.awaiting or self.writes.unconfirmed:
            self.ensure_round()

    def redirect_if_vetoed(self):
        """Pass work on to the daemon that hears the primary we do not."""
        if not self.failover.vetoed:
            return
        waiting = self.primary_queue.remove_if(lambda job: True) + self.awaiting
        self.awaiting = []
        for job in waiting:
            if job.closed:
                continue
            if job.request.hops >= self.ctx.tuning.max_hops:
                self.refuse(
                    job, Reason.NO_PRIMARY, "no daemon reaches the primary", RETRY_SOON
                )
                continue
            self.close(job)
            self.office.redirect(job.origin, job.request.id, self.failover.deputy)

    def pump_replicas(self):
        """Start queued reads at replicas with free slots."""
        tried = 0
        held = deque()
        while tried < HELD_LIMIT and self.any_replica_free():
            job = self.held.popleft() if self.held else self.replica_queue.pop()
            if job is None:
                break
            if job.closed:
                continue
            tried += 1
            placement = self.reads.place(job, self.claim.held)
            if placement.place is not Place.REPLICA:
                self.place_read(job)
                continue
            upstream = self.reads.quickest(placement.upstreams)
            if upstream is None:
                held.append(job)
                continue
            if self.too_late(job, self.lanes[upstream]):
                continue
            self.start_read(job, upstream)
        held.extend(self.held)
        self.held = held

    def any_replica_free(self):
        """Tell whether a replica has a free slot."""
        return any(
            lane.free for name, lane in self.lanes.items() if name != self.view.primary
        )

    def pump_primary(self):
        """Start queued work at the primary while it is valid and has slots."""
        primary = self.view.primary
        if primary is None or self.failover.election is not None:
            return
        if not self.failover.trusted(primary):
            return
        lane = self.lanes[primary]
        while lane.free:
            job = self.urgent.popleft() if self.urgent else self.primary_queue.pop()
            if job is None:
                return
            if job.closed:
                self.next_in_transaction(job.request.tx)
                continue
            if self.too_late(job, lane):
                continue
            if job.is_read:
                self.start_primary_read(job, primary)
                continue
            if not self.claim.held and not job.settling:
                self.put_back(job)
                self.claim_group()
                return
            self.start_at_primary(job, primary)

    def put_back(self, job):
        """Return a job to the head of where it came from."""
        if job.request.tx and not job.settling:
            self.urgent.appendleft(job)
            return
        self.queue_primary(job, first=True)

    def start_primary_read(self, job, primary):
        """Run a read at the primary, unless its proof has become stale."""
        placement = self.reads.place(job, self.claim.held)
        if placement.place is Place.PRIMARY:
            job.why_primary = placement.why
            self.start_read(job, primary)
            return
        if placement.place is Place.REPLICA:
            upstream = self.reads.quickest(placement.upstreams)
            if upstream:
                self.start_read(job, upstream)
                return
            self.start_read(job, primary)
            return
        job.step = f"wait_{placement.place}"
        self.awaiting.append(job)

    def start_read(self, job, upstream):
        """Run a read at an upstream."""
        timeout = min(self.ctx.tuning.read_timeout, self.attempt_time(job))
        self.start(
            job,
            actions.Read,
            Work.READ,
            upstream,
            timeout=timeout,
            statement=job.request.statement,
        )

    def attempt_time(self, job):
        """Seconds for one attempt; half of what is left stays for another.

        What goes wrong otherwise: a connection that has gone silent takes the
        whole deadline with it, and a retry that would succeed comes too late.
        """
        left = max(0.001, job.request.deadline - self.ctx.now)
        return left * FIRST_TRY_PART if job.attempts < 2 else left

    def start_at_primary(self, job, primary):
        """Run a write, outcome, begin, statement, commit or rollback."""
        request = job.request
        if job.settling or request.verb is Verb.OUTCOME:
            self.start(job, actions.Settle, Work.SETTLE, primary, row=ledger_row(job))
        elif request.verb is Verb.BEGIN:
            self.begin(job, primary)
        elif request.verb is Verb.TX_QUERY:
            self.start(
                job,
                actions.TxRun,
                Work.TX_RUN,
                primary,
                tx=request.tx,
                statement=request.statement,
            )
        elif request.verb is Verb.COMMIT:
            self.start(
                job,
                actions.TxCommit,
                Work.TX_COMMIT,
                primary,
                tx=request.tx,
                row=ledger_row(job),
                holder=self.claim.holder,
            )
        else:
            self.start(
                job,
                actions.Write,
                Work.WRITE,
                primary,
                statement=request.statement,
                row=ledger_row(job),
                holder=self.claim.holder,
            )

    def begin(self, job, primary):
        """Open a transaction, unless too many hold connections already."""
        upstream = self.spec.upstream_by_id[primary]
        limit = int(upstream.connections * self.ctx.tuning.home_share) - upstream.slots
        if len(self.transactions) >= max(1, limit):
            self.refuse(
                job,
                Reason.TRANSACTION_LIMIT,
                "too many open transactions",
                retry_after=RETRY_SOON,
            )
            return
        name = f"{self.ctx.daemon}.{self.ctx.token()}"
        job.request = replace(job.request, tx=name)
        self.start(job, actions.TxBegin, Work.TX_BEGIN, primary, tx=name)

    def roll_back(self, job):
        """End a transaction without its effects."""
        tx = self.transactions.drop(job.request.tx)
        if tx:
            self.abort(tx)
        self.finish(
            job,
            Answer(request=job.request.id, outcome=Outcome.DONE, tx=job.request.tx),
        )

    def abort(self, tx):
        """Roll a transaction back; whoever waits in it learns at once."""
        self.ctx.emit(
            actions.TxAbort(
                op=self.ctx.next_op(),
                database=self.spec.name,
                upstream=tx.upstream,
                timeout=self.ctx.tuning.verb_timeout,
                tx=tx.tx,
            )
        )
        for job in tx.waiting:
            self.refuse(job, Reason.TRANSACTION_LOST, "the transaction has ended")
        for job in [item for item in self.urgent if item.request.tx == tx.tx]:
            self.urgent.remove(job)
            self.refuse(job, Reason.TRANSACTION_LOST, "the transaction has ended")

    def start(self, job, kind, work, upstream, timeout=None, **fields):
        """Emit a slotted operation for a job."""
        maybe_run_before = job.maybe_run
        job.maybe_run = maybe_run_before or work in LASTING
        job.attempts += 1
        job.started_at = self.ctx.now
        job.step = work.value
        action = kind(
            op=self.ctx.next_op(),
            database=self.spec.name,
            upstream=upstream,
            timeout=timeout or self.attempt_time(job),
            **fields,
        )
        job.op = action.op
        self.operations[action.op] = Operation(
            op=action.op,
            work=work,
            upstream=upstream,
            sent_at=self.ctx.now,
            term=self.view.term,
            job=job,
            as_of=self.view.as_of(upstream),
            floor=self.reads.floor(job) if job.is_read else None,
            maybe_run_before=maybe_run_before,
        )
        self.lanes[upstream].enter()
        self.ctx.emit(action)

    def launch(self, action):
        """Emit an action of the failover machine and note what it is for."""
        work = WORK_OF_ACTION[type(action)]
        term = getattr(action, "term", self.view.term)
        self.operations[action.op] = Operation(
            op=action.op,
            work=work,
            upstream=action.upstream,
            sent_at=self.ctx.now,
            term=term,
            fresh=getattr(action, "fresh", False),
        )
        self.ctx.emit(action)

    # Knowledge

    def poll(self):
        """Probe the whole group and come back after the interval."""
        tuning = self.ctx.tuning
        idle = self.ctx.now - self.used_at > tuning.home_idle_after
        if self.rank != 0 and idle and not self.busy:
            self.active = False
            return
        for upstream in self.view.upstreams:
            if self.poll_due(upstream):
                self.probe(upstream)
        self.end_idle_transactions()
        self.failover.check()
        self.pump()
        pause = tuning.idle_poll_interval if idle else tuning.poll_interval
        self.ctx.set_timer(pause, part=PART, database=self.spec.name, detail=POLL)

    def poll_due(self, upstream):
        """Tell whether a poll would teach us anything.

        The primary is asked when it has said nothing for a poll's time, since that
        may be the beginning of a silence; statements' answers are signs of life
        too. Statuses are refreshed well within the age that reads accept. Asking
        everyone at each poll took most of what control may cost.
        """
        refresh = self.refresh_interval()
        if self.ctx.now - self.view.seen_at(upstream) >= refresh:
            return True
        quiet = self.failover.quiet_for(upstream)
        leads = upstream == self.view.primary
        return leads and quiet >= self.ctx.tuning.poll_interval

    def refresh_interval(self):
        """Seconds after which a status is asked for again."""
        ages = [kind.max_age_ms for kind in self.spec.kinds if kind.max_age_ms > 0]
        wanted = min(ages, default=float("inf")) / 1000 * REFRESH_PART
        tuning = self.ctx.tuning
        return max(tuning.poll_interval, min(tuning.idle_poll_interval, wanted))

    def poll_once(self):
        """Probe the whole group now: something changed."""
        for upstream in self.view.upstreams:
            self.probe(upstream)

    def probe(self, upstream):
        """Ask an upstream for its status unless a question is under way."""
        if upstream in self.probing:
            return
        action = Probe(
            op=self.ctx.next_op(),
            database=self.spec.name,
            upstream=upstream,
            timeout=self.ctx.tuning.probe_timeout,
        )
        self.probing[upstream] = action.op
        self.failover.asked(upstream)
        self.launch(action)

    def ensure_round(self):
        """Ask all members soon, once for everything that waits.

        One round serves every read and write waiting at the time, so the number
        of questions does not grow with the number of requests.
        """
        if self.round_set:
            return
        gap = self.round_gap()
        delay = max(0.0, self.round_at + gap - self.ctx.now)
        if delay > 0:
            self.round_set = True
            self.ctx.set_timer(delay, part=PART, database=self.spec.name, detail=ROUND)
            return
        self.round_at = self.ctx.now
        self.poll_once()

    def round_gap(self):
        """Seconds between two rounds: short where callers wait for knowledge."""
        if any(job.step != CATCHING_UP for job in self.awaiting):
            return ROUND_GAP
        gap = CATCH_UP_GAP if self.awaiting else float("inf")
        if self.writes.unconfirmed:
            gap = min(gap, self.writes.round_gap())
        return gap

    def claim_group(self):
        """Make ourselves the one daemon whose writes the group takes."""
        if self.claim.running or self.view.primary is None:
            return
        self.launch(
            actions.Claim(
                op=self.ctx.next_op(),
                database=self.spec.name,
                upstream=self.view.primary,
                timeout=self.ctx.tuning.verb_timeout,
                holder=self.claim.begin(),
            )
        )

    def learn(self, status, sent_at):
        """Take in a status and everything that follows from it."""
        self.failover.heard(status.upstream)
        if status.discarded:
            self.ctx.log(
                FAILOVER_PART,
                f"{self.spec.name}: {status.upstream} discarded a divergent tail, "
                f"entries={status.discarded}",
            )
        changed = self.view.learn(status, sent_at=sent_at)
        if changed:
            self.primary_changed()
        self.confirm_writes()
        self.failover.check()
        self.recheck()
        self.pump()

    def recheck(self):
        """Place the reads that waited for knowledge again."""
        waiting, self.awaiting = self.awaiting, []
        for job in waiting:
            if not job.closed:
                self.place_again(job)

    def place_again(self, job):
        """Place a waiting read unless its bounded wait still runs."""
        placement = self.reads.place(job, self.claim.held)
        catching_up = job.step == CATCHING_UP and (placement.place is Place.PRIMARY)
        stuck = placement.place in (Place.ROUND, Place.STUCK)
        if catching_up or stuck:
            self.awaiting.append(job)
            if stuck and not self.claim.held and job.request.session is None:
                self.claim_group()
            return
        self.place_read(job)

    def primary_changed(self):
        """Another primary or term is in force: nothing of the old one counts."""
        for operation in list(self.operations.values()):
            if operation.job and self.outdated(operation):
                self.take_back(operation)
        for tx in self.transactions.strangers(self.view.primary, self.view.term):
            self.transactions.drop(tx.tx)
            self.abort(tx)
        if self.view.primary is not None:
            for job in self.writes.take_stranded():
                self.run_again(job)

    def outdated(self, operation):
        """Tell whether an operation runs at a primary that leads no more."""
        if operation.work is Work.READ and operation.job.why_primary is None:
            return False
        return (
            operation.term != self.view.term or operation.upstream != self.view.primary
        )

    def take_back(self, operation):
        """Abandon an operation; its late answer finds nobody waiting."""
        self.operations.pop(operation.op, None)
        self.lanes[operation.upstream].leave(None)
        self.ctx.emit(
            Abandon(
                op=operation.op,
                database=self.spec.name,
                upstream=operation.upstream,
                timeout=self.ctx.tuning.verb_timeout,
            )
        )
        if not operation.job.closed:
            self.try_again(operation, "its primary was replaced")

    # Answers of upstreams

    def on_upstream(self, event):
        """Take in the answer to an operation; unknown ones are late: dropped."""
        operation = self.operations.pop(event.op, None)
        if operation is None:
            return
        if self.probing.get(operation.upstream) == operation.op:
            del self.probing[operation.upstream]
        if operation.work in SLOTTED:
            seconds = self.ctx.now - operation.sent_at
            ran = isinstance(event, Ran | Settled)
            self.lanes[operation.upstream].leave(seconds if ran else None)
        if isinstance(event, Failed):
            self.on_failed(operation, event)
        elif isinstance(event, StatusKnown):
            self.on_status(operation, event.status)
        elif isinstance(event, Settled):
            self.on_settled(operation, event)
        else:
            self.on_ran(operation, event)
        self.pump()

    def on_status(self, operation, status):
        """A status came back: from a probe or a group verb."""
        self.answer_asker(operation, heard=True)
        if operation.work is Work.CLAIM:
            self.claim.answered(status)
        if operation.work is Work.PROBE and operation.fresh:
            self.found_silent_connections(operation.upstream)
        self.learn(status, operation.sent_at)
        if operation.work is Work.FENCE:
            self.failover.fenced(status, operation.term)
        if operation.work is Work.PROMOTE:
            self.failover.promoted(status)
        self.pump()

    def found_silent_connections(self, upstream):
        """A fresh connection answered where the open ones did not."""
        if not self.failover.suspicious(upstream):
            return
        self.ctx.log(PART, f"{self.spec.name}: connections to {upstream} are silent")
        self.ctx.emit(DropConnections(database=self.spec.name, upstream=upstream))

    def answer_asker(self, operation, *, heard):
        """Tell a peer that asked whether we hear the upstream."""
        if operation.work is not Work.ASKED_PROBE:
            return
        self.ctx.send(
            operation.asker,
            PrimaryHeard(
                database=self.spec.name,
                upstream=operation.upstream,
                nonce=operation.nonce,
                heard=heard,
            ),
        )

    def asked(self, peer, question):
        """A peer asks whether we hear an upstream: look with a new connection."""
        action = Probe(
            op=self.ctx.next_op(),
            database=self.spec.name,
            upstream=question.upstream,
            timeout=self.ctx.tuning.probe_timeout / 2,
            fresh=True,
        )
        self.operations[action.op] = Operation(
            op=action.op,
            work=Work.ASKED_PROBE,
            upstream=question.upstream,
            sent_at=self.ctx.now,
            term=self.view.term,
            asker=peer,
            nonce=question.nonce,
        )
        self.ctx.emit(action)

    def on_ran(self, operation, event):
        """A statement ran at its upstream."""
        self.failover.heard(operation.upstream)
        job = operation.job
        if operation.work is Work.READ:
            self.answer_read(job, operation, event.result)
        elif operation.work is Work.TX_BEGIN:
            self.opened(job, operation)
        elif operation.work is Work.TX_RUN:
            self.ran_in_transaction(job, event.result)
        else:
            if operation.work is Work.TX_COMMIT:
                self.transactions.drop(job.request.tx)
            self.committed(job, operation, event.result, event.position)

    def answer_read(self, job, operation, result):
        """Answer a read with the proven age of its data."""
        if job.closed:
            return
        age = max(0.0, self.ctx.now - operation.as_of)
        current = operation.as_of >= job.arrived
        if not current and age * 1000 > job.kind.max_age_ms:
            # The data was young enough when it was asked for but lay about, for
            # instance while this process was stopped. Ask for current data: that
            # stays right however long it takes.
            job.request = replace(job.request, current=True)
            self.place_read(job)
            return
        self.reads.counts.served(job, operation.upstream, self.view.primary)
        self.finish(
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

    def opened(self, job, operation):
        """A transaction is open; if nobody waits for it any more, end it."""
        tx = Transaction(
            tx=job.request.tx,
            member=job.request.member,
            upstream=operation.upstream,
            term=operation.term,
            touched=self.ctx.now,
        )
        if job.closed:
            self.abort(tx)
            return
        self.transactions.add(tx)
        self.finish(
            job,
            Answer(
                request=job.request.id,
                outcome=Outcome.DONE,
                served_by=operation.upstream,
                tx=tx.tx,
                key=job.request.key,
            ),
        )

    def ran_in_transaction(self, job, result):
        """A statement of a transaction ran; the next one may go."""
        self.finish(
            job,
            Answer(
                request=job.request.id,
                outcome=Outcome.DONE,
                result=result,
                tx=job.request.tx,
            ),
        )
        self.next_in_transaction(job.request.tx)

    def next_in_transaction(self, name):
        """Start a transaction's next waiting statement."""
        tx = self.transactions.open.get(name)
        if tx is None:
            return
        tx.busy = False
        tx.touched = self.ctx.now
        while tx.waiting:
            job = tx.waiting.popleft()
            if job.closed:
                continue
            if job.request.verb is Verb.ROLLBACK:
                self.roll_back(job)
                return
            tx.busy = True
            self.urgent.append(job)
            return

    def committed(self, job, operation, result, position):
        """A write is in the primary's log; it waits for its majority."""
        self.view.observed(
            sent_at=operation.sent_at, position=position, by=operation.upstream
        )
        self.recent.wrote(job.caller, position)
        self.recent.wrote((job.request.member, ""), position)
        if job.closed:
            return
        self.writes.add(
            job, result=result, position=position, served_by=operation.upstream
        )
        self.confirm_writes()

    def confirm_writes(self):
        """Answer the writes that a majority holds by now."""
        for job in self.writes.take_confirmed():
            if job.closed:
                continue
            if job.settling and job.result is None:
                self.refuse(job, Reason.CANCELLED, "it was not run and never will be")
                continue
            self.finish(job, answer_done(job))

    def on_settled(self, operation, event):
        """The ledger decided a key; the decision needs a majority as well."""
        self.failover.heard(operation.upstream)
        job = operation.job
        job.settling = True
        if job.closed:
            return
        self.writes.add(
            job,
            result=event.result,
            position=event.position,
            served_by=operation.upstream,
        )
        self.confirm_writes()

    def on_failed(self, operation, event):
        """An operation failed: decide whether to answer, retry or suspect."""
        self.answer_asker(operation, heard=False)
        if operation.work is Work.CLAIM:
            self.claim.failed()
            self.doubt(operation.upstream)
        if operation.work in (Work.FENCE, Work.PROMOTE):
            self.failover.verb_failed(operation.upstream, operation.term)
        job = operation.job
        if job is None:
            self.failover.check()
            return
        if event.reason is not None:
            self.failover.heard(operation.upstream)
        elif not event.stale and not event.claim_lost:
            self.doubt(operation.upstream)
        if operation.work in (Work.TX_RUN, Work.TX_COMMIT):
            self.transaction_failed(operation, event)
            return
        if job.closed:
            return
        if event.reason is not None:
            self.refuse(job, event.reason, event.detail, peer=operation.upstream)
            return
        if event.silent and not self.failover.suspicious(operation.upstream):
            self.ctx.emit(
                DropConnections(database=self.spec.name, upstream=operation.upstream)
            )
        if event.stale or event.claim_lost:
            self.lost_claim(operation.upstream)
        if not event.sent:
            job.maybe_run = operation.maybe_run_before
        self.try_again(operation, event.detail)

    def doubt(self, upstream):
        """An operation failed without a verdict: ask for a sign of life first."""
        self.failover.doubt(upstream)
        self.probe(upstream)

    def lost_claim(self, upstream):
        """Another daemon claimed the group: look before claiming it back."""
        self.claim.lost()
        self.probe(upstream)

    def try_again(self, operation, detail):
        """Requeue a job: reads are harmless, the ledger guards the writes."""
        job = operation.job
        if job.request.verb in (Verb.TX_QUERY, Verb.ROLLBACK):
            self.refuse(job, Reason.TRANSACTION_LOST, detail, peer=operation.upstream)
            return
        if job.request.verb is Verb.COMMIT:
            self.run_again(job)
            return
        if not self.budget.withdraw():
            self.refuse(
                job,
                Reason.RETRY_BUDGET,
                detail,
                peer=operation.upstream,
                retry_after=RETRY_SOON,
            )
            return
        if job.is_read:
            self.place_read(job)
            return
        self.run_again(job)

    def run_again(self, job):
        """Queue a job whose first attempt may have taken effect.

        A write runs again under its key. A commit cannot: its transaction died
        with its connection, so only the ledger can tell what became of it.
        """
        if job.request.verb is Verb.COMMIT:
            self.transactions.drop(job.request.tx)
            self.settle(job)
            return
        self.queue_primary(job, first=True)

    def transaction_failed(self, operation, event):
        """A statement or commit failed inside a transaction."""
        job = operation.job
        name = job.request.tx
        tx = self.transactions.open.get(name)
        if operation.work is Work.TX_RUN and event.reason is Reason.SQL_ERROR:
            if not job.closed:
                self.refuse(job, event.reason, event.detail, peer=operation.upstream)
            self.next_in_transaction(name)
            return
        if tx and event.claim_lost and not job.closed:
            self.commit_again(job, operation)
            return
        if tx:
            self.transactions.drop(name)
            self.abort(tx)
        if job.closed:
            return
        unclear = event.sent and operation.work is Work.TX_COMMIT
        if unclear and event.reason is None:
            self.settle(job)
            return
        job.maybe_run = operation.maybe_run_before
        if event.stale:
            self.lost_claim(operation.upstream)
        reason = event.reason or Reason.TRANSACTION_LOST
        self.refuse(job, reason, event.detail, peer=operation.upstream)

    def commit_again(self, job, operation):
        """Claim the group back and repeat a commit; its transaction is still open.

        What goes wrong otherwise: another home takes over, in a drain or because
        the list changed, and every transaction open here fails at its commit.
        """
        job.maybe_run = operation.maybe_run_before
        self.lost_claim(operation.upstream)
        self.urgent.append(job)

    # Ends

    def on_timer(self, timer):
        """A timer of this home is due."""
        if timer.part == FAILOVER_PART:
            self.failover.check()
            self.pump()
        elif timer.part == DEADLINE:
            self.deadline_over(timer.detail)
        elif timer.part == CATCH_UP:
            self.waited_enough(timer.detail)
        elif timer.detail == ROUND:
            self.round_set = False
            if self.awaiting or self.writes.unconfirmed:
                self.ensure_round()
        elif timer.detail == POLL:
            self.poll()

    def waited_enough(self, request_id):
        """The bounded wait for a replica is over."""
        job = self.jobs.get(request_id)
        if job is None or job not in self.awaiting:
            return
        self.awaiting.remove(job)
        self.place_read(job)
        self.pump()

    def deadline_over(self, request_id):
        """Answer at the deadline, truthfully: not run, or unknown."""
        job = self.jobs.get(request_id)
        if job is None or job.closed:
            return
        running = job.op in self.operations
        if running:
            self.abort_transaction_of(job)
        self.refuse(
            job,
            Reason.DEADLINE,
            f"the deadline was over at step {job.step}",
            unclear=running,
        )

    def abort_transaction_of(self, job):
        """End the transaction whose statement outlived its caller's deadline."""
        tx = self.transactions.drop(job.request.tx)
        if tx:
            self.abort(tx)

    def end_idle_transactions(self):
        """Roll back the transactions of callers that have gone."""
        for tx in self.transactions.idle(self.ctx.now, self.ctx.tuning.tx_idle):
            self.transactions.drop(tx.tx)
            self.ctx.log(PART, f"{self.spec.name}: rolled back idle transaction")
            self.abort(tx)

    def refuse(self, job, reason, detail, retry_after=0.0, *, peer="", unclear=False):
        """Answer that a request was not run, or that this is not known."""
        asks = job.request.verb is Verb.OUTCOME
        known = not job.maybe_run and not unclear and not asks
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
        """Strike a job off the book; nothing more is answered for it."""
        job.closed = True
        self.jobs.pop(job.request.id, None)

    def finish(self, job, answer):
        """Give a job its one final answer."""
        if job.closed:
            return
        self.close(job)
        self.office.deliver(job.origin, answer)

    # Drain

    def hand_over(self, to):
        """Send everything that has not started to the next home."""
        waiting = self.primary_queue.remove_if(lambda job: not job.settling)
        waiting += self.replica_queue.remove_if(lambda job: True)
        waiting += self.awaiting
        waiting += self.held
        self.awaiting = []
        self.held.clear()
        for job in waiting:
            if job.closed:
                continue
            self.close(job)
            self.office.redirect(job.origin, job.request.id, to)

    def end_transactions(self):
        """Roll back all open transactions."""
        for tx in list(self.transactions.open.values()):
            self.transactions.drop(tx.tx)
            self.abort(tx)

    # Surroundings of the failover machine

    def monitors(self):
        """Other daemons to ask about the primary."""
        return self.office.monitors(self.spec.name)

    def upstream_leaving(self, upstream):
        """Tell whether an upstream leaves."""
        return self.office.upstream_leaving(upstream)

    def describe(self):
        """What an operator wants to know of this home."""
        return describe_home(self)
