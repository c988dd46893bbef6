"""A home's state, as metrics and operators' pages show it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReport:
    """State of an upstream as seen by its home; `lag_ms` is -1 if not proven."""

    id: str
    primary: bool
    promised: int
    received: int
    applied: int
    lag_ms: float
    running: int
    slots: int
    silent: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class HomeReport:
    """State of a database as seen by its home."""

    database: str
    version: int
    rank: int | None
    active: bool
    primary: str
    term: int
    claimed: bool
    phase: str
    vetoed: bool
    queued_replica: int
    queued_primary: int
    awaiting: int
    unconfirmed: int
    transactions: int
    reads_replica: int
    reads_primary: int
    why_primary: dict[str, int]
    refusals: dict[str, int]
    promotions: int
    upstreams: tuple[UpstreamReport, ...]


def describe_home(home):
    """Return the state of a home and its upstreams."""
    counts = home.read_placer.counts
    return HomeReport(
        database=home.spec.name,
        version=home.spec.version,
        rank=home.rank,
        active=home.active,
        primary=home.view.primary or "",
        term=home.view.term,
        claimed=home.claim.held,
        phase=home.failover.phase.value,
        vetoed=home.failover.vetoed,
        queued_replica=len(home.replica_queue) + len(home.deferred_reads),
        queued_primary=len(home.primary_queue) + len(home.transaction_jobs),
        awaiting=len(home.waiting_reads),
        unconfirmed=len(home.unconfirmed_writes.jobs),
        transactions=len(home.transactions),
        reads_replica=counts.replica,
        reads_primary=counts.primary,
        why_primary=dict(counts.why),
        refusals={str(reason): count for reason, count in home.refusals.items()},
        promotions=home.failover.promotions,
        upstreams=tuple(describe_upstream(home, name) for name in home.view.upstreams),
    )


def describe_upstream(home, name):
    """Return the state of one upstream."""
    status = home.view.status(name)
    load = home.loads[name]
    as_of = home.view.as_of(name)
    proved = as_of > float("-inf")
    return UpstreamReport(
        id=name,
        primary=name == home.view.primary,
        promised=status.promised if status else 0,
        received=status.received if status else 0,
        applied=status.applied if status else 0,
        lag_ms=round((home.ctx.now - as_of) * 1000, 1) if proved else -1.0,
        running=load.running,
        slots=load.slots,
        silent=home.failover.is_unresponsive(name),
    )
