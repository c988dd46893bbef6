"""Writes between their commit at the primary and their answer."""

from gypsum_core.records import Answer, Outcome

MIN_ROUND_INTERVAL = 0.004
MAX_ROUND_INTERVAL = 0.05
ROUNDS_PER_WAIT = 8.0
SMOOTHING = 0.1


class UnconfirmedWrites:
    """Holds committed writes until a majority of the group has them.

    `mean_write_time` is how many seconds a write takes from its sending to that point.

    What goes wrong without it: a primary acknowledges, dies, and the replica
    promoted in its place never had the write. Or a primary that was replaced
    without knowing it acknowledges writes that nobody will ever see.
    """

    def __init__(self, *, ctx, view):
        self.ctx = ctx
        self.view = view
        self.jobs = []
        self.mean_write_time = 0.0

    def add(self, job, *, result, position, served_by):
        """A write committed at `position`; it is not done yet."""
        job.result = result
        job.position = position
        job.served_by = served_by
        job.step = "confirm"
        job.may_have_run = True
        job.committed_at = self.ctx.now
        self.jobs.append(job)

    def oldest_wait(self):
        """Seconds that the oldest write has been waiting for confirmation.

        Counted from its commit: the time it stood in the queue says nothing about
        the replicas.
        """
        if not self.jobs:
            return 0.0
        return self.ctx.now - self.jobs[0].committed_at

    def is_stalled(self):
        """Tell whether no replica keeps up with the primary."""
        return self.oldest_wait() > self.ctx.tuning.confirm_stalled

    def round_interval(self):
        """Seconds until the next look at the replicas' log ends."""
        return min(
            MAX_ROUND_INTERVAL,
            max(MIN_ROUND_INTERVAL, self.oldest_wait() / ROUNDS_PER_WAIT),
        )

    def take_confirmed(self):
        """Remove and return the writes that a majority holds now."""
        self.jobs = [job for job in self.jobs if not job.closed]
        confirmed = [
            job
            for job in self.jobs
            if self.view.confirmed(job.position, by=job.served_by)
        ]
        for job in confirmed:
            took = self.ctx.now - job.started_at
            self.mean_write_time += SMOOTHING * (took - self.mean_write_time)
        if confirmed:
            self.jobs = [job for job in self.jobs if job not in confirmed]
        return confirmed

    def take_outdated(self):
        """Remove and return the writes of a term that is no longer in force.

        Their outcome is looked up in the ledger at the new primary.
        """
        outdated = [
            job
            for job in self.jobs
            if job.position.term != self.view.term or job.served_by != self.view.primary
        ]
        self.jobs = [job for job in self.jobs if job not in outdated]
        return outdated


def done_answer(job):
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
