"""Leaving without cutting anyone off: the order of a graceful shutdown."""

import asyncio
from dataclasses import dataclass

from gypsum_policy.leaving import DrainPlan, share_to_close, takes_new
from gypsum_sessions.daemons.standins import StandIns
from gypsum_sessions.interfaces import Clock
from gypsum_sessions.replies import SessionState

PART = "drain"
# Pause between two looks, seconds.
POLL_INTERVAL = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainState:
    """A daemon's way out: its plan, and when it was told to stop."""

    plan: DrainPlan
    started_at: float
    clock: Clock

    @property
    def elapsed(self):
        """Seconds since the daemon was told to stop."""
        return self.clock() - self.started_at

    @property
    def answer_deadline(self):
        """When everything that runs has to be answered."""
        return self.started_at + self.plan.answers

    @property
    def opens_for(self):
        """Seconds for which transactions of other daemons are still opened."""
        return max(0.0, self.plan.notice - self.elapsed)

    @property
    def closing_sessions(self):
        """Tell whether a session is closed as soon as it waits for nothing."""
        return self.elapsed >= self.plan.sessions

    def accepts(self, *, opens, last_resort):
        """Tell whether new work of another daemon is taken."""
        return takes_new(self.plan, self.elapsed, opens=opens, last_resort=last_resort)


async def drain(proxy, plan, stop_listening):
    """Refuse readiness, let work end, close idle sessions, end."""
    drain_state = DrainState(plan=plan, started_at=proxy.clock(), clock=proxy.clock)
    proxy.drain_state = drain_state
    proxy.log(
        PART, "started", callers=len(proxy.callers), links=len(proxy.peer_handlers)
    )
    for desk in list(proxy.peer_handlers):
        desk.tell_leaving()
    stand_ins = StandIns(proxy=proxy)
    listening = True
    while drain_state.elapsed < plan.total:
        stand_ins.look()
        if listening and drain_state.elapsed >= plan.listen:
            listening = False
            stop_listening()
        if drain_state.elapsed >= plan.transactions:
            await abort_waiting_transactions(proxy)
        if drain_state.elapsed >= plan.notice:
            close_idle_sessions(
                proxy, share_to_close(plan, drain_state.elapsed, POLL_INTERVAL)
            )
        if not listening and not proxy.callers and not serves_peers(proxy):
            break
        await asyncio.sleep(POLL_INTERVAL)
    proxy.log(
        PART,
        "ended",
        callers=len(proxy.callers),
        ended_transactions=proxy.drain_rollbacks,
    )


def close_idle_sessions(proxy, share):
    """Close a share of the sessions that wait for nothing, at least one."""
    idle = [caller for caller in proxy.callers if caller.idle]
    for caller in idle[: max(1, round(len(idle) * share))]:
        caller.close_idle()


async def abort_waiting_transactions(proxy):
    """Roll back transactions that are open and wait for their callers.

    Their connections stay: the caller learns of it from the reply to its next
    statement, and is closed once it has ended the transaction.
    """
    for caller in list(proxy.callers):
        session = caller.session
        waiting = session is not None and not session.running and not caller.busy
        if waiting and session.state is SessionState.IN_TRANSACTION:
            proxy.drain_rollbacks += 1
            proxy.log(
                PART,
                "transaction ended",
                session=session.number,
                request=session.last_request,
            )
            await session.abort_transaction()
    for desk in list(proxy.peer_handlers):
        desk.end_waiting()


def serves_peers(proxy):
    """Tell whether other daemons' statements are worked on here."""
    return any(desk.busy for desk in proxy.peer_handlers)
