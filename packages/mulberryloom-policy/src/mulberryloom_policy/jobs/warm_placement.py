"""Placement of tasks on a fleet in which some workers are cold.

A worker is cold, that is slow, for a time after its start.
"""

import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from . import placement
from . import warmup
from .capacity import WorkerCapacity
from .round_state import Backfill
from .round_state import RoundState


@dataclasses.dataclass(frozen=True, slots=True)
class _Search:
    """One attempt to place tasks.

    :param workers: workers that may receive the tasks.
    :param extra_ms: additional duration on a cold worker for which the
        attempt allows when it uses reserved capacity.
    """

    workers: list[WorkerCapacity]
    extra_ms: int = 0


class PlacementFinder:
    """Finds workers for tasks of one step, with regard to cold workers.

    Jobs of the highest priority take cold workers only if the warm ones do
    not suffice. Other jobs are placed as if all workers were warm, unless
    they would then use reserved capacity for too long.

    :param workers: workers that may receive the tasks.
    :param duration_ms: expected duration of a task on a warm worker.
    """

    __slots__ = ('_duration_ms', '_searches', '_state')

    def __init__(
        self,
        job: jobs.Job,
        workers: list[WorkerCapacity],
        duration_ms: int,
        state: RoundState,
    ) -> None:
        self._duration_ms = duration_ms
        self._state = state
        self._searches = [_Search(workers)]
        if not state.has_cold_workers:
            return
        warm = _Search([w for w in workers if w.warm_ms <= state.now_ms])
        longest_ms = max(map(self._extra_ms, workers), default=0)
        on_any = _Search(workers, longest_ms)
        if job.terms.priority == 0:
            self._searches = [warm, on_any]
        else:
            self._searches += [on_any, warm]

    def find(
        self,
        place: t.Callable[[list[WorkerCapacity]], placement.Assignment | None],
    ) -> placement.Assignment | None:
        """Return the worker of each task, or ``None`` if they do not fit.

        :param place: chooses among the workers that it is given, by their
            free capacity.
        """
        start_ms = self._state.now_ms
        for search in self._searches:
            end_ms = start_ms + self._duration_ms + search.extra_ms
            with Backfill(self._state, end_ms):
                assignment = place(search.workers)
            if assignment is not None and all(
                self._extra_ms(worker) <= search.extra_ms
                for worker in assignment
            ):
                return assignment
        return None

    def find_one(
        self,
        place: t.Callable[[list[WorkerCapacity]], WorkerCapacity | None],
    ) -> WorkerCapacity | None:
        """Return the worker of one task, or ``None`` if it does not fit.

        :param place: as for :meth:`find`.
        """

        def place_one(
            workers: list[WorkerCapacity],
        ) -> placement.Assignment | None:
            worker = place(workers)
            return None if worker is None else [worker]

        assignment = self.find(place_one)
        return assignment[0] if assignment else None

    def _extra_ms(self, worker: WorkerCapacity) -> int:
        return warmup.extra_ms(
            worker.warm_ms, self._state.now_ms, self._duration_ms
        )
