"""Base class and types of the validated models."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gypsum_model.errors import UserError

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9_-]{0,61}[a-z0-9])?$")]
Port = Annotated[int, Field(ge=0, le=65535)]
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+$", max_length=64)]


class StrictModel(BaseModel):
    """A strict model: unknown fields are errors, so that typos are detected."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def parse_model(model, text, *, source):
    """Parse JSON into a model; raises UserError with one line that names the field."""
    try:
        return model.model_validate_json(text)
    except ValidationError as exc:
        raise UserError(describe_invalid(exc), step="check", peer=source) from None


def describe_invalid(exc):
    """Format all problems of a validation error as one line, each with its field."""
    problems = []
    for error in exc.errors():
        field = ".".join(str(part) for part in error["loc"]) or "document"
        problems.append(f"{field}: {error['msg']}")
    return "; ".join(problems)
