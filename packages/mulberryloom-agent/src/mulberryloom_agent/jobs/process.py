"""The agent of one worker: its sessions with entries, and its calls."""

import asyncio
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import background
from mulberryloom_core.process import lag
from mulberryloom_core.process import tally
import structlog

from . import keeper as keepers
from . import runner

#: Pause between rounds without news.
TICK_MS = 100
#: Silence of the leader after which the store is asked for entries.
LOST_LEADER_MS = 1_500
#: Pause between looks into the store while the leader is not heard.
DIRECTORY_PAUSE_MS = 2_000
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class EntryDirectory(t.Protocol):
    """Where entries are found when none is known."""

    async def find_entries(self) -> list[identity.Address]:
        """Return the peer addresses of entries; empty when unknown."""


class JobAgent:
    """One agent; construct it with :meth:`from_parts`.

    :param node: name of the VM.
    :param seeds: peer addresses of entries to start from.
    """

    def __init__(
        self,
        node: str,
        seeds: tuple[identity.Address, ...],
        secret: bytes,
        worker_runner: runner.WorkerRunner,
        directory: EntryDirectory,
        clock: clocks.Clock,
        options: keepers.KeeperOptions,
    ) -> None:
        self._clock = clock
        self._runner = worker_runner
        self._directory = directory
        self._node = nodes.Node.for_leases(
            identity.Role.AGENT, node, secret, clock
        )
        self.name = self._node.name
        self.tally = tally.Tally()
        self._keeper = keepers.Keeper(options, clock.now_ms())
        self._addresses: dict[identity.Address, None] = dict.fromkeys(seeds)
        self._leader = ''
        self._leader_generation = 0
        self._heard_ms = clock.now_ms()
        self._wake = asyncio.Event()
        self._tasks = background.BackgroundTasks()

    @classmethod
    def from_parts(
        cls,
        node: str,
        seeds: tuple[identity.Address, ...],
        secret: bytes,
        worker_runner: runner.WorkerRunner,
        directory: EntryDirectory,
        options: keepers.KeeperOptions | None = None,
        clock: clocks.Clock | None = None,
    ) -> 'JobAgent':
        """Build an agent that has opened nothing yet."""
        return cls(
            node,
            seeds,
            secret,
            worker_runner,
            directory,
            clock or clocks.SystemClock(),
            options or keepers.KeeperOptions(),
        )

    async def start(self) -> None:
        """Connect to the entries and begin all tasks."""
        for address in self._addresses:
            self._node.connect(address)
        self._tasks.spawn(self._receive())
        self._tasks.spawn(self._work())
        self._tasks.spawn(self._look_for_entries())
        self._tasks.spawn(lag.watch(self.tally, self._clock))
        _log.info('agent started', agent=self.name, seeds=len(self._addresses))

    async def close(self) -> None:
        """End all tasks and sessions; the worker's runs go on."""
        await self._tasks.cancel()
        await self._node.close()
        _log.info('agent stopped', agent=self.name)

    def on_heartbeat(self, info: runner.WorkerInfo) -> None:
        """Take in a heartbeat of the worker."""
        self._keeper.on_heartbeat(info, self._clock.now_ms())
        self._wake.set()

    def on_leave(self, worker: str) -> None:
        """Take in that the worker ends."""
        self._keeper.on_leave(worker)
        self._wake.set()

    @property
    def has_leader(self) -> bool:
        """Whether an entry leads, as far as this agent knows."""
        return bool(self._leader)

    def metrics(self) -> str:
        """Return all counters and gauges as text."""
        self.tally.gauge('has_leader', int(self.has_leader))
        self.tally.gauge('leader_generation', self._leader_generation)
        self.tally.gauge('known_entries', len(self._addresses))
        return self.tally.text()

    # Entries

    async def _receive(self) -> None:
        while True:
            event = await self._node.receive()
            try:
                self._on_event(event)
            except Exception:
                _log.exception('event failed', event=type(event).__name__)
            self._wake.set()

    def _on_event(self, event: t.Any) -> None:
        match event:
            case effects.PeerLost(peer) if peer.name == self._leader:
                _log.warning('leader lost', leader=peer.name)
                self._leader = ''
            case effects.Received(peer, messages.EntryNotice() as notice):
                self._on_notice(peer.name, notice)
            case effects.Received(peer, messages.WorkerOrders() as orders):
                self._on_orders(peer.name, orders)

    def _on_notice(self, sender: str, notice: messages.EntryNotice) -> None:
        for text in [*notice.entries, notice.leader_address]:
            if not text:
                continue
            address = identity.Address.from_text(text)
            if address not in self._addresses:
                self._addresses[address] = None
                self._node.connect(address)
        if notice.is_leading and not notice.is_stopping:
            self._follow(sender, notice.leader_generation)

    def _on_orders(self, sender: str, orders: messages.WorkerOrders) -> None:
        now_ms = self._clock.now_ms()
        self._follow(sender, orders.generation)
        if sender == self._leader:
            self._heard_ms = now_ms
            self._keeper.on_orders(orders, now_ms)

    def _follow(self, name: str, generation: int) -> None:
        if generation < self._leader_generation:
            return
        self._leader = name
        self._leader_generation = generation
        self._heard_ms = self._clock.now_ms()
        self._keeper.follow(generation, self._heard_ms)

    async def _look_for_entries(self) -> None:
        """Ask the store for entries while no leader is heard."""
        while True:
            await asyncio.sleep(DIRECTORY_PAUSE_MS / _MS_PER_S)
            silent_ms = self._clock.now_ms() - self._heard_ms
            if silent_ms < LOST_LEADER_MS:
                continue
            for address in await self._directory.find_entries():
                if address not in self._addresses:
                    _log.info('entry found', address=str(address))
                    self._addresses[address] = None
                    self._node.connect(address)

    # The worker

    async def _work(self) -> None:
        """Make the calls and send the reports that are due."""
        while True:
            now_ms = self._clock.now_ms()
            for call in self._keeper.due_calls(now_ms):
                self._tasks.spawn(self._carry_out(call))
            self._report(now_ms)
            try:
                async with asyncio.timeout(TICK_MS / _MS_PER_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _report(self, now_ms: int) -> None:
        if not self._leader:
            return
        report = self._keeper.take_report(now_ms)
        if report is not None:
            role = identity.Role.ENTRY
            self._node.send(effects.Send(role, self._leader, report))

    async def _carry_out(self, call: keepers.Call) -> None:
        match call:
            case runner.HoldCall():
                held = await self._runner.hold(call)
                self.tally.count('holds_total', held.status.value)
                self._keeper.on_held(call, held, self._clock.now_ms())
            case runner.StartCall():
                started = await self._runner.start(call)
                self.tally.count('starts_total', started.status.value)
                self._keeper.on_started(call, started, self._clock.now_ms())
            case runner.StopCall():
                stopped = await self._runner.stop(call)
                self.tally.count('stops_total', stopped.status.value)
                self._keeper.on_stopped(call, stopped, self._clock.now_ms())
        self._wake.set()
