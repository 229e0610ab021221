"""The configuration in force at an entry, and tickets submitted there."""

import dataclasses
import typing as t

from mulberryloom_core import effects as core_effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import version as versions
from mulberryloom_core.version import configuration as configurations
from mulberryloom_core.version import ticket as ticket_rules
from result import Err
from result import Result

from .. import effects

if t.TYPE_CHECKING:
    from ..process.outbox import Outbox


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingCall:
    """An operator's call that waits until its ticket is processed.

    :param number: number of the ticket.
    """

    call_id: int
    number: int


class TicketHandler:
    """Follows the configuration and applies operators' tickets.

    :param outbox: receives the effects and the answers to operators.
    :param call_ids: source of the ids of calls to the store, shared by the
        whole process.
    :param packing_check: rejects guarantees that do not fit on the
        configured workers together.
    """

    __slots__ = (
        '_calls_by_submission',
        '_follower',
        '_outbox',
        '_packing_check',
        '_writer',
    )

    def __init__(
        self,
        outbox: 'Outbox',
        call_ids: core_effects.CallIds,
        packing_check: versions.PackingCheck,
    ) -> None:
        self._outbox = outbox
        self._packing_check = packing_check
        self._follower = versions.Follower.from_process(call_ids)
        self._writer = versions.Writer.from_process(
            call_ids, self._follower, packing_check
        )
        self._calls_by_submission: dict[int, _PendingCall] = {}

    @property
    def configuration(self) -> configurations.Configuration:
        """The configuration in force, of the highest version seen here."""
        return self._follower.configuration

    def version_of_ticket(self, number: int) -> int | None:
        """Return the version created by a ticket, or a later one.

        :param number: number of the ticket.
        :return: ``None`` when the configuration in force contains nothing
            from the ticket.
        """
        accepted = self._follower.document.find_accepted_ticket(number)
        if accepted is not None:
            return accepted.version
        current = self.configuration
        configured_objects = (
            *current.accounts_by_name.values(),
            *current.services_by_name.values(),
            *current.racks_by_name.values(),
            *current.operators_by_name.values(),
        )
        if any(found.ticket == number for found in configured_objects):
            return current.version
        return None

    def on_submitted(
        self, submitted: effects.TicketSubmitted, now_ms: int
    ) -> None:
        """Check a ticket, and queue it unless only the check is wanted."""
        parsed = ticket_rules.parse(submitted.document)
        if isinstance(parsed, Err):
            self._answer(submitted.call_id, parsed.err_value)
            return
        ticket = parsed.ok_value
        if submitted.is_check:
            applied = ticket_rules.apply(
                self._follower.document, ticket, self._packing_check
            )
            reply = _build_reply(ticket.number, applied)
            self._answer(submitted.call_id, reply)
            return
        submission = self._writer.submit(ticket, now_ms)
        call = _PendingCall(submitted.call_id, ticket.number)
        self._calls_by_submission[submission] = call
        self._handle_effects(self._writer.on_tick(now_ms))

    def on_tick(self, now_ms: int) -> None:
        """Process timeouts and retries that have become due."""
        self._handle_effects(self._follower.on_tick(now_ms))
        self._handle_effects(self._writer.on_tick(now_ms))

    def on_store_done(self, done: core_effects.StoreDone, now_ms: int) -> None:
        """Process a reply of the store, if one of its calls is from here."""
        for component in (self._follower, self._writer):
            if component.is_pending_call(done.call_id):
                new_effects = component.on_store_done(
                    done.call_id, done.result, now_ms
                )
                self._handle_effects(new_effects)
                return

    def on_peer_version(
        self, peer: identity.PeerId, version: int, now_ms: int
    ) -> None:
        """Fetch the configuration from a peer with a later version."""
        new_effects = self._follower.on_peer_version(peer, version, now_ms)
        self._handle_effects(new_effects)

    def on_message(
        self, peer: identity.PeerId, message: messages.Message, now_ms: int
    ) -> None:
        """Send the configuration to a peer, or process the one received."""
        self._handle_effects(self._follower.on_message(peer, message, now_ms))

    def _handle_effects(self, new_effects: t.Iterable[t.Any]) -> None:
        for effect in new_effects:
            if not isinstance(effect, versions.TicketDone):
                self._outbox.put(effect)
                continue
            call = self._calls_by_submission.pop(effect.submission)
            reply = _build_reply(call.number, effect.result)
            self._answer(call.call_id, reply)

    def _answer(self, call_id: int, reply: effects.Reply) -> None:
        self._outbox.put(effects.Answer(call_id, reply))


def _build_reply(
    number: int, result: Result[versions.AppliedTicket, exceptions.Error]
) -> effects.Reply:
    if isinstance(result, Err):
        return result.err_value
    applied = result.ok_value
    return effects.TicketAccepted(number, applied.version, applied.room_bytes)
