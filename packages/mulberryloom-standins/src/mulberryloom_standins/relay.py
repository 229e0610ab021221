"""TCP relay that delays, silences and cuts connections.

It simulates a middlebox that loses the state of its connections: an open
connection stays open, but its bytes are dropped, while new connections work.
``POST /standin/swallow`` on the control address with ``{"direction":
"both"}`` silences the open connections; ``to_target`` and ``to_client``
silence one direction. ``POST /standin/cut`` closes the open connections.
Both answer with the number of connections.
"""

import asyncio
import dataclasses
import enum
import json

import defopt

from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core.identity import Address

from . import serving

_READ_LIMIT_BYTES = 65_536


class Direction(enum.Enum):
    """Directions of a connection whose bytes are dropped."""

    BOTH = 'both'
    TO_TARGET = 'to_target'
    TO_CLIENT = 'to_client'


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """One relayed connection.

    :param task: task that forwards its bytes.
    :param delay_ms: delay before bytes are forwarded.
    :param silenced: directions whose bytes are dropped.
    """

    task: asyncio.Task
    delay_ms: int
    silenced: set[Direction] = dataclasses.field(default_factory=set)

    def silence(self, direction: Direction) -> None:
        """Drop the bytes of a direction from now on."""
        if direction is Direction.BOTH:
            self.silenced |= {Direction.TO_TARGET, Direction.TO_CLIENT}
        else:
            self.silenced.add(direction)


class Relay:
    """Relay to one target; construct it with :meth:`from_target`.

    :ivar accepted_connections: number of connections since the start.
    """

    def __init__(
        self, target: Address, control: Address, delay_ms: int
    ) -> None:
        self.accepted_connections = 0
        self._delay_ms = delay_ms
        self._target = target
        self._control = control
        self._http = http_server.HttpServer.from_handler(self._handle_request)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @classmethod
    def from_target(
        cls, target: Address, control: Address, delay_ms: int = 0
    ) -> 'Relay':
        """Build a relay that is not listening yet.

        :param control: address of the relay's own HTTP interface.
        :param delay_ms: delay before bytes are forwarded.
        """
        return cls(target, control, delay_ms)

    async def listen(self, address: Address) -> Address:
        """Start relaying; return the bound address."""
        await self._http.listen(self._control)
        self._server = await asyncio.start_server(
            self._relay_connection, address.host, address.port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def stop(self) -> None:
        """Close all connections and both servers."""
        if self._server is not None:
            self._server.close()
        tasks = [connection.task for connection in self._connections]
        self.cut()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._http.stop_accepting()

    def silence(self, direction: Direction) -> int:
        """Silence the open connections; return their number."""
        for connection in self._connections:
            connection.silence(direction)
        return len(self._connections)

    def cut(self) -> int:
        """Close the open connections; return their number."""
        for connection in self._connections:
            connection.task.cancel()
        return len(self._connections)

    async def _handle_request(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        if request.path == '/standin/cut':
            return _count_response(self.cut())
        if request.path != '/standin/swallow':
            return http_types.HttpResponse(404)
        try:
            direction = Direction(json.loads(request.body)['direction'])
        except (KeyError, TypeError, ValueError) as problem:
            return http_types.HttpResponse(400, body=repr(problem).encode())
        return _count_response(self.silence(direction))

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection = _Connection(task, self._delay_ms)
        self.accepted_connections += 1
        self._connections.add(connection)
        try:
            await self._forward_both_ways(connection, reader, writer)
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _forward_both_ways(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        forwarders = [
            asyncio.create_task(
                _forward(
                    reader, target_writer, connection, Direction.TO_TARGET
                )
            ),
            asyncio.create_task(
                _forward(
                    target_reader, writer, connection, Direction.TO_CLIENT
                )
            ),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            await asyncio.gather(*forwarders, return_exceptions=True)
            target_writer.close()


def _count_response(connections: int) -> http_types.HttpResponse:
    body = json.dumps({'connections': connections}).encode()
    return http_types.HttpResponse(200, body=body)


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    connection: _Connection,
    direction: Direction,
) -> None:
    """Forward bytes until the reader ends; drop them while silenced.

    The end of a silenced connection is not forwarded either.
    """
    while data := await reader.read(_READ_LIMIT_BYTES):
        if connection.delay_ms:
            await asyncio.sleep(connection.delay_ms / 1_000)
        if direction not in connection.silenced:
            writer.write(data)
            await writer.drain()
    if direction in connection.silenced:
        await asyncio.Event().wait()


def main(
    *, target: str, control_port: int, port: int = 0, delay_ms: int = 0
) -> None:
    """Relay loopback connections until SIGTERM.

    :param target: ``host:port`` that connections go on to.
    :param control_port: port of the relay's own HTTP.
    :param port: ``0`` takes any free port; the address is printed.
    :param delay_ms: pause before bytes are passed on.
    """
    relay = Relay.from_target(
        Address.from_text(target),
        Address(serving.LOOPBACK, control_port),
        delay_ms,
    )
    serving.run_until_signal(relay, port)


if __name__ == '__main__':
    defopt.run(main)
