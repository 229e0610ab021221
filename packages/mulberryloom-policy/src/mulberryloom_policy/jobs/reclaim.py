"""Which runs stop so that an urgent gang or task can start."""

import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from . import worth
from .options import PlanOptions
from .room import ActiveRun
from .room import RunKey
from .room import WorkerRoom


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """Room for tasks, and what has to stop for it.

    :param tasks_by_worker: how many tasks each worker gets.
    :param victims: runs to be stopped; empty if enough is coming free.
    :param cost: worth that is lost by stopping them.
    """

    tasks_by_worker: dict[str, int]
    victims: list[ActiveRun]
    cost: float


class Reclaimer:
    """Finds the cheapest room for urgent work.

    :param options: limits and weights.
    :param estimator: expected durations.
    """

    def __init__(
        self, options: PlanOptions, estimator: worth.Estimator
    ) -> None:
        self._options = options
        self._estimator = estimator
        self._ending: set[RunKey] = set()
        self._cost_by_key: dict[RunKey, float] = {}
        self._candidates_by_worker: dict[str, list[ActiveRun]] = {}

    def begin_round(self, ending: t.Iterable[ActiveRun]) -> None:
        """Forget what was worked out for an earlier time.

        :param ending: runs that this round stops anyway.
        """
        self._ending = {run.key for run in ending}
        self._cost_by_key.clear()
        self._candidates_by_worker.clear()

    def accept(self, clearance: Clearance) -> None:
        """Count the victims of a clearance as ending from now on."""
        self._ending.update(run.key for run in clearance.victims)

    def find(
        self,
        job: jobs.Job,
        step: jobs.Step,
        count: int,
        workers: list[WorkerRoom],
        now_ms: int,
        wall_ms: int,
        *,
        in_one_rack: bool,
    ) -> Clearance | None:
        """Return the cheapest room for so many tasks, if there is any.

        :param workers: workers that may get them.
        :param in_one_rack: whether they have to share a rack.
        """
        groups: t.Iterable[list[WorkerRoom]] = [workers]
        if in_one_rack:
            by_rack: dict[str, list[WorkerRoom]] = {}
            for worker in workers:
                by_rack.setdefault(worker.rack, []).append(worker)
            groups = by_rack.values()
        found = [
            clearance
            for group in groups
            for clearance in [
                self._clear(job, step, count, group, now_ms, wall_ms)
            ]
            if clearance is not None
        ]
        return min(found, key=lambda item: item.cost, default=None)

    def _clear(
        self,
        job: jobs.Job,
        step: jobs.Step,
        count: int,
        workers: list[WorkerRoom],
        now_ms: int,
        wall_ms: int,
    ) -> Clearance | None:
        """Take the cheapest slots of some workers until there are enough."""
        slots: list[tuple[float, str, list[ActiveRun]]] = []
        for worker in workers:
            slots += self._slots(job, step, worker, now_ms, wall_ms)
        slots.sort(key=lambda slot: slot[0])
        if len(slots) < count:
            return None
        tasks_by_worker: dict[str, int] = {}
        victims: dict[RunKey, ActiveRun] = {}
        for _, name, stopped in slots[:count]:
            tasks_by_worker[name] = tasks_by_worker.get(name, 0) + 1
            victims.update((run.key, run) for run in stopped)
        cost = sum(
            self._cost(run, now_ms, wall_ms) for run in victims.values()
        )
        return Clearance(tasks_by_worker, list(victims.values()), cost)

    def _slots(
        self,
        job: jobs.Job,
        step: jobs.Step,
        worker: WorkerRoom,
        now_ms: int,
        wall_ms: int,
    ) -> list[tuple[float, str, list[ActiveRun]]]:
        """Return places for single tasks on a worker, by rising cost.

        Each place names the runs that stop in addition to those of the
        places before it.
        """
        room = worker.free_room()
        for run in worker.run_by_key.values():
            if self._is_ending(run):
                room.add(run.step)
        slots: list[tuple[float, str, list[ActiveRun]]] = []
        slots += [(0.0, worker.worker, [])] * room.fitting(step)
        pending: list[ActiveRun] = []
        cost = 0.0
        for victim in self._candidates(worker, now_ms, wall_ms):
            if len(slots) >= step.tasks:
                break
            if self._is_ending(victim) or not _may_stop(victim, job):
                continue
            room.add(victim.step)
            pending.append(victim)
            cost += self._cost(victim, now_ms, wall_ms)
            fits = room.fitting(step)
            if fits > len(slots):
                # The first of these places bears the cost of all.
                slots.append((cost, worker.worker, pending))
                slots += [(cost, worker.worker, [])] * (fits - len(slots))
                pending = []
        return slots

    def _is_ending(self, run: ActiveRun) -> bool:
        return run.is_stopping or run.key in self._ending

    def _candidates(
        self, worker: WorkerRoom, now_ms: int, wall_ms: int
    ) -> list[ActiveRun]:
        """Return a worker's runs, those that lose least first."""
        known = self._candidates_by_worker.get(worker.worker)
        if known is None:
            known = sorted(
                (run for run in worker.run_by_key.values()),
                key=lambda run: self._density(run, now_ms, wall_ms),
            )
            self._candidates_by_worker[worker.worker] = known
        return known

    def _density(self, run: ActiveRun, now_ms: int, wall_ms: int) -> float:
        """Return the cost of stopping a run for the room that it gives."""
        room = worth.cores(run.step, self._options) or 1.0
        return self._cost(run, now_ms, wall_ms) / room

    def _cost(self, run: ActiveRun, now_ms: int, wall_ms: int) -> float:
        """Return the worth that is lost when a run stops."""
        known = self._cost_by_key.get(run.key)
        if known is None:
            known = self._work_out_cost(run, now_ms, wall_ms)
            self._cost_by_key[run.key] = known
        return known

    def _work_out_cost(
        self, run: ActiveRun, now_ms: int, wall_ms: int
    ) -> float:
        options = self._options
        lost = worth.lost_core_seconds(run, now_ms, options)
        members = 1
        if run.step.is_gang:
            members = run.step.tasks
        prospect = self._estimator.prospect(run.job)
        left_ms = self._estimator.run_left_ms(run, now_ms)
        redo_ms = 0 if run.step.is_checkpointed else now_ms - run.started_ms
        delay_ms = options.stop_grace_ms + redo_ms + options.restart_wait_ms
        before = prospect.share_at(wall_ms + left_ms)
        after = prospect.share_at(wall_ms + left_ms + delay_ms)
        harm = self._estimator.weight(run.job) * (before - after)
        waste = members * lost * options.core_second_worth
        return options.stop_cost + waste + harm


def _may_stop(run: ActiveRun, urgent: jobs.Job) -> bool:
    """Whether a run may give way to an urgent job."""
    return (
        run.job.terms.priority > urgent.terms.priority
        and not run.step.is_lasting
    )
