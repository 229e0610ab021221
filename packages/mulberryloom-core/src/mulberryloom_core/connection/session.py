"""Reliable, ordered messages to one peer over successive connections.

Sans-I/O: a :class:`Session` holds the state that must outlive a connection,
namely the sequence numbers of both directions and the messages that the peer
has not acknowledged. :class:`endpoint.Endpoint` sends and receives the
frames.
"""

import collections
import dataclasses
import enum

from result import Err
from result import Ok
from result import Result

from . import codec
from . import control
from ..exceptions import Error
from ..exceptions import ErrorKind
from . import frame
from ..identity import PeerId
from . import options as options_

#: Received messages after which an acknowledgement is sent at once.
ACK_EVERY_MESSAGES = 32
#: Received bytes after which an acknowledgement is sent at once.
ACK_EVERY_BYTES = 256 * 1024


class TimerResult(enum.Enum):
    """Result of a check of the timers of a session.

    ``CONNECTION_SILENT`` is the receive timeout of the connection, ``LOST``
    the timeout of the session itself.
    """

    NOTHING_DUE = 'nothing-due'
    PING_DUE = 'ping-due'
    CONNECTION_SILENT = 'connection-silent'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class _UnackedMessage:
    message_id: int
    message: codec.Payload
    size_bytes: int


