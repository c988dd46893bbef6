"""Errors as `application/problem+json` (RFC 9457)."""

import math
from dataclasses import dataclass
from http import HTTPStatus

from gypsum_core.records import Outcome, Reason

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:gypsumhitch:"

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.SQL_ERROR: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.ANSWER_TOO_LARGE: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.TRANSACTION_LOST: HTTPStatus.CONFLICT,
    Reason.CANCELLED: HTTPStatus.CONFLICT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """An error as returned to the caller."""

    status: int
    reason: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    step: str = "entry"
    peer: str = ""
    key: str = ""
    retry_after_s: float = 0.0

    def body(self):
        """Return the JSON document."""
        return {
            "type": f"{TYPE_PREFIX}{self.reason}",
            "title": HTTPStatus(self.status).phrase,
            "status": int(self.status),
            "detail": self.detail,
            "outcome": str(self.outcome),
            "reason": self.reason,
            "step": self.step,
            "peer": self.peer,
            "key": self.key,
        }

    def retry_after(self):
        """Return whole seconds for Retry-After; empty if a retry does not help."""
        return str(math.ceil(self.retry_after_s)) if self.retry_after_s > 0 else ""


def make_problem(answer):
    """Convert an unsuccessful answer into a problem."""
    unavailable = HTTPStatus.SERVICE_UNAVAILABLE
    status = STATUS_BY_REASON.get(answer.reason, unavailable)
    if answer.outcome is Outcome.UNKNOWN:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return Problem(
        status=status,
        reason=str(answer.reason),
        detail=answer.detail,
        outcome=answer.outcome,
        step=answer.step,
        peer=answer.peer,
        key=answer.key,
        retry_after_s=answer.retry_after_s,
    )
