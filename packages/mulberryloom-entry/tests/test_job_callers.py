"""Tests of the HTTP interface for jobs and of the queues behind it."""

import asyncio
import json

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core.version import configuration as configurations
from mulberryloom_entry.connection import job_callers
from mulberryloom_entry.jobs import configuration_feed
from result import Err
from result import Ok

Kind = exceptions.ErrorKind


class FakeIntake:
    """In-memory stand-in that accepts jobs as :class:`intake.Intake` does."""

    def __init__(self):
        self.job_by_id = {}
        self.error = None

    async def submit(self, job_id, spec, terms, timeout_ms):
        if self.error is not None:
            return Err(self.error)
        known = self.job_by_id.get(job_id)
        if known is not None and known.spec != spec:
            kind = Kind.IDEMPOTENCY_KEY_REUSED
            return Err(exceptions.Error.from_kind(kind))
        self.job_by_id[job_id] = jobs.Job.from_spec(job_id, spec, terms, 1)
        return Ok(None)

    async def find(self, job_id):
        job = self.job_by_id.get(job_id)
        if job is None:
            return Err(exceptions.Error.from_kind(Kind.UNKNOWN_JOB))
        return Ok(job)

    async def list_jobs(self):
        return Ok(list(self.job_by_id.values()))

    async def cancel(self, job_id, timeout_ms):
        self.job_by_id[job_id].is_cancelled = True
        return Ok(jobs.JobState.CANCELLED)


class FakeService:
    """Job service with a fake intake and no leader."""

    def __init__(self, catalogue):
        self.catalogue = catalogue
        self.intake = FakeIntake()

    async def explain_job(self, job_id):
        return Ok([])


class ApiClient:
    """Sends requests of client accounts to the HTTP interface.

    :param document: configuration with the accounts and services.
    """

    def __init__(self, document):
        self.configuration = document
        catalogue = configuration_feed.from_configuration(document)
        self.service = FakeService(catalogue)
        self._callers = job_callers.JobRequestHandler(self.service)

    def send(self, method, path, body=None, account='accra', **headers):
        query = path.partition('?')[2]
        request = http_types.HttpRequest(
            method,
            path.partition('?')[0],
            query,
            {name.replace('_', '-'): value for name, value in headers.items()},
            b'' if body is None else json.dumps(body).encode(),
        )
        client_account = self.configuration.accounts_by_name[account]
        call = self._callers.respond(
            request, client_account, self.configuration
        )
        response = asyncio.run(call)
        return response, json.loads(response.body)


def _configuration(**changes):
    method = configurations.Method(
        'fit', configurations.RequestClass.URGENT, configurations.Demand()
    )
    not_idempotent = configurations.Method(
        'bill',
        configurations.RequestClass.BATCH,
        configurations.Demand(),
        is_idempotent=False,
    )
    service = configurations.Service(
        'rental', 1, ['accra'], {'fit': method, 'bill': not_idempotent}, {}
    )
    accounts = {
        name: configurations.ClientAccount(name, 1, name, [], **changes)
        for name in ('accra', 'kumasi')
    }
    return configurations.Configuration(
        1, 1, accounts, {'rental': service}, {}, {}
    )


JOB = {'queue': 'rental/fit', 'steps': [{'tasks': 2}]}


def test_job_callers_submit_show_list_and_cancel_a_job():
    client = ApiClient(_configuration())
    response, accepted = client.send('POST', '/v1/jobs', JOB)
    assert response.status == 202
    path = response.headers_by_name['Location']
    assert path == f'/v1/jobs/{accepted["job_id"]}'
    _, shown = client.send('GET', path)
    assert (shown['state'], shown['queue']) == ('queued', 'rental/fit')
    _, listed = client.send('GET', '/v1/jobs?queue=rental/fit')
    assert listed['pending'] == 1
    assert [job['job_id'] for job in listed['jobs']] == [accepted['job_id']]
    _, cancelled = client.send('DELETE', path)
    assert cancelled['state'] == 'cancelled'


