"""Framing of a byte stream: length, CRC-32 and payload.

The length is that of the payload alone. Length and CRC-32 are unsigned
32-bit integers in network byte order.
"""

import struct
import typing as t
import zlib

from result import Err
from result import Ok
from result import Result

from ..exceptions import Error
from ..exceptions import ErrorKind

MAX_PAYLOAD_BYTES = 16 * 1024 * 1024

_HEADER = struct.Struct('!II')
HEADER_BYTES = _HEADER.size


def encode(payload: bytes) -> bytes:
    """Return the frame of a payload."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


class Decoder:
    """Splits a byte stream into payloads.

    After the first error all further bytes are ignored: the frame
    boundaries are lost, and the connection has to be replaced.

    :param max_payload_bytes: longest payload that is accepted.
    """

    __slots__ = ('_buffer', '_error', 'max_payload_bytes')

    def __init__(self, max_payload_bytes: int = MAX_PAYLOAD_BYTES) -> None:
        self._buffer = bytearray()
        self._error: Error | None = None
        self.max_payload_bytes = max_payload_bytes

    def feed(self, data: bytes) -> t.Iterator[Result[bytes, Error]]:
        """Append received bytes and yield the payloads that are complete.

        A change of ``max_payload_bytes`` between two payloads applies from
        the next payload on.

        :return: complete payloads; the last item is an error of kind
            ``BAD_FRAME`` when the stream cannot be decoded any further.
        """
        if self._error is None:
            self._buffer += data
        return self._decode_buffer()

    def _decode_buffer(self) -> t.Iterator[Result[bytes, Error]]:
        start = 0
        while self._error is None:
            payload_start = start + HEADER_BYTES
            if len(self._buffer) < payload_start:
                break
            length, checksum = _HEADER.unpack_from(self._buffer, start)
            if length > self.max_payload_bytes:
                yield self._fail(
                    f'payload of {length} bytes, '
                    f'limit is {self.max_payload_bytes}'
                )
                return
            end = payload_start + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[payload_start:end])
            if zlib.crc32(payload) != checksum:
                yield self._fail(
                    f'CRC-32 mismatch in a payload of {length} bytes'
                )
                return
            start = end
            yield Ok(payload)
        del self._buffer[:start]

    def _fail(self, detail: str) -> Result[bytes, Error]:
        self._error = Error.from_kind(ErrorKind.BAD_FRAME, detail)
        self._buffer.clear()
        return Err(self._error)
