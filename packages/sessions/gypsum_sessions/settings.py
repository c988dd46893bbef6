"""Settings of a daemon that serves statement sessions: JSON, checked on reading."""

import json
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator


class SettingsError(Exception):
    """The settings are unusable; the text is meant for people."""


class Section(BaseModel):
    """Base of all parts; unknown names are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SessionSettings(Section):
    """Where a daemon is, what it listens on, whom it calls, and its limits.

    Addresses are `host:port`. `grace_seconds` is the time between SIGTERM and the
    end, `upstream_drain_seconds` how long a leaving upstream still takes work.
    `spare_ports` is the first and last port free for the daemon's own use.
    """

    daemon: str = Field(min_length=1)
    domain: str
    callers: str
    probes: str
    store: str
    promotions: str = ""
    spare_ports: tuple[int, int] = (0, 0)
    grace_seconds: float = Field(default=6.0, gt=0)
    upstream_drain_seconds: float = Field(default=7.0, gt=0)
    metrics_port: int = Field(default=0, ge=0, le=65535)

    @field_validator("callers", "probes", "store")
    @classmethod
    def is_address(cls, value):
        """An address has a host and a numeric port."""
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError("an address looks like 10.0.0.1:8080")
        return value


def load_session_settings(path):
    """Read and check a settings file; raises SettingsError."""
    try:
        data = json.loads(Path(path).read_text())
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except ValueError as exc:
        raise SettingsError(f"{path}: no valid JSON: {exc}") from exc
    try:
        return SessionSettings.model_validate(data)
    except ValidationError as exc:
        problems = "; ".join(
            f"{'.'.join(map(str, item['loc'])) or 'file'}: {item['msg']}"
            for item in exc.errors()
        )
        raise SettingsError(f"{path}: {problems}") from exc
