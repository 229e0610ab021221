"""Room that is kept for large work until enough of it is free."""

import dataclasses

from mulberryloom_core.request import jobs

from . import worth
from .room import WorkerRoom


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Where large work is expected to start.

    :param tasks_by_worker: tasks that each worker is kept for.
    :param start_ms: when the last of that room is expected to be free.
    """

    step: jobs.Step
    tasks_by_worker: dict[str, int]
    start_ms: int


class Reserver:
    """Works out where large work can start soonest.

    :param estimator: expected durations.
    """

    def __init__(self, estimator: worth.Estimator) -> None:
        self._estimator = estimator

    def find(
        self,
        step: jobs.Step,
        count: int,
        workers: list[WorkerRoom],
        now_ms: int,
        *,
        in_one_rack: bool,
    ) -> Reservation | None:
        """Return the soonest start by the expected ends of runs."""
        groups = [workers]
        if in_one_rack:
            by_rack: dict[str, list[WorkerRoom]] = {}
            for worker in workers:
                by_rack.setdefault(worker.rack, []).append(worker)
            groups = list(by_rack.values())
        found = [
            reservation
            for group in groups
            for reservation in [self._soonest(step, count, group, now_ms)]
            if reservation is not None
        ]
        return min(found, key=lambda item: item.start_ms, default=None)

    def _soonest(
        self,
        step: jobs.Step,
        count: int,
        workers: list[WorkerRoom],
        now_ms: int,
    ) -> Reservation | None:
        """Let runs end in their expected order until the work fits."""
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
        self, step: jobs.Step, worker: WorkerRoom, now_ms: int
    ) -> list[tuple[int, str]]:
        """Return when each place for one task on a worker is free."""
        room = worker.free_room()
        slots = [(now_ms, worker.worker)] * room.fitting(step)
        ends = sorted(
            (now_ms + self._estimator.run_left_ms(run, now_ms), key)
            for key, run in worker.run_by_key.items()
        )
        for end_ms, key in ends:
            if len(slots) >= step.tasks:
                break
            room.add(worker.run_by_key[key].step)
            fits = room.fitting(step)
            slots += [(end_ms, worker.worker)] * (fits - len(slots))
        return slots
