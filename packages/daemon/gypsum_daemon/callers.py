"""The HTTP API for callers, version 1."""

import json
import time
from http import HTTPStatus

from tornado.web import Application, RequestHandler, stream_request_body

from gypsum_core.records import Outcome, Reason, Request, Statement, Verb
from gypsum_core.tokens import TokenError, decode_token, encode_token
from gypsum_daemon.bodies import BeginBody, EndBody, QueryBody, TxQueryBody
from gypsum_daemon.callercontext import MEMBER_KEY_HEADER, RequestRejected, bad_request
from gypsum_daemon.problems import CONTENT_TYPE, Problem, make_problem
from gypsum_model.base import parse_model
from gypsum_model.errors import UserError

SESSION_HEADER = "Gypsum-Session"
CALLER_HEADER = "Gypsum-Caller"
DEADLINE_HEADER = "Gypsum-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 128
MAX_DEADLINE_MS = 600_000.0


@stream_request_body
class CallerHandler(RequestHandler):
    """Base handler: body size limit, checks, responses."""

    def initialize(self, context):
        """Keep the context that all handlers of a daemon share."""
        self.context = context
        self.chunks = []
        self.size = 0
        self.request_id = ""
        self.started_at = time.monotonic()

    def data_received(self, chunk):
        """Collect the body up to the limit, discard any excess.

        A response before the end of the body would close the connection while the
        caller still sends, and the caller would see a reset instead of the error.
        """
        self.size += len(chunk)
        if self.size > self.context.max_body:
            self.chunks.clear()
            return
        self.chunks.append(chunk)

    def check_size(self):
        """Reject a body that exceeded the limit."""
        if self.size > self.context.max_body:
            raise bad_request(
                f"the body is larger than {self.context.max_body} bytes",
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )

    def parse_body(self, model):
        """Parse and validate the body."""
        try:
            return parse_model(model, b"".join(self.chunks), source="body")
        except UserError as exc:
            raise bad_request(exc.message) from None

    async def respond(self, build, *args):
        """Build a request, submit it and write its response."""
        try:
            self.check_size()
            self.context.check_ready()
            req = build(*args)
            self.request_id = req.id
            answer = await self.context.shell.submit(req)
        except RequestRejected as rejection:
            self.write_problem(rejection.problem)
            return
        self.context.record_answer(req, answer, time.monotonic() - self.started_at)
        if self.context.shell.node.ctx.draining:
            self.set_header("Connection", "close")
        self.set_session_header(req, answer)
        if answer.outcome is not Outcome.DONE:
            self.write_problem(make_problem(answer))
            return
        self.write_answer(answer)

    def set_session_header(self, req, answer):
        """Return the new session token, or else the one that the caller sent."""
        if answer.position is not None:
            token = encode_token(
                answer.position,
                database=req.database,
                member=req.member,
                keys=self.context.keys,
            )
            self.set_header(SESSION_HEADER, token)
        elif SESSION_HEADER in self.request.headers:
            self.set_header(SESSION_HEADER, self.request.headers[SESSION_HEADER])

    def write_answer(self, answer):
        """Write the response to a successful request."""
        result = answer.result
        position = answer.position
        self.set_header("Content-Type", "application/json")
        self.finish(
            json.dumps(
                {
                    "outcome": str(answer.outcome),
                    "columns": result.columns if result else (),
                    "rows": result.rows if result else (),
                    "affected": result.affected if result else 0,
                    "last_id": result.last_id if result else 0,
                    "replayed": result.replayed if result else False,
                    "served_by": answer.served_by,
                    "term": position.term if position else None,
                    "position": position.index if position else None,
                    "age_ms": round(answer.age_ms, 3),
                    "key": answer.key,
                    "transaction": answer.tx,
                }
            )
        )

    def write_problem(self, problem):
        """Write an error response."""
        self.set_status(problem.status)
        self.set_header("Content-Type", CONTENT_TYPE)
        if problem.retry_after():
            self.set_header("Retry-After", problem.retry_after())
        self.finish(json.dumps(problem.body()))

    def write_error(self, status_code, **kwargs):
        """Write Tornado's own errors as problem documents."""
        problem = Problem(
            status=status_code,
            reason=str(Reason.BAD_REQUEST),
            detail=HTTPStatus(status_code).phrase,
        )
        self.write_problem(problem)

    def on_connection_close(self):
        """Cancel the request: the caller closed the connection."""
        super().on_connection_close()
        self.context.shell.caller_disconnected(self.request_id)

    # Building requests

    def make_request(self, verb, database, member, **fields):
        """Make a request from the headers and the fields of the body."""
        self.context.check_member(
            database, member, self.request.headers.get(MEMBER_KEY_HEADER, "")
        )
        key = self.request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            raise bad_request(
                f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters"
            )
        kind = fields.get("kind", "")
        return Request(
            id=self.context.shell.node.ctx.random_token(),
            verb=verb,
            database=database,
            member=member,
            deadline=time.monotonic() + self.deadline_ms(database, kind) / 1000,
            caller=self.request.headers.get(CALLER_HEADER, ""),
            session=self.session_position(database, member),
            key=key or self.context.shell.node.ctx.random_token(),
            keyed=bool(key),
            **fields,
        )

    def deadline_ms(self, database, kind):
        """Return the caller's deadline, or else the kind's, in milliseconds."""
        header = self.request.headers.get(DEADLINE_HEADER)
        if header is None:
            return self.context.default_deadline_ms(database, kind)
        try:
            value = float(header)
        except ValueError:
            value = float("nan")
        if not -MAX_DEADLINE_MS <= value <= MAX_DEADLINE_MS:
            raise bad_request(f"{DEADLINE_HEADER} is not a number of milliseconds")
        return value

    def session_position(self, database, member):
        """Return the log position of the session token, or None without one."""
        token = self.request.headers.get(SESSION_HEADER, "")
        if not token:
            return None
        try:
            return decode_token(
                token, database=database, member=member, keys=self.context.keys
            )
        except TokenError as exc:
            raise bad_request(f"{SESSION_HEADER}: {exc}", HTTPStatus.FORBIDDEN) from exc


