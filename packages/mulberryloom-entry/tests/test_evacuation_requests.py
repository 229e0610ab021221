"""Tests of operators' requests to evacuate data centres."""

import asyncio
import hashlib
import json
import types

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.process import store_client
from mulberryloom_core import store
from mulberryloom_core.version import configuration as configurations
from mulberryloom_entry.connection import operator_client
from mulberryloom_entry.connection import operators
from mulberryloom_entry.jobs import evacuation_requests
from mulberryloom_entry.jobs import gateway
from mulberryloom_entry.jobs import keys
from mulberryloom_standins.store import core as store_core
import pytest
from result import Err

KEY = keys.EVACUATIONS + 'galway-a'
TOKEN = 'operator-token'


class FaultyStore:
    """Store stand-in that refuses calls before or after they take effect.

    Both errors look the same, as from the store's gateway.

    :ivar faults: for each of the next calls ``ok``, ``lost`` (the call takes
        effect) or ``refused``; ``always`` repeats the last one.
    """

    def __init__(self):
        self.core = store_core.StoreCore()
        self.faults = []
        self.always = 'ok'

    @property
    def revision(self):
        """Revision of the key of the data centre; 0 if it is absent."""
        return self.core.state.revision_of(KEY)

    async def call(self, request):
        fault = self.faults.pop(0) if self.faults else self.always
        kind = exceptions.ErrorKind.STORE_UNAVAILABLE
        if fault == 'refused':
            return Err(exceptions.Error.from_kind(kind, 'no answer'))
        answer = self.core.handle(request, 0)
        if fault == 'lost':
            return Err(exceptions.Error.from_kind(kind, 'no answer'))
        return answer


class Operator:
    """Sends an operator's HTTP requests to an entry with a faulty store."""

    def __init__(self, *, has_jobs=True):
        self.store = FaultyStore()
        requests = evacuation_requests.EvacuationRequests(
            self.store, clocks.SystemClock()
        )
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        entry = types.SimpleNamespace(
            core=None,
            configuration=configurations.Configuration.empty(),
            settings=types.SimpleNamespace(operator_bootstrap_sha256=digest),
            now_ms=lambda: 0,
        )
        jobs = types.SimpleNamespace(evacuations=requests)
        self._handler = operators.OperatorRequestHandler(
            entry, jobs if has_jobs else None
        )

    def send(self, method, path='/galway-a'):
        """Send a request; return the response and its document."""
        request = http_types.HttpRequest(
            method,
            f'/v1/evacuations{path}',
            headers_by_name={'authorization': f'Bearer {TOKEN}'},
        )
        response = asyncio.run(self._handler.respond(request))
        return response, json.loads(response.body)


@pytest.fixture
def operator():
    return Operator()


@pytest.fixture
def short_settling(monkeypatch):
    """Give up on unanswered writes after a few attempts."""
    monkeypatch.setattr(evacuation_requests, 'SETTLE_TIMEOUT_MS', 20)
    monkeypatch.setattr(evacuation_requests, 'RETRY_PAUSE_MS', 5)


def test_repeated_request_gives_the_same_answer(operator):
    response, first = operator.send('PUT')
    assert response.status == 200
    assert first == {
        'data_centre': 'galway-a',
        'revision': operator.store.revision,
        'is_evacuated': True,
    }
    assert operator.send('PUT')[1] == first
    assert operator.send('GET', '')[1] == {'evacuations': [first]}


def test_end_of_absent_evacuation_succeeds(operator):
    response, document = operator.send('DELETE')
    assert (response.status, document['is_evacuated']) == (200, False)
    operator.send('PUT')
    for _ in range(2):
        response, document = operator.send('DELETE')
        assert (response.status, document['is_evacuated']) == (200, False)
        assert document['revision'] == operator.store.core.state.revision
    assert operator.send('GET', '')[1] == {'evacuations': []}


