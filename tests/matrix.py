"""The fault matrix: every fault at every step, each cell one run in virtual time.

`python -m tests.matrix` runs all cells and writes docs/fault-matrix.md.
"""

from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing import Pool
from pathlib import Path

from gypsum_core import actions
from gypsum_core.events import DrainRequested
from tests import scenario
from tests.fakes.world import make_spec

WORKERS = 4
HEAL_AFTER = 3.0
AFTER_HEAL = 1.5
STEP_LIMIT = 4.0
DOC = Path(__file__).resolve().parent.parent / "docs" / "fault-matrix.md"


# Faults: each injects a fault and returns a function that ends it.


def kill_primary(run):
    """The primary dies and comes back later."""
    name = run.group.leader().name
    run.group.kill(name)
    return lambda: run.group.revive(name)


def cut_primary_from_group(run):
    """The primary loses its replicas but not the daemons."""
    name = run.group.leader().name
    others = [other for other in run.group.servers if other != name]
    for other in others:
        run.world.cut(name, other)
    return run.world.heal


def cut_primary_from_daemons(run):
    """The primary loses all daemons but not its replicas."""
    name = run.group.leader().name
    for host in run.world.hosts:
        run.world.cut(name, host)
    return run.world.heal


def partition_primary_with_one_daemon(run):
    """The primary and the home end up alone together."""
    primary = run.group.leader().name
    home = run.home().name
    for other in [*run.group.servers, *run.world.hosts]:
        if other not in (primary, home):
            run.world.cut(primary, other)
            run.world.cut(home, other)
    return run.world.heal


def cut_home_from_primary(run):
    """The home alone loses the primary."""
    run.world.cut(run.home().name, run.group.leader().name)
    return run.world.heal


def freeze_primary_briefly(run):
    """The primary stops for less than the suspicion time."""
    name = run.group.leader().name
    run.group.freeze(name)
    run.world.clock.after(0.25, run.group.thaw, name)
    return lambda: None


def freeze_primary(run):
    """The primary stops, is replaced, and goes on unaware."""
    name = run.group.leader().name
    run.group.freeze(name)
    return lambda: run.group.thaw(name)


def one_replica_behind(run):
    """One replica falls far behind."""
    server = run.group.servers[replicas(run)[0]]
    server.ship_lag = server.apply_lag = 20.0
    return lambda: clear_lag([server])


def all_replicas_behind(run):
    """All replicas receive late: nothing can be confirmed."""
    servers = [run.group.servers[name] for name in replicas(run)]
    for server in servers:
        server.ship_lag = 20.0
    return lambda: clear_lag(servers)


def all_replicas_apply_late(run):
    """All replicas receive in time but show data late."""
    servers = [run.group.servers[name] for name in replicas(run)]
    for server in servers:
        server.apply_lag = 5.0
    return lambda: clear_lag(servers)


def kill_home(run):
    """The home dies and a new process takes its place."""
    host = run.home()
    host.kill()

    def restart():
        host.boot()
        run.world.platform.connect_host(host)

    return restart


def freeze_home(run):
    """The home stops past its time and goes on unaware."""
    host = run.home()
    host.freeze()
    return host.thaw


def platform_down(run):
    """The platform does not answer."""
    run.world.platform.down = True

    def up():
        run.world.platform.down = False

    return up


def platform_slow(run):
    """The platform answers seconds late."""
    run.world.platform.extra_delay = 2.5

    def fast():
        run.world.platform.extra_delay = 0.0

    return fast


def list_misses_home(run):
    """The instance list leaves out a live daemon."""
    run.world.list_instances(without=(run.home().name,))
    return run.world.list_instances


def list_keeps_dead_home(run):
    """The home is dead but the list goes on naming it."""
    return kill_home(run)


def silent_connections(run):
    """The home's open connections to the primary go silent for good."""
    run.home().mute(run.group.leader().name)
    return lambda: None


def silent_peer_link(run):
    """The home hears no other daemon, nor they it."""
    home = run.home().name
    for other in run.world.hosts:
        if other != home:
            run.world.cut(home, other)
    return run.world.heal


def racing_operators(run):
    """Two operators commit different manifests at once; one answer is lost."""
    platform = run.world.platform
    version = platform.specs["grid"].version
    platform.lose_answers = 1
    for slots in (4, 6):
        platform.put(
            lambda number, slots=slots: make_spec(version=number, slots=slots),
            expect=version,
            writer=f"operator-{slots}",
        )
    return lambda: None


def late_listing(run):
    """An old answer of the platform arrives after a newer one."""
    old = run.world.platform.snapshot()
    apply_manifest(run)
    for host in run.world.hosts.values():
        run.world.clock.after(1.0, run.world.platform.send_all, host, old)
    return lambda: None


