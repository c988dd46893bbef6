"""Links between daemons in virtual time, with delays, partitions and frozen daemons."""

import asyncio

from gypsum_links.frames import MAX_MESSAGE_BYTES

# One-way delay between two daemons, seconds.
ONE_WAY_DELAY = 0.0005


class FakeLinks:
    """All links of a rig.

    `frozen` daemons neither read nor answer. `rate` is how many bytes a second each
    daemon can send, 0 for no limit. Between the two daemons of each pair in `cut` all
    messages are lost without an error. `slow` daemons need that many seconds for each
    message they read.
    """

    def __init__(self, *, loop):
        self.loop = loop
        self.proxies = {}
        self.frozen = set()
        self.dead = set()
        self.cut = set()
        self.slow = {}
        self.open = []
        self.rate = 0
        self.busy_until = {}

    def send_delay(self, daemon, size):
        """Seconds until bytes that a daemon sends now have been sent."""
        if not self.rate:
            return 0.0
        now = self.loop.time()
        until = max(now, self.busy_until.get(daemon, now)) + size / self.rate
        self.busy_until[daemon] = until
        return until - now

    def is_cut(self, one, other):
        """Return whether no message can pass between two daemons."""
        silent = self.frozen | self.dead
        return frozenset({one, other}) in self.cut or bool(silent & {one, other})

    def dialer(self, daemon):
        """Return the dialer of one daemon."""
        return FakeFrameDialer(links=self, daemon=daemon)

    def freeze(self, daemon):
        """Suspend a daemon: messages to it are queued."""
        self.frozen.add(daemon)

    def thaw(self, daemon):
        """Resume a daemon: it first detects the pause, then reads queued messages."""
        self.frozen.discard(daemon)
        self.proxies[daemon].last_awake = self.loop.clock() - 60.0
        self.proxies[daemon].detect_pauses()
        for link in list(self.open):
            if link.at == daemon:
                link.deliver_waiting()

    def kill(self, daemon):
        """End a daemon and all of its links."""
        self.dead.add(daemon)
        self.reset(daemon)

    def reset(self, daemon):
        """End all links of a daemon, as when its process ends."""
        for link in list(self.open):
            if daemon in (link.at, link.to):
                link.end("reset")


class FakeFrameDialer:
    """Opens links from one daemon."""

    def __init__(self, *, links, daemon):
        self.links = links
        self.daemon = daemon

    async def dial(self, address, receiver, *, timeout):
        """Open a link; raises OSError if that fails."""
        await asyncio.sleep(3 * ONE_WAY_DELAY)
        if address in self.links.dead:
            raise OSError("refused")
        if self.links.is_cut(self.daemon, address):
            await asyncio.sleep(timeout)
            raise OSError("no answer")
        near = FakeFrameLink(links=self.links, at=self.daemon, to=address)
        far = FakeFrameLink(links=self.links, at=address, to=self.daemon)
        near.other, far.other = far, near
        near.receiver = receiver
        far.receiver = self.links.proxies[address].open_peer_handler(self.daemon)
        far.receiver.opened(far)
        return near


class FakeFrameLink:
    """One end of a link."""

    def __init__(self, *, links, at, to):
        self.links = links
        self.at = at
        self.to = to
        self.alive = True
        self.other = None
        self.receiver = None
        self.waiting = []
        self.unsent = 0
        links.open.append(self)

    @property
    def backlog(self):
        """Bytes that wait to be sent."""
        return self.unsent

    def send(self, data):
        """Send a message; on a slow link, after what its daemon has sent before.

        One over the limit ends the link, as the other daemon refuses it.
        """
        if not self.alive:
            return False
        if len(data) > MAX_MESSAGE_BYTES:
            self.end("too long")
            return False
        delay = self.links.send_delay(self.at, len(data))
        if delay:
            self.unsent += len(data)
            self.links.loop.call_later(delay, self.sent, len(data))
        if not self.links.is_cut(self.at, self.to) or self.to in self.links.frozen:
            delay += self.links.slow.get(self.to, 0.0) + ONE_WAY_DELAY
            self.links.loop.call_later(delay, self.other.arrive, data)
        return True

    def sent(self, size):
        """Record that bytes have been sent."""
        self.unsent -= size

    def arrive(self, data):
        """Deliver a message; a frozen daemon reads it later."""
        if self.at in self.links.frozen:
            self.waiting.append(data)
        elif self.alive:
            self.receiver.frame_received(data)

    def deliver_waiting(self):
        """Deliver the messages queued while the daemon was frozen."""
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            if self.alive:
                self.receiver.frame_received(data)

    async def probe(self, timeout):
        """Return whether the peer answers."""
        if not self.alive or self.links.is_cut(self.at, self.to):
            await asyncio.sleep(timeout)
            return False
        await asyncio.sleep(2 * ONE_WAY_DELAY)
        return self.alive

    def close(self):
        """Close; the peer is notified after a delay, unless it is cut off."""
        if self.alive:
            self.alive = False
            self.links.open.remove(self)
            if not self.links.is_cut(self.at, self.to):
                self.links.loop.call_later(ONE_WAY_DELAY, self.other.end, "closed")

    def end(self, why):
        """Close because the peer has ended, and notify the receiver."""
        if self.alive:
            self.close()
            self.receiver.link_lost(why)
