"""One planning round: which tasks start where, and which runs stop.

A job is urgent if it has the highest priority, ``0``. It is guaranteed if the
guaranteed accelerators of its account cover it as well.
"""

import typing as t

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues

from . import eligibility
from . import job_order
from . import valuation
from .capacity import WorkerCapacity
from .capacity_claims import blocks_urgent_jobs
from .capacity_claims import CapacityClaims
from .commitments import Commitments
from .failure_attribution import FailureAttribution
from .gangs import GangRuns
from .open_workers import OpenWorkers
from .options import PlanOptions
from .plan import Plan
from .plan import Stop
from .preemption import PreemptionPlanner
from .preemption_choice import PreemptionChoice
from .rack_wait import RackWait
from .ready_steps import ReadySteps
from .relocation import Relocation
from .reservation import ReservationFinder
from .round_state import PendingStep
from .round_state import RoundState
from .speed_choice import SpeedChoice
from .step_placement import GangPlacement
from .step_placement import StepPlacement
from .step_placement import SuspectPlacement
from .step_placement import TaskPlacement
from .urgent_load import UrgentLoad
from .waiting_steps import WaitingSteps


class JobPlanner:
    """Plans all jobs of a region.

    A round decides in this order: which runs have to move (``relocation``),
    what is kept free (``urgent_load``), who goes first (``job_order``), which
    steps are ready (``ready_steps``), which workers may be used
    (``eligibility``), where the tasks go (``step_placement``), and for those
    that do not fit what makes way (``preemption_choice``) or is reserved
    (``capacity_claims``).

    :param options: limits and cost factors.
    :ivar failure_attribution: records the runs that fail.
    """

    def __init__(self, options: PlanOptions) -> None:
        self.failure_attribution = FailureAttribution(options)
        self._commitments = Commitments()
        self._ready_steps = ReadySteps()
        self._gang_runs = GangRuns()
        self._estimator = valuation.Estimator(options, self._gang_runs)
        self._preemption_planner = PreemptionPlanner(options, self._estimator)
        self._reservation_finder = ReservationFinder(self._estimator)
        self._relocation = Relocation(
            options,
            self._estimator,
            self._gang_runs,
            self.failure_attribution,
        )
        self._urgent_load = UrgentLoad(options)
        self._job_order: job_order.JobOrder = job_order.TardinessOrder(
            self._estimator, self._commitments
        )
        self._claims = CapacityClaims(
            options, self._reservation_finder, self._commitments
        )
        speed_choice = SpeedChoice(self._estimator)
        preemption = PreemptionChoice(
            options,
            self._estimator,
            self._preemption_planner,
            speed_choice,
            self._claims,
            self._commitments,
        )
        waits = WaitingSteps(
            options, self._estimator, speed_choice, preemption, self._claims
        )
        rack_wait = RackWait(
            options, self._estimator, self._claims, self._commitments
        )
        self._gangs: StepPlacement = GangPlacement(
            speed_choice, rack_wait, waits, self._claims
        )
        self._tasks: StepPlacement = TaskPlacement(
            speed_choice, rack_wait, waits, self._claims
        )
        self._suspects: StepPlacement = SuspectPlacement(
            options, waits, self._claims
        )

    def plan(
        self,
        open_jobs: t.Iterable[jobs.Job],
        workers: list[WorkerCapacity],
        catalogue: catalogues.Catalogue,
        now_ms: int,
        wall_ms: int,
        *,
        may_preempt: bool = True,
        max_priority: int | None = None,
        evacuated: t.Collection[str] = frozenset(),
    ) -> Plan:
        """Run one planning round.

        The free capacity of the workers is reduced by the tasks that start
        and by reservations.

        :param open_jobs: jobs that are not final.
        :param now_ms: monotonic time.
        :param wall_ms: Unix time.
        :param may_preempt: whether runs may be preempted for other jobs. Runs
            on draining workers and stalled runs are stopped in any case.
        :param max_priority: highest priority number of the jobs that may
            start tasks; ``None`` if all may.
        :param evacuated: names of the data centres whose workers get no new
            work. Their runs continue.
        """
        ordered_jobs = list(open_jobs)
        open_ids = {job.job_id for job in ordered_jobs}
        self.failure_attribution.begin_round(workers, open_ids)
        fleet = OpenWorkers(workers, evacuated)
        self._gang_runs.begin_round(workers)
        self._estimator.begin_round(ordered_jobs, fleet.workers)
        self._reservation_finder.begin_round()
        for worker in workers:
            worker.begin_round()
        guaranteed_ids = job_order.guaranteed_ids(ordered_jobs, catalogue)
        self._urgent_load.observe(ordered_jobs, wall_ms)
        other_capacity = self._urgent_load.capacity_for_others(
            fleet.workers,
            (
                run
                for worker in fleet.workers
                for run in worker.run_by_key.values()
                if blocks_urgent_jobs(run.job, run.step)
            ),
            wall_ms,
        )
        state = RoundState(
            fleet,
            catalogue,
            now_ms,
            wall_ms,
            guaranteed_ids,
            may_preempt,
            max_priority,
            other_capacity,
        )
        for run, reason in self._relocation.runs_to_stop(workers, now_ms):
            state.plan.stops.append(Stop(run, reason))
        self._preemption_planner.begin_round(
            stop.run for stop in state.plan.stops
        )
        ordered_jobs.sort(key=lambda job: self._job_order.sort_key(job, state))
        self._commitments.begin_reservations()
        self._ready_steps.begin_round()
        for job in ordered_jobs:
            for pending in self._ready_steps.of(job, now_ms, wall_ms):
                self._place(pending, state)
        self._commitments.forget_others(open_ids)
        return state.plan

    def _place(self, pending: PendingStep, state: RoundState) -> None:
        """Start tasks of a step, or let it wait."""
        step, count = pending.step, len(pending.tasks)
        if not state.may_start(pending.job):
            reason = 'capacity is kept for runs whose workers are silent'
            state.block(pending, reason)
            return
        service = eligibility.service_of(pending.job, state.catalogue)
        if state.fleet.need_evacuated(
            step, service, count if step.is_gang else 1
        ):
            state.block(pending, 'data centre evacuated')
            return
        workers = eligibility.usable_workers(pending, state)
        if blocks_urgent_jobs(pending.job, step):
            allowed = state.other_capacity.fitting_count(step, count)
            if allowed < count and (step.is_gang or not allowed):
                self._claims.reserve(
                    pending, workers, state, in_one_rack=False
                )
                state.block(pending, 'capacity is kept for urgent jobs')
                return
            pending.tasks[allowed:] = []
        self._placement_of(pending).place(pending, workers, state)

    def _placement_of(self, pending: PendingStep) -> StepPlacement:
        if pending.is_suspect:
            return self._suspects
        return self._gangs if pending.step.is_gang else self._tasks
