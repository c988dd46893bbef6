"""Processor time and memory of importing each of the two daemon programs.

For the platform's program also the time until its callers' port is open.
"""

import subprocess
import sys

from bench.report import Figure, median

RUNS = 7
# A starting daemon doesn't serve yet, so the platform's program has to start in half
# the processor time of the older one. Its instances have at least 200 MB of memory.
CPU_RATIO_BOUND = 0.5
RESIDENT_MB_BOUND = 40.0
# A caller that waits while its daemon starts has a target of 0.8 s for a usual read. On
# half a core these imports may take 0.7 s of it, the rest is for the configuration and
# the statement.
CPU_MS_BOUND = 350.0
# A caller that is refused a connection tries another daemon, or this one after some 0.1
# s: on half a core the port is open before.
PORT_CPU_MS_BOUND = 50.0
IMPORT_SCRIPT = """
import resource, time
started_at = time.process_time()
import {module}
cpu_ms = (time.process_time() - started_at) * 1000
print(cpu_ms, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
"""


def measure():
    """Yield the figures; both programs are imported alternately in new processes."""
    old, new, port = [], [], []
    for _ in range(RUNS):
        old.append(import_once("gypsum_daemon.main"))
        new.append(import_once("gypsum_platform.daemon"))
        port.append(import_once("gypsum_platform.early"))
    old_ms, new_ms, port_ms = (
        median([ms for ms, _ in runs]) for runs in (old, new, port)
    )
    yield Figure(name="start_http_daemon", value=old_ms, unit="ms processor")
    yield Figure(
        name="start_platform_daemon",
        value=new_ms,
        unit="ms processor",
        bound=CPU_MS_BOUND,
    )
    yield Figure(
        name="start_platform_port",
        value=port_ms,
        unit="ms processor",
        bound=PORT_CPU_MS_BOUND,
    )
    yield Figure(
        name="start_platform_against_http",
        value=new_ms / old_ms,
        unit="times",
        bound=CPU_RATIO_BOUND,
    )
    yield Figure(
        name="resident_platform_daemon",
        value=median([megabytes for _, megabytes in new]),
        unit="MB",
        bound=RESIDENT_MB_BOUND,
    )


def import_once(module):
    """Import a module in a new process; return (processor ms, resident MB)."""
    completed = subprocess.run(
        [sys.executable, "-c", IMPORT_SCRIPT.format(module=module)],
        check=True,
        capture_output=True,
        text=True,
    )
    cpu_ms, megabytes = completed.stdout.split()
    return float(cpu_ms), float(megabytes)
