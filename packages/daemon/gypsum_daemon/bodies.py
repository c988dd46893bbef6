"""What callers may send, checked at the border."""

from typing import Annotated

from pydantic import Field

from gypsum_model.base import BorderModel, Name

Scalar = str | int | float | bool | None
Sql = Annotated[str, Field(min_length=1, max_length=1 << 20)]
MemberName = Annotated[str, Field(min_length=1, max_length=64)]
KindName = Annotated[str, Field(min_length=1, max_length=64)]
DatabaseName = Name


class QueryBody(BorderModel):
    """A single statement of a kind."""

    kind: KindName
    member: MemberName
    sql: Sql
    params: Annotated[tuple[Scalar, ...], Field(max_length=10_000)] = ()


class BeginBody(BorderModel):
    """Open a transaction of a kind."""

    kind: KindName
    member: MemberName


class TxQueryBody(BorderModel):
    """A statement inside an open transaction."""

    member: MemberName
    sql: Sql
    params: Annotated[tuple[Scalar, ...], Field(max_length=10_000)] = ()


class EndBody(BorderModel):
    """Commit or roll back an open transaction."""

    member: MemberName
