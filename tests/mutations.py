"""Deliberate faults in the logic, at least one for each guarantee.

They verify that the checker can fail: tests/test_mutations.py runs each mutation
and expects the checker to report the guarantee that it violates.
"""

from gypsum_core.drain import Drain
from gypsum_core.election import Election
from gypsum_core.group import GroupView
from gypsum_core.home import Home
from gypsum_core.manifests import Manifests
from gypsum_core.node import Node
from gypsum_core.readplacer import ReadPlacer
from gypsum_core.records import Outcome
from gypsum_core.responses import ResponseHandler
from gypsum_core.router import RequestRouter


def ignore_session_positions(patch):
    """Reads ignore the position of the caller's last write."""
    patch.setattr(ReadPlacer, "recent_writes_known", lambda self, job, claimed: True)
    patch.setattr(
        ReadPlacer,
        "floor",
        lambda self, job: type(self.recent_writers.floor)(term=0, index=0),
    )


def acknowledge_unconfirmed_writes(patch):
    """A write counts as confirmed as soon as its primary has it."""
    patch.setattr(GroupView, "is_confirmed", lambda self, position, by: True)


def share_transactions(patch):
    """All callers share one transaction."""
    token = "shared"
    patch.setattr("gypsum_core.context.Context.random_token", lambda self: token)


def swap_answers(patch):
    """Two answers are swapped."""
    original = RequestRouter.reply
    held = []

    def reply(self, answer):
        from dataclasses import replace

        if answer.result is None or not answer.result.rows:
            original(self, answer)
            return
        held.append((self, answer))
        if len(held) == 2:
            (one, first), (two, second) = held
            held.clear()
            original(one, replace(first, result=second.result))
            original(two, replace(second, result=first.result))

    patch.setattr(RequestRouter, "reply", reply)


def report_unknown_as_not_run(patch):
    """An unknown outcome is answered as not run."""
    original = Home.finish

    def finish(self, job, answer):
        from dataclasses import replace

        if answer.outcome is Outcome.UNKNOWN:
            answer = replace(answer, outcome=Outcome.NOT_RUN)
        original(self, job, answer)

    patch.setattr(Home, "finish", finish)


def retry_under_new_keys(patch):
    """A retry takes another key."""
    original = ResponseHandler.requeue

    def requeue(self, job):
        from dataclasses import replace

        job.request = replace(job.request, key=job.request.key + "-again")
        original(self, job)

    patch.setattr(ResponseHandler, "requeue", requeue)


def ignore_leaving(patch):
    """Upstreams that are marked as leaving are used like any other."""
    patch.setattr(Node, "upstream_leaving", lambda self, upstream: False)


def exit_drain_immediately(patch):
    """A drain exits without waiting."""
    from gypsum_core.actions import Exit

    def check(self):
        self.ctx.emit(Exit())

    patch.setattr(Drain, "check", check)


def accept_any_version(patch):
    """A manifest comes into force whatever its version."""

    def apply_if_newer(self, manifest):
        known = self.in_force.get(manifest.spec.name)
        self.in_force[manifest.spec.name] = manifest
        return known is None

    patch.setattr(Manifests, "apply_if_newer", apply_if_newer)


def treat_replicas_as_current(patch):
    """Every replica counts as up to date."""
    patch.setattr(GroupView, "as_of", lambda self, upstream: self.verified_until())


def promote_shortest_log(patch):
    """The shortest log is promoted."""

    def best_candidate(self, *, majority, leaving):
        return min(self.accepted.values(), key=lambda status: status.log_end)

    patch.setattr(Election, "best_candidate", best_candidate)


def confirm_across_terms(patch):
    """Any long enough log confirms a write, whatever its term."""

    def is_confirmed(self, position, *, by):
        holders = {
            sample.status.upstream
            for sample in self.all_samples()
            if sample.status.received >= position.index
        }
        holders.add(by)
        return len(holders) >= self.majority

    patch.setattr(GroupView, "is_confirmed", is_confirmed)
