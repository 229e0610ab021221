"""Registry of open attempts: dispatch to agents, resending and end."""

import random
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes

from . import lifecycle
from ..process.claim import ClaimResult
from ..process.claim import ClaimStatus
from .attempt import Attempt
from .attempt import GANG_LEASE_MS
from .attempt import Listener
from .attempt import outcome_of_claim_result

if t.TYPE_CHECKING:
    from mulberryloom_core import effects

    from ..process.claims import Claims
    from ..process.membership import Membership
    from ..process.outbox import Outbox
    from .budget import RetryBudgets
    from .router import InFlightResources

#: Time after which a message that an agent has not answered is sent again.
ANSWER_TIMEOUT_MS = 2_000
MAX_FIRST_ATTEMPT_NUMBER = 1 << 30

_Kind = exceptions.ErrorKind
_Ran = exceptions.Ran


class Attempts:
    """Attempts of one entry whose outcome is not known yet.

    :param source: random number generator.
    """

    __slots__ = (
        '_attempts_by_id',
        '_budgets',
        '_claims',
        '_in_flight',
        '_membership',
        '_next_attempt_number',
        '_outbox',
        '_request_ids_by_worker',
        '_session_incarnation_by_worker',
    )

    def __init__(
        self,
        membership: 'Membership',
        claims: 'Claims',
        in_flight: 'InFlightResources',
        budgets: 'RetryBudgets',
        outbox: 'Outbox',
        source: random.Random,
    ) -> None:
        self._membership = membership
        self._claims = claims
        self._in_flight = in_flight
        self._outbox = outbox
        # Two owners of one request must not use the same attempt numbers, so
        # each entry counts from a random number.
        self._next_attempt_number = source.randrange(
            1, MAX_FIRST_ATTEMPT_NUMBER
        )
        self._attempts_by_id: dict[str, Attempt] = {}
        self._budgets = budgets
        self._session_incarnation_by_worker: dict[str, int] = {}
        self._request_ids_by_worker: dict[str, set[str]] = {}

    def find(self, request_id: str) -> Attempt | None:
        """Return the open attempt of a request, if any."""
        return self._attempts_by_id.get(request_id)

    def __len__(self) -> int:
        return len(self._attempts_by_id)

    def begin(
        self,
        request: lifecycle.Request,
        members: list[messages.GangMember],
        listener: Listener,
        now: int,
        epoch: identity.Epoch | None = None,
    ) -> Attempt | None:
        """Begin an attempt.

        An idempotent request is sent at once, any other one only after it
        has been claimed in the store. The callers of this entry and its
        owner side may hold the same request, by its idempotency key: while
        one of them has an attempt open, those of the other are refused.

        :param members: worker and agent incarnation of each member; the
            first member coordinates.
        :param epoch: epoch of the account's shard; required for a gang.
        :return: ``None`` if another attempt of the request is open.
        """
        if request.request_id in self._attempts_by_id:
            in_use = lifecycle.failure(_Kind.IDEMPOTENCY_KEY_IN_USE)
            listener.on_attempt_ended(request, in_use, members[0].worker, now)
            return None
        number = self._next_attempt_number
        self._next_attempt_number += 1
        attempt = Attempt(request, number, members, listener, epoch)
        self._register(attempt)
        if request.work.is_idempotent:
            self._send(attempt, now)
        else:
            request.phase = lifecycle.Phase.CLAIMED
            self._claim(attempt, now)
        return attempt

    def adopt(
        self,
        request: lifecycle.Request,
        members: list[messages.GangMember],
        number: int,
        listener: Listener,
        now: int,
        epoch: identity.Epoch | None = None,
    ) -> Attempt:
        """Take over an attempt that is already running on an agent.

        :param number: attempt number under which it runs.
        """
        attempt = Attempt(request, number, members, listener, epoch)
        self._register(attempt)
        attempt.is_adopted = True
        attempt.is_resent = True
        self._send(attempt, now)
        return attempt

    def _register(self, attempt: Attempt) -> None:
        request = attempt.request
        self._attempts_by_id[request.request_id] = attempt
        for member in attempt.members:
            resources = request.work.demand.member(member.accelerators)
            self._in_flight.add(member.worker, request.request_id, resources)
            request_ids = self._request_ids_by_worker.setdefault(
                member.worker, set()
            )
            request_ids.add(request.request_id)

    def _claim(self, attempt: Attempt, now: int) -> None:
        coordinator = attempt.coordinator

        def on_claim_result(claim_result: ClaimResult, now: int) -> None:
            if self._attempts_by_id.get(attempt.request.request_id) is attempt:
                self._on_claim_result(attempt, claim_result, now)

        self._claims.acquire(
            attempt.request,
            coordinator.worker,
            coordinator.incarnation,
            attempt.number,
            on_claim_result,
            now,
        )

    def _on_claim_result(
        self, attempt: Attempt, claim_result: ClaimResult, now: int
    ) -> None:
        status = claim_result.status
        if status is ClaimStatus.HELD and attempt.is_cancelled:
            cancelled = lifecycle.failure(_Kind.CANCELLED, ran=_Ran.NO)
            self._end(attempt, cancelled, now)
        elif status is ClaimStatus.HELD and self._is_current_incarnation(
            attempt.coordinator
        ):
            self._send(attempt, now)
        elif status is ClaimStatus.HELD:
            refused = lifecycle.failure(
                _Kind.NO_WORKER,
                f'worker {attempt.coordinator.worker} lost before dispatch',
            )
            self._end(attempt, refused, now)
        elif status is ClaimStatus.RUNNING:
            self._follow_running_attempt(attempt, claim_result, now)
        else:
            self._end(
                attempt, outcome_of_claim_result(attempt, claim_result), now
            )

    def _is_current_incarnation(self, member: messages.GangMember) -> bool:
        view = self._membership.workers_by_name.get(member.worker)
        return view is not None and view.incarnation == member.incarnation

    def _follow_running_attempt(
        self, attempt: Attempt, claim_result: ClaimResult, now: int
    ) -> None:
        """Await a running attempt that another, lost entry has started."""
        claim = claim_result.claim
        assert claim is not None
        self._unregister(attempt)
        view = self._membership.workers_by_name.get(claim.worker)
        state = view.state if view is not None else None
        attempt.number = claim.attempt
        attempt.members = [
            messages.GangMember(
                claim.worker,
                claim.incarnation,
                state.address if state is not None else '',
                attempt.request.work.demand.accelerators,
            )
        ]
        attempt.is_resent = True
        self._register(attempt)
        self._send(attempt, now)

    def _send(self, attempt: Attempt, now: int) -> None:
        attempt.is_sent = True
        attempt.answer_deadline_ms = now + ANSWER_TIMEOUT_MS
        request = attempt.request
        if not attempt.is_started:
            request.mark_dispatched(m.worker for m in attempt.members)
        if attempt.is_gang and not attempt.is_adopted:
            attempt.answer_deadline_ms += GANG_LEASE_MS
        start_messages = attempt.start_messages(now)
        for member, message in zip(
            attempt.members, start_messages, strict=True
        ):
            self._outbox.send_agent(member.worker, message, member.address)

    def on_started(
        self,
        received: 'effects.Received',
        message: messages.TaskStarted,
        now: int,
    ) -> None:
        """Handle an agent's report that an attempt has started."""
        attempt = self._find_matching(
            received, message.request_id, message.attempt
        )
        if attempt is None:
            return
        attempt.answer_deadline_ms = 0
        if attempt.is_started:
            return
        attempt.is_started = True
        attempt.request.mark_started(now)
        attempt.listener.on_started(attempt.request, now)

    def on_ended(
        self,
        received: 'effects.Received',
        message: messages.TaskEnded,
        now: int,
    ) -> None:
        """Handle an agent's report that an attempt ended or was refused.

        Reports of the coordinator count, or of any member of an adopted
        attempt. Another member can only refuse, before the start.
        """
        attempt = self._find_matching(
            received, message.request_id, message.attempt
        )
        if attempt is None:
            return
        outcome = message.outcome
        error = outcome.error
        is_refusal = error is not None and error.ran is _Ran.NO
        is_coordinator = (
            attempt.is_adopted
            or received.peer.name == attempt.coordinator.worker
        )
        if not is_coordinator and (attempt.is_started or not is_refusal):
            return
        if not is_refusal:
            self._end(attempt, outcome, now)
        elif is_coordinator:
            self._on_refusal(attempt, outcome, received.peer, now)
        else:
            self._release_gang(attempt)
            self._forbid_or_end(attempt, outcome, now)

    def _on_refusal(
        self,
        attempt: Attempt,
        outcome: messages.Outcome,
        peer: identity.PeerId,
        now: int,
    ) -> None:
        """Process a refusal by the coordinator's agent.

        After the start, or from another incarnation of the agent after the
        request was resent, a refusal does not rule out that the request
        ran: the attempt counts as lost.
        """
        is_other_incarnation = (
            peer.incarnation != attempt.coordinator.incarnation
        )
        if attempt.is_started or (is_other_incarnation and attempt.is_resent):
            self._end(attempt, attempt.lost_outcome(), now)
        elif is_other_incarnation:
            self._end(attempt, outcome, now)
        else:
            self._forbid_or_end(attempt, outcome, now)

    def _forbid_or_end(
        self, attempt: Attempt, refusal: messages.Outcome, now: int
    ) -> None:
        """End a refused attempt once it can no longer start.

        A message that was sent again, or sent to another gang member, may
        still start it. If the request is not idempotent, the coordinator's
        agent is then first asked to forbid it.
        """
        is_only_copy = not attempt.is_resent and not attempt.is_gang
        if attempt.request.work.is_idempotent or is_only_copy:
            self._end(attempt, refusal, now)
            return
        attempt.refusal = refusal
        self._send_forbid(attempt, now)

    def _send_forbid(self, attempt: Attempt, now: int) -> None:
        attempt.answer_deadline_ms = now + ANSWER_TIMEOUT_MS
        coordinator = attempt.coordinator
        message = messages.ForbidTask(attempt.request.request_id)
        self._outbox.send_agent(
            coordinator.worker, message, coordinator.address
        )

    def on_forbidden(
        self,
        received: 'effects.Received',
        message: messages.TaskForbidden,
        now: int,
    ) -> None:
        """Handle an agent's answer to :class:`messages.ForbidTask`.

        If the request has started after all, its outcome is awaited.
        """
        attempt = self._attempts_by_id.get(message.request_id)
        if attempt is None or attempt.refusal is None:
            return
        coordinator = attempt.coordinator
        if received.peer.name != coordinator.worker:
            return
        if received.peer.incarnation != coordinator.incarnation:
            self._end(attempt, attempt.lost_outcome(), now)
        elif message.has_started:
            attempt.refusal = None
        else:
            self._end(attempt, attempt.refusal, now)

    def _find_matching(
        self, received: 'effects.Received', request_id: str, number: int
    ) -> Attempt | None:
        attempt = self._attempts_by_id.get(request_id)
        if attempt is None or attempt.number != number or not attempt.is_sent:
            return None
        workers = [member.worker for member in attempt.members]
        return attempt if received.peer.name in workers else None

    def cancel(self, request_id: str) -> None:
        """Ask the agents to stop an attempt; its outcome still follows."""
        attempt = self._attempts_by_id.get(request_id)
        if attempt is None:
            return
        attempt.is_cancelled = True
        if not attempt.is_sent:
            return
        message = messages.CancelTask(request_id, attempt.number)
        for member in attempt.members:
            self._outbox.send_agent(member.worker, message, member.address)

    def abandon(self, request_id: str) -> None:
        """Drop an attempt whose outcome another entry awaits."""
        attempt = self._attempts_by_id.pop(request_id, None)
        if attempt is not None:
            self._unregister(attempt)

    def _release_gang(self, attempt: Attempt) -> None:
        message = messages.ReleaseGang(
            attempt.request.request_id, attempt.number
        )
        for member in attempt.members:
            self._outbox.send_agent(member.worker, message, member.address)

    def on_worker_restarted(
        self, worker: str, incarnation: int, now: int
    ) -> None:
        """End the attempts on earlier incarnations of a restarted agent."""
        for attempt in self._attempts_at(worker):
            if attempt.coordinator.incarnation < incarnation:
                self._end_lost(attempt, now)

    def on_worker_lost(self, worker: str, now: int) -> None:
        """End or defer the attempts on a worker that has timed out."""
        for attempt in self._attempts_at(worker):
            self._defer_or_end_lost(attempt, now)

    def on_session_open(self, worker: str, incarnation: int) -> None:
        """Record an open session with a worker's agent."""
        self._session_incarnation_by_worker[worker] = incarnation

    def on_session_lost(self, worker: str, incarnation: int, now: int) -> None:
        """Have the attempts on a worker sent again over its next session."""
        if self._session_incarnation_by_worker.get(worker) == incarnation:
            del self._session_incarnation_by_worker[worker]
        for attempt in self._attempts_at(worker):
            if attempt.is_sent:
                attempt.is_resent = True
                attempt.answer_deadline_ms = now

    def on_tick(self, now: int) -> None:
        """Resend messages whose answer is overdue; end lost attempts."""
        for attempt in list(self._attempts_by_id.values()):
            is_waiting = attempt.is_sent and attempt.answer_deadline_ms
            if not is_waiting or now < attempt.answer_deadline_ms:
                continue
            view = self._membership.workers_by_name.get(
                attempt.coordinator.worker
            )
            if view is None:
                self._defer_or_end_lost(attempt, now)
            elif view.incarnation != attempt.coordinator.incarnation:
                self._end_lost(attempt, now)
            elif attempt.refusal is not None:
                self._send_forbid(attempt, now)
            else:
                attempt.is_resent = True
                self._send(attempt, now)

    def _attempts_at(self, worker: str) -> list[Attempt]:
        """Return the attempts that the worker's agent coordinates."""
        request_ids = sorted(self._request_ids_by_worker.get(worker, ()))
        attempts = [
            self._attempts_by_id[request_id] for request_id in request_ids
        ]
        return [
            attempt
            for attempt in attempts
            if attempt.coordinator.worker == worker
        ]

    def _defer_or_end_lost(self, attempt: Attempt, now: int) -> None:
        """End an attempt on a silent worker, or extend its answer deadline."""
        if attempt.is_sent and self._should_wait_for_outcome(attempt):
            attempt.answer_deadline_ms = now + ANSWER_TIMEOUT_MS
        else:
            self._end_lost(attempt, now)

    def _should_wait_for_outcome(self, attempt: Attempt) -> bool:
        """Return whether to await the outcome instead of retrying.

        While the session is open, a broken connection is being replaced and
        the outcome arrives over the next one. Only idempotent urgent or
        interactive work is retried on another worker at once, as long as
        the account's retry budget is not spent.
        """
        coordinator = attempt.coordinator
        if (
            self._session_incarnation_by_worker.get(coordinator.worker)
            != coordinator.incarnation
        ):
            return False
        work = attempt.request.work
        is_latency_sensitive = (
            work.request_class is not shapes.RequestClass.BATCH
        )
        if not work.is_idempotent or not is_latency_sensitive:
            return True
        return self._budgets.of(work.account).available_retries == 0

    def _end_lost(self, attempt: Attempt, now: int) -> None:
        """End an attempt on a lost worker.

        An attempt that still awaits its claim is not ended here, but
        handled with the result of the claim.
        """
        if attempt.is_sent:
            self._end(attempt, attempt.lost_outcome(), now)
        elif attempt.request.work.is_idempotent:
            refused = lifecycle.failure(
                _Kind.NO_WORKER,
                f'worker {attempt.coordinator.worker} lost before dispatch',
            )
            self._end(attempt, refused, now)

    def _end(
        self, attempt: Attempt, outcome: messages.Outcome, now: int
    ) -> None:
        del self._attempts_by_id[attempt.request.request_id]
        self._unregister(attempt)
        attempt.listener.on_attempt_ended(
            attempt.request, outcome, attempt.coordinator.worker, now
        )

    def _unregister(self, attempt: Attempt) -> None:
        request_id = attempt.request.request_id
        for member in attempt.members:
            self._in_flight.remove(member.worker, request_id)
            request_ids = self._request_ids_by_worker.get(member.worker)
            if request_ids is not None:
                request_ids.discard(request_id)
                if not request_ids:
                    del self._request_ids_by_worker[member.worker]
