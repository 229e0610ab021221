"""Notifies entries of the outcomes of requests that they submitted."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages

from ..request import lifecycle

if t.TYPE_CHECKING:
    from .context import Context


class OnWorkEnded(t.Protocol):
    """Callback for the end of a request that this entry submitted."""

    def __call__(
        self, sender: str, ended: messages.WorkEnded, now: int
    ) -> None:
        """Process the final outcome.

        :param sender: entry that reports the outcome.
        """


class OutcomeNotifier:
    """Notifies submitting entries of the final outcomes of requests.

    :ivar on_ended: called in place of sending a message when the submitter
        is this entry; ``None`` until it is set.
    """

    __slots__ = ('_context', 'on_ended')

    def __init__(self, context: 'Context') -> None:
        self._context = context
        self.on_ended: OnWorkEnded | None = None

    def notify(
        self,
        submitter: str,
        request_id: str,
        outcome: messages.Outcome,
        now: int,
    ) -> None:
        """Notify a submitter of the final outcome of a request.

        :param submitter: name of the entry that submitted the request.
        """
        ended = messages.WorkEnded(request_id, outcome)
        if submitter == self._context.name:
            if self.on_ended is not None:
                self.on_ended(submitter, ended, now)
            return
        view = self._context.membership.entries_by_name.get(submitter)
        address = view.info.address if view is not None else ''
        self._context.outbox.send_entry(submitter, ended, address)

    def notify_already_ended(
        self,
        ended_request: lifecycle.Request,
        fingerprint: str,
        submitter: str,
        now: int,
    ) -> None:
        """Notify a submitter of a request that had ended before.

        :param ended_request: the request that has ended.
        :param fingerprint: fingerprint of the submitted request. If it
            differs from that of the ended request, the idempotency key was
            reused for another request, and the submitter gets an error of
            kind ``IDEMPOTENCY_KEY_REUSED``.
        """
        outcome = ended_request.outcome
        if ended_request.fingerprint != fingerprint:
            kind = exceptions.ErrorKind.IDEMPOTENCY_KEY_REUSED
            outcome = lifecycle.failure(kind)
        assert outcome is not None
        self.notify(submitter, ended_request.request_id, outcome, now)
