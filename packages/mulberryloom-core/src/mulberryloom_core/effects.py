"""Inputs and outputs shared by all sans-I/O cores.

A core processes one input at a given time and returns outputs. The code
around the core performs the I/O that these outputs describe. Each package
defines further inputs and outputs of its own.
"""

import dataclasses

from result import Result

from .exceptions import Error
from .identity import PeerId
from .identity import Role
from .messages import Message
from .store import StoreReply
from .store import StoreRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Input: a message from a peer has arrived."""

    peer: PeerId
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnected:
    """Input: a session with a new incarnation of a peer has opened."""

    peer: PeerId


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """Input: the session has ended, by timeout or since the peer left."""

    peer: PeerId


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDone:
    """Input: a :class:`CallStore` has completed.

    :param call_id: id of that call.
    """

    call_id: int
    result: Result[StoreReply, Error]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Input: periodic timer event, about ten times a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Output: send a message to a peer, in order, at least once.

    :param role: role of the peer.
    :param name: name of the peer.
    :param address: ``host:port`` to connect to if no session is open;
        empty if the message is to be dropped in that case.
    """

    role: Role
    name: str
    message: Message
    address: str = ''


class CallIds:
    """Generator of ids for store calls; one instance for each process."""

    __slots__ = ('_last_id',)

    def __init__(self) -> None:
        self._last_id = 0

    def take(self) -> int:
        """Return an id that this process has not used before."""
        self._last_id += 1
        return self._last_id


@dataclasses.dataclass(frozen=True, slots=True)
class CallStore:
    """Output: call the store.

    Completed by a :class:`StoreDone` with the same ``call_id``.
    """

    call_id: int
    request: StoreRequest
