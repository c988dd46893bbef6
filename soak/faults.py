"""The troubles of a soak: each begins, lasts, and is mended."""

import asyncio
import signal
import time

from soak.schedule import PLANNED

# After its trouble a daemon may be out of touch for this much longer, seconds.
OUT_OF_TOUCH = 5.0
LARGE = 1500
DELAY = 0.08
LAG = 1.0
# How old the copies are from which the store returns, seconds.
COPY_AGES = (1.0, 5.0, 30.0)


class Troubles:
    """Carries steps out; `book` is told when all is calm."""

    def __init__(self, *, fleet, standins, book, rng, configs):
        self.fleet = fleet
        self.standins = standins
        self.book = book
        self.rng = rng
        self.configs = configs
        self.on = 0
        self.joined = 0

    async def play(self, step):
        """One trouble from its beginning to its end."""
        planned = step.trouble in PLANNED or step.trouble == "member_leaves"
        if not planned:
            self.on += 1
            self.book.calm_since = float("inf")
        try:
            await getattr(self, step.trouble)(step.lasts)
        finally:
            if not planned:
                self.on -= 1
                if not self.on:
                    self.book.calm_since = time.monotonic()

    # Choices

    def any_daemon(self):
        """A daemon, whatever state it is in."""
        return self.rng.choice(list(self.fleet.daemons.values()))

    def some(self):
        """A third of the daemons."""
        daemons = list(self.fleet.daemons.values())
        return self.rng.sample(daemons, max(1, len(daemons) // 3))

    def any_member(self):
        """A member's name."""
        return self.rng.choice(list(self.fleet.members))

    async def any_or_leader(self):
        """The leader half of the time."""
        leader = await self.standins.do("leader")
        return leader if leader and self.rng.random() < 0.5 else self.any_member()

    def trouble(self, daemons, lasts):
        """Daemons are out of touch from now on until a while after a trouble."""
        until = time.monotonic() + lasts + OUT_OF_TOUCH
        for daemon in daemons:
            daemon.troubled_until = max(daemon.troubled_until, until)

    # Daemons

    async def kill(self, lasts):
        """A process is killed and started again."""
        await self.restart(self.any_daemon(), signal.SIGKILL, lasts)

    async def drain(self, lasts):
        """A process is told to end, and started again."""
        await self.restart(self.any_daemon(), signal.SIGTERM, lasts)

    async def drain_some(self, lasts):
        """A third of the processes at the same moment: perhaps all owners."""
        await asyncio.gather(
            *(self.restart(daemon, signal.SIGTERM, lasts / 5) for daemon in self.some())
        )

    async def roll(self, lasts):
        """Three processes in turn."""
        for daemon in self.some():
            await self.restart(daemon, signal.SIGTERM, 0.2)

    async def kill_all(self, lasts):
        """All processes at once."""
        await asyncio.gather(
            *(
                self.restart(daemon, signal.SIGKILL, lasts)
                for daemon in self.fleet.daemons.values()
            )
        )

    async def restart(self, daemon, number, lasts):
        """End a process, and start it again after a while."""
        if daemon.ended_by_us:
            return
        self.trouble([daemon], 8.0 + lasts)
        if number == signal.SIGTERM:
            self.book.draining[daemon.name] = time.monotonic()
        await self.fleet.end(daemon, number)
        self.book.draining.pop(daemon.name, None)
        await asyncio.sleep(lasts)
        await self.fleet.spawn(daemon)
        self.trouble([daemon], OUT_OF_TOUCH)

    async def pause(self, lasts):
        """A process stands still."""
        daemon = self.any_daemon()
        self.trouble([daemon], lasts)
        self.fleet.pause(daemon)
        await asyncio.sleep(lasts)
        self.fleet.resume(daemon)

    async def hup(self, lasts):
        """Processes are told to read their settings."""
        for daemon in self.fleet.alive():
            if not daemon.ended_by_us:
                daemon.process.send_signal(signal.SIGHUP)

    # The store

    async def store(self, lasts, **faults):
        """The store is not well for all."""
        self.trouble(self.fleet.daemons.values(), lasts)
        await self.standins.do("store", **faults)
        await asyncio.sleep(lasts)
        await self.standins.do("store")

    async def store_busy(self, lasts):
        """It refuses every call."""
        await self.store(lasts, busy=True)

    async def store_silent(self, lasts):
        """It answers nothing."""
        await self.store(lasts, silent=True)

    async def store_slow(self, lasts):
        """Its answers take long."""
        await self.store(lasts, slow=0.3)

    async def store_lose(self, lasts):
        """Writes are done and not answered."""
        await self.store(lasts, lose=5)

    async def store_forget(self, lasts):
        """It forgets its history."""
        await self.store(0.0, forget=True)

    async def store_return(self, lasts):
        """It is away for a moment and returns from an older copy."""
        self.trouble(self.fleet.daemons.values(), lasts)
        await self.standins.do("store", silent=True)
        await asyncio.sleep(lasts / 2)
        await self.standins.do("store_return", age=self.rng.choice(COPY_AGES))
        await self.standins.do("store")

    async def store_cut_from_some(self, lasts):
        """It turns some daemons away."""
        await self.wires([daemon.store for daemon in self.some()], lasts, refuse=True)

    async def store_silent_for_some(self, lasts):
        """Some daemons' connections to it go silent, and new ones as well."""
        await self.wires([daemon.store for daemon in self.some()], lasts, silent=True)

    async def store_reset(self, lasts):
        """Connections to it are reset."""
        for daemon in self.fleet.daemons.values():
            daemon.store.reset(0.5, self.rng)

    async def strange_entry(self, lasts):
        """Another writer leaves an entry."""
        await self.standins.do("strange", name=f"x{self.rng.randint(0, 5)}")

    # Upstreams

    async def member_fault(self, lasts, what, value, well):
        """A member has a fault for a while."""
        name = await self.any_or_leader()
        await self.standins.do("member", name=name, what=what, value=value)
        await asyncio.sleep(lasts)
        await self.standins.do("member", name=name, what=what, value=well)

    async def upstream_crash(self, lasts):
        """A member crashes, and comes back with its log."""
        name = await self.any_or_leader()
        if name in self.book.leaving:
            return
        await self.standins.do("member", name=name, what="crash")
        await asyncio.sleep(lasts + 1.5)
        await self.standins.do("member", name=name, what="restart")

    async def upstream_dark(self, lasts):
        """A member answers nothing."""
        await self.member_fault(lasts, "unresponsive", True, False)

    async def upstream_deaf(self, lasts):
        """A member receives nothing."""
        await self.member_fault(lasts, "not_receiving", True, False)

    async def upstream_lag(self, lasts):
        """A member applies late."""
        await self.member_fault(lasts, "lag", LAG, 0.008)

    async def primary_cut(self, lasts):
        """The primary loses its replicas."""
        name = await self.standins.do("leader")
        if not name:
            return
        await self.standins.do("member", name=name, what="cut", value=True)
        await asyncio.sleep(lasts)
        await self.standins.do("member", name=name, what="cut", value=False)

    async def member_leaves(self, lasts):
        """A new member joins, then an old one leaves and is gone."""
        if self.joined >= 2:
            return
        self.joined += 1
        new = await self.standins.do("join")
        await self.fleet.joined(new["member"], new["address"])
        await self.standins.do("list", name=new["member"])
        await asyncio.sleep(1.0 + lasts)
        known = [name for name in self.fleet.members if name not in self.book.leaving]
        name = self.rng.choice([item for item in known if item != new["member"]])
        self.book.leaving[name] = time.monotonic()
        await self.standins.do("leave", name=name)
        await asyncio.sleep(9.0)
        await self.standins.do("gone", name=name)
        del self.fleet.members[name]

    # Wires

    async def wires(self, wires, lasts, **faults):
        """Wires are not well for a while."""
        owners = [
            daemon
            for daemon in self.fleet.daemons.values()
            if any(wire in daemon.wires() for wire in wires)
        ]
        self.trouble(owners, lasts)
        for wire in wires:
            for name, value in faults.items():
                setattr(wire.faults, name, value)
            if faults.get("refuse"):
                wire.reset()
        await asyncio.sleep(lasts)
        for wire in wires:
            for name, value in faults.items():
                setattr(wire.faults, name, type(value)())

    def paths(self):
        """Some daemons' wires to a member."""
        name = self.any_member()
        return [daemon.upstreams[name] for daemon in self.some()]

    async def path_silent(self, lasts):
        """Open connections to a member go silent for good, new ones work."""
        for wire in self.paths():
            wire.silence(0.7, self.rng)

    async def path_one_way(self, lasts):
        """Bytes go one way only between some daemons and a member."""
        way = self.rng.choice(("there", "back"))
        await self.wires(self.paths(), lasts, cut_way=way)

    async def path_reset(self, lasts):
        """Connections to a member are reset."""
        for wire in self.paths():
            wire.reset(0.7, self.rng)

    async def path_delay(self, lasts):
        """A member is far away for some daemons."""
        await self.wires(self.paths(), lasts, delay=DELAY)

    async def path_drop(self, lasts):
        """Connections end in the middle of answers."""
        await self.wires(self.paths(), lasts, drop_after=self.rng.randint(50, 5000))

    def links(self):
        """Some daemons' links."""
        return [daemon.link for daemon in self.some()]

    async def links_silent(self, lasts):
        """Links go silent for good, new ones work."""
        for wire in self.links():
            wire.silence()

    async def links_delay(self, lasts):
        """Links are slow."""
        await self.wires(self.links(), lasts, delay=DELAY)

    async def links_reset(self, lasts):
        """Links are reset."""
        for wire in self.links():
            wire.reset()

    async def links_one_way(self, lasts):
        """Bytes go one way only over links."""
        way = self.rng.choice(("there", "back"))
        await self.wires(self.links(), lasts, cut_way=way)

    # Configurations

    async def configure(self, lasts):
        """One change: a route more, and perhaps one less."""
        await self.configs.change()

    async def configure_large(self, lasts):
        """Very many routes more, and one of them that is asked for."""
        await self.configs.change(bulk=LARGE)

    async def configure_storm(self, lasts):
        """Changes in quick succession."""
        for _ in range(6):
            await self.configs.change(bulk=self.rng.choice((0, LARGE)))
            await asyncio.sleep(0.1)
