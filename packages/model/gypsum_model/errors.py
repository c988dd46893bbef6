"""Errors that are shown to users as one line, without a traceback."""


class GypsumError(Exception):
    """Base of all errors, with the step and the peer at which it occurred."""

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        location = " ".join(part for part in (self.step, self.peer) if part)
        return f"{location}: {self.message}" if location else self.message


class UserError(GypsumError):
    """An error that the user can correct."""
