"""Graceful shutdown of a daemon: drains callers and the work of other daemons."""

import asyncio
from dataclasses import dataclass

from gypsum_policy.draining import DrainPlan, accepts_work, session_share_to_close
from gypsum_sessions.daemons.standbys import StandbyOwners
from gypsum_sessions.interfaces import Clock
from gypsum_sessions.replies import SessionState

PART = "drain"
# How often the drain checks its progress, seconds.
POLL_INTERVAL = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainState:
    """The plan of a drain in progress, and when it started."""

    plan: DrainPlan
    started_at: float
    clock: Clock

    @property
    def elapsed(self):
        """Seconds since the drain started."""
        return self.clock() - self.started_at

    @property
    def answer_deadline(self):
        """Time by which every running statement has to be answered."""
        return self.started_at + self.plan.answers_due

    @property
    def opens_for(self):
        """Seconds for which other daemons may still open transactions here."""
        return max(0.0, self.plan.notice_end - self.elapsed)

    @property
    def closing_sessions(self):
        """Whether a session is closed as soon as it is idle."""
        return self.elapsed >= self.plan.close_sessions_by

    def accepts(self, *, opens, last_resort):
        """Return whether new work from another daemon is accepted."""
        return accepts_work(
            self.plan, self.elapsed, opens_transaction=opens, last_resort=last_resort
        )


async def drain(proxy, plan, stop_listening):
    """Drain the daemon: report not ready, finish running work, close idle sessions.

    Returns once nothing is left to do, or the plan's time is over.
    """
    drain_state = DrainState(plan=plan, started_at=proxy.clock(), clock=proxy.clock)
    proxy.drain_state = drain_state
    proxy.log(
        PART, "started", callers=len(proxy.callers), links=len(proxy.peer_handlers)
    )
    for handler in list(proxy.peer_handlers):
        handler.send_leaving()
    standbys = StandbyOwners(proxy=proxy)
    listening = True
    while drain_state.elapsed < plan.exit_by:
        standbys.notify_standbys()
        if listening and drain_state.elapsed >= plan.stop_listening_at:
            listening = False
            stop_listening()
        if drain_state.elapsed >= plan.roll_back_at:
            await abort_waiting_transactions(proxy)
        if drain_state.elapsed >= plan.notice_end:
            close_idle_sessions(
                proxy, session_share_to_close(plan, drain_state.elapsed, POLL_INTERVAL)
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
    """Close a share of the idle sessions, at least one."""
    idle = [caller for caller in proxy.callers if caller.idle]
    for caller in idle[: max(1, round(len(idle) * share))]:
        caller.close_idle()


async def abort_waiting_transactions(proxy):
    """Roll back open transactions that wait for their callers.

    The connections stay open: the caller learns of the rollback from the reply to its
    next statement, and its connection is closed once it has ended the transaction.
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
    for handler in list(proxy.peer_handlers):
        handler.end_idle_transactions()


def serves_peers(proxy):
    """Return whether statements of other daemons are running on this one."""
    return any(handler.busy for handler in proxy.peer_handlers)
