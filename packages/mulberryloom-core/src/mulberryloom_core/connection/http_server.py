"""HTTP server over h11 that passes complete requests to a handler."""

import asyncio
import socket
import typing as t

import h11
import structlog

from .. import exceptions
from ..identity import Address
from .http_types import BadRequest
from .http_types import HttpLimits
from .http_types import HttpRequest
from .http_types import HttpResponse

_READ_BYTES = 65_536
#: Longest time to read the rest of a refused request before closing.
_DISCARD_TIMEOUT_S = 2.0

_log = structlog.get_logger(__name__)

Handler: t.TypeAlias = t.Callable[[HttpRequest], t.Awaitable[HttpResponse]]
BadRequestHandler: t.TypeAlias = t.Callable[[BadRequest], HttpResponse]


def _plain_text_response(bad: BadRequest) -> HttpResponse:
    status = exceptions.RESPONSE_BY_KIND[bad.kind].status
    return HttpResponse(status, 'text/plain', bad.detail.encode())


class HttpServer:
    """Server on one listening socket, with one task for each connection.

    Construct it with :meth:`from_handler`.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_bad_request: BadRequestHandler,
    ) -> None:
        self.limits = limits
        self._handler = handler
        self._on_bad_request = on_bad_request
        self._server: asyncio.Server | None = None
        self._connections: set['_Connection'] = set()
        self._is_stopping = False

    @classmethod
    def from_handler(
        cls,
        handler: Handler,
        limits: HttpLimits | None = None,
        on_bad_request: BadRequestHandler = _plain_text_response,
    ) -> 'HttpServer':
        """Build a server that is not listening yet.

        :param handler: responds to complete requests; must not raise.
        :param on_bad_request: responds to requests that could not be parsed
            or that exceed a limit.
        """
        return cls(handler, limits or HttpLimits(), on_bad_request)

    async def listen(self, address: Address) -> Address:
        """Bind an address and start to accept connections.

        :param address: port ``0`` stands for any free port.
        :return: the bound address.
        """
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port, limit=_READ_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def serve_on(self, listener: socket.socket) -> None:
        """Accept connections on a socket that is already listening."""
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=_READ_BYTES
        )

    def stop_accepting(self) -> None:
        """Close the listening socket and idle connections.

        Requests that are being processed continue.
        """
        self._is_stopping = True
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.close_when_idle()

    async def drain(self) -> None:
        """Stop accepting, and wait until all connections have closed."""
        self.stop_accepting()
        while self._connections:
            tasks = [connection.task for connection in self._connections]
            await asyncio.wait(tasks)
            await asyncio.sleep(0)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection = _Connection(self, reader, writer, task)
        self._connections.add(connection)
        try:
            if len(self._connections) > self.limits.max_connections:
                await connection.refuse(
                    BadRequest(
                        exceptions.ErrorKind.TOO_MANY_REQUESTS,
                        f'over {self.limits.max_connections} open connections',
                    )
                )
            else:
                await connection.run()
        except (ConnectionError, TimeoutError, h11.ProtocolError) as error:
            _log.debug('http connection failed', reason=repr(error))
        finally:
            self._connections.discard(connection)
            writer.close()

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Return the response of the handler to a request."""
        return await self._handler(request)

    def respond_to_bad_request(self, bad: BadRequest) -> HttpResponse:
        """Return the response to a request that was refused."""
        return self._on_bad_request(bad)

    @property
    def is_stopping(self) -> bool:
        """Whether connections close after their current response."""
        return self._is_stopping


