"""The claim row that names the one daemon whose writes a group accepts."""


class WriteClaim:
    """This daemon's claim on one group, on which the recent writers' table depends.

    The group refuses writes of a daemon that its claim row does not name. While the row
    names this daemon, its table of recent writers is complete.

    Each attempt claims under its own name. With a shared name, an abandoned attempt
    that takes effect late would replace another home's claim, and that home's writes
    would be missing from a table that counts as complete.
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
        """The holder name of the current attempt."""
        return f"{self.ctx.daemon}/{self.ctx.incarnation}/{self.attempt}"

    @property
    def held(self):
        """Whether the last status shows our claim and the table is complete."""
        return self.acknowledged and self.is_named_in(self.primary_status())

    def primary_status(self):
        """Return the primary's last status, or None."""
        return self.view.status(self.view.primary) if self.view.primary else None

    def is_named_in(self, status):
        """Return whether a status names the current attempt as holder."""
        return status is not None and status.claim == self.holder

    def begin(self):
        """Start an attempt; returns its holder name."""
        self.attempt += 1
        self.acknowledged = False
        self.in_progress = True
        return self.holder

    def on_answer(self, status):
        """Handle the attempt's own response and reset the table to its position.

        A probe may show the new holder earlier, while the table still has entries
        from before another home's writes; it doesn't complete the attempt.
        """
        self.in_progress = False
        if self.is_named_in(status):
            self.recent_writers.reset(status.log_end)
            self.acknowledged = True

    def on_failure(self):
        """Handle a failed or unanswered attempt, which may still take effect."""
        self.in_progress = False

    def on_lost(self):
        """Handle a write that was refused because another daemon holds the claim."""
        self.acknowledged = False
