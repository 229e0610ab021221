"""The workers outside evacuated data centres, during one planning round.

An evacuated data centre receives no new work. Work that already runs there
continues.
"""

import typing as t

from mulberryloom_core.request import jobs

from .capacity import TaskDemand
from .capacity import WorkerCapacity


class OpenWorkers:
    """Divides the fleet into open workers and those that get no new work.

    :param workers: the fleet.
    :param evacuated: names of the evacuated data centres.
    :ivar workers: the workers that may receive new work. It is the given
        list itself if no worker is in an evacuated data centre.
    """

    __slots__ = ('_evacuated', '_is_needed_by_demand', 'workers')

    def __init__(
        self, workers: list[WorkerCapacity], evacuated: t.Collection[str]
    ) -> None:
        self.workers = workers
        self._evacuated: list[WorkerCapacity] = []
        self._is_needed_by_demand: dict[tuple[str, TaskDemand, int], bool] = {}
        if evacuated:
            self._evacuated = [
                worker for worker in workers if worker.data_centre in evacuated
            ]
        if self._evacuated:
            self.workers = [
                worker
                for worker in workers
                if worker.data_centre not in evacuated
            ]

    def need_evacuated(
        self, step: jobs.Step, service: str, count: int
    ) -> bool:
        """Whether tasks of a step fit only with the evacuated workers.

        :param count: number of tasks that start together.
        """
        if not self._evacuated:
            return False
        key = (service, TaskDemand.from_step(step), count)
        is_needed = self._is_needed_by_demand.get(key)
        if is_needed is None:
            open_slots = _slots(step, service, self.workers)
            all_slots = open_slots + _slots(step, service, self._evacuated)
            is_needed = open_slots < count <= all_slots
            self._is_needed_by_demand[key] = is_needed
        return is_needed


def _slots(
    step: jobs.Step, service: str, workers: list[WorkerCapacity]
) -> int:
    """Return how many tasks of a step fit if nothing else runs."""
    return sum(
        worker.fitting_count_when_empty(step)
        for worker in workers
        if worker.can_ever_run(step, service)
    )
