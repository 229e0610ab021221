"""Control messages that open, maintain and end a session.

The handshake on a new connection is :class:`Hello` from the initiator,
:class:`Challenge` from the acceptor, :class:`Proof` from the initiator and
:class:`Welcome` from the acceptor. ``Challenge`` and ``Proof`` carry a MAC,
with which each side proves that it knows the deployment's secret.
"""

import dataclasses
import typing as t

from ..exceptions import Error
from ..identity import Role


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of the initiator, the side that connected.

    :param nonce: fresh random bytes of the initiator.
    """

    role: Role
    name: str
    incarnation: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """Reply of the acceptor to :class:`Hello`.

    :param nonce: fresh random bytes of the acceptor.
    :param session_id: the sender's id of the session.
    :param peer_session_id: the receiver's id of the session that the sender
        would resume; ``0`` when the sender has no session with the receiver.
    :param mac: HMAC-SHA-256 under the deployment's secret.
    """

    role: Role
    name: str
    incarnation: int
    nonce: bytes
    session_id: int
    peer_session_id: int
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Reply of the initiator to :class:`Challenge`.

    The fields have the same meaning as there.
    """

    session_id: int
    peer_session_id: int
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Reply of the acceptor to :class:`Proof`; completes the handshake."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The sender refuses the connection and closes it."""

    error: Error


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Keepalive; with the message id ``0`` a plain acknowledgement.

    A numbered ping must be acknowledged by the peer.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """Last message of a session; the receiver acknowledges it at once."""


Control: t.TypeAlias = (
    Hello | Challenge | Proof | Welcome | Refusal | Ping | Goodbye
)
