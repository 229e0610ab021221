"""Attribution of worker crashes to tasks, from the reports of agents.

The crashes of a task are part of its job's record, which is written before
the task starts again. So they outlast the leader, and no start precedes the
count of the crash before it.
"""

from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import jobs
from mulberryloom_policy.jobs import ActiveRun
from mulberryloom_policy.jobs import crashes
import structlog

from . import decisions
from . import fleet
from . import record_cache
from . import run_table

_log = structlog.get_logger(__name__)


class CrashAttribution:
    """Counts crashes of workers for the tasks that ran there.

    Agents repeat the report of a crash, and a new leader hears of it again;
    each crash counts once for each task.

    :param records: records of the jobs, which hold the crashes.
    :param runs: the runs that have not ended.
    :param decision_log: receives what is found out about a task.
    :param metrics: counts crashes and jobs at fault.
    """

    __slots__ = (
        '_decision_log',
        '_known_crashes_by_vm',
        '_metrics',
        '_records',
        '_runs',
    )

    def __init__(
        self,
        records: record_cache.JobRecordCache,
        runs: run_table.RunTable,
        decision_log: decisions.DecisionLog,
        metrics: process_metrics.ProcessMetrics,
    ) -> None:
        self._records = records
        self._runs = runs
        self._decision_log = decision_log
        self._metrics = metrics
        # Those that the agent of the VM still reports.
        self._known_crashes_by_vm: dict[str, set[fleet.WorkerKey]] = {}

    def apply(
        self, node: str, report: messages.WorkerReport
    ) -> list[jobs.Job]:
        """Count the crashes in a report.

        :param node: peer name of the agent.
        :return: jobs that have failed by them.
        """
        vm = identity.vm_of(node)
        runs_by_worker: dict[fleet.WorkerKey, list[messages.CrashedRun]] = {}
        for run in report.crashed_runs:
            key = (run.worker, run.boot)
            runs_by_worker.setdefault(key, []).append(run)
        known = self._known_crashes_by_vm.get(vm, set())
        self._known_crashes_by_vm[vm] = set(runs_by_worker)
        failed_jobs = []
        for key, runs in runs_by_worker.items():
            if key not in known:
                self._log_crash(key, vm, report.worker, runs)
            for run in runs:
                job = self._note(run.task, crashes.crash_of(vm, run, runs))
                if job is not None:
                    failed_jobs.append(job)
        return failed_jobs

    def _log_crash(
        self,
        key: fleet.WorkerKey,
        vm: str,
        successor: str,
        runs: list[messages.CrashedRun],
    ) -> None:
        self._metrics.count('worker_crashes_total')
        _log.warning(
            'worker crashed',
            worker=key[0],
            boot=key[1],
            vm=vm,
            successor=successor,
            age_ms_by_task={run.task: run.age_ms for run in runs},
        )

    def _note(self, name: str, crash: jobs.Crash) -> jobs.Job | None:
        """Count a crash for a task.

        :param name: name of the task on its worker.
        :return: its job, if it has failed by that.
        """
        parsed = jobs.parse_task_name(name)
        job = self._records.find(parsed[0]) if parsed else None
        if parsed is None or job is None or job.state.is_final:
            return None
        task = job.task_by_key.get(parsed[1])
        if task is None or not crashes.note_crash(task, crash):
            return None
        is_at_fault = crashes.is_at_fault(task)
        self._decision_log.record(
            'worker crashed under task',
            job.job_id,
            task=name,
            run=crash.run_number,
            vm=crash.vm,
            age_ms=crash.age_ms,
            is_last_start=crash.is_last_start,
            is_only_start=crash.is_only_start,
            crashes=len(task.crashes),
            is_suspect=crashes.is_suspect(task),
            is_at_fault=is_at_fault,
        )
        self._records.mark_dirty(job.job_id)
        if not is_at_fault:
            return None
        self._metrics.count('tasks_at_fault_total')
        job.fail(jobs.JobFailure.CRASHES)
        return job

    def clear_survivor(self, run: ActiveRun) -> None:
        """Clear a suspect task whose run outlives the earlier ones.

        The members of a gang begin only when all of them are present.
        """
        members = self._runs.members_of(run)
        if len(members) < (run.step.tasks if run.step.is_gang else 1):
            return
        if not all(member.is_confirmed for member in members):
            return
        begun_ms = max(member.first_listed_ms for member in members)
        age_ms = run.last_listed_ms - begun_ms
        if age_ms < crashes.probation_ms(run.task):
            return
        self._runs.record_decision(
            'task cleared of crashes',
            run,
            after_ms=age_ms,
            crashes=len(run.task.crashes),
        )
        crashes.clear(run.task, run.run.number)
        self._runs.has_changed = True
        self._records.mark_dirty(run.job.job_id)
