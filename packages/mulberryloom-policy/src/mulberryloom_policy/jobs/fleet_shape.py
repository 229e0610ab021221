"""How many tasks fit on the fleet while nothing else runs."""

import collections
import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from .capacity import TaskDemand
from .capacity import WorkerCapacity

#: Rack and total capacity, which many workers have in common.
_WorkerShape: t.TypeAlias = tuple[str, int, int, int]
#: Tasks of a step without any demand that fit on one worker.
_UNLIMITED_SLOTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class FleetFit:
    """How the tasks of one step fit on the fleet.

    :param slots: number of tasks that run at a time.
    :param widest_rack: largest number of them in one rack.
    """

    slots: int
    widest_rack: int


class FleetShape:
    """Counts equal workers, and the tasks that fit on them.

    The counts are kept until a worker comes, leaves or changes. Their cost
    grows with the shapes of workers and the demands of steps, not with the
    numbers of workers and jobs.
    """

    def __init__(self) -> None:
        self._count_by_shape: collections.Counter[_WorkerShape] = (
            collections.Counter()
        )
        self._fit_by_demand: dict[TaskDemand, FleetFit] = {}

    def update(self, workers: list[WorkerCapacity]) -> None:
        """Count the workers of a planning round."""
        count_by_shape = collections.Counter(
            (w.rack, w.cpu_millis, w.memory_mb, w.accelerators)
            for w in workers
        )
        if count_by_shape != self._count_by_shape:
            self._count_by_shape = count_by_shape
            self._fit_by_demand.clear()

    def fit_of(self, step: jobs.Step) -> FleetFit:
        """Return how the tasks of a step fit; labels are not considered."""
        demand = TaskDemand.from_step(step)
        fit = self._fit_by_demand.get(demand)
        if fit is None:
            fit = self._count_slots(demand)
            self._fit_by_demand[demand] = fit
        return fit

    def _count_slots(self, demand: TaskDemand) -> FleetFit:
        needs = (demand.cpu_millis, demand.memory_mb, demand.accelerators)
        slots_by_rack: collections.Counter[str] = collections.Counter()
        for shape, workers in self._count_by_shape.items():
            rack, *totals = shape
            slots = demand.max_per_worker or _UNLIMITED_SLOTS
            for needed, total in zip(needs, totals, strict=True):
                if needed:
                    slots = min(slots, total // needed)
            slots_by_rack[rack] += slots * workers
        return FleetFit(
            slots_by_rack.total(), max(slots_by_rack.values(), default=0)
        )
