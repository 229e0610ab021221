"""State of the worker, and admission of requests to it."""

import dataclasses

from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
from result import Err
from result import Ok
from result import Result

from . import backend
from . import history
from . import holds
from . import ledger
from ..request import task as tasks
from . import shares

#: Delay before a retry that refusals suggest to the caller.
RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """An attempt of a request, submitted for admission.

    :param resources: resources to reserve for it.
    :param epoch: epoch of the owner that planned it; ``None`` on the fast
        path, where the shares of the accounts are enforced.
    :param is_claimed: whether the store holds a claim of the request for
        this incarnation; required for work that is not idempotent.
    """

    work: messages.Work
    attempt: int
    resources: shapes.Resources
    epoch: identity.Epoch | None
    is_claimed: bool

    @property
    def key(self) -> ledger.TaskKey:
        """Identity of the attempt."""
        return ledger.TaskKey(self.work.request_id, self.attempt)


class Worker:
    """Tasks, resources and history of one worker.

    :param incarnation: incarnation of the agent.
    :ivar is_draining: whether the agent is stopping and refuses new work.
    :ivar state_version: number that increases when the state sent to
        entries changes.
    """

    __slots__ = (
        'backend',
        'holds',
        'incarnation',
        'is_draining',
        'ledger',
        'outcomes',
        'run_records',
        'shares',
        'state_version',
        'tasks_by_key',
        '_epochs_by_account',
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.backend = backend.Backend()
        self.holds = holds.Holds()
        self.ledger = ledger.Ledger()
        self.outcomes = history.OutcomeCache()
        self.run_records = history.RunRecords()
        self.shares = shares.Shares()
        self.tasks_by_key: dict[ledger.TaskKey, tasks.Task] = {}
        self.is_draining = False
        self.state_version = 0
        self._epochs_by_account: dict[str, identity.Epoch] = {}

    def accept_epoch(
        self, account: str, epoch: identity.Epoch | None
    ) -> exceptions.Error | None:
        """Record the epoch of an account's owner, for fencing.

        :return: ``STALE_EPOCH`` if a higher epoch has been seen.
        """
        if epoch is None:
            return None
        highest_epoch = self._epochs_by_account.get(account, epoch)
        if epoch < highest_epoch:
            return exceptions.Error.from_kind(
                exceptions.ErrorKind.STALE_EPOCH,
                f'{account} has been planned by {highest_epoch.entry} since '
                f'revision {highest_epoch.revision}',
            )
        self._epochs_by_account[account] = epoch
        return None

    def admit(
        self, admission: AdmissionRequest, now_ms: int
    ) -> Result[ledger.Reservation, exceptions.Error]:
        """Check a new attempt and reserve its resources.

        Non-idempotent work is recorded as not started, whether it is
        admitted or refused, unless it has started or is forbidden.
        """
        error = self._check_admission(admission, now_ms)
        if error is None and admission.epoch is None:
            error = self.shares.check(
                admission.work, admission.resources, self.ledger, now_ms
            )
        if error is not None:
            self._record_not_started(admission, now_ms)
            return Err(error)
        result = self._reserve(admission, now_ms)
        if not admission.work.is_idempotent:
            self._record_not_started(admission, now_ms)
        return result

    def add_task(self, task: tasks.Task) -> None:
        """Add a task whose resources are reserved."""
        self.tasks_by_key[task.key] = task
        self.state_version += 1

    def mark_started(self, task: tasks.Task, now_ms: int) -> bool:
        """Record that a request is about to start.

        :return: false if it must not start any more: it has started
            before, was forbidden, a later attempt has been seen, or its
            record has expired.
        """
        if task.work.is_idempotent:
            return True
        record = self.run_records.get(task.work.request_id)
        if record is None or record.state != history.RunState.NOT_STARTED:
            return False
        if record.attempt > task.attempt:
            return False
        self._put_record(task.work, task.attempt, now_ms, is_started=True)
        return True

    def mark_not_started(self, task: tasks.Task, now_ms: int) -> None:
        """Record that a request never reached the backend server."""
        if not task.work.is_idempotent:
            self._put_record(task.work, task.attempt, now_ms, is_started=False)

    def forbid(self, request_id: str, now_ms: int) -> bool:
        """Forbid every attempt of a request, unless one has started.

        :return: whether an attempt has started, or may have.
        """
        record = self.run_records.get(request_id)
        if record is not None and record.state == history.RunState.STARTED:
            return True
        is_running = any(
            key.request_id == request_id
            and task.phase != messages.TaskPhase.STAGED
            for key, task in self.tasks_by_key.items()
        )
        if is_running:
            return True
        forbidden = history.RunState.FORBIDDEN
        return not self.run_records.put(request_id, forbidden, 0, 0, now_ms)

    def forbid_attempt(self, key: ledger.TaskKey, now_ms: int) -> bool:
        """Record an unknown attempt so that it is refused if it arrives.

        :return: whether the attempt is known never to have run.
        """
        record = self.run_records.get(key.request_id)
        if record is not None and record.state == history.RunState.STARTED:
            return False
        state = history.RunState.NOT_STARTED
        if record is not None:
            state = record.state
        is_recorded = self.run_records.put(
            key.request_id, state, key.attempt, 0, now_ms
        )
        # After an eviction the attempt may have run without an outcome being
        # left here.
        return is_recorded and not self.outcomes.has_evicted

    def release_ended(self, now_ms: int) -> None:
        """Remove tasks that are over and release their resources."""
        for key, task in list(self.tasks_by_key.items()):
            if task.is_over:
                del self.tasks_by_key[key]
                self.ledger.release(key)
                resources = task.reservation.resources
                self.holds.hold_freed(key, resources, now_ms)
                self.state_version += 1

    def _check_admission(
        self, admission: AdmissionRequest, now_ms: int
    ) -> exceptions.Error | None:
        work = admission.work
        error = self.accept_epoch(work.account, admission.epoch)
        if error is not None:
            return error
        return (
            self._check_record(admission, now_ms)
            or self.check_accepts_work()
            or self._check_service(work.service)
            or _check_deadline(work)
        )

    def _check_record(
        self, admission: AdmissionRequest, now_ms: int
    ) -> exceptions.Error | None:
        work = admission.work
        record = self.run_records.get(work.request_id)
        if record is not None:
            if record.state == history.RunState.STARTED:
                return _admission_error(
                    exceptions.ErrorKind.OUTCOME_UNKNOWN,
                    'an earlier attempt of the request may have started',
                )
            if record.state == history.RunState.FORBIDDEN:
                return _admission_error(
                    exceptions.ErrorKind.CANCELLED,
                    'the request is forbidden on this worker',
                )
            if admission.attempt <= record.attempt:
                return _admission_error(
                    exceptions.ErrorKind.CANCELLED,
                    f'attempt {admission.attempt} is stale: expected one '
                    f'higher than {record.attempt}',
                )
        if work.is_idempotent:
            return None
        if not admission.is_claimed:
            return _admission_error(
                exceptions.ErrorKind.CLAIM_TAKEN,
                'non-idempotent work needs a claim for this incarnation',
            )
        if record is None and not self.run_records.has_room(now_ms):
            return _admission_error(
                exceptions.ErrorKind.NO_CAPACITY, 'run records are full'
            )
        return None

    def check_accepts_work(self) -> exceptions.Error | None:
        """Return an error if the worker accepts no new work."""
        if self.is_draining:
            return _admission_error(
                exceptions.ErrorKind.STOPPING, 'agent is stopping'
            )
        health = self.backend.health
        if health != messages.BackendHealth.HEALTHY:
            return _admission_error(
                exceptions.ErrorKind.NO_WORKER,
                f'backend server is {health.value}, expected healthy',
            )
        return None

    def _check_service(self, service: str) -> exceptions.Error | None:
        if service not in self.backend.services:
            return _admission_error(
                exceptions.ErrorKind.NO_WORKER,
                f'service {service} is not offered by the backend server',
            )
        return None

    def _reserve(
        self, admission: AdmissionRequest, now_ms: int
    ) -> Result[ledger.Reservation, exceptions.Error]:
        account = admission.work.account
        withheld = self.holds.held_for_others(account, now_ms)
        result = self.ledger.reserve(
            admission.key, account, admission.resources, withheld
        )
        if isinstance(result, Ok):
            self.holds.end_holds(account)
            self.state_version += 1
        else:
            self.shares.record_refusal(account, now_ms)
        return result

    def _record_not_started(
        self, admission: AdmissionRequest, now_ms: int
    ) -> None:
        record = self.run_records.get(admission.work.request_id)
        is_new = record is None and not admission.work.is_idempotent
        is_not_started = (
            record is not None and record.state == history.RunState.NOT_STARTED
        )
        if is_new or is_not_started:
            self._put_record(
                admission.work, admission.attempt, now_ms, is_started=False
            )

    def _put_record(
        self,
        work: messages.Work,
        attempt: int,
        now_ms: int,
        *,
        is_started: bool,
    ) -> None:
        state = history.RunState.NOT_STARTED
        if is_started:
            state = history.RunState.STARTED
        self.run_records.put(
            work.request_id, state, attempt, work.deadline_ms, now_ms
        )


def _check_deadline(work: messages.Work) -> exceptions.Error | None:
    if work.deadline_ms > 0:
        return None
    return _admission_error(
        exceptions.ErrorKind.DEADLINE_PASSED,
        f'deadline passed: {work.deadline_ms} ms left',
    )


def _admission_error(
    kind: exceptions.ErrorKind, detail: str
) -> exceptions.Error:
    ran = exceptions.Ran.NO
    if kind == exceptions.ErrorKind.OUTCOME_UNKNOWN:
        ran = exceptions.Ran.UNKNOWN
    return exceptions.Error.from_kind(
        kind, detail, ran=ran, retry_after_ms=RETRY_AFTER_MS
    )
