"""Trials of the job path under random faults, one per seed."""

from mulberryloom_core.request import jobs

from . import worker as workers
from . import world as worlds

#: Time during which faults are injected, and time without faults after it,
#: within which every job has to reach a final state.
FAULT_PHASE_MS = 30_000
RECOVERY_PHASE_MS = 60_000
_MAX_EVENT_INTERVAL_MS = 1_500
#: Longest time for which a link holds messages, or heartbeats are refused.
_MAX_HOLD_MS = 14_000
#: Number of kinds of events. The last ones end the ongoing faults.
EVENT_KINDS = 29
#: Number of kinds from which on trials have evacuations.
_EVACUATION_EVENT_KINDS = 20
#: The same for crashes of workers.
_CRASH_EVENT_KINDS = 22
#: The same for workers that list few ends at a time.
_PARTIAL_LIST_EVENT_KINDS = 24
#: The same for slow clocks of workers.
_SLOW_CLOCK_EVENT_KINDS = 29
_RECOVERY_EVENT_KINDS = 2


def run_trial(
    seed: int,
    event_kinds: int = EVENT_KINDS,
    *,
    is_following: bool = True,
    has_late_calls_at_successors: bool = False,
) -> worlds.World:
    """Run the trial of one seed.

    :param event_kinds: number of kinds of events to choose from. A seed that
        failed when there were fewer kinds is reproduced only with that
        number.
    :param is_following: whether leaders follow evacuations.
    :param has_late_calls_at_successors: whether calls that are executed late
        reach a later incarnation of the same worker.
    :raises oracle.Violation: when an invariant is violated.
    """
    world = worlds.World(
        seed,
        worlds.Faults(
            lost_reply_share=0.05,
            late_call_share=0.04,
            failing_task_share=0.05,
            crashing_task_share=(
                0.02 if event_kinds >= _CRASH_EVENT_KINDS else 0.0
            ),
            ends_per_reply=(
                2 if event_kinds >= _PARTIAL_LIST_EVENT_KINDS else 500
            ),
            slow_clock_share=(
                0.3 if event_kinds >= _SLOW_CLOCK_EVENT_KINDS else 0.0
            ),
            has_late_calls_at_successors=has_late_calls_at_successors,
        ),
        is_following=(is_following and event_kinds >= _EVACUATION_EVENT_KINDS),
    )
    count = 0
    end_ms = world.now_ms + FAULT_PHASE_MS
    while world.now_ms < end_ms:
        for _ in range(world.random.randrange(3)):
            count += 1
            _submit(world, f'{count:016x}')
        if count and world.random.random() < 0.15:
            job_number = world.random.randrange(1, count + 1)
            world.cancel(f'{job_number:016x}')
        _inject_event(world, event_kinds)
        world.run(world.random.randrange(200, _MAX_EVENT_INTERVAL_MS))
    _end_all_faults(world)
    world.run(RECOVERY_PHASE_MS)
    world.check_all_ended()
    return world


def _submit(world: worlds.World, job_id: str) -> None:
    rng = world.random
    size = rng.choice([1, 1, 2, 4, 8])
    step = jobs.Step(
        rng.randrange(1, 4),
        cpu_millis=1_000 * rng.randrange(1, 5),
        accelerators=size,
        estimate_ms=1_500,
        is_gang=rng.random() < 0.4,
        is_same_rack=rng.random() < 0.3,
        is_checkpointed=rng.random() < 0.4,
    )
    steps: tuple[jobs.Step, ...] = (step,)
    if rng.random() < 0.3:
        steps += (
            jobs.Step(2, 1_000, accelerators=1, estimate_ms=800, after=(0,)),
        )
    world.submit(
        job_id,
        steps,
        priority=rng.choice([0, 1, 2]),
        is_leader_notified=rng.random() < 0.8,
    )


