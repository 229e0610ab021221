"""Capacity that a planning round takes: for starts and for steps that wait."""

from mulberryloom_core.request import jobs

from .capacity import WorkerCapacity
from .commitments import Commitments
from .options import PlanOptions
from .plan import Start
from .reservation import Reservation
from .reservation import ReservationFinder
from .round_state import PendingStep
from .round_state import RoundState

#: Minimum number of accelerators of a task for which capacity is reserved.
_LARGE_TASK_ACCELERATORS = 4


class CapacityClaims:
    """Takes capacity for the steps of a round, and reserves it for others.

    :param options: limits and cost factors.
    :param finder: finds the earliest start of a step.
    :param commitments: remembers the jobs with reserved capacity.
    """

    __slots__ = ('_commitments', '_finder', '_options')

    def __init__(
        self,
        options: PlanOptions,
        finder: ReservationFinder,
        commitments: Commitments,
    ) -> None:
        self._options = options
        self._finder = finder
        self._commitments = commitments

    def start(
        self,
        state: RoundState,
        pending: PendingStep,
        task: jobs.Task,
        worker: WorkerCapacity,
    ) -> None:
        """Start a task on a worker."""
        worker.commit(pending.step)
        worker.has_starts = True
        if pending.is_suspect:
            worker.is_on_probation = True
            state.has_probation = True
        self._finder.add_start(pending.step, worker, state.now_ms)
        if blocks_urgent_jobs(pending.job, pending.step):
            state.other_capacity.occupy(pending.step)
        state.plan.starts.append(Start(pending.job, task, worker))

    def reserve(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
        in_one_rack: bool,
    ) -> bool:
        """Reserve capacity so that small tasks do not starve a large step.

        It is reserved for a whole gang, or for one task of another step.
        """
        step = pending.step
        is_large = step.is_gang or step.accelerators >= (
            _LARGE_TASK_ACCELERATORS
        )
        limit = self._options.max_reservations
        if not is_large or len(state.reservations) >= limit:
            return False
        count = len(pending.tasks) if step.is_gang else 1
        reservation = self.earliest(
            pending, count, workers, state, in_one_rack=in_one_rack
        )
        if reservation is None:
            return False
        state.reservations.append(reservation)
        if step.is_gang:
            self._commitments.reserved_ids.add(pending.job.job_id)
        self.withhold(step, reservation.tasks_by_worker, state)
        return True

    def earliest(
        self,
        pending: PendingStep,
        count: int,
        workers: list[WorkerCapacity],
        state: RoundState,
        *,
        in_one_rack: bool,
    ) -> Reservation | None:
        """Return the earliest start of a number of tasks of a step.

        It is searched once for each step, which several decisions need.
        """
        key = (count, in_one_rack)
        if key not in pending.reservation_by_key:
            pending.reservation_by_key[key] = self._finder.find(
                pending.step,
                count,
                workers,
                state.now_ms,
                in_one_rack=in_one_rack,
            )
        return pending.reservation_by_key[key]

    def withhold(
        self,
        step: jobs.Step,
        tasks_by_worker: dict[str, int],
        state: RoundState,
    ) -> None:
        """Withhold capacity from the other steps of this round."""
        self._finder.forget_slots()
        for worker in state.workers:
            worker.commit(step, tasks_by_worker.get(worker.worker, 0))


def blocks_urgent_jobs(job: jobs.Job, step: jobs.Step) -> bool:
    """Whether a run of a step makes way for urgent jobs only at a loss.

    Other runs that are not urgent save their work when they are stopped.
    """
    return job.terms.priority != 0 and not step.is_checkpointed
