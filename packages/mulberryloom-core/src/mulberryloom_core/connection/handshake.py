"""Mutual authentication on a new connection, by the deployment's secret.

Sans-I/O: each connection has one :class:`Handshake`, which receives the
peer's envelopes and returns the replies. Each MAC is an HMAC-SHA-256 over
both identities, both nonces, both session ids and the direction, so that it
cannot be replayed, reflected or relayed to another peer.
"""

import dataclasses
import hashlib
import hmac
import typing as t

from result import Err
from result import Ok
from result import Result

from . import codec
from . import control
from ..exceptions import Error
from ..exceptions import ErrorKind
from ..identity import PeerId

NONCE_BYTES = 32

#: First part of the input of each MAC; tells the two directions apart.
_ACCEPTOR_LABEL = b'mulberryloom acceptor 1'
_INITIATOR_LABEL = b'mulberryloom initiator 1'


@dataclasses.dataclass(frozen=True, slots=True)
class SessionProposal:
    """The session that one side proposes to open or to resume.

    :param session_id: the proposing side's id of the session.
    :param peer_session_id: the other side's id of the session; ``0`` for a
        new session.
    :param ack_id: highest sequence number that the proposing side has
        received in the session.
    """

    session_id: int
    peer_session_id: int = 0
    ack_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one received handshake message.

    :param reply: message to send; ``None`` for nothing.
    :param is_complete: whether both sides are authenticated.
    """

    reply: control.Control | None
    is_complete: bool


class ProposalSource(t.Protocol):
    """Chooses the session for a connection with a peer."""

    def __call__(self, peer: PeerId) -> Result[SessionProposal, Error]:
        """Return the proposed session, or the error that refuses the peer."""


class Handshake:
    """One side of the handshake on one connection.

    :param identity: identity of this process.
    :param secret: shared secret of the deployment.
    :param nonce: :data:`NONCE_BYTES` fresh random bytes.
    :param proposal_source: called once, when the peer's identity is known.
    :param is_initiator: whether this side opened the connection.
    :ivar peer: identity that the peer has given; authenticated once the
        handshake is complete.
    :ivar local_proposal: session that this side proposes.
    :ivar peer_proposal: session that the peer proposes, once its MAC has
        been verified.
    """

    __slots__ = (
        '_expected_class',
        '_identity',
        '_initiator_nonce',
        '_nonce',
        '_proposal_source',
        '_secret',
        'local_proposal',
        'peer',
        'peer_proposal',
    )

    def __init__(
        self,
        identity: PeerId,
        secret: bytes,
        nonce: bytes,
        proposal_source: ProposalSource,
        *,
        is_initiator: bool,
    ) -> None:
        self._identity = identity
        self._secret = secret
        self._nonce = nonce
        self._proposal_source = proposal_source
        self._expected_class: type = (
            control.Challenge if is_initiator else control.Hello
        )
        self._initiator_nonce = b''
        self.peer: PeerId | None = None
        self.local_proposal: SessionProposal | None = None
        self.peer_proposal: SessionProposal | None = None

    def hello(self) -> control.Hello:
        """Return the first message of the initiator."""
        identity = self._identity
        return control.Hello(
            identity.role, identity.name, identity.incarnation, self._nonce
        )

    @property
    def ack_id(self) -> int:
        """Acknowledgement to send; ``0`` until the peer is known."""
        return (
            self.local_proposal.ack_id
            if self.local_proposal is not None
            else 0
        )

    def receive(self, envelope: codec.Envelope) -> Result[Step, Error]:
        """Process the peer's next message.

        :return: the reply and the progress, or an error, after which the
            connection has to be closed: of kind ``BAD_HANDSHAKE`` or
            ``STALE_INCARNATION``, or the error of the peer's refusal.
        """
        message = envelope.message
        if isinstance(message, control.Refusal):
            return Err(message.error)
        if type(message) is not self._expected_class:
            return _bad_handshake(
                f'unexpected {type(message).__name__}, '
                f'expected {self._expected_class.__name__}'
            )
        if isinstance(message, control.Hello):
            return self._on_hello(message)
        if isinstance(message, control.Challenge):
            return self._on_challenge(message, envelope.ack_id)
        if isinstance(message, control.Proof):
            return self._on_proof(message, envelope.ack_id)
        return Ok(Step(None, is_complete=True))

    def _on_hello(self, hello: control.Hello) -> Result[Step, Error]:
        if len(hello.nonce) != NONCE_BYTES:
            return _bad_handshake(
                f'nonce of {len(hello.nonce)} bytes, expected {NONCE_BYTES}'
            )
        peer = PeerId(hello.role, hello.name, hello.incarnation)
        proposal = self._proposal_source(peer)
        if proposal.is_err():
            return Err(proposal.unwrap_err())
        self.peer = peer
        self.local_proposal = proposal.unwrap()
        self._initiator_nonce = hello.nonce
        self._expected_class = control.Proof
        identity = self._identity
        reply = control.Challenge(
            identity.role,
            identity.name,
            identity.incarnation,
            self._nonce,
            self.local_proposal.session_id,
            self.local_proposal.peer_session_id,
            self._mac(
                _ACCEPTOR_LABEL,
                self._nonce,
                identity,
                peer,
                self.local_proposal,
            ),
        )
        return Ok(Step(reply, is_complete=False))

    def _on_challenge(
        self, challenge: control.Challenge, ack_id: int
    ) -> Result[Step, Error]:
        peer = PeerId(challenge.role, challenge.name, challenge.incarnation)
        peer_proposal = SessionProposal(
            challenge.session_id, challenge.peer_session_id, ack_id
        )
        self._initiator_nonce = self._nonce
        mac = self._mac(
            _ACCEPTOR_LABEL,
            challenge.nonce,
            peer,
            self._identity,
            peer_proposal,
        )
        if not hmac.compare_digest(mac, challenge.mac):
            return _bad_handshake(
                f'MAC of {peer.name} does not match the deployment secret'
            )
        proposal = self._proposal_source(peer)
        if proposal.is_err():
            return Err(proposal.unwrap_err())
        self.peer = peer
        self.peer_proposal = peer_proposal
        self.local_proposal = proposal.unwrap()
        self._expected_class = control.Welcome
        reply = control.Proof(
            self.local_proposal.session_id,
            self.local_proposal.peer_session_id,
            self._mac(
                _INITIATOR_LABEL,
                challenge.nonce,
                self._identity,
                peer,
                self.local_proposal,
            ),
        )
        return Ok(Step(reply, is_complete=False))

    def _on_proof(
        self, proof: control.Proof, ack_id: int
    ) -> Result[Step, Error]:
        peer_proposal = SessionProposal(
            proof.session_id, proof.peer_session_id, ack_id
        )
        mac = self._mac(
            _INITIATOR_LABEL,
            self._nonce,
            self.peer,
            self._identity,
            peer_proposal,
        )
        if not hmac.compare_digest(mac, proof.mac):
            return _bad_handshake(
                f'MAC of {self.peer.name} does not match the deployment secret'
            )
        self.peer_proposal = peer_proposal
        return Ok(Step(control.Welcome(), is_complete=True))

    def _mac(
        self,
        label: bytes,
        acceptor_nonce: bytes,
        sender: PeerId,
        receiver: PeerId,
        proposal: SessionProposal,
    ) -> bytes:
        parts = (
            label,
            self._initiator_nonce,
            acceptor_nonce,
            *_identity_parts(sender),
            *_identity_parts(receiver),
            str(proposal.session_id).encode(),
            str(proposal.peer_session_id).encode(),
        )
        mac = hmac.new(self._secret, digestmod=hashlib.sha256)
        for part in parts:
            mac.update(len(part).to_bytes(4, 'big'))
            mac.update(part)
        return mac.digest()


def _identity_parts(peer: PeerId) -> tuple[bytes, bytes, bytes]:
    return (
        peer.role.value.encode(),
        peer.name.encode(),
        str(peer.incarnation).encode(),
    )


def _bad_handshake(detail: str) -> Err[Error]:
    return Err(Error.from_kind(ErrorKind.BAD_HANDSHAKE, detail))