class QueryHandler(CallerHandler):
    """`POST /v1/DATABASE/query`."""

    async def post(self, database):
        """Run one statement."""
        await self.respond(self.build_request, database)

    def build_request(self, database):
        """Build the request for a statement."""
        body = self.parse_body(QueryBody)
        return self.make_request(
            Verb.QUERY,
            database,
            body.member,
            kind=body.kind,
            statement=Statement(sql=body.sql, params=body.params),
        )


class BeginHandler(CallerHandler):
    """`POST /v1/DATABASE/transactions`."""

    async def post(self, database):
        """Open a transaction."""
        await self.respond(self.build_request, database)

    def build_request(self, database):
        """Build the request that opens a transaction."""
        body = self.parse_body(BeginBody)
        return self.make_request(Verb.BEGIN, database, body.member, kind=body.kind)


class TxQueryHandler(CallerHandler):
    """`POST /v1/DATABASE/transactions/ID/query`."""

    async def post(self, database, tx):
        """Run a statement inside a transaction."""
        await self.respond(self.build_request, database, tx)

    def build_request(self, database, tx):
        """Build the request for a statement of a transaction."""
        body = self.parse_body(TxQueryBody)
        statement = Statement(sql=body.sql, params=body.params)
        return self.make_request(
            Verb.TX_QUERY, database, body.member, tx=tx, statement=statement
        )


class TxEndHandler(CallerHandler):
    """`POST /v1/DATABASE/transactions/ID/commit` and `.../rollback`."""

    async def post(self, database, tx, verb):
        """End a transaction."""
        await self.respond(self.build_request, database, tx, verb)

    def build_request(self, database, tx, verb):
        """Build the request that ends a transaction."""
        body = self.parse_body(EndBody)
        return self.make_request(Verb(verb), database, body.member, tx=tx)


class OutcomeHandler(CallerHandler):
    """`GET /v1/DATABASE/outcomes/KEY?member=NAME`."""

    async def get(self, database, key):
        """Make a key's outcome final and return it."""
        await self.respond(self.build_request, database, key)

    def build_request(self, database, key):
        """Build the request that settles a key."""
        member = self.get_query_argument("member", "")
        if not member:
            raise bad_request("the query needs member=NAME")
        self.request.headers[KEY_HEADER] = key
        return self.make_request(Verb.OUTCOME, database, member)


def make_application(context):
    """Create the web application for callers."""
    database = r"/v1/([a-z0-9_-]{1,63})"
    tx = database + r"/transactions/([a-z0-9_.-]{1,128})"
    shared = {"context": context}
    return Application(
        [
            (database + r"/query", QueryHandler, shared),
            (database + r"/transactions", BeginHandler, shared),
            (tx + r"/query", TxQueryHandler, shared),
            (tx + r"/(commit|rollback)", TxEndHandler, shared),
            (database + r"/outcomes/([!-~]{1,128})", OutcomeHandler, shared),
        ],
        default_handler_class=NotFoundHandler,
        log_function=lambda handler: None,
    )


class NotFoundHandler(RequestHandler):
    """Handler for unknown paths."""

    def prepare(self):
        """Respond with 404 and a problem document."""
        problem = Problem(
            status=HTTPStatus.NOT_FOUND,
            reason=str(Reason.BAD_REQUEST),
            detail=f"no such path: {self.request.path}",
        )
        self.set_status(problem.status)
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(json.dumps(problem.body()))
