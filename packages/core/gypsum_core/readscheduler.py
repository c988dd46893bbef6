"""Queueing of reads, and of reads that cannot be placed yet."""

from gypsum_core.readplacer import CATCH_UP_STEP, Place
from gypsum_core.timers import CATCH_UP


class ReadScheduler:
    """Queues reads for eligible upstreams, or until enough statuses have arrived."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def place_read(self, job):
        """Queue a read for an eligible upstream, or until it can be placed."""
        placement = self.home.read_placer.place(job, self.home.claim.held)
        if placement.place is Place.REPLICA:
            self.send_to_replica(job, placement.upstreams)
            return
        if placement.place is Place.PRIMARY:
            job.primary_reason = placement.why
            self.home.admission.admit_primary(job)
            return
        if placement.place is Place.CATCH_UP:
            self.start_wait_timer(job)
        job.step = f"wait_{placement.place}"
        self.home.waiting_reads.append(job)

    def send_to_replica(self, job, upstreams):
        """Start a read at a free replica, or queue it if its deadline allows."""
        if not self.home.replica_queue and not self.home.deferred_reads:
            upstream = self.home.read_placer.fastest(upstreams)
            if upstream is not None:
                self.home.dispatch.start_read(job, upstream)
                return
        loads = [self.home.loads[name] for name in upstreams]
        slots = sum(load.slots for load in loads)
        service_time = min(load.service_time for load in loads)
        queue, member = self.home.replica_queue, job.request.member
        if not self.home.admission.admit(job, queue, slots, service_time):
            return
        queue.push(
            job, member=member, worth=job.kind.worth, deadline=job.request.deadline
        )
        self.home.admission.refuse_displaced(queue, member, slots, service_time)

    def start_wait_timer(self, job):
        """Limit the wait for a replica that is about to reach the read's position."""
        job.waited_for_replica = True
        self.ctx.set_timer(
            self.ctx.tuning.replica_wait,
            part=CATCH_UP,
            database=self.home.spec.name,
            detail=job.request.id,
        )

    def place_waiting_reads(self):
        """Try again to place the waiting reads."""
        waiting, self.home.waiting_reads = self.home.waiting_reads, []
        for job in waiting:
            if not job.closed:
                self.place_again(job)

    def place_again(self, job):
        """Place a waiting read, unless it still waits for a replica or a status."""
        placement = self.home.read_placer.place(job, self.home.claim.held)
        catching_up = job.step == CATCH_UP_STEP and (placement.place is Place.PRIMARY)
        stuck = placement.place in (Place.ROUND, Place.STUCK)
        if catching_up or stuck:
            self.home.waiting_reads.append(job)
            if stuck and not self.home.claim.held and job.request.session is None:
                self.home.watch.claim_group()
            return
        self.place_read(job)

    def on_wait_expired(self, request_id):
        """Place a read whose wait for a replica has reached its limit."""
        job = self.home.jobs.get(request_id)
        if job is None or job not in self.home.waiting_reads:
            return
        self.home.waiting_reads.remove(job)
        self.place_read(job)
        self.home.dispatch.start_queued()
