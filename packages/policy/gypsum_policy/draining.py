"""What a draining daemon still accepts, and when it ends the work that is left.

Load pattern: daemons are restarted one after the other or several at once, perhaps all
owners of a group among them, while callers run transactions of several statements with
pauses between them. A daemon that accepts a new transaction shortly before it exits has
to roll back work that ran, and the caller starts over with less time left. One that
refuses too early rejects callers that no other daemon would have served.

Open work therefore continues for most of the grace period, long work is refused once
the notice period is over, and standbys are ready when all owners of a group leave.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainPlan:
    """The phases of a shutdown, in seconds since it was requested.

    Until `notice_end` the load balancer may still send callers: two missed probes, one
    second apart. Idle sessions are then closed one after the other until
    `close_sessions_by`, and no new callers are accepted from `stop_listening_at` on.
    Transactions that wait for their callers are rolled back at `roll_back_at`. Whatever
    runs is answered by `answers_due`, and the process has to end by `exit_by`.
    """

    notice_end: float
    close_sessions_by: float
    stop_listening_at: float
    roll_back_at: float
    answers_due: float
    exit_by: float


def make_drain_plan(grace):
    """Return the plan for a grace period in seconds.

    Transactions get three quarters of it: on most routes a statement takes at most a
    second, so the rest suffices to answer it and to report the rollback to the caller.
    """
    return DrainPlan(
        notice_end=0.37 * grace,
        close_sessions_by=0.51 * grace,
        stop_listening_at=0.55 * grace,
        roll_back_at=0.75 * grace,
        answers_due=0.9 * grace,
        exit_by=0.95 * grace,
    )


def session_share_to_close(plan, elapsed, interval):
    """Fraction of the idle sessions to close now, if called every `interval` seconds.

    Sessions closed all at once would reconnect at the same moment, at the daemons that
    are left.
    """
    left = max(1, round((plan.close_sessions_by - elapsed) / interval))
    return 1 / left


def accepts_work(plan, elapsed, *, opens_transaction, last_resort):
    """Whether a draining daemon accepts new work from another daemon.

    Until the notice period ends it does, since the other daemon may not know of the
    drain yet. After that it accepts only single statements that no other daemon could
    run (`last_resort`): these end before it does, a transaction may not.
    """
    if elapsed < plan.notice_end:
        return True
    return last_resort and not opens_transaction


def choose_standby(names, *, owners, own, away):
    """The daemon that must get ready to own a group as `own` leaves; "" if none must.

    `names` is the group's order of daemons, of which the first `owners` own it; `away`
    are those that leave too or can't be reached. While one owner stays, the others use
    it. Each leaving owner picks a different standby by its own place in the order.
    """
    if own not in names[:owners]:
        return ""
    if any(name not in away for name in names[:owners] if name != own):
        return ""
    standbys = [name for name in names[owners:] if name not in away]
    return standbys[names.index(own) % len(standbys)] if standbys else ""
