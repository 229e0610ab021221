"""HTTP interface for operators."""

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
_TICKET_PATH = re.compile(r'/v1/tickets/([0-9]{1,18})')


class Gate(callers.Gate, t.Protocol):
    """The way from the operators' interface to the entry."""

    @property
    def core(self) -> 'cores.EntryCore':
        """The core, for reading only."""

    @property
    def settings(self) -> 'entry_settings.EntrySettings':
        """Settings of the entry."""

    def metrics_response(self) -> http_types.HttpResponse:
        """Return all metrics of the process."""

    def now_ms(self) -> int:
        """Return the time that the core goes by."""

    def request_stop(self) -> None:
        """Begin a graceful stop."""


class Operators:
    """Answers operators' HTTP requests.

    :param jobs: the part that serves jobs, where there is one.
    """

    def __init__(
        self, gate: Gate, jobs: job_callers.JobService | None = None
    ) -> None:
        self._gate = gate
        self._jobs = jobs

    async def respond(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answer one request."""
        if request.path == '/ready':
            status_code = 200 if self._gate.is_ready else 503
            document = {'is_ready': self._gate.is_ready}
            return bodies.json_response(status_code, document)
        if request.path == '/metrics':
            return self._gate.metrics_response()
        if not tokens.is_operator(
            request,
            self._gate.configuration,
            self._gate.settings.operator_bootstrap_sha256,
        ):
            if not self._gate.configuration.version:
                return problems.response_without_configuration()
            return problems.response_of_kind(_Kind.UNAUTHENTICATED)
        return await self._route(request)

    async def _route(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        core = self._gate.core
        now = self._gate.now_ms()
        target = (request.method, request.path)
        if target == ('GET', '/v1/status'):
            return _respond(status.describe(core, now))
        if target == ('GET', '/v1/requests'):
            listed = status.list_requests(core, now)
            return bodies.json_response(
                200, [dataclasses.asdict(item) for item in listed]
            )
        if target == ('POST', '/v1/requests/cancel'):
            return await self._cancel(request)
        if target == ('GET', '/v1/burn'):
            return self._burn()
        if target == ('POST', '/v1/drain'):
            self._gate.request_stop()
            return bodies.json_response(202, {'is_stopping': True})
        if target == ('POST', '/v1/tickets'):
            return await self._ticket(request, is_check=False)
        if target == ('POST', '/v1/tickets/check'):
            return await self._ticket(request, is_check=True)
        if request.path.startswith(job_callers.PATH):
            return await self._on_jobs(request)
        found = _TICKET_PATH.fullmatch(request.path)
        if found is not None and request.method == 'GET':
            return self._show_ticket(int(found.group(1)))
        detail = f'no resource {request.method} {request.path[:100]}'
        return problems.response_of_kind(_Kind.UNKNOWN_REQUEST, detail)

    async def _on_jobs(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answer a question about jobs of any account."""
        if self._jobs is None:
            return problems.response_of_kind(
                _Kind.UNKNOWN_QUEUE, 'this entry takes no jobs'
            )
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

    async def _show_job(
        self,
        service: job_callers.JobService,
        job_id: str,
        fields: dict[str, list[str]],
    ) -> http_types.HttpResponse:
        """Show a job, with the leader's decisions if ``why`` is given."""
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

    async def _ticket(
        self, request: http_types.HttpRequest, is_check: bool
    ) -> http_types.HttpResponse:
        reply = await self._gate.ask(
            lambda call_id: effects.TicketSubmitted(
                call_id, request.body, is_check
            )
        )
        return callers.respond_with(reply)

    def _show_ticket(self, number: int) -> http_types.HttpResponse:
        core = self._gate.core
        version = core.version_of_ticket(number)
        if version is None:
            detail = f'ticket {number} is not in force at this entry'
            return problems.response_of_kind(_Kind.UNKNOWN_REQUEST, detail)
        return _respond(status.describe_ticket(core, number, version))

    async def _cancel(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        request_ids = callers.parse_request_ids(request.body)
        if isinstance(request_ids, Err):
            return problems.response(request_ids.err_value)
        by_account = self._by_account(request_ids.ok_value)
        cancelled: list[str] = []
        for account, ids in by_account.items():
            await self._gate.ask(
                lambda call_id, account=account, ids=ids: (
                    effects.CancelRequested(call_id, account, ids)
                )
            )
            cancelled.extend(ids)
        return bodies.json_response(202, {'request_ids': cancelled})

    def _by_account(self, request_ids: list[str]) -> dict[str, list[str]]:
        """Group the open ones among the requests by client account."""
        wanted = set(request_ids)
        by_account: dict[str, list[str]] = {}
        now = self._gate.now_ms()
        for item in status.list_requests(self._gate.core, now):
            if item.request_id in wanted:
                ids = by_account.setdefault(item.account, [])
                ids.append(item.request_id)
        return by_account

    def _burn(self) -> http_types.HttpResponse:
        context = self._gate.core.context
        wall_ms = context.wall_ms(self._gate.now_ms())
        rates = context.burn.rates(context.configuration, wall_ms)
        return bodies.json_response(
            200, [dataclasses.asdict(rate) for rate in rates]
        )


def _respond(item: t.Any) -> http_types.HttpResponse:
    return bodies.json_response(200, dataclasses.asdict(item))
