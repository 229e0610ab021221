"""Tests of the workers and entries that an entry considers live."""

from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_entry.process import membership

OWN_ENTRY = messages.EntryInfo('entry-1', 1, '127.0.0.1:1')
PEER_ENTRY = messages.EntryInfo('entry-2', 1, '127.0.0.1:2')


def _state(worker='w1', incarnation=1, health='healthy', version=0):
    return messages.WorkerState(
        worker,
        incarnation,
        'galway-a',
        'r1',
        '127.0.0.1:9',
        ['typesetting'],
        messages.BackendHealth(health),
        shapes.Resources(8, 8, 130, 250_000),
        [],
        version,
    )


def _heartbeat(state=None, worker='w1', incarnation=1):
    return messages.AgentHeartbeat(worker, incarnation, 4, state)


def _digest(agents=(), states=(), left=(), incarnation=1):
    entry = messages.EntryInfo('entry-2', incarnation, '127.0.0.1:2')
    return messages.Digest(
        entry, 4, [], [], list(agents), list(states), list(left)
    )


def _candidate_names(view, now_ms):
    return [
        worker_view.worker
        for worker_view in view.candidates('typesetting', now_ms)
    ]


def test_heartbeat_requests_state_until_received():
    view = membership.Membership.from_identity(OWN_ENTRY)
    assert view.on_heartbeat(_heartbeat(), 0)
    assert not view.on_heartbeat(_heartbeat(_state()), 10)
    assert not view.on_heartbeat(_heartbeat(), 20)
    assert _candidate_names(view, 20) == ['w1']


def test_silent_worker_gets_no_new_work_after_three_seconds():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_heartbeat(_heartbeat(_state()), 0)
    assert _candidate_names(view, 2_999) == ['w1']
    assert _candidate_names(view, 3_000) == []
    assert view.expire(3_000) == ['w1']


def test_silence_counts_from_heartbeat_age_in_digest():
    view = membership.Membership.from_identity(OWN_ENTRY)
    alive = messages.AgentAlive('w1', 1, 4, age_ms=2_000)
    view.on_digest(_digest([alive], [_state()]), 5_000)
    assert _candidate_names(view, 5_999) == ['w1']
    assert _candidate_names(view, 6_000) == []


def test_leave_excludes_worker_until_later_state():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_heartbeat(_heartbeat(_state(version=4)), 0)
    view.on_leave(messages.AgentLeave('w1', 1, version=5), 10)
    alive = messages.AgentAlive('w1', 1, 4)
    view.on_digest(_digest([alive], [_state(version=4)]), 15)
    view.on_heartbeat(_heartbeat(_state(version=5)), 20)
    assert _candidate_names(view, 20) == []
    view.on_heartbeat(_heartbeat(_state(version=6)), 30)
    assert _candidate_names(view, 30) == ['w1']


def test_leave_does_not_affect_next_incarnation():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_leave(messages.AgentLeave('w1', 1, version=9), 0)
    state = _state(incarnation=2, version=1)
    view.on_heartbeat(_heartbeat(state, incarnation=2), 10)
    assert _candidate_names(view, 10) == ['w1']


def test_digest_with_stale_state_is_ignored():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_heartbeat(_heartbeat(_state(version=7, health='failing')), 0)
    alive = messages.AgentAlive('w1', 1, 4)
    assert view.on_digest(_digest([alive], [_state(version=6)]), 5) == []
    assert _candidate_names(view, 10) == []


def test_leave_of_earlier_incarnation_is_ignored():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_heartbeat(_heartbeat(_state(incarnation=2), incarnation=2), 0)
    leaves = [messages.AgentLeave('w1', 1)]
    view.on_digest(_digest(left=leaves), 10)
    view.on_leave(leaves[0], 20)
    assert _candidate_names(view, 20) == ['w1']


def test_digest_lists_local_agents_only_when_changed():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_heartbeat(_heartbeat(_state()), 0)
    first = view.digest(100, 4, [], [])
    second = view.digest(1_100, 4, [], [])
    assert [state.worker for state in first.states] == ['w1']
    assert second.states == []
    assert first.agents == [messages.AgentAlive('w1', 1, 4, 100)]
    assert (second.agents, second.steady_age_ms) == ([], 1_100)


def test_digest_repeats_every_state_for_new_entry():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_heartbeat(_heartbeat(_state()), 0)
    view.digest(100, 4, [], [])
    view.on_digest(_digest(), 200)
    assert [state.worker for state in view.digest(300, 4, [], []).states] == [
        'w1'
    ]
    view.on_digest(_digest(incarnation=2), 400)
    assert [state.worker for state in view.digest(500, 4, [], []).states] == [
        'w1'
    ]


def test_candidates_exclude_failing_backend_server():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_heartbeat(_heartbeat(_state(health='failing')), 0)
    assert _candidate_names(view, 0) == []


def test_expire_removes_silent_entry():
    view = membership.Membership.from_identity(OWN_ENTRY)
    view.on_digest(_digest(), 0)
    assert view.shard_candidates(False) == ['entry-1', 'entry-2']
    view.expire(3_000)
    assert view.live_entries() == [OWN_ENTRY]


def test_steady_digest_keeps_known_agents_alive():
    sender = membership.Membership.from_identity(PEER_ENTRY)
    receiver = membership.Membership.from_identity(OWN_ENTRY)
    for now_ms in range(0, 10_000, 1_000):
        heartbeat = _heartbeat(_state() if now_ms == 0 else None)
        sender.on_heartbeat(heartbeat, now_ms)
        receiver.on_digest(sender.digest(now_ms, 4, [], []), now_ms)
        assert _candidate_names(receiver, now_ms) == ['w1']


def test_steady_digest_lets_late_agent_time_out():
    sender = membership.Membership.from_identity(PEER_ENTRY)
    receiver = membership.Membership.from_identity(OWN_ENTRY)
    sender.on_heartbeat(_heartbeat(_state()), 0)
    sender.on_heartbeat(_heartbeat(_state('w2'), 'w2'), 0)
    for now_ms in range(0, 5_000, 500):
        sender.on_heartbeat(_heartbeat(worker='w2'), now_ms)
        receiver.on_digest(sender.digest(now_ms, 4, [], []), now_ms)
        expected = ['w1', 'w2'] if now_ms < 3_000 else ['w2']
        assert _candidate_names(receiver, now_ms) == expected


def test_steady_digest_does_not_renew_agents_of_lost_entry():
    sender = membership.Membership.from_identity(PEER_ENTRY)
    receiver = membership.Membership.from_identity(OWN_ENTRY)
    sender.on_heartbeat(_heartbeat(_state()), 0)
    receiver.on_digest(sender.digest(0, 4, [], []), 0)
    receiver.on_entry_lost('entry-2')
    steady = sender.digest(1_000, 4, [], [])
    receiver.on_digest(steady, 1_000)
    assert _candidate_names(receiver, 2_999) == ['w1']
    assert _candidate_names(receiver, 3_000) == []
