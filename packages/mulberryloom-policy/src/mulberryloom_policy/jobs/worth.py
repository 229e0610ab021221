"""What a job is worth to its caller, now and if it comes later."""

import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from .options import PlanOptions
from .room import ActiveRun

#: Worth of a job of each priority, relative to the least urgent ones; the
#: deployments state 4 to 1 between their most and least urgent requests.
_WORTH_BY_PRIORITY = {0: 4.0, 1: 3.0, 2: 1.0}
_LEAST_WORTH = 1.0
#: Share of the worth that is left when a job is late.
_LATE_SHARE = 0.35
#: A job is late, but still of use, up to this many times its target.
_LATE_FACTOR = 3
#: Part of the worth that does not depend on the size, the part that does,
#: and the most that size can give.
_BASE_SIZE = 0.3
_SIZE_SHARE = 0.7
_MOST_SIZE = 4.0
_MS_PER_S = 1_000
_MILLIS_PER_CORE = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """When a job has to end to be in time, and to be of use at all.

    :param remaining_ms: longest chain of work that is left.
    :param target_ms: Unix time up to which it is in time.
    :param late_ms: Unix time up to which it is late but of use.
    """

    remaining_ms: int
    target_ms: int
    late_ms: int

    def slack_ms(self, wall_ms: int) -> int:
        """Return how long the job can wait and still be in time."""
        return self.target_ms - self.remaining_ms - wall_ms

    def share_at(self, end_ms: int) -> float:
        """Return the share of its worth that is left at some end.

        :param end_ms: Unix time at which the job ends.
        """
        if end_ms <= self.target_ms:
            return 1.0
        return _LATE_SHARE if end_ms <= self.late_ms else 0.0

    def share(self, wall_ms: int, delay_ms: int = 0) -> float:
        """Return the share of its worth if it goes on after a delay."""
        return self.share_at(wall_ms + delay_ms + self.remaining_ms)


class Estimator:
    """Expected durations, corrected by what was seen.

    :param options: limits and weights.
    """

    def __init__(self, options: PlanOptions) -> None:
        self._options = options
        self._work_by_id: dict[str, float] = {}
        self._mean_by_queue: dict[str, tuple[float, int]] = {}
        self._prospect_by_id: dict[str, Prospect] = {}

    def begin_round(self, open_jobs: t.Iterable[jobs.Job]) -> None:
        """Take the sizes of jobs into the mean of their queues.

        Prospects are worked out once in each round.
        """
        self._prospect_by_id.clear()
        work_by_id = {}
        for job in open_jobs:
            work = self._work_by_id.get(job.job_id)
            if work is None:
                work = self._work(job)
                total, count = self._mean_by_queue.get(
                    job.terms.queue, (0.0, 0)
                )
                self._mean_by_queue[job.terms.queue] = total + work, count + 1
            work_by_id[job.job_id] = work
        self._work_by_id = work_by_id

    def _work(self, job: jobs.Job) -> float:
        """Return the core-milliseconds of a job by its declaration."""
        return sum(
            step.tasks * self.step_ms(step) * cores(step, self._options)
            for step in job.spec.steps
        )

    def weight(self, job: jobs.Job) -> float:
        """Return the worth of a job that is in time.

        It grows with the job's work against the mean of its queue, as the
        deployments state it.
        """
        worth = _WORTH_BY_PRIORITY.get(job.terms.priority, _LEAST_WORTH)
        total, count = self._mean_by_queue.get(job.terms.queue, (0.0, 0))
        work = self._work_by_id.get(job.job_id)
        if not total or work is None:
            return worth
        size = work * count / total
        return worth * min(_MOST_SIZE, _BASE_SIZE + _SIZE_SHARE * size)

    def step_ms(self, step: jobs.Step) -> int:
        """Return how long a task of a step is expected to run."""
        return step.estimate_ms or self._options.default_estimate_ms

    def run_left_ms(self, run: ActiveRun, now_ms: int) -> int:
        """Return how much longer a run is expected to take.

        Progress goes before the declared duration once there is some.
        """
        if run.is_stopping:
            return self._options.stop_grace_ms
        elapsed_ms = max(0, now_ms - run.started_ms)
        if run.progress >= self._options.trusted_progress:
            return elapsed_ms * (100 - run.progress) // run.progress
        expected_ms = self.step_ms(run.step)
        return max(expected_ms - elapsed_ms, expected_ms // 4)

    def chain_ms(self, job: jobs.Job) -> int:
        """Return the longest chain of all steps of a job."""
        return self._longest(job, lambda index: True)

    def remaining_ms(self, job: jobs.Job) -> int:
        """Return the longest chain of the steps that are not done."""
        return self._longest(
            job,
            lambda index: (
                not all(task.is_done for task in job.tasks_of(0, index))
            ),
        )

    def _longest(self, job: jobs.Job, counts: t.Callable[[int], bool]) -> int:
        ends: list[int] = []
        for index, step in enumerate(job.spec.steps):
            begin = max((ends[i] for i in step.after), default=0)
            length = self.step_ms(step) if counts(index) else 0
            ends.append(begin + length)
        return max(ends, default=0)

    def prospect(self, job: jobs.Job) -> Prospect:
        """Return the times that matter to a job's caller."""
        known = self._prospect_by_id.get(job.job_id)
        if known is not None:
            return known
        target_ms = int(
            job.terms.stretch * self.chain_ms(job) + job.terms.slack_ms
        )
        made = Prospect(
            self.remaining_ms(job),
            job.accepted_ms + target_ms,
            job.accepted_ms + _LATE_FACTOR * target_ms,
        )
        self._prospect_by_id[job.job_id] = made
        return made


def cores(step: jobs.Step, options: PlanOptions) -> float:
    """Return the cores that one task of a step counts as."""
    plain = step.cpu_millis / _MILLIS_PER_CORE
    return plain + step.accelerators * options.accelerator_cores


def lost_core_seconds(
    run: ActiveRun, now_ms: int, options: PlanOptions
) -> float:
    """Return the work that is thrown away if a run stops now.

    A checkpointed run saves its progress when it is stopped.
    """
    if run.step.is_checkpointed:
        return 0.0
    elapsed_ms = max(0, now_ms - run.started_ms)
    return cores(run.step, options) * elapsed_ms / _MS_PER_S
