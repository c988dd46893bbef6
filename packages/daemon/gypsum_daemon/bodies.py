"""Models of the callers' request bodies."""

from typing import Annotated

from pydantic import Field

from gypsum_model.base import Name, StrictModel

Scalar = str | int | float | bool | None
Sql = Annotated[str, Field(min_length=1, max_length=1 << 20)]
MemberName = Annotated[str, Field(min_length=1, max_length=64)]
KindName = Annotated[str, Field(min_length=1, max_length=64)]
DatabaseName = Name


class QueryBody(StrictModel):
    """Body of a single statement of a kind."""

    kind: KindName
    member: MemberName
    sql: Sql
    params: Annotated[tuple[Scalar, ...], Field(max_length=10_000)] = ()


class BeginBody(StrictModel):
    """Body that opens a transaction of a kind."""

    kind: KindName
    member: MemberName


class TxQueryBody(StrictModel):
    """Body of a statement inside an open transaction."""

    member: MemberName
    sql: Sql
    params: Annotated[tuple[Scalar, ...], Field(max_length=10_000)] = ()


class EndBody(StrictModel):
    """Body of a commit or rollback."""

    member: MemberName
