"""The entry: takes callers' requests to their home and answers them once."""

from dataclasses import dataclass, field, replace

from gypsum_core.actions import DropLink, Reply
from gypsum_core.checks import check_request
from gypsum_core.limits import DEFAULT_RETRY_AFTER
from gypsum_core.messages import Forward
from gypsum_core.records import Answer, Mode, Outcome, Reason, Request, Verb

PART = "entry"
CHECK_INTERVAL = 0.1
GRACE = 0.05
IN_TRANSACTION = frozenset({Verb.TX_QUERY, Verb.COMMIT, Verb.ROLLBACK})


@dataclass(slots=True, kw_only=True)
class Flight:
    """A request on its way. `sent` says that a home may have worked on it."""

    request: Request
    since: float
    max_age_ms: float = float("inf")
    target: str = ""
    sent: bool = False
    tried: set[str] = field(default_factory=set)


class Entry:
    """Forwards requests to homes, retries where that is safe, answers callers."""

    def __init__(self, *, ctx, peers, office):
        self.ctx = ctx
        self.peers = peers
        self.office = office
        self.flights = {}
        self.checking = False

    def submit(self, request):
        """Take a caller's request."""
        spec = self.office.spec(request.database)
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
        self.flights[request.id] = Flight(
            request=request,
            since=self.ctx.now,
            max_age_ms=max_age_of(spec, request),
        )
        self.ctx.set_timer(
            request.deadline + GRACE - self.ctx.now, part=PART, detail=request.id
        )
        self.forward(self.flights[request.id])

    def reject(self, request, problem):
        """Answer a request that is wrong in itself."""
        self.refuse(request, Reason.BAD_REQUEST, problem)

    def refuse(self, request, reason, detail, *, retry_after=0.0, unclear=False):
        """Answer that a request was not run, or that this is not known.

        Who asks for an outcome and does not learn it knows nothing: "not run" would
        speak of the write that the key stands for.
        """
        unclear = unclear or request.verb is Verb.OUTCOME
        self.reply(
            Answer(
                request=request.id,
                outcome=Outcome.UNKNOWN if unclear else Outcome.NOT_RUN,
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
        """Give the caller its one answer."""
        self.flights.pop(answer.request, None)
        self.ctx.emit(Reply(answer=answer))

    def gone(self, request_id):
        """The caller hung up: nobody waits for the answer."""
        self.flights.pop(request_id, None)

    # Routing

    def forward(self, flight, to=""):
        """Send a request to its home: the first usable daemon of the order."""
        request = flight.request
        if request.verb in IN_TRANSACTION:
            self.forward_in_transaction(flight)
            return
        target = to or self.next_target(flight)
        if not target:
            self.drop(flight, Reason.NO_HOME, "no daemon for the database is reachable")
            return
        self.dispatch(flight, target)

    def next_target(self, flight):
        """The first usable daemon of the order that was not tried yet.

        When none is, the first that was not tried: a link that broke a moment ago
        may be open again, and nothing is lost by asking.
        """
        order = self.office.order(flight.request.database)
        fresh = [name for name in order if name not in flight.tried]
        if self.ctx.draining:
            fresh = [name for name in fresh if name != self.ctx.daemon]
        for daemon in fresh:
            if daemon == self.ctx.daemon or self.peers.usable(daemon):
                return daemon
        return fresh[0] if fresh else ""

    def forward_in_transaction(self, flight):
        """Send a statement to the daemon that holds its transaction's connection."""
        owner = flight.request.tx.partition(".")[0]
        known = owner == self.ctx.daemon or self.office.is_daemon(owner)
        if owner not in flight.tried and known:
            self.dispatch(flight, owner)
            return
        if flight.request.verb is Verb.COMMIT:
            # The commit may have taken effect before its daemon went: only the
            # ledger knows. Any home can ask it.
            flight.request = replace(flight.request, verb=Verb.OUTCOME, tx="", kind="")
            flight.tried.clear()
            self.forward(flight)
            return
        self.refuse(
            flight.request, Reason.TRANSACTION_LOST, "its daemon is not reachable"
        )

    def dispatch(self, flight, target):
        """Hand a request to a home, here or on another daemon."""
        flight.target = target
        flight.tried.add(target)
        if target == self.ctx.daemon:
            flight.sent = True
            self.office.serve(flight.request, self.ctx.daemon)
            return
        flight.sent = True
        left = flight.request.deadline - self.ctx.now
        self.ctx.send(target, Forward(request=replace(flight.request, deadline=left)))
        self.watch()

    def drop(self, flight, reason, detail):
        """Give up on a request that no home can take."""
        self.refuse(
            flight.request,
            reason,
            detail,
            retry_after=DEFAULT_RETRY_AFTER,
            unclear=flight.sent,
        )

    # Answers

    def answered(self, answer):
        """A home gave its final answer; a second one for the request is dropped."""
        flight = self.flights.get(answer.request)
        if flight is None:
            return
        if self.too_old(flight, answer):
            flight.request = replace(flight.request, current=True)
            flight.tried.clear()
            self.forward(flight)
            return
        self.reply(answer)

    def too_old(self, flight, answer):
        """Tell whether an answer may have aged too much on its way.

        What goes wrong without it: an answer lies in a stopped process or a slow
        link and is passed on as if it were still young enough.
        """
        if answer.outcome is not Outcome.DONE or answer.current:
            return False
        waited = self.ctx.now - flight.since
        return answer.age_ms + waited * 1000 > flight.max_age_ms

    def redirected(self, request_id, to):
        """A home cannot serve the request and knows who might."""
        flight = self.flights.get(request_id)
        if flight is None:
            return
        request = flight.request
        if request.hops >= self.ctx.tuning.max_hops:
            self.drop(flight, Reason.NO_HOME, "no daemon could serve the database")
            return
        flight.request = replace(request, hops=request.hops + 1)
        usable = to == self.ctx.daemon or (to and self.peers.usable(to))
        self.forward(flight, to=to if usable else "")

    def peer_down(self, peer):
        """A daemon went away or silent: its requests go to the next in the order.

        A write may have been run there. It goes on under the same ledger key, so
        that it takes effect once, wherever the two attempts meet.
        """
        for flight in [item for item in self.flights.values() if item.target == peer]:
            self.forward(flight)

    # Watching homes

    def watch(self):
        """Look after the daemons that requests are waiting for."""
        if self.checking:
            return
        self.checking = True
        self.ctx.set_timer(CHECK_INTERVAL, part=PART)

    def on_timer(self, timer):
        """A deadline is over, or it is time to look after the homes."""
        if timer.detail:
            self.deadline_over(timer.detail)
            return
        self.checking = False
        targets = {flight.target for flight in self.flights.values()}
        targets.discard(self.ctx.daemon)
        for target in targets:
            if not self.peers.check(target):
                self.ctx.log(PART, f"{target} is silent, its requests move on")
                self.ctx.emit(DropLink(peer=target))
                self.peers.lost(target)
                self.peer_down(target)
        if targets:
            self.watch()

    def deadline_over(self, request_id):
        """The home did not answer in time."""
        flight = self.flights.get(request_id)
        if flight is None:
            return
        self.refuse(
            flight.request,
            Reason.DEADLINE,
            f"{flight.target} did not answer in time",
            unclear=flight.sent,
        )


def max_age_of(spec, request):
    """The age in milliseconds that the answer's data may have."""
    kind = spec.kind_by_name.get(request.kind)
    if request.verb is not Verb.QUERY or kind is None or kind.mode is not Mode.READ:
        return float("inf")
    return kind.max_age_ms
