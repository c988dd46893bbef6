"""Refusals of statements that no upstream runs in time; they say what has not run."""

from dataclasses import replace

from gypsum_policy.admission import retry_after_ms
from gypsum_sessions.replies import KEY_WITHDRAWN, Refusal, Reply

PART = "admission"
# How a detail begins that promises that nothing ran.
NOT_RUN_PREFIX = "not run, "


def log_refused(group, job, item, exc):
    """Log why a statement was not admitted to an upstream's queue."""
    group.context.log(
        PART,
        "refused",
        request=job.request,
        upstream=item.id,
        cause=str(exc.cause),
        forecast_ms=round(exc.forecast * 1000),
        queued=exc.queued,
        limit=exc.limit,
        time_left_ms=round(job.time_left(group.context.clock) * 1000),
    )


def lagging_reply(job, wait):
    """The refusal of a read whose position no upstream has; it has not run."""
    return Reply(
        refusal=Refusal.LAGGING,
        detail="not run, no upstream has the position yet",
        retry_after_ms=retry_after_ms(wait, job.request),
    )


def unable_reply(tuning):
    """The refusal of work that no upstream was able to run; it has not run."""
    return Reply(
        refusal=Refusal.BUSY,
        detail="not run, no upstream was able to run it in time",
        retry_after_ms=tuning.busy_retry_after_ms,
    )


def overloaded_reply(job, wait):
    """The refusal of work that can't be answered in time; it has not run."""
    job.queue_wait = wait
    return Reply(
        refusal=Refusal.BUSY,
        detail=f"not run, the queue takes {wait * 1000:.0f} ms",
        retry_after_ms=retry_after_ms(wait, job.request),
    )


def abandoned_reply(job):
    """The reply to a job whose caller has left; nobody reads it."""
    not_run = "" if job.may_have_run else NOT_RUN_PREFIX
    return Reply(refusal=Refusal.BUSY, detail=f"{not_run}the caller has left")


def truthful_refusal(job, reply):
    """The reply without "not run" if an attempt was sent that may have run.

    Another attempt, at another upstream or owner, may be the one that was refused.
    """
    if reply.ok or not job.may_have_run:
        return reply
    return replace(reply, detail=reply.detail.removeprefix(NOT_RUN_PREFIX))


def key_withdrawn_reply():
    """The refusal of work whose caller's key was withdrawn while it waited."""
    return Reply(refusal=Refusal.UNKNOWN_KEY, detail=f"{NOT_RUN_PREFIX}{KEY_WITHDRAWN}")


def no_leader_reply(tuning, *, members_absent=False):
    """The refusal of work that needs a leader while there is none.

    `members_absent`: none can lead before absent members are back.
    """
    return Reply(
        refusal=Refusal.BUSY,
        detail="not run, the group has no proven primary",
        retry_after_ms=tuning.absent_retry_after_ms
        if members_absent
        else tuning.retry_after_ms,
    )


def no_leader_now(group):
    """The refusal of work that needs a leader, by the state of its group."""
    return no_leader_reply(
        group.context.tuning, members_absent=group.waits_for_members()
    )
