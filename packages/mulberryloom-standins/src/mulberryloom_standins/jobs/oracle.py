"""Invariants of the job path, checked on the runs of simulated workers."""

import collections
import typing as t

from mulberryloom_core.request import jobs

from .worker import WorkerRun
from .worker import WorkerStandIn


#: Worker, start of its incarnation, and number of the end there.
_EndKey: t.TypeAlias = tuple[str, int, int]
#: Time after the answer to an evacuation from which no task may start in the
#: data centre.
EVACUATION_BOUND_MS = 5_000
#: Number of crashes of workers under a task after which its further starts
#: count, and the number of such starts that is one too many.
CRASH_LIMIT = 3
STARTS_AFTER_CRASH_LIMIT = 3


#: Time for which the capacity of a worker counts after it has shrunk: the
#: bound of the platform and one heartbeat of the worker.
SHRINK_GRACE_MS = 4_500


class Violation(AssertionError):
    """An invariant was violated."""


class Oracle:
    """Checks starts, runs and ends on all workers.

    :ivar spec_by_job: accepted jobs, by job id.
    :ivar max_attempts: number of failed runs after which a task must not be
        started again.
    :ivar cancelled_ids: ids of jobs that were cancelled.
    :ivar done_tasks: names of tasks that ended successfully.
    :ivar evacuated_ms_by_name: evacuated data centres, and when the store
        answered the request.
    """

    def __init__(self) -> None:
        self.spec_by_job: dict[str, jobs.JobSpec] = {}
        self.max_attempts = 2
        self.cancelled_ids: set[str] = set()
        self.done_tasks: set[str] = set()
        self.evacuated_ms_by_name: dict[str, int] = {}
        self._acknowledged_done: set[str] = set()
        self._acknowledged_failures: collections.Counter[str] = (
            collections.Counter()
        )
        #: Ends of successful runs, by task.
        self._done_ends_by_task: dict[str, set[_EndKey]] = {}
        #: Start after which an end of a successful run was not to be
        #: acknowledged any more, by that end.
        self._start_by_done_end: dict[_EndKey, str] = {}
        self._crashes: collections.Counter[str] = collections.Counter()
        self._starts_after_crash_limit: collections.Counter[str] = (
            collections.Counter()
        )
        #: Acknowledged ends that were taken into account.
        self._counted_ends: set[_EndKey] = set()

    def check_start(
        self, worker: WorkerStandIn, run: WorkerRun, now_ms: int
    ) -> None:
        """Check a run that has just begun."""
        parsed = jobs.parse_task_name(run.task)
        assert parsed is not None
        job_id, key = parsed
        where = f'{run.task} run {run.number} on {worker.worker} at {now_ms}'
        spec = self.spec_by_job.get(job_id)
        if spec is None:
            raise Violation(f'{where}: job {job_id} was never submitted')
        if run.task in self._acknowledged_done:
            raise Violation(f'{where}: started after the task was done')
        for end_key in self._done_ends_by_task.get(run.task, ()):
            self._start_by_done_end.setdefault(end_key, where)
        if self._acknowledged_failures[run.task] >= self.max_attempts:
            raise Violation(
                f'{where}: started after {self.max_attempts} failed attempts'
            )
        self._check_crashes(run, where)
        for predecessor in spec.steps[key.step].after:
            if not self._is_step_done(job_id, key.repetition, predecessor):
                raise Violation(
                    f'{where}: preceding step {predecessor} is not done'
                )

    def _check_crashes(self, run: WorkerRun, where: str) -> None:
        if self._crashes[run.task] < CRASH_LIMIT:
            return
        self._starts_after_crash_limit[run.task] += 1
        starts = self._starts_after_crash_limit[run.task]
        if starts >= STARTS_AFTER_CRASH_LIMIT:
            raise Violation(
                f'{where}: start {starts} after {CRASH_LIMIT} workers have '
                'crashed under the task'
            )

    def record_crash(self, worker: WorkerStandIn) -> None:
        """Record that a task has crashed its worker, before its runs go.

        Only the tasks at fault count: the others stood beside them.
        """
        for run in worker.run_by_task.values():
            if run.work.is_crashing:
                self._crashes[run.task] += 1

    def check_evacuation(
        self, worker: WorkerStandIn, run: WorkerRun, now_ms: int
    ) -> None:
        """Check a run that has just begun, by a call that was not late."""
        evacuated_ms = self.evacuated_ms_by_name.get(worker.data_centre)
        if evacuated_ms is None:
            return
        after_ms = now_ms - evacuated_ms
        if after_ms > EVACUATION_BOUND_MS:
            raise Violation(
                f'{run.task} run {run.number} on {worker.worker}: started '
                f'{after_ms} ms after {worker.data_centre} was evacuated'
            )

    def _is_step_done(
        self, job_id: str, repetition: int, step_index: int
    ) -> bool:
        """Return whether all tasks of a step ended successfully.

        The members of a gang end together, so one end counts for all.
        """
        step = self.spec_by_job[job_id].steps[step_index]
        keys = [
            jobs.TaskKey(repetition, step_index, index)
            for index in range(step.tasks)
        ]
        done = [jobs.task_name(job_id, k) in self.done_tasks for k in keys]
        return any(done) if step.is_gang else all(done)

    def check_running(self, workers: list[WorkerStandIn], now_ms: int) -> None:
        """Check that no task runs twice."""
        seen: dict[str, str] = {}
        for worker in workers:
            for run in worker.run_by_task.values():
                if run.task in seen:
                    raise Violation(
                        f'{run.task} runs on {worker.worker} and on '
                        f'{seen[run.task]} at {now_ms}'
                    )
                seen[run.task] = worker.worker

    def check_capacity(
        self, worker: WorkerStandIn, now_ms: int, *, is_late: bool
    ) -> None:
        """Check that a run that has just begun fits on its worker.

        :param is_late: whether it was begun by a call that was carried out
            seconds after it was sent; capacity that has shrunk then counts
            for longer.
        """
        grace_ms = now_ms if is_late else SHRINK_GRACE_MS
        runs = worker.run_by_task.values()
        cpu = sum(run.work.step.cpu_millis for run in runs)
        accelerators = sum(run.work.step.accelerators for run in runs)
        cpu_limit, accelerators_limit = worker.largest_capacity(
            now_ms - grace_ms
        )
        if cpu > cpu_limit or accelerators > accelerators_limit:
            raise Violation(
                f'{worker.worker} runs tasks for {cpu} of '
                f'{cpu_limit} cpu_millis and {accelerators} of '
                f'{accelerators_limit} accelerators at {now_ms}'
            )

    def record_ends(self, worker: WorkerStandIn) -> None:
        """Record the ends that a worker lists."""
        for end in worker.ends:
            if end.how == jobs.RunEnd.DONE.value:
                self.done_tasks.add(end.task)
                self._done_ends_by_task.setdefault(end.task, set()).add(
                    (worker.worker, worker.boot, end.sequence)
                )

    def record_acknowledged(
        self, worker: WorkerStandIn, observed: int
    ) -> None:
        """Record the ends that the agent acknowledged to a worker.

        An end that was followed by a lapse of the worker's lease does not
        count, since the task may have been started elsewhere by then.

        :param observed: highest sequence that was acknowledged.
        """
        for end in worker.ends:
            key = (worker.worker, worker.boot, end.sequence)
            if end.sequence > observed or key in self._counted_ends:
                continue
            self._counted_ends.add(key)
            if end.sequence in worker.lapsed_end_sequences:
                continue
            if end.how == jobs.RunEnd.DONE.value:
                self._acknowledged_done.add(end.task)
                where = self._start_by_done_end.get(key)
                if where is not None:
                    raise Violation(
                        f'{where}: started after run {end.run_number} was '
                        'done, which was acknowledged later'
                    )
            elif end.how == jobs.RunEnd.FAILED.value:
                self._acknowledged_failures[end.task] += 1

    def check_visible_state(self, job_id: str, state: jobs.JobState) -> None:
        """Check a stored state, which a caller may see."""
        if state is not jobs.JobState.COMPLETED:
            return
        spec = self.spec_by_job[job_id]
        for step_index in range(len(spec.steps)):
            if not self._is_step_done(job_id, 0, step_index):
                raise Violation(
                    f'{job_id} is completed, but step {step_index} is not done'
                )
