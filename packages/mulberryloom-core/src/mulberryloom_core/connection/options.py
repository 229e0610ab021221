"""Limits and times of sessions, and what a node counts."""

import dataclasses

from . import frame


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOptions:
    """Limits and times; durations are in milliseconds.

    :param ping_interval_ms: idle time after which a ping is sent.
    :param silence_ms: a connection that brings nothing for so long is
        replaced; so is one that brings no acknowledgement for this and
        another ping interval.
    :param lost_after_ms: a session without a working connection for so
        long ends.
    :param handshake_ms: longest handshake.
    :param max_handshakes: connections in the handshake at the same time.
    :param max_unacked: unacknowledged messages of one session; one more
        ends the session.
    :param max_unacked_bytes: the same, by size.
    :param max_payload_bytes: longest message.
    :param reconnect_min_ms: first pause between connection attempts.
    :param reconnect_max_ms: longest pause.
    :param close_ms: time to flush unacknowledged messages at the end.
    """

    ping_interval_ms: int = 1_500
    silence_ms: int = 3_000
    lost_after_ms: int = 3_000
    handshake_ms: int = 2_000
    max_handshakes: int = 64
    max_unacked: int = 4_096
    max_unacked_bytes: int = 32 * 1024 * 1024
    max_payload_bytes: int = frame.MAX_PAYLOAD_BYTES
    reconnect_min_ms: int = 50
    reconnect_max_ms: int = 1_000
    close_ms: int = 2_000


#: For sessions over which leases are kept: silent connections are replaced
#: well within the time for which an agent renews without news.
LEASE_OPTIONS = SessionOptions(
    ping_interval_ms=700,
    silence_ms=1_800,
    lost_after_ms=2_000,
    reconnect_max_ms=600,
    close_ms=300,
)


@dataclasses.dataclass(slots=True)
class NodeCounters:
    """Totals since the start of a node.

    :param reconnects: connections that replaced one of the same session.
    :param refused_handshakes: connections whose handshake failed.
    :param bad_frames: connections closed for a frame or message that made
        no sense.
    :param duplicates: messages dropped since they had come before.
    :param dropped: messages that could not be sent to anybody.
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
