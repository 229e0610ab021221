"""One planning round: which tasks start where, and what has to stop."""

import collections
import dataclasses
import typing as t

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues

from . import placement
from .options import PlanOptions
from .room import ActiveRun
from .room import WorkerRoom


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


@dataclasses.dataclass(slots=True)
class Plan:
    """What one round decided."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """Tasks of one step whose turn has come."""

    job: jobs.Job
    repetition: int
    step_index: int
    step: jobs.Step
    tasks: list[jobs.Task]


class JobPlanner:
    """Plans all jobs of a region.

    :param options: limits and weights.
    """

    def __init__(self, options: PlanOptions) -> None:
        self._options = options

    def plan(
        self,
        open_jobs: t.Iterable[jobs.Job],
        workers: list[WorkerRoom],
        catalogue: catalogues.Catalogue,
        now_ms: int,
        wall_ms: int,
    ) -> Plan:
        """Decide one round.

        The workers' free room is reduced by what starts.

        :param open_jobs: jobs that are not final.
        """
        plan = Plan()
        ordered = sorted(open_jobs, key=lambda job: self._turn(job, wall_ms))
        for job in ordered:
            for waiting in self._waiting(job, wall_ms):
                self._place(waiting, workers, catalogue, plan, now_ms)
        return plan

    def estimate_ms(self, step: jobs.Step) -> int:
        """Return how long a task of a step is expected to run."""
        return step.estimate_ms or self._options.default_estimate_ms

    def chain_ms(self, job: jobs.Job) -> int:
        """Return the longest chain of a job's steps."""
        ends: list[int] = []
        for step in job.spec.steps:
            begin = max((ends[i] for i in step.after), default=0)
            ends.append(begin + self.estimate_ms(step))
        return max(ends, default=0)

    def _turn(self, job: jobs.Job, wall_ms: int) -> tuple[int, float]:
        """Return the sort key of a job: urgency, then latest start."""
        chain_ms = self.chain_ms(job)
        target_ms = job.terms.stretch * chain_ms + job.terms.slack_ms
        return job.terms.priority, job.accepted_ms + target_ms - chain_ms

    def _waiting(self, job: jobs.Job, wall_ms: int) -> t.Iterator[_Waiting]:
        for repetition in range(max(1, job.spec.repeats)):
            if job.due_ms(repetition) > wall_ms:
                break
            for step_index, step in enumerate(job.spec.steps):
                tasks = job.tasks_of(repetition, step_index)
                if not self._is_ready(job, repetition, step):
                    continue
                idle = [x for x in tasks if not x.is_done and x.run is None]
                if step.is_gang and any(task.run for task in tasks):
                    continue
                if idle:
                    yield _Waiting(job, repetition, step_index, step, idle)

    def _is_ready(
        self, job: jobs.Job, repetition: int, step: jobs.Step
    ) -> bool:
        return all(
            task.is_done
            for earlier in step.after
            for task in job.tasks_of(repetition, earlier)
        )

    def _place(
        self,
        waiting: _Waiting,
        workers: list[WorkerRoom],
        catalogue: catalogues.Catalogue,
        plan: Plan,
        now_ms: int,
    ) -> None:
        job, step = waiting.job, waiting.step
        service = service_of(job, catalogue)
        candidates = placement.eligible(step, service, workers, now_ms)
        if step.is_gang:
            found = placement.place_gang(step, len(waiting.tasks), candidates)
            for task, worker in zip(waiting.tasks, found or [], strict=False):
                self._start(plan, job, task, worker, step)
            return
        present = placement.counts_by_worker(
            job, waiting.repetition, waiting.step_index
        )
        for task in waiting.tasks:
            worker = self._pick(step, candidates, present)
            if worker is None:
                break
            present[worker.worker] += 1
            self._start(plan, job, task, worker, step)

    def _pick(
        self,
        step: jobs.Step,
        candidates: list[WorkerRoom],
        present: collections.Counter[str],
    ) -> WorkerRoom | None:
        if step.rack:
            near = [w for w in candidates if w.rack == step.rack]
            worker = placement.place_one(step, near, present)
            if worker is not None:
                return worker
        return placement.place_one(step, candidates, present)

    @staticmethod
    def _start(
        plan: Plan,
        job: jobs.Job,
        task: jobs.Task,
        worker: WorkerRoom,
        step: jobs.Step,
    ) -> None:
        worker.take(step)
        plan.starts.append(Start(job, task, worker))


def service_of(job: jobs.Job, catalogue: catalogues.Catalogue) -> str:
    """Return the service that runs a job under a configuration.

    A queue that was removed keeps the service of its accepted jobs.
    """
    queue = catalogue.queue_by_name.get(job.terms.queue)
    return queue.service if queue else job.terms.service
