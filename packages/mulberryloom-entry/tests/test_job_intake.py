"""Tests of the job intake against a store that loses or refuses calls."""

import asyncio
import time

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_entry.jobs import gateway
from mulberryloom_entry.jobs import intake
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import store_circuit
from mulberryloom_entry.jobs import store_codec
from mulberryloom_standins.store import core as store_core
import pytest
from result import Err
from result import Ok

JOB_ID = 'a' * 16
SPEC = jobs.JobSpec('x', (jobs.Step(2),))
TERMS = jobs.JobTerms('q', 's', 'a')


class FaultyStore:
    """Store stand-in that loses answers or refuses calls.

    :ivar lost_answers: number of next calls whose answers are lost.
    :ivar refused_calls: number of next calls that are refused.
    """

    def __init__(self):
        self.core = store_core.StoreCore()
        self.lost_answers = 0
        self.refused_calls = 0
        self.call_count = 0

    async def call(self, request):
        self.call_count += 1
        if self.refused_calls:
            self.refused_calls -= 1
            return _unavailable(exceptions.Ran.NO)
        answer = self.core.handle(request, 0)
        if self.lost_answers:
            self.lost_answers -= 1
            return _unavailable(exceptions.Ran.UNKNOWN)
        return answer


def _unavailable(ran):
    return Err(
        exceptions.Error.from_kind(
            exceptions.ErrorKind.STORE_UNAVAILABLE, ran=ran
        )
    )


class FakeLeader:
    """Leader that knows no jobs and records its notifications."""

    def __init__(self):
        self.notified_entries = []

    def notify_changed(self, entry):
        self.notified_entries.append(entry)

    async def job_state(self, job_id):
        return None

    async def pending_count(self, queue):
        return None


class FakePeerCalls:
    """Peer calls to an entry that relays to a store.

    :param peer_store: store of the other entry.
    """

    def __init__(self, peer_store=None):
        self.peer_store = peer_store
        self.request_count = 0

    async def send_request(self, peer, kind, body=b'', *, timeout_ms):
        self.request_count += 1
        request = store_codec.decode_request(body)
        answer = await self.peer_store.call(request)
        if answer.is_err():
            return answer
        return Ok(store_codec.encode_reply(answer.unwrap()))


def _make_intake(direct_store, peer_store=None):
    peer_calls = FakePeerCalls(peer_store)
    counts = process_metrics.ProcessMetrics()
    clock = clocks.SystemClock()
    store_gateway = gateway.StoreGateway(
        direct_store,
        peer_calls,
        lambda: ['peer'] if peer_store else [],
        clock,
        counts,
    )
    leader = FakeLeader()
    return (
        intake.Intake(store_gateway, leader, clock, counts),
        leader,
        peer_calls,
    )


def _submit(direct_store, peer_store=None, spec=SPEC):
    job_intake, leader, _ = _make_intake(direct_store, peer_store)
    return asyncio.run(job_intake.submit(JOB_ID, spec, TERMS, 1_000)), leader


def test_submit_stores_the_job_and_notifies_the_leader():
    direct_store = FaultyStore()
    result, leader = _submit(direct_store)
    assert result.is_ok()
    assert direct_store.core.state.get(keys.job_key(JOB_ID)) is not None
    assert len(leader.notified_entries) == 1


def test_submit_is_idempotent_for_the_same_content():
    direct_store = FaultyStore()
    assert _submit(direct_store)[0].is_ok()
    assert _submit(direct_store)[0].is_ok()
    other = jobs.JobSpec('other', SPEC.steps)
    error = _submit(direct_store, spec=other)[0].unwrap_err()
    assert error.kind is exceptions.ErrorKind.IDEMPOTENCY_KEY_REUSED


def test_submit_retries_after_a_lost_answer():
    direct_store = FaultyStore()
    direct_store.lost_answers = 1
    assert _submit(direct_store)[0].is_ok()


