"""Planning and dispatch for the client accounts that this entry owns."""

import dataclasses
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_policy import decisions
from mulberryloom_policy import planner as planners
from result import Err

from . import circuit
from . import notices
from . import quarantine
from . import records
from ..request import lifecycle
from . import takeover
from .jobs import Jobs
from .jobs import OwnedJob

if t.TYPE_CHECKING:
    from .context import Context

RETRY_BACKOFF_MS = 200
MAX_RETRY_BACKOFF_MS = 30_000
PLAN_INTERVAL_MS = 20

_Kind = exceptions.ErrorKind
_Ran = exceptions.Ran


_WAIT_FOR_STORE = frozenset(
    {_Kind.IDEMPOTENCY_KEY_IN_USE, _Kind.STORE_UNAVAILABLE}
)


class Dispatcher:
    """Carries out the planner's decisions for the owned accounts."""

    __slots__ = (
        '_context',
        '_has_preempted',
        '_jobs',
        '_next_plan_ms',
        '_notices',
        '_owned',
        '_planner',
        '_quarantine',
        '_takeover',
        '_wants_plan',
    )

    def __init__(self, context: 'Context', planner: planners.Planner) -> None:
        self._context = context
        self._planner = planner
        self._jobs = Jobs()
        self._takeover = takeover.Takeover(context, self._jobs, self, self)
        self._quarantine = quarantine.Quarantine(context, planner)
        self._notices = notices.Notices(context)
        self._owned: set[str] = set()
        self._next_plan_ms = 0
        self._has_preempted = False
        self._wants_plan = False

    @property
    def jobs(self) -> Jobs:
        """Jobs that have not ended."""
        return self._jobs

    def listen(self, on_ended: notices.OnEnded) -> None:
        """Set who is told of the end of work from this entry itself."""
        self._notices.on_ended = on_ended

    def explain(self, request_id: str, now: int) -> decisions.WaitReason:
        """Tell why a job waits."""
        return self._planner.explain(request_id, now)

    def pressures(self, now: int) -> list[messages.AccountPressure]:
        """Return the need of each owned account."""
        return self._planner.pressures(now)

    def configure(self) -> None:
        """Put a new configuration in force."""
        self._planner.configure(self._context.configuration)
        self._wants_plan = True

    def on_submit(
        self, submission: messages.SubmitWork, submitter: str, now: int
    ) -> None:
        """Take in a request of an account, from the entry that took it."""
        work = submission.work
        fingerprint = records.fingerprint(work)
        ended = self._jobs.find_ended(work.request_id)
        if ended is not None:
            self._notices.tell_again(ended, fingerprint, submitter, now)
            return
        owned = self._jobs.find(work.request_id)
        if owned is None:
            self._context.budgets.of(work.account).earn()
            owned = self._jobs.add(work, fingerprint, now)
            owned.request.is_journaled = submission.is_journaled
            owned.submitters.add(submitter)
            self._plan_job(owned, now, is_accepted=submission.is_journaled)
        elif owned.request.fingerprint != fingerprint:
            reused = lifecycle.failure(_Kind.IDEMPOTENCY_KEY_REUSED)
            self._notices.tell(submitter, work.request_id, reused, now)
        else:
            owned.submitters.add(submitter)
            owned.request.is_journaled |= submission.is_journaled

    def _plan_job(self, owned: OwnedJob, now: int, is_accepted: bool) -> None:
        """Put a job into the planner's queue."""
        owned.job = dataclasses.replace(
            owned.job, demand=owned.request.work.demand
        )
        planned = self._planner.submit(owned.job, now, is_accepted=is_accepted)
        if isinstance(planned, Err):
            error = planned.err_value
            ran = _Ran.UNKNOWN if owned.request.has_run else error.ran
            outcome = lifecycle.failure(
                error.kind, error.detail, ran, error.retry_after_ms
            )
            self._end(owned, outcome, now)
            return
        owned.is_planned = True
        self._wants_plan = True

    def on_cancel(self, cancel: messages.CancelWork, now: int) -> None:
        """Cancel requests; those that have ended are left alone."""
        for request_id in cancel.request_ids:
            owned = self._jobs.find(request_id)
            if owned is None or owned.request.work.account != cancel.account:
                continue
            self._cancel(owned, _Kind.CANCELLED, now)
        self._wants_plan = True

    def _cancel(
        self, owned: OwnedJob, kind: exceptions.ErrorKind, now: int
    ) -> None:
        request = owned.request
        attempt = self._context.attempts.find(request.request_id)
        is_late = kind is _Kind.DEADLINE_PASSED
        if is_late and attempt is not None and not request.work.is_idempotent:
            # Stopping it half way would gain nothing.
            return
        request.is_cancelled = True
        if attempt is not None:
            self._context.attempts.cancel(request.request_id)
            return
        self._planner.cancel(request.request_id, now)
        self._end(owned, request.give_up(kind), now)

    def on_worker_state(self, state: messages.WorkerState, now: int) -> None:
        """Take in what an agent reports of its worker."""
        self._quarantine.observe(state, now)
        self._wants_plan = True
        self._takeover.adopt_from(state, now)

    def on_worker_lost(self, worker: str, now: int) -> None:
        """Plan without a worker that left or fell silent."""
        self._planner.lose_worker(worker, now)
        self._wants_plan = True

    def on_pressures(
        self, pressures: list[messages.AccountPressure], now: int
    ) -> None:
        """Take in the needs of other owners' accounts."""
        self._planner.observe_pressures(pressures, now)

    def on_entry_lost(self, now: int) -> None:
        """Look for journaled requests that nobody has submitted."""
        self._takeover.look_again(now)

    def hand_over(self) -> list[messages.HandOver]:
        """Return the owned shards with their epochs, for other entries.

        Their queues are empty: the journal holds what is accepted, and
        entries submit the rest again to the new owner.
        """
        shards = self._context.shards
        return [
            messages.HandOver(info.account, info.epoch, [])
            for info in shards.infos()
        ]

    def withdraw(self, owned: OwnedJob, now: int) -> bool:
        """Take a job out of the plan, unless it has been placed."""
        is_queued = self._planner.cancel(owned.request_id, now)
        if owned.is_planned and not is_queued:
            return False
        owned.is_planned = False
        return True

    def put_back(self, owned: OwnedJob, now: int) -> None:
        """Put an accepted job into the plan."""
        self._plan_job(owned, now, is_accepted=True)

    def on_tick(self, now: int) -> None:
        """Follow ownership, then plan."""
        self._follow_ownership(now)
        self._quarantine.on_tick(now)
        self._takeover.on_tick(now)
        for owned in self._jobs.take_delayed(now):
            self.put_back(owned, now)
        for owned in self._jobs.take_late(now):
            self._end_late(owned, now)
        self._jobs.drop_ended(now)
        self._plan(now)

    def plan_if_wanted(self, now: int) -> None:
        """Plan after news, but not more often than each interval."""
        if self._wants_plan and now >= self._next_plan_ms:
            self._plan(now)

    def _follow_ownership(self, now: int) -> None:
        shards = self._context.shards
        owned = shards.owned()
        if owned == self._owned:
            self._planner.set_owned(self._ready(now), self._owned)
            return
        for account in owned - self._owned:
            self._takeover.begin(account, now)
        for account in self._owned - owned:
            if shards.owner_of(account) == self._context.name:
                # Its jobs wait here until the account is claimed anew: the
                # entries that took them know no other owner.
                owned.add(account)
                continue
            self._takeover.stop(account)
            self._drop_account(account, now)
        self._owned = owned
        self._planner.set_owned(self._ready(now), owned)

    def _ready(self, now: int) -> set[str]:
        shards = self._context.shards
        return {
            account
            for account in self._owned
            if not shards.is_rebuilding(account, now)
        }

    def _drop_account(self, account: str, now: int) -> None:
        """Leave the jobs of an account to its new owner.

        Claimed attempts go on here, since their claims name this entry.
        """
        for owned in self._jobs.of(account):
            attempt = self._context.attempts.find(owned.request_id)
            if attempt is not None and not owned.request.work.is_idempotent:
                continue
            self._planner.cancel(owned.request_id, now)
            if attempt is not None:
                self._context.attempts.abandon(owned.request_id)
                moved = lifecycle.failure(_Kind.STALE_EPOCH)
                self._planner.record_ended(owned.request_id, moved, now)
            self._jobs.drop(owned)

    def _end_late(self, owned: OwnedJob, now: int) -> None:
        if owned.account in self._owned:
            self._cancel(owned, _Kind.DEADLINE_PASSED, now)
        elif self._context.attempts.find(owned.request_id) is None:
            self._planner.cancel(owned.request_id, now)
            self._jobs.drop(owned)

    def _plan(self, now: int) -> None:
        self._wants_plan = False
        self._next_plan_ms = now + PLAN_INTERVAL_MS
        for decision in self._planner.plan(now):
            if isinstance(decision, decisions.Place):
                self._place(decision, now)
            elif isinstance(decision, decisions.Preempt):
                self._preempt(decision)
            else:
                self._refuse(decision, now)

    def _place(self, place: decisions.Place, now: int) -> None:
        owned = self._jobs.find(place.request_id)
        members = self._members(place)
        epoch = None
        if owned is not None:
            account = owned.request.work.account
            epoch = self._context.shards.epoch_of(account)
        if owned is None or members is None or epoch is None:
            self._planner.record_refused(place.request_id, now)
            return
        self._context.attempts.begin(owned.request, members, self, now, epoch)

    def _members(
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

    def take_preempted(self) -> bool:
        """Tell whether a job was preempted since the last call."""
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
        owned = self._jobs.find(refuse.request_id)
        if owned is None:
            return
        error = refuse.error
        if owned.request.has_run and error.ran is _Ran.NO:
            error = dataclasses.replace(error, ran=_Ran.UNKNOWN)
        status = exceptions.ANSWER_BY_KIND[error.kind].status
        outcome = messages.Outcome(error=error, status=status)
        self._end(owned, outcome, now)

    def on_started(self, request: lifecycle.Request, now: int) -> None:
        """Tell the planner that an attempt runs."""
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
        """End the job, or put it back into the queue."""
        self._wants_plan = True
        owned = self._jobs.find(request.request_id)
        if owned is None:
            self._planner.record_ended(request.request_id, outcome, now)
            return
        final = self._context.judge(request, outcome, worker, now)
        if final is not None:
            self._planner.record_ended(request.request_id, outcome, now)
            owned.is_planned = False
            self._end(owned, final, now)
        elif owned.account not in self._owned:
            # Its new owner can claim it once this claim is gone.
            self._planner.record_ended(request.request_id, outcome, now)
            self._context.claims.release(request)
            self._jobs.drop(owned)
        else:
            self._try_again(owned, outcome, now)

    def _try_again(
        self, owned: OwnedJob, outcome: messages.Outcome, now: int
    ) -> None:
        request_id = owned.request_id
        error = outcome.error
        assert error is not None
        if error.kind in _WAIT_FOR_STORE and owned.is_planned:
            self._planner.record_refused(request_id, now)
            self._planner.cancel(request_id, now)
            self._delay(owned, owned.request.refusals, now)
        elif error.ran is _Ran.NO and owned.is_planned:
            self._planner.record_refused(request_id, now)
        elif not self._planner.record_ended(request_id, outcome, now):
            self._delay(owned, owned.request.attempts, now)

    def _delay(self, owned: OwnedJob, failures: int, now: int) -> None:
        """Leave a job out of the plan, longer after each failure."""
        delay_ms = circuit.jittered_backoff(
            max(1, failures),
            RETRY_BACKOFF_MS,
            MAX_RETRY_BACKOFF_MS,
            self._context.random,
        )
        self._jobs.delay(owned, now + delay_ms)

    def _end(
        self, owned: OwnedJob, outcome: messages.Outcome, now: int
    ) -> None:
        request = owned.request
        request.end(outcome, now)
        request_id = request.request_id
        if owned.is_planned:
            self._planner.cancel(request_id, now)
        self._settle_claim(request, outcome, now)
        if request.is_journaled:
            wall_ms = self._context.wall_ms(now)
            self._context.journal.record_result(request, wall_ms, now)
        self._jobs.end(owned, now)
        for submitter in sorted(owned.submitters):
            self._notices.tell(submitter, request_id, outcome, now)

    def _settle_claim(
        self,
        request: lifecycle.Request,
        outcome: messages.Outcome,
        now: int,
    ) -> None:
        error = outcome.error
        if error is not None and error.ran is _Ran.NO:
            self._context.claims.release(request)
        else:
            self._context.claims.end(request, now)
