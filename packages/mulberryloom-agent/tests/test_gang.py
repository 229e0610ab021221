"""Tests of gangs that span several agents."""

import agent_harness as harness
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
import pytest
from result import Ok

from mulberryloom_agent import effects

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


def _gang_work(request_id='q1', accelerators=24, **changes):
    return harness.work(request_id, accelerators, **changes)


@pytest.mark.parametrize('order', [(0, 1, 2), (2, 1, 0), (1, 0, 2)])
def test_gang_starts_every_member_and_answers_once(order):
    fleet = harness.Fleet()
    fleet.prepare(_gang_work(), order=order)
    fleet.advance(300)
    assert fleet.backend_callers() == ['w1', 'w2', 'w3']
    for name in ('w3', 'w1', 'w2'):
        assert not fleet.task_ends()
        answer = effects.BackendAnswer(200, 'text/plain', name.encode())
        fleet.answer(name, result=Ok(answer))
    (end,) = fleet.task_ends()
    assert end.outcome.error is None
    assert end.outcome.body == b'w1'
    fleet.advance(10_000)
    assert len(fleet.task_ends()) == 1
    assert fleet.is_idle()


def test_gang_starts_nothing_before_every_member_is_prepared():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work(), order=(0, 1))
    fleet.advance(4_000)
    assert fleet.backend_callers() == []
    fleet.advance(2_000)
    (end,) = fleet.task_ends()
    assert (end.outcome.error.kind, end.outcome.error.ran) == (
        Kind.GANG_STOPPED,
        Ran.NO,
    )
    assert fleet.is_idle()
    fleet.prepare(_gang_work(), order=(2,))
    fleet.advance(6_000)
    assert fleet.backend_callers() == []


@pytest.mark.parametrize('full', ['w1', 'w2', 'w3'])
def test_gang_releases_every_member_after_one_refusal(full):
    fleet = harness.Fleet()
    start = messages.StartTask(harness.work('q0'), 1, 7, harness.EPOCH)
    fleet.send_to(full, start)
    fleet.prepare(_gang_work())
    fleet.advance(1_000)
    (end,) = fleet.task_ends()
    assert end.outcome.error.kind == Kind.NO_CAPACITY
    assert end.outcome.error.ran == Ran.NO
    assert fleet.backend_callers() == [full]
    fleet.answer(full, request_id='q0')
    assert fleet.is_idle()


def test_competing_gangs_release_partial_reservations_when_the_lease_expires():
    fleet = harness.Fleet(2)
    fleet.prepare(_gang_work('q1', 16), (8, 8), order=(0,))
    fleet.prepare(_gang_work('q2', 16), (8, 8), order=(1,))
    fleet.advance(5_000)
    assert fleet.is_idle()
    assert fleet.backend_callers() == []
    assert {end.outcome.error.ran for end in fleet.task_ends()} == {Ran.NO}


def test_competing_gangs_start_one_after_the_other_is_refused():
    fleet = harness.Fleet(2)
    fleet.prepare(_gang_work('q1', 16), (8, 8), order=(0,))
    fleet.prepare(_gang_work('q2', 16), (8, 8), order=(1,))
    fleet.prepare(_gang_work('q1', 16), (8, 8), order=(1,))
    fleet.prepare(_gang_work('q2', 16), (8, 8), order=(0,))
    fleet.advance(1_000)
    (end,) = fleet.task_ends()
    assert (end.request_id, end.outcome.error.ran) == ('q1', Ran.NO)
    assert fleet.backend_callers() == ['w1', 'w2']


def test_gang_stops_every_member_when_one_is_silent():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work())
    fleet.disconnected_names.add('w3')
    fleet.advance(4_000)
    stops = [
        name
        for name, agent in fleet.agents_by_name.items()
        if harness.of_type(agent.outputs, effects.StopTask)
    ]
    assert stops == ['w1', 'w2', 'w3']
    fleet.advance(4_000)
    (end,) = fleet.task_ends()
    assert end.outcome.error.kind == Kind.GANG_STOPPED
    assert end.outcome.error.ran == Ran.UNKNOWN
    assert fleet.is_idle()


