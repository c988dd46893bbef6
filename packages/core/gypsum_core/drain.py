"""Graceful shutdown of one daemon."""

from gypsum_core.actions import Exit
from gypsum_core.messages import Leaving

PART = "drain"
CHECK_INTERVAL = 0.05
FORCED_EXIT_AFTER = 30.0


class Drain:
    """Redirects new work, lets running work end, then lets the process exit.

    Without it, a restart would abort requests in flight, and their callers could
    not know whether they were run.
    """

    def __init__(self, *, ctx, node):
        self.ctx = ctx
        self.node = node
        self.started_at = None
        self.exited = False

    def start(self):
        """Stop accepting new work as a home and notify all linked daemons."""
        if self.started_at is not None:
            return
        self.started_at = self.ctx.now
        self.ctx.draining = True
        self.ctx.log(PART, "started")
        for peer in self.node.linked_peers():
            self.ctx.send(peer, Leaving())
        self.node.hand_over_queues()
        self.check()

    def check(self):
        """Exit when all requests are answered and the load balancer could react.

        Without the notice time, an idle daemon would exit before the balancer has
        checked its readiness again, and new callers would be refused.
        """
        if self.exited:
            return
        waited = self.ctx.now - self.started_at
        if waited >= self.ctx.tuning.drain_limit:
            self.node.end_transactions()
        notice_over = waited >= self.ctx.tuning.drain_notice
        if (notice_over and not self.node.busy()) or waited >= FORCED_EXIT_AFTER:
            self.exited = True
            self.ctx.log(PART, f"completed after seconds={waited:.2f}")
            self.ctx.emit(Exit())
            return
        self.ctx.set_timer(CHECK_INTERVAL, part=PART)