def test_submit_refusal_carries_retry_after():
    direct_store = FaultyStore()
    direct_store.refused_calls = 99
    result, leader = _submit(direct_store)
    error = result.unwrap_err()
    assert error.ran is exceptions.Ran.NO
    assert error.retry_after_ms >= gateway.MIN_RETRY_AFTER_MS
    assert direct_store.core.state.get(keys.job_key(JOB_ID)) is None
    assert leader.notified_entries == []


def test_submit_with_lost_answers_has_unknown_outcome():
    direct_store = FaultyStore()
    direct_store.lost_answers = 99
    error = _submit(direct_store)[0].unwrap_err()
    assert error.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_submit_refused_after_a_lost_answer_has_unknown_outcome():
    direct_store = FaultyStore()

    async def call(request):
        direct_store.call_count += 1
        ran = (
            exceptions.Ran.UNKNOWN
            if direct_store.call_count == 1
            else (exceptions.Ran.NO)
        )
        return _unavailable(ran)

    direct_store.call = call
    error = _submit(direct_store)[0].unwrap_err()
    assert error.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_submit_is_relayed_by_another_entry():
    direct_store, peer_store = FaultyStore(), FaultyStore()
    direct_store.refused_calls = 99
    assert _submit(direct_store, peer_store)[0].is_ok()
    assert peer_store.core.state.get(keys.job_key(JOB_ID)) is not None


def test_cancel_is_stored_before_the_answer():
    direct_store = FaultyStore()
    job_intake, leader, _ = _make_intake(direct_store)

    async def scenario():
        await job_intake.submit(JOB_ID, SPEC, TERMS, 1_000)
        direct_store.lost_answers = 1
        return await job_intake.cancel(JOB_ID, 2_000)

    assert asyncio.run(scenario()).unwrap() is jobs.JobState.CANCELLED
    entry = direct_store.core.state.get(keys.job_key(JOB_ID))
    assert job_records.decode(entry.value).unwrap().is_cancelled


@pytest.mark.parametrize('method_name', ['job_state', 'cancel'])
def test_state_and_cancel_of_unknown_job_are_errors(method_name):
    job_intake, _, _ = _make_intake(FaultyStore())
    arguments = [JOB_ID] if method_name == 'job_state' else [JOB_ID, 500]
    result = asyncio.run(getattr(job_intake, method_name)(*arguments))
    assert result.unwrap_err().kind is exceptions.ErrorKind.UNKNOWN_JOB


def test_job_state_of_unreadable_record_is_an_error():
    direct_store = FaultyStore()
    request = store.Transact({}, {keys.job_key(JOB_ID): b'\xff{'})
    direct_store.core.handle(request, 0)
    job_intake, _, _ = _make_intake(direct_store)
    error = asyncio.run(job_intake.job_state(JOB_ID)).unwrap_err()
    assert error.kind is exceptions.ErrorKind.INTERNAL


def test_submit_and_cancel_time_out_on_a_silent_store():
    direct_store = FaultyStore()

    async def call(request):
        await asyncio.sleep(5)
        return _unavailable(exceptions.Ran.UNKNOWN)

    direct_store.call = call
    job_intake, _, _ = _make_intake(direct_store)

    async def scenario():
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        submitted = await job_intake.submit(JOB_ID, SPEC, TERMS, 200)
        cancelled = await job_intake.cancel(JOB_ID, 200)
        return submitted, cancelled, loop.time() - started_s

    submitted, cancelled, duration_s = asyncio.run(scenario())
    kind = exceptions.ErrorKind.OUTCOME_UNKNOWN
    assert submitted.unwrap_err().kind is kind
    assert cancelled.unwrap_err().kind is kind
    assert duration_s < 1


def test_gateway_retry_after_grows_with_the_outage():
    clock = clocks.ManualClock(10_000)
    store_gateway = gateway.StoreGateway(
        FaultyStore(),
        FakePeerCalls(),
        lambda: [],
        clock,
        process_metrics.ProcessMetrics(),
    )
    assert store_gateway.retry_after_ms == gateway.MIN_RETRY_AFTER_MS
    clock.advance(2_000)
    assert store_gateway.retry_after_ms == 2_000
    clock.advance(60_000)
    assert store_gateway.retry_after_ms == gateway.MAX_RETRY_AFTER_MS


