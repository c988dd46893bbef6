"""What callers and upstreams of a soak saw, and the promises that it breaks."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from soak.workspaces import workspace_of
from tests.guarantees import GuaranteeChecker

# A leaving upstream takes no new work after this, seconds: the daemons' own limit, and
# a second for the store's news.
DRAIN_LIMIT = 8.0
# A statement that meets the close of its idle connection was never read: it is cut
# within this, seconds, and does not run. No daemon can prevent it: some caller always
# speaks at that moment, and the wire has no word for leaving.
LOST_SLACK = 0.2
# Nothing but planned work for this long before a cut counts, seconds.
CALM_FOR = 5.0
# A daemon that was told to stop opens transactions for its callers until its sessions
# are closed; those that come after its balancer has noticed may not have time to end,
# seconds after it was told.
NOTICED = 2.2
# Bounds of the histograms of answers, seconds.
BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """A value that a session has set: when it was sent and acknowledged."""

    sent_at: float
    acked_at: float
    values: dict[str, str]


@dataclass(slots=True, kw_only=True)
class Book(GuaranteeChecker):
    """The promises of statements, and those of drains, configurations and answers.

    `calm_since` is since when no trouble was on, infinite during one; `leaving` is when
    members said that they leave.
    """

    sent: set[str] = field(default_factory=set)
    settings: dict[str, list[Setting]] = field(default_factory=dict)
    calm_since: float = 0.0
    leaving: dict[str, float] = field(default_factory=dict)
    draining: dict[str, float] = field(default_factory=dict)
    ran_count: int = 0
    run_requests: set[str] = field(default_factory=set)
    unread: set[str] = field(default_factory=set)

    def set(self, session, name, value, sent_at):
        """A caller was told that a value of its session is set."""
        known = self.settings.setdefault(session, [])
        before = known[-1].values if known else {}
        known.append(
            Setting(
                sent_at=sent_at,
                acked_at=time.monotonic(),
                values={**before, name: value},
            )
        )

    def values_match(self, session, values, at):
        """Tell whether a session had these values at a time.

        What upstreams ran is told by another process than what callers heard, so the
        one may come before the other; while a value is being set both states are right.
        """
        states = [({}, 0.0)]
        states += [
            (item.values, item.sent_at) for item in self.settings.get(session, ())
        ]
        ends = [item.acked_at for item in self.settings.get(session, ())]
        ends.append(float("inf"))
        return any(
            values == state and began <= at <= end
            for (state, began), end in zip(states, ends, strict=True)
        )

    def heard(self, line):
        """The stand-ins tell what an upstream ran."""
        request, member = line["request"], line["member"]
        if request not in self.sent:
            self.broken.append(f"UNASKED {request} at {member}")
            return
        if line["event"] == "read":
            self.read_ran(request, member, set(line["lacks"]))
            return
        self.ran_count += 1
        self.run_requests.add(request)
        if request in self.unread:
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
        """Statements run in the name of their caller's workspace."""
        own = workspace_of(request.rpartition("-")[0])
        if line["workspace"] != own:
            self.broken.append(
                f"UNASKED {request} at {member}: as {line['workspace']}, not {own}"
            )

    def check_leaving(self, request, member, line):
        """Single statements reach no upstream that has been leaving for long."""
        left_at = self.leaving.get(member)
        if left_at is None or line["in_transaction"]:
            return
        if line["at"] > max(left_at, self.calm_since) + DRAIN_LIMIT:
            self.broken.append(f"DRAIN {request}: {member} leaves since {left_at:.2f}")

    def answered(self, request, text, rows, end, proof):
        """A caller got an answer: is it the one to its own statement?"""
        word = text.split(" ")[0]
        if end != "COMPLETE" or word not in ("READ", "WRITE", "EXECUTE"):
            return
        if proof.partition(":")[2] != request:
            self.broken.append(f"MIXED {request}: answered with the proof {proof}")
        if word != "WRITE" and len(rows) != 1:
            self.broken.append(f"MIXED {request}: {len(rows)} rows")

    def late(self, daemon):
        """Tell whether a caller comes to a daemon that its balancer has left."""
        began = self.draining.get(daemon.name)
        return began is not None and time.monotonic() - began > NOTICED

    def ended(self, request, end, late=False):
        """A statement inside a transaction failed: only troubles may do that.

        One that was open when a daemon was told to stop has most of the grace to end,
        and transactions here take a second. Not so one that was begun `late`.
        """
        calm = time.monotonic() - self.calm_since > CALM_FOR
        if calm and not late and not self.leaving and end != "COMPLETE":
            self.broken.append(f"ENDED {request}: {end} while all was calm")

    def cut(self, daemon, request, sent_at):
        """A connection ended before an answer: only troubles may do that."""
        now, began = time.monotonic(), self.draining.get(daemon.name)
        if began is None or now - began > CALM_FOR:
            return
        if now - self.calm_since <= CALM_FOR:
            return
        if now - sent_at <= LOST_SLACK and request not in self.run_requests:
            self.unread.add(request)
            return
        self.broken.append(f"LOST {request}: cut by the drain of {daemon.name}")


class Stats:
    """Counts and times of answers, by kind of statement."""

    def __init__(self):
        self.ends = Counter()
        self.buckets = defaultdict(Counter)

    def answered(self, text, end, seconds):
        """One answer."""
        word = text.split(" ")[0]
        self.ends[word, end] += 1
        if end == "COMPLETE":
            bound = next((b for b in BUCKETS if seconds <= b), float("inf"))
            self.buckets[word][bound] += 1

    def lines(self):
        """The counts, and a histogram of each kind."""
        for (word, end), number in sorted(self.ends.items()):
            yield f"{word:9} {end:10} {number:7}"
        for word, counts in sorted(self.buckets.items()):
            cells = (f"<{bound}s:{counts[bound]}" for bound in sorted(counts))
            yield f"{word:9} {' '.join(cells)}"
