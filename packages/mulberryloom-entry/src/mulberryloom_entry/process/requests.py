"""Requests that callers submitted to this entry.

The budgets used here are the retry budgets of the client accounts
(``request.budget``), not the error budgets of ``burn``.
"""

import collections
import dataclasses
import heapq
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from result import Err
from result import Result

from .. import effects
from . import fast_path
from . import outcomes
from . import records
from ..request import lifecycle
from ..request import router

if t.TYPE_CHECKING:
    from .context import Context
    from .dispatch import Dispatcher

#: Time for which an ended request is retained to answer duplicates.
ENDED_RETENTION_MS = 60_000
#: Interval of the checks whether an open request must be submitted to an
#: owner, or to another one.
RESUBMIT_INTERVAL_MS = 1_000
#: Time after the deadline in which the owner's outcome is still awaited.
OWNER_GRACE_MS = 200

_Kind = exceptions.ErrorKind
_Ran = exceptions.Ran


class Requests:
    """Accepts requests, routes them, and answers each exactly once."""

    __slots__ = (
        '_context',
        '_deadlines',
        '_dispatcher',
        '_ids_in_journaling',
        '_ended_expirations',
        '_last_request_number',
        '_largest_worker',
        '_next_resubmit_ms',
        '_outcomes',
        '_requests_by_id',
        '_fast_path',
    )

    def __init__(self, context: 'Context', dispatcher: 'Dispatcher') -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._requests_by_id: dict[str, lifecycle.Request] = {}
        self._fast_path = fast_path.FastPath(context, self)
        self._outcomes = outcomes.OutcomeLookup(context)
        self._ids_in_journaling: set[str] = set()
        self._deadlines: list[tuple[int, str]] = []
        self._ended_expirations: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._last_request_number = 0
        self._largest_worker = shapes.Resources()
        self._next_resubmit_ms = 0

    def configure(self) -> None:
        """Compute the largest worker size from the active configuration.

        It has the largest amount of each resource on any worker, so perhaps
        no worker has all of them.
        """
        racks = self._context.configuration.racks_by_name.values()
        sizes = [rack.worker for rack in racks]
        self._largest_worker = shapes.Resources(
            max((size.slots for size in sizes), default=0),
            max((size.accelerators for size in sizes), default=0),
            max((size.processors for size in sizes), default=0),
            max((size.memory_mb for size in sizes), default=0),
        )

    @property
    def open_requests(self) -> list[lifecycle.Request]:
        """Requests that have not ended yet."""
        return [
            request
            for request in self._requests_by_id.values()
            if request.phase is not lifecycle.Phase.ENDED
        ]

    def on_submitted(
        self, submitted: effects.RequestSubmitted, now: int
    ) -> None:
        """Accept a request, or answer a duplicate at once."""
        request = self._build(submitted, now)
        existing = self._requests_by_id.get(request.request_id)
        if existing is not None:
            self._answer_duplicate(existing, request, now)
            return
        self._requests_by_id[request.request_id] = request
        self._context.budgets.of(request.work.account).earn()
        deadline = (request.deadline_at_ms, request.request_id)
        heapq.heappush(self._deadlines, deadline)
        if request.is_journaled:
            self._journal(request, now)
        elif router.can_bypass_queue(request.work, self._largest_worker):
            self._fast_path.route(request, now)
        else:
            self.submit_to_owner(request, now)

    def _build(
        self, submitted: effects.RequestSubmitted, now: int
    ) -> lifecycle.Request:
        work = submitted.work
        key = submitted.idempotency_key
        if key:
            request_id = records.keyed_request_id(work.account, key)
        else:
            request_id = work.request_id or self._new_request_id()
        work = dataclasses.replace(work, request_id=request_id)
        return lifecycle.Request.from_work(
            work,
            now,
            call_id=submitted.call_id,
            is_journaled=submitted.wants_async,
            has_idempotency_key=bool(key),
            fingerprint=records.fingerprint(work),
        )

    def _new_request_id(self) -> str:
        self._last_request_number += 1
        context = self._context
        return (
            f'{context.name}-{context.incarnation}-{self._last_request_number}'
        )

    def _answer_duplicate(
        self,
        existing: lifecycle.Request,
        request: lifecycle.Request,
        now: int,
    ) -> None:
        """Answer a request whose ID belongs to an existing request."""
        if existing.fingerprint != request.fingerprint:
            self._refuse(request, _Kind.IDEMPOTENCY_KEY_REUSED)
        elif existing.request_id in self._ids_in_journaling:
            self._refuse(request, _Kind.IDEMPOTENCY_KEY_IN_USE)
        elif existing.is_journaled and request.is_journaled:
            self._answer(request, effects.Accepted(existing.request_id))
        elif existing.outcome is not None:
            self._answer(
                request, outcomes.reply_from_outcome(existing.outcome)
            )
        else:
            self._refuse(request, _Kind.IDEMPOTENCY_KEY_IN_USE)

    def _refuse(
        self, request: lifecycle.Request, kind: exceptions.ErrorKind
    ) -> None:
        outcome = lifecycle.failure(kind)
        self._answer(request, outcomes.reply_from_outcome(outcome))

    def _answer(
        self, request: lifecycle.Request, reply: effects.Reply
    ) -> None:
        if request.call_id is None:
            return
        self._context.outbox.put(effects.Answer(request.call_id, reply))
        request.call_id = None

    def _journal(self, request: lifecycle.Request, now: int) -> None:
        self._ids_in_journaling.add(request.request_id)

        def on_done(result: Result[None, exceptions.Error], now: int) -> None:
            self._on_journaled(request, result, now)

        wall_ms = self._context.wall_ms(now)
        journal = self._context.journal
        if request.has_idempotency_key:
            journal.append_if_absent(request, wall_ms, on_done, now)
        else:
            journal.append(request, wall_ms, on_done, now)

    def _on_journaled(
        self,
        request: lifecycle.Request,
        result: Result[None, exceptions.Error],
        now: int,
    ) -> None:
        self._ids_in_journaling.discard(request.request_id)
        if isinstance(result, Err):
            error = result.err_value
            status = exceptions.RESPONSE_BY_KIND[error.kind].status
            request.is_journaled = False
            refusal = messages.Outcome(error=error, status=status)
            self.finish(request, refusal, now)
            return
        self._answer(request, effects.Accepted(request.request_id))
        if request.phase is not lifecycle.Phase.ENDED:
            self.submit_to_owner(request, now)

    def _owner_of(self, request: lifecycle.Request) -> str | None:
        return self._context.shards.owner_of(request.work.account)

    def submit_to_owner(self, request: lifecycle.Request, now: int) -> None:
        """Submit a request to the owner of its account, if that changed."""
        owner = self._owner_of(request)
        if owner is None or owner == request.owner:
            return
        if request.owner:
            # The previous owner may have started it.
            request.has_run = True
        elif owner != self._context.name:
            # No attempt of this entry is open, so that no agent may start the
            # request by this entry's claim any more. A previous owner
            # releases its own claim, once its attempt has ended.
            self._context.claims.release(request)
        request.owner = owner
        work = request.work_with_remaining_deadline(now)
        submission = messages.SubmitWork(work, request.is_journaled)
        if owner == self._context.name:
            self._dispatcher.on_submit(submission, owner, now)
        else:
            self._send_entry(owner, submission)
        if request.is_cancelled:
            self._cancel_at_owner(request, now)

    def _send_entry(self, name: str, message: messages.Message) -> None:
        view = self._context.membership.entries_by_name.get(name)
        address = view.info.address if view is not None else ''
        self._context.outbox.send_entry(name, message, address)

    def on_work_ended(
        self, sender: str, ended: messages.WorkEnded, now: int
    ) -> None:
        """Finish a request with the outcome that an owner reports.

        An error from an entry other than the current owner counts only if
        the work is not idempotent and may have run.

        :param sender: name of the entry that reports the outcome.
        """
        request = self._requests_by_id.get(ended.request_id)
        if request is None or request.phase is lifecycle.Phase.ENDED:
            return
        outcome = ended.outcome
        error = outcome.error
        if error is not None and sender != request.owner:
            is_conclusive = (
                not request.work.is_idempotent and error.ran is not _Ran.NO
            )
            if not is_conclusive:
                return
        if error is not None and error.ran is _Ran.NO and request.has_run:
            outcome = lifecycle.failure(error.kind, error.detail, _Ran.UNKNOWN)
        self.finish(request, outcome, now)
        if not request.work.is_idempotent:
            self.store_result(request, now)

    def store_result(self, request: lifecycle.Request, now: int) -> None:
        """Store the outcome of a request with an idempotency key.

        A repeated request at another entry is answered with this outcome.
        """
        if request.has_idempotency_key and not request.is_journaled:
            if request.is_settled:
                wall_ms = self._context.wall_ms(now)
                self._context.journal.record_result(request, wall_ms, now)

    def on_entry_lost(self, name: str, now: int) -> None:
        """Mark the requests that a lost entry owned for resubmission."""
        for request in self.open_requests:
            if request.owner == name:
                # Equal to no entry's name, so that the request is submitted
                # again, also to a restarted entry of the same name; not
                # empty, since the lost owner may have started the request.
                request.owner = f'{name} (lost)'

    def on_cancel_requested(
        self, cancel: effects.CancelRequested, now: int
    ) -> None:
        """Cancel requests; forward unknown ones to the account's owner."""
        untracked_ids = []
        for request_id in cancel.request_ids:
            request = self._requests_by_id.get(request_id)
            if request is None:
                untracked_ids.append(request_id)
            elif request.work.account == cancel.account:
                self._cancel(request, now)
        if untracked_ids:
            self._cancel_untracked(cancel.account, untracked_ids, now)
        reply = effects.CancelAccepted(cancel.request_ids)
        self._context.outbox.put(effects.Answer(cancel.call_id, reply))

    def _cancel_untracked(
        self, account: str, request_ids: list[str], now: int
    ) -> None:
        owner = self._context.shards.owner_of(account)
        message = messages.CancelWork(account, request_ids)
        if owner == self._context.name:
            self._dispatcher.on_cancel(message, now)
        elif owner is not None:
            self._send_entry(owner, message)

    def _cancel(self, request: lifecycle.Request, now: int) -> None:
        if request.phase is lifecycle.Phase.ENDED or request.is_cancelled:
            return
        request.is_cancelled = True
        if request.owner:
            self._cancel_at_owner(request, now)
        elif self._context.attempts.find(request.request_id) is not None:
            self._context.attempts.cancel(request.request_id)
        elif not request.is_journaled:
            self.finish(request, request.abort_outcome(_Kind.CANCELLED), now)

    def _cancel_at_owner(self, request: lifecycle.Request, now: int) -> None:
        account = request.work.account
        message = messages.CancelWork(account, [request.request_id])
        if request.owner == self._context.name:
            self._dispatcher.on_cancel(message, now)
        else:
            self._send_entry(request.owner, message)

    def on_caller_gone(self, call_id: int, now: int) -> None:
        """Cancel the requests of a caller that has disconnected.

        Requests with an idempotency key and journaled requests continue,
        since their outcome can still be fetched.
        """
        for request in self.open_requests:
            if request.call_id != call_id:
                continue
            request.call_id = None
            if not request.has_idempotency_key and not request.is_journaled:
                self._cancel(request, now)

    def on_outcome_requested(
        self, query: effects.OutcomeRequested, now: int
    ) -> None:
        """Answer a caller with the phase or the outcome of a request."""
        request = self._requests_by_id.get(query.request_id)
        if request is None or request.work.account != query.account:
            self._outcomes.find(query, now)
            return
        reply: effects.Reply
        if request.outcome is not None:
            reply = outcomes.reply_from_outcome(request.outcome)
        else:
            phase = request.phase.value
            reply = effects.Pending(request.request_id, phase)
        self._context.outbox.put(effects.Answer(query.call_id, reply))

    def on_fetch_outcome(self, sender: str, request_id: str) -> None:
        """Send another entry the outcome of a request, if it has ended."""
        request = self._requests_by_id.get(request_id)
        if request is not None and request.outcome is not None:
            ended = messages.WorkEnded(request_id, request.outcome)
            self._send_entry(sender, ended)

    def on_capacity_change(self, now: int) -> None:
        """Route waiting requests, since capacity may have become free."""
        self._fast_path.on_capacity_change(now)

    def on_tick(self, now: int) -> None:
        """End overdue requests, route waiting ones, drop expired ones."""
        self._end_overdue(now)
        self._fast_path.on_tick(now)
        if now >= self._next_resubmit_ms:
            self._next_resubmit_ms = now + RESUBMIT_INTERVAL_MS
            self._resubmit_to_owners(now)
        self._drop_expired(now)

    def _resubmit_to_owners(self, now: int) -> None:
        attempts = self._context.attempts
        for request in self.open_requests:
            request_id = request.request_id
            needs_owner = request.owner or (
                not self._fast_path.is_waiting(request_id)
                and attempts.find(request_id) is None
                and request_id not in self._ids_in_journaling
            )
            if needs_owner:
                self.submit_to_owner(request, now)

    def _end_overdue(self, now: int) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            request = self._requests_by_id.get(request_id)
            if request is None or request.phase is lifecycle.Phase.ENDED:
                continue
            if request.is_journaled:
                # The owner ends a journaled request and stores its result.
                continue
            overdue_ms = now - request.deadline_at_ms
            if request.owner and overdue_ms < OWNER_GRACE_MS:
                # The owner knows whether the request ran: await its outcome.
                grace_end_ms = request.deadline_at_ms + OWNER_GRACE_MS
                heapq.heappush(self._deadlines, (grace_end_ms, request_id))
                continue
            self._end_past_deadline(request, now)

    def _end_past_deadline(self, request: lifecycle.Request, now: int) -> None:
        request_id = request.request_id
        attempt = self._context.attempts.find(request_id)
        outcome = request.abort_outcome(_Kind.DEADLINE_PASSED)
        if request.owner:
            outcome = lifecycle.failure(_Kind.DEADLINE_PASSED)
        self.finish(request, outcome, now)
        if request.owner:
            self._cancel_at_owner(request, now)
        elif attempt is not None:
            self._context.attempts.cancel(request_id)

    def finish(
        self,
        request: lifecycle.Request,
        outcome: messages.Outcome,
        now: int,
    ) -> None:
        """End a request and answer its caller; later calls do nothing."""
        if not request.end(outcome, now):
            return
        self._fast_path.remove(request.request_id)
        context = self._context
        error = outcome.error
        has_attempt = context.attempts.find(request.request_id) is not None
        if error is not None and error.ran is _Ran.NO and not has_attempt:
            context.claims.release(request)
        context.burn.record(
            request, context.configuration, context.wall_ms(now)
        )
        self._answer(request, outcomes.reply_from_outcome(outcome))
        is_retained = request.has_idempotency_key and request.is_settled
        if is_retained or request.is_journaled:
            request.drop_body()
            self._ended_expirations.append(
                (now + ENDED_RETENTION_MS, request.request_id)
            )
        else:
            del self._requests_by_id[request.request_id]

    def _drop_expired(self, now: int) -> None:
        while self._ended_expirations and self._ended_expirations[0][0] <= now:
            _, request_id = self._ended_expirations.popleft()
            self._requests_by_id.pop(request_id, None)
