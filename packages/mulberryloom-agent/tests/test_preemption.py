"""Tests of preemption, memory limits and graceful stops."""

import agent_harness as harness
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
import pytest
from result import Ok

from mulberryloom_agent import effects
from mulberryloom_agent.process import holds

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


def _preempt(agent, epoch=harness.EPOCH, grace_ms=1_000):
    return agent.receive(
        messages.PreemptTask('q1', 1, grace_ms, 'sligo', epoch)
    )


def _finish_checkpoint(agent, is_saved=True):
    return agent.handle(effects.CheckpointDone('q1', 1, is_saved))


def _agent_with_task(**changes):
    agent = harness.Agent()
    agent.connect()
    agent.start(harness.work(**changes), is_claimed=True)
    return agent


def test_preemption_checkpoints_a_task_and_then_stops_it():
    agent = _agent_with_task(is_checkpointable=True)
    outputs = _preempt(agent)
    assert harness.only_of_type(outputs, effects.Checkpoint).grace_ms == 1_000
    assert harness.only_of_type(_finish_checkpoint(agent), effects.StopTask)
    ended = harness.only_of_type(agent.finish_stop(), messages.TaskEnded)
    assert ended.outcome.error.kind == Kind.PREEMPTED
    assert ended.outcome.is_checkpointed


@pytest.mark.parametrize('is_saved', [True, False])
def test_checkpoint_decides_the_outcome_of_a_call_that_ended_first(is_saved):
    agent = _agent_with_task(is_checkpointable=True)
    _preempt(agent)
    cut = Ok(effects.BackendAnswer(503, 'application/json', b'{}'))
    assert not agent.answer(result=cut)
    ended = harness.only_of_type(
        _finish_checkpoint(agent, is_saved), messages.TaskEnded
    )
    kind = Kind.PREEMPTED if is_saved else Kind.BACKEND_FAILED
    assert ended.outcome.error.kind == kind
    assert ended.outcome.is_checkpointed == is_saved


def test_preemption_stops_a_task_after_the_grace_if_its_checkpoint_fails():
    agent = _agent_with_task(is_checkpointable=True)
    _preempt(agent)
    assert not _finish_checkpoint(agent, is_saved=False)
    assert not harness.of_type(agent.advance(900), effects.StopTask)
    assert harness.only_of_type(agent.advance(100), effects.StopTask)
    ended = harness.only_of_type(agent.finish_stop(), messages.TaskEnded)
    assert not ended.outcome.is_checkpointed


def test_preemption_lets_a_task_finish_within_the_grace():
    agent = _agent_with_task()
    _preempt(agent)
    ended = harness.only_of_type(agent.answer(), messages.TaskEnded)
    assert ended.outcome.error is None


def test_preemption_with_a_stale_epoch_is_ignored():
    agent = _agent_with_task()
    _preempt(agent, identity.Epoch(9, 0, 'e1'), grace_ms=60_000)
    agent.start(harness.work('q2'))
    outputs = _preempt(agent, identity.Epoch(8, 0, 'e2'), grace_ms=0)
    assert not outputs
    assert not harness.of_type(agent.advance(1_000), effects.StopTask)


def test_preemption_of_non_idempotent_work_is_ignored():
    agent = _agent_with_task(is_idempotent=False, is_checkpointable=True)
    assert not _preempt(agent)
    assert not harness.of_type(agent.advance(5_000), effects.StopTask)


def _report_usage(agent, memory_mb, age_ms=0):
    usage = effects.TaskUsage('q1', 1, memory_mb, age_ms)
    return agent.handle(effects.UsageReported((usage,)))


def test_memory_overrun_throttles_then_stops_and_reports_the_peak():
    agent = _agent_with_task()
    agent.advance(1_000)
    assert harness.only_of_type(_report_usage(agent, 300), effects.Throttle)
    agent.advance(1_000)
    assert not _report_usage(agent, 290, age_ms=500)
    agent.advance(1_500)
    assert harness.only_of_type(_report_usage(agent, 280), effects.StopTask)
    ended = harness.only_of_type(agent.finish_stop(), messages.TaskEnded)
    assert ended.outcome.error.kind == Kind.MEMORY_EXCEEDED
    assert ended.outcome.error.ran == Ran.YES
    assert ended.outcome.peak_memory_mb == 300


