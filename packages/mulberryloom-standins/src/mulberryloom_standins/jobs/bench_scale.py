"""Benchmark: time and memory of a planning round by fleet size."""

import random
import time
import tracemalloc

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy import jobs as policy

NOW_MS = 1_000_000
ROUNDS = 15
#: Running tasks and workers of the fleet size that is expected in two years.
#: Smaller fleets are measured with the same ratio of tasks to workers.
FULL_TASKS = 33_000
FULL_WORKERS = 1_800
#: Numbers of workers: regions, and the whole fleet in one planner.
SIZES = (10, 100, 257, 600, 1_800)
#: Numbers of workers at which a fully occupied fleet is measured.
SATURATED_SIZES = (11, 59, 100, 257)
GANG_TASKS = 128
TASKS_PER_JOB = 30
#: Speeds of the workers, in turn, where they are unequal.
UNEQUAL_SPEEDS_PERMILLE = (600, 1_000, 1_600)

_CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a', frozenset('k'), 16)],
)


def _worker(index: int) -> policy.WorkerCapacity:
    capacity = policy.WorkerCapacity(
        f'w{index}',
        1,
        's',
        'dc',
        f'r{index // 8}',
        frozenset({'a'}),
        256_000,
        512_000,
        8,
        is_accepting=True,
    )
    capacity.recompute_free()
    return capacity


def _job(job_id: str, step: jobs.Step, priority: int) -> jobs.Job:
    terms = jobs.JobTerms('q', 's', 'a', priority, 2, 3.0, 1_000)
    return jobs.Job.from_spec(
        job_id, jobs.JobSpec('x', (step,)), terms, NOW_MS
    )


def _start_background_jobs(
    workers: list[policy.WorkerCapacity], tasks: int, rng: random.Random
) -> list[jobs.Job]:
    """Start tasks on random workers.

    :param tasks: number of tasks, rounded down to whole jobs.
    :return: the jobs.
    """
    step = jobs.Step(TASKS_PER_JOB, 4_000, 1_000, 0, 3_600_000)
    running = []
    for number in range(max(1, tasks // TASKS_PER_JOB)):
        job = _job(f'{number:016x}', step, 2)
        for task in job.task_by_key.values():
            _start_run(job, task, rng.choice(workers))
        running.append(job)
    return running


def _start_run(
    job: jobs.Job, task: jobs.Task, worker: policy.WorkerCapacity
) -> None:
    """Record a running task on a worker."""
    task.last_run = 1
    task.run = jobs.Run(1, worker.worker, 1)
    run = policy.ActiveRun(
        job,
        task,
        task.run,
        job.step_of(task.key),
        (worker.worker, 1),
        NOW_MS - 2_000,
        is_recorded=True,
        is_confirmed=True,
        last_listed_ms=NOW_MS,
        last_progress_ms=NOW_MS,
        progress_listed_ms=NOW_MS,
    )
    worker.run_by_key[run.key] = run


def measure(
    size: int, speeds_permille: tuple[int, ...] = (1_000,)
) -> tuple[int, float, float, float]:
    """Measure planning rounds with one waiting gang.

    :param size: number of workers.
    :param speeds_permille: their speeds, in turn.
    :return: running tasks, median and longest round in milliseconds, and
        memory of workers and jobs in MB.
    """
    rng = random.Random(size)
    tracemalloc.start()
    workers = [_worker(index) for index in range(size)]
    for index, worker in enumerate(workers):
        worker.speed_permille = speeds_permille[index % len(speeds_permille)]
    tasks = FULL_TASKS * size // FULL_WORKERS
    running = _start_background_jobs(workers, tasks, rng)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    members = min(GANG_TASKS, size)
    gang = jobs.Step(members, 8_000, 1_000, 8, 60_000, is_gang=True)
    planner = policy.JobPlanner(policy.PlanOptions())
    times = []
    for number in range(ROUNDS):
        waiting = _job(f'{2**40 + number:016x}', gang, 0)
        started = time.perf_counter()
        planner.plan([*running, waiting], workers, _CATALOGUE, NOW_MS, NOW_MS)
        times.append((time.perf_counter() - started) * 1_000)
    times.sort()
    return tasks, times[len(times) // 2], times[-1], memory_mb


def _draw_step(rng: random.Random) -> tuple[jobs.Step, int]:
    """Draw a step and its priority from the mix of the users' sites."""
    kind = rng.random()
    if kind < 0.3:
        tasks = rng.choice([1, 2, 4, 6, 9])
        size = rng.choice([1, 2, 4, 8])
        return (
            jobs.Step(
                tasks,
                52_000,
                10_000,
                size,
                17_000,
                is_gang=True,
                is_same_rack=True,
                is_checkpointed=True,
            ),
            1,
        )
    if kind < 0.8:
        tasks = rng.choice([1, 2, 5, 9])
        size = rng.choice([1, 2, 4, 8])
        step = jobs.Step(tasks, 15_000, 4_000, size, 5_000, is_gang=True)
        return step, 0
    tasks = rng.choice([10, 30, 60])
    return jobs.Step(tasks, 11_000, 2_000, 1, 15_000), 2


def measure_saturated(size: int) -> tuple[int, int, float, float]:
    """Measure planning rounds of a full fleet.

    At least as many jobs wait as there are workers.

    :param size: number of workers.
    :return: running tasks, waiting jobs, median and longest round in
        milliseconds.
    """
    rng = random.Random(size)
    workers = [_worker(index) for index in range(size)]
    planner = policy.JobPlanner(policy.PlanOptions())
    open_jobs: list[jobs.Job] = []
    waiting = 0
    while waiting < size:
        for _ in range(10):
            step, priority = _draw_step(rng)
            open_jobs.append(_job(f'{len(open_jobs):016x}', step, priority))
        plan = planner.plan(open_jobs, workers, _CATALOGUE, NOW_MS, NOW_MS)
        for start in plan.starts:
            _start_run(start.job, start.task, start.worker)
        waiting = sum(not job.has_started for job in open_jobs)
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        planner.plan(open_jobs, workers, _CATALOGUE, NOW_MS, NOW_MS)
        times.append((time.perf_counter() - started) * 1_000)
    times.sort()
    running = sum(len(worker.run_by_key) for worker in workers)
    return running, waiting, times[len(times) // 2], times[-1]


def main() -> None:
    """Measure all fleet sizes and print the tables."""
    for title, speeds_permille in (
        ('equal workers', (1_000,)),
        ('workers of unequal speed', UNEQUAL_SPEEDS_PERMILLE),
    ):
        print(title)
        print('workers  tasks  round ms (median)  longest  memory MB')
        for size in SIZES:
            tasks, median, longest, memory_mb = measure(size, speeds_permille)
            print(
                f'{size:7}  {tasks:5}  {median:17.1f}  {longest:7.1f}'
                f'  {memory_mb:9.1f}'
            )
    print('full, as many jobs waiting as there are workers')
    print('workers  tasks  waiting  round ms (median)  longest')
    for size in SATURATED_SIZES:
        running, waiting, median, longest = measure_saturated(size)
        print(
            f'{size:7}  {running:5}  {waiting:7}  {median:17.1f}'
            f'  {longest:7.1f}'
        )


if __name__ == '__main__':
    main()
