"""`make bench`: prints all figures as JSON lines; exits 1 if one is out of bounds."""

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
from bench.report import print_figure

BENCHMARKS = (start, logic, path, connections, manifests, failover, replicas, overload)


def main():
    """Run all benchmarks; return 1 if a figure is out of its bound, else 0."""
    exceeded = [
        figure.name
        for benchmark in BENCHMARKS
        for figure in benchmark.measure()
        if not print_figure(figure)
    ]
    for name in exceeded:
        print(f"out of its bound: {name}", file=sys.stderr)
    return int(bool(exceeded))


if __name__ == "__main__":
    sys.exit(main())
