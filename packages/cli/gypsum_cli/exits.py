"""Exit codes; docs/operators.md lists them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the command."""

    OK = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    DIFFERENT = 5
