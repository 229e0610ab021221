"""Submissions, cancels and states against a store with faults."""

import asyncio

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core.process import tally
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_entry.jobs import gateway
from mulberryloom_entry.jobs import intake
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import store_codec
from mulberryloom_standins.store import core as store_core
import pytest
from result import Err
from result import Ok

JOB_ID = 'a' * 16
SPEC = jobs.JobSpec('x', (jobs.Step(2),))
TERMS = jobs.Terms('q', 's', 'a')


class FaultyStore:
    """A store that may lose answers or refuse calls.

    :ivar lost: calls whose answers are lost from now on.
    :ivar refused: calls that are refused from now on.
    """

    def __init__(self):
        self.core = store_core.StoreCore()
        self.lost = 0
        self.refused = 0
        self.calls = 0

    async def call(self, request):
        self.calls += 1
        if self.refused:
            self.refused -= 1
            return _unavailable(exceptions.Ran.NO)
        answer = self.core.handle(request, 0)
        if self.lost:
            self.lost -= 1
            return _unavailable(exceptions.Ran.UNKNOWN)
        return answer


def _unavailable(ran):
    return Err(
        exceptions.Error.from_kind(
            exceptions.ErrorKind.STORE_UNAVAILABLE, ran=ran
        )
    )


class FakeLeader:
    """A leader that knows nothing and remembers what it is told."""

    def __init__(self):
        self.told = []

    def notify_changed(self, entry):
        self.told.append(entry)

    async def job_state(self, job_id):
        return None

    async def pending_count(self, queue):
        return None


class FakeCalls:
    """Another entry that reaches the store, or nobody."""

    def __init__(self, peer_store=None):
        self.peer_store = peer_store
        self.asked = 0

    async def ask(self, peer, kind, body=b'', *, timeout_ms):
        self.asked += 1
        request = store_codec.decode_request(body)
        answer = await self.peer_store.call(request)
        if answer.is_err():
            return answer
        return Ok(store_codec.encode_reply(answer.unwrap()))


def _intake(direct, peer_store=None):
    peer_calls = FakeCalls(peer_store)
    counts = tally.Tally()
    clock = clocks.SystemClock()
    reached = gateway.StoreGateway(
        direct,
        peer_calls,
        lambda: ['peer'] if peer_store else [],
        clock,
        counts,
    )
    leader = FakeLeader()
    return intake.Intake(reached, leader, clock, counts), leader, peer_calls


def _submit(direct, peer_store=None, spec=SPEC):
    found, leader, _ = _intake(direct, peer_store)
    return asyncio.run(found.submit(JOB_ID, spec, TERMS, 1_000)), leader


def test_accepted_job_is_stored_and_the_leader_told():
    direct = FaultyStore()
    result, leader = _submit(direct)
    assert result.is_ok()
    assert direct.core.state.get(keys.job_key(JOB_ID)) is not None
    assert len(leader.told) == 1


def test_same_submission_again_is_the_same_answer():
    direct = FaultyStore()
    assert _submit(direct)[0].is_ok()
    assert _submit(direct)[0].is_ok()
    other = jobs.JobSpec('other', SPEC.steps)
    error = _submit(direct, spec=other)[0].unwrap_err()
    assert error.kind is exceptions.ErrorKind.IDEMPOTENCY_KEY_REUSED


def test_lost_answer_is_settled_by_trying_again():
    direct = FaultyStore()
    direct.lost = 1
    assert _submit(direct)[0].is_ok()


def test_refused_write_is_a_refusal_with_a_time():
    direct = FaultyStore()
    direct.refused = 99
    result, leader = _submit(direct)
    error = result.unwrap_err()
    assert error.ran is exceptions.Ran.NO
    assert error.retry_after_ms >= gateway.MIN_RETRY_AFTER_MS
    assert direct.core.state.get(keys.job_key(JOB_ID)) is None
    assert leader.told == []


def test_open_outcome_is_never_a_refusal():
    direct = FaultyStore()
    direct.lost = 99
    error = _submit(direct)[0].unwrap_err()
    assert error.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_refusal_after_an_unanswered_write_stays_open():
    direct = FaultyStore()

    async def call(request):
        direct.calls += 1
        ran = (
            exceptions.Ran.UNKNOWN
            if direct.calls == 1
            else (exceptions.Ran.NO)
        )
        return _unavailable(ran)

    direct.call = call
    error = _submit(direct)[0].unwrap_err()
    assert error.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_another_entry_carries_the_call_out():
    direct, reachable = FaultyStore(), FaultyStore()
    direct.refused = 99
    assert _submit(direct, reachable)[0].is_ok()
    assert reachable.core.state.get(keys.job_key(JOB_ID)) is not None


def test_cancel_is_stored_before_it_is_answered():
    direct = FaultyStore()
    found, leader, _ = _intake(direct)

    async def scenario():
        await found.submit(JOB_ID, SPEC, TERMS, 1_000)
        direct.lost = 1
        return await found.cancel(JOB_ID, 2_000)

    assert asyncio.run(scenario()).unwrap() is jobs.JobState.CANCELLED
    entry = direct.core.state.get(keys.job_key(JOB_ID))
    assert job_records.decode(entry.value).unwrap().is_cancelled


@pytest.mark.parametrize('ask', ['job_state', 'cancel'])
def test_unknown_job_is_told_by_the_store(ask):
    found, _, _ = _intake(FaultyStore())
    arguments = [JOB_ID] if ask == 'job_state' else [JOB_ID, 500]
    result = asyncio.run(getattr(found, ask)(*arguments))
    assert result.unwrap_err().kind is exceptions.ErrorKind.UNKNOWN_JOB


def test_strange_record_is_an_error_and_no_crash():
    direct = FaultyStore()
    request = store.Transact({}, {keys.job_key(JOB_ID): b'\xff{'})
    direct.core.handle(request, 0)
    found, _, _ = _intake(direct)
    error = asyncio.run(found.job_state(JOB_ID)).unwrap_err()
    assert error.kind is exceptions.ErrorKind.INTERNAL


def test_store_that_never_answers_holds_no_caller():
    direct = FaultyStore()

    async def call(request):
        await asyncio.sleep(5)
        return _unavailable(exceptions.Ran.UNKNOWN)

    direct.call = call
    found, _, _ = _intake(direct)

    async def scenario():
        loop = asyncio.get_running_loop()
        begin = loop.time()
        submitted = await found.submit(JOB_ID, SPEC, TERMS, 200)
        cancelled = await found.cancel(JOB_ID, 200)
        return submitted, cancelled, loop.time() - begin

    submitted, cancelled, duration_s = asyncio.run(scenario())
    kind = exceptions.ErrorKind.OUTCOME_UNKNOWN
    assert submitted.unwrap_err().kind is kind
    assert cancelled.unwrap_err().kind is kind
    assert duration_s < 1


def test_retry_after_grows_with_the_outage():
    clock = clocks.ManualClock(10_000)
    reached = gateway.StoreGateway(
        FaultyStore(), FakeCalls(), lambda: [], clock, tally.Tally()
    )
    assert reached.retry_after_ms == gateway.MIN_RETRY_AFTER_MS
    clock.advance(2_000)
    assert reached.retry_after_ms == 2_000
    clock.advance(60_000)
    assert reached.retry_after_ms == gateway.MAX_RETRY_AFTER_MS
