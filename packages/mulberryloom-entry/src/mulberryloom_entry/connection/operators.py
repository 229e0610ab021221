"""HTTP interface for operators: status, tickets, jobs and evacuations."""

import dataclasses
import re
import typing as t
import urllib.parse

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.request import job_documents
from result import Err

from .. import effects
from . import bodies
from . import callers
from . import job_callers
from . import problems
from ..process import status
from . import tokens

if t.TYPE_CHECKING:
    from ..process import core as cores
    from ..process import settings as entry_settings

_Kind = exceptions.ErrorKind
_EVACUATIONS_PATH = '/v1/evacuations'
_TICKET_PATH = re.compile(r'/v1/tickets/([0-9]{1,18})')


class OperatorEntryService(callers.EntryService, t.Protocol):
    """The part of an entry that the HTTP interface for operators uses."""

    @property
    def core(self) -> 'cores.EntryCore':
        """The core of the entry, for read access only."""

    @property
    def settings(self) -> 'entry_settings.EntrySettings':
        """Settings of the entry, with the addresses in use."""

    def metrics_response(self) -> http_types.HttpResponse:
        """Return all metrics of the process."""

    def now_ms(self) -> int:
        """Return the current time of the core's clock in milliseconds."""

    def request_stop(self) -> None:
        """Start a graceful shutdown."""


