"""Which requests may wait at a home, and which are refused at once."""

from gypsum_core.load import DEFAULT_RETRY_AFTER, expected_wait
from gypsum_core.records import Reason

PRIMARY_LOSS_TOLERANCE = 3.0
RETRY_AFTER_REPLICAS_BEHIND = 2.0
SERVICE_TIME_MARGIN = 1.5


class Admission:
    """Refuses early what could not be answered in time."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def admit_primary(self, job):
        """Queue work for the primary, or refuse it at once."""
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

    def leaderless_for(self):
        """Seconds without a primary that answers."""
        since = self.home.failover.leaderless_since
        if since is not None:
            return self.ctx.now - since
        if self.home.view.primary is None:
            return 0.0
        return self.home.failover.silence(self.home.view.primary)

    def primary_service_time(self):
        """Seconds that one statement takes at the primary."""
        load = self.home.loads.get(self.home.view.primary)
        return load.service_time if load else 0.0

    def admit(self, job, queue, slots, service_time):
        """Refuse now what could not be answered in time; tell if it may wait."""
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
        """Refuse a request that its member's queue leaves no time for."""
        member = job.request.member
        self.home.refuse(
            job, Reason.OVERLOAD, f"{member}: queue is too long", retry_after=wait
        )

    def refuse_if_late(self, job, load):
        """Refuse a request that could not be answered any more; tell if so.

        What goes wrong without it: after a failover the queue holds what is about
        to expire, each such request takes a slot and is answered too late, and the
        next one has expired meanwhile as well.
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
        """Refuse what newer and worthier requests have pushed out of time.

        What goes wrong without it: a request of little worth waits until its
        deadline for a turn that never comes, and its caller learns nothing until
        then.
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
        """Put a job into the primary's queue."""
        job.step = "queue"
        self.home.primary_queue.push(
            job,
            member=job.request.member,
            worth=float("inf") if first else job.kind.worth,
            deadline=job.request.deadline,
        )
