"""Daemons that share one group in virtual time, and callers that send statements."""

import asyncio
from dataclasses import replace

from gypsum_platform.codec import read_statement
from gypsum_platform.records import merge
from gypsum_policy.relays import ALL_WATCH_UP_TO
from gypsum_sessions.callers.keys import digest_of
from gypsum_sessions.catalog import (
    CatalogVersion,
    GroupSpec,
    ReadRule,
    Route,
    Workspace,
)
from gypsum_sessions.daemons.registry import DaemonEntry
from gypsum_sessions.interfaces import LeaseError, PromoteOutcome, PromotionLease
from gypsum_sessions.proxy import Proxy
from gypsum_sessions.takeover.lease_view import LeaseView
from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from gypsum_sessions.upstreams.roster import Roster
from tests.sessions.fakegroup import PROMOTE_TIME, FakeDialer, FakeGroup
from tests.sessions.fakelinks import FakeLinks

# Seconds until the daemons' watches have delivered a lease.
DELIVERY_TIME = 0.003


class FakeLeases:
    """Promotion leases of a fake store.

    `down` makes every call fail; the next `lose_answers` acquisitions succeed without
    an answer. `calls` counts those of takeovers. Views in `stopped` are not notified.
    """

    def __init__(self, *, group):
        self.group = group
        self.lease = PromotionLease(holder="", token=0, revision=0)
        self.down = False
        self.lose_answers = 0
        self.calls = 0
        self.lease_views = []
        self.stopped = set()

    def listening_views(self):
        """The views of the daemons whose watch works."""
        return [view for view in self.lease_views if view not in self.stopped]

    def notify_views(self):
        """Deliver the lease to the watches of all daemons."""
        loop, lease = asyncio.get_running_loop(), self.lease
        for view in self.listening_views():
            loop.call_later(DELIVERY_TIME, view.record, "db", lease)

    async def read(self, group):
        """Read the lease."""
        self.calls += 1
        return await self.read_uncounted(group)

    async def read_uncounted(self, group):
        """Read the lease, for commits and not for a takeover."""
        await asyncio.sleep(0.004)
        if self.down:
            raise LeaseError("down", step="read", peer=group)
        return self.lease

    async def read_all(self):
        """Read all leases and the store's revision."""
        await asyncio.sleep(0.004)
        if self.down:
            raise LeaseError("down", step="read", peer="store")
        return {"db": self.lease}, self.group.revision

    async def acquire(self, group, holder, seen):
        """Acquire the lease if it has not changed meanwhile."""
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.down:
            raise LeaseError("down", step="take", peer=group)
        if seen.revision != self.lease.revision:
            return None
        self.lease = PromotionLease(
            holder=holder,
            token=seen.token + 1,
            revision=self.group.next_revision(),
            chain_start=seen.next_chain_start,
            resumes=seen.resumes,
        )
        self.notify_views()
        if self.lose_answers:
            self.lose_answers -= 1
            raise LeaseError("no answer", step="take", peer=group)
        return self.lease

    async def settle(self, group, lease):
        """Mark a lease as settled if it has not changed meanwhile."""
        return await self.update(group, replace(lease, settled=True))

    async def update(self, group, lease):
        """Write a lease's fields if it has not changed meanwhile."""
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.down:
            raise LeaseError("down", step="update", peer=group)
        if lease.revision != self.lease.revision:
            return None
        self.lease = replace(lease, revision=self.group.next_revision())
        self.notify_views()
        return self.lease


class CommitLeases:
    """The leases as they are read to confirm commits."""

    def __init__(self, *, leases):
        self.read = leases.read_uncounted


class UnreachableLeases:
    """A store that gives no answer."""

    async def read(self, group):
        """Wait for the time of a call."""
        await asyncio.sleep(2.0)
        raise LeaseError("no answer", step="read", peer=group)


class FakeMemberList:
    """The store's list of upstreams."""

    def __init__(self, *, group):
        self.group = group

    async def read_all(self):
        """Read all listed members and the store's revision."""
        await asyncio.sleep(0.004)
        return self.group.listing(), self.group.revision


class FakeRecords:
    """The store's records of members."""

    def __init__(self):
        self.saved = {}
        self.saves = 0
        self.down = False

    async def read(self, group):
        """Read a record."""
        await asyncio.sleep(0.004)
        if self.down:
            raise LeaseError("down", step="read record", peer=group)
        return self.saved.get(group)

    async def save(self, group, members, departed=frozenset()):
        """Add members to a record and drop the departed ones."""
        await asyncio.sleep(0.004)
        if self.down:
            raise LeaseError("down", step="record", peer=group)
        self.saves += 1
        self.saved[group] = merge(self.saved.get(group, []), members, departed)
        return self.saved[group]