def drain_home(run):
    """The home is asked to shut down, exits, and is started anew."""
    host = run.home()
    host.feed(DrainRequested())

    def restart():
        if not host.alive:
            host.boot()
            run.world.platform.connect_host(host)

    return restart


def upstream_leaves(run):
    """The instance list marks the primary as leaving."""
    name = run.group.leader().name
    run.world.list_instances(leaving=(name,))
    run.checker.mark_leaving(name)
    return lambda: None


def primary_and_home(run):
    """The primary and the home die together."""
    heal_primary, heal_home = kill_primary(run), kill_home(run)

    def heal():
        heal_primary()
        heal_home()

    return heal


def primary_twice(run):
    """The primary dies, and so does its successor."""
    first = kill_primary(run)
    later = []

    def again():
        leader = run.group.leader()
        if leader is not None and not run.group.servers[leader.name].dead:
            first()
            later.append(kill_primary(run))

    run.world.clock.after(1.5, again)

    def heal():
        first()
        for step in later:
            step()

    return heal


def primary_while_platform_down(run):
    """The primary dies during an outage of the platform."""
    heal_primary, heal_platform = kill_primary(run), platform_down(run)

    def heal():
        heal_primary()
        heal_platform()

    return heal


def primary_while_replica_behind(run):
    """The primary dies while one replica is far behind."""
    heal_lag = one_replica_behind(run)
    later = []
    run.world.clock.after(0.5, lambda: later.append(kill_primary(run)))

    def heal():
        heal_lag()
        for step in later:
            step()

    return heal


def partition_while_primary_silent(run):
    """The home's connections go silent while it is cut from its peers."""
    silent_connections(run)
    return silent_peer_link(run)


def replicas(run):
    """The names of the members that are not primary."""
    leader = run.group.leader()
    return [name for name in run.group.servers if leader is None or name != leader.name]


def clear_lag(servers):
    """Remove the lag of replicas."""
    for server in servers:
        server.ship_lag = server.apply_lag = 0.0


FAULTS = (
    kill_primary,
    cut_primary_from_group,
    cut_primary_from_daemons,
    partition_primary_with_one_daemon,
    cut_home_from_primary,
    freeze_primary_briefly,
    freeze_primary,
    one_replica_behind,
    all_replicas_behind,
    all_replicas_apply_late,
    kill_home,
    freeze_home,
    platform_down,
    platform_slow,
    list_misses_home,
    silent_connections,
    silent_peer_link,
    racing_operators,
    late_listing,
    drain_home,
    upstream_leaves,
    primary_and_home,
    primary_twice,
    primary_while_platform_down,
    primary_while_replica_behind,
    partition_while_primary_silent,
)


# Steps: the action that leads to each, and the call at which it is reached.


@dataclass(frozen=True)
class Step:
    """Point in processing a request or change at which the fault is injected."""

    name: str
    hook: str = ""
    kind: type = object
    before: Callable = lambda run: None


def lose_primary(run):
    """Kill the primary, which causes an election."""
    run.group.kill(run.group.leader().name)


def begin_drain(run):
    """Drain the home."""
    begin_drain_at(run.home())


def begin_drain_at(host):
    """Ask a daemon to shut down."""
    host.feed(DrainRequested())


def apply_manifest(run):
    """Put a manifest with other limits."""
    platform = run.world.platform
    version = platform.specs["grid"].version
    platform.put(
        lambda number: make_spec(version=number, slots=4),
        expect=version,
        writer="operator",
    )


STEPS = (
    Step("before a write is sent", "before_send", actions.Write),
    Step("write sent", "sent", actions.Write),
    Step("write running", "running", actions.Write),
    Step("write committed, unanswered", "committed", actions.Write),
    Step("write answered, unconfirmed", "answered", actions.Write),
    Step("read running", "running", actions.Read),
    Step("in a transaction", "answered", actions.TxRun),
    Step("commit sent", "sent", actions.TxCommit),
    Step("commit done, unanswered", "committed", actions.TxCommit),
    Step("during the fence", "sent", actions.Fence, lose_primary),
    Step("between fence and promotion", "before_send", actions.Promote, lose_primary),
    Step("promoted, nobody knows", "answered", actions.Promote, lose_primary),
    Step("during a drain", before=begin_drain),
    Step("during an apply", before=apply_manifest),
)


@dataclass
class Outcome:
    """Result of one fault at one step."""

    reached: bool
    promises: list
    acks: int
    violations: list


