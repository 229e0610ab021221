"""Random faults against the simulation, one seed each."""

from mulberryloom_core.request import jobs

from . import world as worlds

#: Time with faults, and time without in which everything has to end.
FAULTY_MS = 30_000
QUIET_MS = 60_000
_EVENT_PAUSE_MS = 1_500
#: Kinds of events, of which the last ones end all faults.
EVENTS = 14
_HEALING_EVENTS = 2


def run_trial(seed: int, events: int = EVENTS) -> worlds.World:
    """Run one seed.

    :param events: kinds of events to choose from; a seed that failed among
        fewer kinds keeps its meaning.
    :raises oracle.Violation: when a promise is broken.
    """
    world = worlds.World(
        seed, worlds.Faults(lost=0.05, late=0.04, failing=0.05)
    )
    count = 0
    end_ms = world.now_ms + FAULTY_MS
    while world.now_ms < end_ms:
        for _ in range(world.random.randrange(3)):
            count += 1
            _submit(world, f'{count:016x}')
        if count and world.random.random() < 0.15:
            job_number = world.random.randrange(1, count + 1)
            world.cancel(f'{job_number:016x}')
        _disturb(world, events)
        world.run(world.random.randrange(200, _EVENT_PAUSE_MS))
    _calm(world)
    world.run(QUIET_MS)
    world.check_all_ended()
    return world


def _submit(world: worlds.World, job_id: str) -> None:
    choose = world.random
    size = choose.choice([1, 1, 2, 4, 8])
    step = jobs.Step(
        choose.randrange(1, 4),
        cpu_millis=1_000 * choose.randrange(1, 5),
        accelerators=size,
        estimate_ms=1_500,
        is_gang=choose.random() < 0.4,
        is_same_rack=choose.random() < 0.3,
        is_checkpointed=choose.random() < 0.4,
    )
    steps: tuple[jobs.Step, ...] = (step,)
    if choose.random() < 0.3:
        steps += (
            jobs.Step(2, 1_000, accelerators=1, estimate_ms=800, after=(0,)),
        )
    world.submit(
        job_id,
        steps,
        priority=choose.choice([0, 1, 2]),
        is_told=choose.random() < 0.8,
    )


def _disturb(world: worlds.World, events: int) -> None:
    """Let one thing go wrong, or mend."""
    choose = world.random
    agent = choose.choice(world.agents)
    entry = world.entry
    event = choose.randrange(events)
    if event >= events - _HEALING_EVENTS:
        _heal(world)
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
            agent.is_cut = True
        case 5:
            agent.is_cut = False
        case 6:
            entry.has_store = not entry.has_store
        case 7:
            entry.has_agents = not entry.has_agents
        case 8:
            agent.worker.is_failing_all = not agent.worker.is_failing_all
        case 11:
            agent.is_frozen = not agent.is_frozen
        case 10:
            world.replace_worker(agent)
        case 9:
            agent.worker.is_stuck = not agent.worker.is_stuck


def _heal(world: worlds.World) -> None:
    for agent in world.agents:
        agent.is_cut = False
        agent.is_frozen = False
        agent.worker.is_stuck = False
        agent.worker.is_failing_all = False
    world.entry.has_store = True
    world.entry.has_agents = True


def _calm(world: worlds.World) -> None:
    """End all faults."""
    _heal(world)
    world.faults.lost = 0.0
    world.faults.late = 0.0
    if world.entry.is_dead:
        world.take_over()
