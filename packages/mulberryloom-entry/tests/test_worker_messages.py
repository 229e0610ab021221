"""Tests of how entries process messages about workers."""

from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages

from mulberryloom_entry.process import circuit
from mulberryloom_entry.process import quarantine


def deliver(region, name, agent, message):
    """Deliver a message from an agent to one entry."""
    peer = identity.PeerId(
        identity.Role.AGENT, agent.worker, agent.incarnation
    )
    region.deliver(name, effects.Received(peer, message))


def known_workers(region, name):
    members = region.cores[name].context.membership
    return {
        worker
        for worker, view in members.workers_by_name.items()
        if view.state is not None
    }


def test_heartbeat_reaches_every_entry_while_another_connects(make_region):
    region = make_region(entries=2, agents=2)
    agent = region.agents.pop('w1')
    region.run(4_000)
    assert known_workers(region, 'entry-2') == {'w0'}
    heartbeat = messages.AgentHeartbeat('w1', 1, 1, agent.state())
    deliver(region, 'entry-1', agent, heartbeat)
    region.add_entry('entry-3')
    for _ in range(4):
        region.run(500)
        heartbeat = messages.AgentHeartbeat('w1', 1, 1)
        deliver(region, 'entry-1', agent, heartbeat)
    for name in region.cores:
        assert known_workers(region, name) == {'w0', 'w1'}


def test_dispatch_sends_no_batch_work_to_leaving_worker(make_region):
    region = make_region(entries=2)
    leaving = region.agents['w0']
    deliver(region, 'entry-1', leaving, messages.AgentLeave('w0', 1))
    for name in list(region.cores):
        for _ in range(4):
            region.submit(name, 'count')
    region.run(4_000)
    assert leaving.run_ids == []
    assert len(region.runs()) == 8


def test_heartbeat_of_earlier_incarnation_is_ignored(make_region):
    region = make_region(agents=1)
    agent = region.agents['w0']
    stale_heartbeat = messages.AgentHeartbeat('w0', 1, 1, agent.state())
    agent.restart()
    agent.slots = 0
    region.run(1_000)
    peer = identity.PeerId(identity.Role.AGENT, 'w0', 1)
    region.deliver('entry-1', effects.Received(peer, stale_heartbeat))
    region.submit(method='count')
    region.submit()
    region.run(100)
    assert agent.ended == {}
    members = region.cores['entry-1'].context.membership
    assert members.workers_by_name['w0'].incarnation == 2


class RecordingPlanner:
    """Stand-in for the planner that records the health of workers."""

    def __init__(self):
        self.observed_health = []

    def observe_worker(self, state, _now):
        self.observed_health.append(state.health)


def test_quarantine_reports_health_changes_to_planner(make_region):
    region = make_region(agents=1)
    context = region.cores['entry-1'].context
    planner = RecordingPlanner()
    worker_quarantine = quarantine.Quarantine(context, planner)
    now = region.now
    for _ in range(circuit.FAILURES_TO_OPEN):
        worker_quarantine.on_tick(now)
        assert planner.observed_health == []
        context.circuits.record_failure('w0', now)
    worker_quarantine.on_tick(now)
    worker_quarantine.on_tick(now)
    assert planner.observed_health == [messages.BackendHealth.FAILING]
    worker_quarantine.on_tick(now + circuit.FIRST_OPEN_MS)
    assert planner.observed_health[1:] == [messages.BackendHealth.HEALTHY]


def test_failing_worker_is_quarantined_and_probed(make_region):
    region = make_region()
    failing, healthy = region.agents.values()
    failing.failures = 1_000
    for _ in range(40):
        region.submit(method='count')
        region.run(300)
    assert len(failing.run_ids) < len(healthy.run_ids) / 2
    assert all(a.error is None for a in region.answers.values())
    failing.failures = 0
    before = len(failing.run_ids)
    region.run(60_000)
    for _ in range(8):
        region.submit(method='count')
    region.run(2_000)
    assert len(failing.run_ids) > before
