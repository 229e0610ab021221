"""HTTP interface for callers."""

import itertools
import json
import typing as t

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core.version import configuration as configurations
from result import Err
from result import Ok
from result import Result

from .. import effects
from . import bodies
from . import job_callers
from . import problems
from ..process import records
from ..request import intake
from . import tokens

MAX_CANCELLED = 10_000

_Kind = exceptions.ErrorKind


class Gate(t.Protocol):
    """The way from the HTTP interfaces to the entry's core."""

    @property
    def configuration(self) -> configurations.Configuration:
        """The version in force at this entry."""

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""

    async def ask(
        self, build: t.Callable[[int], effects.Input]
    ) -> effects.Reply:
        """Give the core an input and wait for its one answer.

        :param build: makes the input from the number of the call.
        """


class Callers:
    """Answers callers' HTTP requests.

    :param prefix: start of the ids of requests that come in here; no
        other entry, and no other run of this one, may use it.
    :param jobs: the part that serves jobs, where there is one.
    """

    def __init__(
        self,
        gate: Gate,
        prefix: str,
        jobs: job_callers.JobService | None = None,
    ) -> None:
        self._gate = gate
        self._jobs = job_callers.JobCallers(jobs)
        self._prefix = prefix
        self._numbers = itertools.count(1)

    async def respond(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answer one request."""
        if request.path == '/ready':
            return self._ready()
        if not self._gate.configuration.version:
            return problems.response_without_configuration()
        account = tokens.find_account(request, self._gate.configuration)
        if account is None:
            return problems.response_of_kind(
                _Kind.UNAUTHENTICATED, request_id=self._new_id()
            )
        parts = request.path.strip('/').split('/')
        if parts[:2] == ['v1', 'jobs'] and len(parts) <= 3:
            return await self._jobs.respond(
                request, account, self._gate.configuration
            )
        if len(parts) == 4 and parts[:2] == ['v1', 'services']:
            if request.method != 'POST':
                return _not_allowed('POST')
            return await self._submit(request, account, parts[2], parts[3])
        if parts == ['v1', 'requests', 'cancel']:
            if request.method != 'POST':
                return _not_allowed('POST')
            return await self._cancel_wave(request, account)
        if len(parts) == 3 and parts[:2] == ['v1', 'requests']:
            return await self._on_request(request, account, parts[2])
        detail = f'no resource at {request.path[:100]}'
        return problems.response_of_kind(_Kind.UNKNOWN_REQUEST, detail)

    def _ready(self) -> http_types.HttpResponse:
        status = 200 if self._gate.is_ready else 503
        body = b'{"is_ready": true}' if status == 200 else b'{}'
        return http_types.HttpResponse(status, body=body)

    def _new_id(self) -> str:
        return f'{self._prefix}-{next(self._numbers)}'

    async def _submit(
        self,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
        service: str,
        method: str,
    ) -> http_types.HttpResponse:
        read = intake.read_key(request)
        if isinstance(read, Err):
            return problems.response(read.err_value)
        key = read.ok_value
        if key:
            request_id = records.keyed_request_id(account.name, key)
        else:
            request_id = self._new_id()
        work = intake.build_work(
            request,
            request_id,
            account,
            service,
            method,
            self._gate.configuration,
        )
        if isinstance(work, Err):
            return problems.response(work.err_value, request_id)
        wants_async = _wants_async(request)
        reply = await self._gate.ask(
            lambda call_id: effects.Submitted(
                call_id, work.ok_value, wants_async, key
            )
        )
        return respond_with(reply, request_id)

    async def _on_request(
        self,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
        request_id: str,
    ) -> http_types.HttpResponse:
        if request.method == 'GET':
            reply = await self._gate.ask(
                lambda call_id: effects.OutcomeRequested(
                    call_id, account.name, request_id
                )
            )
            return respond_with(reply, request_id)
        if request.method == 'DELETE':
            return await self._cancel(account, [request_id])
        return _not_allowed('GET, DELETE')

    async def _cancel_wave(
        self,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
    ) -> http_types.HttpResponse:
        request_ids = parse_request_ids(request.body)
        if isinstance(request_ids, Err):
            return problems.response(request_ids.err_value)
        return await self._cancel(account, request_ids.ok_value)

    async def _cancel(
        self,
        account: configurations.ClientAccount,
        request_ids: list[str],
    ) -> http_types.HttpResponse:
        reply = await self._gate.ask(
            lambda call_id: effects.CancelRequested(
                call_id, account.name, request_ids
            )
        )
        return respond_with(reply)


def parse_request_ids(
    body: bytes,
) -> Result[list[str], exceptions.Error]:
    """Parse ``{"request_ids": [...]}``."""
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    found = document.get('request_ids') if isinstance(document, dict) else None
    if (
        not isinstance(found, list)
        or len(found) > MAX_CANCELLED
        or not all(isinstance(item, str) for item in found)
    ):
        detail = (
            'expected {"request_ids": [...]} with at most '
            f'{MAX_CANCELLED} texts'
        )
        error = exceptions.Error.from_kind(_Kind.MALFORMED_REQUEST, detail)
        return Err(error)
    return Ok(found)


def respond_with(
    reply: effects.Reply, request_id: str = ''
) -> http_types.HttpResponse:
    """Return the HTTP answer for a reply of the core."""
    if isinstance(reply, exceptions.Error):
        return problems.response(reply, request_id)
    headers_by_name = {}
    if request_id:
        headers_by_name[problems.REQUEST_ID_HEADER] = request_id
    if isinstance(reply, messages.Outcome):
        return http_types.HttpResponse(
            reply.status, reply.content_type, reply.body, headers_by_name
        )
    if isinstance(reply, effects.Accepted):
        headers_by_name['Location'] = f'/v1/requests/{reply.request_id}'
        document: dict[str, t.Any] = {'request_id': reply.request_id}
        return bodies.json_response(202, document, headers_by_name)
    if isinstance(reply, effects.Pending):
        document = {'request_id': reply.request_id, 'state': reply.phase}
        return bodies.json_response(202, document, headers_by_name)
    if isinstance(reply, effects.CancelAccepted):
        document = {'request_ids': reply.request_ids}
        return bodies.json_response(202, document, headers_by_name)
    document = {
        'number': reply.ticket,
        'version': reply.config_version,
        'room_bytes': reply.room_bytes,
    }
    return bodies.json_response(200, document, headers_by_name)


def _wants_async(request: http_types.HttpRequest) -> bool:
    preferences = request.headers_by_name.get('prefer', '').lower()
    return 'respond-async' in [item.strip() for item in preferences.split(',')]


def _not_allowed(methods: str) -> http_types.HttpResponse:
    response = problems.response_of_kind(
        _Kind.METHOD_NOT_ALLOWED, f'expected {methods}'
    )
    response.headers_by_name['Allow'] = methods
    return response
