"""Tests of the job path under random faults, with regression seeds."""

import dataclasses

from mulberryloom_core.request import jobs
from mulberryloom_entry.jobs import record_cache
from mulberryloom_standins.jobs import oracle
from mulberryloom_standins.jobs import trials
from mulberryloom_standins.jobs import world as worlds
import pytest

#: Seeds that failed once, the number of event kinds at that time, and the
#: fault that was found and fixed.
FAILED_SEEDS = [
    (10, 12, 'start for an earlier incarnation of a worker with the same id'),
    (
        32,
        12,
        'ends of an incarnation acknowledged with the sequence of an earlier '
        'one',
    ),
    (46, 12, 'a restarted agent treated granted leases as lapsed'),
    (51, 12, 'a deposed leader acknowledged ends of runs it had abandoned'),
    (64, 12, 'a stop without a reply was not retried'),
    (388, 12, 'orders to two incarnations had the same numbers'),
    (5_050, 14, 'a start in flight was abandoned as its lease lapsed'),
    (5_139, 14, 'an agent that was frozen executed abandoned orders'),
    (5_164, 14, 'an agent that was frozen executed abandoned orders'),
    (842_501_008, 14, 'orders that later ones had overtaken started a run'),
    (257_375_302, 14, 'orders that later ones had overtaken started a run'),
    (12, 18, 'a worker ran more than it has room for (issue 24)'),
    (13, 18, 'a task ran on two workers (issue 24)'),
    (20, 18, 'a task ran on two workers (issue 24)'),
    (67, 18, 'a job was left running (issue 24)'),
    (91, 18, 'a job was left running (issue 24)'),
    (1_007, 18, 'heartbeats dated before an earlier incarnation were ignored'),
    (20_081, 23, 'workers were blamed for a gang member on a crashed worker'),
]


@pytest.mark.parametrize(('seed', 'events', 'cause'), FAILED_SEEDS)
def test_trial_passes_with_seed_that_failed_before(seed, events, cause):
    trials.run_trial(seed, events)


@pytest.mark.parametrize('seed', range(1_000, 1_012))
def test_trial_passes_with_fixed_seed(seed):
    trials.run_trial(seed)


def _step(tasks=1, **fields):
    return jobs.Step(tasks, 1_000, accelerators=1, estimate_ms=1_500, **fields)


def _world(**faults):
    world = worlds.World(7, worlds.Faults(**faults))
    world.run(1_500)
    return world


def test_job_is_completed_only_after_its_ends_are_stored():
    world = _world()
    world.submit('a' * 16, (_step(3), _step(2, after=(0,))))
    world.run(12_000)
    assert world.state_of('a' * 16) is jobs.JobState.COMPLETED


def test_two_concurrent_leaders_start_no_task_twice():
    world = _world()
    world.submit('a' * 16, (_step(6),), duration_ms=4_000)
    world.run(500)
    world.take_over()
    assert not world.entries[0].is_dead
    world.run(20_000)
    world.check_all_ended()


def test_next_leader_starts_tasks_soon_after_its_predecessor_was_killed():
    world = _world()
    world.kill_entry(world.entry)
    world.submit('a' * 16, (_step(),), is_leader_notified=False)
    world.run(4_000)
    assert world.state_of('a' * 16) is not jobs.JobState.QUEUED


def test_order_executed_late_starts_no_task_twice():
    world = _world(late_call_share=0.5)
    for number in range(6):
        world.submit(f'{number:016x}', (_step(2),))
    world.run(40_000)
    world.faults.late_call_share = 0.0
    world.run(20_000)
    world.check_all_ended()


def test_restarted_agent_adopts_its_running_worker():
    world = _world()
    world.submit('a' * 16, (_step(4),), duration_ms=5_000)
    world.run(1_000)
    running = sum(len(a.worker.run_by_task) for a in world.agents)
    for agent in world.agents:
        world.restart_agent(agent)
    world.run(1_500)
    assert sum(len(a.worker.run_by_task) for a in world.agents) == running
    world.run(15_000)
    world.check_all_ended()


def test_task_of_partitioned_worker_restarts_after_its_lease_lapsed():
    world = _world()
    world.submit('a' * 16, (_step(),), duration_ms=60_000)
    world.run(1_000)
    agent = next(a for a in world.agents if a.worker.run_by_task)
    agent.is_partitioned = True
    world.run(14_000)
    assert not agent.worker.run_by_task
    others = [a for a in world.agents if a is not agent]
    assert sum(len(a.worker.run_by_task) for a in others) == 1


def test_task_of_power_cycled_vm_restarts():
    world = _world()
    world.submit('a' * 16, (_step(4, is_checkpointed=True),))
    world.run(700)
    for agent in world.agents:
        world.replace_worker(agent)
    world.kill_entry(world.entry)
    world.run(5_500)
    assert sum(len(a.worker.run_by_task) for a in world.agents) or (
        world.state_of('a' * 16) is jobs.JobState.COMPLETED
    )


