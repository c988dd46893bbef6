"""Random runs: upstreams leave while daemons learn of it late or in another order."""

import asyncio
import os
from random import Random
from unittest.mock import patch

import pytest

from gypsum_platform.object_handlers import UPSTREAM_KIND
from gypsum_sessions.replies import SessionState
from gypsum_sessions.upstreams import roster
from gypsum_sessions.upstreams.group import Group
from tests.sessions.chaos import Checker, FaultInjector, run_caller
from tests.sessions.fakegroup import FakeConn, FakeMember
from tests.sessions.listedrig import DRAIN, ListedRig
from tests.sessions.vclock import run

SEEDS = range(int(os.environ.get("GYPSUM_FUZZ_SEEDS", "8")))
RUN_SECONDS = 40.0
# Upstreams of a group that have not said that they leave.
STAYING = 2
CALLERS = 12
FAULTS = (
    "leave",
    "leave",
    "leave",
    "lose_store",
    "lose_store",
    "hold_lists",
    "restart_daemon",
    "slow_member",
    "crash",
    "lagging",
)


class LeavingFaults(FaultInjector):
    """Upstreams are replaced while daemons restart, and the store is out of reach."""

    def leave(self):
        """An upstream joins, and another one leaves; it ends a while later."""
        rig, group = self.rig, self.rig.group
        staying = [item for item in group.members if item.id not in rig.reported_at]
        if len(staying) > STAYING:
            self.report_leaving(self.rng.choice(staying))
        else:
            new = FakeMember(
                id=f"u{len(group.members) + len(group.departed) + 1}", group=group
            )
            group.members.append(new)
            rig.report(new.id)

    def report_leaving(self, member):
        """An upstream reports that it leaves, and ends eight to fourteen seconds on."""
        self.rig.report(member.id, "draining")
        lasts = DRAIN + 1.0 + 6.0 * self.rng.random()
        self.rig.loop.call_later(lasts, self.end, member)

    def end(self, member):
        """End a member; a leader crashes and stays in the group."""
        member.crash()
        self.rig.store.remove(UPSTREAM_KIND, member.id)
        if member is not self.rig.group.leader:
            self.rig.group.members.remove(member)
            self.rig.group.departed.append(member)

    def lose_store(self):
        """A daemon gets no answers from the store for a while."""
        return self.rig.cut_from_store(self.rng.choice(self.rig.proxies).name)

    def hold_lists(self):
        """A daemon reads the whole list as a takeover does, and gets it late."""
        proxy = self.rng.choice(self.rig.proxies)
        client = self.rig.clients[proxy.name]
        client.held = True
        proxy.spawn(proxy.reload_members())
        return lambda: setattr(client, "held", False)

    def restart_daemon(self):
        """A daemon is killed, and a new process starts."""
        index = self.rng.randrange(len(self.rig.proxies))
        old = self.rig.proxies[index]
        old.stop()
        # Callers of the rig go on with a process that would be gone.
        old.context.dialer.dialer.daemon = ""
        self.rig.links.reset(old.name)
        self.rig.store.silent.discard(old.name)
        self.rig.proxies[index] = self.rig.restart(old.name)


class LateStatements:
    """Statements that reached an upstream too long after its report."""

    def __init__(self, rig):
        self.rig = rig
        self.found = []
        self.transactions = set()

    def record_arrival(self, conn, request):
        """Check a statement that reaches an upstream."""
        name, now = conn.member.id, self.rig.loop.clock()
        if conn.state is SessionState.IN_TRANSACTION:
            if conn.transaction in self.transactions:
                return
            self.transactions.add(conn.transaction)
        late = now - self.rig.reported_at.get(name, now)
        sender = conn.dialer.daemon
        if late > DRAIN and sender and self.rig.in_touch(sender):
            self.found.append(f"DRAIN {request} at {name} from {sender}, {late:.1f} s")


async def keep_leases_known(rig):
    """Bring all daemons' view of the leases up to date."""
    while True:
        for proxy in rig.proxies:
            rig.catch_up(proxy)
            proxy.recorder.set_recorded("db", rig.group.listing())
        await asyncio.sleep(0.3)


async def play(seed):
    """Run one seed; returns the violated guarantees."""
    rig = ListedRig(daemons=3, slots=1)
    routes = dict.fromkeys(("primary", "bounded", "own"), {"statement_timeout": 4.0})
    for proxy in rig.proxies:
        proxy.offer_catalog(rig.configured(2, None, **routes), "test")
    checker, late = Checker(rig=rig), LateStatements(rig)
    rig.group.observer = checker
    work = FakeConn.work

    async def record_and_work(conn, statement, request):
        if request:
            late.record_arrival(conn, request)
        return await work(conn, statement, request)

    with patch.object(FakeConn, "work", record_and_work):
        await rig.settle()
        leases = asyncio.create_task(keep_leases_known(rig))
        until = rig.loop.time() + RUN_SECONDS
        callers = [
            asyncio.create_task(
                run_caller(rig, checker, Random(seed * 100 + n), n % 3, until)
            )
            for n in range(CALLERS)
        ]
        await LeavingFaults(rig=rig, rng=Random(seed), faults=FAULTS).run(until)
        await asyncio.gather(*callers, return_exceptions=True)
        leases.cancel()
    return late.found + checker.broken


@pytest.mark.parametrize("seed", SEEDS)
def test_leaving_upstreams_get_no_late_statements(seed):
    """Guards against work for upstreams that have long reported that they leave."""
    assert run(play(seed)) == []


def count_from_hearing(self, member):
    """Count a leaving upstream's time from the first news."""
    since = member.leaving_since
    return since is None or self.context.clock() < since + DRAIN - 1.0


# Planted faults, and a seed that detects each.
PLANTED = {
    "the time counts from the first news": (
        19,
        (Group, "accepts_work", count_from_hearing),
    ),
    "older news undoes a report": (
        12,
        (roster, "is_outdated", lambda changed, **known: False),
    ),
}


@pytest.mark.parametrize("name", list(PLANTED))
def test_planted_fault_is_detected(name):
    """Guards against a check that finds nothing."""
    seed, change = PLANTED[name]
    with patch.object(*change):
        assert any("DRAIN" in item for item in run(play(seed)))
