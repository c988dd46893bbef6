"""Logs and metrics of callers' requests, with what decided their outcome."""

from collections import Counter

from gypsum_sessions.callers.refusalcauses import cause_of

PART = "request"


class RequestLog:
    """Logs each request that an upstream ran or that was refused."""

    def __init__(self, *, proxy):
        self.proxy = proxy
        # Refusals by group, to whom (`callers`, `daemons`) and cause.
        self.refusals = Counter()

    def count_refusal(self, group, to, reply):
        """Count a refusal by its cause."""
        self.refusals[group, to, cause_of(reply)] += 1

    def log_answer(self, session, request, statement, job, reply, arrived):
        """Log and measure a statement; `job` is None if the proxy answered it."""
        seconds = self.proxy.clock() - arrived
        route = job.route if job is not None else session.route
        served_by = self.server_role(route.group, job)
        ran = job.statement if job is not None else statement
        workspace = session.credential.workspace
        self.proxy.observe(route, ran, reply, seconds, served_by, workspace)
        if not reply.ok:
            self.count_refusal(route.group, "callers", reply)
        if job is None and reply.ok:
            return
        self.proxy.log(
            PART,
            "answered" if reply.ok else "refused",
            request=request,
            session=session.number,
            database=session.database,
            workspace=workspace,
            group=route.group,
            rule=str(route.rule),
            by=str(served_by or ""),
            **self.config_fields(),
            statement=str(statement.kind),
            ms=round(seconds * 1000, 1),
            **job_fields(job),
            **refusal_fields(reply),
        )

    def log_rejected(self, event, database):
        """Log why a caller got no session, and the configuration that decided it."""
        self.proxy.log(PART, event, database=database, **self.config_fields())

    def config_fields(self):
        """Return log fields for the version and age of the configuration.

        Without the age, a refusal under a configuration that has since been replaced
        looks like one of a route that never existed.
        """
        return {
            "version": self.proxy.catalog.version,
            "version_age_ms": round(self.proxy.catalog_age() * 1000),
        }

    def server_role(self, name, job):
        """Return the role of the upstream that answered a job; empty if none did."""
        if job is None or not job.served_by:
            return ""
        group = self.proxy.groups.get(name)
        if job.role or group is None:
            return job.role
        return group.role_of(job.served_by)


def job_fields(job):
    """Return log fields for where a statement ran, and why."""
    if job is None:
        return {}
    fields = {"upstreams": job.tried, "served_by": job.served_by}
    if job.owner:
        fields["owner"] = job.owner
    if job.left_out:
        fields["left_out"] = job.left_out
    if job.passed_over:
        fields["passed_over"] = job.passed_over
        fields["passed_over_wait_ms"] = round(job.passed_over_wait * 1000)
    if job.orphaned:
        fields["orphaned"] = True
    if job.abandoned:
        fields["abandoned"] = True
    if job.floor is not None:
        fields["floor"] = str(job.floor)
        fields["floor_age_ms"] = round(job.floor_age * 1000)
    return fields


def refusal_fields(reply):
    """Return log fields for why a statement has no result."""
    if reply.ok:
        return {}
    return {
        "refusal": str(reply.refusal),
        "detail": reply.detail,
        "retry_after_ms": reply.retry_after_ms,
    }
