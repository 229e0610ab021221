"""Where the tasks of one step go, in the room that is free now."""

import collections
import typing as t

from mulberryloom_core.request import jobs

from .room import WorkerRoom

#: Worker for each task, in the order of the tasks.
Assignment: t.TypeAlias = list[WorkerRoom]


def eligible(
    step: jobs.Step,
    service: str,
    workers: t.Iterable[WorkerRoom],
    now_ms: int,
) -> list[WorkerRoom]:
    """Return the workers that may get a task of a step now."""
    return [
        worker
        for worker in workers
        if worker.is_accepting
        and worker.suspect_until_ms <= now_ms
        and worker.can_ever_run(step, service)
    ]


def counts_by_worker(
    job: jobs.Job, repetition: int, step_index: int
) -> collections.Counter[str]:
    """Return how many tasks of a step each worker has already."""
    return collections.Counter(
        task.run.worker
        for task in job.tasks_of(repetition, step_index)
        if task.run
    )


def place_gang(
    step: jobs.Step,
    count: int,
    workers: list[WorkerRoom],
    *,
    in_one_rack: bool,
) -> Assignment | None:
    """Place all tasks at once, or none.

    One rack goes before several, and the fullest rack that still fits goes
    first, so that large blocks of free accelerators stay whole.

    :param in_one_rack: whether to place nothing rather than spread.
    """
    fits_by_worker = {w.worker: w.fitting(step) for w in workers}
    candidates = [w for w in workers if fits_by_worker[w.worker]]
    by_rack: dict[str, list[WorkerRoom]] = collections.defaultdict(list)
    for worker in candidates:
        by_rack[worker.rack].append(worker)
    fitting_racks = [
        rack_workers
        for rack_workers in by_rack.values()
        if sum(fits_by_worker[w.worker] for w in rack_workers) >= count
    ]
    if fitting_racks:
        tightest = min(
            fitting_racks,
            key=lambda found: sum(w.free_accelerators for w in found),
        )
        return _fill(step, count, tightest, fits_by_worker)
    if sum(fits_by_worker.values()) < count:
        return None
    if in_one_rack:
        return None
    return _fill(step, count, candidates, fits_by_worker)


def fits_one_rack(
    step: jobs.Step, count: int, workers: list[WorkerRoom]
) -> bool:
    """Whether one rack could hold a gang once it is empty."""
    total_by_rack: collections.Counter[str] = collections.Counter()
    for worker in workers:
        total_by_rack[worker.rack] += worker.fitting_when_empty(step)
    return max(total_by_rack.values(), default=0) >= count


def _fill(
    step: jobs.Step,
    count: int,
    workers: list[WorkerRoom],
    fits_by_worker: dict[str, int],
) -> Assignment:
    """Fill workers one after the other; the room must be enough."""
    exact = [w for w in workers if fits_by_worker[w.worker] >= count]
    if exact:
        best = min(exact, key=lambda w: _leftover(w, step, count))
        return [best] * count
    assignment: Assignment = []
    for worker in sorted(workers, key=lambda w: -fits_by_worker[w.worker]):
        wanted = min(fits_by_worker[worker.worker], count - len(assignment))
        assignment += [worker] * wanted
        if len(assignment) == count:
            break
    return assignment


def place_one(
    step: jobs.Step,
    workers: list[WorkerRoom],
    present: collections.Counter[str],
) -> WorkerRoom | None:
    """Return the best worker for one task, or ``None`` if none fits."""
    fitting = [
        worker
        for worker in workers
        if worker.fitting(step)
        and (
            not step.max_per_worker
            or present[worker.worker] < step.max_per_worker
        )
    ]
    return min(
        fitting, key=lambda worker: _leftover(worker, step, 1), default=None
    )


def _leftover(
    worker: WorkerRoom, step: jobs.Step, count: int
) -> tuple[int, int]:
    """Return what stays free: best fit by accelerators, then cores."""
    accelerators = worker.free_accelerators - step.accelerators * count
    return accelerators, worker.free_cpu - step.cpu_millis * count
