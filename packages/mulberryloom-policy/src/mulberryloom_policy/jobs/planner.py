"""One planning round: which tasks start where, and what has to stop."""

import collections
import dataclasses
import typing as t

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues

from . import placement
from . import worth
from .evacuation import Evacuation
from .options import PlanOptions
from .reclaim import Reclaimer
from .reservation import Reservation
from .reservation import Reserver
from .room import ActiveRun
from .room import WorkerRoom

#: Accelerators of one task from which on room is kept for it.
_LARGE_TASK_ACCELERATORS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A task that starts on a worker."""

    job: jobs.Job
    task: jobs.Task
    worker: WorkerRoom


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A run that stops to make room.

    :param reason: short text for the log.
    """

    run: ActiveRun
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """A step whose turn has come and that does not fit.

    :param reason: short text for the log.
    """

    job: jobs.Job
    step_index: int
    reason: str


@dataclasses.dataclass(slots=True)
class Plan:
    """What one round decided."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    blocked: list[Blocked] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """Tasks of one step whose turn has come.

    :param waited_ms: for how long.
    """

    job: jobs.Job
    repetition: int
    step_index: int
    step: jobs.Step
    tasks: list[jobs.Task]
    waited_ms: int


@dataclasses.dataclass(slots=True)
class _Round:
    """What one round works on."""

    workers: list[WorkerRoom]
    catalogue: catalogues.Catalogue
    now_ms: int
    wall_ms: int
    entitled_ids: set[str]
    may_stop: bool
    plan: Plan = dataclasses.field(default_factory=Plan)
    reservations: list[Reservation] = dataclasses.field(default_factory=list)


class JobPlanner:
    """Plans all jobs of a region.

    :param options: limits and weights.
    """

    def __init__(self, options: PlanOptions) -> None:
        self._options = options
        self._estimator = worth.Estimator(options)
        self._reclaimer = Reclaimer(options, self._estimator)
        self._reserver = Reserver(self._estimator)
        self._evacuation = Evacuation(options, self._estimator)
        self._since_by_step: dict[tuple[str, int, int], int] = {}
        self._spent_by_job: dict[str, float] = {}

    def plan(
        self,
        open_jobs: t.Iterable[jobs.Job],
        workers: list[WorkerRoom],
        catalogue: catalogues.Catalogue,
        now_ms: int,
        wall_ms: int,
        *,
        may_stop: bool = True,
    ) -> Plan:
        """Decide one round.

        The workers' free room is reduced by what starts and by what is
        kept.

        :param open_jobs: jobs that are not final.
        :param may_stop: whether runs may be stopped for others.
        """
        waiting_jobs = list(open_jobs)
        self._estimator.begin_round(waiting_jobs)
        for worker in workers:
            worker.begin_round()
        entitled_ids = _entitled(waiting_jobs, catalogue)
        current = _Round(
            workers, catalogue, now_ms, wall_ms, entitled_ids, may_stop
        )
        for run, reason in self._evacuation.leaving(workers, now_ms):
            current.plan.stops.append(Stop(run, reason))
        self._reclaimer.begin_round(stop.run for stop in current.plan.stops)
        waiting_jobs.sort(key=lambda job: self._turn(job, current))
        seen: dict[tuple[str, int, int], int] = {}
        for job in waiting_jobs:
            for waiting in self._waiting(job, now_ms, wall_ms, seen):
                self._place(waiting, current)
        self._since_by_step = seen
        open_ids = {job.job_id for job in waiting_jobs}
        self._spent_by_job = {
            job_id: spent
            for job_id, spent in self._spent_by_job.items()
            if job_id in open_ids
        }
        return current.plan

    def _turn(self, job: jobs.Job, current: _Round) -> tuple[t.Any, ...]:
        """Return the sort key of a job.

        Guaranteed jobs go first, then urgency. Among equals go those that
        room was cleared for, so that no other takes it, then those that
        can still be in time, by their latest start, then those that can
        still be of use.
        """
        prospect = self._estimator.prospect(job)
        share = prospect.share(current.wall_ms)
        is_entitled = job.job_id in current.entitled_ids
        return (
            not is_entitled,
            share == 0.0,
            job.terms.priority,
            job.job_id not in self._spent_by_job,
            -share,
            prospect.slack_ms(current.wall_ms),
            job.accepted_ms,
        )

    def _waiting(
        self,
        job: jobs.Job,
        now_ms: int,
        wall_ms: int,
        seen: dict[tuple[str, int, int], int],
    ) -> t.Iterator[_Waiting]:
        for repetition in range(max(1, job.spec.repeats)):
            if job.due_ms(repetition) > wall_ms:
                break
            for step_index, step in enumerate(job.spec.steps):
                tasks = job.tasks_of(repetition, step_index)
                idle = [x for x in tasks if not x.is_done and x.run is None]
                if not idle or not _is_ready(job, repetition, step):
                    continue
                if step.is_gang and any(task.run for task in tasks):
                    continue
                key = (job.job_id, repetition, step_index)
                since_ms = self._since_by_step.get(key, now_ms)
                seen[key] = since_ms
                yield _Waiting(
                    job, repetition, step_index, step, idle, now_ms - since_ms
                )

    # Placement

    def _place(self, waiting: _Waiting, current: _Round) -> None:
        candidates = self._candidates(waiting, current)
        if waiting.step.is_gang:
            self._place_gang(waiting, candidates, current)
        else:
            self._place_each(waiting, candidates, current)

    def _candidates(
        self, waiting: _Waiting, current: _Round
    ) -> list[WorkerRoom]:
        service = service_of(waiting.job, current.catalogue)
        return placement.eligible(
            waiting.step, service, current.workers, current.now_ms
        )

    def _place_gang(
        self,
        waiting: _Waiting,
        candidates: list[WorkerRoom],
        current: _Round,
    ) -> None:
        step, count = waiting.step, len(waiting.tasks)
        near = self._near(waiting, candidates, current)
        in_one_rack = self._wants_one_rack(waiting, near, current)
        with _Lifted(current, self._end_ms(step, current)):
            found = placement.place_gang(
                step, count, near, in_one_rack=in_one_rack
            )
        if found is None:
            self._make_room(waiting, near, current, in_one_rack=in_one_rack)
            return
        for task, worker in zip(waiting.tasks, found, strict=True):
            self._start(current, waiting, task, worker)

    def _place_each(
        self,
        waiting: _Waiting,
        candidates: list[WorkerRoom],
        current: _Round,
    ) -> None:
        step = waiting.step
        present = placement.counts_by_worker(
            waiting.job, waiting.repetition, waiting.step_index
        )
        near = self._near(waiting, candidates, current)
        end_ms = self._end_ms(step, current)
        left = len(waiting.tasks)
        for task in waiting.tasks:
            with _Lifted(current, end_ms):
                worker = placement.place_one(step, near, present)
            if worker is None:
                break
            present[worker.worker] += 1
            left -= 1
            self._start(current, waiting, task, worker)
        if left:
            self._make_room(waiting, near, current, in_one_rack=False)

    def _near(
        self,
        waiting: _Waiting,
        candidates: list[WorkerRoom],
        current: _Round,
    ) -> list[WorkerRoom]:
        """Return the workers near the data, while waiting for them pays."""
        step = waiting.step
        if not step.rack:
            return candidates
        near = [worker for worker in candidates if worker.rack == step.rack]
        if near and waiting.waited_ms < self._detour_ms(waiting, current):
            return near
        return candidates

    def _detour_ms(self, waiting: _Waiting, current: _Round) -> int:
        """Return how long waiting for the right rack is worth it.

        Elsewhere the work takes longer; guaranteed work does not wait
        beyond what its guarantee allows.
        """
        options = self._options
        longer = options.spread_factor - 1
        limit_ms = int(longer * self._estimator.step_ms(waiting.step)) // 2
        if waiting.job.job_id in current.entitled_ids:
            return min(limit_ms, options.spread_wait_ms)
        return limit_ms

    def _wants_one_rack(
        self,
        waiting: _Waiting,
        candidates: list[WorkerRoom],
        current: _Round,
    ) -> bool:
        """Whether a gang waits for room in one rack."""
        return (
            waiting.step.is_same_rack
            and waiting.waited_ms < self._detour_ms(waiting, current)
            and placement.fits_one_rack(
                waiting.step, len(waiting.tasks), candidates
            )
        )

    def _end_ms(self, step: jobs.Step, current: _Round) -> int:
        """Return when a task that starts now is expected to end."""
        return current.now_ms + self._estimator.step_ms(step)

    def _start(
        self,
        current: _Round,
        waiting: _Waiting,
        task: jobs.Task,
        worker: WorkerRoom,
    ) -> None:
        worker.promise(waiting.step)
        current.plan.starts.append(Start(waiting.job, task, worker))

    # What does not fit

    def _make_room(
        self,
        waiting: _Waiting,
        candidates: list[WorkerRoom],
        current: _Round,
        *,
        in_one_rack: bool,
    ) -> None:
        """Stop less urgent work, or keep room for later."""
        if self._reclaim(waiting, candidates, current, in_one_rack):
            reason = 'room is being cleared'
        elif self._reserve(waiting, candidates, current, in_one_rack):
            reason = 'room is kept'
        else:
            reason = 'no room'
        current.plan.blocked.append(
            Blocked(waiting.job, waiting.step_index, reason)
        )

    def _reclaim(
        self,
        waiting: _Waiting,
        candidates: list[WorkerRoom],
        current: _Round,
        in_one_rack: bool,
    ) -> bool:
        job = waiting.job
        if job.terms.priority != 0 or not current.may_stop:
            return False
        idle = [
            task
            for task in waiting.tasks
            if task.run is None and not self._is_starting(task, current)
        ]
        clearance = self._reclaimer.find(
            job,
            waiting.step,
            len(idle),
            candidates,
            current.now_ms,
            current.wall_ms,
            in_one_rack=in_one_rack,
        )
        if clearance is None:
            return False
        is_entitled = job.job_id in current.entitled_ids
        spent = self._spent_by_job.get(job.job_id, 0.0) + clearance.cost
        natural = self._reserver.find(
            waiting.step,
            len(idle),
            candidates,
            current.now_ms,
            in_one_rack=in_one_rack,
        )
        if is_entitled:
            if clearance.victims and self._is_soon(waiting, natural, current):
                return False
        elif spent > self._gain(job, natural, current):
            return False
        self._spent_by_job[job.job_id] = spent
        self._reclaimer.accept(clearance)
        reason = f'reclaimed for {job.job_id}'
        current.plan.stops += [Stop(run, reason) for run in clearance.victims]
        self._keep(waiting.step, clearance.tasks_by_worker, current)
        return True

    @staticmethod
    def _is_starting(task: jobs.Task, current: _Round) -> bool:
        return any(start.task is task for start in current.plan.starts)

    def _is_soon(
        self,
        waiting: _Waiting,
        natural: Reservation | None,
        current: _Round,
    ) -> bool:
        """Whether guaranteed work gets room soon without stopping any.

        Expected ends are rough, so that it waits for them only briefly.
        """
        limit_ms = self._options.natural_wait_ms
        return (
            natural is not None
            and waiting.waited_ms < limit_ms
            and natural.start_ms - current.now_ms <= limit_ms
        )

    def _gain(
        self, job: jobs.Job, natural: Reservation | None, current: _Round
    ) -> float:
        """Return what an urgent job gains if room is cleared for it.

        Expected ends of other work are rough, so that only a part of the
        gain is counted on.

        :param natural: where and when it could start without that.
        """
        options = self._options
        prospect = self._estimator.prospect(job)
        soon = prospect.share(current.wall_ms, options.stop_grace_ms)
        later = 0.0
        if natural is not None:
            wait_ms = max(0, natural.start_ms - current.now_ms)
            later = prospect.share(current.wall_ms, wait_ms)
        gain = self._estimator.weight(job) * (soon - later)
        return gain * options.trusted_gain

    def _reserve(
        self,
        waiting: _Waiting,
        candidates: list[WorkerRoom],
        current: _Round,
        in_one_rack: bool,
    ) -> bool:
        """Keep room for large work, so that small work does not starve it."""
        step = waiting.step
        is_large = step.is_gang or step.accelerators >= (
            _LARGE_TASK_ACCELERATORS
        )
        limit = self._options.max_reservations
        if not is_large or len(current.reservations) >= limit:
            return False
        count = len(waiting.tasks) if step.is_gang else 1
        found = self._reserver.find(
            step, count, candidates, current.now_ms, in_one_rack=in_one_rack
        )
        if found is None:
            return False
        current.reservations.append(found)
        self._keep(step, found.tasks_by_worker, current)
        return True

    @staticmethod
    def _keep(
        step: jobs.Step, tasks_by_worker: dict[str, int], current: _Round
    ) -> None:
        for worker in current.workers:
            worker.promise(step, tasks_by_worker.get(worker.worker, 0))


class _Lifted:
    """Lifts reservations that work of a certain end does not delay."""

    def __init__(self, current: _Round, end_ms: int) -> None:
        self._current = current
        self._lifted = [
            reservation
            for reservation in current.reservations
            if end_ms <= reservation.start_ms
        ]

    def __enter__(self) -> None:
        self._apply(-1)

    def __exit__(self, *_: object) -> None:
        self._apply(1)

    def _apply(self, sign: int) -> None:
        for reservation in self._lifted:
            for worker in self._current.workers:
                tasks = reservation.tasks_by_worker.get(worker.worker, 0)
                worker.promise(reservation.step, sign * tasks)


def service_of(job: jobs.Job, catalogue: catalogues.Catalogue) -> str:
    """Return the service that runs a job under a configuration.

    A queue that was removed keeps the service of its accepted jobs.
    """
    queue = catalogue.queue_by_name.get(job.terms.queue)
    return queue.service if queue else job.terms.service


def _is_ready(job: jobs.Job, repetition: int, step: jobs.Step) -> bool:
    """Whether all that a step waits for is done."""
    return all(
        task.is_done
        for earlier in step.after
        for task in job.tasks_of(repetition, earlier)
    )


def _entitled(
    open_jobs: list[jobs.Job], catalogue: catalogues.Catalogue
) -> set[str]:
    """Return the urgent jobs that their accounts' guarantees cover.

    Jobs count against the guarantee in the order of their acceptance.
    """
    used_by_account: collections.Counter[str] = collections.Counter()
    entitled = set()
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
            entitled.add(job.job_id)
    return entitled
