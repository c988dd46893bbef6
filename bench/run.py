"""`make bench`: all figures as JSON lines; exits 1 when one is over its bound."""

import sys

from bench import (
    connections,
    failover,
    logic,
    manifests,
    overload,
    path,
    replicas,
    start,
)
from bench.report import show

PARTS = (start, logic, path, connections, manifests, failover, replicas, overload)


def main():
    """Measure everything."""
    broken = [
        figure.name for part in PARTS for figure in part.measure() if not show(figure)
    ]
    for name in broken:
        print(f"over its bound: {name}", file=sys.stderr)
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