class FakePromoter:
    """The platform's promotions, fenced by token; `delayed_orders` take effect late."""

    def __init__(self, *, group):
        self.group = group
        self.highest_token = 0
        self.orders = []
        self.delayed_orders = []
        self.down = False

    async def promote(self, group, upstream, holder, token):
        """Run a promotion order."""
        self.orders.append((upstream, holder, token))
        await asyncio.sleep(0.004)
        if self.down:
            return PromoteOutcome.NOT_DONE
        if self.delayed_orders:
            delay = self.delayed_orders.pop(0)
            asyncio.get_running_loop().call_later(
                delay, self.apply_order, upstream, token
            )
            await asyncio.sleep(1.0)
            return PromoteOutcome.UNANSWERED
        if token < self.highest_token or self.group[upstream].dead:
            return PromoteOutcome.REFUSED
        self.apply_order(upstream, token)
        return PromoteOutcome.ACCEPTED

    def apply_order(self, upstream, token):
        """Promote after PROMOTE_TIME, unless a higher token was used before.

        For the present primary nothing changes, not even if another member leads later.
        """
        if token < self.highest_token:
            return
        self.highest_token = token
        if self.group[upstream].leads:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(PROMOTE_TIME, self.group.promote, upstream)


class PromptRoster(Roster):
    """A roster whose list is confirmed at any time."""

    @property
    def confirmed_at(self):
        """Now."""
        return self.clock()

    @confirmed_at.setter
    def confirmed_at(self, at):
        """Nothing is confirmed later than now."""


class PromptLeaseView(LeaseView):
    """A view that the store confirms all the time, unless its watch has stopped."""

    def __init__(self, *, leases, **options):
        self.leases = leases
        self.delivered_until = float("-inf")
        super().__init__(**options)

    @property
    def confirmed_at(self):
        """The time up to which all leases have been delivered."""
        if self not in self.leases.stopped:
            self.delivered_until = self.clock() - 2 * DELIVERY_TIME
        return self.delivered_until

    @confirmed_at.setter
    def confirmed_at(self, at):
        """Nothing is confirmed later than that."""


