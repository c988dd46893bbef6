"""What the command prints: text for people, JSON for programs."""

import json
import sys

from gypsum_cli.exits import ExitCode


def show(data, lines, *, as_json):
    """Print a result as JSON or as lines of text."""
    if as_json:
        print(json.dumps(data, indent=2, sort_keys=True))
        return
    for line in lines:
        print(line)


def fail(message, code=ExitCode.WRONG):
    """Print an error and give its exit code back."""
    print(f"gypsumhitch: {message}", file=sys.stderr)
    return code