class _Connection:
    """One connection of a client."""

    def __init__(
        self,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
    ) -> None:
        self.task = task
        self._server = server
        self._reader = reader
        self._writer = writer
        self._is_idle = True
        self._protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.max_head_bytes,
        )

    def close_when_idle(self) -> None:
        """End the connection if it is idle.

        Otherwise it closes after its current response.
        """
        if self._is_idle:
            self._reader.feed_eof()

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            self._is_idle = True
            incoming = await self._read_request()
            if incoming is None:
                return
            if isinstance(incoming, BadRequest):
                await self.refuse(incoming)
                return
            response = await self._server.respond(incoming)
            await self._write(response, incoming.method)
            if self._protocol.our_state is h11.MUST_CLOSE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def refuse(self, bad: BadRequest) -> None:
        """Respond to a refused request, then close the connection."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = self._server.respond_to_bad_request(bad)
        await self._write(response, 'GET', close=True)
        await self._discard_input()

    async def _discard_input(self) -> None:
        """Read and drop the rest of the request.

        Closing a socket with unread data resets the connection, and the
        client could lose the response.
        """
        if self._writer.can_write_eof():
            self._writer.write_eof()
        try:
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                while await self._reader.read(_READ_BYTES):
                    pass
        except TimeoutError:
            return

    async def _read_request(self) -> HttpRequest | BadRequest | None:
        limits = self._server.limits
        # Bytes of the next request may have arrived with the last one.
        if not self._protocol.trailing_data[0]:
            try:
                async with asyncio.timeout(limits.idle_timeout_ms / 1_000):
                    data = await self._reader.read(_READ_BYTES)
            except TimeoutError:
                return None
            if not data:
                return None
            self._protocol.receive_data(data)
        self._is_idle = False
        try:
            async with asyncio.timeout(limits.receive_timeout_ms / 1_000):
                return await self._read_events()
        except TimeoutError:
            return BadRequest(
                exceptions.ErrorKind.SLOW_SENDER,
                f'request incomplete after {limits.receive_timeout_ms} ms',
            )
        except h11.RemoteProtocolError as error:
            # HTTP status 431: request header fields too large.
            if error.error_status_hint == 431:
                kind = exceptions.ErrorKind.HEAD_TOO_LARGE
            else:
                kind = exceptions.ErrorKind.MALFORMED_REQUEST
            return BadRequest(kind, str(error))

    async def _read_events(self) -> HttpRequest | BadRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                await self._send_continue()
                data = await self._reader.read(_READ_BYTES)
                self._protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                if _head_size(head) > self._server.limits.max_head_bytes:
                    return BadRequest(
                        exceptions.ErrorKind.HEAD_TOO_LARGE,
                        'request line and headers exceed '
                        f'{self._server.limits.max_head_bytes} bytes',
                    )
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._server.limits.max_body_bytes:
                    return BadRequest(
                        exceptions.ErrorKind.BODY_TOO_LARGE,
                        'request body exceeds '
                        f'{self._server.limits.max_body_bytes} bytes, '
                        f'received {len(body)} so far',
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _request_from_head(head, bytes(body))
            else:
                return None

    async def _send_continue(self) -> None:
        if not self._protocol.they_are_waiting_for_100_continue:
            return
        continue_response = h11.InformationalResponse(
            status_code=100, headers=[]
        )
        self._writer.write(self._protocol.send(continue_response) or b'')
        await self._writer.drain()

    async def _write(
        self, response: HttpResponse, method: str, close: bool = False
    ) -> None:
        headers = [
            ('content-type', response.content_type),
            ('content-length', str(len(response.body))),
            *response.headers_by_name.items(),
        ]
        if close or self._server.is_stopping:
            headers.append(('connection', 'close'))
        head = h11.Response(status_code=response.status, headers=headers)
        chunks = [self._protocol.send(head)]
        if method != 'HEAD':
            chunks.append(self._protocol.send(h11.Data(data=response.body)))
        chunks.append(self._protocol.send(h11.EndOfMessage()))
        self._writer.write(b''.join(chunk or b'' for chunk in chunks))
        await self._writer.drain()


def _head_size(head: h11.Request) -> int:
    overhead = len(': \r\n')
    headers = sum(
        len(name) + len(value) + overhead for name, value in head.headers
    )
    return len(head.method) + len(head.target) + headers


def _request_from_head(head: h11.Request, body: bytes) -> HttpRequest:
    path, _, query = head.target.decode('ascii', 'replace').partition('?')
    headers_by_name = {
        name.decode('ascii'): value.decode('latin-1')
        for name, value in head.headers
    }
    return HttpRequest(
        head.method.decode('ascii'), path, query, headers_by_name, body
    )
