"""Checks the guarantees of a soak run on what callers and upstreams observed."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from soak.workspaces import workspace_of
from tests.guarantees import GuaranteeChecker

# Seconds after which a leaving upstream gets no new work: the daemons' own limit plus
# one second for the update from the store.
DRAIN_TIMEOUT = 8.0
# A statement that is sent while a draining daemon closes its idle connection is never
# read: the connection ends within this many seconds, and the statement doesn't run. A
# daemon can't prevent this race, as the protocol has no message that announces a drain.
CLOSE_RACE_WINDOW = 0.2
# A failure counts only after this many seconds without unplanned faults.
FAULT_FREE_PERIOD = 5.0
# A daemon that was told to stop opens transactions until it closes its sessions. Those
# opened this many seconds after the signal, when its load balancer has noticed, may not
# have enough time to end.
DRAIN_DETECTION_TIME = 2.2
# Upper bounds of the response time histograms, seconds.
BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionValues:
    """All values of a session after a SET, and when it was sent and acknowledged."""

    sent_at: float
    acked_at: float
    values: dict[str, str]


@dataclass(slots=True, kw_only=True)
class StatementChecker(GuaranteeChecker):
    """Checks statements, drains, configurations and answers; `broken` has the findings.

    Times are of the monotonic clock. `fault_free_since` is the end of the last
    unplanned fault, infinite during one; `leaving_since` is when members were listed as
    leaving, `draining_since` when daemons were told to stop. `presumed_unread` has
    the statements that were excused because they met the close of an idle connection.
    """

    sent: set[str] = field(default_factory=set)
    session_values: dict[str, list[SessionValues]] = field(default_factory=dict)
    fault_free_since: float = 0.0
    leaving_since: dict[str, float] = field(default_factory=dict)
    draining_since: dict[str, float] = field(default_factory=dict)
    statement_count: int = 0
    executed: set[str] = field(default_factory=set)
    presumed_unread: set[str] = field(default_factory=set)

    def record_set(self, session, name, value, sent_at):
        """Record that a caller got the acknowledgement of a SET."""
        history = self.session_values.setdefault(session, [])
        before = history[-1].values if history else {}
        history.append(
            SessionValues(
                sent_at=sent_at,
                acked_at=time.monotonic(),
                values={**before, name: value},
            )
        )

    def values_match(self, session, values, at):
        """Return whether a session may have had these values at a time.

        Events of upstreams and answers to callers come from different processes, in any
        order; between a SET and its acknowledgement both states are valid.
        """
        states = [({}, 0.0)]
        states += [
            (item.values, item.sent_at) for item in self.session_values.get(session, ())
        ]
        ends = [item.acked_at for item in self.session_values.get(session, ())]
        ends.append(float("inf"))
        return any(
            values == state and started_at <= at <= end
            for (state, started_at), end in zip(states, ends, strict=True)
        )

    def handle_event(self, line):
        """Check a statement that an upstream ran, as the stand-ins report it."""
        request, member = line["request"], line["member"]
        if request not in self.sent:
            self.broken.append(f"UNASKED {request} at {member}")
            return
        if line["event"] == "read":
            self.read_ran(request, member, set(line["lacks"]))
            return
        self.statement_count += 1
        self.executed.add(request)
        if request in self.presumed_unread:
            self.broken.append(f"LOST {request}: it ran, and its answer was cut")
        self.ran(
            request,
            request.rpartition("-")[0],
            conn=line["conn"],
            values=line["values"],
            in_transaction=line["in_transaction"],
            at=line["at"],
        )
        self.check_leaving(request, member, line)
        self.check_workspace(request, member, line)

    def check_workspace(self, request, member, line):
        """Check that a statement ran with the workspace of its caller."""
        own = workspace_of(request.rpartition("-")[0])
        if line["workspace"] != own:
            self.broken.append(
                f"UNASKED {request} at {member}: as {line['workspace']}, not {own}"
            )

    def check_leaving(self, request, member, line):
        """Check that single statements don't run at a member past its drain limit."""
        since = self.leaving_since.get(member)
        if since is None or line["in_transaction"]:
            return
        limit = max(since + DRAIN_TIMEOUT, self.fault_free_since + FAULT_FREE_PERIOD)
        if line["at"] > limit:
            self.broken.append(f"DRAIN {request}: {member} leaves since {since:.2f}")

    def check_answer(self, request, text, rows, end, proof):
        """Check that an answer belongs to the caller's statement."""
        word = text.split(" ")[0]
        if end != "COMPLETE" or word not in ("READ", "WRITE", "EXECUTE"):
            return
        if proof.partition(":")[2] != request:
            self.broken.append(f"MIXED {request}: answered with the proof {proof}")
        if word != "WRITE" and len(rows) != 1:
            self.broken.append(f"MIXED {request}: {len(rows)} rows")

    def opens_late(self, daemon):
        """Return whether a daemon drains for so long that its balancer has noticed."""
        started_at = self.draining_since.get(daemon.name)
        return (
            started_at is not None
            and time.monotonic() - started_at > DRAIN_DETECTION_TIME
        )

    def check_transaction_end(self, request, end, late=False):
        """Check that a statement in a transaction failed only because of a fault.

        A transaction that was open when its daemon was told to stop has most of the
        grace period to end, and transactions here take a second. One that was opened
        `late` may not have that time and is excused.
        """
        calm = time.monotonic() - self.fault_free_since > FAULT_FREE_PERIOD
        if calm and not late and not self.leaving_since and end != "COMPLETE":
            self.broken.append(f"ENDED {request}: {end} while all was calm")

    def check_disconnect(self, daemon, request, sent_at):
        """Check that a drain didn't end a connection with an unanswered statement."""
        now, started_at = time.monotonic(), self.draining_since.get(daemon.name)
        if started_at is None or now - started_at > FAULT_FREE_PERIOD:
            return
        if now - self.fault_free_since <= FAULT_FREE_PERIOD:
            return
        if now - sent_at <= CLOSE_RACE_WINDOW and request not in self.executed:
            self.presumed_unread.add(request)
            return
        self.broken.append(f"LOST {request}: cut by the drain of {daemon.name}")


class AnswerStats:
    """Counts and response times of answers, by kind of statement."""

    def __init__(self):
        self.outcomes = Counter()
        self.buckets = defaultdict(Counter)

    def record(self, text, end, seconds):
        """Count an answer."""
        word = text.split(" ")[0]
        self.outcomes[word, end] += 1
        if end == "COMPLETE":
            bound = next((b for b in BUCKETS if seconds <= b), float("inf"))
            self.buckets[word][bound] += 1

    def lines(self):
        """Yield the counts and a histogram of each kind as lines of text."""
        for (word, end), number in sorted(self.outcomes.items()):
            yield f"{word:9} {end:10} {number:7}"
        for word, counts in sorted(self.buckets.items()):
            cells = (f"<{bound}s:{counts[bound]}" for bound in sorted(counts))
            yield f"{word:9} {' '.join(cells)}"
