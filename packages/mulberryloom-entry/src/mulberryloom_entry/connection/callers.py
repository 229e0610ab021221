"""HTTP interface for callers: submit, query and cancel requests."""

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
from ..request import request_parser
from . import tokens

MAX_CANCELLED_REQUESTS = 10_000

_Kind = exceptions.ErrorKind


class EntryService(t.Protocol):
    """The part of an entry that the HTTP interface for callers uses."""

    @property
    def configuration(self) -> configurations.Configuration:
        """The configuration in force at this entry."""

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may route callers to this entry."""

    async def call_core(
        self, build: t.Callable[[int], effects.Input]
    ) -> effects.Reply:
        """Pass an input to the core and wait for the answer.

        :param build: creates the input from the id of the call.
        """


class CallerRequestHandler:
    """Handles HTTP requests of callers.

    :param prefix: prefix of the ids of requests accepted here; unique to
        this incarnation of this entry.
    :param jobs: the part that serves jobs; ``None`` when the settings of
        the entry have none.
    """

    def __init__(
        self,
        entry: EntryService,
        prefix: str,
        jobs: job_callers.JobService | None = None,
    ) -> None:
        self._entry = entry
        self._jobs = job_callers.JobRequestHandler(jobs)
        self._prefix = prefix
        self._request_numbers = itertools.count(1)

    async def respond(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Return the response to one HTTP request."""
        if request.path == '/ready':
            return self._ready()
        if not self._entry.configuration.version:
            return problems.response_without_configuration()
        account = tokens.find_account(request, self._entry.configuration)
        if account is None:
            return problems.response_of_kind(
                _Kind.UNAUTHENTICATED, request_id=self._new_request_id()
            )
        parts = request.path.strip('/').split('/')
        if parts[:2] == ['v1', 'jobs'] and len(parts) <= 3:
            return await self._jobs.respond(
                request, account, self._entry.configuration
            )
        if len(parts) == 4 and parts[:2] == ['v1', 'services']:
            if request.method != 'POST':
                return _not_allowed('POST')
            return await self._submit(request, account, parts[2], parts[3])
        if parts == ['v1', 'requests', 'cancel']:
            if request.method != 'POST':
                return _not_allowed('POST')
            return await self._cancel_batch(request, account)
        if len(parts) == 3 and parts[:2] == ['v1', 'requests']:
            return await self._query_or_cancel(request, account, parts[2])
        detail = f'no resource at {request.path[:100]}'
        return problems.response_of_kind(_Kind.UNKNOWN_REQUEST, detail)

    def _ready(self) -> http_types.HttpResponse:
        status = 200 if self._entry.is_ready else 503
        body = b'{"is_ready": true}' if status == 200 else b'{}'
        return http_types.HttpResponse(status, body=body)

    def _new_request_id(self) -> str:
        return f'{self._prefix}-{next(self._request_numbers)}'

    async def _submit(
        self,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
        service: str,
        method: str,
    ) -> http_types.HttpResponse:
        parsed_key = request_parser.read_idempotency_key(request)
        if isinstance(parsed_key, Err):
            return problems.response(parsed_key.err_value)
        idempotency_key = parsed_key.ok_value
        if idempotency_key:
            request_id = records.keyed_request_id(
                account.name, idempotency_key
            )
        else:
            request_id = self._new_request_id()
        work = request_parser.build_work(
            request,
            request_id,
            account,
            service,
            method,
            self._entry.configuration,
        )
        if isinstance(work, Err):
            return problems.response(work.err_value, request_id)
        wants_async = _wants_async(request)
        reply = await self._entry.call_core(
            lambda call_id: effects.RequestSubmitted(
                call_id, work.ok_value, wants_async, idempotency_key
            )
        )
        return response_to_reply(reply, request_id)

    async def _query_or_cancel(
        self,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
        request_id: str,
    ) -> http_types.HttpResponse:
        if request.method == 'GET':
            reply = await self._entry.call_core(
                lambda call_id: effects.OutcomeRequested(
                    call_id, account.name, request_id
                )
            )
            return response_to_reply(reply, request_id)
        if request.method == 'DELETE':
            return await self._cancel(account, [request_id])
        return _not_allowed('GET, DELETE')

    async def _cancel_batch(
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
        reply = await self._entry.call_core(
            lambda call_id: effects.CancelRequested(
                call_id, account.name, request_ids
            )
        )
        return response_to_reply(reply)


def parse_request_ids(
    body: bytes,
) -> Result[list[str], exceptions.Error]:
    """Parse a JSON body of the form ``{"request_ids": [...]}``."""
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    request_ids = (
        document.get('request_ids') if isinstance(document, dict) else None
    )
    if (
        not isinstance(request_ids, list)
        or len(request_ids) > MAX_CANCELLED_REQUESTS
        or not all(isinstance(request_id, str) for request_id in request_ids)
    ):
        detail = (
            'expected {"request_ids": [...]} with at most '
            f'{MAX_CANCELLED_REQUESTS} strings'
        )
        error = exceptions.Error.from_kind(_Kind.MALFORMED_REQUEST, detail)
        return Err(error)
    return Ok(request_ids)


def response_to_reply(
    reply: effects.Reply, request_id: str = ''
) -> http_types.HttpResponse:
    """Return the HTTP response for a reply of the core.

    :param request_id: id of the request; empty when there is none.
    """
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
    return 'respond-async' in [
        preference.strip() for preference in preferences.split(',')
    ]


def _not_allowed(methods: str) -> http_types.HttpResponse:
    response = problems.response_of_kind(
        _Kind.METHOD_NOT_ALLOWED, f'expected {methods}'
    )
    response.headers_by_name['Allow'] = methods
    return response
