"""Identities and addresses of processes, and versions of ownership."""

import dataclasses
import enum
import ipaddress
import secrets
import typing as t

import structlog

MAX_PORT = 65_535
#: Longest text of an address; the longest one of IPv6 has a scope.
MAX_ADDRESS_LENGTH = 100

_log = structlog.get_logger(__name__)


class Role(enum.Enum):
    """Kind of process."""

    ENTRY = 'entry'
    AGENT = 'agent'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerId:
    """One incarnation of one process.

    :param role: kind of the process.
    :param name: name of the entry, or of the agent's worker.
    :param incarnation: number assigned at each start of the process; of two
        incarnations with the same name, the larger one is the later one.
    """

    role: Role
    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """Version of the ownership of a shard; totally ordered.

    :param revision: store revision at which the shard was claimed.
    :param sub: number of provisional owners since that claim.
    :param entry: name of the owner; breaks ties.
    """

    revision: int
    sub: int
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Numeric IP address and port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> 'Address':
        """Parse ``host:port``.

        :raises ValueError: if the text has another form, the host is not a
            numeric address, or the port is out of range.
        """
        host, separator, port = text.rpartition(':')
        is_port = port.isascii() and port.isdecimal()
        if len(text) > MAX_ADDRESS_LENGTH or not (separator and is_port):
            raise ValueError(
                f'expected host:port, got {text[:MAX_ADDRESS_LENGTH]!r}'
            )
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
        number = int(port)
        if number > MAX_PORT:
            raise ValueError(f'port: expected at most {MAX_PORT}, got {port}')
        return cls(host, number)

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def read_addresses(
    text_by_source: t.Iterable[tuple[str, str]],
) -> t.Iterator[Address]:
    """Yield the addresses that can be read; the others are logged.

    :param text_by_source: pairs of what names an address, such as a key, and
        its text.
    """
    for source, text in text_by_source:
        try:
            yield Address.from_text(text)
        except ValueError as error:
            _log.warning('address skipped', source=source, reason=str(error))


def generate_process_name(vm: str) -> str:
    """Generate a peer name that is unique to one start of a process.

    Unlike incarnations, such names do not depend on a clock that never
    runs backwards.

    :param vm: name of the VM on which the process runs.
    """
    return f'{vm}.{secrets.token_hex(4)}'


def vm_of(name: str) -> str:
    """Return the VM part of a name made by :func:`generate_process_name`."""
    return name.rpartition('.')[0]
