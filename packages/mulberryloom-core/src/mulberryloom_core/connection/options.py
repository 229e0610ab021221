"""Limits and timeouts of sessions, and the counters of a node."""

import dataclasses

from . import frame


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOptions:
    """Limits and timeouts of the sessions of a node.

    :param ping_interval_ms: idle time after which a ping is sent.
    :param silence_timeout_ms: receive timeout of a connection. A connection
        over which nothing arrives for this time is replaced, and so is one
        over which no acknowledgement arrives for this time and one ping
        interval.
    :param session_timeout_ms: time without a connection after which a session
        ends, and after which messages queued for a peer without a session
        are dropped.
    :param connect_timeout_ms: timeout of the first attempts to connect; it
        doubles up to ``handshake_timeout_ms``.
    :param handshake_timeout_ms: longest timeout of connecting, and timeout of
        the handshake.
    :param max_handshakes: most handshakes in progress at the same time.
    :param max_unacked: most unacknowledged messages of one session, which
        ends when it exceeds the limit; also the most messages queued for a
        peer without a session.
    :param max_unacked_bytes: most unacknowledged bytes of one session,
        which ends when it exceeds the limit.
    :param max_payload_bytes: longest encoded message.
    :param reconnect_min_ms: shortest pause of the retry backoff.
    :param reconnect_max_ms: longest pause of the retry backoff.
    :param close_timeout_ms: timeout for the flush of unacknowledged messages
        when the node closes, and for a closed connection to write its
        remaining bytes before it is aborted.
    """

    ping_interval_ms: int = 1_500
    silence_timeout_ms: int = 3_000
    session_timeout_ms: int = 3_000
    connect_timeout_ms: int = 250
    handshake_timeout_ms: int = 2_000
    max_handshakes: int = 64
    max_unacked: int = 4_096
    max_unacked_bytes: int = 32 * 1024 * 1024
    max_payload_bytes: int = frame.MAX_PAYLOAD_BYTES
    reconnect_min_ms: int = 50
    reconnect_max_ms: int = 1_000
    close_timeout_ms: int = 2_000


#: Options for sessions over which leases are renewed. A silent connection is
#: replaced well within the period during which an agent keeps renewing leases
#: after the leader last confirmed its leadership.
LEASE_OPTIONS = SessionOptions(
    ping_interval_ms=700,
    silence_timeout_ms=1_800,
    session_timeout_ms=2_000,
    reconnect_max_ms=600,
    close_timeout_ms=300,
)


@dataclasses.dataclass(slots=True)
class NodeCounters:
    """Counters of a node since its start.

    :param reconnects: connections that resumed an existing session.
    :param refused_handshakes: connections refused before the handshake was
        complete.
    :param bad_frames: connections closed because of a malformed frame, an
        undecodable message or a violation of the session protocol.
    :param duplicates: received messages ignored as duplicates.
    :param dropped: messages dropped before they were sent.
    """

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    reconnects: int = 0
    refused_handshakes: int = 0
    bad_frames: int = 0
    duplicates: int = 0
    dropped: int = 0
