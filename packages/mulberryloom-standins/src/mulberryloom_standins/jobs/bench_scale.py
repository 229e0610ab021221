"""Time and memory of one planning round by the size of the fleet."""

import random
import time
import tracemalloc

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy import jobs as policy

NOW_MS = 1_000_000
ROUNDS = 15
#: Running tasks and workers of the two-year size, whose ratio is kept.
FULL_TASKS = 33_000
FULL_WORKERS = 1_800
#: A region of that size, and the whole fleet in one planner.
SIZES = (10, 100, 257, 600, 1_800)
GANG_TASKS = 128
TASKS_PER_JOB = 30

_CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a', frozenset('k'), 16)],
)


def _worker(index: int) -> policy.WorkerRoom:
    room = policy.WorkerRoom(
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
    room.recount()
    return room


def _job(job_id: str, step: jobs.Step, priority: int) -> jobs.Job:
    terms = jobs.Terms('q', 's', 'a', priority, 2, 3.0, 1_000)
    return jobs.Job.from_spec(
        job_id, jobs.JobSpec('x', (step,)), terms, NOW_MS
    )


def _fill(
    workers: list[policy.WorkerRoom], tasks: int, choose: random.Random
) -> list[jobs.Job]:
    """Spread running tasks over the workers."""
    step = jobs.Step(TASKS_PER_JOB, 4_000, 1_000, 0, 3_600_000)
    running = []
    for number in range(max(1, tasks // TASKS_PER_JOB)):
        job = _job(f'{number:016x}', step, 2)
        for task in job.task_by_key.values():
            worker = choose.choice(workers)
            task.last_run = 1
            task.run = jobs.Run(1, worker.worker, 1)
            run = policy.ActiveRun(
                job,
                task,
                task.run,
                step,
                (worker.worker, 1),
                NOW_MS,
                is_recorded=True,
                is_confirmed=True,
                listed_ms=NOW_MS,
                progress_ms=NOW_MS,
            )
            worker.run_by_key[run.key] = run
        running.append(job)
    return running


def measure(size: int) -> tuple[int, float, float, float]:
    """Measure rounds at one size.

    :return: running tasks, median and longest round in milliseconds, and
        memory in MB.
    """
    choose = random.Random(size)
    tracemalloc.start()
    workers = [_worker(index) for index in range(size)]
    tasks = FULL_TASKS * size // FULL_WORKERS
    running = _fill(workers, tasks, choose)
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


def main() -> None:
    """Print a table."""
    print('workers  tasks  round ms (median)  longest  memory MB')
    for size in SIZES:
        tasks, median, longest, memory_mb = measure(size)
        print(
            f'{size:7}  {tasks:5}  {median:17.1f}  {longest:7.1f}'
            f'  {memory_mb:9.1f}'
        )


if __name__ == '__main__':
    main()
