"""Exit codes of the command; docs/operators.md lists them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the command's exit code means."""

    OK = 0
    WRONG = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    DIFFERENT = 5
