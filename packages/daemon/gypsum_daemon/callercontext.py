"""Checks that all requests of callers share."""

import hashlib
import hmac
from http import HTTPStatus

from gypsum_core.records import Reason
from gypsum_daemon.problems import Problem

MEMBER_KEY_HEADER = "Gypsum-Member-Key"
DEFAULT_DEADLINE_MS = 5000.0


class RequestRejected(Exception):
    """Raised to reject a request with a problem document."""

    def __init__(self, problem):
        super().__init__(problem.detail)
        self.problem = problem


def bad_request(detail, status=HTTPStatus.BAD_REQUEST):
    """Return the rejection of an invalid request; nothing ran."""
    return RequestRejected(
        Problem(status=status, reason=str(Reason.BAD_REQUEST), detail=detail)
    )


class CallerContext:
    """The state and checks that the callers' handlers of a daemon share."""

    def __init__(self, *, shell, metrics, settings):
        self.shell = shell
        self.metrics = metrics
        self.max_body = settings.max_body_bytes
        self.keys = tuple(
            key.get_secret_value().encode() for key in settings.session_keys
        )

    def check_ready(self):
        """Reject requests until the manifests are loaded."""
        if not self.shell.node.manifests.ready:
            raise RequestRejected(
                Problem(
                    status=HTTPStatus.SERVICE_UNAVAILABLE,
                    reason=str(Reason.NO_HOME),
                    detail="the manifests are not known yet",
                    retry_after_s=1.0,
                )
            )

    def check_member(self, database, member, offered):
        """Reject a caller without a valid key of the member that it names."""
        spec = self.shell.node.spec(database)
        hashes = spec.key_hashes_by_member.get(member, ()) if spec else ()
        digest = hashlib.sha256(offered.encode()).hexdigest()
        # Compares all hashes, so that the time taken reveals nothing about them.
        known = [hmac.compare_digest(digest, item) for item in hashes]
        if hashes and not any(known):
            raise bad_request(
                f"{MEMBER_KEY_HEADER}: not a key of member {member!r}",
                HTTPStatus.FORBIDDEN,
            )

    def default_deadline_ms(self, database, kind):
        """Return the manifest's deadline for a kind, in milliseconds."""
        spec = self.shell.node.spec(database)
        if spec is None:
            raise bad_request(f"unknown database {database!r}", HTTPStatus.NOT_FOUND)
        known = spec.kind_by_name.get(kind)
        return known.deadline_ms if known else DEFAULT_DEADLINE_MS

    def count(self, req, answer, seconds):
        """Record an answer in the metrics."""
        spec = self.shell.node.spec(req.database)
        self.metrics.answered(req, spec, answer, seconds)
