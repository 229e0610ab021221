"""Looks up outcomes of requests that other entries have accepted."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from result import Err
from result import Result

from .. import effects
from . import records

if t.TYPE_CHECKING:
    from .context import Context

PENDING_CACHE_MS = 1_000
MAX_CACHED_PENDING = 10_000

_Kind = exceptions.ErrorKind


class OutcomeLookup:
    """Answers requests for outcomes from the journal and stored results."""

    __slots__ = ('_context', '_pending_until_ms_by_key')

    def __init__(self, context: 'Context') -> None:
        self._context = context
        self._pending_until_ms_by_key: dict[str, int] = {}

    def find(self, requested: effects.OutcomeRequested, now: int) -> None:
        """Answer with the phase or the outcome of a request in the store.

        The journal is read before the result: the result is written before
        the journal record is deleted, so a request missing from the
        journal has its result in the store by then, if it was accepted.
        """
        if now < self._pending_until_ms_by_key.get(_result_key(requested), 0):
            pending = effects.Pending(requested.request_id, 'accepted')
            self._put_answer(requested.call_id, pending)
            return
        journal = self._context.journal

        def on_journal(
            result: Result[None, exceptions.Error], now: int
        ) -> None:
            not_found = result.err_value if isinstance(result, Err) else None
            if not_found is None or not_found.kind is _Kind.UNKNOWN_REQUEST:
                self._find_result(requested, not_found)
            else:
                self._put_answer(requested.call_id, _store_unavailable())

        journal.check_journaled(
            requested.account, requested.request_id, on_journal
        )

    def _find_result(
        self,
        requested: effects.OutcomeRequested,
        not_found: exceptions.Error | None,
    ) -> None:
        """Answer with the stored result.

        :param not_found: answer if there is no result either; ``None`` for a
            request that is in the journal, which is then pending.
        """
        request_id = requested.request_id

        def on_fetched(
            fetched: Result[records.ResultRecord | None, exceptions.Error],
            now: int,
        ) -> None:
            reply: effects.Reply
            if isinstance(fetched, Err):
                reply = _store_unavailable()
            elif fetched.ok_value is not None:
                reply = reply_from_outcome(fetched.ok_value.outcome)
            elif not_found is not None:
                reply = not_found
            else:
                reply = effects.Pending(request_id, 'accepted')
                self._cache_pending(requested, now)
            self._put_answer(requested.call_id, reply)

        journal = self._context.journal
        journal.fetch_result(requested.account, request_id, on_fetched)

    def _cache_pending(
        self, requested: effects.OutcomeRequested, now: int
    ) -> None:
        """Cache that a request is pending, for ``PENDING_CACHE_MS``.

        Polls for it within this time are answered without a store call.
        """
        if len(self._pending_until_ms_by_key) >= MAX_CACHED_PENDING:
            self._pending_until_ms_by_key.clear()
        self._pending_until_ms_by_key[_result_key(requested)] = (
            now + PENDING_CACHE_MS
        )

    def _put_answer(self, call_id: int, reply: effects.Reply) -> None:
        self._context.outbox.put(effects.Answer(call_id, reply))


def _result_key(requested: effects.OutcomeRequested) -> str:
    return records.result_key(requested.account, requested.request_id)


def reply_from_outcome(outcome: messages.Outcome) -> effects.Reply:
    """Return the error of a failed outcome, otherwise the outcome itself."""
    return outcome if outcome.error is None else outcome.error


def _store_unavailable() -> exceptions.Error:
    return exceptions.Error.from_kind(
        _Kind.STORE_UNAVAILABLE,
        ran=exceptions.Ran.UNKNOWN,
        retry_after_ms=1_000,
    )
