"""Leaving without cutting anyone off: the order of a graceful shutdown."""

import asyncio
from dataclasses import dataclass

from gypsum_policy.leaving import DrainPlan, share_to_close, takes_new
from gypsum_sessions.borders import Clock
from gypsum_sessions.daemons.standbys import StandbyOwners
from gypsum_sessions.replies import SessionState

PART = "drain"
# Pause between two looks, seconds.
LOOK_EVERY = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """A daemon's way out: its plan, and when it was told to stop."""

    plan: DrainPlan
    began: float
    clock: Clock

    @property
    def passed(self):
        """Seconds since the daemon was told to stop."""
        return self.clock() - self.began

    @property
    def answer_by(self):
        """When everything that runs has to be answered."""
        return self.began + self.plan.answers

    @property
    def opens_for(self):
        """Seconds for which transactions of other daemons are still opened."""
        return max(0.0, self.plan.notice - self.passed)

    @property
    def closes_sessions(self):
        """Tell whether a session is closed as soon as it waits for nothing."""
        return self.passed >= self.plan.sessions

    def takes(self, *, opens, last_resort):
        """Tell whether new work of another daemon is taken."""
        return takes_new(self.plan, self.passed, opens=opens, last_resort=last_resort)


async def drain(proxy, plan, stop_listening):
    """Refuse readiness, let work end, close idle sessions, end."""
    departure = Departure(plan=plan, began=proxy.clock(), clock=proxy.clock)
    proxy.departure = departure
    proxy.log(PART, "started", callers=len(proxy.callers), links=len(proxy.desks))
    for desk in list(proxy.desks):
        desk.send_leaving()
    standbys = StandbyOwners(proxy=proxy)
    listening = True
    while departure.passed < plan.total:
        standbys.notify_standbys()
        if listening and departure.passed >= plan.listen:
            listening = False
            stop_listening()
        if departure.passed >= plan.transactions:
            await end_transactions(proxy)
        if departure.passed >= plan.notice:
            close_idle(proxy, share_to_close(plan, departure.passed, LOOK_EVERY))
        if not listening and not proxy.callers and not owners_work(proxy):
            break
        await asyncio.sleep(LOOK_EVERY)
    proxy.log(
        PART,
        "ended",
        callers=len(proxy.callers),
        ended_transactions=proxy.drain_ended,
    )


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
            proxy.drain_ended += 1
            proxy.log(
                PART,
                "transaction ended",
                session=session.number,
                request=session.last_request,
            )
            await session.abort_open()
    for desk in list(proxy.desks):
        desk.end_idle_transactions()


def owners_work(proxy):
    """Tell whether other daemons' statements are worked on here."""
    return any(desk.busy for desk in proxy.desks)
