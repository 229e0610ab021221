"""The configuration as one JSON document in the store.

The document also holds the history by which a repeated ticket has no effect
and a superseded ticket is refused: the ticket numbers of removed objects, and
the digests of recent tickets.
"""

import dataclasses
import json

from result import Err
from result import Ok
from result import Result

from . import configuration
from ..exceptions import Error
from ..exceptions import ErrorKind
from . import json_values

#: Key of the document in the store.
KEY = 'config/document'

MAX_TOMBSTONES = 1_000
MAX_RECENT_TICKETS = 256

#: Classes of the configuration objects by the JSON key of their kind.
CLASS_BY_KIND: dict[str, type] = {
    'accounts': configuration.ClientAccount,
    'services': configuration.Service,
    'racks': configuration.Rack,
    'operators': configuration.Operator,
}

#: Objects by kind and name; ``None`` for a removed object in a ticket.
ObjectsByKind = dict[str, dict]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Tombstone:
    """Marker of a removed object.

    :param ticket: number of the ticket that removed the object.
    """

    ticket: int
    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedTicket:
    """A ticket that has been applied.

    :param sha256: digest of the ticket's content.
    :param version: configuration version that the ticket produced.
    """

    number: int
    sha256: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A configuration with its history.

    :param floor: highest ticket number among the dropped tombstones. An
        object that is not in the document and has no tombstone counts as
        removed by a ticket of this number.
    """

    configuration: configuration.Configuration
    tombstones: list[Tombstone]
    recent_tickets: list[AcceptedTicket]
    floor: int = 0

    @classmethod
    def empty(cls) -> 'Document':
        """Return the document that precedes the first ticket."""
        return cls(configuration.Configuration.empty(), [], [])

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def objects(self, kind: str) -> dict:
        """Return the objects of a kind, by name."""
        return getattr(self.configuration, f'{kind}_by_name')

    def ticket_numbers(self, kind: str) -> dict[str, int]:
        """Return the last ticket number of each object of a kind.

        Removed objects with a tombstone are included.
        """
        numbers = {
            tombstone.name: tombstone.ticket
            for tombstone in self.tombstones
            if tombstone.kind == kind
        }
        for name, item in self.objects(kind).items():
            numbers[name] = item.ticket
        return numbers

    def find_accepted_ticket(self, number: int) -> AcceptedTicket | None:
        """Return the recent ticket with a number, if there is one."""
        for ticket in self.recent_tickets:
            if ticket.number == number:
                return ticket
        return None


def from_parts(
    version: int,
    ticket: int,
    objects_by_kind: ObjectsByKind,
    tombstones: list[Tombstone],
    recent_tickets: list[AcceptedTicket],
    floor: int = 0,
) -> Document:
    """Build a document, and truncate its history to the limits.

    The highest number of the dropped tombstones becomes the floor, so that
    no older ticket can restore a removed object.
    """
    by_number = sorted(tombstones)
    dropped = by_number[:-MAX_TOMBSTONES]
    floor = max([floor, *(tombstone.ticket for tombstone in dropped)])
    config = configuration.Configuration(
        version,
        ticket,
        **{f'{kind}_by_name': objects_by_kind[kind] for kind in CLASS_BY_KIND},
    )
    by_version = sorted(recent_tickets, key=lambda accepted: accepted.version)
    return Document(
        config,
        by_number[-MAX_TOMBSTONES:],
        by_version[-MAX_RECENT_TICKETS:],
        floor,
    )


def encode(document: Document) -> bytes:
    """Return the JSON text of a document."""
    return json.dumps(
        _to_json(document), sort_keys=True, separators=(',', ':')
    ).encode()


def decode(text: bytes) -> Result[Document, Error]:
    """Read a document written by :func:`encode`.

    :return: the document, or an error of kind ``INTERNAL``.
    """
    try:
        return Ok(_from_json(json.loads(text)))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        detail = f'invalid configuration document: {error!r}'
        return Err(Error.from_kind(ErrorKind.INTERNAL, detail))


def _to_json(document: Document) -> json_values.Json:
    config = document.configuration
    return {
        'version': config.version,
        'ticket': config.ticket,
        'floor': document.floor,
        'tombstones': json_values.encode(document.tombstones),
        'recent_tickets': json_values.encode(document.recent_tickets),
        **{
            kind: json_values.encode_by_name(document.objects(kind))
            for kind in CLASS_BY_KIND
        },
    }


def _from_json(value: json_values.Json) -> Document:
    objects_by_kind = {
        kind: json_values.decode_by_name(cls, value[kind])
        for kind, cls in CLASS_BY_KIND.items()
    }
    return from_parts(
        value['version'],
        value['ticket'],
        objects_by_kind,
        json_values.decode(list[Tombstone], value['tombstones']),
        json_values.decode(list[AcceptedTicket], value['recent_tickets']),
        value['floor'],
    )
