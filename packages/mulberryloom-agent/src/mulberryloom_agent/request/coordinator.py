"""Coordinator of one gang, which runs at the agent of the first member.

The lease here is that of the reservations before the commit, not the lease
of a running task at the platform.
"""

import dataclasses
import enum
import typing as t

from mulberryloom_core import effects as core_effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages

from .. import effects
from ..process import ledger

if t.TYPE_CHECKING:
    from . import task

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
# After this time in phase STOPPING the gang ends, even if members have not
# reported their end.
STOP_TIMEOUT_MS = 4_000
# A gang is committed only if every member has confirmed its reservation this
# recently.
PREPARED_MAX_AGE_MS = 1_000

# Errors that are reported for the gang; others become ``GANG_STOPPED``.
_PROPAGATED_KINDS = frozenset(
    [
        exceptions.ErrorKind.BACKEND_FAILED,
        exceptions.ErrorKind.CANCELLED,
        exceptions.ErrorKind.DEADLINE_PASSED,
        exceptions.ErrorKind.MEMORY_EXCEEDED,
        exceptions.ErrorKind.PREEMPTED,
    ]
)


class Phase(enum.Enum):
    """Phase of a gang at its coordinator."""

    PREPARING = 'preparing'
    COMMITTED = 'committed'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True)
class _MemberState:
    """State of one member as known to the coordinator.

    :param last_prepared_ms: time of its last ``MemberPrepared``.
    :param last_heartbeat_ms: time of its last heartbeat.
    :param outcome: set once the member has ended.
    """

    info: messages.GangMember
    last_prepared_ms: int | None = None
    last_heartbeat_ms: int = 0
    outcome: messages.Outcome | None = None