def test_gang_ends_with_the_error_of_the_failed_member():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work())
    answer = effects.BackendAnswer(500, 'text/plain', b'')
    fleet.answer('w2', result=Ok(answer))
    (end,) = fleet.task_ends()
    assert end.outcome.error.kind == Kind.BACKEND_FAILED
    assert fleet.is_idle()


def test_gang_preemption_checkpoints_every_member():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work(is_checkpointable=True))
    preempt = messages.PreemptTask('q1', 1, 1_000, 'sligo', harness.EPOCH)
    fleet.send_to('w2', preempt)
    fleet.advance(1_000)
    (end,) = fleet.task_ends()
    assert end.outcome.error.kind == Kind.PREEMPTED
    assert end.outcome.is_checkpointed
    assert fleet.is_idle()


def test_gang_cancelled_before_the_commit_reports_not_run():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work(), order=(0, 1))
    fleet.send_to('w1', messages.CancelTask('q1', 1))
    fleet.advance(500)
    (end,) = fleet.task_ends()
    assert (end.outcome.error.kind, end.outcome.error.ran) == (
        Kind.CANCELLED,
        Ran.NO,
    )
    assert fleet.is_idle()


def test_gang_forbidden_before_the_commit_never_starts():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work(), order=(0, 1))
    fleet.send_to('w1', messages.ForbidTask('q1'))
    fleet.prepare(_gang_work(), order=(2,))
    fleet.advance(6_000)
    assert fleet.backend_callers() == []
    assert fleet.task_ends()[0].outcome.error.ran == Ran.NO


def test_member_accepts_the_start_of_its_coordinator_only():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work(), order=(0, 1))
    older = identity.PeerId(identity.Role.AGENT, 'w1', 6)
    fleet.send_to('w2', messages.StartMember('q1', 1), older)
    fleet.send_to('w2', messages.StartMember('q1', 1))
    fleet.advance(300)
    assert fleet.backend_callers() == []


def test_gang_reports_its_end_to_a_new_owner_too():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work())
    other = identity.PeerId(identity.Role.ENTRY, 'e2', 1)
    members = fleet.members((8, 8, 8))
    message = messages.PrepareGang(
        _gang_work(), 1, members, 0, 5_000, identity.Epoch(6, 0, 'e2')
    )
    fleet.send_to('w1', message, other)
    for name in fleet.agents_by_name:
        fleet.answer(name)
    told = {
        output.name
        for output in fleet.sent_to_entry
        if isinstance(output.message, messages.TaskEnded)
    }
    assert told == {'e1', 'e2'}


def test_gang_reports_memory_of_the_whole_gang():
    fleet = harness.Fleet()
    fleet.prepare(_gang_work())
    for _ in range(2):
        usage = effects.TaskUsage('q1', 1, 300, 0)
        fleet.handle('w2', effects.UsageReported((usage,)))
        fleet.advance(3_000)
    (end,) = fleet.task_ends()
    assert end.outcome.error.kind == Kind.MEMORY_EXCEEDED
    assert end.outcome.peak_memory_mb >= 3 * 290


@pytest.mark.parametrize('name', ['w1', 'w2'])
@pytest.mark.parametrize('is_silent', [False, True])
def test_gang_does_not_start_on_an_unavailable_backend(name, is_silent):
    fleet = harness.Fleet()
    fleet.prepare(_gang_work(), order=(0, 1))
    if is_silent:
        fleet.silent_backend_names.add(name)
        fleet.advance(3_200)
    else:
        fleet.handle(name, effects.BackendLeft())
    fleet.prepare(_gang_work(), order=(2,))
    fleet.advance(1_000)
    assert fleet.backend_callers() == []
    (end,) = fleet.task_ends()
    assert end.outcome.error.ran == Ran.NO
