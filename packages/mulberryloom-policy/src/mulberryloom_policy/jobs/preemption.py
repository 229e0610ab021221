"""Selection of the runs to preempt for an urgent gang or task.

A job is urgent if it has the highest priority, ``0``. A slot is room for one
task of the urgent step. A run is ending if it is stopping already or if this
round stops it.
"""

import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from . import valuation
from .capacity import ActiveRun
from .capacity import RunKey
from .capacity import WorkerCapacity
from .options import PlanOptions


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Capacity for urgent tasks and the runs to preempt for it.

    :param tasks_by_worker: number of tasks that each worker receives.
    :param victims: runs to preempt; empty if runs that are already
        stopping will free enough capacity.
    :param cost: sum of the preemption costs of the victims.
    """

    tasks_by_worker: dict[str, int]
    victims: list[ActiveRun]
    cost: float


class PreemptionPlanner:
    """Finds the capacity for urgent work with the lowest preemption cost.

    :param options: limits and cost factors.
    :param estimator: expected durations and values.
    """

    def __init__(
        self, options: PlanOptions, estimator: valuation.Estimator
    ) -> None:
        self._options = options
        self._estimator = estimator
        self._ending: set[RunKey] = set()
        self._cost_by_key: dict[RunKey, float] = {}
        self._candidates_by_worker: dict[str, list[ActiveRun]] = {}
        self._guaranteed_ids: set[str] = set()

    def begin_round(self, ending: t.Iterable[ActiveRun]) -> None:
        """Clear the caches of the last planning round.

        :param ending: runs that this round stops for other reasons.
        """
        self._ending = {run.key for run in ending}
        self._cost_by_key.clear()
        self._candidates_by_worker.clear()

    def accept(self, preemption: PreemptionPlan) -> None:
        """Treat the victims of a preemption as ending from now on."""
        self._ending.update(run.key for run in preemption.victims)

    def find(
        self,
        job: jobs.Job,
        step: jobs.Step,
        count: int,
        workers: list[WorkerCapacity],
        now_ms: int,
        wall_ms: int,
        guaranteed_ids: set[str],
        *,
        in_one_rack: bool,
    ) -> PreemptionPlan | None:
        """Return the cheapest preemption for a number of tasks of a step.

        :param workers: workers that may receive the tasks.
        :param guaranteed_ids: ids of the guaranteed jobs, which preempt
            other urgent jobs as well.
        :param in_one_rack: whether all tasks have to share a rack.
        """
        self._guaranteed_ids = guaranteed_ids
        groups: t.Iterable[list[WorkerCapacity]] = [workers]
        if in_one_rack:
            by_rack: dict[str, list[WorkerCapacity]] = {}
            for worker in workers:
                by_rack.setdefault(worker.rack, []).append(worker)
            groups = by_rack.values()
        preemptions = [
            preemption
            for group in groups
            for preemption in [
                self._cheapest(job, step, count, group, now_ms, wall_ms)
            ]
            if preemption is not None
        ]
        return min(preemptions, key=lambda item: item.cost, default=None)

    def _cheapest(
        self,
        job: jobs.Job,
        step: jobs.Step,
        count: int,
        workers: list[WorkerCapacity],
        now_ms: int,
        wall_ms: int,
    ) -> PreemptionPlan | None:
        """Take the cheapest slots of a group of workers, if enough exist."""
        slots: list[tuple[float, str, list[ActiveRun]]] = []
        for worker in workers:
            slots += self._slots(job, step, worker, now_ms, wall_ms)
        slots.sort(key=lambda slot: slot[0])
        tiers = self._estimator.speed_tiers
        if not tiers.is_even:
            slots.sort(key=lambda slot: (slot[0], -tiers.speed_of(slot[1])))
        if len(slots) < count:
            return None
        tasks_by_worker: dict[str, int] = {}
        victims: dict[RunKey, ActiveRun] = {}
        for _, name, slot_victims in slots[:count]:
            tasks_by_worker[name] = tasks_by_worker.get(name, 0) + 1
            victims.update((run.key, run) for run in slot_victims)
        cost = sum(
            self._cost(run, now_ms, wall_ms) for run in victims.values()
        )
        return PreemptionPlan(tasks_by_worker, list(victims.values()), cost)

    def _slots(
        self,
        job: jobs.Job,
        step: jobs.Step,
        worker: WorkerCapacity,
        now_ms: int,
        wall_ms: int,
    ) -> list[tuple[float, str, list[ActiveRun]]]:
        """Return slots for single tasks on a worker, by rising cost.

        Each slot has the cumulative cost up to it, the worker's id and the
        victims in addition to those of the slots before it.
        """
        capacity = worker.free_capacity()
        for run in worker.run_by_key.values():
            if self._is_ending(run):
                capacity.release(run.step)
        slots: list[tuple[float, str, list[ActiveRun]]] = []
        slots += [(0.0, worker.worker, [])] * capacity.fitting_count(step)
        slot_victims: list[ActiveRun] = []
        cost = 0.0
        for victim in self._candidates(worker, now_ms, wall_ms):
            if len(slots) >= step.tasks:
                break
            if self._is_ending(victim) or not self._is_preemptible(
                victim, job
            ):
                continue
            capacity.release(victim.step)
            slot_victims.append(victim)
            cost += self._cost(victim, now_ms, wall_ms)
            fits = capacity.fitting_count(step)
            if fits > len(slots):
                # The first new slot lists the victims for all new slots.
                slots.append((cost, worker.worker, slot_victims))
                slots += [(cost, worker.worker, [])] * (fits - len(slots))
                slot_victims = []
        return slots

    def _is_ending(self, run: ActiveRun) -> bool:
        return run.is_stopping or run.key in self._ending

    def _is_preemptible(self, run: ActiveRun, urgent: jobs.Job) -> bool:
        """Whether a run may be preempted for an urgent job.

        The job needs a higher priority, that is, a lower number, or a
        guarantee that the run does not have. Runs that last until their job
        is cancelled are never preempted.
        """
        if run.step.is_lasting:
            return False
        if run.job.terms.priority > urgent.terms.priority:
            return True
        return (
            urgent.job_id in self._guaranteed_ids
            and run.job.job_id not in self._guaranteed_ids
        )

    def _candidates(
        self, worker: WorkerCapacity, now_ms: int, wall_ms: int
    ) -> list[ActiveRun]:
        """Return a worker's runs, lowest cost per core first."""
        candidates = self._candidates_by_worker.get(worker.worker)
        if candidates is None:
            candidates = sorted(
                (run for run in worker.run_by_key.values()),
                key=lambda run: self._cost_per_core(run, now_ms, wall_ms),
            )
            self._candidates_by_worker[worker.worker] = candidates
        return candidates

    def _cost_per_core(
        self, run: ActiveRun, now_ms: int, wall_ms: int
    ) -> float:
        """Return the preemption cost relative to the capacity it frees."""
        size = valuation.core_equivalents(run.step, self._options) or 1.0
        return self._cost(run, now_ms, wall_ms) / size

    def _cost(self, run: ActiveRun, now_ms: int, wall_ms: int) -> float:
        """Return the preemption cost of a run, from a cache."""
        cost = self._cost_by_key.get(run.key)
        if cost is None:
            cost = self._compute_cost(run, now_ms, wall_ms)
            self._cost_by_key[run.key] = cost
        return cost

    def _compute_cost(
        self, run: ActiveRun, now_ms: int, wall_ms: int
    ) -> float:
        """Return the preemption cost of a run, in units of job value.

        It is the sum of a fixed cost, the cost of the lost work and the
        value that the job loses by completing later: by the grace period,
        the work to repeat and the wait for new capacity. A gang loses the
        work of all of its members.
        """
        options = self._options
        lost_core_s = valuation.lost_core_seconds(run, now_ms, options)
        members = 1
        if run.step.is_gang:
            members = run.step.tasks
        deadlines = self._estimator.deadlines(run.job)
        remaining_ms = self._estimator.run_remaining_ms(run, now_ms)
        redo_ms = 0 if run.step.is_checkpointed else now_ms - run.started_ms
        delay_ms = options.stop_grace_ms + redo_ms + options.restart_wait_ms
        share = deadlines.value_share_at(wall_ms + remaining_ms)
        delayed_share = deadlines.value_share_at(
            wall_ms + remaining_ms + delay_ms
        )
        lost_value = self._estimator.on_time_value(run.job) * (
            share - delayed_share
        )
        lost_work_cost = members * lost_core_s * options.lost_core_second_cost
        return options.base_preemption_cost + lost_work_cost + lost_value
