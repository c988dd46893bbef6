"""The claim: which daemon's writes the group accepts."""


class WriteClaim:
    """Our claim on one group, and whether the recent writers' table rests on it.

    The group refuses writes of a daemon that its claim row does not name. So while
    the row names us, our table of recent writers misses nobody.

    Each attempt claims under a name of its own. What goes wrong otherwise: an
    earlier attempt that was given up arrives late, puts our name back over another
    home's, and that home's writes are missing from a table that looks complete.
    """

    def __init__(self, *, ctx, view, recent_writers):
        self.ctx = ctx
        self.view = view
        self.recent_writers = recent_writers
        self.attempt = 0
        self.acknowledged = False
        self.in_progress = False

    @property
    def holder(self):
        """The name under which the current attempt claims."""
        return f"{self.ctx.daemon}/{self.ctx.incarnation}/{self.attempt}"

    @property
    def held(self):
        """Tell whether the claim is ours, as last seen, and our table complete."""
        return self.acknowledged and self.is_named_in(self.primary_status())

    def primary_status(self):
        """The primary's last status, or None."""
        return self.view.status(self.view.primary) if self.view.primary else None

    def is_named_in(self, status):
        """Tell whether a status names our current attempt."""
        return status is not None and status.claim == self.holder

    def begin(self):
        """Start an attempt; returns the name to claim under."""
        self.attempt += 1
        self.acknowledged = False
        self.in_progress = True
        return self.holder

    def on_answer(self, status):
        """The attempt was answered; the table starts anew behind it.

        Only now: a probe may show our name earlier, while the table still holds
        what it had before another home wrote.
        """
        self.in_progress = False
        if self.is_named_in(status):
            self.recent_writers.reset(status.log_end)
            self.acknowledged = True

    def on_failure(self):
        """The attempt failed or got no answer; whether it took effect is open."""
        self.in_progress = False

    def on_lost(self):
        """The group refused our name."""
        self.acknowledged = False
