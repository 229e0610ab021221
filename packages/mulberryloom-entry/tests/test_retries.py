"""Tests of retry budgets, circuit breakers and the request state machine."""

import random

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes

from mulberryloom_entry.process import circuit
from mulberryloom_entry.request import budget
from mulberryloom_entry.request import lifecycle

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


def make_request(is_idempotent=True, **options):
    work = messages.Work(
        'r',
        'accra',
        'rental',
        'fit',
        shapes.RequestClass.INTERACTIVE,
        shapes.Demand(),
        is_idempotent=is_idempotent,
        deadline_ms=10_000,
    )
    return lifecycle.Request.from_work(work, 0, **options)


@settings(derandomize=True, deadline=None)
@given(
    strategies.integers(0, 100),
    strategies.lists(strategies.booleans(), max_size=2_000),
)
def test_retry_budget_grants_only_initial_and_earned_retries(percent, steps):
    retry_budget = budget.RetryBudget(percent)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            retry_budget.earn()
            requests += 1
        elif retry_budget.try_spend():
            retries += 1
    allowed = budget.INITIAL_RETRIES + requests * percent / 100
    assert retries <= (allowed if percent else 0)


def test_retry_budget_caps_saved_retries():
    retry_budget = budget.RetryBudget(100)
    for _ in range(10_000):
        retry_budget.earn()
    assert retry_budget.available_retries == budget.MAX_SAVED_RETRIES


def test_circuit_opens_on_failures_and_closes_after_successful_probe():
    circuits = circuit.Circuits(random.Random(1))
    for _ in range(circuit.FAILURES_TO_OPEN):
        assert circuits.allows('w', 0)
        circuits.record_failure('w', 0)
    assert not circuits.allows('w', 0)
    first_probe_ms = circuit.FIRST_OPEN_MS
    assert circuits.allows('w', first_probe_ms)
    circuits.record_sent('w')
    assert not circuits.allows('w', first_probe_ms)
    circuits.record_failure('w', first_probe_ms)
    assert not circuits.allows(
        'w', first_probe_ms + circuit.FIRST_OPEN_MS // 2
    )
    second_probe_ms = first_probe_ms + circuit.MAX_OPEN_MS
    assert circuits.allows('w', second_probe_ms)
    circuits.record_sent('w')
    circuits.record_success('w')
    assert circuits.allows('w', second_probe_ms)
    assert not circuits.is_open('w')


@settings(derandomize=True, deadline=None)
@given(strategies.integers(1, 100), strategies.integers(0, 1_000))
def test_jittered_backoff_stays_within_bounds(failures, seed):
    source = random.Random(seed)
    delay_ms = circuit.jittered_backoff(failures, 100, 5_000, source)
    assert 50 <= delay_ms <= 5_000


ERROR_KINDS = strategies.sampled_from(list(Kind))
RAN_VALUES = strategies.sampled_from(list(Ran))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    strategies.lists(strategies.tuples(ERROR_KINDS, RAN_VALUES), max_size=12),
    strategies.booleans(),
)
@example(
    [
        (Kind.IDEMPOTENCY_KEY_IN_USE, Ran.UNKNOWN),
        (Kind.MALFORMED_REQUEST, Ran.NO),
    ],
    False,
)
def test_judge_never_denies_an_earlier_run(failures, is_idempotent):
    """No final outcome says "not run" after an attempt that may have run.

    Only repeatable requests get another attempt.
    """
    request = make_request(is_idempotent)
    retry_budget = budget.RetryBudget(100)
    has_run = False
    for index, (kind, ran) in enumerate(failures):
        has_run = has_run or ran is not Ran.NO
        error = exceptions.Error.from_kind(kind, ran=ran)
        outcome = messages.Outcome(error=error)
        worker = f'w{index}' if kind is Kind.BACKEND_FAILED else None
        final = request.judge(outcome, worker, retry_budget, index)
        if final is None:
            is_repeatable = (
                is_idempotent
                or ran is Ran.NO
                or kind is Kind.IDEMPOTENCY_KEY_IN_USE
            )
            assert is_repeatable
            continue
        assert final.error is not None
        assert not has_run or final.error.ran is not Ran.NO
        return


def test_request_end_keeps_first_outcome():
    request = make_request()
    assert request.end(messages.Outcome(body=b'first'), 5)
    assert not request.end(messages.Outcome(body=b'second'), 6)
    assert request.outcome.body == b'first'


def test_judge_raises_memory_demand_after_memory_exceeded():
    request = make_request()
    exceeded = lifecycle.failure(Kind.MEMORY_EXCEEDED)
    before_mb = request.work.demand.memory_mb
    assert request.judge(exceeded, None, budget.RetryBudget(10), 1) is None
    assert request.work.demand.memory_mb > before_mb
