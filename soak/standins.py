"""Runs stand-ins of the store and one group of upstreams in a separate process.

Reads commands as JSON lines from standard input, and writes results and events of the
upstreams as JSON lines to standard output. Times are of the system's monotonic clock,
which all processes of a machine share.
"""

import asyncio
import json
import sys
import time
from collections import deque
from itertools import count

from gypsum_platform.object_handlers import CONFIG_KIND, CONFIG_NAME, UPSTREAM_KIND
from gypsum_sessions.replies import SessionState
from soak.workspaces import tenants
from tests.sessions.fakegroup import FakeMember
from tests.standins.platformworld import GROUP, World, configuration, route
from tests.standins.wireupstream import listen

# Maximum number of missing writes reported for a read; more than callers write while a
# replica lags.
MAX_MISSING = 2000
HTTP_UNAVAILABLE = 503
# Seconds between copies of the store, and how many copies are kept.
COPY_INTERVAL = 0.5
MAX_COPIES = 80
# Seconds after which operator and upstreams rewrite what the store lost.
REWRITE_DELAY = 0.5


def emit(**fields):
    """Write a JSON line with the current time as `at`."""
    sys.stdout.write(json.dumps({"at": time.monotonic(), **fields}) + "\n")
    sys.stdout.flush()


class Observer:
    """Reports the statements that the upstreams run."""

    def __init__(self, *, group):
        self.group = group
        self.connection_numbers = {}
        self.counter = count()

    def statement_ran(self, conn, request):
        """Report a caller's statement that an upstream ran."""
        number = self.connection_numbers.setdefault(
            conn.transaction, next(self.counter)
        )
        emit(
            event="ran",
            request=request,
            member=conn.member.id,
            conn=number,
            workspace=conn.workspace,
            values=conn.values,
            in_transaction=conn.state is SessionState.IN_TRANSACTION,
        )

    def read_ran(self, member, request):
        """Report a read, with the leader's data that the upstream lacked."""
        emit(
            event="read",
            request=request,
            member=member.id,
            lacks=self.missing_data(member),
        )

    def missing_data(self, member):
        """Return the leader's newest data that a member lacks, oldest first."""
        if self.group.leader is None:
            return []
        log, shown = self.group.leader.log, member.log[: member.applied]
        at = len(shown)
        if at and (at > len(log) or log[at - 1] is not shown[-1]):
            known = set(map(id, shown))
            missing = [entry for entry in log if id(entry) not in known]
        else:
            missing = log[at:]
        data = [text for entry in missing for _, text in entry.writes]
        return data[-MAX_MISSING:]


