"""The callers' HTTP interface, version 1."""

import json
import time
from http import HTTPStatus

from tornado.web import Application, RequestHandler, stream_request_body

from gypsum_core.records import Outcome, Reason, Request, Statement, Verb
from gypsum_core.tokens import TokenError, decode_token, encode_token
from gypsum_daemon.bodies import BeginBody, EndBody, QueryBody, TxQueryBody
from gypsum_daemon.callercontext import MEMBER_KEY_HEADER, RequestRejected, bad_request
from gypsum_daemon.problems import CONTENT_TYPE, Problem, problem_of
from gypsum_model.base import parse_model
from gypsum_model.errors import UserError

SESSION_HEADER = "Gypsum-Session"
CALLER_HEADER = "Gypsum-Caller"
DEADLINE_HEADER = "Gypsum-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
MAX_KEY = 128
MAX_DEADLINE_MS = 600_000.0


@stream_request_body
class CallerHandler(RequestHandler):
    """What all callers' requests share: size bound, checks, answers."""

    def initialize(self, context):
        """Keep the context that all handlers of a daemon share."""
        self.context = context
        self.chunks = []
        self.size = 0
        self.request_id = ""
        self.begun = time.monotonic()

    def data_received(self, chunk):
        """Collect the body up to the bound, discard what is over it.

        What goes wrong otherwise: an answer before the end of the body closes the
        connection under the caller's hands, and the caller sees a reset instead of
        the reason.
        """
        self.size += len(chunk)
        if self.size > self.context.max_body:
            self.chunks.clear()
            return
        self.chunks.append(chunk)

    def check_size(self):
        """Refuse a body that was over the bound."""
        if self.size > self.context.max_body:
            raise bad_request(
                f"the body is larger than {self.context.max_body} bytes",
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )

    def body(self, model):
        """The body as a checked model."""
        try:
            return parse_model(model, b"".join(self.chunks), source="body")
        except UserError as exc:
            raise bad_request(exc.message) from None

    async def answer(self, make_request, *args):
        """Build a request, have it answered, write the answer."""
        try:
            self.check_size()
            self.context.check_ready()
            req = make_request(*args)
            self.request_id = req.id
            answer = await self.context.shell.ask(req)
        except RequestRejected as rejection:
            self.write_problem(rejection.problem)
            return
        self.context.count(req, answer, time.monotonic() - self.begun)
        if self.context.shell.node.ctx.draining:
            self.set_header("Connection", "close")
        self.set_session(req, answer)
        if answer.outcome is not Outcome.DONE:
            self.write_problem(problem_of(answer))
            return
        self.write_answer(answer)

    def set_session(self, req, answer):
        """Give the session token back: the new one, or the one shown."""
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
        """Write a successful answer, whole."""
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
        """Write a failure."""
        self.set_status(problem.status)
        self.set_header("Content-Type", CONTENT_TYPE)
        if problem.retry_after():
            self.set_header("Retry-After", problem.retry_after())
        self.finish(json.dumps(problem.body()))

    def write_error(self, status_code, **kwargs):
        """Tornado's own errors in the same form."""
        problem = Problem(
            status=status_code,
            reason=str(Reason.BAD_REQUEST),
            detail=HTTPStatus(status_code).phrase,
        )
        self.write_problem(problem)

    def on_connection_close(self):
        """The caller hung up."""
        super().on_connection_close()
        self.context.shell.caller_gone(self.request_id)

    # Building requests

    def make(self, verb, database, member, **fields):
        """A request from the headers and what its body said."""
        self.context.check_member(
            database, member, self.request.headers.get(MEMBER_KEY_HEADER, "")
        )
        key = self.request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY:
            raise bad_request(f"{KEY_HEADER} is longer than {MAX_KEY} characters")
        kind = fields.get("kind", "")
        return Request(
            id=self.context.shell.node.ctx.random_token(),
            verb=verb,
            database=database,
            member=member,
            deadline=time.monotonic() + self.deadline_ms(database, kind) / 1000,
            caller=self.request.headers.get(CALLER_HEADER, ""),
            session=self.session(database, member),
            key=key or self.context.shell.node.ctx.random_token(),
            keyed=bool(key),
            **fields,
        )

    def deadline_ms(self, database, kind):
        """The caller's deadline, else its kind's."""
        given = self.request.headers.get(DEADLINE_HEADER)
        if given is None:
            return self.context.default_deadline_ms(database, kind)
        try:
            value = float(given)
        except ValueError:
            value = float("nan")
        if not -MAX_DEADLINE_MS <= value <= MAX_DEADLINE_MS:
            raise bad_request(f"{DEADLINE_HEADER} is not a number of milliseconds")
        return value

    def session(self, database, member):
        """The position that the session token proves, or None without one."""
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
        await self.answer(self.build, database)

    def build(self, database):
        """The request for a statement."""
        body = self.body(QueryBody)
        return self.make(
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
        await self.answer(self.build, database)

    def build(self, database):
        """The request that opens a transaction."""
        body = self.body(BeginBody)
        return self.make(Verb.BEGIN, database, body.member, kind=body.kind)


class TxQueryHandler(CallerHandler):
    """`POST /v1/DATABASE/transactions/ID/query`."""

    async def post(self, database, tx):
        """Run a statement inside a transaction."""
        await self.answer(self.build, database, tx)

    def build(self, database, tx):
        """The request for a statement of a transaction."""
        body = self.body(TxQueryBody)
        statement = Statement(sql=body.sql, params=body.params)
        return self.make(
            Verb.TX_QUERY, database, body.member, tx=tx, statement=statement
        )


class TxEndHandler(CallerHandler):
    """`POST /v1/DATABASE/transactions/ID/commit` and `.../rollback`."""

    async def post(self, database, tx, verb):
        """End a transaction."""
        await self.answer(self.build, database, tx, verb)

    def build(self, database, tx, verb):
        """The request that ends a transaction."""
        body = self.body(EndBody)
        return self.make(Verb(verb), database, body.member, tx=tx)


class OutcomeHandler(CallerHandler):
    """`GET /v1/DATABASE/outcomes/KEY?member=NAME`."""

    async def get(self, database, key):
        """Make a key's outcome final and tell it."""
        await self.answer(self.build, database, key)

    def build(self, database, key):
        """The request that settles a key."""
        member = self.get_query_argument("member", "")
        if not member:
            raise bad_request("the query needs member=NAME")
        self.request.headers[KEY_HEADER] = key
        return self.make(Verb.OUTCOME, database, member)


def make_application(context):
    """The callers' application."""
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
        default_handler_class=NoSuchPath,
        log_function=lambda handler: None,
    )


class NoSuchPath(RequestHandler):
    """Any other path."""

    def prepare(self):
        """Answer 404 in the common form."""
        problem = Problem(
            status=HTTPStatus.NOT_FOUND,
            reason=str(Reason.BAD_REQUEST),
            detail=f"no such path: {self.request.path}",
        )
        self.set_status(problem.status)
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(json.dumps(problem.body()))
