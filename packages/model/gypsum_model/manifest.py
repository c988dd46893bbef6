"""The manifest: one database group as its operators describe it."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from gypsum_core.records import Mode
from gypsum_core.spec import DatabaseSpec, KindSpec, UpstreamSpec
from gypsum_model.base import Address, BorderModel, Name, Port, parse_model

KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[float, Field(gt=0, le=1e6)]


class UpstreamModel(BorderModel):
    """One upstream of the group."""

    id: Name
    domain: Name
    host: Address
    port: Port
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=2, le=100_000)]

    @model_validator(mode="after")
    def check_room(self):
        """More slots than connections could never be used."""
        if self.slots > self.connections:
            raise ValueError("slots must not exceed connections")
        return self


class KindModel(BorderModel):
    """One kind of request."""

    name: Name
    mode: Literal["read", "write", "transaction"]
    max_age_ms: Annotated[float, Field(ge=0, le=86_400_000)] = 0.0
    worth: Positive = 1.0
    deadline_ms: Annotated[float, Field(ge=1, le=600_000)] = 5000.0
    repeatable: bool = True

    @model_validator(mode="after")
    def check_age(self):
        """Only reads have an allowed age."""
        if self.max_age_ms and self.mode != "read":
            raise ValueError("max_age_ms is for kinds of mode read only")
        return self


class MemberModel(BorderModel):
    """One member, its weight, and hashes of the keys that speak in its name.

    Only hashes are kept: whoever reads the manifest cannot speak for a member.
    Without any the member needs no key.
    """

    name: Name
    weight: Positive = 1.0
    key_hashes: Annotated[tuple[KeyHash, ...], Field(max_length=8)] = ()


class ManifestModel(BorderModel):
    """A database group: upstreams, kinds of requests, members.

    `applied_by` names one run of the operator's apply, so that it can recognize
    its own write when the answer to it was lost.
    """

    database: Name
    upstreams: Annotated[tuple[UpstreamModel, ...], Field(min_length=1, max_length=9)]
    kinds: Annotated[tuple[KindModel, ...], Field(min_length=1, max_length=200)]
    members: Annotated[tuple[MemberModel, ...], Field(min_length=1, max_length=2000)]
    applied_by: Annotated[str, Field(max_length=64)] = ""

    @model_validator(mode="after")
    def check_unique(self):
        """Names stand for one thing each."""
        check_distinct("upstreams", [item.id for item in self.upstreams])
        check_distinct("kinds", [item.name for item in self.kinds])
        check_distinct("members", [item.name for item in self.members])
        return self


def check_distinct(field, names):
    """Refuse a name that stands twice."""
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        raise ValueError(f"{field}: {twice[0]!r} stands twice")


def parse_manifest(text, *, source):
    """Parse a manifest; one clear line says what is wrong."""
    return parse_model(ManifestModel, text, source=source)


def spec_of(manifest, *, version):
    """The form in which the decision logic uses a manifest."""
    return DatabaseSpec(
        name=manifest.database,
        version=version,
        upstreams=tuple(
            UpstreamSpec(
                id=item.id,
                domain=item.domain,
                host=item.host,
                port=item.port,
                slots=item.slots,
                connections=item.connections,
            )
            for item in manifest.upstreams
        ),
        kinds=tuple(
            KindSpec(
                name=item.name,
                mode=Mode(item.mode),
                max_age_ms=item.max_age_ms,
                worth=item.worth,
                deadline_ms=item.deadline_ms,
                repeatable=item.repeatable,
            )
            for item in manifest.kinds
        ),
        weights=tuple((item.name, item.weight) for item in manifest.members),
        key_hashes=tuple((item.name, item.key_hashes) for item in manifest.members),
    )
