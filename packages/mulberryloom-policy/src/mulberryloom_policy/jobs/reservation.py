"""Capacity reserved for large steps until enough of it is free.

A slot is room for one task of the step.
"""

import collections
import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from . import valuation
from .capacity import WorkerCapacity

#: Time at which a task is expected to end, and its step.
_ExpectedEnd: t.TypeAlias = tuple[int, jobs.Step]


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Workers and time at which tasks of a step are expected to start.

    :param tasks_by_worker: number of tasks reserved on each worker.
    :param start_ms: expected time at which all of the capacity is free.
    """

    step: jobs.Step
    tasks_by_worker: dict[str, int]
    start_ms: int


class ReservationFinder:
    """Finds the workers on which a step can start earliest.

    :param estimator: expected durations of runs.
    """

    def __init__(self, estimator: valuation.Estimator) -> None:
        self._estimator = estimator
        # Expected ends and steps of the tasks that start in this round.
        self._starts_by_worker: dict[str, list[_ExpectedEnd]] = {}
        # Those of all tasks, earliest first, computed once in a round.
        self._ends_by_worker: dict[str, list[_ExpectedEnd]] = {}

    def begin_round(self) -> None:
        """Forget the starts and ends of the last planning round."""
        self._starts_by_worker = collections.defaultdict(list)
        self._ends_by_worker.clear()

    def add_start(
        self, step: jobs.Step, worker: WorkerCapacity, now_ms: int
    ) -> None:
        """Count a task that starts in this round as running."""
        end_ms = now_ms + self._estimator.task_duration_ms(step)
        self._starts_by_worker[worker.worker].append((end_ms, step))
        self._ends_by_worker.pop(worker.worker, None)

    def find(
        self,
        step: jobs.Step,
        count: int,
        workers: list[WorkerCapacity],
        now_ms: int,
        *,
        in_one_rack: bool,
    ) -> Reservation | None:
        """Return the earliest start, given the expected ends of runs.

        :param count: number of tasks that start together.
        :param workers: workers that may receive the tasks.
        :param in_one_rack: whether all tasks have to share a rack.
        """
        groups = [workers]
        if in_one_rack:
            by_rack: dict[str, list[WorkerCapacity]] = {}
            for worker in workers:
                by_rack.setdefault(worker.rack, []).append(worker)
            groups = list(by_rack.values())
        reservations = [
            reservation
            for group in groups
            for reservation in [self._earliest(step, count, group, now_ms)]
            if reservation is not None
        ]
        return min(reservations, key=lambda item: item.start_ms, default=None)

    def _earliest(
        self,
        step: jobs.Step,
        count: int,
        workers: list[WorkerCapacity],
        now_ms: int,
    ) -> Reservation | None:
        """Return the earliest start on a group of workers, if there is one."""
        slots: list[tuple[int, str]] = []
        for worker in workers:
            slots += self._slots(step, worker, now_ms)
        slots.sort()
        if len(slots) < count:
            return None
        tasks_by_worker: dict[str, int] = {}
        for _, name in slots[:count]:
            tasks_by_worker[name] = tasks_by_worker.get(name, 0) + 1
        return Reservation(step, tasks_by_worker, slots[count - 1][0])

    def _slots(
        self, step: jobs.Step, worker: WorkerCapacity, now_ms: int
    ) -> list[tuple[int, str]]:
        """Return slots for single tasks on a worker, earliest first.

        Each slot is the time at which it becomes free and the worker's id.
        """
        capacity = worker.free_capacity()
        slots = [(now_ms, worker.worker)] * capacity.fitting_count(step)
        for end_ms, ended_step in self._expected_ends(worker, now_ms):
            if len(slots) >= step.tasks:
                break
            capacity.release(ended_step)
            fits = capacity.fitting_count(step)
            slots += [(end_ms, worker.worker)] * (fits - len(slots))
        return slots

    def _expected_ends(
        self, worker: WorkerCapacity, now_ms: int
    ) -> list[_ExpectedEnd]:
        """Return the expected ends of a worker's tasks, earliest first."""
        ends = self._ends_by_worker.get(worker.worker)
        if ends is None:
            ends = [
                (
                    now_ms + self._estimator.run_remaining_ms(run, now_ms),
                    run.step,
                )
                for run in worker.run_by_key.values()
            ]
            ends += self._starts_by_worker.get(worker.worker, [])
            ends.sort(key=lambda item: item[0])
            self._ends_by_worker[worker.worker] = ends
        return ends
