"""Identities of processes, runs and plans."""

import dataclasses
import enum
import secrets


class Role(enum.Enum):
    """Kind of a process of the system."""

    ENTRY = 'entry'
    AGENT = 'agent'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerId:
    """One run of one process.

    :param role: kind of the process.
    :param name: entry name, or name of the agent's worker.
    :param incarnation: number drawn anew at every start; a larger one is
        a later start of the same name.
    """

    role: Role
    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """Version of a shard's ownership; totally ordered.

    :param revision: store revision of the claim of the shard.
    :param sub: counts provisional owners since that claim.
    :param entry: name of the owner, which breaks ties.
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

        :raises ValueError: when the text has another form.
        """
        host, separator, port = text.rpartition(':')
        if not separator or not host or not port.isdecimal():
            raise ValueError(f'expected host:port, got {text!r}')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def process_name(vm: str) -> str:
    """Return a peer name for one process on a VM, new at every start.

    A name of its own for each start needs no clock that never goes back.
    """
    return f'{vm}.{secrets.token_hex(4)}'


def vm_of(name: str) -> str:
    """Return the VM on which a process with a peer name runs."""
    return name.rpartition('.')[0]
