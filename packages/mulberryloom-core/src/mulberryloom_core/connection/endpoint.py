"""All sessions of one process, without its sockets.

Sans-I/O: :class:`node.Node` numbers its connections, here called links, and
passes in received bytes, closed links and the time. The endpoint returns
outputs: bytes to write, links to close and events for the process.
"""

import dataclasses

from .. import effects
from . import codec
from . import control
from ..exceptions import Error
from ..exceptions import ErrorKind
from . import frame
from . import handshake as handshake_
from ..identity import PeerId
from . import options as options_
from . import outbox
from . import outputs
from . import registry
from . import session as session_

#: Longest message in bytes until the peer is authenticated.
HANDSHAKE_PAYLOAD_BYTES = 4_096


@dataclasses.dataclass(slots=True)
class _Link:
    """A connection, whose handshake is in progress until it has a session."""

    link_id: int
    decoder: frame.Decoder
    handshake: handshake_.Handshake
    opened_ms: int
    session: session_.Session | None = None


class Endpoint:
    """Sessions of one process.

    :param identity: identity of this process.
    :param secret: shared secret of the deployment.
    :param options: limits and timeouts.
    :param random_bytes: source of nonces and session ids.
    """

    def __init__(
        self,
        identity: PeerId,
        secret: bytes,
        options: options_.SessionOptions,
        random_bytes: registry.RandomBytes,
    ) -> None:
        self.identity = identity
        self.counters = options_.NodeCounters()
        self._secret = secret
        self._options = options
        self._random_bytes = random_bytes
        self._link_by_id: dict[int, _Link] = {}
        self._registry = registry.Registry(identity, options, random_bytes)
        self._outboxes = outbox.Outboxes(
            options.max_unacked, options.session_timeout_ms
        )

    # Connections

    def open_link(
        self, link_id: int, now_ms: int, *, is_initiator: bool
    ) -> list[outputs.Output]:
        """Begin the handshake on a new connection.

        :param is_initiator: whether this side opened the connection.
        """
        handshake = handshake_.Handshake(
            self.identity,
            self._secret,
            self._random_bytes(handshake_.NONCE_BYTES),
            self._registry.propose,
            is_initiator=is_initiator,
        )
        decoder = frame.Decoder(HANDSHAKE_PAYLOAD_BYTES)
        link = _Link(link_id, decoder, handshake, now_ms)
        self._link_by_id[link_id] = link
        if self._pending_handshakes() > self._options.max_handshakes:
            error = Error.from_kind(
                ErrorKind.TOO_MANY_REQUESTS,
                f'more than {self._options.max_handshakes} '
                f'handshakes in progress',
            )
            return self._refuse_handshake(link, error, now_ms)
        if is_initiator:
            return [self._write_unnumbered(link, handshake.hello())]
        return []

    def receive(
        self, link_id: int, data: bytes, now_ms: int
    ) -> list[outputs.Output]:
        """Process bytes received over a connection."""
        link = self._link_by_id.get(link_id)
        if link is None:
            return []
        self.counters.bytes_in += len(data)
        if link.session is not None:
            link.session.record_activity(now_ms)
        actions: list[outputs.Output] = []
        for result in link.decoder.feed(data):
            if link_id not in self._link_by_id:
                break
            if result.is_err():
                actions += self._close_on_error(
                    link, result.unwrap_err(), now_ms
                )
                break
            actions += self._on_payload(link, result.unwrap(), now_ms)
        return actions

    def close_link(self, link_id: int, now_ms: int) -> None:
        """Remove a closed connection and detach it from its session."""
        link = self._link_by_id.pop(link_id, None)
        if link is not None and link.session is not None:
            link.session.detach(now_ms)

    def peer_of_link(self, link_id: int) -> outputs.PeerName | None:
        """Return the peer of a connection whose handshake is complete."""
        link = self._link_by_id.get(link_id)
        if link is None or link.session is None:
            return None
        return outputs.PeerName.from_peer(link.session.peer)

    # Sessions

    def has_session_or_messages(self, name: outputs.PeerName) -> bool:
        """Tell whether the peer has a session or queued messages."""
        return name in self._registry.session_by_name or name in self._outboxes

    def is_connected(self, name: outputs.PeerName) -> bool:
        """Tell whether the peer has a session with a connection."""
        session = self._registry.session_by_name.get(name)
        return session is not None and session.link_id is not None

    def unacked_count(self) -> int:
        """Return the number of unacknowledged messages of all sessions."""
        sessions = self._registry.session_by_name.values()
        return sum(session.unacked_count for session in sessions)

    def send(
        self,
        name: outputs.PeerName,
        message: codec.Payload,
        now_ms: int,
        *,
        waits_for_session: bool,
    ) -> list[outputs.Output]:
        """Send a message, in order.

        :param waits_for_session: whether to queue the message while the
            peer has no session; if not, it is then dropped.
        """
        session = self._registry.session_by_name.get(name)
        if session is not None:
            return self._send_in_session(session, message, now_ms)
        if not waits_for_session:
            return [
                self._drop_messages(
                    name,
                    'no session with the peer and no address to connect to',
                )
            ]
        if not self._outboxes.add(name, message, now_ms):
            return [
                self._drop_messages(
                    name,
                    f'queue of {self._options.max_unacked} messages '
                    f'for the peer is full',
                )
            ]
        return []

    def leave(
        self, name: outputs.PeerName, now_ms: int
    ) -> list[outputs.Output]:
        """End a session once the peer has acknowledged everything."""
        session = self._registry.session_by_name.get(name)
        if session is None or session.is_leaving:
            return []
        session.is_leaving = True
        return self._send_in_session(session, control.Goodbye(), now_ms)

    def leave_all(self, now_ms: int) -> list[outputs.Output]:
        """End every session."""
        return [
            output
            for name in list(self._registry.session_by_name)
            for output in self.leave(name, now_ms)
        ]

    def on_tick(self, now_ms: int) -> list[outputs.Output]:
        """Apply the timeouts that have expired, and send due pings."""
        actions: list[outputs.Output] = []
        for link in list(self._link_by_id.values()):
            age_ms = now_ms - link.opened_ms
            if (
                link.session is None
                and age_ms >= self._options.handshake_timeout_ms
            ):
                error = Error.from_kind(
                    ErrorKind.BAD_HANDSHAKE,
                    f'handshake not complete after {age_ms} ms',
                )
                actions += self._refuse_handshake(link, error, now_ms)
        for session in list(self._registry.session_by_name.values()):
            actions += self._check_timers(session, now_ms)
        for name in self._outboxes.expired(now_ms):
            count = len(self._outboxes.take(name))
            actions.append(
                self._drop_messages(
                    name,
                    f'no session with the peer '
                    f'within {self._options.session_timeout_ms} ms',
                    count,
                )
            )
        return actions

    # Frames

    def _on_payload(
        self, link: _Link, payload: bytes, now_ms: int
    ) -> list[outputs.Output]:
        self.counters.frames_in += 1
        decoded = codec.decode(payload)
        if decoded.is_err():
            return self._close_on_error(link, decoded.unwrap_err(), now_ms)
        envelope = decoded.unwrap()
        if link.session is None:
            return self._on_handshake(link, envelope, now_ms)
        return self._on_envelope(
            link, link.session, envelope, len(payload), now_ms
        )

    def _on_handshake(
        self, link: _Link, envelope: codec.Envelope, now_ms: int
    ) -> list[outputs.Output]:
        result = link.handshake.receive(envelope)
        if result.is_err():
            return self._refuse_handshake(link, result.unwrap_err(), now_ms)
        step = result.unwrap()
        actions: list[outputs.Output] = []
        if step.reply is not None:
            actions.append(self._write_unnumbered(link, step.reply))
        if step.is_complete:
            actions += self._on_handshake_complete(link, now_ms)
        return actions

    def _on_handshake_complete(
        self, link: _Link, now_ms: int
    ) -> list[outputs.Output]:
        """Attach an authenticated connection to a new or resumed session."""
        handshake = link.handshake
        proposal = self._registry.propose(handshake.peer)
        if proposal.is_err():
            return self._refuse_handshake(link, proposal.unwrap_err(), now_ms)
        actions: list[outputs.Output] = []
        superseded = self._registry.superseded_session(handshake)
        if superseded is not None:
            actions += self._end_session(superseded)
        session = self._registry.open_or_resume(handshake)
        if session is None:
            return actions + self._close(link, None, now_ms)
        if session.is_new:
            actions.append(effects.PeerConnected(session.peer))
        else:
            self.counters.reconnects += 1
        return actions + self._attach(link, session, now_ms)

    def _attach(
        self, link: _Link, session: session_.Session, now_ms: int
    ) -> list[outputs.Output]:
        actions: list[outputs.Output] = []
        if session.link_id is not None:
            self._link_by_id.pop(session.link_id, None)
            actions.append(outputs.CloseLink(session.link_id))
        link.session = session
        link.decoder.max_payload_bytes = self._options.max_payload_bytes
        ack_id = link.handshake.peer_proposal.ack_id
        for data in session.attach(link.link_id, ack_id, now_ms):
            actions.append(self._write(link.link_id, data))
        name = outputs.PeerName.from_peer(session.peer)
        for message in self._outboxes.take(name):
            actions += self._send_in_session(session, message, now_ms)
        return actions

    def _on_envelope(
        self,
        link: _Link,
        session: session_.Session,
        envelope: codec.Envelope,
        size_bytes: int,
        now_ms: int,
    ) -> list[outputs.Output]:
        result = session.receive(envelope, size_bytes, now_ms)
        if result.is_err():
            return self._close_on_error(link, result.unwrap_err(), now_ms)
        message = envelope.message
        if isinstance(message, control.Refusal):
            return self._close_on_error(link, message.error, now_ms)
        actions: list[outputs.Output] = []
        if result.unwrap():
            actions += self._deliver(session, message, now_ms)
        elif envelope.message_id:
            self.counters.duplicates += 1
        if session.link_id is None:
            return actions
        if session.is_leaving and not session.unacked_count:
            return actions + self._end_session(session)
        if session.is_ack_due:
            actions.append(self._write(link.link_id, session.ack(now_ms)))
        return actions

    def _deliver(
        self, session: session_.Session, message: codec.Payload, now_ms: int
    ) -> list[outputs.Output]:
        if isinstance(message, control.Goodbye):
            ack = self._write(session.link_id, session.ack(now_ms))
            return [ack, *self._end_session(session)]
        if isinstance(message, control.Control):
            return []
        return [effects.Received(session.peer, message)]

    def _send_in_session(
        self, session: session_.Session, message: codec.Payload, now_ms: int
    ) -> list[outputs.Output]:
        result = session.send(message, now_ms)
        if result.is_err():
            self.counters.dropped += 1
            name = outputs.PeerName.from_peer(session.peer)
            return [outputs.LogDroppedMessages(name, result.unwrap_err())]
        if session.is_full:
            return self._end_session(session)
        if session.link_id is None:
            return []
        return [self._write(session.link_id, result.unwrap())]

    def _check_timers(
        self, session: session_.Session, now_ms: int
    ) -> list[outputs.Output]:
        timer_result = session.check_timers(now_ms)
        if timer_result is session_.TimerResult.PING_DUE:
            return self._send_in_session(session, control.Ping(), now_ms)
        if timer_result is session_.TimerResult.CONNECTION_SILENT:
            link = self._link_by_id[session.link_id]
            return self._close(link, None, now_ms)
        if timer_result is session_.TimerResult.LOST:
            return self._end_session(session)
        return []

    # Closing

    def _end_session(self, session: session_.Session) -> list[outputs.Output]:
        """End a session, close its connection and report the peer as lost."""
        actions: list[outputs.Output] = []
        self._registry.remove(session)
        if session.link_id is not None:
            self._link_by_id.pop(session.link_id, None)
            actions.append(outputs.CloseLink(session.link_id))
            session.link_id = None
        actions.append(effects.PeerLost(session.peer))
        return actions

    def _close_on_error(
        self, link: _Link, error: Error, now_ms: int
    ) -> list[outputs.Output]:
        """Close a connection after a malformed or unexpected message."""
        self.counters.bad_frames += 1
        return self._close(link, error, now_ms)

    def _refuse_handshake(
        self, link: _Link, error: Error, now_ms: int
    ) -> list[outputs.Output]:
        """Close a connection before its handshake is complete."""
        self.counters.refused_handshakes += 1
        refusal = self._write_unnumbered(link, control.Refusal(error))
        return [refusal, *self._close(link, error, now_ms)]

    def _close(
        self, link: _Link, error: Error | None, now_ms: int
    ) -> list[outputs.Output]:
        self.close_link(link.link_id, now_ms)
        return [outputs.CloseLink(link.link_id, error)]

    def _pending_handshakes(self) -> int:
        links = self._link_by_id.values()
        return sum(link.session is None for link in links)

    def _drop_messages(
        self, name: outputs.PeerName, detail: str, count: int = 1
    ) -> outputs.LogDroppedMessages:
        self.counters.dropped += count
        error = Error.from_kind(ErrorKind.WORKER_LOST, detail)
        return outputs.LogDroppedMessages(name, error)

    def _write(self, link_id: int, data: bytes) -> outputs.WriteLink:
        self.counters.frames_out += 1
        self.counters.bytes_out += len(data)
        return outputs.WriteLink(link_id, data)

    def _write_unnumbered(
        self, link: _Link, message: codec.Payload
    ) -> outputs.WriteLink:
        envelope = codec.Envelope(
            0, link.handshake.ack_id, self.identity.incarnation, message
        )
        payload = codec.encode(envelope).unwrap()
        return self._write(link.link_id, frame.encode(payload))
