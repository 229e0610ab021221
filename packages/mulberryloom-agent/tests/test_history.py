"""Tests of the outcome cache and the run records."""

import agent_harness as harness
from mulberryloom_core import effects as core_effects
from mulberryloom_core import exceptions
from mulberryloom_core import messages

from mulberryloom_agent.process import history
from mulberryloom_agent.process import ledger

HOUR_MS = 3_600_000


def _key(number):
    return ledger.TaskKey(f'q{number}', 1)


def test_outcome_cache_bounds_bodies_but_keeps_outcomes():
    outcomes = history.OutcomeCache()
    body = bytes(3_000_000)
    for number in range(4):
        outcomes.add(_key(number), messages.Outcome(body=body), [], number)
    kept = [outcomes.get(_key(number)).outcome for number in range(4)]
    assert [len(outcome.body) for outcome in kept] == [
        0,
        0,
        3_000_000,
        3_000_000,
    ]
    expired = exceptions.ErrorKind.OUTCOME_EXPIRED
    assert [outcome.error.kind for outcome in kept[:2]] == [expired, expired]
    assert kept[2].error is None
    outcomes.tick(HOUR_MS)
    assert outcomes.get(_key(3)) is None
    assert outcomes.has_evicted


def test_run_records_keep_started_requests_past_retention():
    records = history.RunRecords()
    records.put('q1', history.RunState.STARTED, 1, 1_000, 0)
    records.put('q2', history.RunState.NOT_STARTED, 1, 1_000, 0)
    for hour in range(1, 50):
        records.tick(hour * HOUR_MS)
    assert records.get('q1').state == history.RunState.STARTED
    assert records.get('q2') is None


def test_agent_refuses_work_when_run_records_are_full(monkeypatch):
    monkeypatch.setattr(history, 'MAX_RECORDS', 2)
    agent = harness.Agent()
    kinds = []
    for number in range(3):
        job = harness.work(f'q{number}', is_idempotent=False)
        outputs = agent.start(job, is_claimed=True)
        ended = harness.of_type(outputs, messages.TaskEnded)
        kinds += [message.outcome.error.kind for message in ended]
    assert kinds == [exceptions.ErrorKind.NO_CAPACITY]


def test_agent_resends_only_outcomes_a_lost_session_may_have_lost():
    agent = harness.Agent()
    agent.connect()
    for number in range(2):
        agent.start(harness.work(f'q{number}'))
        agent.answer(f'q{number}')
        agent.advance(11_000)
    agent.start(harness.work('q2'))
    agent.answer('q2')
    agent.handle(core_effects.PeerLost(harness.ENTRY))
    agent.advance(30_000)
    resent = harness.only_of_type(agent.connect(), messages.TaskEnded)
    assert resent.request_id == 'q2'
