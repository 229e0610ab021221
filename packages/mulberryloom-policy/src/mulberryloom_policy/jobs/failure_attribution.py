"""Tells workers that fail from tasks that fail wherever they run."""

import typing as t

from . import gangs
from . import health
from .capacity import ActiveRun
from .capacity import BlamedTask
from .capacity import WorkerCapacity
from .options import PlanOptions


class FailureAttribution:
    """Records failures, and clears workers of those of failing tasks.

    A task that has failed on two workers is at fault itself: neither worker
    is kept out longer for it. A gang counts as one task.

    :param options: limits and cost factors.
    """

    __slots__ = ('_options', '_workers_by_task')

    def __init__(self, options: PlanOptions) -> None:
        self._options = options
        # Ids and boots of the workers on which each task has failed.
        self._workers_by_task: dict[BlamedTask, set[tuple[str, int]]] = {}

    def begin_round(
        self, workers: t.Iterable[WorkerCapacity], open_ids: t.Container[str]
    ) -> None:
        """Clear workers of the failures of tasks that are at fault.

        :param open_ids: ids of the open jobs; the failures of other jobs are
            forgotten.
        """
        for worker in workers:
            for task in set(worker.blamed_tasks):
                if len(self._workers_by_task.get(task, ())) > 1:
                    health.excuse(worker, task, self._options)
        for task in [k for k in self._workers_by_task if k[0] not in open_ids]:
            del self._workers_by_task[task]

    def note_failure(
        self,
        worker: WorkerCapacity,
        run: ActiveRun,
        now_ms: int,
        *,
        has_progressed: bool = False,
    ) -> None:
        """Record that a run failed on a worker.

        :param has_progressed: whether it did so after some progress.
        """
        task = (run.job.job_id, gangs.task_or_gang_name(run))
        health.note_failure(
            worker,
            now_ms,
            self._options,
            task,
            has_progressed=has_progressed,
        )
        workers = self._workers_by_task.setdefault(task, set())
        workers.add((worker.worker, worker.boot))
