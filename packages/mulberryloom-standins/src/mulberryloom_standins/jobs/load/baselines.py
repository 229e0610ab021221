"""A simple planner to compare the job planner with."""

import typing as t

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy import jobs as policy
from mulberryloom_policy.jobs import plan as plans


class ShortestFirst:
    """Strict priority, shortest work first, first fit; nothing is stopped."""

    def plan(
        self,
        open_jobs: t.Iterable[jobs.Job],
        workers: list[policy.WorkerCapacity],
        catalogue: catalogues.Catalogue,
        now_ms: int,
        wall_ms: int,
    ) -> policy.Plan:
        """Start the tasks that fit, in order."""
        for worker in workers:
            worker.begin_round()
        plan = policy.Plan()
        for job in sorted(open_jobs, key=_sort_key):
            step = job.spec.steps[0]
            waiting = [
                task
                for task in job.tasks_of(0, 0)
                if not task.is_done and task.run is None
            ]
            placed = _first_fit(step, len(waiting), workers)
            if step.is_gang and len(placed) < len(waiting):
                continue
            for task, worker in zip(waiting, placed, strict=False):
                worker.commit(step)
                plan.starts.append(plans.Start(job, task, worker))
        return plan


def _sort_key(job: jobs.Job) -> tuple[int, int]:
    step = job.spec.steps[0]
    return (
        job.terms.priority,
        step.tasks * max(1, step.accelerators) * step.estimate_ms,
    )


def _first_fit(
    step: jobs.Step, count: int, workers: list[policy.WorkerCapacity]
) -> list[policy.WorkerCapacity]:
    """Return the first workers with room, one entry for each task.

    A gang that is slow across racks takes the first rack that fits it.
    """
    groups = [workers]
    if step.is_gang and step.is_same_rack:
        by_rack: dict[str, list[policy.WorkerCapacity]] = {}
        for worker in workers:
            by_rack.setdefault(worker.rack, []).append(worker)
        groups = [*by_rack.values(), workers]
    placed: list[policy.WorkerCapacity] = []
    for group in groups:
        placed = [
            worker
            for worker in group
            for _ in range(worker.fitting_count(step))
        ][:count]
        if len(placed) == count:
            break
    return placed