class Rig:
    """One group, the daemons that serve it, and the fakes that they share."""

    def __init__(
        self,
        *,
        daemons=1,
        tuning=DEFAULT_SESSION_TUNING,
        version=1,
        max_connections=34,
        all_watch_up_to=ALL_WATCH_UP_TO,
        keys=None,
        caps=None,
    ):
        self.all_watch_up_to = all_watch_up_to
        self.keys = keys
        self.caps = caps
        self.version = version
        self.loop = asyncio.get_running_loop()
        self.links = FakeLinks(loop=self.loop)
        self.max_connections = max_connections
        self.group = FakeGroup().add()
        self.leases = FakeLeases(group=self.group)
        self.promoter = FakePromoter(group=self.group)
        self.records = FakeRecords()
        self.lines = []
        self.callers = 0
        self.proxies = []
        names = [f"d{number}" for number in range(daemons)]
        for name in names:
            self.proxies.append(self.make_proxy(name, names, tuning, version))

    def make_proxy(self, name, names, tuning, version):
        """Return a configured daemon."""
        proxy = Proxy(
            name=name,
            domain="a",
            drain_seconds=7.0,
            clock=self.loop.clock,
            dialer=FakeDialer(group=self.group, loop=self.loop),
            leases=self.leases,
            promoter=self.promoter,
            member_list=FakeMemberList(group=self.group),
            records=self.records,
            tuning=tuning,
            log=self.log,
            observe=lambda *args: None,
            links=self.links.dialer(name),
            link_address=name,
            all_watch_up_to=self.all_watch_up_to,
        )
        self.links.proxies[name] = proxy
        proxy.roster = proxy.membership.roster = self.make_roster(proxy.roster)
        view = PromptLeaseView(
            leases=self.leases,
            clock=proxy.clock,
            takeover_window=proxy.lease_view.takeover_window,
        )
        proxy.lease_view = proxy.context.lease_view = view
        proxy.context.lease_reader.lease_view = view
        proxy.context.lease_reader.leases = CommitLeases(leases=self.leases)
        # As if the daemon had been running for a long time.
        proxy.daemons.rejoined = True
        proxy.update_daemons(
            [DaemonEntry(id=name, domain="a", link=name) for name in names]
        )
        self.leases.lease_views.append(proxy.lease_view)
        proxy.offer_catalog(self.configured(version, self.keys, self.caps), "test")
        proxy.update_members(self.group.listing())
        self.catch_up(proxy)
        proxy.recorder.set_recorded("db", self.group.listing())
        return proxy

    def make_roster(self, roster):
        """The roster of a daemon that learns of each change when it is made."""
        return PromptRoster(clock=roster.clock, missing_checks=roster.missing_checks)

    def configured(self, version, keys, caps=None, **changes):
        """Return a configuration with the rig's connection limit.

        `keys` and `caps` are by workspace.
        """
        base = catalog(version, **changes)
        spec = replace(base.groups["db"], max_connections=self.max_connections)
        return replace(
            base,
            groups={"db": spec},
            workspaces=keys
            and {
                name: Workspace(name=name, cap=caps and caps.get(name)) for name in keys
            },
            key_workspaces={
                digest_of(key.encode()): name
                for name, known in (keys or {}).items()
                for key in known
            },
        )

    def catch_up(self, proxy):
        """Bring a daemon's view of the leases up to date."""
        proxy.lease_view.record("db", self.leases.lease)
        proxy.lease_view.record_revision(self.group.revision)

    def stop_watch(self, proxy):
        """Stop a daemon's watch of the leases without notice."""
        self.leases.stopped.add(proxy.lease_view)

    def cut_from_leases(self, proxy):
        """Stop a daemon's watch, and let its reads of the leases get no answer."""
        self.stop_watch(proxy)
        proxy.context.lease_reader.leases = UnreachableLeases()

    def restore_leases(self, proxy):
        """End what `cut_from_leases` has begun."""
        self.leases.stopped.discard(proxy.lease_view)
        proxy.context.lease_reader.leases = CommitLeases(leases=self.leases)
        self.catch_up(proxy)

    def log(self, part, event, **fields):
        """Record an event; its fields must not override those that every line has."""
        assert not fields.keys() & {"time", "daemon"}, (part, event, fields)
        self.lines.append((self.loop.time(), part, event, fields))

    @property
    def proxy(self):
        """Return the first daemon."""
        return self.proxies[0]

    def cut(self, proxy, upstream):
        """Cut a daemon's path to an upstream; open connections give no more answers."""
        dialer = proxy.context.dialer.dialer
        dialer.cut.add(upstream)
        for conn in list(self.group[upstream].conns):
            if conn.dialer is dialer:
                conn.silent = True

    async def settle(self, timeout=2.0):
        """Wait until every owner has found the leader."""
        for proxy in self.owners():
            assert await proxy.groups["db"].watch.wait_leader(timeout)

    def owners(self):
        """Return the daemons that hold connections to the group."""
        return [proxy for proxy in self.proxies if "db" in proxy.groups]

    def others(self):
        """Return the daemons that forward statements to owners."""
        return [proxy for proxy in self.proxies if "db" not in proxy.groups]

    def caller(self, database="own", proxy=None, key=""):
        """Return a caller with a session for a database."""
        self.callers += 1
        digest = digest_of(key.encode())
        session = (proxy or self.proxy).open_session(database, digest)
        return FakeCaller(session=session, number=self.callers)


class FakeCaller:
    """A caller that sends statement texts to its session."""

    def __init__(self, *, session, number):
        self.session = session
        self.number = number
        self.sent = 0

    @property
    def next_request(self):
        """The request id of the next statement, unique among all daemons."""
        return f"{self.number}-{self.sent + 1}"

    async def send(self, text):
        """Run a statement and return its reply."""
        request = self.next_request
        self.sent += 1
        return await self.session.run(request, read_statement(text))


def catalog(version=1, **changes):
    """Return a configuration with one database for each read rule."""
    rules = {
        "primary": (ReadRule.PRIMARY, 0.0),
        "bounded": (ReadRule.BOUNDED, 1.5),
        "own": (ReadRule.READ_YOUR_WRITES, 2.5),
    }
    routes = {
        name: Route(
            name=name,
            database=name,
            group="db",
            rule=rule,
            statement_timeout=1.0,
            latency_target=0.4,
            max_age=age,
        )
        for name, (rule, age) in rules.items()
    }
    for name, fields in changes.items():
        routes[name] = replace(routes[name], **fields)
    return CatalogVersion(
        version=version,
        routes=routes,
        groups={"db": GroupSpec(name="db", max_connections=34, sync_replicas=1)},
        transaction_idle=3.0,
    )