@pytest.mark.parametrize(
    'faults',
    [['lost'], ['refused', 'lost', 'refused'], ['refused'], ['ok', 'lost']],
)
@pytest.mark.parametrize('method', ['PUT', 'DELETE'])
def test_unanswered_write_is_settled(operator, method, faults):
    """An error of the store must not be taken for a write without effect."""
    if method == 'DELETE':
        operator.send('PUT')
    operator.store.faults = list(faults)
    response, document = operator.send(method)
    assert response.status == 200
    assert document['is_evacuated'] is (method == 'PUT')
    assert bool(operator.store.revision) is (method == 'PUT')
    if method == 'PUT':
        assert document['revision'] == operator.store.revision


def test_stale_read_does_not_confirm_a_write(operator):
    """A read from before an earlier end would show the old key."""
    operator.send('PUT')
    operator.send('DELETE')
    operator.store.core.faults.stale_answers = 1
    operator.store.faults = ['refused']
    _, document = operator.send('PUT')
    assert document['revision'] == operator.store.revision > 0


@pytest.mark.usefixtures('short_settling')
@pytest.mark.parametrize('fault', ['lost', 'refused'])
@pytest.mark.parametrize('method', ['PUT', 'DELETE'])
def test_silent_store_leaves_the_outcome_unknown(operator, method, fault):
    """A caller that reads ``ran: no`` would take the state for unchanged."""
    operator.store.always = fault
    response, problem = operator.send(method)
    assert (response.status, problem['kind']) == (502, 'outcome-unknown')
    assert problem['ran'] == 'unknown'
    assert 'galway-a is unknown' in problem['detail']


def test_list_without_store_is_refused(operator):
    operator.store.always = 'refused'
    response, problem = operator.send('GET', '')
    assert (response.status, problem['kind']) == (503, 'store-unavailable')


def test_end_spares_an_evacuation_that_is_requested_meanwhile(operator):
    """A removal that arrives late must not undo a newer request."""
    operator.send('PUT')
    deletions = []
    answer_call = operator.store.call

    async def record(request):
        if request.deleted_keys:
            deletions.append(request)
        return await answer_call(request)

    operator.store.call = record
    operator.send('DELETE')
    operator.send('PUT')
    reply = asyncio.run(answer_call(deletions[0])).unwrap()
    assert isinstance(reply, store.Conflict)
    assert operator.store.revision


@pytest.mark.parametrize(
    'name', ['', 'a' * 101, 'a/b', 'a%20b', 'galway-a/', 'h\xf6fn', 'a\n']
)
@pytest.mark.parametrize('method', ['PUT', 'DELETE'])
def test_invalid_name_is_refused(operator, method, name):
    response, problem = operator.send(method, f'/{name}')
    assert (response.status, problem['kind']) == (400, 'malformed-request')
    assert not operator.store.core.calls_by_kind


@pytest.mark.parametrize('name', ['a', 'A.b_c-9', 'x' * 100])
def test_unknown_data_centre_is_accepted(operator, name):
    _, document = operator.send('PUT', f'/{name}')
    assert document['data_centre'] == name
    assert document['is_evacuated']


def test_wrong_method_and_entry_without_jobs_are_refused(operator):
    response, _ = operator.send('PUT', '')
    assert (response.status, response.headers_by_name['Allow']) == (405, 'GET')
    response, _ = operator.send('GET')
    assert response.headers_by_name['Allow'] == 'PUT, DELETE'
    for method, path in (('PUT', '/galway-a'), ('GET', '')):
        _, problem = Operator(has_jobs=False).send(method, path)
        assert problem['kind'] == 'unknown-queue'


def test_client_timeout_exceeds_the_time_to_settle():
    """The client must not give up while the entry settles an outcome."""
    attempt_ms = store_client.STORE_TIMEOUT_MS + (
        gateway.MAX_RELAY_PEERS * gateway.RELAY_TIMEOUT_MS
    )
    settled_ms = evacuation_requests.SETTLE_TIMEOUT_MS + attempt_ms
    assert operator_client.CALL_TIMEOUT_MS > settled_ms + 1_000
