"""Capacity reserved for large steps until enough of it is free.

A slot is room for one task of the step.
"""

import collections
import dataclasses
import itertools
import typing as t

from mulberryloom_core.request import jobs

from . import valuation
from .capacity import TaskDemand
from .capacity import WorkerCapacity

#: Time at which a task is expected to end, and its step.
_ExpectedEnd: t.TypeAlias = tuple[int, jobs.Step]
#: Time from which a task fits on a worker, and the worker's id.
_Slot: t.TypeAlias = tuple[int, str]
#: Stands for any number of tasks in a search that several steps share.
_UNLIMITED_TASKS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Workers and time at which tasks of a step are expected to start.

    :param tasks_by_worker: number of tasks reserved on each worker.
    :param start_ms: expected time at which all of the capacity is free.
    :param slowdown_ms: by how much the tasks take longer there than on the
        fastest workers.
    """

    step: jobs.Step
    tasks_by_worker: dict[str, int]
    start_ms: int
    slowdown_ms: int = 0


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
        # By demand, whether in one rack, and ids of the workers.
        self._slots_by_search: dict[
            tuple[TaskDemand, bool, tuple[str, ...]], list[list[_Slot]]
        ] = {}

    def begin_round(self) -> None:
        """Forget the starts and ends of the last planning round."""
        self._starts_by_worker = collections.defaultdict(list)
        self._ends_by_worker.clear()
        self._slots_by_search.clear()

    def add_start(
        self, step: jobs.Step, worker: WorkerCapacity, now_ms: int
    ) -> None:
        """Count a task that starts in this round as running."""
        end_ms = now_ms + self._estimator.start_duration_ms(
            step, worker, now_ms
        )
        self._starts_by_worker[worker.worker].append((end_ms, step))
        self._ends_by_worker.pop(worker.worker, None)
        self._slots_by_search.clear()

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

        On workers of unequal speed, it is the start with the earliest end.

        :param count: number of tasks that start together.
        :param workers: workers that may receive the tasks.
        :param in_one_rack: whether all tasks have to share a rack.
        """
        reservations = [
            reservation
            for slots in self._slots_of_groups(
                step, workers, now_ms, in_one_rack
            )
            for reservation in self._candidates(step, count, slots)
        ]
        return min(
            reservations,
            key=lambda item: item.start_ms + item.slowdown_ms,
            default=None,
        )

    def _candidates(
        self, step: jobs.Step, count: int, slots: list[_Slot]
    ) -> t.Iterator[Reservation]:
        """Yield the earliest start on a group of workers.

        There is one for each tier of speed, on its workers and faster ones.

        :param slots: slots of the group, earliest first.
        """
        tiers = self._estimator.speed_tiers
        duration_ms = self._estimator.task_duration_ms(step)
        for floor in tiers.floors_permille:
            fast = slots
            if not tiers.is_even:
                found = (s for s in slots if tiers.speed_of(s[1]) >= floor)
                fast = list(itertools.islice(found, count))
            slowdown_ms = tiers.slowdown_ms(duration_ms, floor)
            reservation = _earliest(step, count, fast, slowdown_ms)
            if reservation is not None:
                yield reservation

    def forget_slots(self) -> None:
        """Forget the slots that were found, since free capacity changed."""
        self._slots_by_search.clear()

    def _slots_of_groups(
        self,
        step: jobs.Step,
        workers: list[WorkerCapacity],
        now_ms: int,
        in_one_rack: bool,
    ) -> list[list[_Slot]]:
        """Return the slots of each group of workers, earliest first.

        They are searched once for all steps with the same demand and
        workers, until free capacity changes.
        """
        search = (
            TaskDemand.from_step(step),
            in_one_rack,
            tuple(worker.worker for worker in workers),
        )
        groups = self._slots_by_search.get(search)
        if groups is not None:
            return groups
        workers_by_rack: dict[str, list[WorkerCapacity]] = {}
        for worker in workers:
            rack = worker.rack if in_one_rack else ''
            workers_by_rack.setdefault(rack, []).append(worker)
        unlimited = dataclasses.replace(step, tasks=_UNLIMITED_TASKS)
        groups = [
            sorted(
                slot
                for worker in group
                for slot in self._slots(unlimited, worker, now_ms)
            )
            for group in workers_by_rack.values()
        ]
        self._slots_by_search[search] = groups
        return groups

    def _slots(
        self, step: jobs.Step, worker: WorkerCapacity, now_ms: int
    ) -> list[_Slot]:
        """Return slots for single tasks on a worker, earliest first."""
        capacity = worker.free_capacity()
        slots = [(now_ms, worker.worker)] * capacity.fitting_count(step)
        for end_ms, ended_step in self._expected_ends(worker, now_ms):
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


def _earliest(
    step: jobs.Step, count: int, slots: list[_Slot], slowdown_ms: int
) -> Reservation | None:
    """Return the earliest start on a group of workers, if there is one.

    :param slots: slots of the group, earliest first.
    :param slowdown_ms: by how much the tasks take longer there than on the
        fastest workers.
    """
    if len(slots) < count:
        return None
    tasks_by_worker: dict[str, int] = {}
    for _, name in slots[:count]:
        tasks_by_worker[name] = tasks_by_worker.get(name, 0) + 1
    start_ms = slots[count - 1][0]
    return Reservation(step, tasks_by_worker, start_ms, slowdown_ms)
