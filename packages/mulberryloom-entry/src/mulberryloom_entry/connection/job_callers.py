"""HTTP interface for jobs: submit, show, list and cancel."""

import secrets
import typing as t
import urllib.parse

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.request import job_documents
from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_core.version import configuration as configurations
from result import Err
from result import Result

from . import bodies
from ..jobs import evacuation_requests
from ..jobs import intake as intakes
from . import problems
from ..process import records
from ..request import request_parser

PATH = '/v1/jobs'
#: Timeout for callers that do not send one.
DEFAULT_TIMEOUT_MS = 3_000
#: Delay after which callers should retry at an entry without configuration.
NO_CONFIGURATION_RETRY_MS = 1_000
_JOB_ID_BYTES = 16

_Kind = exceptions.ErrorKind


class JobService(t.Protocol):
    """Interface of the entry's job scheduling to the HTTP servers."""

    @property
    def catalogue(self) -> catalogues.Catalogue | None:
        """Queues and accounts in force; ``None`` before the first."""

    @property
    def intake(self) -> intakes.Intake:
        """Handler of requests about jobs."""

    @property
    def evacuations(self) -> evacuation_requests.EvacuationRequests:
        """Handler of operators' requests to evacuate data centres."""

    async def explain_job(
        self, job_id: str
    ) -> Result[list[dict[str, t.Any]], exceptions.Error]:
        """Return the leader's decisions about a job, oldest first."""


class JobRequestHandler:
    """Answers callers' HTTP requests about jobs.

    :param service: the entry's job scheduling; ``None`` if its settings do
        not enable it.
    """

    def __init__(self, service: JobService | None) -> None:
        self._service = service

    async def respond(
        self,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
        configuration: configurations.Configuration,
    ) -> http_types.HttpResponse:
        """Answer one request of an authenticated account."""
        if self._service is None:
            return problems.response_of_kind(
                _Kind.UNKNOWN_QUEUE, 'this entry takes no jobs'
            )
        job_id = request.path.removeprefix(PATH).strip('/')
        match (request.method, bool(job_id)):
            case ('POST', False):
                return await self._submit(
                    self._service, request, account, configuration
                )
            case ('GET', False):
                return await self._list(self._service, request, account)
            case ('GET' | 'DELETE', True):
                return await self._show_or_cancel(
                    self._service, request, job_id, account
                )
        response = problems.response_of_kind(
            _Kind.METHOD_NOT_ALLOWED,
            f'{request.method} is not allowed on {request.path}',
        )
        allowed_methods = 'GET, DELETE' if job_id else 'GET, POST'
        response.headers_by_name['Allow'] = allowed_methods
        return response

    async def _submit(
        self,
        service: JobService,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
        configuration: configurations.Configuration,
    ) -> http_types.HttpResponse:
        idempotency_key = request_parser.read_idempotency_key(request)
        if isinstance(idempotency_key, Err):
            return problems.response(idempotency_key.err_value)
        timeout_ms = _read_timeout_ms(request)
        if isinstance(timeout_ms, Err):
            return problems.response(timeout_ms.err_value)
        submission = job_documents.read(request.body)
        if isinstance(submission, Err):
            return problems.response(submission.err_value)
        job_request = submission.ok_value
        catalogue = service.catalogue
        if catalogue is None:
            return problems.response(
                exceptions.Error.from_kind(
                    _Kind.NO_WORKER,
                    'this entry has no configuration yet',
                    retry_after_ms=NO_CONFIGURATION_RETRY_MS,
                )
            )
        queue = catalogue.queue_by_name.get(job_request.queue)
        if queue is None:
            return problems.response_of_kind(
                _Kind.UNKNOWN_QUEUE, f'unknown queue {job_request.queue!r}'
            )
        service_name, _, method_name = queue.name.partition('/')
        method = request_parser.find_method(
            account, service_name, method_name, configuration
        )
        if isinstance(method, Err):
            return problems.response(method.err_value)
        job_id = secrets.token_hex(_JOB_ID_BYTES)
        if idempotency_key.ok_value:
            job_id = records.keyed_request_id(
                account.name, idempotency_key.ok_value
            )
        terms = jobs.JobTerms(
            queue.name,
            queue.service,
            account.name,
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.slack_ms,
        )
        result = await service.intake.submit(
            job_id, job_request.spec, terms, timeout_ms.ok_value
        )
        if result.is_err():
            return problems.response(result.unwrap_err(), job_id)
        document = {'job_id': job_id, 'state': jobs.JobState.QUEUED.value}
        headers_by_name = {'Location': f'{PATH}/{job_id}'}
        return bodies.json_response(202, document, headers_by_name)

    async def _list(
        self,
        service: JobService,
        request: http_types.HttpRequest,
        account: configurations.ClientAccount,
    ) -> http_types.HttpResponse:
        parameters = urllib.parse.parse_qs(request.query)
        queue = parameters.get('queue', [''])[0]
        return await respond_list(service, queue, account.name)

    async def _show_or_cancel(
        self,
        service: JobService,
        request: http_types.HttpRequest,
        job_id: str,
        account: configurations.ClientAccount,
    ) -> http_types.HttpResponse:
        """Show or cancel a job.

        A job of another account is answered as unknown.
        """
        found = await service.intake.find(job_id)
        if found.is_err():
            return problems.response(found.unwrap_err())
        job = found.unwrap()
        if job.terms.account != account.name:
            return problems.response_of_kind(_Kind.UNKNOWN_JOB)
        if request.method == 'GET':
            return bodies.json_response(200, job_documents.describe(job))
        timeout_ms = _read_timeout_ms(request)
        if isinstance(timeout_ms, Err):
            return problems.response(timeout_ms.err_value)
        return await respond_cancel(service, job_id, timeout_ms.ok_value)


async def respond_list(
    service: JobService, queue: str, account: str
) -> http_types.HttpResponse:
    """List jobs and count those that have not started.

    :param queue: name of a queue; empty for all.
    :param account: name of a client account; empty for all.
    """
    listed = await service.intake.list_jobs()
    if listed.is_err():
        return problems.response(listed.unwrap_err())
    selected = [
        job
        for job in listed.unwrap()
        if queue in ('', job.terms.queue)
        and account in ('', job.terms.account)
    ]
    selected.sort(key=lambda job: (job.accepted_ms, job.job_id))
    pending = sum(job.state is jobs.JobState.QUEUED for job in selected)
    documents = [job_documents.describe(job) for job in selected]
    return bodies.json_response(200, {'pending': pending, 'jobs': documents})


async def respond_cancel(
    service: JobService, job_id: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
) -> http_types.HttpResponse:
    """Cancel a job, unless it has ended, and answer with its state.

    :param timeout_ms: how long the caller waits for an answer.
    """
    result = await service.intake.cancel(job_id, timeout_ms)
    if result.is_err():
        return problems.response(result.unwrap_err(), job_id)
    document = {'job_id': job_id, 'state': result.unwrap().value}
    return bodies.json_response(200, document)


def _read_timeout_ms(
    request: http_types.HttpRequest,
) -> Result[int, exceptions.Error]:
    """Return the timeout that a caller sent, or the default."""
    header = request_parser.DEADLINE_HEADER
    text = request.headers_by_name.get(header, str(DEFAULT_TIMEOUT_MS))
    return request_parser.parse_amount(
        header, text, request_parser.MAX_DEADLINE_MS
    )