class Coordinator:
    """Prepares, commits, monitors and stops one gang.

    ``phase`` is the only record of the commit. ``outcome`` is set once, when
    the whole gang has ended.

    :param local_task: task of the first member, which is on this worker.
    :param requesters: names of the entries to which the end is reported.
    :param grace_ms: grace period for checkpoints when a member is preempted
        alone and the rest of the gang follows.
    """

    __slots__ = (
        'outcome',
        'phase',
        'requesters',
        '_epoch',
        '_error',
        '_grace_ms',
        '_is_preempted',
        '_last_sent_ms',
        '_lease_until_ms',
        '_local_task',
        '_member_states',
        '_preemption_deadline_ms',
        '_stopping_since_ms',
    )

    def __init__(
        self,
        message: messages.PrepareGang,
        local_task: 'task.Task',
        requesters: list[str],
        grace_ms: int,
        now_ms: int,
    ) -> None:
        self.outcome: messages.Outcome | None = None
        self.phase = Phase.PREPARING
        self.requesters = requesters
        self._last_sent_ms = now_ms
        self._epoch = message.epoch
        self._error: exceptions.Error | None = None
        self._grace_ms = grace_ms
        self._is_preempted = False
        self._lease_until_ms = now_ms + message.lease_ms
        self._local_task = local_task
        self._preemption_deadline_ms: int | None = None
        self._stopping_since_ms = 0
        self._member_states = [
            _MemberState(member) for member in message.members
        ]

    @property
    def key(self) -> ledger.TaskKey:
        """Identity of the attempt."""
        return self._local_task.key

    @property
    def local_task(self) -> 'task.Task':
        """Task of the first member."""
        return self._local_task

    def index_of(self, peer: identity.PeerId) -> int | None:
        """Return the index of the member at a peer, if any."""
        for index, state in enumerate(self._member_states):
            is_same_incarnation = state.info.incarnation == peer.incarnation
            if state.info.worker == peer.name and is_same_incarnation:
                return index
        return None

    def is_ready(self, now_ms: int) -> bool:
        """Tell whether the gang can be committed.

        Every member must have confirmed its reservation recently.
        """
        if self.phase != Phase.PREPARING or now_ms >= self._lease_until_ms:
            return False
        oldest_ms = now_ms - PREPARED_MAX_AGE_MS
        return all(
            state.last_prepared_ms is not None
            and state.last_prepared_ms >= oldest_ms
            for state in self._member_states[1:]
        )

    def commit(self, now_ms: int) -> list[effects.Output]:
        """Commit the gang and start every member."""
        self.phase = Phase.COMMITTED
        self._last_sent_ms = now_ms
        for state in self._member_states:
            state.last_heartbeat_ms = now_ms
        start = messages.StartMember(self.key.request_id, self.key.attempt)
        return self._send_to_active(start) + self._local_task.start(now_ms)

    def on_prepared(self, index: int, now_ms: int) -> list[effects.Output]:
        """Process a member's confirmation of its reservation.

        A confirmation after the commit means that the member has not
        received the start message, which is sent again.
        """
        state = self._member_states[index]
        state.last_prepared_ms = now_ms
        if self.phase != Phase.COMMITTED or state.outcome is not None:
            return []
        start = messages.StartMember(self.key.request_id, self.key.attempt)
        return [self._send(state, start)]

    def on_refused(
        self, index: int, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        """Process a member's refusal or the loss of its reservation."""
        if self.phase == Phase.PREPARING:
            return self.stop(error, now_ms)
        return self.on_ended(index, messages.Outcome(error=error), now_ms)

    def on_alive(self, index: int, now_ms: int) -> None:
        """Process a heartbeat of a member."""
        self._member_states[index].last_heartbeat_ms = now_ms

    def on_ended(
        self, index: int, outcome: messages.Outcome, now_ms: int
    ) -> list[effects.Output]:
        """Process the end of a member; a failure ends the whole gang."""
        state = self._member_states[index]
        if state.outcome is not None or self.outcome is not None:
            return []
        state.outcome = outcome
        outputs: list[effects.Output] = []
        if outcome.error is not None:
            outputs = self._on_failure(outcome.error, now_ms)
        self._finish_if_ended(now_ms)
        return outputs

    def preempt(
        self, grace_ms: int, for_account: str, now_ms: int
    ) -> list[effects.Output]:
        """Preempt every member, so that the whole gang is checkpointed."""
        is_running = self.phase == Phase.COMMITTED
        if not is_running or self._is_preempted:
            return []
        if not self._local_task.work.is_idempotent:
            return []
        self._is_preempted = True
        self._preemption_deadline_ms = now_ms + grace_ms + HEARTBEAT_TIMEOUT_MS
        outputs = self._local_task.preempt(
            grace_ms, now_ms, f'for {for_account}'
        )
        return outputs + self._send_to_active(
            messages.PreemptTask(
                self.key.request_id,
                self.key.attempt,
                grace_ms,
                for_account,
                self._epoch,
            )
        )

    def stop(
        self, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        """Stop the gang; the error of the first call is reported."""
        match self.phase:
            case Phase.PREPARING:
                return self._release(error, now_ms)
            case Phase.COMMITTED:
                return self._stop_all(error, now_ms)
        return []

    def tick(self, now_ms: int) -> list[effects.Output]:
        """Apply the lease, the heartbeat timeout and the stop timeout."""
        match self.phase:
            case Phase.PREPARING:
                return self._tick_preparing(now_ms)
            case Phase.COMMITTED:
                return self._tick_committed(now_ms)
        self._finish_if_ended(now_ms)
        return self._repeat_stop(now_ms)

    def _tick_preparing(self, now_ms: int) -> list[effects.Output]:
        if now_ms < self._lease_until_ms:
            return []
        return self.stop(
            _gang_stopped_error(
                'not all members were prepared before the lease expired'
            ),
            now_ms,
        )

    def _tick_committed(self, now_ms: int) -> list[effects.Output]:
        has_deadline = self._preemption_deadline_ms is not None
        if has_deadline and now_ms >= self._preemption_deadline_ms:
            kind = exceptions.ErrorKind.PREEMPTED
            return self.stop(exceptions.Error.from_kind(kind), now_ms)
        for state in self._member_states[1:]:
            is_silent = (
                now_ms - state.last_heartbeat_ms >= HEARTBEAT_TIMEOUT_MS
            )
            if state.outcome is None and is_silent:
                detail = (
                    f'no heartbeat from the member on {state.info.worker} '
                    f'for {HEARTBEAT_TIMEOUT_MS} ms'
                )
                return self.stop(_gang_stopped_error(detail), now_ms)
        if now_ms - self._last_sent_ms < HEARTBEAT_INTERVAL_MS:
            return []
        self._last_sent_ms = now_ms
        return self._send_to_active(
            messages.MemberAlive(self.key.request_id, self.key.attempt, 0)
        )

    def _on_failure(
        self, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        if error.kind != exceptions.ErrorKind.PREEMPTED:
            return self.stop(error, now_ms)
        if self._error is None:
            self._error = error
        return self.preempt(self._grace_ms, 'its gang', now_ms)

    def _release(
        self, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        error = dataclasses.replace(error, ran=exceptions.Ran.NO)
        self.phase = Phase.STOPPING
        self.outcome = messages.Outcome(error=error)
        self._local_task.drop(error, now_ms)
        return self._send_to_active(
            messages.ReleaseGang(self.key.request_id, self.key.attempt)
        )

    def _stop_all(
        self, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        self.phase = Phase.STOPPING
        self._error = error
        self._stopping_since_ms = now_ms
        self._last_sent_ms = now_ms
        outputs = self._local_task.stop(
            _gang_stopped_error(error.detail), now_ms
        )
        return outputs + self._send_to_active(self._stop_message())

    def _repeat_stop(self, now_ms: int) -> list[effects.Output]:
        if now_ms - self._last_sent_ms < HEARTBEAT_INTERVAL_MS:
            return []
        self._last_sent_ms = now_ms
        return self._send_to_active(self._stop_message())

    def _finish_if_ended(self, now_ms: int) -> None:
        if self.outcome is not None or self.phase == Phase.PREPARING:
            return
        is_stopping = self.phase == Phase.STOPPING
        waited_ms = now_ms - self._stopping_since_ms
        is_late = is_stopping and waited_ms >= STOP_TIMEOUT_MS
        if is_late or all(
            state.outcome is not None for state in self._member_states
        ):
            self.phase = Phase.STOPPING
            self.outcome = self._combined_outcome()

    def _combined_outcome(self) -> messages.Outcome:
        outcomes = [
            state.outcome
            for state in self._member_states
            if state.outcome is not None
        ]
        run_ms = max((outcome.run_ms for outcome in outcomes), default=0)
        if self._error is None:
            first_outcome = self._member_states[0].outcome
            return dataclasses.replace(
                first_outcome,
                run_ms=run_ms,
                peak_memory_mb=self._peak_memory_mb(),
            )
        is_saved = len(outcomes) == len(self._member_states) and all(
            outcome.is_checkpointed for outcome in outcomes
        )
        return messages.Outcome(
            error=_reported_error(self._error),
            run_ms=run_ms,
            peak_memory_mb=self._peak_memory_mb(),
            is_checkpointed=is_saved,
        )

    def _peak_memory_mb(self) -> int:
        """Estimate the peak memory of the whole gang.

        The peak of the member that used the largest part of its share is
        scaled to the demand of the gang.
        """
        demand = self._local_task.work.demand
        peak_mb = 0
        for state in self._member_states:
            if state.outcome is None or state.outcome.peak_memory_mb == 0:
                continue
            member_mb = demand.member(state.info.accelerators).memory_mb
            scaled_peak = state.outcome.peak_memory_mb * demand.memory_mb
            peak_mb = max(peak_mb, -(-scaled_peak // max(1, member_mb)))
        return peak_mb

    def _stop_message(self) -> messages.StopMember:
        return messages.StopMember(self.key.request_id, self.key.attempt)

    def _send_to_active(
        self, message: messages.Message
    ) -> list[effects.Output]:
        return [
            self._send(state, message)
            for state in self._member_states[1:]
            if state.outcome is None
        ]

    def _send(
        self, state: _MemberState, message: messages.Message
    ) -> effects.Output:
        return send_to(state.info, message)


def send_to(
    member: messages.GangMember, message: messages.Message
) -> core_effects.Send:
    """Return the output that sends a message to a member's agent."""
    return core_effects.Send(
        identity.Role.AGENT, member.worker, message, member.address
    )


def _gang_stopped_error(detail: str) -> exceptions.Error:
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.GANG_STOPPED, detail
    )


def _reported_error(error: exceptions.Error) -> exceptions.Error:
    """Return the error that is reported for a gang that was committed.

    Other members may have run even if the failed one has not.
    """
    ran = error.ran
    if ran == exceptions.Ran.NO:
        ran = exceptions.Ran.UNKNOWN
    if error.kind in _PROPAGATED_KINDS:
        return dataclasses.replace(error, ran=ran)
    return _gang_stopped_error(error.detail)
