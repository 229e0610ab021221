"""Groups of workers by speed, and the order in which steps try them."""

import typing as t

from .capacity import NOMINAL_SPEED_PERMILLE
from .capacity import WorkerCapacity

#: Workers whose speed is within this factor of the fastest one of their tier
#: share the tier. Speeds are rounded to 0.1; below 1.3, each makes a tier.
#: With 0.85, urgent gangs met slow workers of which one run was known: 101
#: instead of 115 of 194 were in time in the load trials.
_TIER_FACTOR = 0.92
#: The fastest workers that make up one part in this many of the fleet give
#: the speed at which a job can be expected to run.
_FLEET_PARTS = 4


class SpeedTiers:
    """The speeds of the workers in one planning round.

    :ivar is_even: whether all workers have the declared speed.
    :ivar floors_permille: lowest speed of each tier, fastest tier first.
    :ivar best_permille: lowest speed of the fastest quarter of the workers.
    """

    __slots__ = (
        '_speed_by_worker',
        'best_permille',
        'floors_permille',
        'is_even',
    )

    def __init__(self, workers: t.Sequence[WorkerCapacity] = ()) -> None:
        self._speed_by_worker = {
            worker.worker: worker.speed_permille
            for worker in workers
            if worker.speed_permille != NOMINAL_SPEED_PERMILLE
        }
        self.is_even = not self._speed_by_worker
        self.best_permille = NOMINAL_SPEED_PERMILLE
        self.floors_permille = [NOMINAL_SPEED_PERMILLE]
        if self._speed_by_worker:
            speeds = sorted((w.speed_permille for w in workers), reverse=True)
            self.best_permille = speeds[(len(speeds) - 1) // _FLEET_PARTS]
            self.floors_permille = _floors(speeds)

    def speed_of(self, worker: str) -> int:
        """Return the speed of a worker, in thousandths.

        :param worker: its id.
        """
        return self._speed_by_worker.get(worker, NOMINAL_SPEED_PERMILLE)

    def slowest_of(self, workers: t.Iterable[str]) -> int:
        """Return the lowest speed of some workers, by their ids."""
        return min(self.speed_of(worker) for worker in workers)

    def slowdown_ms(self, duration_ms: int, speed_permille: int) -> int:
        """Return how much longer work takes than on the fastest workers.

        :param duration_ms: declared duration of the work.
        """
        if self.is_even:
            return 0
        return at_speed(duration_ms, speed_permille) - at_speed(
            duration_ms, self.best_permille
        )

    def descending(
        self, workers: list[WorkerCapacity]
    ) -> t.Iterator[tuple[list[WorkerCapacity], int]]:
        """Yield the fastest workers, then more of them at each step.

        :return: workers and the lowest speed of their slowest tier.
        """
        size = 0
        for floor in self.floors_permille:
            group = [w for w in workers if w.speed_permille >= floor]
            if len(group) > size:
                size = len(group)
                yield group, floor

    def ascending(
        self, workers: list[WorkerCapacity], least_permille: int
    ) -> t.Iterator[tuple[list[WorkerCapacity], int]]:
        """Yield the slowest workers that are fast enough, then more of them.

        All workers come last, the too slow ones included.

        :param least_permille: lowest speed that is fast enough.
        :return: workers and the lowest speed among their tiers.
        """
        floors = [f for f in self.floors_permille if f >= least_permille]
        size = 0
        for index in range(len(floors) - 1, -1, -1):
            least = floors[-1]
            limit = floors[index - 1] if index else None
            group = [
                worker
                for worker in workers
                if worker.speed_permille >= least
                and (limit is None or worker.speed_permille < limit)
            ]
            if len(group) > size:
                size = len(group)
                yield group, least
        if size < len(workers):
            yield workers, self.floors_permille[-1]


def at_speed(duration_ms: int, speed_permille: int) -> int:
    """Return how long work takes at a speed.

    :param duration_ms: declared duration.
    """
    return duration_ms * NOMINAL_SPEED_PERMILLE // speed_permille


def _floors(speeds: list[int]) -> list[int]:
    """Return the lowest speed of each tier.

    :param speeds: speeds of all workers, highest first.
    """
    floors = [speeds[0]]
    top = speeds[0]
    for speed in speeds:
        if speed < _TIER_FACTOR * top:
            top = speed
            floors.append(speed)
        floors[-1] = speed
    return floors
