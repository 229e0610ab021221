"""The planner: queues, placement and preemption of owned accounts."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core.version import configuration as configurations
from result import Err
from result import Ok
from result import Result

from . import decisions
from .options import PolicyOptions
from .process import environment
from .process import records
from .process import round as rounds
from .process import waits

IDLE_INTERVAL_MS = 1_000

_BLAMED_ON_WORKER = frozenset(
    {
        exceptions.ErrorKind.BACKEND_FAILED,
        exceptions.ErrorKind.BACKEND_UNREACHABLE,
    }
)


class Planner:
    """Plans for the owned accounts over the whole fleet.

    It sees all workers and all accounts' tasks, and decides only for the
    accounts that it owns. A placement counts as taken until its end or
    refusal is recorded.
    """

    def __init__(self, env: environment.Environment) -> None:
        self._env = env
        self._blocked: rounds.Blocked = {}
        self._pressing: set[str] = set()
        self._unschedulable = waits.Unschedulable()
        self._is_changed = True
        self._planned_ms = 0

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
        """Put a version of the configuration in force."""
        self._env.configuration = configuration
        self._is_changed = True

    def set_owned(
        self, accounts: set[str], paused: t.Collection[str] = ()
    ) -> None:
        """Set the accounts that this planner plans for.

        Waiting jobs of accounts that it owned before are dropped; their
        new owner is told of them elsewhere.

        :param paused: accounts whose jobs are kept and not planned now.
        """
        lost = self._env.owned - accounts - set(paused)
        self._env.owned = set(accounts)
        for record in list(self._env.records.records_by_id.values()):
            is_waiting = record.phase is not records.JobPhase.PLACED
            if record.job.account in lost and is_waiting:
                self._forget(record.job.request_id)
        self._is_changed = True

    def observe_worker(self, state: messages.WorkerState, now_ms: int) -> None:
        """Take in what an agent reports of its worker."""
        self._env.fleet.observe(state, now_ms)
        self._sync_quarantine([state.worker])
        self._is_changed = True

    def lose_worker(self, name: str, now_ms: int) -> None:
        """Forget a worker that left or fell silent.

        The ends of what ran there still have to be recorded.
        """
        self._env.fleet.lose(name)
        self._env.health.forget_worker(name)
        self._is_changed = True

    def observe_pressures(
        self, pressures: list[messages.AccountPressure], now_ms: int
    ) -> None:
        """Take in what other owners report of their accounts."""
        known = self._env.pressures_by_account
        for pressure in pressures:
            known[pressure.account] = pressure
        self._is_changed = True

    def submit(
        self,
        job: decisions.Job,
        now_ms: int,
        *,
        is_accepted: bool = False,
    ) -> Result[None, exceptions.Error]:
        """Queue a job, or refuse it at once.

        :param is_accepted: whether it was accepted before and is back for
            another attempt or from another owner; it is then refused
            neither for the length of the queue nor for its deadline.
        :return: an error when it is refused.
        """
        env = self._env
        if env.records.get(job.request_id) is not None:
            return Ok(None)
        if env.health.is_request_blamed(job.request_id):
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.ATTEMPTS_SPENT,
                    'failed on two healthy workers',
                )
            )
        error = self._unschedulable.refusal(env, job)
        if error is None and not is_accepted:
            error = waits.refusal(env, job, now_ms)
        if error is not None:
            return Err(error)
        env.mix.add(job.demand, env.run_ms(job), now_ms)
        record = records.Record(
            job, queued_ms=job.submitted_ms, work=waits.work(env, job)
        )
        failed = env.health.failed_workers(job.request_id)
        env.records.add(record, frozenset(failed))
        self._is_changed = True
        return Ok(None)

    def cancel(self, request_id: str, now_ms: int) -> bool:
        """Forget a waiting job.

        :return: whether it was waiting; a job that was placed stays known
            until its end is recorded.
        """
        record = self._env.records.get(request_id)
        if record is None or record.phase is records.JobPhase.PLACED:
            return False
        self._forget(request_id)
        self._is_changed = True
        return True

    def record_started(
        self, request_id: str, attempt: int, now_ms: int
    ) -> None:
        """Note that an attempt has started."""
        self._env.fleet.set_attempt(request_id, attempt)
        record = self._env.records.get(request_id)
        if record is not None:
            record.attempt = attempt
            record.has_run = True

    def record_refused(self, request_id: str, now_ms: int) -> None:
        """Put a job that an agent refused back in its place."""
        env = self._env
        names = env.fleet.claimed_names(request_id)
        env.fleet.release(request_id)
        env.health.end_probe(request_id, names)
        record = env.records.get(request_id)
        if record is not None and record.phase is records.JobPhase.PLACED:
            env.records.requeue(record)
        self._is_changed = True

    def record_ended(
        self, request_id: str, outcome: messages.Outcome, now_ms: int
    ) -> bool:
        """Note the end of an attempt.

        :return: whether the job is back in its queue, which is so only
            after a preemption; any other job is forgotten, and one that
            is to be tried again is submitted again, as accepted.
        """
        env = self._env
        names = list(env.fleet.claimed_names(request_id))
        env.fleet.release(request_id)
        self._is_changed = True
        record = env.records.get(request_id)
        if record is None or record.phase is not records.JobPhase.PLACED:
            return False
        self._learn(record, names, outcome, now_ms)
        error = outcome.error
        if error is not None and _is_to_resume(record.job, error):
            record.preemptions += 1
            record.queued_ms = now_ms
            env.records.requeue(record)
            return True
        env.records.forget(request_id)
        return False

    def plan(self, now_ms: int) -> list[decisions.Decision]:
        """Decide what starts now, what is stopped and what is refused."""
        is_idle = now_ms - self._planned_ms < IDLE_INTERVAL_MS
        if is_idle and not self._is_changed:
            return []
        env = self._env
        env.ensure_packing(now_ms)
        env.headroom.observe(env.fleet, env.packing, now_ms)
        one = rounds.Round(env, self._unschedulable, now_ms)
        made = one.run()
        self._blocked = one.blocked
        self._pressing = one.pressing
        self._is_changed = bool(made)
        self._planned_ms = now_ms
        return made

    def explain(self, request_id: str, now_ms: int) -> decisions.WaitReason:
        """Tell why a job waits."""
        env = self._env
        record = env.records.get(request_id)
        if record is None or record.phase is records.JobPhase.PLACED:
            return decisions.WaitReason(
                decisions.WaitCause.IN_TURN, 'the job is not waiting', 0
            )
        if record.phase is records.JobPhase.EARMARKED:
            return decisions.WaitReason(
                decisions.WaitCause.RESERVED,
                'others are being stopped to make room',
                env.options.checkpoint_grace_ms,
            )
        job = record.job
        queue = env.records.queue(job.account)
        group = queue.group(request_id)
        reason = self._blocked.get((job.account, group))
        if reason is not None and queue.head(group) == job:
            return reason
        expected_ms = waits.predicted_ms(env, job)
        cause = decisions.WaitCause.IN_TURN
        if reason is not None:
            cause = reason.cause
        return decisions.WaitReason(cause, 'others are ahead', expected_ms)

    def pressures(self, now_ms: int) -> list[messages.AccountPressure]:
        """Return the need of each owned account, for other owners."""
        return [
            self._pressure(name, now_ms) for name in sorted(self._env.owned)
        ]

    def _pressure(self, account: str, now_ms: int) -> messages.AccountPressure:
        queue = self._env.records.queue(account)
        oldest_ms = queue.oldest_ms()
        return messages.AccountPressure(
            account,
            len(queue),
            account in self._pressing,
            0 if oldest_ms is None else now_ms - oldest_ms,
        )

    def _learn(
        self,
        record: records.Record,
        names: list[str],
        outcome: messages.Outcome,
        now_ms: int,
    ) -> None:
        env = self._env
        job = record.job
        error = outcome.error
        env.health.end_probe(job.request_id, [])
        if error is None:
            env.health.record_success(job.request_id, names)
            if record.preemptions == 0:
                key = (job.service, job.method, job.account)
                env.estimates.observe(key, job.declared_run_ms, outcome.run_ms)
        elif error.kind in _BLAMED_ON_WORKER:
            env.health.record_failure(job.request_id, names, now_ms)
        else:
            env.health.end_probe(job.request_id, names)
        self._sync_quarantine(names)

    def _sync_quarantine(self, names: list[str]) -> None:
        fleet = self._env.fleet
        for name in names:
            worker = fleet.workers_by_name.get(name)
            is_quarantined = self._env.health.is_quarantined(name)
            if worker and worker.is_quarantined != is_quarantined:
                fleet.set_quarantined(name, is_quarantined)

    def _forget(self, request_id: str) -> None:
        self._env.earmarks.drop(request_id)
        self._env.fleet.release(request_id)
        self._env.records.forget(request_id)


def _is_to_resume(job: decisions.Job, error: exceptions.Error) -> bool:
    if error.kind is not exceptions.ErrorKind.PREEMPTED:
        return False
    return job.is_idempotent or error.ran is exceptions.Ran.NO
