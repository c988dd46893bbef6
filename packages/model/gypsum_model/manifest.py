"""The manifest: the operators' description of a database group."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from gypsum_core.records import Mode
from gypsum_core.spec import DatabaseSpec, KindSpec, UpstreamSpec
from gypsum_model.base import Address, Name, Port, StrictModel, parse_model

KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[float, Field(gt=0, le=1e6)]


class UpstreamModel(StrictModel):
    """One upstream of the group."""

    id: Name
    domain: Name
    host: Address
    port: Port
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=2, le=100_000)]

    @model_validator(mode="after")
    def check_slots(self):
        """Refuse more slots than connections: they could never be used."""
        if self.slots > self.connections:
            raise ValueError("slots must not exceed connections")
        return self


class KindModel(StrictModel):
    """One kind of request."""

    name: Name
    mode: Literal["read", "write", "transaction"]
    max_age_ms: Annotated[float, Field(ge=0, le=86_400_000)] = 0.0
    worth: Positive = 1.0
    deadline_ms: Annotated[float, Field(ge=1, le=600_000)] = 5000.0
    repeatable: bool = True

    @model_validator(mode="after")
    def check_age(self):
        """Refuse a maximum age for kinds that are not reads."""
        if self.max_age_ms and self.mode != "read":
            raise ValueError("max_age_ms is for kinds of mode read only")
        return self


class MemberModel(StrictModel):
    """One member, its weight, and the hashes of its keys.

    Only hashes are stored, so that a reader of the manifest can't impersonate a
    member. A member without hashes needs no key.
    """

    name: Name
    weight: Positive = 1.0
    key_hashes: Annotated[tuple[KeyHash, ...], Field(max_length=8)] = ()


class ManifestModel(StrictModel):
    """A database group: upstreams, kinds of requests, members.

    `applied_by` identifies one run of the operator's `apply`, so that it recognizes
    its own write if the response was lost.
    """

    database: Name
    upstreams: Annotated[tuple[UpstreamModel, ...], Field(min_length=1, max_length=9)]
    kinds: Annotated[tuple[KindModel, ...], Field(min_length=1, max_length=200)]
    members: Annotated[tuple[MemberModel, ...], Field(min_length=1, max_length=2000)]
    applied_by: Annotated[str, Field(max_length=64)] = ""

    @model_validator(mode="after")
    def check_unique(self):
        """Refuse duplicate names."""
        check_distinct("upstreams", [item.id for item in self.upstreams])
        check_distinct("kinds", [item.name for item in self.kinds])
        check_distinct("members", [item.name for item in self.members])
        return self


def check_distinct(field, names):
    """Raise ValueError if a name occurs more than once."""
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(f"{field}: {duplicates[0]!r} is listed twice")


def parse_manifest(text, *, source):
    """Parse a manifest; raises UserError with one line that lists the problems."""
    return parse_model(ManifestModel, text, source=source)


def spec_of(manifest, *, version):
    """Convert a manifest into the decision logic's DatabaseSpec."""
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
