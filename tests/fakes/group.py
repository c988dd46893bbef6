"""A database group in virtual time: members, log shipping, statements, faults."""

from collections import deque
from dataclasses import dataclass, field, replace

from gypsum_core import actions
from gypsum_core.events import Failed, Settled, StatementCompleted, StatusReceived
from gypsum_core.records import Result
from tests.fakes.member import (
    ClaimLost,
    FakeMember,
    NotPrimary,
    OpenTx,
    SetClaim,
    StatementRefused,
)

HEARTBEAT = 0.05


@dataclass
class Server:
    """One member's machine: running and queued work, and injected faults."""

    member: FakeMember
    slots: int
    service: float
    ship_lag: float = 0.0
    apply_lag: float = 0.0
    dead: bool = False
    frozen: bool = False
    running: int = 0
    queue: deque = field(default_factory=deque)
    backlog: list = field(default_factory=list)
    txs: dict = field(default_factory=dict)
    arrivals: list = field(default_factory=list)
    dead_sessions: set = field(default_factory=set)


class FakeGroup:
    """Executes upstream actions of all daemons on one group's members."""

    def __init__(self, *, world, names, slots, service):
        self.world = world
        self.clock = world.clock
        self.servers = {
            name: Server(
                member=FakeMember(name=name, primary=name == names[0]),
                slots=slots,
                service=service,
            )
            for name in names
        }
        for name in names[1:]:
            self.member(name).follows = names[0]
        self.promoted = [(0.0, 1, names[0])]
        self.clock.after(HEARTBEAT, self.send_heartbeats)

    def member(self, name):
        """A member's state."""
        return self.servers[name].member

    def leader(self):
        """The primary of the highest term, or None."""
        leaders = [item.member for item in self.servers.values() if item.member.primary]
        return max(leaders, key=lambda member: member.promised, default=None)

    # Shipping

    def send_heartbeats(self):
        """Primaries send log entries and heartbeats to their followers."""
        for name, server in self.servers.items():
            if server.member.primary and not server.dead and not server.frozen:
                self.ship(name)
        self.clock.after(HEARTBEAT, self.send_heartbeats)

    def ship(self, source):
        """Send a primary's log to its followers."""
        member = self.member(source)
        for name in self.servers:
            if name == source or self.world.is_cut(source, name):
                continue
            latency = self.world.latency(source, name)
            entries = tuple(member.log)
            self.clock.after(
                latency, self.arrive, source, name, member.promised, entries
            )

    def arrive(self, source, name, term, entries):
        """A shipment reaches a follower; its data is received after `ship_lag`."""
        server = self.servers[name]
        member = server.member
        if server.dead or server.frozen or self.world.is_cut(source, name):
            return
        if member.follows != source or member.promised > term:
            return
        member.promised = max(member.promised, term)
        member.heard_at = self.clock.now
        self.clock.after(server.ship_lag, self.receive, source, name, term, entries)

    def receive(self, source, name, term, entries):
        """Append the data of a shipment to the follower's log."""
        server = self.servers[name]
        member = server.member
        if server.dead or server.frozen:
            return
        if member.follows != source or member.promised != term:
            return
        shared = shared_length(member, entries)
        if shared == len(entries):
            return
        member.truncate(shared)
        member.log.extend(entries[shared:])
        self.clock.after(server.apply_lag, self.apply, name, len(member.log))

    def apply(self, name, length):
        """A follower makes received entries visible."""
        server = self.servers[name]
        if server.frozen:
            self.clock.after(HEARTBEAT, self.apply, name, length)
            return
        if not server.dead and not server.member.primary:
            server.member.apply_to(min(length, len(server.member.log)))

    # Actions

    def start(self, host, action):
        """Send an upstream action of a daemon over the network."""
        call = Call(group=self, host=host, action=action)
        call.send()

    def deliver(self, call):
        """An action reaches its member."""
        server = self.servers[call.action.upstream]
        if server.dead:
            call.fail(sent=False, detail="connection refused")
            return
        if server.frozen:
            server.backlog.append(call)
            return
        server.arrivals.append((self.clock.now, call.action))
        if not call.needs_slot:
            self.run(server, call)
        elif server.running < server.slots:
            self.start_statement(server, call)
        else:
            server.queue.append(call)

    def start_statement(self, server, call):
        """A statement occupies a slot for its service time."""
        server.running += 1
        self.world.run_hook("running", call)
        seconds = server.service * self.world.service_factor(call)
        self.clock.after(seconds, self.complete, server, call)

    def complete(self, server, call):
        """A statement's service time has passed."""
        if server.dead:
            return
        if server.frozen:
            server.backlog.append(call)
            server.running -= 1
            return
        server.running -= 1
        self.run(server, call)
        while server.queue and server.running < server.slots:
            self.start_statement(server, server.queue.popleft())

    def run(self, server, call):
        """Execute an action on the member and send its answer."""
        if call.session_killed and call.writes:
            # The daemon ended this session before the statement committed.
            return
        try:
            event = self.execute(server, call)
        except NotPrimary as exc:
            call.fail(sent=False, detail=str(exc), stale=True)
            return
        except ClaimLost as exc:
            call.fail(sent=False, detail=str(exc), claim_lost=True)
            return
        except StatementRefused as exc:
            call.fail(sent=False, detail="refused", reason=exc.reason)
            return
        except KeyError:
            call.fail(sent=False, detail="no such transaction")
            return
        if call.writes:
            self.world.run_hook("committed", call)
            if self.servers[call.action.upstream].dead:
                return
            self.ship(call.action.upstream)
            # The position is read after the commit.
            event = replace(event, position=server.member.log_end)
        call.answer(event)

    def execute(self, server, call):
        """Carry out an action; return its event."""
        action, member, now = call.action, server.member, self.clock.now
        ids = {"op": action.op, "database": action.database}
        if isinstance(action, actions.Read):
            return StatementCompleted(**ids, result=member.read(action.statement))
        if isinstance(action, actions.Write):
            result, position = member.write(action)
            return StatementCompleted(**ids, result=result, position=position)
        if isinstance(action, actions.Settle):
            result, position = member.settle(action.row)
            return Settled(**ids, result=result, position=position)
        if isinstance(action, actions.TxBegin):
            server.txs[action.tx] = OpenTx()
            return StatementCompleted(**ids, result=Result())
        if isinstance(action, actions.TxRun):
            return StatementCompleted(**ids, result=self.run_in_tx(server, action))
        if isinstance(action, actions.TxCommit):
            result, position = member.commit_tx(server.txs[action.tx], action)
            del server.txs[action.tx]
            return StatementCompleted(**ids, result=result, position=position)
        self.execute_group_action(member, action)
        return StatusReceived(**ids, status=member.status(now))

    def run_in_tx(self, server, action):
        """A read or write inside a transaction."""
        tx = server.txs[action.tx]
        if action.statement.sql.startswith("select"):
            return server.member.read(action.statement)
        tx.effects.append(server.member.put(action.statement))
        return Result()

    def execute_group_action(self, member, action):
        """Fence, promote, follow and claim actions."""
        if isinstance(action, actions.Fence):
            member.fence(action.term)
        elif isinstance(action, actions.Promote):
            was_primary = member.primary
            member.promote(action.term)
            if member.primary and not was_primary:
                self.promoted.append((self.clock.now, member.promised, member.name))
                self.ship(member.name)
        elif isinstance(action, actions.Follow):
            member.follow(action.term, action.primary, self.clock.now)
        elif isinstance(action, actions.Claim):
            member.commit([SetClaim(action.holder)])
            self.ship(member.name)

    def roll_back_transactions(self, daemon):
        """A daemon's connections closed: roll back its open transactions."""
        for server in self.servers.values():
            for name in [item for item in server.txs if item.startswith(daemon + ".")]:
                del server.txs[name]

    # Faults

    def kill(self, name):
        """A member crashes: running work is lost, its log is kept."""
        server = self.servers[name]
        server.dead = True
        server.running = 0
        server.queue.clear()
        server.backlog.clear()
        server.txs.clear()

    def revive(self, name):
        """A crashed member restarts with its log."""
        server = self.servers[name]
        server.dead = False
        server.member.heard_at = self.clock.now

    def freeze(self, name):
        """Suspend a member; arriving actions are held back."""
        self.servers[name].frozen = True

    def thaw(self, name):
        """Resume a suspended member with its held-back actions."""
        server = self.servers[name]
        server.frozen = False
        backlog, server.backlog = server.backlog, []
        for call in backlog:
            self.deliver(call)


