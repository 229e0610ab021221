"""Validates tickets and applies them to the configuration document.

Sans-I/O. A ticket is applied atomically, and it is idempotent: the same
ticket submitted again gets the same result.
"""

import dataclasses
import hashlib
import json
import typing as t

from result import Err
from result import Ok
from result import Result

from .. import store
from . import configuration
from . import document as document_
from ..exceptions import Error
from ..exceptions import ErrorKind
from . import json_values
from ..process import settings
from . import schemas
from . import validation


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A change of the configuration by an operator.

    :param number: chosen by the operator; higher than the last number of
        each changed object.
    :param objects_by_kind: complete new state of each changed object, by
        kind and name; ``None`` removes the object.
    :param sha256: digest of the content.
    """

    number: int
    objects_by_kind: document_.ObjectsByKind
    sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedTicket:
    """Result of an accepted ticket.

    :param document: document after the ticket.
    :param version: configuration version that the ticket produced.
    :param room_bytes: bytes left up to the size limit of the document.
    """

    document: document_.Document
    version: int
    room_bytes: int


class PackingCheck(t.Protocol):
    """Checks whether the guarantees of a configuration can be honoured."""

    def __call__(
        self, config: configuration.Configuration
    ) -> Result[None, Error]:
        """Return ``GUARANTEES_DO_NOT_PACK`` with the reason if they can't."""


def parse(text: str | bytes) -> Result[Ticket, Error]:
    """Parse and validate the JSON text of a ticket.

    :return: the ticket, or an error of kind ``INVALID_TICKET`` that lists
        all problems with their paths.
    """
    parsed = settings.parse(text, schemas.TICKET)
    if parsed.is_err():
        return _invalid(parsed.unwrap_err())
    value = parsed.unwrap()
    number = int(value['number'])
    objects_by_kind = {
        kind: json_values.decode_by_name(
            cls, value.get(kind, {}), ticket=number
        )
        for kind, cls in document_.CLASS_BY_KIND.items()
    }
    if not any(objects_by_kind.values()):
        return _invalid(
            [settings.Problem('$', 'at least one object, got none')]
        )
    return Ok(Ticket(number, objects_by_kind, _digest(objects_by_kind)))


def apply(
    document: document_.Document,
    ticket: Ticket,
    packing_check: PackingCheck | None = None,
) -> Result[AppliedTicket, Error]:
    """Apply a ticket to a document, which is not modified.

    :param packing_check: check of the new guarantees; ``None`` for none.
    :return: the new document, or the reason why the ticket is refused.
    """
    accepted = document.find_accepted_ticket(ticket.number)
    if accepted is not None:
        return _previous_result(document, ticket, accepted)
    superseding = _superseding_objects(document, ticket)
    if superseding:
        detail = f'ticket {ticket.number} is superseded: {superseding}'
        return Err(Error.from_kind(ErrorKind.TICKET_SUPERSEDED, detail))
    changed = _changed_document(document, ticket)
    problems = validation.check(changed.configuration)
    if problems:
        return _invalid(problems)
    room_bytes = _room_bytes(changed)
    if room_bytes < 0:
        detail = (
            f'configuration document is {-room_bytes} bytes over the limit '
            f'of {store.MAX_VALUE_BYTES} bytes'
        )
        return Err(Error.from_kind(ErrorKind.CONFIGURATION_TOO_LARGE, detail))
    if packing_check is not None:
        check_result = packing_check(changed.configuration)
        if check_result.is_err():
            return Err(check_result.unwrap_err())
    return Ok(AppliedTicket(changed, changed.version, room_bytes))


def _previous_result(
    document: document_.Document,
    ticket: Ticket,
    accepted: document_.AcceptedTicket,
) -> Result[AppliedTicket, Error]:
    if accepted.sha256 != ticket.sha256:
        detail = f'ticket {ticket.number} was applied with different content'
        return Err(Error.from_kind(ErrorKind.TICKET_NUMBER_REUSED, detail))
    return Ok(AppliedTicket(document, accepted.version, _room_bytes(document)))


def _superseding_objects(document: document_.Document, ticket: Ticket) -> str:
    """List the changed objects whose number is not below the ticket's."""
    superseding = []
    for kind, objects in ticket.objects_by_kind.items():
        numbers = document.ticket_numbers(kind)
        for name in sorted(objects):
            number = numbers.get(name, document.floor)
            if number >= ticket.number:
                superseding.append(f'{kind}.{name} has ticket {number}')
    return ', '.join(superseding)


def _changed_document(
    document: document_.Document, ticket: Ticket
) -> document_.Document:
    version = document.version + 1
    objects_by_kind = {}
    changed_keys = set()
    new_tombstones = []
    for kind, changes in ticket.objects_by_kind.items():
        objects = document.objects(kind) | changes
        removed = [name for name, item in objects.items() if item is None]
        for name in removed:
            del objects[name]
            tombstone = document_.Tombstone(ticket.number, kind, name)
            new_tombstones.append(tombstone)
        objects_by_kind[kind] = objects
        changed_keys |= {(kind, name) for name in changes}
    kept_tombstones = [
        tombstone
        for tombstone in document.tombstones
        if (tombstone.kind, tombstone.name) not in changed_keys
    ]
    accepted = document_.AcceptedTicket(ticket.number, ticket.sha256, version)
    return document_.from_parts(
        version,
        ticket.number,
        objects_by_kind,
        kept_tombstones + new_tombstones,
        [*document.recent_tickets, accepted],
        document.floor,
    )


def _digest(objects_by_kind: document_.ObjectsByKind) -> str:
    value = {
        kind: json_values.encode_by_name(objects)
        for kind, objects in objects_by_kind.items()
    }
    text = json.dumps(value, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()


def _room_bytes(document: document_.Document) -> int:
    return store.MAX_VALUE_BYTES - len(document_.encode(document))


def _invalid(problems: list[settings.Problem]) -> Err[Error]:
    detail = '; '.join(str(problem) for problem in problems)
    return Err(Error.from_kind(ErrorKind.INVALID_TICKET, detail))
