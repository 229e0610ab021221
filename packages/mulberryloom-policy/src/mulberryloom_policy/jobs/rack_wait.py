"""How long steps wait for capacity in one rack."""

from . import placement
from . import valuation
from .capacity import WorkerCapacity
from .capacity_claims import CapacityClaims
from .commitments import Commitments
from .options import PlanOptions
from .round_state import PendingStep
from .round_state import RoundState
from .speed_tiers import at_speed


class RackWait:
    """Lets steps wait for their rack, or gangs for a single one.

    :param options: limits and cost factors.
    :param estimator: expected durations.
    :param claims: finds the earliest start in one rack.
    :param commitments: tells for which jobs runs were preempted.
    """

    __slots__ = ('_claims', '_commitments', '_estimator', '_options')

    def __init__(
        self,
        options: PlanOptions,
        estimator: valuation.Estimator,
        claims: CapacityClaims,
        commitments: Commitments,
    ) -> None:
        self._options = options
        self._estimator = estimator
        self._claims = claims
        self._commitments = commitments

    def preferred_workers(
        self,
        pending: PendingStep,
        eligible: list[WorkerCapacity],
        state: RoundState,
    ) -> list[WorkerCapacity]:
        """Return the workers in the step's rack while waiting pays off.

        All eligible workers are returned later, or if none is in the rack.
        """
        step = pending.step
        if not step.rack:
            return eligible
        in_rack = [worker for worker in eligible if worker.rack == step.rack]
        if in_rack and pending.waited_ms < self._max_rack_wait_ms(
            pending, state
        ):
            return in_rack
        return eligible

    def _max_rack_wait_ms(
        self, pending: PendingStep, state: RoundState
    ) -> int:
        """Return how long waiting for capacity in one rack pays off.

        The limit is half of the additional duration elsewhere. Guaranteed
        work waits no longer than its guarantee allows.
        """
        options = self._options
        extra_factor = options.spread_factor - 1
        limit_ms = (
            int(extra_factor * self._estimator.task_duration_ms(pending.step))
            // 2
        )
        if pending.job.job_id in state.guaranteed_ids:
            return min(limit_ms, options.max_rack_wait_ms)
        return limit_ms

    def requires_one_rack(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> bool:
        """Whether a gang still waits for capacity in a single rack.

        Across racks it takes longer, and so much more of the fleet: it waits
        as long as it is expected to end earlier in one rack. Guaranteed work
        that has not started before waits no longer than its guarantee allows,
        and no work waits for long while most of the fleet is idle. While
        workers may still report to a new leader, the racks are not known.
        """
        if not state.may_preempt:
            return True
        step, count = pending.step, len(pending.tasks)
        if not placement.fits_one_rack(step, count, workers):
            return False
        is_wait_over = pending.waited_ms >= self._options.max_idle_wait_ms
        if is_wait_over and placement.have_ample_room(step, count, workers):
            return False
        is_guaranteed = pending.job.job_id in state.guaranteed_ids
        if is_guaranteed and not all(task.last_run for task in pending.tasks):
            limit_ms = self._max_rack_wait_ms(pending, state)
            if pending.job.job_id in self._commitments.preemption_cost_by_job:
                limit_ms += self._options.stop_grace_ms
            return pending.waited_ms < limit_ms
        in_one_rack = self._claims.earliest(
            pending, count, workers, state, in_one_rack=True
        )
        extra_factor = self._options.spread_factor - 1
        extra_ms = extra_factor * at_speed(
            self._estimator.task_duration_ms(step),
            self._estimator.speed_tiers.best_permille,
        )
        return (
            in_one_rack is not None
            and in_one_rack.start_ms + in_one_rack.slowdown_ms - state.now_ms
            < extra_ms
        )
