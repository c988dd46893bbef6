"""Settings of a daemon that serves statement sessions: JSON, validated when loaded.

Validated with msgspec: importing pydantic alone takes a third of the start-up time.
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
    """The settings are unusable; the message is meant for the operator."""


class SessionSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Location of a daemon, its listening and upstream addresses, and its limits.

    Addresses are `host:port`. `grace_seconds` is the time from SIGTERM to the end of
    the process, `upstream_drain_seconds` how long a leaving upstream still accepts
    work. `spare_ports` is the first and last port free for the daemon's own use; links
    of other daemons arrive at the first. `advertised_links` is the address at which
    they reach it if it is translated in between. Up to `all_watch_up_to` daemons all
    watch the store; in a larger fleet a few do, and pass changes on.
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
        """Address for links of other daemons, `host:port`; empty without a port."""
        host = self.callers.rpartition(":")[0]
        return f"{host}:{self.spare_ports[0]}" if self.spare_ports[0] else ""


def load_session_settings(path):
    """Read and validate a settings file; raises SettingsError."""
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
