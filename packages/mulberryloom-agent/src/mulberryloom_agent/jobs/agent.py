"""The agent of one worker, which connects it to the leading entry."""

import asyncio
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import background
from mulberryloom_core.process import lag
from mulberryloom_core.process import process_metrics
import structlog

from . import worker_calls
from . import worker_supervisor

#: Longest pause between two rounds of calls and reports.
TICK_MS = 100
#: Time without a message from the leader after which the directory is
#: queried for entries.
LEADER_TIMEOUT_MS = 1_500
#: Interval between queries of the directory while there is no leader.
DISCOVERY_INTERVAL_MS = 2_000
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class EntryDirectory(t.Protocol):
    """Directory of the entries that can be connected to."""

    async def find_entries(self) -> list[identity.Address]:
        """Return the peer addresses of entries; empty when unknown."""


class JobAgent:
    """Agent of one job worker; construct it with :meth:`from_parts`.

    It passes heartbeats, orders and replies to a
    :class:`worker_supervisor.WorkerSupervisor` and carries out the calls and
    reports that the supervisor returns.

    :param node: name of the VM.
    :param seeds: peer addresses of the entries to connect to first.
    :param secret: secret of the deployment.
    :param directory: queried for more entries while there is no leader.
    """

    def __init__(
        self,
        node: str,
        seeds: tuple[identity.Address, ...],
        secret: bytes,
        worker_client: worker_calls.WorkerClient,
        directory: EntryDirectory,
        clock: clocks.Clock,
        options: worker_supervisor.WorkerSupervisorOptions,
    ) -> None:
        self._clock = clock
        self._worker_client = worker_client
        self._directory = directory
        self._node = nodes.Node.for_leases(
            identity.Role.AGENT, node, secret, clock
        )
        self.name = self._node.name
        self.process_metrics = process_metrics.ProcessMetrics()
        self._supervisor = worker_supervisor.WorkerSupervisor(
            options, clock.now_ms()
        )
        self._known_entries: dict[identity.Address, None] = dict.fromkeys(
            seeds
        )
        self._leader_name = ''
        self._leader_generation = 0
        self._leader_seen_ms = clock.now_ms()
        self._wake = asyncio.Event()
        self._tasks = background.BackgroundTasks()

    @classmethod
    def from_parts(
        cls,
        node: str,
        seeds: tuple[identity.Address, ...],
        secret: bytes,
        worker_client: worker_calls.WorkerClient,
        directory: EntryDirectory,
        options: worker_supervisor.WorkerSupervisorOptions | None = None,
        clock: clocks.Clock | None = None,
    ) -> 'JobAgent':
        """Build an agent that has not opened any connection."""
        return cls(
            node,
            seeds,
            secret,
            worker_client,
            directory,
            clock or clocks.SystemClock(),
            options or worker_supervisor.WorkerSupervisorOptions(),
        )

    async def start(self) -> None:
        """Connect to the entries and start all background tasks."""
        for address in self._known_entries:
            self._node.connect(address)
        self._tasks.spawn_loop(self._receive_events)
        self._tasks.spawn_loop(self._run_worker_loop)
        self._tasks.spawn_loop(self._discover_entries)
        self._tasks.spawn(lag.measure(self.process_metrics, self._clock))
        _log.info(
            'agent started', agent=self.name, seeds=len(self._known_entries)
        )

    async def close(self) -> None:
        """Stop all tasks and sessions; the worker's runs continue."""
        await self._tasks.cancel()
        await self._worker_client.close()
        await self._node.close()
        _log.info('agent stopped', agent=self.name)

    def on_heartbeat(self, info: worker_calls.WorkerInfo) -> None:
        """Handle a heartbeat of the worker."""
        outcome = self._supervisor.on_heartbeat(info, self._clock.now_ms())
        self.process_metrics.count('heartbeats_total', outcome.value)
        self._wake.set()

    def on_invalid_heartbeat(self) -> None:
        """Count a heartbeat that could not be read."""
        self.process_metrics.count('heartbeats_total', 'invalid')

    def on_leave(self, worker: str) -> None:
        """Handle the worker's announcement that it exits."""
        self._supervisor.on_leave(worker, self._clock.now_ms())
        self._wake.set()

    @property
    def has_leader(self) -> bool:
        """Whether this agent knows a leading entry."""
        return bool(self._leader_name)

    def metrics(self) -> str:
        """Return all counters and gauges as text."""
        self.process_metrics.set_gauge('has_leader', int(self.has_leader))
        self.process_metrics.set_gauge(
            'leader_generation', self._leader_generation
        )
        self.process_metrics.set_gauge(
            'known_entries', len(self._known_entries)
        )
        return self.process_metrics.text()

    # Sessions with entries

    async def _receive_events(self) -> None:
        while True:
            event = await self._node.receive()
            try:
                self._on_event(event)
            except Exception:
                _log.exception(
                    'event handling failed', received=type(event).__name__
                )
            self._wake.set()

    def _on_event(self, event: t.Any) -> None:
        match event:
            case effects.PeerLost(peer) if peer.name == self._leader_name:
                _log.warning('session with leader lost', leader=peer.name)
                self._leader_name = ''
            case effects.Received(peer, messages.EntryNotice() as notice):
                self._on_notice(peer.name, notice)
            case effects.Received(peer, messages.WorkerOrders() as orders):
                self._on_orders(peer.name, orders)

    def _on_notice(self, sender: str, notice: messages.EntryNotice) -> None:
        texts = [*notice.entries, notice.leader_address]
        for address in identity.read_addresses(
            (sender, text) for text in texts if text
        ):
            if address not in self._known_entries:
                self._known_entries[address] = None
                self._node.connect(address)
        if notice.is_leading and not notice.is_stopping:
            self._follow(sender, notice.leader_generation)

    def _on_orders(self, sender: str, orders: messages.WorkerOrders) -> None:
        now_ms = self._clock.now_ms()
        self._follow(sender, orders.generation)
        if sender == self._leader_name:
            self._leader_seen_ms = now_ms
            self._supervisor.on_orders(orders, now_ms)

    def _follow(self, name: str, generation: int) -> None:
        if generation < self._leader_generation:
            return
        self._leader_name = name
        self._leader_generation = generation
        self._leader_seen_ms = self._clock.now_ms()
        self._supervisor.follow(generation, self._leader_seen_ms)

    async def _discover_entries(self) -> None:
        """Query the directory for entries while there is no leader."""
        while True:
            await asyncio.sleep(DISCOVERY_INTERVAL_MS / _MS_PER_S)
            silent_ms = self._clock.now_ms() - self._leader_seen_ms
            if silent_ms < LEADER_TIMEOUT_MS:
                continue
            for address in await self._directory.find_entries():
                if address not in self._known_entries:
                    _log.info('entry discovered', address=str(address))
                    self._known_entries[address] = None
                    self._node.connect(address)

    # Calls to the worker and reports to the leader

    async def _run_worker_loop(self) -> None:
        """Make the calls and send the reports that are due."""
        while True:
            now_ms = self._clock.now_ms()
            for call in self._supervisor.due_calls(now_ms):
                self._tasks.spawn(self._execute(call))
            self._report(now_ms)
            try:
                async with asyncio.timeout(TICK_MS / _MS_PER_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _report(self, now_ms: int) -> None:
        if not self._leader_name:
            return
        report = self._supervisor.take_report(now_ms)
        if report is not None:
            role = identity.Role.ENTRY
            self._node.send(effects.Send(role, self._leader_name, report))

    async def _execute(self, call: worker_supervisor.Call) -> None:
        match call:
            case worker_calls.HoldCall():
                hold_reply = await self._hold(call)
                self.process_metrics.count(
                    'holds_total', hold_reply.status.value
                )
                self._supervisor.on_hold_reply(
                    call, hold_reply, self._clock.now_ms()
                )
            case worker_calls.StartCall():
                start_reply = await self._order(
                    self._worker_client.start(call)
                )
                self.process_metrics.count(
                    'starts_total', start_reply.status.value
                )
                self._supervisor.on_start_reply(
                    call, start_reply, self._clock.now_ms()
                )
            case worker_calls.StopCall():
                stop_reply = await self._order(self._worker_client.stop(call))
                self.process_metrics.count(
                    'stops_total', stop_reply.status.value
                )
                self._supervisor.on_stop_reply(
                    call, stop_reply, self._clock.now_ms()
                )
        self._wake.set()

    async def _hold(
        self, call: worker_calls.HoldCall
    ) -> worker_calls.HoldReply:
        """Make a hold call; without a reply, the lists would not be read."""
        try:
            return await self._worker_client.hold(call)
        except Exception:
            _log.exception('hold call failed', worker=call.worker)
            return worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)

    async def _order(
        self, reply: t.Awaitable[worker_calls.CallReply]
    ) -> worker_calls.CallReply:
        try:
            return await reply
        except Exception:
            _log.exception('order call failed')
            return worker_calls.CallReply(worker_calls.CallStatus.UNKNOWN)
