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
    probes a second apart, and a margin. `transactions` is what open transactions
    have to end, `total` when the process has to be gone.
    """

    notice: float
    transactions: float
    total: float


def plan_for(grace):
    """The plan for a grace time: half of it for transactions, a margin at the end."""
    return DrainPlan(
        notice=min(2.6, 0.45 * grace), transactions=0.6 * grace, total=0.85 * grace
    )


async def drain(proxy, plan):
    """Refuse readiness, let work end, close idle sessions, end."""
    clock, began = proxy.clock, proxy.clock()
    proxy.draining = True
    proxy.log(PART, "started", callers=len(proxy.callers))
    await asyncio.sleep(plan.notice)
    while proxy.callers and clock() - began < plan.total:
        if clock() - began >= plan.transactions:
            await end_transactions(proxy)
        close_idle(proxy, share_to_close(plan, clock() - began))
        await asyncio.sleep(LOOK_EVERY)
    proxy.log(PART, "ended", callers=len(proxy.callers))


def share_to_close(plan, passed):
    """The part of the idle sessions to close now, so that they leave in turn.

    What goes wrong when all are closed at once: they all come back at the same
    moment, at the daemons that are left.
    """
    left = max(1, round((plan.transactions - passed) / LOOK_EVERY))
    return 1 / left


def close_idle(proxy, share):
    """Close a share of the sessions that wait for nothing, at least one."""
    idle = [caller for caller in proxy.callers if caller.idle]
    for caller in idle[: max(1, round(len(idle) * share))]:
        caller.leave()


async def end_transactions(proxy):
    """Roll back transactions that are open and wait for their callers."""
    for caller in list(proxy.callers):
        session = caller.session
        if session is None or session.running:
            continue
        if session.state is not SessionState.IDLE:
            proxy.log(PART, "transaction ended", session=session.number)
            await session.abort_open()
            caller.leave()
