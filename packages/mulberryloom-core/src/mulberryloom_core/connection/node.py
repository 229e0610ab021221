"""The sockets of a process, round :class:`endpoint.Endpoint`.

Every callback of the event loop passes its bytes to the core at once and
carries out what the core returns; events wait in a queue for the process.
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
from ..identity import PeerId
from ..identity import process_name
from ..identity import Role
from . import options as options_
from . import outputs

TICK_MS = 250

_log = structlog.get_logger()


class _Link(asyncio.Protocol):
    """One connection; owns its socket.

    :param address: where this side connected to; ``None`` when the peer
        connected.
    """

    __slots__ = ('_node', 'address', 'link_id', 'settled', 'transport')

    def __init__(self, node: 'Node', address: Address | None) -> None:
        self._node = node
        self.address = address
        self.link_id = 0
        self.transport: asyncio.Transport | None = None
        self.settled: asyncio.Future[outputs.PeerName | None] = (
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
        """Drop the connection with what is still to be written.

        A transport that is closed already cannot be aborted.
        """
        if self.transport is not None:
            self.transport.abort()

    def settle(self, name: outputs.PeerName | None) -> None:
        """Say who the peer is, or that the handshake failed."""
        if not self.settled.done():
            self.settled.set_result(name)


class Node:
    """Sessions of this process with its peers.

    :param endpoint: core that holds the sessions.
    :param clock: time.
    :param options: limits and times.
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
        me: PeerId,
        secret: bytes,
        clock: clock_.Clock,
        options: options_.SessionOptions | None = None,
    ) -> 'Node':
        """Build a node without connections.

        :param me: this process.
        :param secret: secret of the deployment.
        """
        options = options or options_.SessionOptions()
        endpoint = endpoint_.Endpoint(me, secret, options, secrets.token_bytes)
        return cls(endpoint, clock, options)

    @classmethod
    def for_leases(
        cls, role: Role, vm: str, secret: bytes, clock: clock_.Clock
    ) -> 'Node':
        """Build a node whose sessions leases depend on.

        Its name is new at every start, so that it needs no incarnation.
        """
        me = PeerId(role, process_name(vm), 1)
        return cls.from_identity(me, secret, clock, options_.LEASE_OPTIONS)

    @property
    def name(self) -> str:
        """Peer name of this process."""
        return self._endpoint.me.name

    @property
    def counters(self) -> options_.NodeCounters:
        """Totals since the start."""
        return self._endpoint.counters

    async def listen(self, address: Address) -> Address:
        """Accept peers.

        :param address: where to listen; port ``0`` for any.
        :return: the bound address.
        """
        self._start()
        server = await asyncio.get_running_loop().create_server(
            lambda: _Link(self, None),
            address.host,
            address.port,
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def connect(self, address: Address) -> None:
        """Keep a session to whoever answers at an address."""
        connector = self._connector_by_address.get(address)
        if connector is not None:
            connector.keep()
            return
        self._add_connector(address, None)

    def disconnect(self, address: Address) -> None:
        """Stop connecting to an address and end the session there."""
        connector = self._connector_by_address.pop(address, None)
        if connector is None:
            return
        self._task_by_address.pop(address).cancel()
        peers = {connector.peer}
        for link in list(self._link_by_id.values()):
            if link.address == address:
                peers.add(self._endpoint.peer_of_link(link.link_id))
                if not link.settled.done():
                    link.transport.close()
        now_ms = self._clock.now_ms()
        for peer in peers - {None}:
            self._apply(self._endpoint.leave(peer, now_ms))

    def send(self, effect: effects.Send) -> None:
        """Send a message to a peer, in order, at least once.

        Without a session the message waits for one with the peer at
        ``effect.address``, and is dropped if there is no address.
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
        """Return the next message or change of a peer."""
        return await self._events.get()

    async def close(self) -> None:
        """Flush what is not acknowledged, for a bounded time, and close."""
        for server in self._servers:
            server.close()
        deadline_ms = self._clock.now_ms() + self._options.close_ms
        self._apply(self._endpoint.leave_all(self._clock.now_ms()))
        while self._endpoint.unacked():
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            await asyncio.wait([self._closing()], timeout=left_ms / 1_000)
        tasks = list(self._task_by_address.values())
        if self._tick_task is not None:
            tasks.append(self._tick_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in list(self._link_by_id.values()):
            link.transport.close()

    # For connectors

    async def dial(self, address: Address) -> outputs.PeerName | None:
        """Connect once; see :class:`connector.Dialler`."""
        loop = asyncio.get_running_loop()
        timeout = self._options.handshake_ms / 1_000
        try:
            async with asyncio.timeout(timeout):
                _, link = await loop.create_connection(
                    lambda: _Link(self, address),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError):
            return None
        return await link.settled

    async def wait_disconnected(self, name: outputs.PeerName) -> None:
        """Return when a peer's session has no working connection."""
        while self._endpoint.is_connected(name):
            await asyncio.wait([self._closing()])

    async def sleep(self, duration_ms: int) -> None:
        """Return after so many milliseconds."""
        await asyncio.sleep(duration_ms / 1_000)

    def wants(self, name: outputs.PeerName) -> bool:
        """Tell whether a session or messages for the peer still exist."""
        return self._endpoint.is_wanted(name)

    def _add_connector(
        self, address: Address, wanted: outputs.PeerName | None
    ) -> None:
        self._start()
        connector = connector_.Connector(
            address,
            self,
            connector_.Backoff(self._options, self._random),
            wanted,
        )
        task = asyncio.get_running_loop().create_task(connector.run())
        self._connector_by_address[address] = connector
        self._task_by_address[address] = task
        task.add_done_callback(lambda done: self._forget(address, done))

    def _forget(self, address: Address, task: asyncio.Task[None]) -> None:
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
        if not link.settled.done():
            name = self._endpoint.peer_of_link(link.link_id)
            if name is not None:
                link.settle(name)

    def _on_closed(self, link: _Link) -> None:
        self._link_by_id.pop(link.link_id, None)
        self._endpoint.close_link(link.link_id, self._clock.now_ms())
        link.settle(None)
        self._note_closed()

    def _apply(self, actions: list[outputs.Output]) -> None:
        for output in actions:
            if isinstance(output, outputs.WriteLink):
                link = self._link_by_id.get(output.link_id)
                if link is not None:
                    link.transport.write(output.data)
            elif isinstance(output, outputs.CloseLink):
                self._close_link(output)
            elif isinstance(output, outputs.NoteDrop):
                _log.warning(
                    'message dropped',
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
                'connection refused',
                peer_address=link.transport.get_extra_info('peername'),
                kind=output.error.kind.value,
                detail=output.error.detail,
            )
        link.transport.close()
        asyncio.get_running_loop().call_later(
            self._options.close_ms / 1_000, link.abort
        )
        link.settle(None)
        self._note_closed()

    def _note_closed(self) -> None:
        if self._link_closed is not None and not self._link_closed.done():
            self._link_closed.set_result(None)
        self._link_closed = None

    def _closing(self) -> asyncio.Future[None]:
        """Return a future that is done when any connection closes."""
        if self._link_closed is None:
            loop = asyncio.get_running_loop()
            self._link_closed = loop.create_future()
        return self._link_closed

    # Time

    def _start(self) -> None:
        if self._tick_task is None:
            loop = asyncio.get_running_loop()
            self._tick_task = loop.create_task(self._tick())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1_000)
            self._apply(self._endpoint.on_tick(self._clock.now_ms()))
