"""Leaving without cutting anyone off: the order of a graceful shutdown."""

import asyncio
from dataclasses import dataclass

from gypsum_sessions.replies import SessionState

PART = "drain"
# Pause between two looks, seconds.
LOOK_EVERY = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainPlan:
    """The phases of a shutdown, in seconds after it was asked for.

    `notice` is the time in which the balancer may still send callers: two missed
    probes a second apart. Until `sessions` idle ones are closed in turn and open
    transactions may end; from `listen` on nobody new is taken; `total` is when the
    process has to be gone.
    """

    notice: float
    sessions: float
    listen: float
    total: float


def plan_for(grace):
    """The plan for a grace time: half of it for transactions, a margin at the end."""
    return DrainPlan(
        notice=0.37 * grace,
        sessions=0.51 * grace,
        listen=0.55 * grace,
        total=0.95 * grace,
    )


async def drain(proxy, plan, stop_listening):
    """Refuse readiness, let work end, close idle sessions, end."""
    clock, began = proxy.clock, proxy.clock()
    proxy.draining = True
    proxy.log(PART, "started", callers=len(proxy.callers), links=len(proxy.desks))
    for desk in list(proxy.desks):
        desk.tell_leaving()
    await asyncio.sleep(plan.notice)
    listening = True
    while clock() - began < plan.total:
        passed = clock() - began
        if listening and passed >= plan.listen:
            listening = False
            stop_listening()
        if passed >= plan.sessions:
            await end_transactions(proxy)
        close_idle(proxy, share_to_close(plan, passed))
        if not listening and not proxy.callers and not owners_work(proxy):
            break
        await asyncio.sleep(LOOK_EVERY)
    proxy.log(PART, "ended", callers=len(proxy.callers))


def share_to_close(plan, passed):
    """The part of the idle sessions to close now, so that they leave in turn.

    What goes wrong when all are closed at once: they all come back at the same
    moment, at the daemons that are left.
    """
    left = max(1, round((plan.sessions - passed) / LOOK_EVERY))
    return 1 / left


def close_idle(proxy, share):
    """Close a share of the sessions that wait for nothing, at least one."""
    idle = [caller for caller in proxy.callers if caller.idle]
    for caller in idle[: max(1, round(len(idle) * share))]:
        caller.leave()


async def end_transactions(proxy):
    """Roll back transactions that are open and wait for their callers.

    Their connections stay: the caller learns of it from the reply to its next
    statement, and is closed once it has ended the transaction.
    """
    for caller in list(proxy.callers):
        session = caller.session
        waiting = session is not None and not session.running and not caller.busy
        if waiting and session.state is SessionState.IN_TRANSACTION:
            proxy.log(PART, "transaction ended", session=session.number)
            await session.abort_open()
    for desk in list(proxy.desks):
        desk.end_waiting()


def owners_work(proxy):
    """Tell whether other daemons' statements are worked on here."""
    return any(desk.busy for desk in proxy.desks)
