"""State machine of one attempt on this worker, from reservation to end."""

import dataclasses
import enum
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from result import Err
from result import Ok

from .. import effects
from . import memory
from ..process import ledger

if t.TYPE_CHECKING:
    from result import Result

# The call to the backend server outlives the deadline by this margin.
DEADLINE_MARGIN_MS = 1_000
STOP_RETRY_INTERVAL_MS = 1_000
# The end of a task is reported after this time even if the platform has not
# confirmed the stop; its resources stay reserved.
STOP_CONFIRMATION_TIMEOUT_MS = 2_000
# Lease of the task at the platform.
LEASE_TTL_MS = 10_000
LEASE_RENEWAL_INTERVAL_MS = 3_000
# Lowest HTTP status that counts as a failure of the backend server.
FIRST_FAILURE_STATUS = 500


class CheckpointState(enum.Enum):
    """Progress of a task's checkpoint."""

    NONE = 'none'
    SAVING = 'saving'
    SAVED = 'saved'
    FAILED = 'failed'


class Task:
    """State of one attempt, either a single task or a member of a gang.

    Sends no messages to entries or to other members; ``SingleTasks`` or
    ``Gangs`` reports the outcome. ``outcome`` is set once, when the end of
    the attempt is known. The resources must stay reserved until ``is_over``.

    :param member: index in the gang; ``0`` for a single task.
    :param members: number of members; ``1`` for a single task.
    """

    __slots__ = (
        'attempt',
        'is_gang',
        'member',
        'members',
        'outcome',
        'phase',
        'phase_since_ms',
        'reservation',
        'work',
        '_checkpoint_state',
        '_deadline_at_ms',
        '_interrupted_outcome',
        '_is_at_backend',
        '_last_stop_ms',
        '_lease_renewed_ms',
        '_memory',
        '_preemption_deadline_ms',
        '_started_ms',
        '_stop_error',
        '_stopping_since_ms',
    )

    def __init__(
        self,
        work: messages.Work,
        attempt: int,
        reservation: ledger.Reservation,
        now_ms: int,
        *,
        member: int = 0,
        members: int = 1,
        is_gang: bool = False,
    ) -> None:
        self.work = work
        self.attempt = attempt
        self.reservation = reservation
        self.member = member
        self.members = members
        self.is_gang = is_gang
        self.phase = messages.TaskPhase.STAGED
        self.phase_since_ms = now_ms
        self.outcome: messages.Outcome | None = None
        self._memory = memory.MemoryMonitor(reservation.resources.memory_mb)
        self._checkpoint_state = CheckpointState.NONE
        self._interrupted_outcome: messages.Outcome | None = None
        self._deadline_at_ms = now_ms + work.deadline_ms
        self._is_at_backend = False
        self._lease_renewed_ms = now_ms
        self._stop_error: exceptions.Error | None = None
        self._preemption_deadline_ms: int | None = None
        self._started_ms = now_ms
        self._last_stop_ms = 0
        self._stopping_since_ms = 0

    @property
    def key(self) -> ledger.TaskKey:
        """Identity of the attempt."""
        return ledger.TaskKey(self.work.request_id, self.attempt)

    @property
    def is_over(self) -> bool:
        """Whether it has ended and nothing runs at the backend server."""
        return self.outcome is not None and not self._is_at_backend

    @property
    def is_preempted(self) -> bool:
        """Whether a preemption has begun."""
        return self._preemption_deadline_ms is not None

    def start(self, now_ms: int) -> list[effects.Output]:
        """Start the call to the backend server."""
        self._enter_phase(messages.TaskPhase.RUNNING, now_ms)
        self._is_at_backend = True
        self._started_ms = now_ms
        self._lease_renewed_ms = now_ms
        remaining_ms = max(0, self._deadline_at_ms - now_ms)
        call = effects.CallBackend(
            request_id=self.work.request_id,
            attempt=self.attempt,
            account=self.work.account,
            service=self.work.service,
            method=self.work.method,
            content_type=self.work.content_type,
            body=self.work.body,
            positions=self.reservation.positions,
            member=self.member,
            members=self.members,
            is_resumed=self.work.is_checkpointable and self.attempt > 1,
            timeout_ms=remaining_ms + DEADLINE_MARGIN_MS,
        )
        return [call, self._renew_lease()]

    def drop(self, error: exceptions.Error, now_ms: int) -> None:
        """End a staged attempt, which has not run."""
        self._end(messages.Outcome(error=error), now_ms)

    def stop(
        self, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        """Stop the attempt; the error of the first call is reported."""
        if self.outcome is not None or self._stop_error is not None:
            return []
        if self.phase == messages.TaskPhase.STAGED:
            self.drop(error, now_ms)
            return []
        self._stop_error = error
        return self._send_stop(now_ms)

    def preempt(
        self, grace_ms: int, now_ms: int, detail: str
    ) -> list[effects.Output]:
        """Preempt the attempt within a grace period.

        Checkpointable work is checkpointed at once; other work may finish
        within the grace period. Non-idempotent work is never preempted,
        because it must not run twice.
        """
        if self.is_preempted or self.outcome is not None:
            return []
        if not self.work.is_idempotent:
            return []
        if self.phase == messages.TaskPhase.STAGED:
            self.drop(_preempted_error(detail, exceptions.Ran.NO), now_ms)
            return []
        if self.phase == messages.TaskPhase.STOPPING:
            return []
        self._preemption_deadline_ms = now_ms + grace_ms
        return self.checkpoint(grace_ms)

    def checkpoint(self, grace_ms: int) -> list[effects.Output]:
        """Checkpoint the task if possible; once saved, it is stopped."""
        is_running = self.phase == messages.TaskPhase.RUNNING
        can_resume = self.work.is_checkpointable and self.work.is_idempotent
        if not is_running or not can_resume:
            return []
        if self._checkpoint_state != CheckpointState.NONE:
            return []
        self._checkpoint_state = CheckpointState.SAVING
        request_id = self.work.request_id
        return [
            effects.Checkpoint(request_id, self.attempt, self.member, grace_ms)
        ]

    def on_checkpoint(
        self, is_saved: bool, now_ms: int
    ) -> list[effects.Output]:
        """Process the end of a checkpoint.

        If nothing was saved, the task may finish in the rest of the grace
        period. The checkpoint may have ended the call to the backend
        server already.
        """
        is_saving = self._checkpoint_state == CheckpointState.SAVING
        if not is_saving or self.outcome is not None:
            return []
        if not is_saved:
            self._checkpoint_state = CheckpointState.FAILED
            if self._interrupted_outcome is not None:
                self._end(self._interrupted_outcome, now_ms)
            return []
        self._checkpoint_state = CheckpointState.SAVED
        outputs = self.stop(_preempted_error('checkpointed'), now_ms)
        if self._interrupted_outcome is not None:
            self._end_as_stopped(now_ms)
            return []
        return outputs

    def on_answer(
        self,
        result: 'Result[effects.BackendAnswer, exceptions.Error]',
        now_ms: int,
    ) -> list[effects.Output]:
        """Process the end of the call to the backend server."""
        if self.phase == messages.TaskPhase.STAGED:
            return []
        match result:
            case Ok(answer):
                self._is_at_backend = False
                self._on_answer(answer, now_ms)
                return []
            case Err(error):
                return self._on_failure(error, now_ms)

    def on_stopped(
        self, is_confirmed: bool, now_ms: int
    ) -> list[effects.Output]:
        """Process the reply to a stop."""
        if not is_confirmed or self.phase != messages.TaskPhase.STOPPING:
            return []
        self._is_at_backend = False
        self._end_as_stopped(now_ms)
        return []

    def on_usage(
        self, usage: effects.TaskUsage, now_ms: int
    ) -> list[effects.Output]:
        """Process a memory sample; an overrun throttles, then stops.

        Samples from before the start are ignored.
        """
        sampled_ms = now_ms - usage.age_ms
        if self.phase != messages.TaskPhase.RUNNING:
            return []
        if sampled_ms < self._started_ms:
            return []
        action = self._memory.evaluate(usage.memory_mb, sampled_ms, now_ms)
        match action:
            case memory.MemoryAction.THROTTLE:
                request_id = self.work.request_id
                return [
                    effects.Throttle(request_id, self.attempt, self.member)
                ]
            case memory.MemoryAction.STOP:
                limit_mb = self._memory.limit_mb
                detail = f'used {usage.memory_mb} MB of {limit_mb} MB reserved'
                kind = exceptions.ErrorKind.MEMORY_EXCEEDED
                error = exceptions.Error.from_kind(kind, detail)
                return self.stop(error, now_ms)
        return []

    def tick(self, now_ms: int) -> list[effects.Output]:
        """Apply the time limits of the current phase."""
        match self.phase:
            case messages.TaskPhase.RUNNING:
                return self._tick_running(now_ms)
            case messages.TaskPhase.STOPPING:
                return self._tick_stopping(now_ms)
        return []

    def state(self, now_ms: int) -> messages.TaskState:
        """Return the state that is reported to the entries."""
        return messages.TaskState(
            request_id=self.work.request_id,
            attempt=self.attempt,
            account=self.work.account,
            service=self.work.service,
            method=self.work.method,
            request_class=self.work.request_class,
            phase=self.phase,
            resources=self.reservation.resources,
            positions=list(self.reservation.positions),
            is_checkpointable=self.work.is_checkpointable,
            is_idempotent=self.work.is_idempotent,
            is_gang=self.is_gang,
            declared_run_ms=self.work.declared_run_ms,
            age_ms=now_ms - self.phase_since_ms,
            peak_memory_mb=self._memory.peak_mb,
        )

    def _tick_running(self, now_ms: int) -> list[effects.Output]:
        if now_ms >= self._deadline_at_ms:
            kind = exceptions.ErrorKind.DEADLINE_PASSED
            return self.stop(exceptions.Error.from_kind(kind), now_ms)
        if (
            self._preemption_deadline_ms is not None
            and now_ms >= self._preemption_deadline_ms
        ):
            return self.stop(_preempted_error('grace period expired'), now_ms)
        if now_ms - self._lease_renewed_ms >= LEASE_RENEWAL_INTERVAL_MS:
            self._lease_renewed_ms = now_ms
            return [self._renew_lease()]
        return []

    def _tick_stopping(self, now_ms: int) -> list[effects.Output]:
        if now_ms - self._stopping_since_ms >= STOP_CONFIRMATION_TIMEOUT_MS:
            self._end_as_stopped(now_ms)
        is_due = now_ms - self._last_stop_ms >= STOP_RETRY_INTERVAL_MS
        return self._send_stop(now_ms) if is_due else []

    def _on_answer(self, answer: effects.BackendAnswer, now_ms: int) -> None:
        """End with the answer, or with the error that interrupted the call.

        A failure during a checkpoint is held back until the checkpoint has
        ended, since the checkpoint may have caused it.
        """
        is_failure = answer.status >= FIRST_FAILURE_STATUS
        if is_failure and self._stop_error is not None:
            self._end_as_stopped(now_ms)
        elif is_failure and self._checkpoint_state == CheckpointState.SAVING:
            self._interrupted_outcome = self._outcome_from_answer(
                answer, now_ms
            )
        else:
            self._end(self._outcome_from_answer(answer, now_ms), now_ms)

    def _on_failure(
        self, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        if self.outcome is not None:
            return []
        if error.ran == exceptions.Ran.NO:
            self._is_at_backend = False
            cause = self._stop_error or error
            cause = dataclasses.replace(cause, ran=exceptions.Ran.NO)
            self._end(messages.Outcome(error=cause), now_ms)
            return []
        return self.stop(error, now_ms)

    def _send_stop(self, now_ms: int) -> list[effects.Output]:
        if self.phase != messages.TaskPhase.STOPPING:
            self._stopping_since_ms = now_ms
            self._enter_phase(messages.TaskPhase.STOPPING, now_ms)
        self._last_stop_ms = now_ms
        request_id = self.work.request_id
        return [effects.StopTask(request_id, self.attempt, self.member)]

    def _end_as_stopped(self, now_ms: int) -> None:
        is_saved = self._checkpoint_state == CheckpointState.SAVED
        outcome = messages.Outcome(
            error=self._stop_error,
            run_ms=now_ms - self._started_ms,
            peak_memory_mb=self._memory.peak_mb,
            is_checkpointed=is_saved,
        )
        self._end(outcome, now_ms)

    def _outcome_from_answer(
        self, answer: effects.BackendAnswer, now_ms: int
    ) -> messages.Outcome:
        error = None
        if answer.status >= FIRST_FAILURE_STATUS:
            error = exceptions.Error.from_kind(
                exceptions.ErrorKind.BACKEND_FAILED,
                f'backend server answered with HTTP status {answer.status}',
            )
        return messages.Outcome(
            error=error,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            run_ms=now_ms - self._started_ms,
            peak_memory_mb=self._memory.peak_mb,
        )

    def _end(self, outcome: messages.Outcome, now_ms: int) -> None:
        if self.outcome is None:
            self.outcome = outcome
            self._enter_phase(messages.TaskPhase.STOPPING, now_ms)

    def _enter_phase(self, phase: messages.TaskPhase, now_ms: int) -> None:
        if self.phase != phase:
            self.phase = phase
            self.phase_since_ms = now_ms

    def _renew_lease(self) -> effects.RenewTaskLease:
        request_id = self.work.request_id
        return effects.RenewTaskLease(
            request_id, self.attempt, self.member, LEASE_TTL_MS
        )


def _preempted_error(
    detail: str, ran: exceptions.Ran | None = None
) -> exceptions.Error:
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.PREEMPTED, detail, ran=ran
    )
