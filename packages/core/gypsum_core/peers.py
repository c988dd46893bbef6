"""Liveness of other daemons, checked only where work is outstanding."""

from dataclasses import dataclass

from gypsum_core.messages import Ping

PART = "peers"


@dataclass(slots=True, kw_only=True)
class Peer:
    """Observed state of one daemon."""

    heard_at: float
    pinged_at: float | None = None
    avoided_until: float = 0.0
    leaving: bool = False


class Peers:
    """Liveness of other daemons.

    A suspended home keeps its link open without responding, and every request sent
    to it would wait for its own deadline. So a link with outstanding work is pinged,
    and the work is moved elsewhere if no answer arrives.
    """

    def __init__(self, *, ctx):
        self.ctx = ctx
        self.known = {}

    def peer(self, name):
        """The record of a daemon, created on first use."""
        if name not in self.known:
            self.known[name] = Peer(heard_at=self.ctx.now)
        return self.known[name]

    def record_message(self, name):
        """Record that a message arrived from a daemon."""
        peer = self.peer(name)
        peer.heard_at = self.ctx.now
        peer.pinged_at = None
        peer.avoided_until = 0.0

    def on_link_lost(self, name):
        """The link to a daemon broke: avoid it for `peer_retry_after`."""
        peer = self.peer(name)
        peer.pinged_at = None
        peer.avoided_until = self.ctx.now + self.ctx.tuning.peer_retry_after

    def set_leaving(self, name, leaving=True):
        """Record whether a daemon drains."""
        self.peer(name).leaving = leaving

    def usable(self, name):
        """Return whether new work may be sent to a daemon."""
        peer = self.known.get(name)
        if peer is None:
            return True
        return not peer.leaving and peer.avoided_until <= self.ctx.now

    def check_alive(self, name):
        """Ping a daemon with outstanding work if due; False if it is unresponsive."""
        peer = self.peer(name)
        tuning = self.ctx.tuning
        if peer.pinged_at is not None:
            return self.ctx.now - peer.pinged_at < tuning.peer_silent_after
        if self.ctx.now - peer.heard_at >= tuning.peer_ping_after:
            peer.pinged_at = self.ctx.now
            self.ctx.send(name, Ping(nonce=self.ctx.next_op()))
        return True

    def remove_unlisted(self, names):
        """Drop daemons that are no longer on the instance list."""
        for name in list(self.known):
            if name not in names:
                del self.known[name]
