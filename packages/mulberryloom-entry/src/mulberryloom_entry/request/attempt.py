"""One attempt to run a request on one worker or, as a gang, on several."""

import dataclasses
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages

from . import lifecycle
from ..process.claim import ClaimResult
from ..process.claim import ClaimStatus

#: Time that an agent reserves resources for a gang member without a commit.
GANG_LEASE_MS = 5_000

_Kind = exceptions.ErrorKind
_Ran = exceptions.Ran


class Listener(t.Protocol):
    """Receives the start and the end of an attempt."""

    def on_started(self, request: lifecycle.Request, now: int) -> None:
        """Handle an agent's report that the attempt has started."""

    def on_attempt_ended(
        self,
        request: lifecycle.Request,
        outcome: messages.Outcome,
        worker: str,
        now: int,
    ) -> None:
        """Handle the end of the attempt.

        :param worker: worker of the coordinator, whether or not the attempt
            ran there.
        """


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one attempt to run a request.

    :param number: attempt number, by which agents tell the attempts of a
        request apart.
    :param members: worker and agent incarnation of each member; the first
        member coordinates.
    :param listener: receives the start and the end of the attempt.
    :param epoch: epoch of the account's shard under which the work is
        scheduled; ``None`` on the fast path.
    :param is_sent: whether an agent may have received the request.
    :param is_resent: whether an agent may have received it more than once.
    :param is_started: whether an agent has reported the start.
    :param is_adopted: whether another entry began the attempt. The
        coordinator of an adopted gang is unknown.
    :param answer_deadline_ms: time at which the last message is sent again
        unless the agent has answered; ``0`` when no answer is awaited.
    :param refusal: outcome of the attempt once the agent has confirmed with
        ``TaskForbidden`` that it will never start the request; ``None``
        when no such confirmation is awaited.
    """

    request: lifecycle.Request
    number: int
    members: list[messages.GangMember]
    listener: Listener
    epoch: identity.Epoch | None
    is_sent: bool = False
    is_resent: bool = False
    is_started: bool = False
    is_cancelled: bool = False
    is_adopted: bool = False
    answer_deadline_ms: int = 0
    refusal: messages.Outcome | None = None

    @property
    def coordinator(self) -> messages.GangMember:
        """First member; the only one unless the attempt is a gang."""
        return self.members[0]

    @property
    def is_gang(self) -> bool:
        """Whether the attempt has several members."""
        return len(self.members) > 1

    def start_messages(self, now: int) -> list[messages.Message]:
        """Return the start message for each member, in member order.

        An adopted attempt is started again under its existing number, by
        which its agents recognize that it is already running.
        """
        work = self.request.work_with_remaining_deadline(now)
        is_claimed = not work.is_idempotent
        if self.is_adopted or not self.is_gang:
            return [
                messages.StartTask(
                    work,
                    self.number,
                    member.incarnation,
                    self.epoch,
                    is_claimed,
                )
                for member in self.members
            ]
        assert self.epoch is not None
        return [
            messages.PrepareGang(
                work,
                self.number,
                self.members,
                index,
                GANG_LEASE_MS,
                self.epoch,
                is_claimed,
            )
            for index in range(len(self.members))
        ]

    def lost_outcome(self) -> messages.Outcome:
        """Return the outcome for an agent that can no longer be asked."""
        detail = f'worker {self.coordinator.worker} lost during the attempt'
        if self.request.work.is_idempotent:
            return lifecycle.failure(_Kind.WORKER_LOST, detail)
        return lifecycle.failure(_Kind.OUTCOME_UNKNOWN, detail)


def outcome_of_claim_result(
    attempt: Attempt, claim_result: ClaimResult
) -> messages.Outcome:
    """Return the outcome of an attempt whose claim was not granted."""
    if claim_result.outcome is not None:
        return claim_result.outcome
    if claim_result.status is ClaimStatus.IN_USE:
        return lifecycle.failure(_Kind.IDEMPOTENCY_KEY_IN_USE)
    if claim_result.status is ClaimStatus.REUSED:
        return lifecycle.failure(_Kind.IDEMPOTENCY_KEY_REUSED)
    if claim_result.status is ClaimStatus.LOST:
        assert claim_result.claim is not None
        detail = (
            f'claimed for worker {claim_result.claim.worker}, which was lost'
        )
        return lifecycle.failure(_Kind.OUTCOME_UNKNOWN, detail)
    # A request with an idempotency key may repeat one that has already run.
    ran = _Ran.UNKNOWN if attempt.request.has_idempotency_key else _Ran.NO
    return lifecycle.failure(_Kind.STORE_UNAVAILABLE, ran=ran)
