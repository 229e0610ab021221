"""Routing of short requests directly to an agent.

A short request is an urgent or interactive one that fits on one worker and
is not journaled (see ``router.can_bypass_queue`` and
``requests.Requests.on_submitted``). The entry that accepted it sends it to
an agent, without the queue of the account's owner.
"""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages

from . import circuit
from ..request import lifecycle

if t.TYPE_CHECKING:
    from .context import Context
    from .membership import WorkerView

#: Time since acceptance after which a request that finds no worker with
#: capacity is submitted to the owner.
ROUTE_TIMEOUT_MS = 200
#: Number of refused attempts after which it is submitted before that time.
MAX_REFUSALS = 3
RETRY_BACKOFF_MS = 20
MAX_RETRY_BACKOFF_MS = 1_000

_Ran = exceptions.Ran


class RequestHandler(t.Protocol):
    """Interface to the requests that this entry has accepted."""

    def finish(
        self, request: lifecycle.Request, outcome: messages.Outcome, now: int
    ) -> None:
        """Answer the caller with the final outcome."""

    def submit_to_owner(self, request: lifecycle.Request, now: int) -> None:
        """Submit the request to the owner of the account's shard."""

    def store_result(self, request: lifecycle.Request, now: int) -> None:
        """Store the outcome of a request with an idempotency key."""


class FastPath:
    """Routes short requests, and queues them while no worker has capacity.

    :param request_handler: takes final outcomes, results to store and
        requests for the owner.
    """

    __slots__ = (
        '_context',
        '_request_handler',
        '_requests_by_id',
        '_retry_at_ms_by_id',
    )

    def __init__(
        self, context: 'Context', request_handler: RequestHandler
    ) -> None:
        self._context = context
        self._request_handler = request_handler
        self._requests_by_id: dict[str, lifecycle.Request] = {}
        self._retry_at_ms_by_id: dict[str, int] = {}

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request is queued here."""
        return request_id in self._requests_by_id

    def remove(self, request_id: str) -> None:
        """Remove a request from the queue, if it is there."""
        self._requests_by_id.pop(request_id, None)
        self._retry_at_ms_by_id.pop(request_id, None)

    def _enqueue(self, request: lifecycle.Request, retry_at_ms: int) -> None:
        self._requests_by_id[request.request_id] = request
        self._retry_at_ms_by_id[request.request_id] = retry_at_ms

    def on_tick(self, now: int) -> None:
        """Route the queued requests whose retry time has come."""
        for request_id, request in list(self._requests_by_id.items()):
            if now >= self._retry_at_ms_by_id[request_id]:
                self.route(request, now)

    def route(self, request: lifecycle.Request, now: int) -> None:
        """Send a request to a worker, or queue it if none has capacity."""
        context = self._context
        work = request.work
        view = context.router.choose(work, request.tried_workers, now)
        if view is None:
            self._wait_for_capacity(request, now)
            return
        self.remove(request.request_id)
        context.circuits.record_sent(view.worker)
        member = _gang_member(view, work.demand.accelerators)
        context.attempts.begin(request, [member], self, now)

    def _wait_for_capacity(self, request: lifecycle.Request, now: int) -> None:
        waited_ms = now - request.accepted_ms
        owner = self._context.shards.owner_of(request.work.account)
        is_owner_known = owner is not None
        has_max_refusals = request.refusals >= MAX_REFUSALS
        is_overdue = has_max_refusals or waited_ms >= ROUTE_TIMEOUT_MS
        # An owner may refuse a new request, for example when its queue is
        # full; a request that has run must not be refused as new.
        if is_owner_known and is_overdue and not request.has_run:
            self.remove(request.request_id)
            self._request_handler.submit_to_owner(request, now)
            return
        self._enqueue(request, now)

    def _retry_later(self, request: lifecycle.Request, now: int) -> None:
        failure_count = max(1, request.failed_attempts + request.refusals)
        delay_ms = circuit.jittered_backoff(
            failure_count,
            RETRY_BACKOFF_MS,
            MAX_RETRY_BACKOFF_MS,
            self._context.random,
        )
        self._enqueue(request, now + delay_ms)

    def on_started(self, request: lifecycle.Request, now: int) -> None:
        """Do nothing when an attempt starts; only its outcome matters."""

    def on_attempt_ended(
        self,
        request: lifecycle.Request,
        outcome: messages.Outcome,
        worker: str,
        now: int,
    ) -> None:
        """Answer the caller, or schedule another attempt.

        :param worker: worker on which the attempt ran, or was to run.
        """
        if request.phase is lifecycle.Phase.ENDED:
            self._context.record_worker_outcome(worker, outcome, now)
            self._settle_claim(request, outcome, now)
            return
        final = self._context.evaluate_attempt(request, outcome, worker, now)
        if final is not None:
            self._request_handler.finish(request, final, now)
            self._settle_claim(request, outcome, now)
        elif request.refusals >= MAX_REFUSALS and not request.has_run:
            self._wait_for_capacity(request, now)
        else:
            self._retry_later(request, now)

    def _settle_claim(
        self,
        request: lifecycle.Request,
        outcome: messages.Outcome,
        now: int,
    ) -> None:
        """Store the result of a claimed request, or release its claim."""
        if request.work.is_idempotent:
            return
        error = outcome.error
        if error is not None and error.ran is _Ran.NO:
            self._context.claims.release(request)
            return
        self._context.claims.mark_ended(request, now)
        request.outcome = outcome
        self._request_handler.store_result(request, now)

    def on_capacity_change(self, now: int) -> None:
        """Route queued requests after the capacity of a worker changed.

        Stops at the first request for which no worker has capacity.
        """
        for request_id, request in list(self._requests_by_id.items()):
            if now < self._retry_at_ms_by_id[request_id]:
                continue
            self.route(request, now)
            if self.is_waiting(request_id):
                return


def _gang_member(view: 'WorkerView', accelerators: int) -> messages.GangMember:
    assert view.state is not None
    return messages.GangMember(
        view.worker, view.incarnation, view.state.address, accelerators
    )
