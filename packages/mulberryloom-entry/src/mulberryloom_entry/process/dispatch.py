"""Planning and dispatch of jobs of the accounts that this entry owns.

The owner of a client account is the entry that plans for it; the account is
one shard, and the epoch is the version of its ownership (see ``shards``).
A job is one queued request (see ``owned_jobs``).
"""

import dataclasses
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_policy import decisions
from mulberryloom_policy import planner as planners
from result import Err

from . import circuit
from . import outcome_notifier
from . import quarantine
from . import records
from ..request import lifecycle
from . import takeover
from .owned_jobs import OwnedJob
from .owned_jobs import OwnedJobs

if t.TYPE_CHECKING:
    from .context import Context

RETRY_BACKOFF_MS = 200
MAX_RETRY_BACKOFF_MS = 30_000
PLAN_INTERVAL_MS = 20

_Kind = exceptions.ErrorKind
_Ran = exceptions.Ran

#: Failures to claim a request after which a job is queued again with a
#: backoff; after other refusals it is queued again at once.
_STORE_RETRY_KINDS = frozenset(
    {_Kind.IDEMPOTENCY_KEY_IN_USE, _Kind.STORE_UNAVAILABLE}
)


class Dispatcher:
    """Executes the planner's decisions for the owned accounts.

    It starts, preempts and ends the jobs of these accounts, reports their
    results to the entries that submitted them, and follows changes of
    ownership.
    """

    __slots__ = (
        '_context',
        '_has_preempted',
        '_jobs',
        '_next_plan_ms',
        '_outcome_notifier',
        '_owned_accounts',
        '_planner',
        '_quarantine',
        '_takeover',
        '_is_plan_requested',
    )

    def __init__(self, context: 'Context', planner: planners.Planner) -> None:
        self._context = context
        self._planner = planner
        self._jobs = OwnedJobs()
        self._takeover = takeover.Takeover(context, self._jobs, self, self)
        self._quarantine = quarantine.Quarantine(context, planner)
        self._outcome_notifier = outcome_notifier.OutcomeNotifier(context)
        self._owned_accounts: set[str] = set()
        self._next_plan_ms = 0
        self._has_preempted = False
        self._is_plan_requested = False

    @property
    def jobs(self) -> OwnedJobs:
        """Table of jobs; iterating yields the open ones."""
        return self._jobs

    def set_ended_callback(
        self, on_ended: outcome_notifier.OnWorkEnded
    ) -> None:
        """Set the callback for the end of work that this entry submitted."""
        self._outcome_notifier.on_ended = on_ended

    def explain(self, request_id: str, now: int) -> decisions.WaitReason:
        """Return the reason why a job is waiting."""
        return self._planner.explain(request_id, now)

    def pressures(self, now: int) -> list[messages.AccountPressure]:
        """Return the unmet demand of each owned account.

        It is the number of queued requests, the longest time in the queue,
        and whether queued work fits into the unused part of the guarantee.
        """
        return self._planner.pressures(now)

    def configure(self) -> None:
        """Apply the active configuration to the planner."""
        self._planner.configure(self._context.configuration)
        self._is_plan_requested = True

    def on_submit(
        self, submission: messages.SubmitWork, submitter: str, now: int
    ) -> None:
        """Queue a request, or answer it if it has ended already.

        :param submitter: name of the entry that accepted the request from
            its caller; it is sent the outcome.
        """
        work = submission.work
        fingerprint = records.fingerprint(work)
        ended = self._jobs.find_ended(work.request_id)
        if ended is not None:
            self._outcome_notifier.notify_already_ended(
                ended, fingerprint, submitter, now
            )
            return
        owned_job = self._jobs.find(work.request_id)
        if owned_job is None:
            self._context.budgets.of(work.account).earn()
            owned_job = self._jobs.add(work, fingerprint, now)
            owned_job.request.is_journaled = submission.is_journaled
            owned_job.submitters.add(submitter)
            self._plan_job(owned_job, now, is_accepted=submission.is_journaled)
        elif owned_job.request.fingerprint != fingerprint:
            failure = lifecycle.failure(_Kind.IDEMPOTENCY_KEY_REUSED)
            self._outcome_notifier.notify(
                submitter, work.request_id, failure, now
            )
        else:
            owned_job.submitters.add(submitter)
            owned_job.request.is_journaled |= submission.is_journaled

    def _plan_job(
        self, owned_job: OwnedJob, now: int, is_accepted: bool
    ) -> None:
        """Add a job to the planner's queue, or end it if it is refused.

        :param is_accepted: whether the job was accepted before; it is then
            refused neither for the queue length nor for its deadline.
        """
        owned_job.job = dataclasses.replace(
            owned_job.job, demand=owned_job.request.work.demand
        )
        result = self._planner.submit(
            owned_job.job, now, is_accepted=is_accepted
        )
        if isinstance(result, Err):
            error = result.err_value
            ran = _Ran.UNKNOWN if owned_job.request.has_run else error.ran
            outcome = lifecycle.failure(
                error.kind, error.detail, ran, error.retry_after_ms
            )
            self._end(owned_job, outcome, now)
            return
        owned_job.is_planned = True
        self._is_plan_requested = True

    def on_cancel(self, cancel: messages.CancelWork, now: int) -> None:
        """Cancel open requests of an account; ignore all others."""
        for request_id in cancel.request_ids:
            owned_job = self._jobs.find(request_id)
            if (
                owned_job is None
                or owned_job.request.work.account != cancel.account
            ):
                continue
            self._cancel(owned_job, _Kind.CANCELLED, now)
        self._is_plan_requested = True

    def _cancel(
        self, owned_job: OwnedJob, kind: exceptions.ErrorKind, now: int
    ) -> None:
        request = owned_job.request
        attempt = self._context.attempts.find(request.request_id)
        is_overdue = kind is _Kind.DEADLINE_PASSED
        if (
            is_overdue
            and attempt is not None
            and not request.work.is_idempotent
        ):
            # Stopping it half-way would gain nothing: it cannot be retried.
            return
        request.is_cancelled = True
        if attempt is not None:
            self._context.attempts.cancel(request.request_id)
            return
        self._planner.cancel(request.request_id, now)
        self._end(owned_job, request.abort_outcome(kind), now)

    def on_worker_state(self, state: messages.WorkerState, now: int) -> None:
        """Update the planner with the state that an agent reported."""
        self._quarantine.observe(state, now)
        self._is_plan_requested = True
        self._takeover.adopt_tasks(state, now)

    def on_worker_lost(self, worker: str, now: int) -> None:
        """Remove a worker that left or timed out from the plan."""
        self._planner.lose_worker(worker, now)
        self._is_plan_requested = True

    def on_pressures(
        self, pressures: list[messages.AccountPressure], now: int
    ) -> None:
        """Update the unmet demand of accounts with other owners."""
        self._planner.observe_pressures(pressures, now)

    def on_entry_lost(self, now: int) -> None:
        """Schedule a search for journaled requests of a lost entry.

        The entry may have been lost between journaling a request and
        submitting it to its owner.
        """
        self._takeover.schedule_reload(now)

    def hand_over(self) -> list[messages.HandOver]:
        """Return a handover message for each owned shard.

        The queues in the messages are empty: journaled requests are loaded
        from the journal, and entries submit all others to the new owner.
        """
        shards = self._context.shards
        return [
            messages.HandOver(info.account, info.epoch, [])
            for info in shards.shard_infos()
        ]

    def withdraw(self, owned_job: OwnedJob, now: int) -> bool:
        """Remove a job from the planner's queue.

        :return: ``False`` if the job has been placed on workers already.
        """
        is_queued = self._planner.cancel(owned_job.request_id, now)
        if owned_job.is_planned and not is_queued:
            return False
        owned_job.is_planned = False
        return True

    def requeue(self, owned_job: OwnedJob, now: int) -> None:
        """Add a job that was accepted before to the planner's queue."""
        self._plan_job(owned_job, now, is_accepted=True)

    def on_tick(self, now: int) -> None:
        """Update ownership, handle due jobs, then plan."""
        self._update_ownership(now)
        self._quarantine.on_tick(now)
        self._takeover.on_tick(now)
        for owned_job in self._jobs.take_delayed(now):
            self.requeue(owned_job, now)
        for owned_job in self._jobs.take_overdue(now):
            self._end_overdue(owned_job, now)
        self._jobs.expire_ended(now)
        self._plan(now)

    def plan_if_requested(self, now: int) -> None:
        """Plan after a change, at most once each ``PLAN_INTERVAL_MS``."""
        if self._is_plan_requested and now >= self._next_plan_ms:
            self._plan(now)

    def _update_ownership(self, now: int) -> None:
        shards = self._context.shards
        owned_accounts = shards.owned_accounts()
        if owned_accounts == self._owned_accounts:
            self._planner.set_owned(
                self._ready_accounts(now), self._owned_accounts
            )
            return
        for account in owned_accounts - self._owned_accounts:
            self._takeover.add_account(account, now)
        for account in self._owned_accounts - owned_accounts:
            if shards.owner_of(account) == self._context.name:
                # A higher epoch is known, but this entry is still the
                # designated owner and claims the account again. Its jobs
                # stay here, since their submitters know no other owner.
                owned_accounts.add(account)
                continue
            self._takeover.remove_account(account)
            self._drop_account(account, now)
        self._owned_accounts = owned_accounts
        self._planner.set_owned(self._ready_accounts(now), owned_accounts)

    def _ready_accounts(self, now: int) -> set[str]:
        """Return the owned accounts that may be planned.

        A new owner first collects the workers' reports, to learn which
        tasks of the account are running.
        """
        shards = self._context.shards
        return {
            account
            for account in self._owned_accounts
            if not shards.is_rebuilding(account, now)
        }

    def _drop_account(self, account: str, now: int) -> None:
        """Drop the jobs of an account that has a new owner.

        Attempts of work that is not idempotent continue here, since their
        claims in the store name this entry. The claims of other jobs are
        released, so that the new owner can claim them.
        """
        for owned_job in self._jobs.of_account(account):
            attempt = self._context.attempts.find(owned_job.request_id)
            if (
                attempt is not None
                and not owned_job.request.work.is_idempotent
            ):
                continue
            self._planner.cancel(owned_job.request_id, now)
            if attempt is not None:
                self._context.attempts.abandon(owned_job.request_id)
                superseded = lifecycle.failure(_Kind.STALE_EPOCH)
                self._planner.record_ended(
                    owned_job.request_id, superseded, now
                )
            self._context.claims.release(owned_job.request)
            self._jobs.drop(owned_job)

    def _end_overdue(self, owned_job: OwnedJob, now: int) -> None:
        if owned_job.account in self._owned_accounts:
            self._cancel(owned_job, _Kind.DEADLINE_PASSED, now)
        elif self._context.attempts.find(owned_job.request_id) is None:
            self._planner.cancel(owned_job.request_id, now)
            self._jobs.drop(owned_job)

    def _plan(self, now: int) -> None:
        self._is_plan_requested = False
        self._next_plan_ms = now + PLAN_INTERVAL_MS
        for decision in self._planner.plan(now):
            if isinstance(decision, decisions.Place):
                self._place(decision, now)
            elif isinstance(decision, decisions.Preempt):
                self._preempt(decision)
            else:
                self._refuse(decision, now)

    def _place(self, place: decisions.Place, now: int) -> None:
        owned_job = self._jobs.find(place.request_id)
        members = self._gang_members(place)
        epoch = None
        if owned_job is not None:
            account = owned_job.request.work.account
            epoch = self._context.shards.epoch_of(account)
        if owned_job is None or members is None or epoch is None:
            self._planner.record_refused(place.request_id, now)
            return
        self._context.attempts.begin(
            owned_job.request, members, self, now, epoch
        )

    def _gang_members(
        self, place: decisions.Place
    ) -> list[messages.GangMember] | None:
        members = []
        for placement in place.placements:
            view = self._context.membership.workers_by_name.get(
                placement.worker
            )
            if view is None or view.state is None:
                return None
            members.append(
                messages.GangMember(
                    view.worker,
                    view.incarnation,
                    view.state.address,
                    placement.accelerators,
                )
            )
        return members

    def pop_has_preempted(self) -> bool:
        """Return whether a job was preempted since the last call."""
        has_preempted = self._has_preempted
        self._has_preempted = False
        return has_preempted

    def _preempt(self, preempt: decisions.Preempt) -> None:
        epoch = self._context.shards.epoch_of(preempt.for_account)
        if epoch is None:
            return
        self._has_preempted = True
        message = messages.PreemptTask(
            preempt.request_id,
            preempt.attempt,
            preempt.grace_ms,
            preempt.for_account,
            epoch,
        )
        for worker in preempt.workers:
            view = self._context.membership.workers_by_name.get(worker)
            if view is not None and view.state is not None:
                self._context.outbox.send_agent(
                    worker, message, view.state.address
                )

    def _refuse(self, refuse: decisions.Refuse, now: int) -> None:
        owned_job = self._jobs.find(refuse.request_id)
        if owned_job is None:
            return
        error = refuse.error
        if owned_job.request.has_run and error.ran is _Ran.NO:
            error = dataclasses.replace(error, ran=_Ran.UNKNOWN)
        status = exceptions.RESPONSE_BY_KIND[error.kind].status
        outcome = messages.Outcome(error=error, status=status)
        self._end(owned_job, outcome, now)

    def on_started(self, request: lifecycle.Request, now: int) -> None:
        """Record in the planner that an attempt has started."""
        attempt = self._context.attempts.find(request.request_id)
        if attempt is not None:
            self._planner.record_started(
                request.request_id, attempt.number, now
            )

    def on_attempt_ended(
        self,
        request: lifecycle.Request,
        outcome: messages.Outcome,
        worker: str,
        now: int,
    ) -> None:
        """End the job or queue it for another attempt."""
        self._is_plan_requested = True
        owned_job = self._jobs.find(request.request_id)
        if owned_job is None:
            self._planner.record_ended(request.request_id, outcome, now)
            return
        final_outcome = self._context.evaluate_attempt(
            request, outcome, worker, now
        )
        if final_outcome is not None:
            self._planner.record_ended(request.request_id, outcome, now)
            owned_job.is_planned = False
            self._end(owned_job, final_outcome, now)
        elif owned_job.account not in self._owned_accounts:
            # The new owner can claim the request once this claim is released.
            self._planner.record_ended(request.request_id, outcome, now)
            self._context.claims.release(request)
            self._jobs.drop(owned_job)
        else:
            self._retry(owned_job, outcome, now)

    def _retry(
        self, owned_job: OwnedJob, outcome: messages.Outcome, now: int
    ) -> None:
        request_id = owned_job.request_id
        error = outcome.error
        assert error is not None
        if error.kind in _STORE_RETRY_KINDS and owned_job.is_planned:
            self._planner.record_refused(request_id, now)
            self._planner.cancel(request_id, now)
            self._requeue_later(owned_job, owned_job.request.refusals, now)
        elif error.ran is _Ran.NO and owned_job.is_planned:
            self._planner.record_refused(request_id, now)
        elif not self._planner.record_ended(request_id, outcome, now):
            self._requeue_later(
                owned_job, owned_job.request.failed_attempts, now
            )

    def _requeue_later(
        self, owned_job: OwnedJob, failures: int, now: int
    ) -> None:
        """Queue a job again after a retry backoff that grows with failures."""
        delay_ms = circuit.jittered_backoff(
            max(1, failures),
            RETRY_BACKOFF_MS,
            MAX_RETRY_BACKOFF_MS,
            self._context.random,
        )
        self._jobs.delay(owned_job, now + delay_ms)

    def _end(
        self, owned_job: OwnedJob, outcome: messages.Outcome, now: int
    ) -> None:
        request = owned_job.request
        request.end(outcome, now)
        request_id = request.request_id
        if owned_job.is_planned:
            self._planner.cancel(request_id, now)
        self._finish_claim(request, outcome, now)
        if request.is_journaled:
            wall_ms = self._context.wall_ms(now)
            self._context.journal.record_result(request, wall_ms, now)
        self._jobs.end(owned_job, now)
        for submitter in sorted(owned_job.submitters):
            self._outcome_notifier.notify(submitter, request_id, outcome, now)

    def _finish_claim(
        self,
        request: lifecycle.Request,
        outcome: messages.Outcome,
        now: int,
    ) -> None:
        error = outcome.error
        if error is not None and error.ran is _Ran.NO:
            self._context.claims.release(request)
        else:
            self._context.claims.mark_ended(request, now)
