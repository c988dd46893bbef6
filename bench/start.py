"""Processor time and memory of a start: both programs, side by side."""

import subprocess
import sys

from bench.report import Figure, median

RUNS = 7
# A daemon that starts does not serve: the platform's program has to be ready in half
# the processor time of the older one, and its instances have 200 MB at the least.
TIMES_BOUND = 0.5
MEGABYTES_BOUND = 40.0
PROBE = """
import resource, time
began = time.process_time()
import {module}
spent = (time.process_time() - began) * 1000
print(spent, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
"""


def measure():
    """Imports of both programs, in processes of their own, in turn."""
    old, new = [], []
    for _ in range(RUNS):
        old.append(import_once("gypsum_daemon.main"))
        new.append(import_once("gypsum_platform.daemon"))
    old_ms, new_ms = (median([ms for ms, _ in runs]) for runs in (old, new))
    yield Figure(name="start_http_daemon", value=old_ms, unit="ms processor")
    yield Figure(name="start_platform_daemon", value=new_ms, unit="ms processor")
    yield Figure(
        name="start_platform_against_http",
        value=new_ms / old_ms,
        unit="times",
        bound=TIMES_BOUND,
    )
    yield Figure(
        name="resident_platform_daemon",
        value=median([megabytes for _, megabytes in new]),
        unit="MB",
        bound=MEGABYTES_BOUND,
    )


def import_once(module):
    """Processor milliseconds and resident megabytes of one import."""
    done = subprocess.run(
        [sys.executable, "-c", PROBE.format(module=module)],
        check=True,
        capture_output=True,
        text=True,
    )
    spent, megabytes = done.stdout.split()
    return float(spent), float(megabytes)