def _inject_event(world: worlds.World, event_kinds: int) -> None:
    """Begin or end one fault."""
    rng = world.random
    agent = rng.choice(world.agents)
    entry = world.entry
    event = rng.randrange(event_kinds)
    if event >= event_kinds - _RECOVERY_EVENT_KINDS:
        _end_ongoing_faults(world)
        return
    match event:
        case 0:
            world.take_over()
        case 1:
            world.kill_entry(entry)
        case 2:
            world.restart_agent(agent)
        case 3:
            world.restart_worker(agent)
        case 4:
            agent.is_partitioned = True
        case 5:
            agent.is_partitioned = False
        case 6:
            entry.can_reach_store = not entry.can_reach_store
        case 7:
            entry.can_reach_agents = not entry.can_reach_agents
        case 8:
            agent.worker.is_failing_every_run = (
                not agent.worker.is_failing_every_run
            )
        case 9:
            agent.worker.is_stuck = not agent.worker.is_stuck
        case 10:
            world.replace_worker(agent)
        case 11:
            agent.is_frozen = not agent.is_frozen
        case 12:
            world.drain_worker(agent)
        case 13:
            world.restart_worker_twice(agent)
        case 14:
            world.wall_offset_ms = rng.choice([-2_500, 0, 2_500])
        case 15:
            agent.worker.is_shedding = not agent.worker.is_shedding
        case 16:
            world.faults.lost_call_reply_share = rng.choice([0.0, 0.2])
        case 17:
            _change_evacuation(world, agent.worker.data_centre)
        case 18:
            _pause_leader(world)
        case 19:
            world.crash_worker(agent, agent.worker)
        case 20:
            world.resize_worker(agent)
        case 21:
            world.send_foreign_heartbeat(agent)
        case 22:
            world.hold_reports(agent, rng.randrange(200, _MAX_HOLD_MS))
        case 23:
            world.hold_orders(agent, rng.randrange(200, _MAX_HOLD_MS))
        case 24:
            world.overtake_reports(agent, is_vm_restarted=rng.random() < 0.5)
        case 25:
            world.refuse_heartbeats(agent, rng.randrange(500, _MAX_HOLD_MS))
        case 26:
            world.refuse_heartbeats(agent, rng.randrange(500, _MAX_HOLD_MS))
            world.restart_agent(agent)


def _change_evacuation(world: worlds.World, data_centre: str) -> None:
    """Evacuate a data centre, or take its evacuation back.

    In some cases, the leader changes at the same time.
    """
    if data_centre in world.oracle.evacuated_ms_by_name:
        world.end_evacuation(data_centre)
    else:
        world.evacuate(data_centre)
    match world.random.randrange(4):
        case 0:
            world.take_over()
        case 1:
            world.kill_entry(world.entry)


def _pause_leader(world: worlds.World) -> None:
    """Suspend the leader, at once or after the answer to its next write."""
    pause_ms = world.random.randrange(500, 4_000)
    if world.random.random() < 0.5:
        world.entry.pause_after_write_ms = pause_ms
    else:
        world.entry.paused_until_ms = world.now_ms + pause_ms


def _end_ongoing_faults(world: worlds.World) -> None:
    for agent in world.agents:
        agent.is_partitioned = False
        agent.is_frozen = False
        agent.orders_held_until_ms = 0
        agent.reports_held_until_ms = 0
        agent.heartbeats_refused_until_ms = 0
        agent.worker.is_stuck = False
        agent.worker.is_shedding = False
        agent.worker.is_failing_every_run = False
        agent.worker.resize(
            workers.FULL_CPU_MILLIS, workers.FULL_ACCELERATORS, world.now_ms
        )
    world.faults.lost_call_reply_share = 0.0
    world.entry.can_reach_store = True
    world.entry.can_reach_agents = True


def _end_all_faults(world: worlds.World) -> None:
    """End all faults, and stop injecting them into calls."""
    _end_ongoing_faults(world)
    for data_centre in list(world.oracle.evacuated_ms_by_name):
        world.end_evacuation(data_centre)
    world.faults.lost_reply_share = 0.0
    world.faults.late_call_share = 0.0
    if world.entry.is_dead:
        world.take_over()