def test_idempotency_key_identifies_the_job():
    client = ApiClient(_configuration())
    _, first = client.send('POST', '/v1/jobs', JOB, idempotency_key='a')
    _, again = client.send('POST', '/v1/jobs', JOB, idempotency_key='a')
    assert first['job_id'] == again['job_id']
    other = {**JOB, 'payload': 'other'}
    response, _ = client.send('POST', '/v1/jobs', other, idempotency_key='a')
    assert response.status == 422


def test_jobs_of_other_accounts_are_unknown():
    client = ApiClient(_configuration())
    _, accepted = client.send('POST', '/v1/jobs', JOB)
    path = f'/v1/jobs/{accepted["job_id"]}'
    for method in ('GET', 'DELETE'):
        response, problem = client.send(method, path, account='kumasi')
        assert problem['kind'] == Kind.UNKNOWN_JOB.value
    assert client.send('GET', '/v1/jobs', account='kumasi')[1]['jobs'] == []


def test_method_that_is_not_idempotent_has_no_queue():
    client = ApiClient(_configuration())
    job = {**JOB, 'queue': 'rental/bill'}
    response, problem = client.send('POST', '/v1/jobs', job)
    assert response.status == 404
    assert problem['kind'] == Kind.UNKNOWN_QUEUE.value
    assert problem['ran'] == 'no'


def test_submission_without_permission_is_refused():
    client = ApiClient(_configuration())
    response, _ = client.send('POST', '/v1/jobs', JOB, account='kumasi')
    assert response.status == 403
    suspended = configurations.AccountState.SUSPENDED
    client = ApiClient(_configuration(state=suspended))
    assert client.send('POST', '/v1/jobs', JOB)[0].status == 403
    assert not client.service.intake.job_by_id


def test_malformed_headers_are_refused():
    client = ApiClient(_configuration())
    for headers in (
        {'mulberryloom_deadline_ms': 'soon'},
        {'idempotency_key': 'k' * 256},
    ):
        response, problem = client.send('POST', '/v1/jobs', JOB, **headers)
        assert response.status == 400
        assert problem['kind'] == Kind.MALFORMED_REQUEST.value
    assert not client.service.intake.job_by_id


def test_configuration_feed_adopts_newer_versions_once():
    configuration = configurations.Configuration.empty()
    versions = []
    feed = configuration_feed.ConfigurationFeed(
        lambda: configuration,
        None,
        lambda found: versions.append(found.version),
    )
    feed.poll()
    assert (feed.version, feed.catalogue) == (-1, None)
    configuration = _configuration()
    feed.poll()
    feed.poll()
    assert versions == [1]
    assert list(feed.catalogue.queue_by_name) == ['rental/fit']


def test_refusal_carries_retry_after():
    client = ApiClient(_configuration())
    client.service.intake.error = exceptions.Error.from_kind(
        Kind.STORE_UNAVAILABLE, retry_after_ms=2_500
    )
    response, _ = client.send('POST', '/v1/jobs', JOB)
    assert response.headers_by_name['Retry-After'] == '3'
    client.service.catalogue = None
    response, problem = client.send('POST', '/v1/jobs', JOB)
    assert response.status == 503
    assert response.headers_by_name['Retry-After'] == '1'


def test_entry_without_jobs_and_wrong_method_are_refused():
    client = ApiClient(_configuration())
    response, _ = client.send('PUT', '/v1/jobs')
    assert response.headers_by_name['Allow'] == 'GET, POST'
    client._callers = job_callers.JobRequestHandler(None)
    _, problem = client.send('POST', '/v1/jobs', JOB)
    assert problem['kind'] == Kind.UNKNOWN_QUEUE.value


def test_job_record_preserves_terms():
    client = ApiClient(_configuration())
    _, accepted = client.send('POST', '/v1/jobs', JOB)
    job = client.service.intake.job_by_id[accepted['job_id']]
    found = job_records.decode(job_records.encode(job)).unwrap()
    assert (found.terms.account, found.terms.priority) == ('accra', 0)
    assert found.terms.max_attempts == configuration_feed.MAX_ATTEMPTS
