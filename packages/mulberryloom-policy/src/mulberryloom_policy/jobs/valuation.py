"""Value of a job to its caller, depending on when it completes."""

import dataclasses
import math
import typing as t

from mulberryloom_core.request import jobs

from . import warmup
from .capacity import ActiveRun
from .capacity import RunKey
from .capacity import WorkerCapacity
from .fleet_shape import FleetShape
from .gangs import GangRuns
from .options import PlanOptions
from .speed_tiers import at_speed
from .speed_tiers import SpeedTiers

#: Value of a job by its priority, relative to the lowest priority. The
#: deployments state 4 to 1 between their most and least urgent requests.
_VALUE_BY_PRIORITY = {0: 4.0, 1: 3.0, 2: 1.0}
#: Value of a job of any other priority.
_MIN_VALUE = 1.0
#: Share of its value that a job keeps when it completes late, by priority.
#: The deployments state 0.2 for their most urgent requests, and 0.3 to 0.5
#: for others.
_LATE_VALUE_SHARE_BY_PRIORITY = {0: 0.2}
#: Share that a job of any other priority keeps.
_LATE_VALUE_SHARE = 0.35
#: A late job keeps that share up to this multiple of its target time, counted
#: from its acceptance, and has no value beyond. The target time is the
#: critical path times ``stretch`` plus ``slack_ms``, from the job's terms.
_CUTOFF_FACTOR = 3
#: Factor by which the size of a job, relative to the mean of its queue,
#: changes its value: constant part, linear part and upper limit.
_SIZE_FACTOR_BASE = 0.3
_SIZE_FACTOR_SLOPE = 0.7
_MAX_SIZE_FACTOR = 4.0
#: The target time of a job counts on one part in this many of the fleet: a
#: wider step takes several waves.
_FLEET_PARTS = 4
#: Slack that discounts the urgency of a job by a factor of e; about the
#: duration of an urgent job.
_URGENCY_SCALE_MS = 5_000
#: Typical error of expected durations, relative to them.
_DURATION_ERROR = 0.25
#: Error of reported progress, in percent of the run.
_PROGRESS_ERROR = 2
#: Longest time between two lists of a worker that show progress.
_PROGRESS_VALID_MS = 2_500
_MS_PER_S = 1_000
_MILLIS_PER_CORE = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class JobDeadlines:
    """Deadlines of a job and the time and work that it still needs.

    :param remaining_ms: critical path of the steps that are not done.
    :param remaining_core_ms: work of the tasks that are not done.
    :param target_ms: Unix time until which the job completes in time.
    :param cutoff_ms: Unix time after which the job has no value.
    :param late_share: share of its value that it keeps in between.
    """

    remaining_ms: int
    remaining_core_ms: float
    target_ms: int
    cutoff_ms: int
    late_share: float

    def slack_ms(self, wall_ms: int) -> int:
        """Return how long the job can wait and still complete in time."""
        return self.target_ms - self.remaining_ms - wall_ms

    def value_share_at(self, end_ms: int) -> float:
        """Return the share of its value that the job keeps.

        :param end_ms: Unix time at which the job completes.
        """
        if end_ms <= self.target_ms:
            return 1.0
        return self.late_share if end_ms <= self.cutoff_ms else 0.0

    def expected_share(self, wall_ms: int, delay_ms: int) -> float:
        """Return the expected share of its value if the job is delayed.

        Durations and the delay are uncertain: the more of them, the wider
        the range of ends for which the job may complete in time or late.
        """
        duration_ms = delay_ms + self.remaining_ms
        if wall_ms + duration_ms > self.cutoff_ms:
            return 0.0
        on_time = probability_within(self.target_ms - wall_ms, duration_ms)
        return self.late_share + on_time * (1.0 - self.late_share)

    def value_share(self, wall_ms: int, delay_ms: int = 0) -> float:
        """Return the share of its value if the job continues after a delay."""
        return self.value_share_at(wall_ms + delay_ms + self.remaining_ms)


