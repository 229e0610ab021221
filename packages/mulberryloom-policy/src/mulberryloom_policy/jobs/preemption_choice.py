"""Whether runs make way for an urgent step."""

from mulberryloom_core.request import jobs

from . import valuation
from .capacity import WorkerCapacity
from .capacity_claims import CapacityClaims
from .commitments import Commitments
from .options import PlanOptions
from .plan import Stop
from .preemption import PreemptionPlan
from .preemption import PreemptionPlanner
from .reservation import Reservation
from .round_state import PendingStep
from .round_state import RoundState
from .speed_choice import SpeedChoice


class PreemptionChoice:
    """Preempts runs for steps of the highest priority, if it pays off.

    :param options: limits and cost factors.
    :param estimator: expected durations and values.
    :param planner: finds the cheapest runs to preempt.
    :param speed_choice: tells which workers are fast enough.
    :param claims: withholds the capacity that becomes free.
    :param commitments: remembers what was preempted for each job.
    """

    def __init__(
        self,
        options: PlanOptions,
        estimator: valuation.Estimator,
        planner: PreemptionPlanner,
        speed_choice: SpeedChoice,
        claims: CapacityClaims,
        commitments: Commitments,
    ) -> None:
        self._options = options
        self._estimator = estimator
        self._planner = planner
        self._speed_choice = speed_choice
        self._claims = claims
        self._commitments = commitments

    def preempt(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
        in_one_rack: bool,
        *,
        only_on: list[WorkerCapacity] | None = None,
    ) -> bool:
        """Preempt runs for a step of the highest priority, if it pays off.

        Guaranteed work preempts unless capacity becomes free soon. For
        other jobs, the preemption costs accumulate and must not exceed the
        expected gain. Workers on which the step ends in time go first.

        :param only_on: workers on which runs may be preempted, for a step
            that could also start now on others; ``None`` for all. Guaranteed
            work then preempts like other urgent work.
        """
        job = pending.job
        if job.terms.priority != 0 or not state.may_preempt:
            return False
        is_guaranteed = only_on is None and job.job_id in state.guaranteed_ids
        spent = self._commitments.preemption_cost_by_job.get(job.job_id)
        least_cost = self._options.base_preemption_cost
        # The searches below are left out if they cannot pay off. A job that
        # has preempted already waits for runs that stop at no further cost.
        is_bounded = not is_guaranteed and spent is None
        if is_bounded and least_cost > self._max_cost(job, None, state):
            return False
        unstarted = [
            task
            for task in pending.tasks
            if task.run is None and not self._is_starting(task, state)
        ]
        without_preemption = self._claims.earliest(
            pending, len(unstarted), workers, state, in_one_rack=in_one_rack
        )
        max_cost = self._max_cost(job, without_preemption, state)
        if is_bounded and least_cost > max_cost:
            return False
        groups = [workers if only_on is None else only_on]
        if only_on is None and not self._speed_choice.is_even:
            fast = self._speed_choice.in_time_workers(
                job, workers, state, self._options.stop_grace_ms
            )
            if 0 < len(fast) < len(workers):
                groups.insert(0, fast)
        return any(
            self._preempt_on(
                group,
                pending,
                len(unstarted),
                without_preemption,
                state,
                in_one_rack=in_one_rack,
                is_guaranteed=is_guaranteed,
            )
            for group in groups
        )

    def _preempt_on(
        self,
        workers: list[WorkerCapacity],
        pending: PendingStep,
        count: int,
        without_preemption: Reservation | None,
        state: RoundState,
        *,
        in_one_rack: bool,
        is_guaranteed: bool,
    ) -> bool:
        """Preempt runs on some workers, if it pays off.

        :param count: number of tasks without a run.
        :param without_preemption: earliest start without preemption.
        """
        job = pending.job
        preemption = self._planner.find(
            job,
            pending.step,
            count,
            workers,
            state.now_ms,
            state.wall_ms,
            self._ids_above_urgent_work(pending, state)
            if is_guaranteed
            else set(),
            in_one_rack=in_one_rack,
        )
        if preemption is None:
            return False
        spent = self._commitments.preemption_cost_by_job.get(job.job_id)
        total_cost = (spent or 0.0) + preemption.cost
        if is_guaranteed:
            if preemption.victims and self._starts_soon(
                pending, without_preemption, state
            ):
                return False
        elif total_cost > self._max_cost(
            job,
            without_preemption,
            state,
            self._slowdown_ms(pending.step, preemption),
        ):
            return False
        self._commitments.preemption_cost_by_job[job.job_id] = total_cost
        self._planner.accept(preemption)
        reason = f'reclaimed for {job.job_id}'
        state.plan.stops += [Stop(run, reason) for run in preemption.victims]
        self._claims.withhold(pending.step, preemption.tasks_by_worker, state)
        return True

    def _slowdown_ms(self, step: jobs.Step, preemption: PreemptionPlan) -> int:
        tiers = self._estimator.speed_tiers
        if tiers.is_even:
            return 0
        return tiers.slowdown_ms(
            self._estimator.task_duration_ms(step),
            tiers.slowest_of(preemption.tasks_by_worker),
        )

    def _ids_above_urgent_work(
        self, pending: PendingStep, state: RoundState
    ) -> set[str]:
        """Return the ids of jobs that may preempt other urgent jobs now."""
        if pending.waited_ms < self._options.urgent_preemption_delay_ms:
            return set()
        return state.guaranteed_ids

    @staticmethod
    def _is_starting(task: jobs.Task, state: RoundState) -> bool:
        return any(start.task is task for start in state.plan.starts)

    def _starts_soon(
        self,
        pending: PendingStep,
        without_preemption: Reservation | None,
        state: RoundState,
    ) -> bool:
        """Whether guaranteed work can start soon without preemption.

        Expected ends of runs are inaccurate, so the step waits for them
        only briefly. It does not wait for workers that are too slow for it.
        """
        limit_ms = self._options.preemption_delay_ms
        return (
            without_preemption is not None
            and pending.waited_ms < limit_ms
            and without_preemption.start_ms - state.now_ms <= limit_ms
            and (
                self._speed_choice.is_even
                or self._speed_choice.ends_in_time(
                    pending.job,
                    self._estimator.speed_tiers.slowest_of(
                        without_preemption.tasks_by_worker
                    ),
                    state,
                )
            )
        )

    def _max_cost(
        self,
        job: jobs.Job,
        without_preemption: Reservation | None,
        state: RoundState,
        slowdown_ms: int = 0,
    ) -> float:
        """Return the highest preemption cost that pays off for a job.

        It is only a part of the expected gain in value, since the expected
        ends of other runs are inaccurate.

        :param without_preemption: earliest start without preemption.
        :param slowdown_ms: by how much the step takes longer on the workers
            of the preempted runs than on the fastest workers.
        """
        options = self._options
        deadlines = self._estimator.deadlines(job)
        share_with = deadlines.expected_share(
            state.wall_ms, options.stop_grace_ms + slowdown_ms
        )
        share_without = 0.0
        if without_preemption is not None:
            wait_ms = max(0, without_preemption.start_ms - state.now_ms)
            share_without = deadlines.expected_share(
                state.wall_ms, wait_ms + without_preemption.slowdown_ms
            )
        gain = self._estimator.on_time_value(job) * (
            share_with - share_without
        )
        return gain * options.max_cost_to_gain_ratio
