"""What every part of one daemon's logic shares during a step."""

from dataclasses import dataclass, field
from random import Random

from gypsum_core.actions import Action, Log, Send, SetTimer, Timer
from gypsum_core.spec import DEFAULT_TUNING, Tuning


@dataclass(kw_only=True)
class Context:
    """Identity, time, random numbers and the actions collected in this step.

    `now` is in seconds on any monotonic clock; the shell sets it before each
    step. `incarnation` differs after each restart, so that a restarted daemon
    never mistakes its predecessor's claim for its own.
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

    def take(self):
        """Hand over the actions collected so far."""
        taken, self.actions = self.actions, []
        return taken

    def next_op(self):
        """Number an upstream action."""
        self.last_op += 1
        return self.last_op

    def set_timer(self, delay, *, part, database="", detail=""):
        """Ask to be woken after `delay` seconds."""
        timer = Timer(part=part, database=database, detail=detail)
        self.emit(SetTimer(at=self.now + delay, timer=timer))

    def send(self, peer, message):
        """Send a message to another daemon."""
        self.emit(Send(peer=peer, message=message))

    def log(self, part, text):
        """Write one log line."""
        self.emit(Log(part=part, text=text))

    def token(self):
        """A random name that nobody can guess or repeat by chance."""
        return f"{self.rng.getrandbits(128):032x}"