def test_memory_sample_from_before_the_start_is_ignored():
    agent = _agent_with_task()
    agent.advance(1_000)
    assert not _report_usage(agent, 9_999, age_ms=1_500)


def test_stopping_agent_announces_its_leave_and_lets_tasks_finish():
    agent = _agent_with_task(deadline_ms=600_000)
    outputs = agent.handle(effects.StopRequested())
    assert harness.only_of_type(outputs, messages.AgentLeave)
    assert not agent.handle(effects.StopRequested())
    refused = agent.start(harness.work('q2'))
    assert harness.error_of(refused).kind == Kind.STOPPING
    outputs = agent.advance(60_000)
    assert not harness.of_type(outputs, effects.StopTask)
    assert not harness.of_type(outputs, effects.Drained)
    assert harness.only_of_type(agent.answer(), messages.TaskEnded)
    assert harness.only_of_type(agent.advance(1_000), effects.Drained)


def test_stopping_agent_checkpoints_tasks_within_the_grace():
    agent = _agent_with_task(is_checkpointable=True)
    agent.handle(effects.StopRequested())
    outputs = agent.advance(30_000)
    checkpoint = harness.only_of_type(outputs, effects.Checkpoint)
    assert checkpoint.grace_ms > 0
    _finish_checkpoint(agent)
    ended = harness.only_of_type(agent.finish_stop(), messages.TaskEnded)
    assert ended.outcome.is_checkpointed
    assert harness.only_of_type(agent.advance(1_000), effects.Drained)


def test_stopping_agent_lets_a_task_finish_if_its_checkpoint_fails():
    agent = _agent_with_task(is_checkpointable=True, deadline_ms=600_000)
    agent.handle(effects.StopRequested())
    agent.advance(20_000)
    _finish_checkpoint(agent, is_saved=False)
    outputs = agent.advance(30_000)
    assert not harness.of_type(outputs, effects.StopTask)
    assert not harness.of_type(outputs, effects.Checkpoint)


def test_stopping_agent_drops_staged_members():
    fleet = harness.Fleet()
    fleet.prepare(harness.work('q1', 24), order=(0, 1))
    fleet.handle('w2', effects.StopRequested())
    fleet.advance(500)
    (end,) = fleet.task_ends()
    assert end.outcome.error.kind == Kind.STOPPING
    assert end.outcome.error.ran == Ran.NO
    assert fleet.is_idle()


def _agent_with_freed_room():
    """Return an agent whose only accelerator was freed for sligo."""
    agent = harness.Agent()
    agent.connect()
    agent.announce(shapes.Resources(8, 1, 130, 250_000))
    agent.start(harness.work(is_checkpointable=True))
    _preempt(agent)
    _finish_checkpoint(agent)
    agent.finish_stop()
    return agent


def _start_refusal_kind(agent, request_id, account):
    """Start work of an account; return the error kind if it is refused."""
    work = harness.work(request_id, account=account)
    outputs = agent.start(work, epoch=harness.EPOCH)
    ended = harness.of_type(outputs, messages.TaskEnded)
    return ended[0].outcome.error.kind if ended else None


def test_preemption_reserves_freed_room_for_the_reclaiming_account():
    agent = _agent_with_freed_room()
    assert _start_refusal_kind(agent, 'q2', 'galway') == Kind.NO_CAPACITY
    assert _start_refusal_kind(agent, 'q3', 'sligo') is None


def test_preemption_reserves_freed_room_for_a_limited_time():
    agent = _agent_with_freed_room()
    agent.advance(holds.HOLD_MS)
    assert _start_refusal_kind(agent, 'q2', 'galway') is None
