"""State that all components of a daemon's logic share during a step."""

from dataclasses import dataclass, field
from random import Random

from gypsum_core.actions import Action, Log, Send, SetTimer, Timer
from gypsum_core.spec import DEFAULT_TUNING, Tuning


@dataclass(kw_only=True)
class Context:
    """Identity, time, random numbers and the actions collected in this step.

    `now` is in seconds on any monotonic clock; the shell sets it before each step.
    `incarnation` differs after each restart, so that a restarted daemon never mistakes
    the claim of its previous run for its own.
    """

    daemon: str
    incarnation: str
    rng: Random
    tuning: Tuning = DEFAULT_TUNING
    now: float = 0.0
    draining: bool = False
    actions: list[Action] = field(default_factory=list)
    last_op: int = 0

    def emit(self, action):
        """Add an action to this step's output."""
        self.actions.append(action)

    def take_actions(self):
        """Return the actions collected so far and clear them."""
        taken, self.actions = self.actions, []
        return taken

    def next_op(self):
        """Return the number of the next upstream action."""
        self.last_op += 1
        return self.last_op

    def set_timer(self, delay, *, part, database="", detail=""):
        """Request a `TimerFired` event after `delay` seconds."""
        timer = Timer(part=part, database=database, detail=detail)
        self.emit(SetTimer(at=self.now + delay, timer=timer))

    def send(self, peer, message):
        """Send a message to another daemon."""
        self.emit(Send(peer=peer, message=message))

    def log(self, part, text):
        """Write one log line."""
        self.emit(Log(part=part, text=text))

    def random_token(self):
        """A random 128-bit name in hexadecimal, unguessable and unique in practice."""
        return f"{self.rng.getrandbits(128):032x}"
