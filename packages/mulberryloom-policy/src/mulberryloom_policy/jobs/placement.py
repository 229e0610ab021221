"""Placement of the tasks of one step on free capacity."""

import collections
import typing as t

from mulberryloom_core.request import jobs

from .capacity import WorkerCapacity

#: Worker of each task, in the order of the tasks.
Assignment: t.TypeAlias = list[WorkerCapacity]


def eligible_workers(
    step: jobs.Step,
    service: str,
    workers: t.Iterable[WorkerCapacity],
    now_ms: int,
) -> list[WorkerCapacity]:
    """Return the workers that may receive tasks of a step now.

    Free capacity is not considered.
    """
    return [
        worker
        for worker in workers
        if worker.is_accepting
        and worker.backoff_until_ms <= now_ms
        and worker.can_ever_run(step, service)
    ]


def task_count_by_worker(
    job: jobs.Job, repetition: int, step_index: int
) -> collections.Counter[str]:
    """Return the number of current runs of a step on each worker."""
    return collections.Counter(
        task.run.worker
        for task in job.tasks_of(repetition, step_index)
        if task.run
    )


def place_gang(
    step: jobs.Step,
    count: int,
    workers: list[WorkerCapacity],
    *,
    in_one_rack: bool,
) -> Assignment | None:
    """Place all tasks of a gang, or none.

    A single rack is preferred to several. Among the racks that fit the
    gang, the one with the fewest free accelerators is taken, so that large
    blocks of free accelerators stay available.

    :param in_one_rack: return ``None`` if no single rack fits the gang.
    """
    fits_by_worker = {w.worker: w.fitting_count(step) for w in workers}
    candidates = [w for w in workers if fits_by_worker[w.worker]]
    by_rack: dict[str, list[WorkerCapacity]] = collections.defaultdict(list)
    for worker in candidates:
        by_rack[worker.rack].append(worker)
    fitting_racks = [
        rack_workers
        for rack_workers in by_rack.values()
        if sum(fits_by_worker[w.worker] for w in rack_workers) >= count
    ]
    if fitting_racks:
        fullest = min(
            fitting_racks,
            key=lambda rack_workers: sum(
                w.free_accelerators for w in rack_workers
            ),
        )
        return _pack(step, count, fullest, fits_by_worker)
    if sum(fits_by_worker.values()) < count:
        return None
    if in_one_rack:
        return None
    return _pack(step, count, candidates, fits_by_worker)


def fits_one_rack(
    step: jobs.Step, count: int, workers: list[WorkerCapacity]
) -> bool:
    """Whether some rack, if empty, fits a number of tasks of a step."""
    total_by_rack: collections.Counter[str] = collections.Counter()
    for worker in workers:
        total_by_rack[worker.rack] += worker.fitting_count_when_empty(step)
    return max(total_by_rack.values(), default=0) >= count


def have_ample_room(
    step: jobs.Step, count: int, workers: t.Iterable[WorkerCapacity]
) -> bool:
    """Whether most of a fleet is idle and fits the tasks twice over.

    It is mostly idle if runs use under half of its accelerators and cores.
    Capacity that is committed in this round counts as idle.
    """
    slots = 0
    accelerators = idle_accelerators = cpu_millis = idle_cpu = 0
    for worker in workers:
        slots += worker.idle_capacity().fitting_count(step)
        accelerators += worker.accelerators
        cpu_millis += worker.cpu_millis
        idle_accelerators += (
            worker.free_accelerators + worker.committed_accelerators
        )
        idle_cpu += worker.free_cpu + worker.committed_cpu
    return (
        slots >= 2 * count
        and 2 * idle_accelerators > accelerators
        and 2 * idle_cpu > cpu_millis
    )


def _pack(
    step: jobs.Step,
    count: int,
    workers: list[WorkerCapacity],
    fits_by_worker: dict[str, int],
) -> Assignment:
    """Assign tasks to as few workers as possible.

    The capacity of the workers has to be sufficient.

    :param fits_by_worker: number of tasks that fit on each worker.
    """
    sufficient = [w for w in workers if fits_by_worker[w.worker] >= count]
    if sufficient:
        best = min(sufficient, key=lambda w: _leftover(w, step, count))
        return [best] * count
    assignment: Assignment = []
    for worker in sorted(workers, key=lambda w: -fits_by_worker[w.worker]):
        assigned = min(fits_by_worker[worker.worker], count - len(assignment))
        assignment += [worker] * assigned
        if len(assignment) == count:
            break
    return assignment


def place_task(
    step: jobs.Step,
    workers: list[WorkerCapacity],
    count_by_worker: collections.Counter[str],
) -> WorkerCapacity | None:
    """Return the best worker for one task, or ``None`` if none fits.

    :param count_by_worker: tasks of the step that each worker has already.
    """
    fitting = [
        worker
        for worker in workers
        if worker.fitting_count(step)
        and (
            not step.max_per_worker
            or count_by_worker[worker.worker] < step.max_per_worker
        )
    ]
    return min(
        fitting, key=lambda worker: _leftover(worker, step, 1), default=None
    )


def _leftover(
    worker: WorkerCapacity, step: jobs.Step, count: int
) -> tuple[int, int]:
    """Return the free capacity after placement, as a best-fit sort key.

    Accelerators are compared first, then thousandths of a core.
    """
    accelerators = worker.free_accelerators - step.accelerators * count
    return accelerators, worker.free_cpu - step.cpu_millis * count