class OperatorRequestHandler:
    """Handles HTTP requests of operators.

    :param jobs: the part that serves jobs; ``None`` when the settings of
        the entry have none.
    """

    def __init__(
        self,
        entry: OperatorEntryService,
        jobs: job_callers.JobService | None = None,
    ) -> None:
        self._entry = entry
        self._jobs = jobs

    async def respond(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Return the response to one HTTP request."""
        if request.path == '/ready':
            status_code = 200 if self._entry.is_ready else 503
            document = {'is_ready': self._entry.is_ready}
            return bodies.json_response(status_code, document)
        if request.path == '/metrics':
            return self._entry.metrics_response()
        if not tokens.is_operator(
            request,
            self._entry.configuration,
            self._entry.settings.operator_bootstrap_sha256,
        ):
            if not self._entry.configuration.version:
                return problems.response_without_configuration()
            return problems.response_of_kind(_Kind.UNAUTHENTICATED)
        return await self._route(request)

    async def _route(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        core = self._entry.core
        now_ms = self._entry.now_ms()
        route = (request.method, request.path)
        if route == ('GET', '/v1/status'):
            return _dataclass_response(status.describe(core, now_ms))
        if route == ('GET', '/v1/requests'):
            open_requests = status.list_requests(core, now_ms)
            return bodies.json_response(
                200,
                [
                    dataclasses.asdict(open_request)
                    for open_request in open_requests
                ],
            )
        if route == ('POST', '/v1/requests/cancel'):
            return await self._cancel_requests(request)
        if route == ('GET', '/v1/burn'):
            return self._report_burn()
        if route == ('POST', '/v1/drain'):
            self._entry.request_stop()
            return bodies.json_response(202, {'is_stopping': True})
        if route == ('POST', '/v1/tickets'):
            return await self._submit_ticket(request, is_check=False)
        if route == ('POST', '/v1/tickets/check'):
            return await self._submit_ticket(request, is_check=True)
        if request.path.startswith(job_callers.PATH):
            return await self._handle_jobs(request)
        if f'{request.path}/'.startswith(f'{_EVACUATIONS_PATH}/'):
            return await self._handle_evacuations(request)
        ticket_path = _TICKET_PATH.fullmatch(request.path)
        if ticket_path is not None and request.method == 'GET':
            return self._show_ticket(int(ticket_path.group(1)))
        detail = f'no resource {request.method} {request.path[:100]}'
        return problems.response_of_kind(_Kind.UNKNOWN_REQUEST, detail)

    async def _handle_jobs(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """List, show or cancel jobs of any client account."""
        if self._jobs is None:
            return _response_without_jobs()
        job_id = request.path.removeprefix(job_callers.PATH).strip('/')
        fields = urllib.parse.parse_qs(request.query)
        match (request.method, bool(job_id)):
            case ('GET', False):
                return await job_callers.respond_list(
                    self._jobs,
                    fields.get('queue', [''])[0],
                    fields.get('account', [''])[0],
                )
            case ('GET', True):
                return await self._show_job(self._jobs, job_id, fields)
            case ('DELETE', True):
                return await job_callers.respond_cancel(self._jobs, job_id)
        return problems.response_of_kind(_Kind.METHOD_NOT_ALLOWED)

    async def _handle_evacuations(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """List, request or end evacuations of data centres."""
        if self._jobs is None:
            return _response_without_jobs()
        evacuations = self._jobs.evacuations
        if request.path == _EVACUATIONS_PATH:
            if request.method != 'GET':
                return _response_to_method(request, 'GET')
            listed = await evacuations.list_all()
            if listed.is_err():
                return problems.response(listed.unwrap_err())
            documents = [
                dataclasses.asdict(listed_status)
                for listed_status in listed.unwrap()
            ]
            return bodies.json_response(200, {'evacuations': documents})
        data_centre = request.path.removeprefix(f'{_EVACUATIONS_PATH}/')
        match request.method:
            case 'PUT':
                settled = await evacuations.request(data_centre)
            case 'DELETE':
                settled = await evacuations.end(data_centre)
            case _:
                return _response_to_method(request, 'PUT, DELETE')
        if settled.is_err():
            return problems.response(settled.unwrap_err())
        return _dataclass_response(settled.unwrap())

    async def _show_job(
        self,
        service: job_callers.JobService,
        job_id: str,
        fields: dict[str, list[str]],
    ) -> http_types.HttpResponse:
        """Show a job, with the leader's decisions if ``why`` is in the query.

        :param fields: values of the query, by name of the field.
        """
        found = await service.intake.find(job_id)
        if found.is_err():
            return problems.response(found.unwrap_err())
        document = job_documents.describe(found.unwrap())
        if 'why' in fields:
            explained = await service.explain_job(job_id)
            if explained.is_err():
                return problems.response(explained.unwrap_err())
            document['decisions'] = explained.unwrap()
        return bodies.json_response(200, document)

    async def _submit_ticket(
        self, request: http_types.HttpRequest, is_check: bool
    ) -> http_types.HttpResponse:
        reply = await self._entry.call_core(
            lambda call_id: effects.TicketSubmitted(
                call_id, request.body, is_check
            )
        )
        return callers.response_to_reply(reply)

    def _show_ticket(self, number: int) -> http_types.HttpResponse:
        core = self._entry.core
        version = core.version_of_ticket(number)
        if version is None:
            detail = f'ticket {number} is not in force at this entry'
            return problems.response_of_kind(_Kind.UNKNOWN_REQUEST, detail)
        return _dataclass_response(
            status.describe_ticket(core, number, version)
        )

    async def _cancel_requests(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        request_ids = callers.parse_request_ids(request.body)
        if isinstance(request_ids, Err):
            return problems.response(request_ids.err_value)
        request_ids_by_account = self._group_by_account(request_ids.ok_value)
        cancelled: list[str] = []
        for account, account_request_ids in request_ids_by_account.items():
            await self._entry.call_core(
                lambda call_id, account=account, ids=account_request_ids: (
                    effects.CancelRequested(call_id, account, ids)
                )
            )
            cancelled.extend(account_request_ids)
        return bodies.json_response(202, {'request_ids': cancelled})

    def _group_by_account(
        self, request_ids: list[str]
    ) -> dict[str, list[str]]:
        """Group those of the requests that are open by client account."""
        wanted = set(request_ids)
        request_ids_by_account: dict[str, list[str]] = {}
        now_ms = self._entry.now_ms()
        for request in status.list_requests(self._entry.core, now_ms):
            if request.request_id in wanted:
                account_request_ids = request_ids_by_account.setdefault(
                    request.account, []
                )
                account_request_ids.append(request.request_id)
        return request_ids_by_account

    def _report_burn(self) -> http_types.HttpResponse:
        context = self._entry.core.context
        wall_ms = context.wall_ms(self._entry.now_ms())
        objectives = context.burn.burn_rates(context.configuration, wall_ms)
        return bodies.json_response(
            200, [dataclasses.asdict(objective) for objective in objectives]
        )


def _dataclass_response(instance: t.Any) -> http_types.HttpResponse:
    return bodies.json_response(200, dataclasses.asdict(instance))


def _response_without_jobs() -> http_types.HttpResponse:
    return problems.response_of_kind(
        _Kind.UNKNOWN_QUEUE, 'this entry takes no jobs'
    )


def _response_to_method(
    request: http_types.HttpRequest, allowed: str
) -> http_types.HttpResponse:
    """Refuse a method that a resource does not have.

    :param allowed: the methods that it has, as in the header ``Allow``.
    """
    response = problems.response_of_kind(
        _Kind.METHOD_NOT_ALLOWED,
        f'{request.method} is not allowed on {request.path[:100]}',
    )
    response.headers_by_name['Allow'] = allowed
    return response
