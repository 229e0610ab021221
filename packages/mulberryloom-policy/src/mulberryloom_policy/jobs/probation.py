"""Placement of tasks that may crash the workers that start them.

A suspect task starts where nothing else has started a short time before, so
that a further crash is its own, and where a crash would cost least.
"""

import collections

from mulberryloom_core.request import jobs

from . import placement
from . import valuation
from .capacity import WorkerCapacity
from .options import PlanOptions

#: Age from which on a run no longer counts as a recent start. It exceeds
#: ``crashes.CLEARLY_OLDER_MS`` by the time that an order may take.
_SETTLED_MS = 1_000


def on_other_vms(
    tasks: list[jobs.Task], step: jobs.Step, workers: list[WorkerCapacity]
) -> list[WorkerCapacity]:
    """Return the workers on VMs on which the tasks have crashed no worker.

    A crash on another VM tells the task from a faulty VM. If the other VMs
    could not run the tasks even when empty, all workers are returned.
    """
    crashed_vms = {crash.vm for task in tasks for crash in task.crashes}
    others = [worker for worker in workers if worker.vm not in crashed_vms]
    count = len(tasks) if step.is_gang else 1
    fitting = sum(worker.fitting_count_when_empty(step) for worker in others)
    return others if fitting >= count else workers


def settled_workers(
    workers: list[WorkerCapacity], now_ms: int
) -> list[WorkerCapacity]:
    """Return the workers on which nothing has started a short time before."""
    return [
        worker
        for worker in workers
        if not worker.has_starts
        and all(
            run.is_confirmed and now_ms - run.started_ms >= _SETTLED_MS
            for run in worker.run_by_key.values()
        )
    ]


def assign(
    step: jobs.Step,
    tasks: list[jobs.Task],
    workers: list[WorkerCapacity],
    count_by_worker: collections.Counter[str],
    now_ms: int,
    options: PlanOptions,
) -> list[tuple[jobs.Task, WorkerCapacity]]:
    """Return the tasks that can start, each with a worker of its own.

    They go to the workers that have the least to lose. The members of a gang
    may share workers; all of them can start, or none.

    :param workers: settled workers.
    :param count_by_worker: tasks of the step that each worker has already.
    """
    if step.is_gang:
        assignment = _place_gang(step, len(tasks), workers)
        return list(zip(tasks, assignment or (), strict=False))
    fitting = [
        worker
        for worker in workers
        if placement.place_task(step, [worker], count_by_worker)
    ]
    fitting.sort(key=lambda worker: _loss(worker, now_ms, options))
    return list(zip(tasks, fitting, strict=False))


def _place_gang(
    step: jobs.Step, count: int, workers: list[WorkerCapacity]
) -> placement.Assignment | None:
    """Place all tasks of a gang, on idle workers if they suffice."""
    idle = [worker for worker in workers if not worker.run_by_key]
    for candidates in (idle, workers):
        assignment = placement.place_gang(
            step, count, candidates, in_one_rack=False
        )
        if assignment is not None:
            return assignment
    return None


def _loss(
    worker: WorkerCapacity, now_ms: int, options: PlanOptions
) -> tuple[int, float]:
    """Return the urgent runs and the work that a crash would end.

    The work is in core-seconds. A crash loses up to one checkpoint interval of
    checkpointed runs, which is not counted.
    """
    runs = worker.run_by_key.values()
    return (
        sum(run.job.terms.priority == 0 for run in runs),
        sum(valuation.lost_core_seconds(run, now_ms, options) for run in runs),
    )