class Session:
    """This side's state of a session with a peer.

    :param identity: identity of this process.
    :param peer: identity of the other process.
    :param session_id: this side's id of the session.
    :param peer_session_id: the peer's id of the session.
    :param options: limits and timeouts.
    :ivar link_id: current connection; ``None`` while there is none.
    :ivar is_leaving: whether this side has sent a goodbye.
    :ivar is_new: whether no connection has been attached yet.
    :ivar last_sent_id: highest sequence number sent.
    :ivar last_received_id: highest sequence number received.
    """

    __slots__ = (
        '_ack_wait_since_ms',
        '_detached_since_ms',
        '_incarnation',
        '_last_ack_sent_id',
        '_last_receive_ms',
        '_last_send_ms',
        '_options',
        '_received_bytes',
        '_unacked',
        '_unacked_bytes',
        'is_leaving',
        'is_new',
        'last_received_id',
        'last_sent_id',
        'link_id',
        'peer',
        'peer_session_id',
        'session_id',
    )

    def __init__(
        self,
        identity: PeerId,
        peer: PeerId,
        session_id: int,
        peer_session_id: int,
        options: options_.SessionOptions,
    ) -> None:
        self._incarnation = identity.incarnation
        self._options = options
        self.peer = peer
        self.session_id = session_id
        self.peer_session_id = peer_session_id
        self.link_id: int | None = None
        self.is_leaving = False
        self.is_new = True
        self.last_sent_id = 0
        self.last_received_id = 0
        self._last_ack_sent_id = 0
        self._received_bytes = 0
        self._unacked: collections.deque[_UnackedMessage] = collections.deque()
        self._unacked_bytes = 0
        self._last_receive_ms = 0
        self._last_send_ms = 0
        self._ack_wait_since_ms = 0
        self._detached_since_ms = 0

    @property
    def unacked_count(self) -> int:
        """Number of messages that the peer has not acknowledged."""
        return len(self._unacked)

    @property
    def is_full(self) -> bool:
        """Whether unacknowledged messages exceed the limits."""
        return (
            len(self._unacked) > self._options.max_unacked
            or self._unacked_bytes > self._options.max_unacked_bytes
        )

    def attach(self, link_id: int, ack_id: int, now_ms: int) -> list[bytes]:
        """Continue the session over a new connection.

        :param ack_id: highest sequence number that the peer has received.
        :return: frames of the messages to retransmit.
        """
        self.link_id = link_id
        self.is_new = False
        self._last_receive_ms = now_ms
        self._last_send_ms = now_ms
        self._ack_wait_since_ms = now_ms
        self._drop_acked(ack_id, now_ms)
        self._last_ack_sent_id = self.last_received_id
        return [
            frame.encode(self._encode(item.message_id, item.message).unwrap())
            for item in self._unacked
        ]

    def detach(self, now_ms: int) -> None:
        """Record the loss of the connection."""
        self.link_id = None
        self._detached_since_ms = now_ms

    def send(
        self, message: codec.Payload, now_ms: int
    ) -> Result[bytes, Error]:
        """Number a message and keep it until it is acknowledged.

        :return: its frame, to be written if there is a connection; an error
            when the message cannot be encoded or exceeds
            ``max_payload_bytes``.
        """
        encoded = self._encode(self.last_sent_id + 1, message)
        if encoded.is_err():
            return Err(encoded.unwrap_err())
        payload = encoded.unwrap()
        if len(payload) > self._options.max_payload_bytes:
            detail = (
                f'{type(message).__name__} of {len(payload)} bytes, '
                f'limit is {self._options.max_payload_bytes}'
            )
            return Err(Error.from_kind(ErrorKind.BODY_TOO_LARGE, detail))
        self.last_sent_id += 1
        if not self._unacked:
            self._ack_wait_since_ms = now_ms
        self._unacked.append(
            _UnackedMessage(self.last_sent_id, message, len(payload))
        )
        self._unacked_bytes += len(payload)
        self._record_send(now_ms)
        return Ok(frame.encode(payload))

    def ack(self, now_ms: int) -> bytes:
        """Return the frame of an acknowledgement without a message."""
        self._record_send(now_ms)
        return frame.encode(self._encode(0, control.Ping()).unwrap())

    def receive(
        self, envelope: codec.Envelope, size_bytes: int, now_ms: int
    ) -> Result[bool, Error]:
        """Process an envelope from the current connection.

        :param size_bytes: size of the encoded envelope.
        :return: whether the message has to be delivered, which excludes
            duplicates and plain acknowledgements; an error when the
            connection has to be replaced.
        """
        if envelope.incarnation != self.peer.incarnation:
            return Err(Error.from_kind(ErrorKind.STALE_INCARNATION))
        self._last_receive_ms = now_ms
        if envelope.ack_id > self.last_sent_id:
            return _bad_frame(
                f'message {envelope.ack_id} acknowledged, '
                f'last sent is {self.last_sent_id}'
            )
        self._drop_acked(envelope.ack_id, now_ms)
        if envelope.message_id == 0:
            return Ok(False)
        self._received_bytes += size_bytes
        if envelope.message_id <= self.last_received_id:
            return Ok(False)
        if envelope.message_id > self.last_received_id + 1:
            return _bad_frame(
                f'message {envelope.message_id} received, '
                f'expected {self.last_received_id + 1}'
            )
        self.last_received_id = envelope.message_id
        return Ok(True)

    def record_activity(self, now_ms: int) -> None:
        """Record that bytes arrived over the connection."""
        self._last_receive_ms = now_ms

    @property
    def is_ack_due(self) -> bool:
        """Whether enough was received to send an acknowledgement at once."""
        return (
            self.last_received_id - self._last_ack_sent_id
            >= ACK_EVERY_MESSAGES
            or self._received_bytes >= ACK_EVERY_BYTES
        )

    def check_timers(self, now_ms: int) -> TimerResult:
        """Return which timer has expired, if any."""
        options = self._options
        if self.link_id is None:
            is_lost = (
                now_ms - self._detached_since_ms >= options.session_timeout_ms
            )
            return TimerResult.LOST if is_lost else TimerResult.NOTHING_DUE
        if now_ms - self._last_receive_ms >= options.silence_timeout_ms:
            return TimerResult.CONNECTION_SILENT
        # Every message of the peer carries an acknowledgement, and an idle
        # peer sends a ping after each ping interval.
        ack_limit_ms = options.silence_timeout_ms + options.ping_interval_ms
        if self._unacked and now_ms - self._ack_wait_since_ms >= ack_limit_ms:
            return TimerResult.CONNECTION_SILENT
        if now_ms - self._last_send_ms >= options.ping_interval_ms:
            return TimerResult.PING_DUE
        return TimerResult.NOTHING_DUE

    def _encode(
        self, message_id: int, message: codec.Payload
    ) -> Result[bytes, Error]:
        return codec.encode(
            codec.Envelope(
                message_id, self.last_received_id, self._incarnation, message
            )
        )

    def _record_send(self, now_ms: int) -> None:
        self._last_send_ms = now_ms
        if self.link_id is not None:
            self._last_ack_sent_id = self.last_received_id
            self._received_bytes = 0

    def _drop_acked(self, ack_id: int, now_ms: int) -> None:
        unacked = self._unacked
        while unacked and unacked[0].message_id <= ack_id:
            self._unacked_bytes -= unacked.popleft().size_bytes
            self._ack_wait_since_ms = now_ms


def _bad_frame(detail: str) -> Err[Error]:
    return Err(Error.from_kind(ErrorKind.BAD_FRAME, detail))