class StandIns:
    """The stand-ins of the process tests, controlled by commands.

    The commands are the methods in the section below, called by name.
    """

    def __init__(self, *, connections):
        self.world = World(folder=".", connections=connections, tenants=tenants())
        self.group = self.world.group
        self.group.observer = Observer(group=self.group)
        self.version = 1
        self.added = []
        self.keys = []
        self.spec = None
        self.copies = deque(maxlen=MAX_COPIES)
        self.world.store.era = 1

    async def start(self):
        """Start serving and report the addresses."""
        await self.world.start(daemons=0)
        emit(event="ready", store=self.world.address, members=self.world.addresses)

    # Commands

    def store(self, **faults):
        """Set the faults of the store; those left out are ended."""
        store = self.world.store
        store.refuse = HTTP_UNAVAILABLE if faults.get("busy") else 0
        store.silent = bool(faults.get("silent"))
        store.slow = faults.get("slow", 0.0)
        store.lose = faults.get("lose", 0)
        if faults.get("forget"):
            store.forget_history()

    def keep_copies(self):
        """Keep a copy of the store every COPY_INTERVAL from now on."""
        self.copies.append((time.monotonic(), self.world.store.copy()))
        self.call_later(COPY_INTERVAL, self.keep_copies)

    def store_return(self, age):
        """Restore the store from a copy `age` seconds old, or from the oldest one."""
        until = time.monotonic() - age
        while len(self.copies) > 1 and self.copies[-1][0] > until:
            self.copies.pop()
        self.world.store.return_from(self.copies[-1][1])
        self.call_later(REWRITE_DELAY, self.rewrite_entries)

    def rewrite_entries(self):
        """Write the current configuration and members, as their writers would."""
        store = self.world.store
        if self.spec is not None:
            store.put(CONFIG_KIND, CONFIG_NAME, self.spec)
        alive = [member for member in self.group.members if not member.dead]
        for name in store.kinds[UPSTREAM_KIND].keys() - {item.id for item in alive}:
            store.remove(UPSTREAM_KIND, name)
        for member in alive:
            self.world.list_member(member)

    def member(self, name, what, value=True):
        """Set or end a fault of a member: a crash, a cut, or an attribute."""
        member = self.group[name]
        match what:
            case "crash":
                member.crash()
                self.call_later(1.0, self.world.store.remove, UPSTREAM_KIND, name)
            case "restart":
                member.restart()
                self.world.list_member(member)
            case "cut":
                others = {item.id for item in self.group.members if item is not member}
                member.cut_from = others if value else set()
            case _:
                setattr(member, what, value)

    def leader(self):
        """Return the leader's name, or an empty string."""
        return self.group.leader.id if self.group.leader else ""

    async def join(self):
        """Add a member, which is listed once all daemons have a proxy to it."""
        number = len(self.group.members) + len(self.group.departed) + 1
        member = FakeMember(id=f"u{number}", group=self.group)
        self.group.members.append(member)
        server, address = await listen(member)
        self.world.servers[member.id] = server
        self.world.addresses[member.id] = address
        return {"member": member.id, "address": address}

    def list(self, name):
        """Write a member's entry."""
        self.world.list_member(self.group[name])

    def leave(self, name):
        """List a member as leaving."""
        self.group[name].leaving = True
        self.list(name)

    def gone(self, name):
        """Stop and remove a member that is leaving."""
        member = self.group[name]
        member.crash()
        self.world.servers[name].close()
        self.world.store.remove(UPSTREAM_KIND, name)
        if member is not self.group.leader:
            self.group.members.remove(member)
            self.group.departed.append(member)

    def strange(self, name):
        """Write a malformed entry, as another writer could."""
        self.world.store.put(UPSTREAM_KIND, name, {"service": GROUP, "state": 3})

    def configure(self, add=(), drop=(), bulk=0, keys=None):
        """Write a new version with routes added and removed, and `bulk` unused ones.

        `keys` are the spare keys of a workspace; None leaves them as they are.
        """
        self.version += 1
        self.added = [name for name in (*self.added, *add) if name not in drop]
        self.keys = self.keys if keys is None else keys
        spec = configuration(self.version, self.world.connections, tenants(self.keys))
        spec["routes"] += [route(name, "read_your_writes") for name in self.added]
        spec["routes"] += [route(f"bulk{n}", "primary") for n in range(bulk)]
        self.spec = spec
        self.world.store.put(CONFIG_KIND, CONFIG_NAME, spec)
        return {"version": self.version}

    def report(self):
        """Return the data of the last log and the promotion orders."""
        leader = self.group.leader or max(
            self.group.members, key=lambda item: len(item.log)
        )
        kept = [data for entry in leader.log for _, data in entry.writes]
        return {"kept": kept, "orders": self.world.store.orders}

    def call_later(self, seconds, call, *args):
        """Call a function after some seconds."""
        asyncio.get_running_loop().call_later(seconds, call, *args)

    async def run(self):
        """Run commands until standard input ends."""
        reader = asyncio.StreamReader(limit=1 << 20)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while text := await reader.readline():
            command = json.loads(text)
            number, name = command.pop("number"), command.pop("do")
            result = getattr(self, name)(**command)
            if asyncio.iscoroutine(result):
                result = await result
            emit(event="done", number=number, result=result)


async def main():
    """Run the stand-ins until standard input ends."""
    standins = StandIns(connections=int(sys.argv[1]))
    await standins.start()
    await standins.run()


if __name__ == "__main__":
    asyncio.run(main())
