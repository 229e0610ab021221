"""Tests of the callers' and operators' interface for jobs."""

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
    """Keeps jobs in memory, by the intake's promises."""

    def __init__(self):
        self.job_by_id = {}
        self.error = None

    async def submit(self, job_id, spec, terms, budget_ms):
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

    async def cancel(self, job_id, budget_ms):
        self.job_by_id[job_id].is_cancelled = True
        return Ok(jobs.JobState.CANCELLED)


class FakeService:
    """The part of an entry that serves jobs."""

    def __init__(self, catalogue):
        self.catalogue = catalogue
        self.intake = FakeIntake()

    async def explain_job(self, job_id):
        return Ok([])


class Desk:
    """Sends requests of an account to the interface."""

    def __init__(self, document):
        self.configuration = document
        catalogue = configuration_feed.from_configuration(document)
        self.service = FakeService(catalogue)
        self._callers = job_callers.JobCallers(self.service)

    def send(self, method, path, body=None, account='accra', **headers):
        query = path.partition('?')[2]
        request = http_types.HttpRequest(
            method,
            path.partition('?')[0],
            query,
            {name.replace('_', '-'): v for name, v in headers.items()},
            b'' if body is None else json.dumps(body).encode(),
        )
        holder = self.configuration.accounts_by_name[account]
        work = self._callers.respond(request, holder, self.configuration)
        response = asyncio.run(work)
        return response, json.loads(response.body)


def _configuration(**changes):
    method = configurations.Method(
        'fit', configurations.RequestClass.URGENT, configurations.Demand()
    )
    once = configurations.Method(
        'bill',
        configurations.RequestClass.BATCH,
        configurations.Demand(),
        is_idempotent=False,
    )
    service = configurations.Service(
        'rental', 1, ['accra'], {'fit': method, 'bill': once}, {}
    )
    accounts = {
        name: configurations.ClientAccount(name, 1, name, [], **changes)
        for name in ('accra', 'kumasi')
    }
    return configurations.Configuration(
        1, 1, accounts, {'rental': service}, {}, {}
    )


JOB = {'queue': 'rental/fit', 'steps': [{'tasks': 2}]}


def test_a_job_is_accepted_shown_listed_and_cancelled():
    desk = Desk(_configuration())
    response, accepted = desk.send('POST', '/v1/jobs', JOB)
    assert response.status == 202
    path = response.headers_by_name['Location']
    assert path == f'/v1/jobs/{accepted["job_id"]}'
    _, shown = desk.send('GET', path)
    assert (shown['state'], shown['queue']) == ('queued', 'rental/fit')
    _, listed = desk.send('GET', '/v1/jobs?queue=rental/fit')
    assert listed['pending'] == 1
    assert [job['job_id'] for job in listed['jobs']] == [accepted['job_id']]
    _, cancelled = desk.send('DELETE', path)
    assert cancelled['state'] == 'cancelled'


def test_the_same_key_names_the_same_job():
    desk = Desk(_configuration())
    _, first = desk.send('POST', '/v1/jobs', JOB, idempotency_key='a')
    _, again = desk.send('POST', '/v1/jobs', JOB, idempotency_key='a')
    assert first['job_id'] == again['job_id']
    other = {**JOB, 'payload': 'other'}
    response, _ = desk.send('POST', '/v1/jobs', other, idempotency_key='a')
    assert response.status == 422


def test_jobs_of_other_accounts_are_not_known():
    desk = Desk(_configuration())
    _, accepted = desk.send('POST', '/v1/jobs', JOB)
    path = f'/v1/jobs/{accepted["job_id"]}'
    for method in ('GET', 'DELETE'):
        response, problem = desk.send(method, path, account='kumasi')
        assert problem['kind'] == Kind.UNKNOWN_JOB.value
    assert desk.send('GET', '/v1/jobs', account='kumasi')[1]['jobs'] == []


def test_what_must_run_at_most_once_has_no_queue():
    desk = Desk(_configuration())
    job = {**JOB, 'queue': 'rental/bill'}
    response, problem = desk.send('POST', '/v1/jobs', job)
    assert response.status == 404
    assert problem['kind'] == Kind.UNKNOWN_QUEUE.value
    assert problem['ran'] == 'no'


def test_who_may_not_use_a_service_is_refused():
    desk = Desk(_configuration())
    response, _ = desk.send('POST', '/v1/jobs', JOB, account='kumasi')
    assert response.status == 403
    suspended = configurations.AccountState.SUSPENDED
    desk = Desk(_configuration(state=suspended))
    assert desk.send('POST', '/v1/jobs', JOB)[0].status == 403
    assert not desk.service.intake.job_by_id


def test_headers_that_cannot_be_read_are_told():
    desk = Desk(_configuration())
    for headers in (
        {'mulberryloom_deadline_ms': 'soon'},
        {'idempotency_key': 'k' * 256},
    ):
        response, problem = desk.send('POST', '/v1/jobs', JOB, **headers)
        assert response.status == 400
        assert problem['kind'] == Kind.MALFORMED_REQUEST.value
    assert not desk.service.intake.job_by_id


def test_the_catalogue_follows_the_configuration_of_the_process():
    configuration = configurations.Configuration.empty()
    seen = []
    feed = configuration_feed.ConfigurationFeed(
        lambda: configuration, None, lambda found: seen.append(found.version)
    )
    feed.look()
    assert (feed.version, feed.catalogue) == (-1, None)
    configuration = _configuration()
    feed.look()
    feed.look()
    assert seen == [1]
    assert list(feed.catalogue.queue_by_name) == ['rental/fit']


def test_a_refusal_says_when_to_come_back():
    desk = Desk(_configuration())
    desk.service.intake.error = exceptions.Error.from_kind(
        Kind.STORE_UNAVAILABLE, retry_after_ms=2_500
    )
    response, _ = desk.send('POST', '/v1/jobs', JOB)
    assert response.headers_by_name['Retry-After'] == '3'
    desk.service.catalogue = None
    response, problem = desk.send('POST', '/v1/jobs', JOB)
    assert response.status == 503
    assert response.headers_by_name['Retry-After'] == '1'


def test_an_entry_without_jobs_and_a_wrong_method_are_told():
    desk = Desk(_configuration())
    response, _ = desk.send('PUT', '/v1/jobs')
    assert response.headers_by_name['Allow'] == 'GET, POST'
    desk._callers = job_callers.JobCallers(None)
    _, problem = desk.send('POST', '/v1/jobs', JOB)
    assert problem['kind'] == Kind.UNKNOWN_QUEUE.value


def test_a_stored_job_keeps_its_terms():
    desk = Desk(_configuration())
    _, accepted = desk.send('POST', '/v1/jobs', JOB)
    job = desk.service.intake.job_by_id[accepted['job_id']]
    found = job_records.decode(job_records.encode(job)).unwrap()
    assert (found.terms.account, found.terms.priority) == ('accra', 0)
    assert found.terms.max_attempts == configuration_feed.MAX_ATTEMPTS
