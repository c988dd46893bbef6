"""Graceful shutdown of one daemon."""

from gypsum_core.actions import Exit
from gypsum_core.messages import Leaving

PART = "drain"
CHECK_INTERVAL = 0.05
LAST_RESORT = 30.0


class Drain:
    """Hands new work on, lets running work end, then lets the process exit.

    What goes wrong without it: a restart cuts off requests in flight and their
    callers cannot tell whether they were run.
    """

    def __init__(self, *, ctx, office):
        self.ctx = ctx
        self.office = office
        self.since = None
        self.exited = False

    def start(self):
        """Stop taking new work as a home and tell everyone who may send it."""
        if self.since is not None:
            return
        self.since = self.ctx.now
        self.ctx.draining = True
        self.ctx.log(PART, "started")
        for peer in self.office.linked_peers():
            self.ctx.send(peer, Leaving())
        self.office.hand_over_queues()
        self.check()

    def check(self):
        """Exit when nothing is left to answer and the balancer has had time to notice.

        What goes wrong without that time: an idle daemon is gone before the balancer
        has asked again whether it is ready, and new callers are refused.
        """
        if self.exited:
            return
        waited = self.ctx.now - self.since
        if waited >= self.ctx.tuning.drain_limit:
            self.office.end_transactions()
        noticed = waited >= self.ctx.tuning.drain_notice
        if (noticed and not self.office.busy()) or waited >= LAST_RESORT:
            self.exited = True
            self.ctx.log(PART, f"over after seconds={waited:.2f}")
            self.ctx.emit(Exit())
            return
        self.ctx.set_timer(CHECK_INTERVAL, part=PART)
