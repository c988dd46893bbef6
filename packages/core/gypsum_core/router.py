"""Routing of callers' requests to their home, and of the answers back."""

from dataclasses import dataclass, field, replace

from gypsum_core.actions import DropLink, Reply
from gypsum_core.checks import check_request
from gypsum_core.load import DEFAULT_RETRY_AFTER
from gypsum_core.messages import Forward
from gypsum_core.records import Answer, Mode, Outcome, Reason, Request, Verb

PART = "entry"
CHECK_INTERVAL = 0.1
DEADLINE_GRACE = 0.05
IN_TRANSACTION = frozenset({Verb.TX_QUERY, Verb.COMMIT, Verb.ROLLBACK})


@dataclass(slots=True, kw_only=True)
class PendingRequest:
    """A request without an answer yet; once `sent`, a home may have run it."""

    request: Request
    received_at: float
    max_age_ms: float = float("inf")
    target: str = ""
    sent: bool = False
    tried: set[str] = field(default_factory=set)


class RequestRouter:
    """Forwards requests to homes, retries where safe, answers each caller once."""

    def __init__(self, *, ctx, peers, node):
        self.ctx = ctx
        self.peers = peers
        self.node = node
        self.pending = {}
        self.check_scheduled = False

    def submit(self, request):
        """Validate a caller's request and forward it to its home."""
        spec = self.node.spec(request.database)
        if spec is None:
            self.reject(request, f"unknown database {request.database!r}")
            return
        problem = check_request(spec, request)
        if problem:
            self.reject(request, problem)
            return
        if request.deadline <= self.ctx.now:
            self.refuse(request, Reason.DEADLINE, "the deadline was over on arrival")
            return
        self.pending[request.id] = PendingRequest(
            request=request,
            received_at=self.ctx.now,
            max_age_ms=max_age_for(spec, request),
        )
        self.ctx.set_timer(
            request.deadline + DEADLINE_GRACE - self.ctx.now,
            part=PART,
            detail=request.id,
        )
        self.forward(self.pending[request.id])

    def reject(self, request, problem):
        """Answer an invalid request."""
        self.refuse(request, Reason.BAD_REQUEST, problem)

    def refuse(
        self, request, reason, detail, *, retry_after=0.0, outcome_unknown=False
    ):
        """Answer that a request was not run, or that its outcome is unknown.

        A failed outcome query is always answered as unknown: its caller would take
        "not run" as the outcome of the write with that key.
        """
        outcome_unknown = outcome_unknown or request.verb is Verb.OUTCOME
        self.reply(
            Answer(
                request=request.id,
                outcome=Outcome.UNKNOWN if outcome_unknown else Outcome.NOT_RUN,
                reason=reason,
                detail=detail,
                step=PART,
                peer=self.ctx.daemon,
                retry_after_s=retry_after,
                key=request.key,
                tx=request.tx,
            )
        )

    def reply(self, answer):
        """Send the caller its final answer."""
        self.pending.pop(answer.request, None)
        self.ctx.emit(Reply(answer=answer))

    def on_caller_gone(self, request_id):
        """Forget a request whose caller has disconnected."""
        self.pending.pop(request_id, None)

    # Routing

    def forward(self, pending, to=""):
        """Send a request to its home, the first usable daemon in the order."""
        request = pending.request
        if request.verb in IN_TRANSACTION:
            self.forward_in_transaction(pending)
            return
        target = to or self.next_target(pending)
        if not target:
            self.fail(
                pending, Reason.NO_HOME, "no daemon for the database is reachable"
            )
            return
        self.send_to_home(pending, target)

    def next_target(self, pending):
        """Return the first usable daemon in the order that was not tried yet.

        If none is usable, returns the first untried one: a link that broke a moment
        ago may be open again. Returns an empty string if all were tried.
        """
        order = self.node.order(pending.request.database)
        untried = [name for name in order if name not in pending.tried]
        if self.ctx.draining:
            untried = [name for name in untried if name != self.ctx.daemon]
        for daemon in untried:
            if daemon == self.ctx.daemon or self.peers.usable(daemon):
                return daemon
        return untried[0] if untried else ""

    def forward_in_transaction(self, pending):
        """Send a statement to the daemon that holds its transaction's connection."""
        owner = pending.request.tx.partition(".")[0]
        known = owner == self.ctx.daemon or self.node.is_daemon(owner)
        if owner not in pending.tried and known:
            self.send_to_home(pending, owner)
            return
        if pending.request.verb is Verb.COMMIT:
            # The commit may have taken effect before its daemon was lost. The
            # outcome is in the ledger, which any home can query.
            pending.request = replace(
                pending.request, verb=Verb.OUTCOME, tx="", kind=""
            )
            pending.tried.clear()
            self.forward(pending)
            return
        self.refuse(
            pending.request, Reason.TRANSACTION_LOST, "its daemon is not reachable"
        )

    def send_to_home(self, pending, target):
        """Send a request to a home on this or another daemon."""
        pending.target = target
        pending.tried.add(target)
        if target == self.ctx.daemon:
            pending.sent = True
            self.node.serve(pending.request, self.ctx.daemon)
            return
        pending.sent = True
        left = pending.request.deadline - self.ctx.now
        self.ctx.send(target, Forward(request=replace(pending.request, deadline=left)))
        self.schedule_check()

    def fail(self, pending, reason, detail):
        """Refuse a request that no home can serve."""
        self.refuse(
            pending.request,
            reason,
            detail,
            retry_after=DEFAULT_RETRY_AFTER,
            outcome_unknown=pending.sent,
        )

    # Answers

    def on_answer(self, answer):
        """Pass on a home's final answer; drop later ones for the same request."""
        pending = self.pending.get(answer.request)
        if pending is None:
            return
        if self.is_too_old(pending, answer):
            pending.request = replace(pending.request, current=True)
            pending.tried.clear()
            self.forward(pending)
            return
        self.reply(answer)

    def is_too_old(self, pending, answer):
        """Return whether an answer's data may have become too old on its way.

        An answer delayed in a suspended process or on a slow link would otherwise
        be passed on as if it were still within the maximum age.
        """
        if answer.outcome is not Outcome.DONE or answer.current:
            return False
        elapsed = self.ctx.now - pending.received_at
        return answer.age_ms + elapsed * 1000 > pending.max_age_ms

    def on_redirect(self, request_id, to):
        """Forward a request that its home redirected to another daemon."""
        pending = self.pending.get(request_id)
        if pending is None:
            return
        request = pending.request
        if request.hops >= self.ctx.tuning.max_hops:
            self.fail(pending, Reason.NO_HOME, "no daemon could serve the database")
            return
        pending.request = replace(request, hops=request.hops + 1)
        usable = to == self.ctx.daemon or (to and self.peers.usable(to))
        self.forward(pending, to=to if usable else "")

    def on_peer_lost(self, peer):
        """Forward the requests of a lost or silent daemon to the next in the order.

        A write may have run there already. It is sent under the same ledger key, so
        it takes effect only once.
        """
        for pending in [item for item in self.pending.values() if item.target == peer]:
            self.forward(pending)

    # Liveness of homes

    def schedule_check(self):
        """Schedule a liveness check of the daemons that requests wait for."""
        if self.check_scheduled:
            return
        self.check_scheduled = True
        self.ctx.set_timer(CHECK_INTERVAL, part=PART)

    def on_timer(self, timer):
        """Handle a request's deadline or the liveness check of homes."""
        if timer.detail:
            self.on_deadline(timer.detail)
            return
        self.check_scheduled = False
        targets = {pending.target for pending in self.pending.values()}
        targets.discard(self.ctx.daemon)
        for target in targets:
            if not self.peers.check_alive(target):
                self.ctx.log(
                    PART,
                    f"{target} is silent, forwarding its requests to other daemons",
                )
                self.ctx.emit(DropLink(peer=target))
                self.peers.on_link_lost(target)
                self.on_peer_lost(target)
        if targets:
            self.schedule_check()

    def on_deadline(self, request_id):
        """Refuse a request whose home did not answer in time."""
        pending = self.pending.get(request_id)
        if pending is None:
            return
        due_at = pending.request.deadline + DEADLINE_GRACE
        self.ctx.log(
            PART,
            f"{request_id}: no answer from {pending.target}, "
            f"timer_late_ms={(self.ctx.now - due_at) * 1000:.0f}",
        )
        self.refuse(
            pending.request,
            Reason.DEADLINE,
            f"{pending.target} did not answer in time",
            outcome_unknown=pending.sent,
        )


def max_age_for(spec, request):
    """Return the maximum age of the answer's data in milliseconds."""
    kind = spec.kind_by_name.get(request.kind)
    if request.verb is not Verb.QUERY or kind is None or kind.mode is not Mode.READ:
        return float("inf")
    return kind.max_age_ms
