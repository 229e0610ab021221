"""Choice of workers of unequal speed for the tasks of one step.

Steps of priority 0 take the fastest workers. Other steps take the slowest
ones on which their job is still expected to end in time, so that faster
ones stay free. While all workers have the declared speed, they form a single
group, and nothing is chosen here.
"""

import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from . import valuation
from .capacity import NOMINAL_SPEED_PERMILLE
from .capacity import WorkerCapacity
from .round_state import PendingStep
from .round_state import RoundState


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers that are tried together.

    :param end_ms: expected end of a task that starts now on the slowest of
        them.
    :param is_late: whether an urgent job ends late there.
    """

    workers: list[WorkerCapacity]
    end_ms: int
    is_late: bool = False


class SpeedChoice:
    """Orders the workers for a step by their speed.

    :param estimator: expected durations, and the speeds of the workers.
    """

    def __init__(self, estimator: valuation.Estimator) -> None:
        self._estimator = estimator

    @property
    def is_even(self) -> bool:
        """Whether all workers have the declared speed."""
        return self._estimator.speed_tiers.is_even

    def groups(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> t.Iterator[WorkerGroup]:
        """Yield groups of workers for a step, those to try first first."""
        tiers = self._estimator.speed_tiers
        job, step = pending.job, pending.step
        if tiers.is_even:
            end_ms = state.now_ms + self._estimator.task_duration_ms(step)
            yield WorkerGroup(workers, end_ms)
            return
        if job.terms.priority == 0:
            groups = tiers.descending(workers)
        else:
            groups = tiers.ascending(workers, self._least_speed(job, state))
        for group, floor in groups:
            duration_ms = self._estimator.duration_at_ms(step, floor)
            is_late = job.terms.priority == 0 and not self.ends_in_time(
                job, floor, state
            )
            yield WorkerGroup(group, state.now_ms + duration_ms, is_late)

    def all_workers(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> WorkerGroup:
        """Return one group that fits tasks if any of the groups does."""
        fastest = self._estimator.speed_tiers.floors_permille[0]
        duration_ms = self._estimator.duration_at_ms(pending.step, fastest)
        return WorkerGroup(workers, state.now_ms + duration_ms)

    def ends_in_time(
        self,
        job: jobs.Job,
        speed_permille: int,
        state: RoundState,
        delay_ms: int = 0,
    ) -> bool:
        """Whether a job ends in time if the rest of it runs at a speed.

        :param delay_ms: time until it goes on.
        """
        deadlines = self._estimator.deadlines(job)
        rest_ms = deadlines.target_ms - state.wall_ms - delay_ms
        return (
            self._nominal_path_ms(job) * NOMINAL_SPEED_PERMILLE
            <= rest_ms * speed_permille
        )

    def in_time_workers(
        self,
        job: jobs.Job,
        workers: list[WorkerCapacity],
        state: RoundState,
        delay_ms: int,
    ) -> list[WorkerCapacity]:
        """Return the workers on which a job ends in time.

        :param delay_ms: time until it goes on.
        """
        is_in_time = {
            speed: self.ends_in_time(job, speed, state, delay_ms)
            for speed in {worker.speed_permille for worker in workers}
        }
        return [w for w in workers if is_in_time[w.speed_permille]]

    def _least_speed(self, job: jobs.Job, state: RoundState) -> int:
        """Return the lowest speed at which a job ends in time."""
        deadlines = self._estimator.deadlines(job)
        rest_ms = max(1, deadlines.target_ms - state.wall_ms)
        needed = self._nominal_path_ms(job) * NOMINAL_SPEED_PERMILLE
        return -(-needed // rest_ms)

    def _nominal_path_ms(self, job: jobs.Job) -> int:
        """Return the remaining critical path at the declared speed."""
        remaining_ms = self._estimator.deadlines(job).remaining_ms
        best_permille = self._estimator.speed_tiers.best_permille
        return remaining_ms * best_permille // NOMINAL_SPEED_PERMILLE
