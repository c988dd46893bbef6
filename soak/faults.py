"""The faults of a soak run: each one starts, lasts, and is ended."""

import asyncio
import signal
import time

from soak.schedule import PLANNED_WEIGHTS

# Seconds after a fault for which a daemon may still not get updates from the store.
RECOVERY_TIME = 5.0
BULK_ROUTES = 1500
# How many upstreams are replaced in a run, and in one of leaving upstreams.
MAX_JOINS = 2
MAX_JOINS_WHEN_LEAVING = 8
# Two upstreams that crash are down for longer than their entries stay listed, seconds.
TWO_DOWN_TIME = 6.0
NETWORK_DELAY = 0.08
APPLY_LAG = 1.0
# Seconds that a statement takes at a slow upstream; the soak's routes wait for three.
SLOW_STATEMENTS = (0.5, 1.5, 3.5, 5.0)
# Ages of the copies from which the store is restored, seconds.
COPY_AGES = (1.0, 5.0, 30.0)


class FaultInjector:
    """Runs steps, and tells `checker` when no unplanned fault is active.

    The methods that a schedule names get the duration in seconds.
    """

    def __init__(self, *, fleet, standins, checker, rng, configs, max_joins=MAX_JOINS):
        self.fleet = fleet
        self.standins = standins
        self.checker = checker
        self.rng = rng
        self.configs = configs
        self.active = 0
        self.join_count = 0
        self.max_joins = max_joins

    async def run_step(self, step):
        """Run one fault from its start to its end."""
        planned = step.trouble in PLANNED_WEIGHTS or step.trouble == "member_leaves"
        if not planned:
            self.active += 1
            self.checker.fault_free_since = float("inf")
        try:
            await getattr(self, step.trouble)(step.lasts)
        finally:
            if not planned:
                self.active -= 1
                if not self.active:
                    self.checker.fault_free_since = time.monotonic()

    # Choices

    def any_daemon(self):
        """Return a random daemon in any state."""
        return self.rng.choice(list(self.fleet.daemons.values()))

    def some_daemons(self):
        """Return a random third of the daemons, at least one."""
        daemons = list(self.fleet.daemons.values())
        return self.rng.sample(daemons, max(1, len(daemons) // 3))

    def any_member(self):
        """Return a random member's name."""
        return self.rng.choice(list(self.fleet.members))

    async def any_or_leader(self):
        """Return the leader with a probability of at least one half, or any member."""
        leader = await self.standins.run_command("leader")
        return leader if leader and self.rng.random() < 0.5 else self.any_member()

    def mark_affected(self, daemons, duration):
        """Mark daemons as affected from now until RECOVERY_TIME after a fault."""
        until = time.monotonic() + duration + RECOVERY_TIME
        for daemon in daemons:
            daemon.affected_until = max(daemon.affected_until, until)

    # Daemons

    async def kill(self, duration):
        """Kill a process and start it again."""
        await self.restart(self.any_daemon(), signal.SIGKILL, duration)

    async def drain(self, duration):
        """Stop a process with SIGTERM and start it again."""
        await self.restart(self.any_daemon(), signal.SIGTERM, duration)

    async def drain_some(self, duration):
        """Stop a third of the processes at the same time, possibly all owners."""
        await asyncio.gather(
            *(
                self.restart(daemon, signal.SIGTERM, duration / 5)
                for daemon in self.some_daemons()
            )
        )

    async def roll(self, duration):
        """Restart a third of the processes one after the other."""
        for daemon in self.some_daemons():
            await self.restart(daemon, signal.SIGTERM, 0.2)

    async def kill_all(self, duration):
        """Kill all processes at the same time."""
        await asyncio.gather(
            *(
                self.restart(daemon, signal.SIGKILL, duration)
                for daemon in self.fleet.daemons.values()
            )
        )

    async def restart(self, daemon, signal_number, duration):
        """Stop a process with a signal and start it again after `duration` seconds."""
        if daemon.stopped_by_soak:
            return
        self.mark_affected([daemon], 8.0 + duration)
        if signal_number == signal.SIGTERM:
            self.checker.draining_since[daemon.name] = time.monotonic()
        await self.fleet.stop_daemon(daemon, signal_number)
        self.checker.draining_since.pop(daemon.name, None)
        await asyncio.sleep(duration)
        await self.fleet.spawn(daemon)
        self.mark_affected([daemon], RECOVERY_TIME)

    async def pause(self, duration):
        """Suspend a process."""
        daemon = self.any_daemon()
        self.mark_affected([daemon], duration)
        self.fleet.pause(daemon)
        await asyncio.sleep(duration)
        self.fleet.resume(daemon)

    async def hup(self, duration):
        """Tell all running processes to reload their settings."""
        for daemon in self.fleet.running():
            if not daemon.stopped_by_soak:
                daemon.process.send_signal(signal.SIGHUP)

    # The store

    async def store_fault(self, duration, **faults):
        """Inject faults of the store that affect all daemons."""
        self.mark_affected(self.fleet.daemons.values(), duration)
        await self.standins.run_command("store", **faults)
        await asyncio.sleep(duration)
        await self.standins.run_command("store")

    async def store_busy(self, duration):
        """Refuse every call."""
        await self.store_fault(duration, busy=True)

    async def store_silent(self, duration):
        """Answer no call."""
        await self.store_fault(duration, silent=True)

    async def store_slow(self, duration):
        """Delay every answer."""
        await self.store_fault(duration, slow=0.3)

    async def store_lose(self, duration):
        """Apply writes without answering them."""
        await self.store_fault(duration, lose=5)

    async def store_forget(self, duration):
        """Discard the history of changes."""
        await self.store_fault(0.0, forget=True)

    async def store_return(self, duration):
        """Make the store unavailable, then restore it from an older copy."""
        self.mark_affected(self.fleet.daemons.values(), duration)
        await self.standins.run_command("store", silent=True)
        await asyncio.sleep(duration / 2)
        await self.standins.run_command("store_return", age=self.rng.choice(COPY_AGES))
        await self.standins.run_command("store")

    async def store_cut_from_some(self, duration):
        """Refuse the connections of some daemons."""
        await self.proxy_fault(
            [daemon.store_proxy for daemon in self.some_daemons()],
            duration,
            refuse=True,
        )

    async def store_silent_for_some(self, duration):
        """Silence the open and new connections of some daemons."""
        await self.proxy_fault(
            [daemon.store_proxy for daemon in self.some_daemons()],
            duration,
            silent=True,
        )

    async def store_reset(self, duration):
        """Reset half of the connections to the store."""
        for daemon in self.fleet.daemons.values():
            daemon.store_proxy.reset(0.5, self.rng)

    async def strange_entry(self, duration):
        """Write a malformed entry, as another writer could."""
        await self.standins.run_command("strange", name=f"x{self.rng.randint(0, 5)}")

    # Upstreams

    async def member_fault(self, duration, what, value, normal):
        """Set an attribute of a member to `value`, and to `normal` afterwards."""
        name = await self.any_or_leader()
        await self.standins.run_command("member", name=name, what=what, value=value)
        await asyncio.sleep(duration)
        await self.standins.run_command("member", name=name, what=what, value=normal)

    async def upstream_crash(self, duration):
        """Crash a member and restart it with its log."""
        name = await self.any_or_leader()
        if name in self.checker.leaving_since:
            return
        await self.standins.run_command("member", name=name, what="crash")
        await asyncio.sleep(duration + 1.5)
        await self.standins.run_command("member", name=name, what="restart")

    async def two_crash(self, duration):
        """Crash the primary and a replica while a third member lacks their commits."""
        leader = await self.standins.run_command("leader")
        others = [
            name
            for name in self.fleet.members
            if name != leader and name not in self.checker.leaving_since
        ]
        if not leader or leader in self.checker.leaving_since or len(others) < 2:
            return
        behind, other = self.rng.sample(others, 2)
        await self.set_member(behind, "not_receiving", True)
        await asyncio.sleep(1.0)
        for name in (leader, other):
            await self.set_member(name, "crash")
        await self.set_member(behind, "not_receiving", False)
        await asyncio.sleep(TWO_DOWN_TIME + duration)
        for name in (leader, other):
            await self.set_member(name, "restart")

    async def two_crash_and_kill_all(self, duration):
        """The same, and all daemons restart while the two are down."""
        await asyncio.gather(self.two_crash(duration), self.kill_all_after(1.5))

    async def kill_all_after(self, seconds):
        """Kill all processes after some time."""
        await asyncio.sleep(seconds)
        await self.kill_all(0.2)

    async def set_member(self, name, what, value=True):
        """Set or end a fault of one member."""
        await self.standins.run_command("member", name=name, what=what, value=value)

    async def upstream_dark(self, duration):
        """Make a member answer nothing."""
        await self.member_fault(duration, "unresponsive", True, False)

    async def upstream_deaf(self, duration):
        """Make a member receive nothing."""
        await self.member_fault(duration, "not_receiving", True, False)

    async def upstream_lag(self, duration):
        """Make a member apply changes late."""
        await self.member_fault(duration, "lag", APPLY_LAG, 0.008)

    async def upstream_slow(self, duration):
        """Make a member take longer for a statement than callers wait."""
        work = self.rng.choice(SLOW_STATEMENTS)
        await self.member_fault(duration, "work", work, 0.02)

    async def primary_cut(self, duration):
        """Cut the primary from its replicas."""
        name = await self.standins.run_command("leader")
        if not name:
            return
        await self.standins.run_command("member", name=name, what="cut", value=True)
        await asyncio.sleep(duration)
        await self.standins.run_command("member", name=name, what="cut", value=False)

    async def member_leaves(self, duration):
        """Add a member, then let an old one leave; at most `max_joins` times."""
        if self.join_count >= self.max_joins:
            return
        self.join_count += 1
        new = await self.standins.run_command("join")
        await self.fleet.add_member(new["member"], new["address"])
        await self.standins.run_command("list", name=new["member"])
        await asyncio.sleep(1.0 + duration)
        known = [
            name
            for name in self.fleet.members
            if name not in self.checker.leaving_since
        ]
        name = self.rng.choice([item for item in known if item != new["member"]])
        self.checker.leaving_since[name] = time.monotonic()
        await self.standins.run_command("leave", name=name)
        await asyncio.sleep(9.0)
        await self.standins.run_command("gone", name=name)
        del self.fleet.members[name]

    # Network

    async def proxy_fault(self, proxies, duration, **faults):
        """Set faults of some proxies, and end them afterwards."""
        affected = [
            daemon
            for daemon in self.fleet.daemons.values()
            if any(proxy in daemon.proxies() for proxy in proxies)
        ]
        self.mark_affected(affected, duration)
        for proxy in proxies:
            for name, value in faults.items():
                setattr(proxy.faults, name, value)
            if faults.get("refuse"):
                proxy.reset()
        await asyncio.sleep(duration)
        for proxy in proxies:
            for name, value in faults.items():
                setattr(proxy.faults, name, type(value)())

    def upstream_proxies(self):
        """Return some daemons' proxies to a random member."""
        name = self.any_member()
        return [daemon.upstream_proxies[name] for daemon in self.some_daemons()]

    async def path_silent(self, duration):
        """Silence most open connections to a member permanently; new ones work."""
        for proxy in self.upstream_proxies():
            proxy.silence(0.7, self.rng)

    async def path_one_way(self, duration):
        """Block one direction between some daemons and a member."""
        direction = self.rng.choice(("to_target", "to_client"))
        await self.proxy_fault(
            self.upstream_proxies(), duration, blocked_direction=direction
        )

    async def path_reset(self, duration):
        """Reset most connections to a member."""
        for proxy in self.upstream_proxies():
            proxy.reset(0.7, self.rng)

    async def path_delay(self, duration):
        """Add latency between some daemons and a member."""
        await self.proxy_fault(self.upstream_proxies(), duration, delay=NETWORK_DELAY)

    async def path_drop(self, duration):
        """Reset connections in the middle of answers."""
        await self.proxy_fault(
            self.upstream_proxies(),
            duration,
            reset_after_bytes=self.rng.randint(50, 5000),
        )

    def link_proxies(self):
        """Return some daemons' link proxies."""
        return [daemon.link_proxy for daemon in self.some_daemons()]

    async def links_silent(self, duration):
        """Silence open links permanently; new ones work."""
        for proxy in self.link_proxies():
            proxy.silence()

    async def links_delay(self, duration):
        """Add latency to links."""
        await self.proxy_fault(self.link_proxies(), duration, delay=NETWORK_DELAY)

    async def links_reset(self, duration):
        """Reset links."""
        for proxy in self.link_proxies():
            proxy.reset()

    async def links_one_way(self, duration):
        """Block one direction of links."""
        direction = self.rng.choice(("to_target", "to_client"))
        await self.proxy_fault(
            self.link_proxies(), duration, blocked_direction=direction
        )

    # Configurations

    async def configure(self, duration):
        """Make one change: add a route, and possibly remove one."""
        await self.configs.change()

    async def configure_large(self, duration):
        """Make a large change: add one probed route and very many unused ones."""
        await self.configs.change(bulk=BULK_ROUTES)

    async def configure_storm(self, duration):
        """Make changes in quick succession."""
        for _ in range(6):
            await self.configs.change(bulk=self.rng.choice((0, BULK_ROUTES)))
            await asyncio.sleep(0.1)
