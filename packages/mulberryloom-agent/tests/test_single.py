"""Tests of single tasks, from the start to the report of the end."""

import agent_harness as harness
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
import pytest
from result import Err
from result import Ok

from mulberryloom_agent import effects

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


def test_task_runs_and_reports_the_answer():
    agent = harness.Agent()
    outputs = agent.start(harness.work(accelerators=2))
    call = harness.only_of_type(outputs, effects.CallBackend)
    assert call.positions == (0, 1)
    assert call.body == b'pages'
    assert harness.only_of_type(outputs, messages.TaskStarted).attempt == 1
    ended = harness.only_of_type(agent.answer(), messages.TaskEnded)
    assert ended.outcome.body == b'done'
    assert ended.outcome.error is None
    assert agent.core.worker.ledger.used == shapes.Resources()


def test_repeated_start_runs_a_task_once():
    agent = harness.Agent()
    agent.start(harness.work())
    again = agent.start(harness.work())
    assert not harness.of_type(again, effects.CallBackend)
    assert harness.of_type(again, messages.TaskStarted)
    agent.answer()
    again = agent.start(harness.work())
    assert not harness.of_type(again, effects.CallBackend)
    assert (
        harness.only_of_type(again, messages.TaskEnded).outcome.body == b'done'
    )
    assert not agent.answer()


def test_end_is_reported_to_every_requesting_entry():
    agent = harness.Agent()
    other = identity.PeerId(identity.Role.ENTRY, 'e2', 1)
    agent.connect()
    agent.connect(other)
    agent.start(harness.work())
    agent.start(harness.work(), peer=other)
    names = {output.name for output in agent.answer()}
    assert names == {'e1', 'e2'}


def test_end_is_repeated_to_an_entry_that_reconnects():
    agent = harness.Agent()
    agent.connect()
    agent.start(harness.work())
    agent.answer()
    assert harness.only_of_type(agent.connect(), messages.TaskEnded)


@pytest.mark.parametrize(
    ('changes', 'start', 'kind'),
    [
        ({}, {'incarnation': 6}, Kind.STALE_INCARNATION),
        ({'service': 'other'}, {}, Kind.NO_WORKER),
        ({'deadline_ms': 0}, {}, Kind.DEADLINE_PASSED),
        ({'accelerators': 9}, {}, Kind.NO_CAPACITY),
        ({'is_idempotent': False}, {}, Kind.CLAIM_TAKEN),
        (
            {},
            {'epoch': identity.Epoch(4, 9, 'e9')},
            Kind.STALE_EPOCH,
        ),
    ],
)
def test_refused_start_reports_not_run(changes, start, kind):
    agent = harness.Agent()
    agent.start(harness.work('seen'))
    outputs = agent.start(harness.work(**changes), **start)
    error = harness.error_of(outputs)
    assert (error.kind, error.ran) == (kind, Ran.NO)
    assert not harness.of_type(outputs, effects.CallBackend)


def test_start_runs_non_idempotent_work_once():
    agent = harness.Agent()
    work = harness.work(is_idempotent=False)
    outputs = agent.start(work, is_claimed=True)
    assert harness.of_type(outputs, effects.CallBackend)
    agent.answer(result=Ok(effects.BackendAnswer(500, 'text/plain', b'')))
    for attempt, ran in ((1, Ran.YES), (2, Ran.UNKNOWN)):
        outputs = agent.start(work, attempt, is_claimed=True)
        assert harness.error_of(outputs).ran == ran
        assert not harness.of_type(outputs, effects.CallBackend)
    agent.advance(200_000)
    for attempt in (1, 2, 3):
        outputs = agent.start(work, attempt, is_claimed=True)
        assert harness.error_of(outputs).ran == Ran.UNKNOWN
        assert not harness.of_type(outputs, effects.CallBackend)


def test_start_accepts_a_retry_of_work_that_never_reached_the_backend():
    agent = harness.Agent()
    work = harness.work(is_idempotent=False)
    agent.start(work, is_claimed=True)
    unsent = exceptions.Error(Kind.BACKEND_UNREACHABLE, ran=Ran.NO)
    assert harness.error_of(agent.answer(result=Err(unsent))).ran == Ran.NO
    outputs = agent.start(work, 2, is_claimed=True)
    assert harness.of_type(outputs, effects.CallBackend)


def test_forbidden_request_never_starts():
    agent = harness.Agent()
    work = harness.work(is_idempotent=False)
    outputs = agent.receive(messages.ForbidTask('q1'))
    assert not harness.only_of_type(
        outputs, messages.TaskForbidden
    ).has_started
    outputs = agent.start(work, is_claimed=True)
    assert harness.error_of(outputs).ran == Ran.NO
    assert not harness.of_type(outputs, effects.CallBackend)


def test_forbid_reports_a_started_request():
    agent = harness.Agent()
    agent.start(harness.work(is_idempotent=False), is_claimed=True)
    outputs = agent.receive(messages.ForbidTask('q1'))
    assert harness.only_of_type(outputs, messages.TaskForbidden).has_started


def test_cancel_keeps_resources_until_the_stop_is_confirmed():
    agent = harness.Agent()
    agent.start(harness.work(accelerators=8))
    outputs = agent.receive(messages.CancelTask('q1', 1))
    assert harness.only_of_type(outputs, effects.StopTask)
    agent.finish_stop(is_confirmed=False)
    outputs = agent.advance(2_100)
    error = harness.error_of(outputs)
    assert (error.kind, error.ran) == (Kind.CANCELLED, Ran.UNKNOWN)
    assert harness.of_type(outputs, effects.StopTask)
    refused = agent.start(harness.work('q2'))
    assert harness.error_of(refused).kind == Kind.NO_CAPACITY
    agent.finish_stop()
    outputs = agent.start(harness.work('q3'))
    assert harness.of_type(outputs, effects.CallBackend)


def test_cancel_before_the_start_prevents_the_attempt():
    agent = harness.Agent()
    outputs = agent.receive(messages.CancelTask('q1', 1))
    assert harness.error_of(outputs).ran == Ran.NO
    agent.advance(200_000)
    outputs = agent.start(harness.work())
    assert not harness.of_type(outputs, effects.CallBackend)
    assert harness.error_of(outputs).ran == Ran.NO


def test_cancel_reports_an_answer_that_precedes_the_stop():
    agent = harness.Agent()
    agent.start(harness.work())
    agent.receive(messages.CancelTask('q1', 1))
    ended = harness.only_of_type(agent.answer(), messages.TaskEnded)
    assert ended.outcome.error is None
    assert not agent.finish_stop()


def test_deadline_stops_a_task():
    agent = harness.Agent()
    agent.start(harness.work(deadline_ms=1_000))
    outputs = agent.advance(1_000)
    assert harness.only_of_type(outputs, effects.StopTask)
    error = harness.error_of(agent.finish_stop())
    assert (error.kind, error.ran) == (Kind.DEADLINE_PASSED, Ran.UNKNOWN)


def test_lost_call_stops_the_task_and_reports_unknown():
    agent = harness.Agent()
    agent.start(harness.work())
    lost = exceptions.Error(Kind.BACKEND_UNREACHABLE, ran=Ran.UNKNOWN)
    assert harness.only_of_type(
        agent.answer(result=Err(lost)), effects.StopTask
    )
    assert harness.error_of(agent.finish_stop()).ran == Ran.UNKNOWN
