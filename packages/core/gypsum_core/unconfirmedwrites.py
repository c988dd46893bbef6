"""Writes committed at the primary that a majority does not have yet."""

from gypsum_core.records import Answer, Outcome

MIN_ROUND_INTERVAL = 0.004
MAX_ROUND_INTERVAL = 0.05
ROUNDS_PER_WAIT = 8.0
SMOOTHING = 0.1


class UnconfirmedWrites:
    """Holds committed writes until a majority of the group has them.

    `mean_write_time` is the mean time in seconds from sending a write to that point.

    Answered earlier, a write could be lost: its primary fails and the promoted
    replica doesn't have it, or the primary had already been replaced without knowing
    it.
    """

    def __init__(self, *, ctx, view):
        self.ctx = ctx
        self.view = view
        self.jobs = []
        self.mean_write_time = 0.0

    def add(self, job, *, result, position, served_by):
        """Add a write that committed at `position`."""
        job.result = result
        job.position = position
        job.served_by = served_by
        job.step = "confirm"
        job.may_have_run = True
        job.committed_at = self.ctx.now
        self.jobs.append(job)

    def oldest_wait(self):
        """Return for how many seconds the oldest write has been unconfirmed.

        Counted from its commit, since the time in the queue doesn't depend on the
        replicas.
        """
        if not self.jobs:
            return 0.0
        return self.ctx.now - self.jobs[0].committed_at

    def is_stalled(self):
        """Return whether no replica keeps up with the primary."""
        return self.oldest_wait() > self.ctx.tuning.confirm_stalled

    def round_interval(self):
        """Return the seconds until replicas are asked again for their log ends.

        The interval grows with the wait: 1/ROUNDS_PER_WAIT of it, within bounds.
        """
        return min(
            MAX_ROUND_INTERVAL,
            max(MIN_ROUND_INTERVAL, self.oldest_wait() / ROUNDS_PER_WAIT),
        )

    def take_confirmed(self):
        """Remove and return the writes that a majority has."""
        self.jobs = [job for job in self.jobs if not job.closed]
        confirmed = [
            job
            for job in self.jobs
            if self.view.is_confirmed(job.position, by=job.served_by)
        ]
        for job in confirmed:
            took = self.ctx.now - job.started_at
            self.mean_write_time += SMOOTHING * (took - self.mean_write_time)
        if confirmed:
            self.jobs = [job for job in self.jobs if job not in confirmed]
        return confirmed

    def take_outdated(self):
        """Remove and return the writes of an earlier term or primary.

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
    """Return the answer to a confirmed write, commit or outcome query."""
    return Answer(
        request=job.request.id,
        outcome=Outcome.DONE,
        result=job.result,
        served_by=job.served_by,
        position=job.position,
        key=job.request.key,
        tx=job.request.tx,
    )
