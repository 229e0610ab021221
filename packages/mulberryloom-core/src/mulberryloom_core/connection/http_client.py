"""HTTP client over h11 with a bounded pool of persistent connections."""

import asyncio
import dataclasses
import typing as t

import h11
from result import Err
from result import Ok
from result import Result

from .. import exceptions
from ..identity import Address
from .http_types import HttpRequest
from .http_types import HttpResponse

_READ_BYTES = 65_536
#: Longest total time of a call whose timeout is extended, as a multiple of
#: that timeout.
MAX_TIMEOUT_FACTOR = 8

_ExtendTimeout: t.TypeAlias = t.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of a client.

    :param max_connections: open connections to each address.
    :param connect_timeout_ms: timeout for opening a connection.
    :param max_body_bytes: size of the body of one response.
    """

    max_connections: int = 60
    connect_timeout_ms: int = 2_000
    max_body_bytes: int = 8_388_608


@dataclasses.dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection


class _InvalidResponse(Exception):
    """The connection closed early, or the response body is too large."""


class HttpClient:
    """Client that reuses connections between calls.

    Construct it with :meth:`from_limits`.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self._limits = limits
        self._idle_by_address: dict[Address, list[_Connection]] = {}
        self._semaphore_by_address: dict[Address, asyncio.Semaphore] = {}

    @classmethod
    def from_limits(cls, limits: ClientLimits | None = None) -> 'HttpClient':
        """Build a client without open connections."""
        return cls(limits or ClientLimits())

    async def call(
        self,
        address: Address,
        request: HttpRequest,
        timeout_ms: int,
        *,
        is_timeout_extendable: bool = False,
    ) -> Result[HttpResponse, exceptions.Error]:
        """Send one request and wait for the complete response.

        :param timeout_ms: timeout from the call to the complete response,
            including the wait for a free connection.
        :param is_timeout_extendable: whether each received part of the
            response restarts the timeout, up to ``MAX_TIMEOUT_FACTOR`` times
            the timeout in total; for large responses over slow networks.
        :return: the response, or an error of kind ``BACKEND_UNREACHABLE``
            whose ``ran`` is ``no`` only if nothing was sent.
        """
        has_sent = False
        try:
            async with asyncio.timeout(timeout_ms / 1_000) as timeout:
                async with self._semaphore(address):
                    connection = await self._open(address)
                    has_sent = True
                    extend_timeout = None
                    if is_timeout_extendable:
                        extend_timeout = _timeout_extender(timeout, timeout_ms)
                    return Ok(
                        await self._exchange(
                            address, connection, request, extend_timeout
                        )
                    )
        except TimeoutError:
            detail = f'no complete response from {address} in {timeout_ms} ms'
        except (OSError, _InvalidResponse, h11.ProtocolError) as error:
            detail = f'call to {address} failed: {error}'
        ran = exceptions.Ran.UNKNOWN if has_sent else exceptions.Ran.NO
        return Err(
            exceptions.Error.from_kind(
                exceptions.ErrorKind.BACKEND_UNREACHABLE, detail, ran=ran
            )
        )

    def has_idle_connection(self, address: Address) -> bool:
        """Whether an open connection to the address is idle.

        The next call reuses it and hence reaches the same process as before.
        """
        idle = self._idle_by_address.get(address, [])
        return any(not connection.reader.at_eof() for connection in idle)

    async def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.writer.close()
        self._idle_by_address.clear()

    def _semaphore(self, address: Address) -> asyncio.Semaphore:
        semaphore = self._semaphore_by_address.get(address)
        if semaphore is None:
            semaphore = asyncio.Semaphore(self._limits.max_connections)
            self._semaphore_by_address[address] = semaphore
        return semaphore

    async def _open(self, address: Address) -> _Connection:
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        async with asyncio.timeout(self._limits.connect_timeout_ms / 1_000):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    async def _exchange(
        self,
        address: Address,
        connection: _Connection,
        request: HttpRequest,
        extend_timeout: _ExtendTimeout | None,
    ) -> HttpResponse:
        is_reusable = False
        try:
            connection.writer.write(
                _encode(connection.protocol, address, request)
            )
            await connection.writer.drain()
            response = await self._read_response(connection, extend_timeout)
            is_reusable = (
                connection.protocol.our_state is h11.DONE
                and connection.protocol.their_state is h11.DONE
            )
        finally:
            if is_reusable:
                connection.protocol.start_next_cycle()
                idle = self._idle_by_address.setdefault(address, [])
                idle.append(connection)
            else:
                connection.writer.close()
        return response

    async def _read_response(
        self, connection: _Connection, extend_timeout: _ExtendTimeout | None
    ) -> HttpResponse:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = connection.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await connection.reader.read(_READ_BYTES)
                connection.protocol.receive_data(data)
                if extend_timeout is not None:
                    extend_timeout()
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise _InvalidResponse(
                        f'response body exceeds {self._limits.max_body_bytes}'
                        f' bytes, received {len(body)} so far'
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _response_from_head(head, bytes(body))
            else:
                raise _InvalidResponse(
                    'connection closed before the end of the response'
                )


def _timeout_extender(
    timeout: asyncio.Timeout, timeout_ms: int
) -> _ExtendTimeout:
    """Return a function that restarts a timeout.

    The timeout expires at the latest ``MAX_TIMEOUT_FACTOR`` times its
    duration after this call.

    :param timeout_ms: duration of the timeout, counted from each restart.
    """
    loop = asyncio.get_running_loop()
    latest_end_s = loop.time() + MAX_TIMEOUT_FACTOR * timeout_ms / 1_000

    def extend_timeout() -> None:
        timeout.reschedule(min(latest_end_s, loop.time() + timeout_ms / 1_000))

    return extend_timeout


def _encode(
    protocol: h11.Connection, address: Address, request: HttpRequest
) -> bytes:
    target = request.path
    if request.query:
        target = f'{target}?{request.query}'
    headers = [
        ('host', str(address)),
        ('content-length', str(len(request.body))),
        *request.headers_by_name.items(),
    ]
    head = h11.Request(method=request.method, target=target, headers=headers)
    parts = [
        protocol.send(head),
        protocol.send(h11.Data(data=request.body)),
        protocol.send(h11.EndOfMessage()),
    ]
    return b''.join(part or b'' for part in parts)


def _response_from_head(head: h11.Response, body: bytes) -> HttpResponse:
    headers_by_name = {
        name.decode('ascii'): value.decode('latin-1')
        for name, value in head.headers
    }
    content_type = headers_by_name.get(
        'content-type', 'application/octet-stream'
    )
    return HttpResponse(head.status_code, content_type, body, headers_by_name)
