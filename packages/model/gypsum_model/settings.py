"""A daemon's settings: addresses, failure domain, secrets."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, SecretStr

from gypsum_core.spec import Tuning
from gypsum_model.base import Address, Name, Port, StrictModel, parse_model
from gypsum_model.errors import UserError

Seconds = Annotated[float, Field(gt=0, le=3600)]
Key = Annotated[SecretStr, Field(min_length=16)]


class ListenModel(StrictModel):
    """An address to listen on; port 0 selects a free port."""

    host: Address
    port: Port


class SeedModel(StrictModel):
    """A daemon to contact if the platform is unavailable at startup."""

    id: Name
    domain: Name
    address: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d+$")]


class UpstreamLogin(StrictModel):
    """The daemon's credentials for upstreams."""

    user: str = "gypsum"
    password: SecretStr = SecretStr("")


class TuningModel(StrictModel):
    """Configurable intervals and timeouts of the decision logic, in seconds."""

    poll_interval: Seconds = 0.1
    idle_poll_interval: Seconds = 0.5
    suspect_after: Seconds = 0.5
    probe_timeout: Seconds = 0.2
    tx_idle: Seconds = 10.0
    drain_limit: Seconds = 5.0
    drain_notice: Seconds = 1.0


class SettingsModel(StrictModel):
    """All settings of one daemon."""

    daemon: Name
    domain: Name
    callers: ListenModel
    peers: ListenModel
    operators: ListenModel
    platform: Annotated[str, Field(pattern=r"^https?://[0-9a-fA-F.:\[\]]+$")]
    link_secret: Key
    session_keys: Annotated[tuple[Key, ...], Field(min_length=1, max_length=4)]
    login: UpstreamLogin = UpstreamLogin()
    seeds: tuple[SeedModel, ...] = ()
    instance_poll_s: Seconds = 1.0
    max_body_bytes: Annotated[int, Field(ge=1024, le=1 << 26)] = 1 << 20
    max_answer_rows: Annotated[int, Field(ge=1, le=1_000_000)] = 10_000
    log_format: Literal["text", "json"] = "text"
    tuning: TuningModel = TuningModel()

    def core_tuning(self):
        """Return the decision logic's tuning."""
        return Tuning(**self.tuning.model_dump())


def load_settings(path):
    """Read and validate a settings file; raises UserError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise UserError(
            exc.strerror or str(exc), step="settings", peer=str(path)
        ) from None
    return parse_model(SettingsModel, text, source=str(path))