class SilentStore:
    """Store that answers no call until it recovers."""

    def __init__(self):
        self.core = store_core.StoreCore()
        self.is_silent = True
        self.timeout_s = CALL_TIMEOUT_S
        self.requests = []

    @property
    def call_count(self):
        return len(self.requests)

    async def call(self, request):
        self.requests.append(request)
        if self.is_silent:
            await asyncio.sleep(self.timeout_s)
            return _unavailable(exceptions.Ran.UNKNOWN)
        return self.core.handle(request, 0)


CALL_TIMEOUT_S = 0.05


async def _submit_during_outage(job_intake, direct_store):
    """Submit until the circuit opens; return the result of the next call."""
    for index in range(store_circuit.FAILURES_TO_OPEN):
        await job_intake.submit(f'{index:016x}', SPEC, TERMS, 100)
    calls_before = direct_store.call_count
    started_s = time.monotonic()
    result = await job_intake.submit(JOB_ID, SPEC, TERMS, 1_000)
    return (
        result,
        direct_store.call_count - calls_before,
        (time.monotonic() - started_s),
    )


def test_known_outage_rejects_at_once_as_not_run():
    """The store is silent for seconds, as the last calls have shown."""
    direct_store = SilentStore()
    job_intake, _, _ = _make_intake(direct_store)
    result, call_count, spent_s = asyncio.run(
        _submit_during_outage(job_intake, direct_store)
    )
    error = result.unwrap_err()
    assert error.ran is exceptions.Ran.NO
    assert error.retry_after_ms >= gateway.MIN_RETRY_AFTER_MS
    assert call_count == 0
    assert spent_s < 1


def test_open_circuit_still_relays_through_another_entry():
    """Only this entry is cut off from the store."""
    direct_store = SilentStore()
    job_intake, leader, _ = _make_intake(direct_store, FaultyStore())
    result, call_count, _ = asyncio.run(
        _submit_during_outage(job_intake, direct_store)
    )
    assert result.is_ok()
    assert call_count == 0
    assert leader.notified_entries


class HangingPeerCalls:
    """Peer calls to an entry that has lost power."""

    async def send_request(self, peer, kind, body=b'', *, timeout_ms):
        await asyncio.sleep(timeout_ms / 1_000)
        return _unavailable(exceptions.Ran.UNKNOWN)


async def _submit_after_outage(direct_store, peer_calls, pause_s):
    """Return the result of a submission soon after an outage of the store.

    :param pause_s: time from the end of the outage to the submission.
    """
    counts = process_metrics.ProcessMetrics()
    clock = clocks.SystemClock()
    store_gateway = gateway.StoreGateway(
        direct_store, peer_calls, lambda: ['peer'], clock, counts
    )
    probing = asyncio.create_task(store_gateway.run_probes())
    read = store.GetKey(keys.LEADER)
    async with asyncio.TaskGroup() as group:
        for _ in range(store_circuit.FAILURES_TO_OPEN):
            group.create_task(store_gateway.call_direct(read))
    await asyncio.sleep(0.5)
    direct_store.is_silent = False
    await asyncio.sleep(pause_s)
    job_intake = intake.Intake(store_gateway, FakeLeader(), clock, counts)
    result = await job_intake.submit(JOB_ID, SPEC, TERMS, 500)
    probing.cancel()
    return result


# Guards against submissions that wait for a peer which has lost power, while
# the store answers again.
def test_submission_after_an_outage_goes_to_the_store_and_not_to_a_peer():
    result = asyncio.run(
        _submit_after_outage(SilentStore(), HangingPeerCalls(), 0.45)
    )
    assert result.is_ok()


# Guards against callers that are refused after the end of an outage, since the
# last probe is lost and the next one waits for its timeout.
def test_store_is_used_soon_after_a_silent_outage():
    direct_store = SilentStore()
    direct_store.timeout_s = 1
    peer_calls = FakePeerCalls(FaultyStore())
    peer_calls.peer_store.refused_calls = 100
    result = asyncio.run(_submit_after_outage(direct_store, peer_calls, 0.25))
    assert result.is_ok()