def shared_length(member, entries):
    """Number of leading entries a member shares with a shipment.

    Comparing the last entry is usually enough."""
    length = len(member.log)
    if length <= len(entries) and (not length or entries[length - 1] is member.log[-1]):
        return length
    return member.common_prefix([entry.term for entry in entries])


SLOT_ACTIONS = (
    actions.Read,
    actions.Write,
    actions.Settle,
    actions.TxBegin,
    actions.TxRun,
    actions.TxCommit,
)
WRITE_ACTIONS = (actions.Write, actions.TxCommit, actions.Settle)


class Call:
    """One upstream action, from the request to its answer."""

    def __init__(self, *, group, host, action):
        self.group = group
        self.world = group.world
        self.host = host
        self.action = action
        self.finished = False
        self.abandoned = False
        self.session_killed = False
        self.needs_slot = isinstance(action, SLOT_ACTIONS)
        self.writes = isinstance(action, WRITE_ACTIONS)
        fresh = getattr(action, "fresh", False)
        self.muted = not fresh and host.is_muted(action.upstream)

    def send(self):
        """Send to the member; time out after the action's timeout."""
        self.world.run_hook("before_send", self)
        self.host.calls[self.action.op] = self
        self.group.clock.after(self.action.timeout, self.time_out)
        self.transfer(self.group.deliver, self)
        self.world.run_hook("sent", self)

    def transfer(self, function, *args):
        """Call `function` after the latency, unless the path is cut or muted."""
        path = (self.host.name, self.action.upstream)
        if self.muted or self.world.is_cut(*path):
            return
        latency = self.world.latency(*path)
        self.group.clock.after(latency, self.arrive, path, function, args)

    def arrive(self, path, function, args):
        """Arrival at the receiver; lost if the path was cut meanwhile."""
        if not self.world.is_cut(*path):
            function(*args)

    def answer(self, event):
        """Send an event back to the daemon."""
        self.transfer(self.finish, event)

    def fail(self, **fields):
        """Send a failure back to the daemon."""
        fields = {"sent": False, **fields}
        ids = {"op": self.action.op, "database": self.action.database}
        self.answer(Failed(**ids, **fields))

    def finish(self, event):
        """Report to the daemon, at most once."""
        if self.finished:
            return
        self.finished = True
        self.host.calls.pop(self.action.op, None)
        if not self.abandoned:
            self.world.run_hook("answered", self)
            self.host.feed(event)

    def time_out(self):
        """No answer in time: discard the connection and end its session."""
        if self.finished:
            return
        self.kill_session()
        self.finish(
            Failed(
                op=self.action.op,
                database=self.action.database,
                sent=self.writes,
                detail="no answer in time",
                silent=True,
            )
        )

    def abandon(self):
        """The daemon abandoned the action."""
        self.abandoned = True
        self.kill_session()

    def kill_session(self):
        """End the session at the member, if a new connection reaches it."""
        server = self.group.servers[self.action.upstream]
        cut = self.world.is_cut(self.host.name, self.action.upstream)
        if not cut and not server.dead and not server.frozen:
            self.session_killed = True
