"""Promotion orders that may still take effect, as far as one daemon knows them."""

# Stands for the members that holders of the lease before us have ordered.
UNKNOWN_MEMBER = ""


class OutstandingOrders:
    """The orders of a group's unsettled takeovers that may still take effect.

    `token` is that of the lease this daemon took last. `unanswered` holds the members
    of its own orders that got no answer. With `inherited`, the lease was taken over
    unsettled from another holder, an earlier process of this daemon included: what it
    ordered is not known. `effective_until` has, by member, the time until which an
    order that the platform may have accepted can take effect; it can't revoke them.
    """

    def __init__(self, *, clock, effect_time):
        self.clock = clock
        self.effect_time = effect_time
        self.token = 0
        self.unanswered = set()
        self.inherited = False
        self.effective_until = {}

    def lease_taken(self, before, lease):
        """Record that this daemon replaced the lease `before` by its own."""
        if before.settled or not before.token:
            self.unanswered.clear()
            self.effective_until.clear()
            self.inherited = False
        elif before.token != self.token:
            self.unanswered.clear()
            self.inherited = True
        self.token = lease.token

    def order_unanswered(self, upstream):
        """Record an order that the platform may carry out at any time."""
        self.unanswered.add(upstream)

    def order_accepted(self, upstream):
        """Record an accepted order: the platform refuses earlier ones from now on.

        It may have accepted some of them a moment ago.
        """
        members = {upstream, *self.unanswered}
        if self.inherited:
            members.add(UNKNOWN_MEMBER)
        until = self.clock() + self.effect_time
        self.effective_until |= dict.fromkeys(members, until)
        self.unanswered.clear()
        self.inherited = False

    def accepted(self):
        """Members whose accepted orders may not have taken effect yet."""
        now = self.clock()
        return {name for name, until in self.effective_until.items() if now < until}

    def may_be_carried_out(self, leader):
        """Return whether the platform may still accept an earlier order.

        An order for the member that leads already has no effect when it is carried out.
        """
        return self.inherited or bool(self.unanswered - {leader})

    def may_take_effect(self, leader):
        """Return whether any order may still replace a leader."""
        return self.may_be_carried_out(leader) or bool(self.accepted() - {leader})
