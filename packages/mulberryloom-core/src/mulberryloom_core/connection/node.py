"""Sockets and timers around the sans-I/O :class:`endpoint.Endpoint`.

Every callback of the event loop passes its bytes to the endpoint at once and
carries out the outputs that the endpoint returns. Events for the process,
such as received messages, are queued until :meth:`Node.receive` takes them.
"""

import asyncio
import random
import secrets

import structlog

from .. import clock as clock_
from .. import effects
from . import connector as connector_
from . import endpoint as endpoint_
from ..identity import Address
from ..identity import generate_process_name
from ..identity import PeerId
from ..identity import Role
from . import options as options_
from . import outputs

#: Interval at which the timers of the sessions are checked.
TICK_MS = 250

_log = structlog.get_logger()


class _Link(asyncio.Protocol):
    """One TCP connection to a peer; owns its socket.

    :param address: address that this side connected to; ``None`` for an
        accepted connection.
    :ivar handshake_result: the peer once the handshake is complete;
        ``None`` when it failed.
    """

    __slots__ = (
        '_node',
        'address',
        'handshake_result',
        'link_id',
        'transport',
    )

    def __init__(self, node: 'Node', address: Address | None) -> None:
        self._node = node
        self.address = address
        self.link_id = 0
        self.transport: asyncio.Transport | None = None
        self.handshake_result: asyncio.Future[outputs.PeerName | None] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._node._on_opened(self)

    def data_received(self, data: bytes) -> None:
        self._node._on_data(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._node._on_closed(self)
        self.transport = None

    def abort(self) -> None:
        """Close the connection at once and discard its write buffer.

        Does nothing after the connection was lost: a transport that is
        closed already cannot be aborted.
        """
        if self.transport is not None:
            self.transport.abort()

    def set_handshake_result(self, name: outputs.PeerName | None) -> None:
        """Set the result of the handshake, unless it is set already."""
        if not self.handshake_result.done():
            self.handshake_result.set_result(name)


class Node:
    """Sessions of this process with its peers.

    Construct it with :meth:`from_identity` or :meth:`for_leases`.

    :param endpoint: state of the sessions.
    :param clock: source of the time.
    :param options: limits and timeouts.
    """

    def __init__(
        self,
        endpoint: endpoint_.Endpoint,
        clock: clock_.Clock,
        options: options_.SessionOptions,
    ) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._options = options
        self._events: asyncio.Queue[outputs.Event] = asyncio.Queue()
        self._link_by_id: dict[int, _Link] = {}
        self._last_link_id = 0
        self._servers: list[asyncio.Server] = []
        self._connector_by_address: dict[Address, connector_.Connector] = {}
        self._task_by_address: dict[Address, asyncio.Task[None]] = {}
        self._tick_task: asyncio.Task[None] | None = None
        self._link_closed: asyncio.Future[None] | None = None
        self._random = random.Random(secrets.randbits(64))

    @classmethod
    def from_identity(
        cls,
        identity: PeerId,
        secret: bytes,
        clock: clock_.Clock,
        options: options_.SessionOptions | None = None,
    ) -> 'Node':
        """Create a node without connections.

        :param identity: identity of this process.
        :param secret: shared secret of the deployment.
        """
        options = options or options_.SessionOptions()
        endpoint = endpoint_.Endpoint(
            identity, secret, options, secrets.token_bytes
        )
        return cls(endpoint, clock, options)

    @classmethod
    def for_leases(
        cls, role: Role, vm: str, secret: bytes, clock: clock_.Clock
    ) -> 'Node':
        """Create a node for sessions over which leases are renewed.

        Its name is drawn anew at every start. The incarnation, which tells
        processes of the same name apart, is therefore always ``1``.
        """
        identity = PeerId(role, generate_process_name(vm), 1)
        return cls.from_identity(
            identity, secret, clock, options_.LEASE_OPTIONS
        )

    @property
    def name(self) -> str:
        """Name of this process, by which its peers know it."""
        return self._endpoint.identity.name

    @property
    def counters(self) -> options_.NodeCounters:
        """Counters since the start of the node."""
        return self._endpoint.counters

    async def listen(self, address: Address) -> Address:
        """Accept connections of peers.

        :param address: address to listen on; port ``0`` for any free port.
        :return: the bound address.
        """
        self._start_ticking()
        server = await asyncio.get_running_loop().create_server(
            lambda: _Link(self, None),
            address.host,
            address.port,
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def connect(self, address: Address) -> None:
        """Keep a session to the peer at an address until disconnected."""
        connector = self._connector_by_address.get(address)
        if connector is not None:
            connector.make_permanent()
            return
        self._add_connector(address, None)

    def disconnect(self, address: Address) -> None:
        """Stop connecting to an address and end the session with its peer."""
        connector = self._connector_by_address.pop(address, None)
        if connector is None:
            return
        self._task_by_address.pop(address).cancel()
        peers = {connector.peer}
        for link in list(self._link_by_id.values()):
            if link.address == address:
                peers.add(self._endpoint.peer_of_link(link.link_id))
                if not link.handshake_result.done():
                    link.transport.close()
        now_ms = self._clock.now_ms()
        for peer in peers - {None}:
            self._apply(self._endpoint.leave(peer, now_ms))

    def send(self, effect: effects.Send) -> None:
        """Send a message to a peer, in order, at least once.

        Without a session the message is queued, or dropped if the effect
        has no address. Without a connection to the peer, one to
        ``effect.address`` is opened.
        """
        name = outputs.PeerName(effect.role, effect.name)
        actions = self._endpoint.send(
            name,
            effect.message,
            self._clock.now_ms(),
            waits_for_session=bool(effect.address),
        )
        self._apply(actions)
        if effect.address and not self._endpoint.is_connected(name):
            address = Address.from_text(effect.address)
            if address not in self._connector_by_address:
                self._add_connector(address, name)

    async def receive(self) -> outputs.Event:
        """Wait for the next message, new session or lost session."""
        return await self._events.get()

    async def close(self) -> None:
        """End all sessions and close all connections.

        Unacknowledged messages are flushed for up to ``close_timeout_ms``.
        """
        for server in self._servers:
            server.close()
        deadline_ms = self._clock.now_ms() + self._options.close_timeout_ms
        self._apply(self._endpoint.leave_all(self._clock.now_ms()))
        while self._endpoint.unacked_count():
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            await asyncio.wait(
                [self._next_link_close()], timeout=remaining_ms / 1_000
            )
        tasks = list(self._task_by_address.values())
        if self._tick_task is not None:
            tasks.append(self._tick_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in list(self._link_by_id.values()):
            link.transport.close()

    # Called by connectors

    async def dial(
        self, address: Address, timeout_ms: int
    ) -> outputs.PeerName | None:
        """Make one connection attempt; see :class:`connector.Dialler`."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                _, link = await loop.create_connection(
                    lambda: _Link(self, address),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The last two are raised for addresses that no socket accepts.
            return None
        return await link.handshake_result

    async def wait_disconnected(self, name: outputs.PeerName) -> None:
        """Return once a peer's session has no connection."""
        while self._endpoint.is_connected(name):
            await asyncio.wait([self._next_link_close()])

    async def sleep(self, duration_ms: int) -> None:
        """Return after a duration in milliseconds."""
        await asyncio.sleep(duration_ms / 1_000)

    def has_session_or_messages(self, name: outputs.PeerName) -> bool:
        """Tell whether the peer has a session or queued messages."""
        return self._endpoint.has_session_or_messages(name)

    def _add_connector(
        self, address: Address, target_peer: outputs.PeerName | None
    ) -> None:
        self._start_ticking()
        connector = connector_.Connector(
            address,
            self,
            connector_.Backoff(self._options, self._random),
            target_peer,
        )
        task = asyncio.get_running_loop().create_task(connector.run())
        self._connector_by_address[address] = connector
        self._task_by_address[address] = task
        task.add_done_callback(
            lambda done: self._remove_connector(address, done)
        )

    def _remove_connector(
        self, address: Address, task: asyncio.Task[None]
    ) -> None:
        if self._task_by_address.get(address) is task:
            del self._task_by_address[address]
            del self._connector_by_address[address]
        if not task.cancelled() and task.exception() is not None:
            _log.error('connector failed', exc_info=task.exception())

    # Links

    def _on_opened(self, link: _Link) -> None:
        self._last_link_id += 1
        link.link_id = self._last_link_id
        self._link_by_id[link.link_id] = link
        self._apply(
            self._endpoint.open_link(
                link.link_id,
                self._clock.now_ms(),
                is_initiator=link.address is not None,
            )
        )

    def _on_data(self, link: _Link, data: bytes) -> None:
        now_ms = self._clock.now_ms()
        self._apply(self._endpoint.receive(link.link_id, data, now_ms))
        if not link.handshake_result.done():
            name = self._endpoint.peer_of_link(link.link_id)
            if name is not None:
                link.set_handshake_result(name)

    def _on_closed(self, link: _Link) -> None:
        self._link_by_id.pop(link.link_id, None)
        self._endpoint.close_link(link.link_id, self._clock.now_ms())
        link.set_handshake_result(None)
        self._notify_link_closed()

    def _apply(self, actions: list[outputs.Output]) -> None:
        for output in actions:
            if isinstance(output, outputs.WriteLink):
                link = self._link_by_id.get(output.link_id)
                if link is not None:
                    link.transport.write(output.data)
            elif isinstance(output, outputs.CloseLink):
                self._close_link(output)
            elif isinstance(output, outputs.LogDroppedMessages):
                _log.warning(
                    'messages dropped',
                    peer=output.name.name,
                    detail=output.error.detail,
                )
            else:
                self._events.put_nowait(output)

    def _close_link(self, output: outputs.CloseLink) -> None:
        link = self._link_by_id.get(output.link_id)
        if link is None:
            return
        if output.error is not None:
            _log.warning(
                'connection closed after an error',
                peer_address=link.transport.get_extra_info('peername'),
                kind=output.error.kind.value,
                detail=output.error.detail,
            )
        link.transport.close()
        asyncio.get_running_loop().call_later(
            self._options.close_timeout_ms / 1_000, link.abort
        )
        link.set_handshake_result(None)
        self._notify_link_closed()

    def _notify_link_closed(self) -> None:
        if self._link_closed is not None and not self._link_closed.done():
            self._link_closed.set_result(None)
        self._link_closed = None

    def _next_link_close(self) -> asyncio.Future[None]:
        """Return a future that is done at the next close of any link."""
        if self._link_closed is None:
            loop = asyncio.get_running_loop()
            self._link_closed = loop.create_future()
        return self._link_closed

    # Timer

    def _start_ticking(self) -> None:
        if self._tick_task is None:
            loop = asyncio.get_running_loop()
            self._tick_task = loop.create_task(self._tick())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1_000)
            self._apply(self._endpoint.on_tick(self._clock.now_ms()))
