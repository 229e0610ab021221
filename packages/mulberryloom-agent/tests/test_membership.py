"""Tests of sessions to entries, heartbeats and the backend's health."""

import agent_harness as harness
from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages

from mulberryloom_agent import effects

Health = messages.BackendHealth


def _peer(number, incarnation=1):
    return identity.PeerId(identity.Role.ENTRY, f'e{number}', incarnation)


def _reply(count, **changes):
    entries = [
        messages.EntryInfo(f'e{i}', 1, f'127.0.0.1:{7_100 + i}')
        for i in range(1, count + 1)
    ]
    return messages.HeartbeatReply(0, entries, **changes)


def _heartbeats(outputs):
    return harness.of_type(outputs, messages.AgentHeartbeat)


def test_heartbeat_carries_state_only_after_a_change():
    agent = harness.Agent()
    agent.connect()
    first, *others = _heartbeats(agent.advance(10_000))
    assert first.state.health == Health.HEALTHY
    assert all(heartbeat.state is None for heartbeat in others)
    agent.start(harness.work())
    (heartbeat,) = _heartbeats(agent.advance(1_000))
    assert [task.request_id for task in heartbeat.state.tasks] == ['q1']


def test_heartbeat_interval_is_one_second_after_a_jittered_first():
    first_gaps = set()
    for seed in range(20):
        agent = harness.Agent(seed=seed)
        agent.connect()
        sent_ms = []
        for _ in range(100):
            if _heartbeats(agent.advance(100)):
                sent_ms.append(agent.clock.now_ms())
        gaps = [
            later - earlier for earlier, later in zip(sent_ms, sent_ms[1:])
        ]
        assert sent_ms[0] == 1_100
        assert gaps[0] <= 1_000
        assert set(gaps[1:]) == {1_000}
        first_gaps.add(gaps[0])
    assert len(first_gaps) > 5


def test_heartbeat_carries_state_that_the_entry_wants():
    agent = harness.Agent()
    agent.connect()
    agent.advance(2_000)
    agent.receive(_reply(1, wants_state=True))
    (heartbeat,) = _heartbeats(agent.advance(1_000))
    assert heartbeat.state is not None


def test_agent_connects_to_all_of_few_entries():
    agent = harness.Agent()
    agent.connect()
    agent.receive(_reply(3))
    outputs = agent.advance(100)
    addresses = {
        output.address for output in harness.of_type(outputs, _connect_type())
    }
    assert addresses >= {'127.0.0.1:7102', '127.0.0.1:7103'}


def test_agent_reports_to_two_of_many_entries_and_replaces_a_lost_one():
    agent = harness.Agent()
    agent.connect()
    agent.receive(_reply(12))
    addresses = _addresses_connected_within(agent, 100)
    assert len(addresses - {'127.0.0.1:7101'}) <= 2
    names = [f'e{int(address[-4:]) - 7_100}' for address in sorted(addresses)]
    for name in names:
        agent.connect(identity.PeerId(identity.Role.ENTRY, name, 1))
    agent.advance(1_000)
    targets = {
        output.name
        for output in agent.advance(1_000)
        if isinstance(output, core_effects.Send)
    }
    assert len(targets) == 2
    lost = min(targets)
    agent.handle(
        core_effects.PeerLost(identity.PeerId(identity.Role.ENTRY, lost, 1))
    )
    replacement = harness.of_type(agent.advance(100), _connect_type())
    assert len(replacement) == 1


def test_agent_connects_to_bootstrap_entries_without_a_session():
    agent = harness.Agent()
    connects = harness.of_type(agent.advance(100), _connect_type())
    assert [output.address for output in connects] == ['127.0.0.1:7101']


def test_backend_without_heartbeats_fails_and_gets_no_work():
    agent = harness.Agent()
    agent.connect()
    agent.advance(1_000)
    heartbeats = _heartbeats(agent.advance(4_000, is_backend_alive=False))
    states = [heartbeat.state for heartbeat in heartbeats if heartbeat.state]
    assert [state.health for state in states] == [Health.FAILING]
    refused = agent.start(harness.work())
    assert harness.error_of(refused)
    agent.advance(1_000)
    assert harness.of_type(
        agent.start(harness.work('q2')), effects.CallBackend
    )


def test_backend_leave_is_forwarded_at_once():
    agent = harness.Agent()
    agent.connect()
    outputs = agent.handle(effects.BackendLeft())
    assert harness.only_of_type(outputs, messages.AgentLeave).incarnation == 7
    assert harness.error_of(agent.start(harness.work()))
    agent.advance(1_000)
    assert harness.error_of(agent.start(harness.work('q2')))
    agent.announce()
    assert harness.of_type(
        agent.start(harness.work('q3')), effects.CallBackend
    )


def test_backend_leave_lasts_until_an_announcement():
    agent = harness.Agent()
    agent.handle(effects.BackendLeft())
    agent.advance(12_000, is_backend_alive=False)
    agent.advance(1_000)
    assert harness.error_of(agent.start(harness.work()))
    agent.announce()
    assert harness.of_type(
        agent.start(harness.work('q2')), effects.CallBackend
    )


def test_agent_fetches_a_newer_configuration_once_a_second():
    agent = harness.Agent()
    agent.connect()
    newer = messages.HeartbeatReply(3, [])
    fetches = [
        harness.of_type(agent.receive(newer), messages.FetchConfiguration)
        for _ in range(2)
    ]
    assert [len(each) for each in fetches] == [1, 0]


def _connect_type():
    return effects.ConnectEntry


def _addresses_connected_within(agent, duration_ms):
    outputs = agent.advance(duration_ms)
    return {
        output.address for output in harness.of_type(outputs, _connect_type())
    }


def test_open_session_gets_heartbeats_while_no_target_is_connected():
    agent = harness.Agent()
    agent.connect()
    # The reply lists only an entry that is down.
    agent.receive(
        messages.HeartbeatReply(
            0, [messages.EntryInfo('dead', 1, '127.0.0.1:7199')]
        )
    )
    assert len(_heartbeats(agent.advance(5_000))) >= 4
