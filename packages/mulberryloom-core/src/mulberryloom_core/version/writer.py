"""Applies tickets to the document in the store, one at a time.

Sans-I/O. If the result of a write is lost, the document is read again: if
the write took effect, the document lists the ticket and its digest.
"""

import collections
import dataclasses

from result import Err
from result import Ok
from result import Result

from .. import effects
from .. import store
from . import document as document_
from ..exceptions import Error
from ..exceptions import ErrorKind
from ..exceptions import Ran
from . import follower as follower_
from . import merge
from . import ticket as ticket_

RETRY_DELAY_MS = 200
#: Time after which a ticket fails if the store does not respond.
TICKET_TIMEOUT_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class TicketDone:
    """Final result of a ticket.

    :param submission: number that :meth:`Writer.submit` returned.
    :param result: the applied ticket or an error. After an error with
        ``ran: unknown`` the ticket may have been applied or not, and the
        same ticket can be submitted again.
    """

    submission: int
    result: Result[ticket_.AppliedTicket, Error]


Effect = effects.CallStore | TicketDone


@dataclasses.dataclass(slots=True)
class _PendingTicket:
    """A queued ticket.

    :param deadline_ms: time at which the ticket fails.
    :param applied: result of applying the ticket to the document last read.
    """

    submission: int
    ticket: ticket_.Ticket
    deadline_ms: int
    applied: ticket_.AppliedTicket | None = None


class Writer:
    """Applies the tickets that are submitted to one process.

    :param call_ids: source of store call ids, shared within the process.
    :param follower: configuration of the process; updated with each
        accepted ticket.
    :param packing_check: refuses guarantees that can't be honoured.
    """

    __slots__ = (
        '_call_id',
        '_call_ids',
        '_follower',
        '_last_submission',
        '_next_attempt_ms',
        '_packing_check',
        '_queue',
    )

    def __init__(
        self,
        call_ids: effects.CallIds,
        follower: follower_.Follower,
        packing_check: ticket_.PackingCheck | None,
    ) -> None:
        self._call_ids = call_ids
        self._follower = follower
        self._packing_check = packing_check
        self._queue: collections.deque[_PendingTicket] = collections.deque()
        self._last_submission = 0
        self._call_id = 0
        self._next_attempt_ms = 0

    @classmethod
    def from_process(
        cls,
        call_ids: effects.CallIds,
        follower: follower_.Follower,
        packing_check: ticket_.PackingCheck | None = None,
    ) -> 'Writer':
        """Build a writer with an empty queue."""
        return cls(call_ids, follower, packing_check)

    def is_pending_call(self, call_id: int) -> bool:
        """Return whether a store call is the pending one of this writer."""
        return call_id != 0 and call_id == self._call_id

    def submit(self, ticket: ticket_.Ticket, now_ms: int) -> int:
        """Queue a ticket; processing starts at the next tick.

        :return: number that identifies the ticket in :class:`TicketDone`.
        """
        self._last_submission += 1
        deadline_ms = now_ms + TICKET_TIMEOUT_MS
        pending = _PendingTicket(self._last_submission, ticket, deadline_ms)
        self._queue.append(pending)
        return pending.submission

    def on_tick(self, now_ms: int) -> list[Effect]:
        """Complete tickets without the store, or read the document.

        A ticket completes here if it is in force already or has timed out;
        otherwise the document is read for the first ticket.
        """
        outputs: list[Effect] = []
        while self._queue:
            pending = self._queue[0]
            if self._follower.document.find_accepted_ticket(
                pending.ticket.number
            ):
                outputs.append(self._answer_from_follower(pending))
            elif now_ms >= pending.deadline_ms:
                outputs.append(self._time_out())
            else:
                break
        if (
            self._queue
            and not self._call_id
            and now_ms >= self._next_attempt_ms
        ):
            outputs += self._call_store(store.GetKey(document_.KEY))
        return outputs

    def on_store_done(
        self,
        call_id: int,
        result: Result[store.StoreReply, Error],
        now_ms: int,
    ) -> list[Effect]:
        """Process the result of a store call."""
        if not self.is_pending_call(call_id):
            return []
        self._call_id = 0
        if result.is_err():
            return self._on_error(result.unwrap_err(), now_ms)
        reply = result.unwrap()
        pending = self._queue[0]
        if isinstance(reply, store.Written):
            return self._put_in_force(pending, now_ms)
        return self._on_read(pending, reply, now_ms)

    def _on_read(
        self, pending: _PendingTicket, reply: store.Entries, now_ms: int
    ) -> list[Effect]:
        stored = document_.Document.empty()
        revision = 0
        for entry in reply.entries:
            revision = entry.revision
            decoded = document_.decode(entry.value)
            if decoded.is_err():
                return self._complete(Err(decoded.unwrap_err()), now_ms)
            stored = decoded.unwrap()
        base = merge.merge(stored, self._follower.document)
        result = ticket_.apply(base, pending.ticket, self._packing_check)
        if result.is_err():
            return self._complete(Err(result.unwrap_err()), now_ms)
        pending.applied = result.unwrap()
        if pending.applied.document is stored:
            return self._put_in_force(pending, now_ms)
        encoded = document_.encode(pending.applied.document)
        return self._call_store(store.PutKey(document_.KEY, encoded, revision))

    def _on_error(self, error: Error, now_ms: int) -> list[Effect]:
        """Read again: at once after a conflict, else after a delay."""
        if error.kind is ErrorKind.STORE_CONFLICT:
            self._next_attempt_ms = now_ms
        else:
            self._next_attempt_ms = now_ms + RETRY_DELAY_MS
        return self.on_tick(now_ms)

    def _put_in_force(
        self, pending: _PendingTicket, now_ms: int
    ) -> list[Effect]:
        """Update the follower with the ticket, then complete the ticket.

        If the follower has meanwhile adopted a document that diverged from
        the written one, both are first merged in the store.
        """
        written = pending.applied.document
        self._follower.adopt(written)
        if not merge.covers(self._follower.document, written):
            return self._call_store(store.GetKey(document_.KEY))
        return self._complete(Ok(pending.applied), now_ms)

    def _complete(
        self, result: Result[ticket_.AppliedTicket, Error], now_ms: int
    ) -> list[Effect]:
        pending = self._queue.popleft()
        return [TicketDone(pending.submission, result), *self.on_tick(now_ms)]

    def _answer_from_follower(self, pending: _PendingTicket) -> TicketDone:
        """Complete a ticket from the document in force."""
        self._queue.popleft()
        self._call_id = 0
        result = ticket_.apply(
            self._follower.document, pending.ticket, self._packing_check
        )
        return TicketDone(pending.submission, result)

    def _time_out(self) -> TicketDone:
        """Fail the first ticket, whose write may still have taken effect."""
        pending = self._queue.popleft()
        self._call_id = 0
        error = Error.from_kind(
            ErrorKind.STORE_UNAVAILABLE,
            ran=Ran.UNKNOWN,
            retry_after_ms=TICKET_TIMEOUT_MS,
        )
        return TicketDone(pending.submission, Err(error))

    def _call_store(self, request: store.StoreRequest) -> list[Effect]:
        self._call_id = self._call_ids.take()
        return [effects.CallStore(self._call_id, request)]
