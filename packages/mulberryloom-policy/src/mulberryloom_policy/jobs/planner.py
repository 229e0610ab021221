"""One planning round: which tasks start where, and which runs stop.

A job is urgent if it has the highest priority, ``0``. It is guaranteed if the
guaranteed accelerators of its account cover it as well.
"""

import collections
import itertools
import typing as t

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues

from . import crashes
from . import health
from . import placement
from . import probation
from . import valuation
from . import warm_placement
from .capacity import TaskDemand
from .capacity import WorkerCapacity
from .failure_attribution import FailureAttribution
from .gangs import GangRuns
from .open_workers import OpenWorkers
from .options import PlanOptions
from .plan import Plan
from .plan import Start
from .plan import Stop
from .preemption import PreemptionPlan
from .preemption import PreemptionPlanner
from .relocation import Relocation
from .reservation import Reservation
from .reservation import ReservationFinder
from .round_state import PendingStep
from .round_state import RoundState
from .speed_choice import SpeedChoice
from .speed_choice import WorkerGroup
from .speed_tiers import at_speed
from .urgent_load import UrgentLoad

#: Minimum number of accelerators of a task for which capacity is reserved.
_LARGE_TASK_ACCELERATORS = 4


class JobPlanner:
    """Plans all jobs of a region.

    :param options: limits and cost factors.
    :ivar failure_attribution: records the runs that fail.
    """

    def __init__(self, options: PlanOptions) -> None:
        self._options = options
        self.failure_attribution = FailureAttribution(options)
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
        self._speed_choice = SpeedChoice(self._estimator)
        # By id of the job, repetition and index of the step.
        self._pending_since_by_step: dict[tuple[str, int, int], int] = {}
        # Sum of the costs of all preemptions for an open job.
        self._preemption_cost_by_job: dict[str, float] = {}
        # Jobs with a gang for which the last round reserved capacity.
        self._reserved_ids: set[str] = set()

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
        guaranteed_ids = _guaranteed_ids(ordered_jobs, catalogue)
        self._urgent_load.observe(ordered_jobs, wall_ms)
        other_capacity = self._urgent_load.capacity_for_others(
            fleet.workers,
            (
                run
                for worker in fleet.workers
                for run in worker.run_by_key.values()
                if _blocks_urgent_jobs(run.job, run.step)
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
        ordered_jobs.sort(key=lambda job: self._sort_key(job, state))
        self._reserved_ids = set()
        pending_since_by_step: dict[tuple[str, int, int], int] = {}
        for job in ordered_jobs:
            for pending in self._pending_steps(
                job, now_ms, wall_ms, pending_since_by_step
            ):
                self._place(pending, state)
        self._pending_since_by_step = pending_since_by_step
        self._preemption_cost_by_job = {
            job_id: cost
            for job_id, cost in self._preemption_cost_by_job.items()
            if job_id in open_ids
        }
        return state.plan

    def _sort_key(self, job: jobs.Job, state: RoundState) -> tuple[t.Any, ...]:
        """Return the sort key of a job.

        Guaranteed jobs go before others. Within both groups, jobs that
        would complete without value go last, and the others by priority.
        Within a priority, jobs for which runs were preempted go first, so
        that no other job takes the freed capacity; then jobs that can
        complete in time go before late ones, each by their urgency. Gangs
        for which capacity was reserved keep their place, so that what
        becomes free for them is not taken again.
        """
        deadlines = self._estimator.deadlines(job)
        share = deadlines.value_share(state.wall_ms)
        is_guaranteed = job.job_id in state.guaranteed_ids
        return (
            not is_guaranteed,
            share == 0.0,
            job.terms.priority,
            job.job_id not in self._preemption_cost_by_job,
            -share,
            job.job_id not in self._reserved_ids,
            -self._estimator.urgency(job, state.wall_ms),
            job.accepted_ms,
        )

    def _pending_steps(
        self,
        job: jobs.Job,
        now_ms: int,
        wall_ms: int,
        pending_since_by_step: dict[tuple[str, int, int], int],
    ) -> t.Iterator[PendingStep]:
        """Yield the steps of a job that are ready and have tasks to start.

        A gang starts as a whole: it is left out while any of its tasks has a
        run.

        :param pending_since_by_step: receives the time since when each of
            them is pending.
        """
        for repetition in range(max(1, job.spec.repeats)):
            if job.due_ms(repetition) > wall_ms:
                break
            for step_index, step in enumerate(job.spec.steps):
                tasks = job.tasks_of(repetition, step_index)
                unstarted = [
                    task
                    for task in tasks
                    if not task.is_done and task.run is None
                ]
                if not unstarted or not _is_ready(job, repetition, step):
                    continue
                if step.is_gang and any(task.run for task in tasks):
                    continue
                key = (job.job_id, repetition, step_index)
                since_ms = self._pending_since_by_step.get(key, now_ms)
                pending_since_by_step[key] = since_ms
                for startable, is_suspect in _by_suspicion(step, unstarted):
                    yield PendingStep(
                        job,
                        repetition,
                        step_index,
                        step,
                        startable,
                        now_ms - since_ms,
                        is_suspect,
                    )

    # Placement

    def _place(self, pending: PendingStep, state: RoundState) -> None:
        if not state.may_start(pending.job):
            reason = 'capacity is kept for runs whose workers are silent'
            state.block(pending, reason)
            return
        eligible = self._eligible_workers(pending, state)
        step, count = pending.step, len(pending.tasks)
        service = service_of(pending.job, state.catalogue)
        if state.fleet.need_evacuated(
            step, service, count if step.is_gang else 1
        ):
            state.block(pending, 'data centre evacuated')
            return
        if any(task.failures for task in pending.tasks):
            eligible = health.without_suspects(
                step, count if step.is_gang else 1, eligible
            )
        if pending.is_suspect:
            eligible = probation.on_other_vms(pending.tasks, step, eligible)
        if state.has_probation:
            eligible = [w for w in eligible if not w.is_on_probation]
        if _blocks_urgent_jobs(pending.job, step):
            allowed = state.other_capacity.fitting_count(step, count)
            if allowed < count and (step.is_gang or not allowed):
                self._reserve(pending, eligible, state, in_one_rack=False)
                state.block(pending, 'capacity is kept for urgent jobs')
                return
            pending.tasks[allowed:] = []
        if pending.is_suspect:
            self._place_suspects(pending, eligible, state)
        elif step.is_gang:
            self._place_gang(pending, eligible, state)
        else:
            self._place_tasks(pending, eligible, state)

    def _place_suspects(
        self,
        pending: PendingStep,
        eligible: list[WorkerCapacity],
        state: RoundState,
    ) -> None:
        """Place tasks that may crash their workers, each on probation.

        While no worker suits them, they wait like other tasks that do not
        fit; what is reserved or preempted for them keeps other tasks from
        starting there.
        """
        assigned = probation.assign(
            pending.step,
            pending.tasks,
            probation.settled_workers(eligible, state.now_ms),
            placement.task_count_by_worker(
                pending.job, pending.repetition, pending.step_index
            ),
            state.now_ms,
            self._options,
        )
        for task, worker in assigned:
            self._start(state, pending, task, worker)
        del pending.tasks[: len(assigned)]
        if pending.tasks:
            self._preempt_or_reserve(
                pending, eligible, state, in_one_rack=False
            )

    def _eligible_workers(
        self, pending: PendingStep, state: RoundState
    ) -> list[WorkerCapacity]:
        service = service_of(pending.job, state.catalogue)
        key = (service, TaskDemand.from_step(pending.step))
        eligible = state.eligible_by_demand.get(key)
        if eligible is None:
            eligible = placement.eligible_workers(
                pending.step, service, state.workers, state.now_ms
            )
            state.eligible_by_demand[key] = eligible
        step = pending.step
        count = len(pending.tasks) if step.is_gang else 1
        return health.without_unresponsive(step, count, eligible)

    def _place_gang(
        self,
        pending: PendingStep,
        eligible: list[WorkerCapacity],
        state: RoundState,
    ) -> None:
        preferred = self._preferred_workers(pending, eligible, state)
        in_one_rack = pending.step.is_same_rack
        assignment = self._find_assignment(
            pending, preferred, state, in_one_rack=in_one_rack
        )
        if (
            assignment is None
            and in_one_rack
            and not self._requires_one_rack(pending, preferred, state)
        ):
            in_one_rack = False
            assignment = self._find_assignment(
                pending, preferred, state, in_one_rack=False
            )
        if assignment is None:
            self._preempt_or_reserve(
                pending, preferred, state, in_one_rack=in_one_rack
            )
            return
        if self._awaits_faster_workers(
            pending, assignment, preferred, state, in_one_rack=in_one_rack
        ):
            return
        for task, worker in zip(pending.tasks, assignment, strict=True):
            self._start(state, pending, task, worker)

    def _find_assignment(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
        *,
        in_one_rack: bool,
    ) -> placement.Assignment | None:
        """Return workers with free capacity for all tasks of a gang."""
        choice = self._speed_choice
        groups: t.Iterable[WorkerGroup] = choice.groups(
            pending, workers, state
        )
        if not choice.is_even:
            # Most searches find nothing; one on all workers tells.
            first = choice.all_workers(pending, workers, state)
            groups = itertools.chain([first], groups)
        for number, group in enumerate(groups):
            assignment = _finder(pending, group, state).find(
                lambda candidates: placement.place_gang(
                    pending.step,
                    len(pending.tasks),
                    candidates,
                    in_one_rack=in_one_rack,
                )
            )
            is_trial = number == 0 and not choice.is_even
            if is_trial == (assignment is None):
                return assignment
        return None

    def _awaits_faster_workers(
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
        if fast and self._preempt(
            pending, workers, state, in_one_rack, only_on=fast
        ):
            state.block(pending, 'waiting for stopping runs to end')
            return True
        reservation = self._find_reservation(
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
            and self._reserve(pending, workers, state, in_one_rack)
        ):
            state.block(pending, 'waiting for faster workers')
            return True
        return False

    def _place_tasks(
        self,
        pending: PendingStep,
        eligible: list[WorkerCapacity],
        state: RoundState,
    ) -> None:
        step = pending.step
        count_by_worker = placement.task_count_by_worker(
            pending.job, pending.repetition, pending.step_index
        )
        preferred = self._preferred_workers(pending, eligible, state)
        unplaced = collections.deque(pending.tasks)
        is_late = False
        for group in self._speed_choice.groups(pending, preferred, state):
            finder = _finder(pending, group, state)
            while unplaced:
                worker = finder.find_one(
                    lambda candidates: placement.place_task(
                        step, candidates, count_by_worker
                    )
                )
                if worker is None:
                    break
                if group.is_late and not is_late:
                    is_late = True
                    if self._awaits_faster_workers(
                        pending, [worker], preferred, state, in_one_rack=False
                    ):
                        return
                count_by_worker[worker.worker] += 1
                self._start(state, pending, unplaced.popleft(), worker)
        if unplaced:
            self._preempt_or_reserve(
                pending, preferred, state, in_one_rack=False
            )

    def _preferred_workers(
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

    def _requires_one_rack(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> bool:
        """Whether a gang still waits for capacity in a single rack.

        Across racks it takes longer, and so much more of the fleet: it waits
        as long as it is expected to end earlier in one rack. Guaranteed work
        waits no longer than its guarantee allows, and no work waits for long
        while most of the fleet is idle.
        """
        step, count = pending.step, len(pending.tasks)
        if not placement.fits_one_rack(step, count, workers):
            return False
        is_wait_over = pending.waited_ms >= self._options.max_idle_wait_ms
        if is_wait_over and placement.have_ample_room(step, count, workers):
            return False
        if pending.job.job_id in state.guaranteed_ids:
            return pending.waited_ms < self._max_rack_wait_ms(pending, state)
        in_one_rack = self._find_reservation(
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

    def _start(
        self,
        state: RoundState,
        pending: PendingStep,
        task: jobs.Task,
        worker: WorkerCapacity,
    ) -> None:
        worker.commit(pending.step)
        worker.has_starts = True
        if pending.is_suspect:
            worker.is_on_probation = True
            state.has_probation = True
        self._reservation_finder.add_start(pending.step, worker, state.now_ms)
        if _blocks_urgent_jobs(pending.job, pending.step):
            state.other_capacity.occupy(pending.step)
        state.plan.starts.append(Start(pending.job, task, worker))

    # Steps that do not fit

    def _preempt_or_reserve(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
        *,
        in_one_rack: bool,
    ) -> None:
        """Preempt less urgent runs or reserve capacity, and record why."""
        if self._preempt(pending, workers, state, in_one_rack):
            reason = 'waiting for stopping runs to end'
        elif self._reserve(pending, workers, state, in_one_rack):
            reason = 'waiting for reserved capacity'
        else:
            reason = 'not enough free capacity'
        state.block(pending, reason)

    def _preempt(
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
        spent = self._preemption_cost_by_job.get(job.job_id)
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
        without_preemption = self._find_reservation(
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
        preemption = self._preemption_planner.find(
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
        spent = self._preemption_cost_by_job.get(job.job_id)
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
        self._preemption_cost_by_job[job.job_id] = total_cost
        self._preemption_planner.accept(preemption)
        reason = f'reclaimed for {job.job_id}'
        state.plan.stops += [Stop(run, reason) for run in preemption.victims]
        self._commit(pending.step, preemption.tasks_by_worker, state)
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

    def _reserve(
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
        reservation = self._find_reservation(
            pending, count, workers, state, in_one_rack=in_one_rack
        )
        if reservation is None:
            return False
        state.reservations.append(reservation)
        if step.is_gang:
            self._reserved_ids.add(pending.job.job_id)
        self._commit(step, reservation.tasks_by_worker, state)
        return True

    def _find_reservation(
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
            pending.reservation_by_key[key] = self._reservation_finder.find(
                pending.step,
                count,
                workers,
                state.now_ms,
                in_one_rack=in_one_rack,
            )
        return pending.reservation_by_key[key]

    def _commit(
        self,
        step: jobs.Step,
        tasks_by_worker: dict[str, int],
        state: RoundState,
    ) -> None:
        """Withhold capacity from the other steps of this round."""
        self._reservation_finder.forget_slots()
        for worker in state.workers:
            worker.commit(step, tasks_by_worker.get(worker.worker, 0))


def _finder(
    pending: PendingStep, group: WorkerGroup, state: RoundState
) -> warm_placement.PlacementFinder:
    """Return the search for workers of one group."""
    return warm_placement.PlacementFinder(
        pending.job, group.workers, group.end_ms - state.now_ms, state
    )


def service_of(job: jobs.Job, catalogue: catalogues.Catalogue) -> str:
    """Return the service whose workers run a job.

    Jobs of a queue that was removed from the configuration keep the service
    with which they were accepted.
    """
    queue = catalogue.queue_by_name.get(job.terms.queue)
    return queue.service if queue else job.terms.service


def _blocks_urgent_jobs(job: jobs.Job, step: jobs.Step) -> bool:
    """Whether a run of a step makes way for urgent jobs only at a loss.

    Other runs that are not urgent save their work when they are stopped.
    """
    return job.terms.priority != 0 and not step.is_checkpointed


def _by_suspicion(
    step: jobs.Step, tasks: list[jobs.Task]
) -> t.Iterator[tuple[list[jobs.Task], bool]]:
    """Yield the tasks that start like any other, then the suspect ones.

    A gang starts as a whole, so that one suspect member makes it suspect.
    """
    suspects = [task for task in tasks if crashes.is_suspect(task)]
    if not suspects or step.is_gang:
        yield tasks, bool(suspects)
        return
    others = [task for task in tasks if not crashes.is_suspect(task)]
    if others:
        yield others, False
    yield suspects, True


def _is_ready(job: jobs.Job, repetition: int, step: jobs.Step) -> bool:
    """Whether all steps on which a step depends are done."""
    return all(
        task.is_done
        for earlier in step.after
        for task in job.tasks_of(repetition, earlier)
    )


def _guaranteed_ids(
    open_jobs: list[jobs.Job], catalogue: catalogues.Catalogue
) -> set[str]:
    """Return the ids of urgent jobs that their account's guarantee covers.

    A job counts with the accelerators of its largest step. Jobs use up the
    guarantee in the order of their acceptance, including those that exceed
    it.
    """
    used_by_account: collections.Counter[str] = collections.Counter()
    guaranteed_ids = set()
    urgent = [job for job in open_jobs if job.terms.priority == 0]
    for job in sorted(urgent, key=lambda job: job.accepted_ms):
        account = catalogue.account_by_name.get(job.terms.account)
        if account is None:
            continue
        needed = max(
            (step.tasks * step.accelerators for step in job.spec.steps),
            default=0,
        )
        used_by_account[account.name] += needed
        if used_by_account[account.name] <= account.guaranteed_accelerators:
            guaranteed_ids.add(job.job_id)
    return guaranteed_ids
