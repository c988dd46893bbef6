"""Other owners that reach a group's primary while this daemon does not."""

import asyncio

from gypsum_policy.suspicion import ASK_EVERY, usable_helpers, vouches
from gypsum_sessions.daemons.peermessages import LeaderRequest
from gypsum_sessions.daemons.peers import PeerLost

PART = "reach"
# An owner that lives answers within a few milliseconds.
ANSWER_TIME = 0.3


class Reach:
    """Who of a group's other owners vouches for its primary; asked only when needed."""

    def __init__(self, *, group, peers):
        self.group = group
        self.around = group.around
        self.peers = peers
        self.seen = {}

    def helpers(self):
        """Owners that have lately proven the primary; none while we do so ourselves."""
        if self.group.watch.leader:
            return []
        return usable_helpers(self.seen, self.around.clock())

    async def run(self):
        """Ask the other owners while we know of no primary, for ever."""
        watch = self.group.watch
        while True:
            if watch.leader:
                self.seen.clear()
                await watch.wait_change(ASK_EVERY)
                continue
            if not watch.last_leader:
                # The first search mostly ends sooner: when all daemons come back
                # together each would dial all others before they can answer. Later on
                # the answer is needed at once, before a takeover begins.
                await watch.wait_change(ASK_EVERY)
            if not watch.leader:
                await self.ask_all()
            await watch.wait_change(ASK_EVERY)

    async def ask_all(self):
        """Ask every other owner; those that are silent are not waited for."""
        daemons = self.around.daemons
        names = [
            name
            for name in daemons.owners(self.group.spec)
            if name != daemons.own.id and not self.peers.avoided(name)
        ]
        self.group.keep_tasks({asyncio.create_task(self.ask(name)) for name in names})

    async def ask(self, name):
        """Ask one owner whom it has proven to lead, and when."""
        asked_at = self.around.clock()
        try:
            link = await self.peers.link(name, ANSWER_TIME)
            answer = await link.request(
                lambda call: LeaderRequest(call=call, group=self.group.name),
                timeout=ANSWER_TIME,
            )
        except PeerLost:
            return
        if vouches(answer.proof_age):
            if not self.helpers() and not self.group.watch.leader:
                self.around.log(
                    PART, "another daemon leads on", group=self.group.name, by=name
                )
            self.seen[name] = asked_at - answer.proof_age
