"""Deliberate breaks of the logic, one for each promise.

A check that cannot fail proves nothing: tests/test_mutations.py runs each break
and expects the checker to name the promise that it breaks.
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


def forget_sessions(patch):
    """Reads ignore what the caller has written."""
    patch.setattr(ReadPlacer, "recent_writes_known", lambda self, job, claimed: True)
    patch.setattr(
        ReadPlacer,
        "floor",
        lambda self, job: type(self.recent_writers.floor)(term=0, index=0),
    )


def acknowledge_at_once(patch):
    """A write counts as done when its primary has it."""
    patch.setattr(GroupView, "confirmed", lambda self, position, by: True)


def share_transactions(patch):
    """All callers share one transaction."""
    token = "shared"
    patch.setattr("gypsum_core.context.Context.token", lambda self: token)


def mix_up_answers(patch):
    """Two answers change places."""
    plain = RequestRouter.reply
    held = []

    def reply(self, answer):
        from dataclasses import replace

        if answer.result is None or not answer.result.rows:
            plain(self, answer)
            return
        held.append((self, answer))
        if len(held) == 2:
            (one, first), (two, second) = held
            held.clear()
            plain(one, replace(first, result=second.result))
            plain(two, replace(second, result=first.result))

    patch.setattr(RequestRouter, "reply", reply)


def deny_what_may_have_run(patch):
    """Whatever failed is answered as not run."""
    plain = Home.finish

    def finish(self, job, answer):
        from dataclasses import replace

        if answer.outcome is Outcome.UNKNOWN:
            answer = replace(answer, outcome=Outcome.NOT_RUN)
        plain(self, job, answer)

    patch.setattr(Home, "finish", finish)


def retry_under_new_keys(patch):
    """A retry takes another key."""
    plain = ResponseHandler.requeue

    def requeue(self, job):
        from dataclasses import replace

        job.request = replace(job.request, key=job.request.key + "-again")
        plain(self, job)

    patch.setattr(ResponseHandler, "requeue", requeue)


def ignore_leaving(patch):
    """The instance list's leaving upstreams are used like any other."""
    patch.setattr(Node, "upstream_leaving", lambda self, upstream: False)


def exit_at_once(patch):
    """A drain exits without waiting."""
    from gypsum_core.actions import Exit

    def check(self):
        self.ctx.emit(Exit())

    patch.setattr(Drain, "check", check)


def take_any_version(patch):
    """A manifest comes into force whatever its version."""

    def raise_to(self, manifest):
        known = self.in_force.get(manifest.spec.name)
        self.in_force[manifest.spec.name] = manifest
        return known is None

    patch.setattr(Manifests, "raise_to", raise_to)


def believe_replicas(patch):
    """Any replica counts as current."""
    patch.setattr(GroupView, "as_of", lambda self, upstream: self.verified_at())


def promote_anyone(patch):
    """The shortest log is promoted."""

    def best(self, *, majority, leaving):
        return min(self.accepted.values(), key=lambda status: status.log_end)

    patch.setattr(Election, "best", best)


def confirm_across_terms(patch):
    """Any long enough log confirms a write, whatever its term."""

    def confirmed(self, position, *, by):
        holders = {
            seen.status.upstream
            for seen in self.all()
            if seen.status.received >= position.index
        }
        holders.add(by)
        return len(holders) >= self.majority

    patch.setattr(GroupView, "confirmed", confirmed)