def test_agent_that_was_frozen_executes_no_abandoned_order():
    world = _world()
    agent = world.agents[0]
    agent.is_frozen = True
    for number in range(8):
        world.submit(f'{number:016x}', (_step(2),), duration_ms=6_000)
    world.run(12_000)
    agent.is_frozen = False
    world.run(30_000)
    world.check_all_ended()


def test_store_outage_does_not_disturb_running_tasks():
    world = _world()
    world.submit('a' * 16, (_step(2),), duration_ms=3_000)
    world.run(800)
    world.store.faults.outage = True
    world.run(1_500)
    world.store.faults.outage = False
    world.run(10_000)
    world.check_all_ended()
    assert world.state_of('a' * 16) is jobs.JobState.COMPLETED


def test_cancelled_job_stops_at_once():
    world = _world()
    world.submit('a' * 16, (_step(4),), duration_ms=60_000)
    world.run(1_000)
    world.cancel('a' * 16)
    world.run(3_500)
    assert not any(a.worker.run_by_task for a in world.agents)
    assert world.state_of('a' * 16) is jobs.JobState.CANCELLED


def test_failing_worker_does_not_make_jobs_fail():
    world = _world()
    world.agents[0].worker.is_failing_every_run = True
    for number in range(8):
        world.submit(f'{number:016x}', (_step(2),))
        world.run(400)
    world.run(20_000)
    states = [world.state_of(f'{n:016x}') for n in range(8)]
    assert states.count(jobs.JobState.FAILED) == 0


def test_oracle_detects_a_task_that_runs_twice():
    world = _world()
    world.submit('a' * 16, (_step(),), duration_ms=60_000)
    world.run(1_000)
    holder = next(a for a in world.agents if a.worker.run_by_task)
    other = next(a for a in world.agents if a is not holder)
    other.worker.run_by_task.update(holder.worker.run_by_task)
    with pytest.raises(oracle.Violation):
        world.oracle.check_running(
            [a.worker for a in world.agents], world.now_ms
        )


# Guards against two runs of one task: an overloaded worker refuses the
# repetition of a start call, and carries the first one out seconds later.
@pytest.mark.parametrize('seed', [10, 13, 21, 30])
def test_start_that_is_refused_and_executed_late_starts_no_task_twice(seed):
    world = worlds.World(seed, worlds.Faults(late_call_share=0.3))
    world.run(1_500)
    for agent in world.agents:
        agent.worker.is_shedding = True
    step = jobs.Step(2, 1_000, accelerators=4, estimate_ms=1_500)
    for number in range(6):
        world.submit(f'{number:016x}', (step,), duration_ms=6_000)
    world.run(40_000)


# Guards against a start after the task was done: a worker refuses the
# repetition of a start call whose run has ended already.
@pytest.mark.parametrize('seed', range(4))
def test_start_whose_reply_is_lost_starts_no_done_task(seed):
    world = worlds.World(seed, worlds.Faults(lost_call_reply_share=0.3))
    world.run(1_500)
    for number in range(12):
        world.submit(f'{number:016x}', (_step(4),), duration_ms=200)
        world.run(500)
    world.faults.lost_call_reply_share = 0.0
    world.run(20_000)
    world.check_all_ended()


# Guards against two runs of one task: the notice that a worker leaves arrives
# after the worker has started again under its name.
def test_late_notice_of_leave_starts_no_task_twice():
    world = _world()
    for agent in world.agents:
        world.restart_worker(agent)
    world.run(3_000)
    world.submit('a' * 16, (_step(4),), duration_ms=20_000)
    world.run(1_000)
    agent = next(a for a in world.agents if a.worker.run_by_task)
    agent.supervisor.on_leave(agent.worker.worker, world.now_ms)
    world.run(20_000)


# Guards against an event that the trials inject without any effect.
def test_trials_without_evacuation_handling_violate_its_bound():
    with pytest.raises(oracle.Violation, match='was evacuated'):
        for seed in (1, 2, 6, 8):
            trials.run_trial(seed, is_following=False)


# Guards against starts after a task is done: a restarted worker carries out
# the acknowledgement of ends of its earlier incarnation.
@pytest.mark.parametrize('seed', [960_028, 960_043])
def test_late_acknowledgement_at_a_restarted_worker_hides_no_end(seed):
    trials.run_trial(seed, has_late_calls_at_successors=True)


# Guards against starts after a task is done: a restarted worker carries out
# the start of a run that is over.
@pytest.mark.parametrize('seed', [960_004, 960_055])
def test_late_start_at_a_restarted_worker_begins_no_run(seed):
    trials.run_trial(seed, has_late_calls_at_successors=True)


# Guards against a simulation in which the reports of an agent's earlier
# process always arrive before those of the next one.
def test_held_reports_arrive_after_those_of_the_next_process():
    world = _world()
    agent, leader = world.agents[0], world.entry.leader
    earlier_node = agent.node
    reporting_nodes = []
    on_report = leader.on_report

    def record_node(node, *given):
        reporting_nodes.append(node)
        on_report(node, *given)

    leader.on_report = record_node
    world.overtake_reports(agent, is_vm_restarted=False)
    world.run(3_000)
    later = reporting_nodes[reporting_nodes.index(agent.node) :]
    assert agent.node != earlier_node
    assert earlier_node in later


