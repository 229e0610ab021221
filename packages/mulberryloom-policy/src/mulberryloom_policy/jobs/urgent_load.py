"""Capacity that recent urgent jobs asked for, kept free of other work.

A run without checkpoints cannot make way for an urgent job without losing
its work. While urgent jobs ask for most of the fleet, such work therefore
starts only on the rest of it.
"""

import collections
import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from .capacity import ActiveRun
from .capacity import WorkerCapacity
from .options import PlanOptions

#: Time over which the demand of urgent jobs is averaged.
_WINDOW_MS = 12_000
#: Shortest time over which it is averaged: a few jobs at the start are not
#: taken for a lasting load.
_MIN_WINDOW_MS = 6_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    """Work of one urgent job.

    :param at_ms: Unix time of its acceptance.
    :param accelerator_ms: accelerators times duration.
    :param cpu_ms: thousandths of a core times duration.
    """

    at_ms: int
    accelerator_ms: int
    cpu_ms: int


class UrgentLoad:
    """Estimates the part of the fleet that urgent jobs ask for.

    :param options: limits and cost factors.
    """

    def __init__(self, options: PlanOptions) -> None:
        self._options = options
        self._demands: collections.deque[_Demand] = collections.deque()
        self._known_ids: set[str] = set()
        self._first_seen_ms: int | None = None

    def observe(self, open_jobs: t.Iterable[jobs.Job], wall_ms: int) -> None:
        """Count the urgent jobs that were accepted lately.

        :param open_jobs: jobs that are not final.
        """
        if self._first_seen_ms is None:
            self._first_seen_ms = wall_ms
        urgent_ids = set()
        for job in open_jobs:
            if job.terms.priority != 0:
                continue
            urgent_ids.add(job.job_id)
            if job.job_id not in self._known_ids:
                self._demands.append(self._demand(job))
                self._first_seen_ms = min(self._first_seen_ms, job.accepted_ms)
        self._known_ids = urgent_ids
        self._demands = collections.deque(
            demand
            for demand in self._demands
            if wall_ms - demand.at_ms <= _WINDOW_MS
        )

    def _demand(self, job: jobs.Job) -> _Demand:
        accelerator_ms = cpu_ms = 0
        for step in job.spec.steps:
            duration_ms = step.estimate_ms or self._options.default_estimate_ms
            accelerator_ms += step.tasks * step.accelerators * duration_ms
            cpu_ms += step.tasks * step.cpu_millis * duration_ms
        return _Demand(job.accepted_ms, accelerator_ms, cpu_ms)

    def capacity_for_others(
        self,
        workers: list[WorkerCapacity],
        other_runs: t.Iterable[ActiveRun],
        wall_ms: int,
    ) -> 'OtherCapacity':
        """Return the capacity that other work may still take.

        :param other_runs: runs of work that is not urgent.
        """
        assert self._first_seen_ms is not None
        window_ms = min(
            _WINDOW_MS, max(_MIN_WINDOW_MS, wall_ms - self._first_seen_ms)
        )
        accelerators = sum(worker.accelerators for worker in workers)
        cpu_millis = sum(worker.cpu_millis for worker in workers)
        urgent_accelerators = (
            sum(demand.accelerator_ms for demand in self._demands) // window_ms
        )
        urgent_cpu = (
            sum(demand.cpu_ms for demand in self._demands) // window_ms
        )
        least_share = self._options.least_share_of_others
        capacity = OtherCapacity(
            max(
                int(least_share * accelerators),
                accelerators - urgent_accelerators,
            ),
            max(int(least_share * cpu_millis), cpu_millis - urgent_cpu),
        )
        for run in other_runs:
            capacity.occupy(run.step)
        return capacity


@dataclasses.dataclass(slots=True)
class OtherCapacity:
    """Capacity that work which is not urgent may still take.

    :param has_runs: whether such work runs already.
    """

    accelerators: int
    cpu_millis: int
    has_runs: bool = False

    def occupy(self, step: jobs.Step, count: int = 1) -> None:
        """Subtract tasks that run or start."""
        self.has_runs = True
        self.accelerators -= step.accelerators * count
        if not step.is_filler:
            self.cpu_millis -= step.cpu_millis * count

    def fitting_count(self, step: jobs.Step, count: int) -> int:
        """Return how many tasks of a step may start, of those that wait.

        While no such work runs, a gang or one task may start whatever its
        size, so that a large one does not wait for ever.
        """
        fitting = count
        if step.accelerators:
            fitting = min(fitting, self.accelerators // step.accelerators)
        if step.cpu_millis and not step.is_filler:
            fitting = min(fitting, self.cpu_millis // step.cpu_millis)
        least = 0
        if not self.has_runs:
            least = count if step.is_gang else 1
        return max(least, fitting)
