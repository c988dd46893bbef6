"""Settings of a daemon that serves statement sessions: JSON, checked on reading.

The checks are msgspec's: pydantic's import alone takes a third of a start.
"""

from pathlib import Path
from typing import Annotated, Literal

from msgspec import DecodeError, Meta, Struct, ValidationError
from msgspec.json import decode

from gypsum_policy.relays import ALL_WATCH_UP_TO

Address = Annotated[str, Meta(pattern=r"^[^:\s]+:\d+$")]
Seconds = Annotated[float, Meta(gt=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]


class SettingsError(Exception):
    """The settings are unusable; the text is meant for people."""


class SessionSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where a daemon is, what it listens on, whom it calls, and its limits.

    Addresses are `host:port`. `grace_seconds` is the time between SIGTERM and the
    end, `upstream_drain_seconds` how long a leaving upstream still takes work.
    `spare_ports` is the first and last port free for the daemon's own use: links of
    other daemons arrive at the first; `advertised_links` is where others reach it, if
    an address is translated in between. Up to `all_watch_up_to` daemons all watch the
    store, beyond that a few do and pass on what they learn.
    """

    daemon: Annotated[str, Meta(min_length=1)]
    domain: str
    callers: Address
    probes: Address
    store: Address
    promotions: str = ""
    spare_ports: tuple[Port, Port] = (0, 0)
    grace_seconds: Seconds = 6.0
    upstream_drain_seconds: Seconds = 7.0
    metrics_port: Port = 0
    advertised_links: Address | Literal[""] = ""
    all_watch_up_to: Annotated[int, Meta(ge=0)] = ALL_WATCH_UP_TO

    @property
    def links(self):
        """Where other daemons reach this one, `host:port`; empty without a port."""
        host = self.callers.rpartition(":")[0]
        return f"{host}:{self.spare_ports[0]}" if self.spare_ports[0] else ""


def load_session_settings(path):
    """Read and check a settings file; raises SettingsError."""
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    try:
        return decode(text, type=SessionSettings)
    except ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    except DecodeError as exc:
        raise SettingsError(f"{path}: no valid JSON: {exc}") from exc
