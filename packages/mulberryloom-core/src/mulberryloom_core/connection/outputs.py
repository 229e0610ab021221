"""Outputs of :class:`endpoint.Endpoint`, which the node carries out."""

import dataclasses
import typing as t

from .. import effects
from ..exceptions import Error
from ..identity import PeerId
from ..identity import Role


@dataclasses.dataclass(frozen=True, slots=True)
class PeerName:
    """Identity of a peer without its incarnation."""

    role: Role
    name: str

    @classmethod
    def from_peer(cls, peer: PeerId) -> 'PeerName':
        """Return the role and the name of a peer."""
        return cls(peer.role, peer.name)


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLink:
    """Writes bytes to a connection."""

    link_id: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Closes a connection once the bytes written to it are sent.

    :param error: reason; ``None`` when the close is no failure.
    """

    link_id: int
    error: Error | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LogDroppedMessages:
    """Logs that messages for a peer were dropped unsent."""

    name: PeerName
    error: Error


Event: t.TypeAlias = (
    effects.Received | effects.PeerConnected | effects.PeerLost
)
Output: t.TypeAlias = WriteLink | CloseLink | LogDroppedMessages | Event
