"""Expected duration of runs on workers that are cold.

A worker is cold, that is slow, for a time after its start.
"""

import typing as t

from .capacity import ActiveRun
from .capacity import WorkerCapacity

#: A run ends later by the time on a cold worker divided by this. A heartbeat
#: tells the duration of the warm-up but not its speed; half of the usual speed
#: is assumed, at which half of that time is lost.
_WARMUP_PER_LOST_TIME = 2


def extra_ms(warm_ms: int, start_ms: int, duration_ms: int) -> int:
    """Return how much later a run ends because its worker was cold.

    A run that ends before its worker is warm takes twice its duration.

    :param warm_ms: time from which the worker is warm.
    :param duration_ms: duration of the run on a warm worker.
    """
    left_ms = max(0, warm_ms - start_ms)
    return min(left_ms // _WARMUP_PER_LOST_TIME, duration_ms)


class WarmUps:
    """Times from which the workers of a fleet are warm."""

    __slots__ = ('_warm_ms_by_incarnation',)

    def __init__(self) -> None:
        self._warm_ms_by_incarnation: dict[tuple[str, int], int] = {}

    def update(self, workers: t.Iterable[WorkerCapacity]) -> None:
        """Replace the times by those of the present workers."""
        self._warm_ms_by_incarnation = {
            (worker.worker, worker.boot): worker.warm_ms
            for worker in workers
            if worker.warm_ms
        }

    def extra_ms(self, run: ActiveRun, duration_ms: int) -> int:
        """Return how much later a run ends because its worker was cold.

        :param duration_ms: its duration on a warm worker, from the time on
            at which its progress is counted.
        """
        warm_ms = self._warm_ms_by_incarnation.get(run.incarnation_key)
        if warm_ms is None:
            return 0
        return extra_ms(warm_ms, run.base_ms, duration_ms)