def test_write_relayed_with_unknown_outcome_is_not_called_not_run():
    """Calls are relayed first; the direct call that follows is refused."""
    relay_store = FaultyStore()
    relay_store.lost_answers = 100
    direct_store = FaultyStore()
    direct_store.refused_calls = 100
    job_intake, _, _ = _make_intake(direct_store, relay_store)

    async def submit_two_jobs():
        await job_intake.submit('b' * 16, SPEC, TERMS, 50)
        return await job_intake.submit(JOB_ID, SPEC, TERMS, 50)

    result = asyncio.run(submit_two_jobs())
    assert result.unwrap_err().ran is exceptions.Ran.UNKNOWN


def test_retry_of_a_submission_with_unknown_outcome_stays_unknown():
    """The record of the first call may still appear in the store."""
    direct_store = FaultyStore()
    job_intake, _, _ = _make_intake(direct_store)

    async def submit_twice():
        direct_store.lost_answers = 100
        first = await job_intake.submit(JOB_ID, SPEC, TERMS, 100)
        direct_store.lost_answers = 0
        direct_store.refused_calls = 100
        return first, await job_intake.submit(JOB_ID, SPEC, TERMS, 100)

    for result in asyncio.run(submit_twice()):
        assert result.unwrap_err().ran is exceptions.Ran.UNKNOWN


def test_retry_with_unknown_outcome_waits_for_the_store():
    """Its caller has few retries; the store answers again within them."""
    direct_store = FaultyStore()
    job_intake, _, _ = _make_intake(direct_store)

    async def submit_twice():
        direct_store.lost_answers = 100
        await job_intake.submit(JOB_ID, SPEC, TERMS, 100)
        direct_store.lost_answers = 0
        direct_store.refused_calls = 2
        probes = asyncio.create_task(job_intake._store.run_probes())
        result = await job_intake.submit(JOB_ID, SPEC, TERMS, 1_500)
        probes.cancel()
        return result

    assert asyncio.run(submit_twice()).is_ok()


def test_circuit_opens_on_consecutive_failures_only():
    circuit = store_circuit.StoreCircuit()
    circuit.record_failure()
    circuit.record_answer()
    circuit.record_failure()
    assert not circuit.is_open
    circuit.record_failure()
    assert circuit.is_open
    circuit.record_answer()
    assert not circuit.is_open


def test_submission_is_never_the_probe_of_an_open_circuit():
    """It would have an unknown outcome and wait in a known outage."""
    direct_store = SilentStore()
    job_intake, _, _ = _make_intake(direct_store)

    async def submit_long_after_the_failures():
        await _submit_during_outage(job_intake, direct_store)
        probe_s = store_circuit.PROBE_INTERVAL_MS / 1_000
        await asyncio.sleep(1.5 * probe_s)
        calls_before = direct_store.call_count
        result = await job_intake.submit('c' * 16, SPEC, TERMS, 1_000)
        return result, direct_store.call_count - calls_before

    result, call_count = asyncio.run(submit_long_after_the_failures())
    assert result.unwrap_err().ran is exceptions.Ran.NO
    assert call_count == 0


def test_probes_are_reads_at_intervals_and_close_the_circuit():
    direct_store = SilentStore()
    job_intake, _, _ = _make_intake(direct_store)
    intervals = 3

    async def recover_after_some_intervals():
        probes = asyncio.create_task(job_intake._store.run_probes())
        await _submit_during_outage(job_intake, direct_store)
        calls_before = direct_store.call_count
        probe_s = store_circuit.PROBE_INTERVAL_MS / 1_000
        await asyncio.sleep(intervals * probe_s)
        probe_count = direct_store.call_count - calls_before
        direct_store.is_silent = False
        await asyncio.sleep(1.5 * probe_s)
        result = await job_intake.submit(JOB_ID, SPEC, TERMS, 1_000)
        probes.cancel()
        return probe_count, result

    probe_count, result = asyncio.run(recover_after_some_intervals())
    assert 1 <= probe_count <= intervals
    assert result.is_ok()
    kinds = {type(request) for request in direct_store.requests[2:-1]}
    assert kinds == {store.GetKey}
