"""Errors meant for people: shown as one line, without a traceback."""


class GypsumError(Exception):
    """Base of all errors; carries the step and the peer at which it arose."""

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        place = " ".join(part for part in (self.step, self.peer) if part)
        return f"{place}: {self.message}" if place else self.message


class UserError(GypsumError):
    """Something the person at the command can mend."""