class Estimator:
    """Estimates durations and values of jobs.

    :param options: limits and cost factors.
    :param gang_runs: the active runs of gangs.
    :ivar speed_tiers: the speeds of the workers in this round.
    """

    def __init__(self, options: PlanOptions, gang_runs: GangRuns) -> None:
        self.speed_tiers = SpeedTiers()
        self._options = options
        self._gang_runs = gang_runs
        self._core_ms_by_id: dict[str, float] = {}
        # Sum of the sizes in core-milliseconds, and number of jobs.
        self._total_and_count_by_queue: dict[str, tuple[float, int]] = {}
        self._deadlines_by_id: dict[str, JobDeadlines] = {}
        self._gang_remaining_ms_by_run: dict[RunKey, int] = {}
        self._fleet = FleetShape()
        self._warm_ups = warmup.WarmUps()

    def begin_round(
        self,
        open_jobs: t.Iterable[jobs.Job],
        workers: list[WorkerCapacity],
    ) -> None:
        """Add new jobs to the mean size of their queues.

        Jobs that are no longer open still count in the mean. Deadlines are
        computed once for each job in a round.

        :param workers: the fleet.
        """
        self._deadlines_by_id.clear()
        self._gang_remaining_ms_by_run.clear()
        self._fleet.update(workers)
        self._warm_ups.update(workers)
        self.speed_tiers = SpeedTiers(workers)
        core_ms_by_id = {}
        for job in open_jobs:
            core_ms = self._core_ms_by_id.get(job.job_id)
            if core_ms is None:
                core_ms = self._core_ms(job)
                total, count = self._total_and_count_by_queue.get(
                    job.terms.queue, (0.0, 0)
                )
                self._total_and_count_by_queue[job.terms.queue] = (
                    total + core_ms,
                    count + 1,
                )
            core_ms_by_id[job.job_id] = core_ms
        self._core_ms_by_id = core_ms_by_id

    def _core_ms(self, job: jobs.Job) -> float:
        """Return the declared size of a job, in core-milliseconds."""
        return sum(
            step.tasks
            * self.task_duration_ms(step)
            * core_equivalents(step, self._options)
            for step in job.spec.steps
        )

    def on_time_value(self, job: jobs.Job) -> float:
        """Return the value of a job that completes in time.

        It grows with the size of the job relative to the mean of its queue,
        as the deployments state it.
        """
        value = _VALUE_BY_PRIORITY.get(job.terms.priority, _MIN_VALUE)
        total, count = self._total_and_count_by_queue.get(
            job.terms.queue, (0.0, 0)
        )
        core_ms = self._core_ms_by_id.get(job.job_id)
        if not total or core_ms is None:
            return value
        relative_size = core_ms * count / total
        return value * min(
            _MAX_SIZE_FACTOR,
            _SIZE_FACTOR_BASE + _SIZE_FACTOR_SLOPE * relative_size,
        )

    def task_duration_ms(self, step: jobs.Step) -> int:
        """Return the expected duration of one task of a step.

        It is the duration at the declared speed.
        """
        return step.estimate_ms or self._options.default_estimate_ms

    def duration_at_ms(self, step: jobs.Step, speed_permille: int) -> int:
        """Return the expected duration of one task on a worker."""
        return at_speed(self.task_duration_ms(step), speed_permille)

    def start_duration_ms(
        self, step: jobs.Step, worker: WorkerCapacity, now_ms: int
    ) -> int:
        """Return the expected duration of a task that a worker starts now."""
        duration_ms = self.duration_at_ms(step, worker.speed_permille)
        return duration_ms + warmup.extra_ms(
            worker.warm_ms, now_ms, duration_ms
        )

    def run_remaining_ms(self, run: ActiveRun, now_ms: int) -> int:
        """Return the expected time until a run ends.

        The members of a gang end together, with the slowest of them.
        """
        if not run.step.is_gang:
            return self._own_remaining_ms(run, now_ms)
        remaining_ms = self._gang_remaining_ms_by_run.get(run.key)
        if remaining_ms is None:
            members = self._gang_runs.members_of(run)
            remaining_ms = max(
                self._own_remaining_ms(member, now_ms) for member in members
            )
            for member in members:
                self._gang_remaining_ms_by_run[member.key] = remaining_ms
        return remaining_ms

    def probability_of_end(
        self, run: ActiveRun, now_ms: int, limit_ms: int
    ) -> float:
        """Return the probability that a run ends within a time from now.

        Expected ends that follow from the reported progress are inaccurate
        by the rounding of the progress, others by the error of the declared
        duration.
        """
        remaining_ms = self.run_remaining_ms(run, now_ms)
        done = run.progress - run.base_progress
        if done < self._options.min_reliable_progress:
            return probability_within(limit_ms, remaining_ms)
        elapsed_ms = max(1, run.last_progress_ms - run.base_ms)
        range_ms = 2 * _PROGRESS_ERROR * max(1, elapsed_ms // done)
        on_time = 0.5 + (limit_ms - remaining_ms) / range_ms
        return min(1.0, max(0.0, on_time))

    def _own_remaining_ms(self, run: ActiveRun, now_ms: int) -> int:
        """Return the expected time until a run has done its own work.

        Once ``min_reliable_progress`` percent were done under this leader,
        it is extrapolated from them; before, it is computed from the
        declared duration, of which a quarter is expected to remain at
        least. It is longer on a worker that was cold. A stopping run ends
        within its grace period.
        """
        if run.is_stopping:
            return self._options.stop_grace_ms
        done = run.progress - run.base_progress
        if done >= self._options.min_reliable_progress:
            return _extrapolated_ms(run, done, now_ms)
        duration_ms = self.task_duration_ms(run.step)
        if not self.speed_tiers.is_even:
            speed_permille = self.speed_tiers.speed_of(run.run.worker)
            duration_ms = at_speed(duration_ms, speed_permille)
        expected_ms = duration_ms * (100 - run.base_progress) // 100
        expected_ms += self._warm_ups.extra_ms(run, expected_ms)
        elapsed_ms = max(0, now_ms - run.base_ms)
        return max(expected_ms - elapsed_ms, expected_ms // 4)

    def critical_path_ms(self, job: jobs.Job) -> int:
        """Return the duration of the longest chain of dependent steps.

        A step that is wider than its part of the fleet takes several waves.
        """
        durations_ms = [
            self.task_duration_ms(step)
            * _wave_count(
                step,
                step.tasks,
                self._fleet.fit_of(step).slots // _FLEET_PARTS,
            )
            for step in job.spec.steps
        ]
        return _longest_path_ms(job, durations_ms)

    def remaining_path_ms(self, job: jobs.Job) -> int:
        """Return the critical path of the tasks that are not done."""
        return self._remaining_path_ms(job, _remaining_counts(job))

    def _remaining_path_ms(self, job: jobs.Job, counts: list[int]) -> int:
        """Return the critical path, with the whole fleet available.

        It is that on the fastest quarter of the workers.

        :param counts: tasks of each step that are not done.
        """
        durations_ms = []
        for step, count in zip(job.spec.steps, counts, strict=True):
            fit = self._fleet.fit_of(step)
            duration_ms = self.task_duration_ms(step)
            if step.is_same_rack and fit.widest_rack < step.tasks:
                duration_ms = int(duration_ms * self._options.spread_factor)
            waves = _wave_count(step, count, fit.slots)
            durations_ms.append(duration_ms * waves)
        path_ms = _longest_path_ms(job, durations_ms)
        return at_speed(path_ms, self.speed_tiers.best_permille)

    def _remaining_core_ms(self, job: jobs.Job, counts: list[int]) -> float:
        """Return the work of the tasks that are not done.

        :param counts: tasks of each step that are not done.
        """
        return sum(
            count
            * self.task_duration_ms(step)
            * core_equivalents(step, self._options)
            for step, count in zip(job.spec.steps, counts, strict=True)
        )

    def urgency(self, job: jobs.Job, wall_ms: int) -> float:
        """Return the index by which jobs of one priority are ordered.

        It is the apparent tardiness cost, as a logarithm: the value that a
        core-second of remaining work yields, discounted by the time that the
        job can still wait. In overload the most valuable work goes first;
        large jobs do not starve, since their index grows while they wait.
        """
        deadlines = self.deadlines(job)
        core_s = deadlines.remaining_core_ms / _MS_PER_S
        density = self.on_time_value(job) / max(1.0, core_s)
        slack_ms = max(0, deadlines.slack_ms(wall_ms))
        return math.log(density) - slack_ms / _URGENCY_SCALE_MS

    def deadlines(self, job: jobs.Job) -> JobDeadlines:
        """Return the deadlines of a job, from a cache within a round."""
        cached = self._deadlines_by_id.get(job.job_id)
        if cached is not None:
            return cached
        target_ms = int(
            job.terms.stretch * self.critical_path_ms(job) + job.terms.slack_ms
        )
        counts = _remaining_counts(job)
        computed = JobDeadlines(
            self._remaining_path_ms(job, counts),
            self._remaining_core_ms(job, counts),
            job.accepted_ms + target_ms,
            job.accepted_ms + _CUTOFF_FACTOR * target_ms,
            _LATE_VALUE_SHARE_BY_PRIORITY.get(
                job.terms.priority, _LATE_VALUE_SHARE
            ),
        )
        self._deadlines_by_id[job.job_id] = computed
        return computed


def probability_within(limit_ms: int, expected_ms: int) -> float:
    """Return the probability that something takes no longer than a limit.

    :param expected_ms: expected duration.
    """
    range_ms = 2 * _DURATION_ERROR * max(1, expected_ms)
    return min(1.0, max(0.0, 0.5 + (limit_ms - expected_ms) / range_ms))


def _remaining_counts(job: jobs.Job) -> list[int]:
    """Return how many tasks of each step are not done.

    Only the first repetition of a job is considered.
    """
    return [
        sum(not task.is_done for task in job.tasks_of(0, index))
        for index in range(len(job.spec.steps))
    ]


def _longest_path_ms(job: jobs.Job, durations_ms: list[int]) -> int:
    """Return the longest path of a job's steps, given their durations."""
    ends_ms: list[int] = []
    for step, duration_ms in zip(job.spec.steps, durations_ms, strict=True):
        start_ms = max((ends_ms[i] for i in step.after), default=0)
        ends_ms.append(start_ms + duration_ms)
    return max(ends_ms, default=0)


def _wave_count(step: jobs.Step, tasks: int, slots: int) -> int:
    """Return in how many waves tasks of a step run.

    A gang runs as a whole.

    :param slots: number of tasks that run at a time.
    """
    if step.is_gang:
        return min(1, tasks)
    return -(-tasks // max(1, slots))


def core_equivalents(step: jobs.Step, options: PlanOptions) -> float:
    """Return the size of one task, in cores.

    An accelerator counts as ``cores_per_accelerator`` cores.
    """
    cpu_cores = step.cpu_millis / _MILLIS_PER_CORE
    return cpu_cores + step.accelerators * options.cores_per_accelerator


def _extrapolated_ms(run: ActiveRun, done: int, now_ms: int) -> int:
    """Return the expected time until a run ends at its speed so far.

    The last progress is some time old; the run has gone on since, unless
    it should have shown more by now.

    :param done: percentage that was done since ``run.base_ms``.
    """
    left = 100 - run.progress
    age_ms = now_ms - run.last_progress_ms
    elapsed_ms = max(0, run.last_progress_ms - run.base_ms)
    if age_ms > _PROGRESS_VALID_MS + elapsed_ms // done:
        return max(0, now_ms - run.base_ms) * left // done
    return max(0, elapsed_ms * left // done - age_ms)


def lost_core_seconds(
    run: ActiveRun, now_ms: int, options: PlanOptions
) -> float:
    """Return the work that is lost if a run stops now, in core-seconds.

    A checkpointed run saves its progress when it is stopped.
    """
    if run.step.is_checkpointed:
        return 0.0
    elapsed_ms = max(0, now_ms - run.started_ms)
    return core_equivalents(run.step, options) * elapsed_ms / _MS_PER_S
