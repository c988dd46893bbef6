"""Writes between their commit at the primary and their answer."""

from gypsum_core.records import Answer, Outcome

FASTEST_ROUND = 0.004
SLOWEST_ROUND = 0.05
PATIENCE = 8.0
SMOOTHING = 0.1


class WriteDesk:
    """Holds committed writes until a majority of the group has them.

    `whole_time` is how many seconds a write takes from its sending to that point.

    What goes wrong without it: a primary acknowledges, dies, and the replica
    promoted in its place never had the write. Or a primary that was replaced
    without knowing it acknowledges writes that nobody will ever see.
    """

    def __init__(self, *, ctx, view):
        self.ctx = ctx
        self.view = view
        self.unconfirmed = []
        self.whole_time = 0.0

    def add(self, job, *, result, position, served_by):
        """A write committed at `position`; it is not done yet."""
        job.result = result
        job.position = position
        job.served_by = served_by
        job.step = "confirm"
        job.may_have_run = True
        job.committed_at = self.ctx.now
        self.unconfirmed.append(job)

    def oldest_wait(self):
        """Seconds that the oldest write has been waiting for confirmation.

        Counted from its commit: the time it stood in the queue says nothing about
        the replicas.
        """
        if not self.unconfirmed:
            return 0.0
        return self.ctx.now - self.unconfirmed[0].committed_at

    def stalled(self):
        """Tell whether no replica keeps up with the primary."""
        return self.oldest_wait() > self.ctx.tuning.confirm_stalled

    def round_gap(self):
        """Seconds until the next look at the replicas' log ends."""
        return min(SLOWEST_ROUND, max(FASTEST_ROUND, self.oldest_wait() / PATIENCE))

    def take_confirmed(self):
        """Remove and return the writes that a majority holds now."""
        self.unconfirmed = [job for job in self.unconfirmed if not job.closed]
        done = [
            job
            for job in self.unconfirmed
            if self.view.confirmed(job.position, by=job.served_by)
        ]
        for job in done:
            took = self.ctx.now - job.started_at
            self.whole_time += SMOOTHING * (took - self.whole_time)
        if done:
            self.unconfirmed = [job for job in self.unconfirmed if job not in done]
        return done

    def take_stranded(self):
        """Remove and return the writes of a term that is no longer in force.

        Their outcome is looked up in the ledger at the new primary.
        """
        stranded = [
            job
            for job in self.unconfirmed
            if job.position.term != self.view.term or job.served_by != self.view.primary
        ]
        self.unconfirmed = [job for job in self.unconfirmed if job not in stranded]
        return stranded


def answer_done(job):
    """The answer to a confirmed write, commit or settled outcome."""
    return Answer(
        request=job.request.id,
        outcome=Outcome.DONE,
        result=job.result,
        served_by=job.served_by,
        position=job.position,
        key=job.request.key,
        tx=job.request.tx,
    )
