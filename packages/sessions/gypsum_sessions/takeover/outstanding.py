"""Promotion orders that may still take effect, as far as one daemon knows them."""


class OutstandingOrders:
    """The orders of a group's unsettled takeovers that may still be carried out.

    `token` is that of the lease this daemon took last. `unanswered` holds the members
    of its own orders that got no answer. With `inherited`, the lease was taken over
    unsettled from another holder, an earlier process of this daemon included: what it
    ordered is not known.
    """

    def __init__(self):
        self.token = 0
        self.unanswered = set()
        self.inherited = False

    def lease_taken(self, before, lease):
        """Record that this daemon replaced the lease `before` by its own."""
        if before.settled or not before.token:
            self.unanswered.clear()
            self.inherited = False
        elif before.token != self.token:
            self.unanswered.clear()
            self.inherited = True
        self.token = lease.token

    def order_unanswered(self, upstream):
        """Record an order that the platform may carry out at any time."""
        self.unanswered.add(upstream)

    def order_accepted(self):
        """Record that the platform has seen our token: it refuses earlier orders."""
        self.unanswered.clear()
        self.inherited = False

    def may_take_effect(self, leader):
        """Return whether an order may still replace a leader.

        An order for the member that leads already has no effect when it is carried out.
        """
        return self.inherited or bool(self.unanswered - {leader})
