"""The store and one group of upstreams as a process of their own.

Commands come as JSON lines on standard input, answers and what the upstreams ran go out
as JSON lines on standard output. Times are those of the system's monotonic clock, which
all processes of a machine share.
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

# Data that a read lacked: more than callers write while a replica lags.
MOST_LACKING = 2000
BUSY = 503
# A copy of the store is kept this often, seconds, and so many of them.
COPY_EVERY = 0.5
MOST_COPIES = 80
# Operator and upstreams write again what the store lost within this, seconds.
WRITTEN_AGAIN = 0.5


def tell(**fields):
    """Write one line."""
    sys.stdout.write(json.dumps({"at": time.monotonic(), **fields}) + "\n")
    sys.stdout.flush()


class Observer:
    """Tells what the upstreams run."""

    def __init__(self, *, group):
        self.group = group
        self.numbers = {}
        self.counter = count()

    def statement_ran(self, conn, request):
        """An upstream ran a caller's statement."""
        number = self.numbers.setdefault(conn.transaction, next(self.counter))
        tell(
            event="ran",
            request=request,
            member=conn.member.id,
            conn=number,
            workspace=conn.workspace,
            values=conn.values,
            in_transaction=conn.state is SessionState.IN_TRANSACTION,
        )

    def read_ran(self, member, request):
        """An upstream ran a read: what of the leader's log did its own lack?"""
        tell(event="read", request=request, member=member.id, lacks=self.lacks(member))

    def lacks(self, member):
        """Data that the leader has and a member does not show, the newest first."""
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
        return data[-MOST_LACKING:]


class StandIns:
    """The world of the process tests without its daemons, moved by commands."""

    def __init__(self, *, connections):
        self.world = World(folder=".", connections=connections, tenants=tenants())
        self.group = self.world.group
        self.group.observer = Observer(group=self.group)
        self.version = 1
        self.added = []
        self.keys = []
        self.spec = None
        self.copies = deque(maxlen=MOST_COPIES)
        self.world.store.era = 1

    async def start(self):
        """Serve; tells where."""
        await self.world.start(daemons=0)
        tell(event="ready", store=self.world.address, members=self.world.addresses)

    # Commands

    def store(self, **faults):
        """What is wrong with the store; what is left out is well."""
        store = self.world.store
        store.refuse = BUSY if faults.get("busy") else 0
        store.silent = bool(faults.get("silent"))
        store.slow = faults.get("slow", 0.0)
        store.lose = faults.get("lose", 0)
        if faults.get("forget"):
            store.forget_history()

    def keep_copies(self):
        """Keep a copy of the store now and then, from now on."""
        self.copies.append((time.monotonic(), self.world.store.copy()))
        self.later(COPY_EVERY, self.keep_copies)

    def store_return(self, age):
        """The store returns from a copy that is so old, or from the oldest."""
        until = time.monotonic() - age
        while len(self.copies) > 1 and self.copies[-1][0] > until:
            self.copies.pop()
        self.world.store.return_from(self.copies[-1][1])
        self.later(WRITTEN_AGAIN, self.write_again)

    def write_again(self):
        """The operator and the upstreams write what is true now."""
        store = self.world.store
        if self.spec is not None:
            store.put(CONFIG_KIND, CONFIG_NAME, self.spec)
        alive = [member for member in self.group.members if not member.dead]
        for name in store.kinds[UPSTREAM_KIND].keys() - {item.id for item in alive}:
            store.remove(UPSTREAM_KIND, name)
        for member in alive:
            self.world.list_member(member)

    def member(self, name, what, value=True):
        """Set a fault of a member, or end it."""
        member = self.group[name]
        match what:
            case "crash":
                member.crash()
                self.later(1.0, self.world.store.remove, UPSTREAM_KIND, name)
            case "restart":
                member.restart()
                self.world.list_member(member)
            case "cut":
                others = {item.id for item in self.group.members if item is not member}
                member.cut_from = others if value else set()
            case _:
                setattr(member, what, value)

    def leader(self):
        """Who leads."""
        return self.group.leader.id if self.group.leader else ""

    async def join(self):
        """A new member comes; it is listed once its address is known to all."""
        member = FakeMember(id=f"u{len(self.group.members) + 1}", group=self.group)
        self.group.members.append(member)
        server, address = await listen(member)
        self.world.servers[member.id] = server
        self.world.addresses[member.id] = address
        return {"member": member.id, "address": address}

    def list(self, name):
        """List a member."""
        self.world.list_member(self.group[name])

    def leave(self, name):
        """A member says that it leaves."""
        self.group[name].leaving = True
        self.list(name)

    def gone(self, name):
        """A member that said so is gone."""
        member = self.group[name]
        member.crash()
        self.world.servers[name].close()
        self.world.store.remove(UPSTREAM_KIND, name)
        if member is not self.group.leader:
            self.group.members.remove(member)
            self.group.departed.append(member)

    def strange(self, name):
        """Another writer leaves an entry that names no upstream."""
        self.world.store.put(UPSTREAM_KIND, name, {"service": GROUP, "state": 3})

    def configure(self, add=(), drop=(), bulk=0, keys=None):
        """A new version: routes more, routes less, and many that nobody asks for.

        `keys` are the spare ones of a workspace, as before if it is None.
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
        """The last log and the orders to promote."""
        leader = self.group.leader or max(
            self.group.members, key=lambda item: len(item.log)
        )
        kept = [data for entry in leader.log for _, data in entry.writes]
        return {"kept": kept, "orders": self.world.store.orders}

    def later(self, seconds, call, *args):
        """Do something later."""
        asyncio.get_running_loop().call_later(seconds, call, *args)

    async def run(self):
        """Carry out commands until standard input ends."""
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
            tell(event="done", number=number, result=result)


async def main():
    """Serve until standard input ends."""
    standins = StandIns(connections=int(sys.argv[1]))
    await standins.start()
    await standins.run()


if __name__ == "__main__":
    asyncio.run(main())
