"""Planner: queueing, placement and preemption of requests."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core.version import configuration as configurations
from result import Err
from result import Ok
from result import Result

from . import decisions
from .options import PolicyOptions
from .process import admission
from .process import environment
from .process import records
from .process import round as rounds

#: Interval between two planning rounds while nothing changes.
IDLE_PLAN_INTERVAL_MS = 1_000

#: Errors that count against the health of the worker.
_WORKER_FAILURE_KINDS = frozenset(
    {
        exceptions.ErrorKind.BACKEND_FAILED,
        exceptions.ErrorKind.BACKEND_UNREACHABLE,
    }
)


class Planner:
    """Schedules the jobs of the owned accounts on the whole fleet.

    It sees all workers and the tasks of all accounts, but decides only
    for the accounts that it owns. A placement occupies its resources
    until the end or the refusal of the job is recorded.

    Call :meth:`plan` after changes have been reported by the other
    methods; all times are in milliseconds on the clock of the caller.
    """

    def __init__(self, env: environment.Environment) -> None:
        self._env = env
        self._reason_by_group: rounds.Blocked = {}
        self._accounts_below_guarantee: set[str] = set()
        self._schedulability_cache = admission.SchedulabilityCache()
        # Set by reported changes and by rounds with decisions.
        self._is_plan_stale = True
        self._last_plan_ms = 0

    @classmethod
    def from_configuration(
        cls,
        configuration: configurations.Configuration,
        options: PolicyOptions,
    ) -> 'Planner':
        """Build a planner that owns no account yet."""
        env = environment.Environment.from_configuration(
            configuration, options
        )
        return cls(env)

    def configure(self, configuration: configurations.Configuration) -> None:
        """Replace the configuration by another version of it."""
        self._env.configuration = configuration
        self._is_plan_stale = True

    def set_owned(
        self, accounts: set[str], paused: t.Collection[str] = ()
    ) -> None:
        """Set the accounts whose jobs this planner schedules.

        Waiting jobs of accounts that are no longer owned are dropped.
        Informing their new owner is not done here.

        :param paused: accounts whose waiting jobs are kept although
            they are not scheduled for now.
        """
        disowned = self._env.owned - accounts - set(paused)
        self._env.owned = set(accounts)
        for record in list(self._env.records.records_by_id.values()):
            is_waiting = record.phase is not records.JobPhase.PLACED
            if record.job.account in disowned and is_waiting:
                self._remove_job(record.job.request_id)
        self._is_plan_stale = True

    def observe_worker(self, state: messages.WorkerState, now_ms: int) -> None:
        """Update the view of a worker from a report of its agent."""
        self._env.fleet.observe(state, now_ms)
        self._sync_quarantine([state.worker])
        self._is_plan_stale = True

    def lose_worker(self, name: str, now_ms: int) -> None:
        """Remove a worker that left or stopped reporting.

        The ends of the attempts that ran there still have to be recorded.
        """
        self._env.fleet.lose(name)
        self._env.health.forget_worker(name)
        self._is_plan_stale = True

    def observe_pressures(
        self, pressures: list[messages.AccountPressure], now_ms: int
    ) -> None:
        """Update the queue states reported by owners of other accounts."""
        pressures_by_account = self._env.pressures_by_account
        for pressure in pressures:
            pressures_by_account[pressure.account] = pressure
        self._is_plan_stale = True

    def submit(
        self,
        job: decisions.Job,
        now_ms: int,
        *,
        is_accepted: bool = False,
    ) -> Result[None, exceptions.Error]:
        """Queue a job, or refuse it immediately.

        A job that is already known is left as it is.

        :param is_accepted: whether the job was accepted before and is
            submitted again for another attempt or after a change of
            owner; the queue limit and the deadline are then not checked.
        :return: an error if the job is refused.
        """
        env = self._env
        if env.records.get(job.request_id) is not None:
            return Ok(None)
        if env.health.is_request_blamed(job.request_id):
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.ATTEMPTS_SPENT,
                    'request failed on two healthy workers',
                )
            )
        error = self._schedulability_cache.never_fits_error(env, job)
        if error is None and not is_accepted:
            error = admission.admission_error(env, job, now_ms)
        if error is not None:
            return Err(error)
        env.shape_mix.add(job.demand, env.run_ms(job), now_ms)
        record = records.Record(
            job,
            queued_ms=job.submitted_ms,
            work=admission.fleet_time_ms(env, job),
        )
        failed = env.health.failed_workers(job.request_id)
        env.records.add(record, frozenset(failed))
        self._is_plan_stale = True
        return Ok(None)

    def cancel(self, request_id: str, now_ms: int) -> bool:
        """Remove a waiting job.

        :return: whether the job was waiting; a placed job is kept until
            its end is recorded.
        """
        record = self._env.records.get(request_id)
        if record is None or record.phase is records.JobPhase.PLACED:
            return False
        self._remove_job(request_id)
        self._is_plan_stale = True
        return True

    def record_started(
        self, request_id: str, attempt: int, now_ms: int
    ) -> None:
        """Record that an attempt has started."""
        self._env.fleet.set_attempt(request_id, attempt)
        record = self._env.records.get(request_id)
        if record is not None:
            record.attempt = attempt
            record.has_run = True

    def record_refused(self, request_id: str, now_ms: int) -> None:
        """Put a job that an agent refused back at its queue position."""
        env = self._env
        worker_names = env.fleet.claimed_names(request_id)
        env.fleet.release(request_id)
        env.health.end_probe(request_id, worker_names)
        record = env.records.get(request_id)
        if record is not None and record.phase is records.JobPhase.PLACED:
            env.records.requeue(record)
        self._is_plan_stale = True

    def record_ended(
        self, request_id: str, outcome: messages.Outcome, now_ms: int
    ) -> bool:
        """Record the end of an attempt.

        :return: whether the job was put back in its queue, which happens
            only after a preemption. Any other job is removed; for a retry
            the caller submits it again with ``is_accepted``.
        """
        env = self._env
        worker_names = list(env.fleet.claimed_names(request_id))
        env.fleet.release(request_id)
        self._is_plan_stale = True
        record = env.records.get(request_id)
        if record is None or record.phase is not records.JobPhase.PLACED:
            return False
        self._observe_outcome(record, worker_names, outcome, now_ms)
        error = outcome.error
        if error is not None and _is_resumable(record.job, error):
            record.preemptions += 1
            record.queued_ms = now_ms
            env.records.requeue(record)
            return True
        env.records.forget(request_id)
        return False

    def plan(self, now_ms: int) -> list[decisions.Decision]:
        """Decide which jobs to place, preempt or refuse now.

        Does nothing if no change was reported since the last round and
        that round is less than ``IDLE_PLAN_INTERVAL_MS`` ago.
        """
        is_recent = now_ms - self._last_plan_ms < IDLE_PLAN_INTERVAL_MS
        if is_recent and not self._is_plan_stale:
            return []
        env = self._env
        env.ensure_packing(now_ms)
        env.headroom.observe(env.fleet, env.packing, now_ms)
        planning_round = rounds.Round(env, self._schedulability_cache, now_ms)
        decided = planning_round.run()
        self._reason_by_group = planning_round.blocked
        self._accounts_below_guarantee = (
            planning_round.accounts_below_guarantee
        )
        self._is_plan_stale = bool(decided)
        self._last_plan_ms = now_ms
        return decided

    def explain(self, request_id: str, now_ms: int) -> decisions.WaitReason:
        """Return the reason why a job waits, for operators."""
        env = self._env
        record = env.records.get(request_id)
        if record is None or record.phase is records.JobPhase.PLACED:
            return decisions.WaitReason(
                decisions.WaitCause.IN_TURN, 'the job is not queued', 0
            )
        if record.phase is records.JobPhase.PENDING_PREEMPTION:
            return decisions.WaitReason(
                decisions.WaitCause.RESERVED,
                'running jobs are being preempted to free capacity for it',
                env.options.checkpoint_grace_ms,
            )
        job = record.job
        queue = env.records.queue(job.account)
        group = queue.group(request_id)
        reason = self._reason_by_group.get((job.account, group))
        if reason is not None and queue.head(group) == job:
            return reason
        expected_ms = admission.predicted_wait_ms(env, job)
        cause = decisions.WaitCause.IN_TURN
        if reason is not None:
            cause = reason.cause
        return decisions.WaitReason(
            cause, 'other jobs of the account are ahead', expected_ms
        )

    def pressures(self, now_ms: int) -> list[messages.AccountPressure]:
        """Return the queue state of each owned account, for other owners."""
        return [
            self._pressure(name, now_ms) for name in sorted(self._env.owned)
        ]

    def _pressure(self, account: str, now_ms: int) -> messages.AccountPressure:
        queue = self._env.records.queue(account)
        oldest_ms = queue.oldest_ms()
        return messages.AccountPressure(
            account,
            len(queue),
            account in self._accounts_below_guarantee,
            0 if oldest_ms is None else now_ms - oldest_ms,
        )

    def _observe_outcome(
        self,
        record: records.Record,
        worker_names: list[str],
        outcome: messages.Outcome,
        now_ms: int,
    ) -> None:
        env = self._env
        job = record.job
        error = outcome.error
        env.health.end_probe(job.request_id, [])
        if error is None:
            env.health.record_success(job.request_id, worker_names)
            if record.preemptions == 0:
                key = (job.service, job.method, job.account)
                env.estimates.observe(key, job.declared_run_ms, outcome.run_ms)
        elif error.kind in _WORKER_FAILURE_KINDS:
            env.health.record_failure(job.request_id, worker_names, now_ms)
        else:
            env.health.end_probe(job.request_id, worker_names)
        self._sync_quarantine(worker_names)

    def _sync_quarantine(self, worker_names: list[str]) -> None:
        """Set the quarantine of workers in the fleet as in their health."""
        fleet = self._env.fleet
        for name in worker_names:
            worker = fleet.workers_by_name.get(name)
            is_quarantined = self._env.health.is_quarantined(name)
            if worker and worker.is_quarantined != is_quarantined:
                fleet.set_quarantined(name, is_quarantined)

    def _remove_job(self, request_id: str) -> None:
        self._env.pending_placements.drop(request_id)
        self._env.fleet.release(request_id)
        self._env.records.forget(request_id)


def _is_resumable(job: decisions.Job, error: exceptions.Error) -> bool:
    """Tell whether a job is queued again after an attempt ended with an error.

    It is if it was preempted, and is idempotent or has not run.
    """
    if error.kind is not exceptions.ErrorKind.PREEMPTED:
        return False
    return job.is_idempotent or error.ran is exceptions.Ran.NO
