"""How steps wait that do not fit, or that would end late if they started."""

from . import placement
from . import valuation
from .capacity import WorkerCapacity
from .capacity_claims import CapacityClaims
from .options import PlanOptions
from .preemption_choice import PreemptionChoice
from .round_state import PendingStep
from .round_state import RoundState
from .speed_choice import SpeedChoice


class WaitingSteps:
    """Preempts or reserves capacity for steps that do not start now.

    :param options: limits and cost factors.
    :param estimator: the speeds of the workers.
    :param speed_choice: tells which workers are fast enough.
    :param preemption: makes runs give way.
    :param claims: reserves capacity.
    """

    __slots__ = (
        '_claims',
        '_estimator',
        '_options',
        '_preemption',
        '_speed_choice',
    )

    def __init__(
        self,
        options: PlanOptions,
        estimator: valuation.Estimator,
        speed_choice: SpeedChoice,
        preemption: PreemptionChoice,
        claims: CapacityClaims,
    ) -> None:
        self._options = options
        self._estimator = estimator
        self._speed_choice = speed_choice
        self._preemption = preemption
        self._claims = claims

    def preempt_or_reserve(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
        *,
        in_one_rack: bool,
    ) -> None:
        """Preempt less urgent runs or reserve capacity, and record why."""
        if self._preemption.preempt(pending, workers, state, in_one_rack):
            reason = 'waiting for stopping runs to end'
        elif self._claims.reserve(pending, workers, state, in_one_rack):
            reason = 'waiting for reserved capacity'
        else:
            reason = 'not enough free capacity'
        state.block(pending, reason)

    def awaits_faster_workers(
        self,
        pending: PendingStep,
        assignment: placement.Assignment,
        workers: list[WorkerCapacity],
        state: RoundState,
        *,
        in_one_rack: bool,
    ) -> bool:
        """Whether an urgent step waits rather than end late on slow workers.

        It preempts runs on workers that are fast enough if that pays off,
        or waits for them if it is expected to end in time nevertheless.
        Guaranteed work has to start within its guarantee, whatever the speed.

        :param assignment: workers on which it could start now.
        """
        job, choice = pending.job, self._speed_choice
        if choice.is_even or job.terms.priority != 0:
            return False
        is_guaranteed = job.job_id in state.guaranteed_ids
        limit_ms = self._options.urgent_preemption_delay_ms
        if is_guaranteed and pending.waited_ms >= limit_ms:
            return False
        slowest = min(worker.speed_permille for worker in assignment)
        if choice.ends_in_time(job, slowest, state):
            return False
        fast = choice.in_time_workers(
            job, workers, state, self._options.stop_grace_ms
        )
        if fast and self._preemption.preempt(
            pending, workers, state, in_one_rack, only_on=fast
        ):
            state.block(pending, 'waiting for stopping runs to end')
            return True
        reservation = self._claims.earliest(
            pending,
            len(pending.tasks) if pending.step.is_gang else 1,
            workers,
            state,
            in_one_rack=in_one_rack,
        )
        if (
            reservation is not None
            and reservation.start_ms > state.now_ms
            and choice.ends_in_time(
                job,
                self._estimator.speed_tiers.slowest_of(
                    reservation.tasks_by_worker
                ),
                state,
                reservation.start_ms - state.now_ms,
            )
            and self._claims.reserve(pending, workers, state, in_one_rack)
        ):
            state.block(pending, 'waiting for faster workers')
            return True
        return False
