"""Which other daemons answer, learned only where there is work for them."""

from dataclasses import dataclass

from gypsum_core.messages import Ping

PART = "peers"


@dataclass(slots=True, kw_only=True)
class Peer:
    """What is known of one daemon."""

    heard_at: float
    pinged_at: float | None = None
    shunned_until: float = 0.0
    leaving: bool = False


class Peers:
    """Liveness of other daemons.

    What goes wrong without it: a frozen home keeps its link open and says
    nothing, and every request sent to it waits for its own deadline. A link with
    work outstanding is pinged; silence moves the work elsewhere.
    """

    def __init__(self, *, ctx):
        self.ctx = ctx
        self.known = {}

    def peer(self, name):
        """The record of a daemon."""
        if name not in self.known:
            self.known[name] = Peer(heard_at=self.ctx.now)
        return self.known[name]

    def heard(self, name):
        """Any message arrived from a daemon."""
        peer = self.peer(name)
        peer.heard_at = self.ctx.now
        peer.pinged_at = None
        peer.shunned_until = 0.0

    def lost(self, name):
        """The link to a daemon broke: send it nothing for a while."""
        peer = self.peer(name)
        peer.pinged_at = None
        peer.shunned_until = self.ctx.now + self.ctx.tuning.peer_retry_after

    def left(self, name, leaving=True):
        """A daemon said whether it drains."""
        self.peer(name).leaving = leaving

    def usable(self, name):
        """Tell whether new work may go to a daemon."""
        peer = self.known.get(name)
        if peer is None:
            return True
        return not peer.leaving and peer.shunned_until <= self.ctx.now

    def check(self, name):
        """Look after a daemon with work outstanding; False when it went silent."""
        peer = self.peer(name)
        tuning = self.ctx.tuning
        if peer.pinged_at is not None:
            return self.ctx.now - peer.pinged_at < tuning.peer_silent_after
        if self.ctx.now - peer.heard_at >= tuning.peer_ping_after:
            peer.pinged_at = self.ctx.now
            self.ctx.send(name, Ping(nonce=self.ctx.next_op()))
        return True

    def forget(self, names):
        """Drop daemons that the instance list no longer names."""
        for name in list(self.known):
            if name not in names:
                del self.known[name]
