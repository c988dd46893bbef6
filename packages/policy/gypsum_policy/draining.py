"""What a daemon that was told to stop still takes, and when it ends what is left.

Load pattern: daemons are stopped and started in turn, several at once, all owners of a
group perhaps among them, while callers run transactions of several statements with
pauses between them. A daemon that takes a new transaction shortly before its end has
to roll back work that ran, and its caller begins anew with less of its time left. One
that refuses too early turns away callers that nobody else would have served.

So what is open lives on for most of the grace, nothing that takes long is begun after
the notice, and those that come next are ready when all owners of a group leave.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainPlan:
    """The phases of a shutdown, in seconds after it was asked for.

    `notice` is the time in which the balancer may still send callers: two missed
    probes a second apart. Until `sessions` idle sessions are closed in turn; from
    `listen` on nobody new is taken. `transactions` is when those that still wait for
    their callers are rolled back, `answers` when whatever runs is answered, and at
    `total` the process has to be gone.
    """

    notice_end: float
    close_sessions_by: float
    stop_listening_at: float
    roll_back_at: float
    answer_by: float
    exit_by: float


def make_drain_plan(grace):
    """The plan for a grace time, in seconds.

    Transactions get three quarters: a statement takes a second at most on most routes,
    and what is left of the grace after one is enough to answer it and to tell the
    caller of the rollback.
    """
    return DrainPlan(
        notice_end=0.37 * grace,
        close_sessions_by=0.51 * grace,
        stop_listening_at=0.55 * grace,
        roll_back_at=0.75 * grace,
        answer_by=0.9 * grace,
        exit_by=0.95 * grace,
    )


def session_share_to_close(plan, elapsed, interval):
    """The part of the idle sessions to close now, with a look `every` so many seconds.

    What goes wrong when all are closed at once: they all come back at the same
    moment, at the daemons that are left.
    """
    left = max(1, round((plan.close_sessions_by - elapsed) / interval))
    return 1 / left


def accepts_work(plan, elapsed, *, opens_transaction, last_resort):
    """Tell whether a daemon that leaves takes new work of another daemon.

    Until the notice is over it does, for the word that it leaves may be on its way.
    After that only single statements (`opens` is false) that nobody else could run:
    they end before it does, a transaction may not.
    """
    if elapsed < plan.notice_end:
        return True
    return last_resort and not opens_transaction


def choose_standby(names, *, owners, own, away):
    """Who has to be ready to own a group, as `own` leaves; empty if nobody has to.

    `names` is the group's order of daemons, of which the first `owners` own it; `away`
    are those that leave as well or can't be reached. As long as one owner stays, the
    others ask it. Each owner that leaves wakes another one, by its place in the order.
    """
    if own not in names[:owners]:
        return ""
    if any(name not in away for name in names[:owners] if name != own):
        return ""
    standbys = [name for name in names[owners:] if name not in away]
    return standbys[names.index(own) % len(standbys)] if standbys else ""