def _submit_for(world, duration_ms):
    """Submit a job with one short task every 200 ms."""
    for number in range(duration_ms // 200):
        world.submit(f'{number:016x}', (_step(),), duration_ms=400)
        world.run(200)


def _world_whose_leader_reads_no_more_lists():
    world = _world()
    world.entry.evacuation_due_ms = world.now_ms + 1_000_000
    return world


def test_write_condition_alone_keeps_the_bound_of_evacuations():
    world = _world_whose_leader_reads_no_more_lists()
    world.evacuate('d0')
    _submit_for(world, 9_000)
    world.run(5_000)
    world.check_all_ended()


def test_bound_of_evacuations_is_violated_without_the_write_condition(
    monkeypatch,
):
    monkeypatch.setattr(
        record_cache.JobRecordCache,
        '_evacuation_keys_of',
        lambda cache, job_id: set(),
    )
    world = _world_whose_leader_reads_no_more_lists()
    world.evacuate('d0')
    with pytest.raises(oracle.Violation, match='was evacuated'):
        _submit_for(world, 9_000)


# Guards against an order of a leader that was paused between the answer to
# its write and the order. A pause of 6 s ends after the bound.
@pytest.mark.parametrize(('valid_ms', 'is_kept'), [(1_500, True), (0, False)])
def test_paused_leader_keeps_the_bound_by_the_validity_of_starts(
    valid_ms, is_kept
):
    world = _world_whose_leader_reads_no_more_lists()
    leader = world.entry.leader
    leader._options = dataclasses.replace(
        leader._options, start_order_valid_ms=valid_ms
    )
    world.entry.pause_after_write_ms = 6_000
    world.submit('a' * 16, (_step(8),))
    world.run(100)
    world.evacuate('d0')
    world.evacuate('d1')
    if is_kept:
        world.run(10_000)
        assert not any(agent.worker.run_by_task for agent in world.agents)
    else:
        with pytest.raises(oracle.Violation, match='was evacuated'):
            world.run(10_000)


def test_work_continues_and_returns_after_an_evacuation():
    world = _world()
    world.submit('a' * 16, (_step(30),), duration_ms=60_000)
    world.run(2_000)
    running = {
        task
        for agent in world.agents
        if agent.worker.data_centre == 'd0'
        for task in agent.worker.run_by_task
    }
    world.evacuate('d0')
    world.run(4_000)
    assert running and running == {
        task
        for agent in world.agents
        if agent.worker.data_centre == 'd0'
        for task in agent.worker.run_by_task
    }
    for number in range(20):
        world.submit(f'{number:016x}', (_step(),), duration_ms=1_000)
    world.end_evacuation('d0')
    world.run(20_000)
    assert all(
        world.state_of(f'{number:016x}') is jobs.JobState.COMPLETED
        for number in range(20)
    )


# Guards against starts on workers that have shrunk, when orders are under way
# or are carried out late, and the leader changes.
@pytest.mark.parametrize('seed', range(4))
def test_workers_that_shrink_and_grow_are_not_started_beyond_capacity(seed):
    world = worlds.World(
        seed, worlds.Faults(late_call_share=0.1, lost_reply_share=0.2)
    )
    world.run(1_500)
    for number in range(40):
        world.submit(f'{number:016x}', (_step(6),), duration_ms=1_500)
        world.resize_worker(world.random.choice(world.agents))
        if number % 10 == 9:
            world.take_over()
        world.run(400)
    world.faults = worlds.Faults()
    for agent in world.agents:
        agent.worker.resize(16_000, 8, world.now_ms)
    world.run(40_000)
    world.check_all_ended()


def test_oracle_detects_a_start_beyond_capacity():
    world = _world()
    world.submit('a' * 16, (_step(8),), duration_ms=60_000)
    world.run(1_000)
    holder = next(a for a in world.agents if a.worker.run_by_task)
    holder.worker.resize(500, 8, world.now_ms)
    world.oracle.check_capacity(holder.worker, world.now_ms, is_late=False)
    world.run(oracle.SHRINK_GRACE_MS + 100)
    with pytest.raises(oracle.Violation):
        world.oracle.check_capacity(holder.worker, world.now_ms, is_late=False)


# Guards against a start on a worker that shrank while the leader could not
# write the record of the run.
@pytest.mark.parametrize('seed', range(4))
def test_run_recorded_long_after_its_worker_has_shrunk_does_not_start(seed):
    world = worlds.World(seed)
    world.run(1_500)
    world.entry.can_reach_store = False
    world.submit('a' * 16, (_step(32),), duration_ms=1_500)
    world.run(100)
    for agent in world.agents:
        agent.worker.resize(4_000, 2, world.now_ms)
    world.run(oracle.SHRINK_GRACE_MS + 500)
    world.entry.can_reach_store = True
    world.run(20_000)
    world.check_all_ended()