def run_cell(step, fault, *, seed=7, **options):
    """Run one cell and return its result."""
    run = scenario.start(seed=seed, **options)
    heal_functions = []

    def inject(call=None):
        if heal_functions or (call and not isinstance(call.action, step.kind)):
            return
        run.world.hooks.clear()
        heal_functions.append(fault(run))

    step.before(run)
    if step.hook:
        run.world.hooks[step.hook] = inject
        run_until_injected(run, heal_functions)
    else:
        inject()
    acks = len(run.checker.acks)
    run.world.run(HEAL_AFTER)
    for heal in heal_functions:
        heal()
    if step.before is lose_primary:
        for name, server in run.group.servers.items():
            if server.dead:
                run.group.revive(name)
    run.world.run(AFTER_HEAL)
    acks = len(run.checker.acks) - acks
    run.stop()
    return Outcome(
        reached=bool(heal_functions),
        promises=run.checker.promises,
        acks=acks,
        violations=run.checker.violations,
    )


def run_until_injected(run, heal_functions):
    """Run until the fault is injected, at most `STEP_LIMIT` seconds."""
    for _ in range(int(STEP_LIMIT / 0.1)):
        if heal_functions:
            return
        run.world.run(0.1)


def title(function):
    """A fault's title in the document: its docstring's sentence."""
    return function.__doc__.strip().rstrip(".")


def write_document(cells):
    """Write the matrix as docs/fault-matrix.md."""
    lines = [
        "# Fault matrix",
        "",
        "Written by `python -m tests.matrix`. Each cell is a run in virtual time:",
        "three daemons, one group of three, four callers that write, read and",
        "transact while the fault strikes at the step. After three seconds it heals,",
        "and all promises of tests/invariants.py are checked. `ok N`: all held, N",
        "writes acknowledged between the fault and the end of the callers' work. `-`:",
        "the step did not occur under the seed. A number or letter: the promise that",
        "was broken.",
        "",
        "| fault | " + " | ".join(step.name for step in STEPS) + " |",
        "|---" * (len(STEPS) + 1) + "|",
    ]
    for fault in FAULTS:
        row = [describe(cells[(step.name, fault.__name__)]) for step in STEPS]
        lines.append(f"| {title(fault)} | " + " | ".join(row) + " |")
    lines += ["", *LATE_NEWS, "", *NOT_PROVED]
    DOC.write_text("\n".join(lines) + "\n")


LATE_NEWS = (
    "## Late and older news of upstreams",
    "",
    "Not in the table: on the platform, upstreams report that they leave, and daemons",
    "learn of it late or in another order.",
    "",
    "| news | effect | held by |",
    "|---|---|---|",
    "| heard after a cut from the store, a freeze or a restart | counts from the last"
    " time at which the store did not have it | `test_leaving_upstreams.py` |",
    "| an older list, batch, entry or removal | none | `test_roster_order.py` |",
    "| heard while a statement waits | the statement is not sent |"
    " `test_leaving_upstreams.py` |",
    "| all of these beside takeovers and slow upstreams | no statement arrives late |"
    " `test_leaving_chaos.py` |",
)

NOT_PROVED = (
    "## Not proved, not possible",
    "",
    "- A caller's own connection going silent: the proxy cannot tell it from a caller",
    "  that thinks; its answer waits in the socket and the key settles the rest.",
    "- The platform's own loss of an accepted object: it is the platform's promise.",
    "- Byzantine upstreams, and a group whose majority loses its log: the ledger and",
    "  the fence rest on a majority that keeps what it has received.",
    "- A change of the group's members during a failover: the command refuses more",
    "  than one at a time, the step itself is not in the matrix.",
)


def describe(cell):
    """A cell's text in the table."""
    if not cell.reached:
        return "-"
    return ", ".join(cell.promises) or f"ok {cell.acks}"


def run_named(job):
    """Run one cell by the names of its step and fault."""
    step_name, fault_name = job
    step = next(item for item in STEPS if item.name == step_name)
    return run_cell(step, globals()[fault_name])


def main():
    """Run all cells and write the document; returns 1 if a guarantee was violated."""
    jobs = [(step.name, fault.__name__) for fault in FAULTS for step in STEPS]
    cells = {}
    with Pool(WORKERS) as pool:
        for job, cell in zip(jobs, pool.imap(run_named, jobs), strict=True):
            cells[job] = cell
            print(f"{job[1]} / {job[0]}: {describe(cell)}", flush=True)
            for violation in cell.violations[:2]:
                print(f"    {violation}")
    write_document(cells)
    return int(any(cell.promises for cell in cells.values()))


if __name__ == "__main__":
    raise SystemExit(main())
