"""Admission control: which requests a home queues and which it refuses."""

from gypsum_core.load import DEFAULT_RETRY_AFTER, expected_wait
from gypsum_core.records import Reason

PRIMARY_LOSS_TOLERANCE = 3.0
RETRY_AFTER_REPLICAS_BEHIND = 2.0
SERVICE_TIME_MARGIN = 1.5


class Admission:
    """Refuses requests that could not be answered before their deadline."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def admit_primary(self, job):
        """Queue a job for the primary, or refuse it immediately."""
        if job.is_write and self.home.unconfirmed_writes.is_stalled():
            self.home.refuse(
                job,
                Reason.REPLICAS_BEHIND,
                "no replica keeps up with the primary",
                retry_after=RETRY_AFTER_REPLICAS_BEHIND,
            )
            return
        if (
            self.leaderless_for() > PRIMARY_LOSS_TOLERANCE
            and not self.home.failover.vetoed
        ):
            self.home.refuse(
                job,
                Reason.NO_PRIMARY,
                "the group has no primary",
                retry_after=DEFAULT_RETRY_AFTER,
            )
            return
        slots = (
            self.home.loads[self.home.view.primary].slots
            if self.home.view.primary
            else 1
        )
        service_time = self.primary_service_time()
        if self.admit(job, self.home.primary_queue, slots, service_time):
            self.enqueue_primary(job)
            self.refuse_displaced(
                self.home.primary_queue, job.request.member, slots, service_time
            )

    def lacks_primary(self):
        """Return whether no primary is known, or the known one does not answer."""
        return self.home.view.primary is None or self.leaderless_for() > 0.0

    def leaderless_for(self):
        """Return for how many seconds no primary has answered."""
        since = self.home.failover.leaderless_since
        if since is not None:
            return self.ctx.now - since
        if self.home.view.primary is None:
            return 0.0
        return self.home.failover.unanswered_for(self.home.view.primary)

    def primary_service_time(self):
        """Return the mean seconds that a statement takes at the primary."""
        load = self.home.loads.get(self.home.view.primary)
        return load.service_time if load else 0.0

    def admit(self, job, queue, slots, service_time):
        """Return whether a job may be queued; refuse it if not.

        It may if it can be answered before its deadline and the queue is not full.
        """
        member = job.request.member
        wait = expected_wait(
            ahead=queue.count_ahead(
                member, worth=job.kind.worth, deadline=job.request.deadline
            ),
            share=queue.share(member),
            slots=slots,
            service_time=service_time,
        )
        late = self.ctx.now + wait > job.request.deadline
        if not late and len(queue) < self.ctx.tuning.queue_limit:
            return True
        self.refuse_overloaded(job, wait)
        return False

    def refuse_overloaded(self, job, wait):
        """Refuse a request because its member's queue is too long."""
        member = job.request.member
        self.home.refuse(
            job, Reason.OVERLOAD, f"{member}: queue is too long", retry_after=wait
        )

    def refuse_if_late(self, job, load):
        """Refuse a request that can no longer be answered in time; return whether.

        After a failover the queue holds requests that are about to expire. Each of
        them would occupy a slot and be answered too late, and by then the next one
        would have expired as well.
        """
        left = job.request.deadline - self.ctx.now
        needed = (
            load.service_time
            if job.is_read
            else self.home.unconfirmed_writes.mean_write_time
        )
        if job.may_have_run or job.request.tx or left >= SERVICE_TIME_MARGIN * needed:
            return False
        self.home.refuse(
            job,
            Reason.OVERLOAD,
            "its turn came too late to answer in time",
            retry_after=DEFAULT_RETRY_AFTER,
        )
        return True

    def refuse_displaced(self, queue, member, slots, service_time):
        """Refuse requests that newer ones of higher worth have displaced.

        A request of low worth would otherwise stay queued until its deadline
        without ever being run, and its caller would get no answer before then.
        """
        while queue.queued(member) > slots:
            job = queue.last(member)
            wait = expected_wait(
                ahead=queue.queued(member) - 1,
                share=queue.share(member),
                slots=slots,
                service_time=service_time,
            )
            if job.may_have_run or self.ctx.now + wait <= job.request.deadline:
                return
            queue.pop_last(member)
            if not job.closed:
                self.refuse_overloaded(job, wait)

    def enqueue_primary(self, job, *, first=False):
        """Add a job to the primary's queue; with `first`, at its member's head."""
        job.step = "queue"
        self.home.primary_queue.push(
            job,
            member=job.request.member,
            worth=float("inf") if first else job.kind.worth,
            deadline=job.request.deadline,
        )
