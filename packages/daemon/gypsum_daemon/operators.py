"""The operators' HTTP interface: health, metrics, explain, drain."""

import json
from dataclasses import asdict
from http import HTTPStatus

from tornado.web import Application, RequestHandler


class OperatorHandler(RequestHandler):
    """What the operators' handlers share."""

    def initialize(self, shell, metrics):
        """Take the daemon's shell and metrics."""
        self.shell = shell
        self.metrics = metrics

    def write_json(self, data, status=HTTPStatus.OK):
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(data))


class LiveHandler(OperatorHandler):
    """`GET /health/live`: the loop turns."""

    def get(self):
        """Answer at once."""
        self.write_json({"live": True})


class ReadyHandler(OperatorHandler):
    """`GET /health/ready`: callers may be sent here."""

    def get(self):
        """200 when manifests are known and no drain runs, else 503."""
        ready = self.shell.node.ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        node = self.shell.node
        self.write_json({"ready": ready, "draining": node.ctx.draining}, status)


class MetricsHandler(OperatorHandler):
    """`GET /metrics`: Prometheus' text form."""

    def get(self):
        """Refresh the gauges and write everything."""
        homes = self.shell.node.homes.values()
        self.metrics.take_homes([item.describe() for item in homes])
        self.metrics.take_pools(self.shell.executor.pools)
        content, headers = self.metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class ExplainHandler(OperatorHandler):
    """`GET /explain/DATABASE`: home, term, positions, lag, queues, and why."""

    def get(self, database):
        """Describe one database as this daemon sees it."""
        node = self.shell.node
        item = node.home(database)
        if item is None:
            self.write_json(
                {"detail": f"unknown database {database!r}"}, HTTPStatus.NOT_FOUND
            )
            return
        self.write_json(
            {
                "daemon": node.ctx.daemon,
                "order": node.order(database),
                "home": asdict(item.describe()),
            }
        )


class VersionsHandler(OperatorHandler):
    """`GET /manifests`: the versions in force here."""

    def get(self):
        """List databases with their versions."""
        node = self.shell.node
        versions = {item.database: item.version for item in node.manifests.versions()}
        self.write_json(
            {
                "daemon": node.ctx.daemon,
                "domain": node.domain,
                "ready": node.ready,
                "draining": node.ctx.draining,
                "watches": node.manifests.is_watcher(),
                "versions": versions,
            }
        )


class DrainHandler(OperatorHandler):
    """`POST /drain`: shut down gracefully."""

    def post(self):
        """Start the drain; the process exits by itself when it is over."""
        self.shell.drain()
        self.write_json({"draining": True}, HTTPStatus.ACCEPTED)


def make_application(shell, metrics):
    """The operators' application."""
    shared = {"shell": shell, "metrics": metrics}
    return Application(
        [
            (r"/health/live", LiveHandler, shared),
            (r"/health/ready", ReadyHandler, shared),
            (r"/metrics", MetricsHandler, shared),
            (r"/explain/([a-z0-9_-]{1,63})", ExplainHandler, shared),
            (r"/manifests", VersionsHandler, shared),
            (r"/drain", DrainHandler, shared),
        ],
        log_function=lambda handler: None,
    )
