"""Asks the other owners of a group what they know of its primary.

While this daemon does not reach the primary, others may. A takeover also asks for the
highest positions that the primary has shown to them.
"""

import asyncio

from gypsum_policy.reachability import (
    ASK_INTERVAL,
    confirming_daemons,
    confirms_primary,
)
from gypsum_sessions.daemons.peermessages import LeaderRequest
from gypsum_sessions.daemons.peers import PeerLost

PART = "reach"
# A running owner answers within a few milliseconds. Seconds.
ANSWER_TIMEOUT = 0.3


class PeerReachability:
    """Tracks which other owners of a group have recently proven its primary.

    The owners are asked only while this daemon has no proven primary. `confirmed_at`
    maps an owner's name to the time of its latest proof, on this daemon's clock.
    """

    def __init__(self, *, group, peers):
        self.group = group
        self.context = group.context
        self.peers = peers
        self.confirmed_at = {}

    def confirming_daemons(self):
        """Owners that recently proved the primary; none while this daemon proves it."""
        if self.group.watch.leader:
            return []
        return confirming_daemons(self.confirmed_at, self.context.clock())

    async def run(self):
        """Ask the other owners whenever no primary is proven here, until cancelled."""
        watch = self.group.watch
        while True:
            if watch.leader:
                self.confirmed_at.clear()
                await watch.wait_change(ASK_INTERVAL)
                continue
            if not watch.last_leader:
                # After a start, wait first: the first search usually ends sooner, and
                # when all daemons restart together each would dial all others before
                # they can answer. Later the answer is needed at once, before a takeover
                # begins.
                await watch.wait_change(ASK_INTERVAL)
            if not watch.leader:
                await self.ask_all()
            await watch.wait_change(ASK_INTERVAL)

    async def ask_all(self):
        """Ask every other owner in the background, without waiting for the answers."""
        names = [name for name in self.others() if not self.peers.avoided(name)]
        self.group.track_tasks({asyncio.create_task(self.ask(name)) for name in names})

    def others(self):
        """The other owners of the group."""
        daemons = self.context.daemons
        return [
            name for name in daemons.owners(self.group.spec) if name != daemons.own.id
        ]

    async def shown_positions(self):
        """The highest position shown to each owner; None for one that doesn't know."""
        answers = await asyncio.gather(*(self.request(name) for name in self.others()))
        others = [answer and answer.shown for answer in answers]
        return [self.group.floors.highest, *others]

    async def request(self, name):
        """One owner's answer about the primary; None without one."""
        try:
            link = await self.peers.link(name, ANSWER_TIMEOUT)
            return await link.request(
                lambda call: LeaderRequest(call=call, group=self.group.name),
                timeout=ANSWER_TIMEOUT,
            )
        except PeerLost:
            return None

    async def ask(self, name):
        """Ask one owner for the age of its latest proof of the primary."""
        asked_at = self.context.clock()
        answer = await self.request(name)
        if answer is None:
            return
        if confirms_primary(answer.proof_age):
            if not self.confirming_daemons() and not self.group.watch.leader:
                self.context.log(
                    PART, "another daemon leads on", group=self.group.name, by=name
                )
            self.confirmed_at[name] = asked_at - answer.proof_age
