"""Output of the command: text or JSON."""

import json
import sys

from gypsum_cli.exits import ExitCode


def print_result(data, lines, *, as_json):
    """Print a result as JSON or as lines of text."""
    if as_json:
        print(json.dumps(data, indent=2, sort_keys=True))
        return
    for line in lines:
        print(line)


def print_error(message, code=ExitCode.ERROR):
    """Print an error and return its exit code."""
    print(f"gypsumhitch: {message}", file=sys.stderr)
    return code
