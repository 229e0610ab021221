"""One member of a gang, at an agent that does not coordinate the gang.

The lease here is that of the reservation before the commit, not the lease
of a running task at the platform.
"""

import enum
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages

from .. import effects
from . import coordinator

if t.TYPE_CHECKING:
    from . import task

# Interval between reports of a phase other than RUNNING.
RESEND_INTERVAL_MS = 200
# The last quarter of the reservation's lease is left for the start message.
LEASE_MARGIN_DIVISOR = 4


class Phase(enum.Enum):
    """Phase of a member."""

    STAGED = 'staged'
    REFUSED = 'refused'
    RUNNING = 'running'
    ENDED = 'ended'


class Member:
    """State of a member whose gang is coordinated by another agent.

    The phase is reported to the coordinator repeatedly. An end is reported
    until the coordinator has acknowledged it or ``HEARTBEAT_TIMEOUT_MS`` has
    passed.

    :param local_task: the task; ``None`` if the reservation was refused.
    """

    __slots__ = (
        'info',
        'local_task',
        'phase',
        '_coordinator',
        '_coordinator_seen_ms',
        '_ended_ms',
        '_index',
        '_last_report_ms',
        '_lease_margin_ms',
        '_lease_until_ms',
        '_outcome',
    )

    def __init__(
        self,
        message: messages.PrepareGang,
        local_task: 'task.Task | None',
        now_ms: int,
    ) -> None:
        self.local_task = local_task
        self.phase = Phase.STAGED
        self.info = message.members[message.member]
        self._coordinator = message.members[0]
        self._coordinator_seen_ms = now_ms
        self._index = message.member
        self._lease_margin_ms = message.lease_ms // LEASE_MARGIN_DIVISOR
        self._lease_until_ms = now_ms + message.lease_ms
        self._outcome = messages.Outcome()
        self._last_report_ms = now_ms
        self._ended_ms = now_ms

    def is_coordinator(self, peer: identity.PeerId) -> bool:
        """Tell whether a peer is the agent that coordinates the gang.

        An agent of that name with another incarnation does not count.
        """
        return (
            peer.role == identity.Role.AGENT
            and peer.name == self._coordinator.worker
            and peer.incarnation == self._coordinator.incarnation
        )

    def can_be_removed(self, now_ms: int) -> bool:
        """Tell whether the end need not be reported any more."""
        has_ended = self.phase in (Phase.REFUSED, Phase.ENDED)
        waited_ms = now_ms - self._ended_ms
        return has_ended and waited_ms >= coordinator.HEARTBEAT_TIMEOUT_MS

    def report_phase(
        self, request_id: str, attempt: int, now_ms: int
    ) -> list[effects.Output]:
        """Report the current phase to the coordinator."""
        self._last_report_ms = now_ms
        match self.phase:
            case Phase.STAGED:
                message: messages.Message = messages.MemberPrepared(
                    request_id, attempt, self._index
                )
            case Phase.REFUSED:
                message = messages.MemberRefused(
                    request_id, attempt, self._index, self._outcome.error
                )
            case Phase.RUNNING:
                message = messages.MemberAlive(
                    request_id, attempt, self._index
                )
            case Phase.ENDED:
                message = messages.MemberEnded(
                    request_id, attempt, self._index, self._outcome
                )
        return [coordinator.send_to(self._coordinator, message)]

    def start(self, now_ms: int) -> list[effects.Output]:
        """Start the task after the gang was committed."""
        self.phase = Phase.RUNNING
        self._coordinator_seen_ms = now_ms
        return self.local_task.start(now_ms)

    def on_coordinator_message(self, now_ms: int) -> None:
        """Record that the coordinator is alive."""
        self._coordinator_seen_ms = now_ms

    def on_ended(self, outcome: messages.Outcome, now_ms: int) -> None:
        """Process the end of the task or the refusal of the reservation.

        The body of the answer is dropped, since the caller gets the answer
        of the first member.
        """
        self._outcome = _without_body(outcome)
        self._ended_ms = now_ms
        is_staged = self.phase == Phase.STAGED
        self.phase = Phase.REFUSED if is_staged else Phase.ENDED

    def tick(self, now_ms: int) -> list[effects.Output]:
        """Apply the lease and the heartbeat timeout of the coordinator."""
        if self.phase == Phase.STAGED and now_ms >= self._lease_until_ms:
            self.local_task.drop(
                _lease_expired_error(
                    'lease of the reservation expired before the commit'
                ),
                now_ms,
            )
            return []
        is_silent = (
            now_ms - self._coordinator_seen_ms
            >= coordinator.HEARTBEAT_TIMEOUT_MS
        )
        if self.phase == Phase.RUNNING and is_silent:
            return self.local_task.stop(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.GANG_STOPPED,
                    'no message from the coordinator '
                    f'for {coordinator.HEARTBEAT_TIMEOUT_MS} ms',
                ),
                now_ms,
            )
        return []

    def is_report_due(self, now_ms: int) -> bool:
        """Tell whether the phase should be reported again.

        Near the end of its lease a member stops confirming its
        reservation, so that the start message of a later commit can still
        arrive before the lease expires.
        """
        waited_ms = now_ms - self._last_report_ms
        if self.phase == Phase.RUNNING:
            return waited_ms >= coordinator.HEARTBEAT_INTERVAL_MS
        if self.phase == Phase.STAGED:
            remaining_ms = self._lease_until_ms - now_ms
            if remaining_ms < self._lease_margin_ms:
                return False
        return waited_ms >= RESEND_INTERVAL_MS


def _lease_expired_error(detail: str) -> exceptions.Error:
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.GANG_STOPPED, detail, ran=exceptions.Ran.NO
    )


def _without_body(outcome: messages.Outcome) -> messages.Outcome:
    return messages.Outcome(
        error=outcome.error,
        status=outcome.status,
        run_ms=outcome.run_ms,
        peak_memory_mb=outcome.peak_memory_mb,
        is_checkpointed=outcome.is_checkpointed,
    )
