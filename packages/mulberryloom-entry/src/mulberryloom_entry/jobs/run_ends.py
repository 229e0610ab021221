"""Ends of runs and jobs: what the outcome of a run changes."""

from mulberryloom_core import messages
from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import jobs
from mulberryloom_policy.jobs import ActiveRun
from mulberryloom_policy.jobs import FailureAttribution
from mulberryloom_policy.jobs import health
from mulberryloom_policy.jobs import WorkerSpeeds
import structlog

from . import decisions
from . import fleet
from . import record_cache
from . import run_table

_log = structlog.get_logger(__name__)


class RunEnds:
    """Records the ends of runs in their jobs, and of jobs in the store.

    :param records: records of the jobs.
    :param runs: the runs that have not ended.
    :param decision_log: receives the ends.
    :param metrics: counts the ends.
    :param worker_speeds: learns from the runs that have succeeded.
    :param failure_attribution: learns of the runs that have failed.
    """

    def __init__(
        self,
        records: record_cache.JobRecordCache,
        runs: run_table.RunTable,
        decision_log: decisions.DecisionLog,
        metrics: process_metrics.ProcessMetrics,
        worker_speeds: WorkerSpeeds,
        failure_attribution: FailureAttribution,
    ) -> None:
        self._records = records
        self._runs = runs
        self._decision_log = decision_log
        self._metrics = metrics
        self._worker_speeds = worker_speeds
        self._failure_attribution = failure_attribution
        # Number of the last failed run of each gang. The failures of several
        # members count as one failed attempt.
        self._failed_run_by_gang: dict[tuple[str, int, int], int] = {}

    def on_end(
        self,
        link: fleet.WorkerLink,
        run: ActiveRun,
        end: messages.EndedTask,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Process the end of a run that is tracked."""
        run_end = _parse_run_end(end.how)
        self._metrics.count('runs_ended_total', run_end.value)
        job, task = run.job, run.task
        self._runs.record_decision(
            'run ended',
            run,
            how=run_end.value,
            failures=task.failures,
            progress=run.progress,
        )
        self._runs.remove(link, run)
        if end.checkpoint:
            self.set_checkpoint(run, end.checkpoint)
        if run_end is jobs.RunEnd.DONE:
            health.note_success(link.capacity, run)
            self._worker_speeds.note_done(run, link.capacity, now_ms)
            self._on_run_done(run)
        elif run_end is jobs.RunEnd.FAILED:
            self._failure_attribution.note_failure(
                link.capacity,
                run,
                now_ms,
                has_progressed=run.progress > run.base_progress,
            )
            self._on_run_failed(run)
        if run_end is not jobs.RunEnd.DONE:
            self._runs.stop_other_members(run, 'another gang member ended')
        event = record_cache.EndRecorded(
            link.capacity.worker, link.capacity.boot, end.sequence
        )
        link.unrecorded_end_sequences.add(end.sequence)
        self.end_job_if_final(job, wall_ms)
        self._records.mark_dirty(job.job_id, event)

    def on_unmatched_end(
        self,
        link: fleet.WorkerLink,
        end: messages.EndedTask,
        wall_ms: int,
    ) -> None:
        """Process the end of a run that was discarded.

        A success counts even if the task has been started again; the later
        run is then stopped. The end is acknowledged only after a write of
        the job, which proves that this leader was not superseded when it
        discarded the run.
        """
        parsed = jobs.parse_task_name(end.task)
        job = self._records.find(parsed[0]) if parsed else None
        if parsed is None or job is None:
            return
        task = job.task_by_key.get(parsed[1])
        if task is not None and self._is_late_success(job, task, end):
            self._accept_late_success(job, task, end)
            self.end_job_if_final(job, wall_ms)
        link.unrecorded_end_sequences.add(end.sequence)
        event = record_cache.EndRecorded(*link.key, end.sequence)
        self._records.mark_dirty(job.job_id, event)

    def set_checkpoint(self, run: ActiveRun, checkpoint: str) -> None:
        """Set the checkpoint of a task or of all members of its gang."""
        if not run.step.is_gang:
            run.task.checkpoint = checkpoint
            return
        key = run.task.key
        for task in run.job.tasks_of(key.repetition, key.step):
            task.checkpoint = checkpoint

    @staticmethod
    def _is_late_success(
        job: jobs.Job, task: jobs.Task, end: messages.EndedTask
    ) -> bool:
        return (
            end.how == jobs.RunEnd.DONE.value
            and not task.is_done
            and end.run_number <= task.last_run
            and not job.state.is_final
            and not job.step_of(task.key).is_lasting
        )

    def _accept_late_success(
        self, job: jobs.Job, task: jobs.Task, end: messages.EndedTask
    ) -> None:
        """Mark a task done, or its gang, and stop the runs that repeat it."""
        self._decision_log.record(
            'late success accepted',
            job.job_id,
            task=end.task,
            run=end.run_number,
            last_run=task.last_run,
        )
        for done_task in _tasks_done_together(job, task):
            done_task.is_done = True
            if done_task.run is not None:
                repeated = self._runs.find(job, done_task)
                if repeated is not None:
                    self._runs.stop(repeated, 'repeats a run that was done')

    def _on_run_done(self, run: ActiveRun) -> None:
        if run.step.is_lasting:
            return
        for task in _tasks_done_together(run.job, run.task):
            task.is_done = True

    def _on_run_failed(self, run: ActiveRun) -> None:
        if run.task.is_done:
            return
        job, key = run.job, run.task.key
        if run.step.is_gang:
            gang = (job.job_id, key.repetition, key.step)
            if self._failed_run_by_gang.get(gang) == run.run.number:
                return
            self._failed_run_by_gang[gang] = run.run.number
            for task in job.tasks_of(key.repetition, key.step):
                task.failures += 1
        else:
            run.task.failures += 1
        if run.step.is_lasting:
            return
        if run.task.failures >= job.terms.max_attempts:
            job.fail(jobs.JobFailure.ATTEMPTS)

    def end_job_if_final(self, job: jobs.Job, wall_ms: int) -> None:
        """Record the end of a job if its tasks decide it."""
        if job.state.is_final and not job.ended_ms:
            self.end_job(job, wall_ms, job.state.value)

    def end_job(self, job: jobs.Job, wall_ms: int, reason: str) -> None:
        """Record the end of a job and stop its remaining runs."""
        if not job.ended_ms:
            job.ended_ms = wall_ms
            self._metrics.count('jobs_ended_total', job.state.value)
            self._metrics.observe_ms(
                'job_duration_ms', max(0, wall_ms - job.accepted_ms)
            )
            self._decision_log.record(
                'job ended',
                job.job_id,
                state=job.state.value,
                after_ms=wall_ms - job.accepted_ms,
            )
            self._records.mark_dirty(job.job_id)
        if job.state is jobs.JobState.COMPLETED:
            return
        for run in self._runs.active_runs_of(job):
            self._runs.stop(run, reason)


def _tasks_done_together(job: jobs.Job, task: jobs.Task) -> list[jobs.Task]:
    """Return the tasks that the success of one task completes.

    The members of a gang end together, so that the success of one stands for
    all of them.
    """
    if not job.step_of(task.key).is_gang:
        return [task]
    return job.tasks_of(task.key.repetition, task.key.step)


def _parse_run_end(value: str) -> jobs.RunEnd:
    try:
        return jobs.RunEnd(value)
    except ValueError:
        _log.warning('unknown run outcome', how=value)
        return jobs.RunEnd.STOPPED
