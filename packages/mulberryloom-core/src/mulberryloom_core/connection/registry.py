"""Open sessions by peer, and the assignment of connections to them.

Sans-I/O. A peer that has ended a session proposes a new session id; this
side then ends the session as well, and the next connection opens a new one.
"""

import collections
import typing as t

from result import Err
from result import Ok
from result import Result

from ..exceptions import Error
from ..exceptions import ErrorKind
from . import handshake as handshake_
from ..identity import PeerId
from . import options as options_
from . import outputs
from . import session as session_

#: Most peers whose proposed session id is stored.
MAX_PROPOSED_IDS = 1_024

_SESSION_ID_BYTES = 7


class RandomBytes(t.Protocol):
    """Source of random bytes, such as :func:`secrets.token_bytes`."""

    def __call__(self, count: int) -> bytes:
        """Return ``count`` random bytes."""


class Registry:
    """Sessions of one process.

    :param identity: identity of this process.
    :param options: limits and timeouts.
    :param random_bytes: source of session ids.
    """

    __slots__ = (
        '_identity',
        '_incarnation_by_name',
        '_options',
        '_proposed_id_by_peer',
        '_random_bytes',
        'session_by_name',
    )

    def __init__(
        self,
        identity: PeerId,
        options: options_.SessionOptions,
        random_bytes: RandomBytes,
    ) -> None:
        self._identity = identity
        self._options = options
        self._random_bytes = random_bytes
        self.session_by_name: dict[outputs.PeerName, session_.Session] = {}
        self._incarnation_by_name: dict[outputs.PeerName, int] = {}
        self._proposed_id_by_peer: collections.OrderedDict[PeerId, int] = (
            collections.OrderedDict()
        )

    def propose(
        self, peer: PeerId
    ) -> Result[handshake_.SessionProposal, Error]:
        """Propose the session for a new connection with a peer.

        :return: the current session or a new one, or an error of kind
            ``STALE_INCARNATION`` or ``BAD_HANDSHAKE``.
        """
        name = outputs.PeerName.from_peer(peer)
        if name == outputs.PeerName.from_peer(self._identity):
            return Err(
                Error.from_kind(
                    ErrorKind.BAD_HANDSHAKE, 'process connected to itself'
                )
            )
        if peer.incarnation < self._incarnation_by_name.get(name, 0):
            return Err(Error.from_kind(ErrorKind.STALE_INCARNATION))
        session = self.session_by_name.get(name)
        if session is None or session.peer != peer:
            return Ok(
                handshake_.SessionProposal(self._proposed_session_id(peer))
            )
        return Ok(
            handshake_.SessionProposal(
                session.session_id,
                session.peer_session_id,
                session.last_received_id,
            )
        )

    def superseded_session(
        self, handshake: handshake_.Handshake
    ) -> session_.Session | None:
        """Return the session that a complete handshake supersedes, if any.

        The peer is a newer incarnation, or has ended the session.
        """
        name = outputs.PeerName.from_peer(handshake.peer)
        session = self.session_by_name.get(name)
        if session is None:
            return None
        is_same_session = (
            session.peer == handshake.peer
            and session.peer_session_id == handshake.peer_proposal.session_id
        )
        return None if is_same_session else session

    def open_or_resume(
        self, handshake: handshake_.Handshake
    ) -> session_.Session | None:
        """Return the session of a connection whose handshake is complete.

        :return: the resumed or new session; ``None`` when the two sides
            proposed different sessions. The connection then has to be
            closed, and the next one finds matching proposals.
        """
        local_proposal, peer_proposal = (
            handshake.local_proposal,
            handshake.peer_proposal,
        )
        current_proposal = self.propose(handshake.peer).unwrap()
        if current_proposal.session_id != local_proposal.session_id:
            return None
        if peer_proposal.peer_session_id not in (0, local_proposal.session_id):
            return None
        name = outputs.PeerName.from_peer(handshake.peer)
        if name in self.session_by_name:
            return self.session_by_name[name]
        session = session_.Session(
            self._identity,
            handshake.peer,
            local_proposal.session_id,
            peer_proposal.session_id,
            self._options,
        )
        self.session_by_name[name] = session
        self._incarnation_by_name[name] = handshake.peer.incarnation
        self._proposed_id_by_peer.pop(handshake.peer, None)
        return session

    def remove(self, session: session_.Session) -> None:
        """Remove a session that has ended."""
        del self.session_by_name[outputs.PeerName.from_peer(session.peer)]

    def _proposed_session_id(self, peer: PeerId) -> int:
        """Return the id to propose for the next session with a peer.

        It stays the same until that session opens, so that concurrent
        handshakes on two connections agree.
        """
        if peer not in self._proposed_id_by_peer:
            # Plus one, since the id 0 stands for no session.
            id_bytes = self._random_bytes(_SESSION_ID_BYTES)
            self._proposed_id_by_peer[peer] = (
                int.from_bytes(id_bytes, 'big') + 1
            )
            if len(self._proposed_id_by_peer) > MAX_PROPOSED_IDS:
                self._proposed_id_by_peer.popitem(last=False)
        return self._proposed_id_by_peer[peer]
