"""Runs of all jobs during one term of a leader: stopped, discarded, removed.

A run is one start of a task; an orphan is a run of an earlier leader whose
worker has not reported yet.
"""

import typing as t

from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import jobs
from mulberryloom_policy.jobs import ActiveRun
from mulberryloom_policy.jobs import PlanOptions
from mulberryloom_policy.jobs import valuation
from mulberryloom_policy.jobs import WorkerSpeeds

from . import decisions
from . import fleet
from . import record_cache


class RunTable:
    """Tracks the runs that have not ended.

    :param records: records of the jobs, which change with their runs.
    :param decision_log: receives what is decided on a run.
    :param metrics: counts the runs that are stopped or discarded.
    :param link_by_key: the workers, owned by the leader.
    :param worker_speeds: forgets the runs that are stopped or lost.
    :ivar run_by_key: all runs, by task name and run number.
    :ivar orphans_by_worker: orphans, by the worker that may run them.
    :ivar has_changed: whether a run was removed since the last plan.
    :ivar planned_ms: time of the last plan.
    :ivar now_ms: time of the last report, reply or tick; set by the leader.
    """

    def __init__(
        self,
        records: record_cache.JobRecordCache,
        decision_log: decisions.DecisionLog,
        metrics: process_metrics.ProcessMetrics,
        link_by_key: dict[fleet.WorkerKey, fleet.WorkerLink],
        plan_options: PlanOptions,
        now_ms: int,
        worker_speeds: WorkerSpeeds,
    ) -> None:
        self._worker_speeds = worker_speeds
        self._records = records
        self._decision_log = decision_log
        self._metrics = metrics
        self._link_by_key = link_by_key
        self._plan_options = plan_options
        self.run_by_key: dict[fleet.RunKey, ActiveRun] = {}
        self.orphans_by_worker: dict[
            fleet.WorkerKey, dict[fleet.RunKey, ActiveRun]
        ] = {}
        self.has_changed = False
        self.planned_ms = now_ms
        self.now_ms = now_ms

    def add_orphan(self, job: jobs.Job, task: jobs.Task, now_ms: int) -> None:
        """Track a run of an earlier leader until its worker reports."""
        assert task.run is not None
        step = job.step_of(task.key)
        run = ActiveRun(
            job,
            task,
            task.run,
            step,
            (task.run.worker, task.run.worker_boot),
            now_ms,
            is_inherited=True,
            is_recorded=True,
            last_progress_ms=now_ms,
        )
        self.run_by_key[run.key] = run
        link = self._link_by_key.get(run.incarnation_key)
        if link is not None:
            link.capacity.run_by_key[run.key] = run
            link.capacity.recompute_free()
            return
        self.orphans_by_worker.setdefault(run.incarnation_key, {})[run.key] = (
            run
        )

    def find(self, job: jobs.Job, task: jobs.Task) -> ActiveRun | None:
        assert task.run is not None
        name = jobs.task_name(job.job_id, task.key)
        return self.run_by_key.get((name, task.run.number))

    def active_runs_of(self, job: jobs.Job) -> list[ActiveRun]:
        found = []
        for task in job.active_tasks():
            run = self.find(job, task)
            if run is not None:
                found.append(run)
        return found

    def vm_by_worker(self) -> dict[fleet.WorkerKey, str]:
        """Return the VM of each known incarnation of a worker."""
        vm_by_key = {
            key: next(iter(runs.values())).run.vm
            for key, runs in self.orphans_by_worker.items()
        }
        for key, link in self._link_by_key.items():
            vm_by_key[key] = link.vm
        return vm_by_key

    def record_decision(
        self, event: str, run: ActiveRun, **fields: t.Any
    ) -> None:
        """Log a decision on a run and add it to the decision log.

        :param fields: reason and outcome of the decision.
        """
        self._decision_log.record(
            event,
            run.job.job_id,
            task=run.name,
            run=run.run.number,
            worker=run.run.worker,
            **fields,
        )

    def stop(self, run: ActiveRun, reason: str) -> None:
        """Stop a run; its resources stay reserved until its end is listed.

        :param reason: text for the log; its first word is the label of
            the metric.
        """
        if run.is_stopping:
            return
        run.is_stopping = True
        self._worker_speeds.forget(run)
        self._metrics.count('runs_stopped_total', reason.partition(' ')[0])
        self.record_decision(
            'run stopping',
            run,
            reason=reason,
            progress=run.progress,
            lost_core_s=round(
                valuation.lost_core_seconds(
                    run, self.planned_ms, self._plan_options
                )
            ),
        )
        if run.is_recorded and not run.sent_ms and not run.is_inherited:
            self.discard(run, reason)
            return
        link = self._link_by_key.get(run.incarnation_key)
        if link is not None:
            link.has_pending_orders = True

    def members_of(self, run: ActiveRun) -> list[ActiveRun]:
        """Return the runs of its gang; the run alone if it is in none."""
        if not run.step.is_gang:
            return [run]
        key = run.task.key
        return [
            member
            for task in run.job.tasks_of(key.repetition, key.step)
            if task.run is not None and task.run.number == run.run.number
            for member in [self.find(run.job, task)]
            if member is not None
        ]

    def stop_other_members(self, run: ActiveRun, reason: str) -> None:
        """Stop the runs of the other members, if the run is in a gang."""
        for member in self.members_of(run):
            if member is not run:
                self.stop(member, reason)

    def discard(self, run: ActiveRun, reason: str) -> None:
        """Discard a run that cannot have started or is no longer running."""
        if self._discard_alone(run, reason):
            self.stop_other_members(run, 'another gang member did not start')

    def _discard_alone(self, run: ActiveRun, reason: str) -> bool:
        """Discard a run, not the other members of its gang.

        :param reason: text for the log; what precedes `` for `` is the label
            of the metric.
        :return: whether the run was still tracked.
        """
        if run.task.run != run.run:
            return False
        # What follows names a job or a duration.
        self._metrics.count(
            'runs_discarded_total', reason.partition(' for ')[0]
        )
        link = self._link_by_key.get(run.incarnation_key)
        evidence = link.report_fields(self.now_ms) if link else {}
        self.record_decision('run discarded', run, reason=reason, **evidence)
        self.remove(link, run)
        self._records.mark_dirty(run.job.job_id)
        return True

    def withdraw(self, run: ActiveRun, reason: str) -> None:
        """Give up a run that has not begun, and its gang.

        Runs whose start was never sent are discarded, also if their record
        is not stored yet; the others are stopped.

        :param reason: text for the log; its first word is the label of
            the metric.
        """
        if run.task.run != run.run:
            return
        for member in self.members_of(run):
            if member.sent_ms or member.is_inherited:
                self.stop(member, reason)
            else:
                self._discard_alone(member, reason)

    def discard_all_of(self, link: fleet.WorkerLink, reason: str) -> None:
        for run in list(link.capacity.run_by_key.values()):
            self.discard(run, reason)

    def discard_orphans(self, key: fleet.WorkerKey, reason: str) -> None:
        for run in list(self.orphans_by_worker.pop(key, {}).values()):
            self.discard(run, reason)

    def remove(self, link: fleet.WorkerLink | None, run: ActiveRun) -> None:
        run.task.run = None
        self._worker_speeds.forget(run)
        self.run_by_key.pop(run.key, None)
        self.has_changed = True
        if link is not None:
            link.capacity.run_by_key.pop(run.key, None)
            link.capacity.recompute_free()
