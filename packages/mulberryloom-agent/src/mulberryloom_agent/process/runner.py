"""Process of the agent: sockets and timers around the sans-I/O core."""

import asyncio
import contextlib
import dataclasses
import random
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import metrics as metrics_module
import structlog

from .. import effects
from ..connection import loopback
from . import control as controls
from . import core as cores
from ..request import execution
from . import settings as settings_module
from . import status as statuses

TICK_MS = 100
USAGE_INTERVAL_MS = 1_000


class AgentProcess:
    """One incarnation of the agent; construct it with :meth:`from_settings`.

    A single asyncio task calls the core; all other tasks pass their events
    to it through a queue.

    :ivar loopback_addresses: bound addresses for the backend server and
        the metrics; empty until the process listens.
    """

    def __init__(
        self,
        settings: settings_module.AgentSettings,
        clock: clocks.Clock,
        control: controls.WorkerControl,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = clock.wall_ms()
        self._inputs: asyncio.Queue[effects.Input] = asyncio.Queue()
        self._metrics = metrics_module.Metrics()
        self._agent_metrics = statuses.AgentMetrics.from_metrics(self._metrics)
        self._execution = execution.Execution(
            control, settings.backend_connections, self._inputs.put_nowait
        )
        self._node = nodes.Node.from_identity(
            identity.PeerId(
                identity.Role.AGENT, settings.worker, self._incarnation
            ),
            settings.secret,
            clock,
        )
        self._log = structlog.get_logger().bind(
            worker=settings.worker, incarnation=self._incarnation
        )
        self._core: cores.AgentCore | None = None
        self._is_drained = False
        self.loopback_addresses: list[identity.Address] = []

    @classmethod
    def from_settings(
        cls,
        settings: settings_module.AgentSettings,
        clock: clocks.Clock | None = None,
        control: controls.WorkerControl | None = None,
    ) -> 'AgentProcess':
        """Build a process that is not running yet.

        :param clock: clock; the system clock by default.
        :param control: worker control; by default that of the platform in
            the settings, or :class:`.control.NoControl` without one.
        """
        if control is None and settings.platform is not None:
            control = controls.HttpControl(settings.platform)
        return cls(
            settings,
            clock or clocks.SystemClock(),
            control or controls.NoControl(),
        )

    @property
    def core(self) -> cores.AgentCore:
        """The core, once :meth:`run` has started to listen."""
        assert self._core is not None
        return self._core

    def request_stop(self) -> None:
        """Request a graceful stop; further calls have no effect."""
        self._inputs.put_nowait(effects.StopRequested())

    async def run(self) -> None:
        """Run until a graceful stop is complete."""
        settings = self._settings
        listen = await self._node.listen(settings.listen)
        self._core = cores.AgentCore.from_settings(
            dataclasses.replace(settings, listen=listen),
            self._incarnation,
            random.Random(),
        )
        servers = await self._serve()
        self._log.info('agent started', listen=str(listen))
        background_tasks = [
            asyncio.create_task(self._receive_peer_events()),
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._poll_usage()),
        ]
        try:
            await self._process_inputs()
        finally:
            for background_task in background_tasks:
                background_task.cancel()
            await asyncio.gather(*background_tasks, return_exceptions=True)
            await self._close(servers)
        self._log.info('agent stopped')

    async def _serve(self) -> list[http_server.HttpServer]:
        status = statuses.Status(
            self.core, self._clock, self._agent_metrics, self._node.counters
        )
        handler = loopback.Loopback(
            status,
            self._metrics,
            self._inputs.put_nowait,
            self._execution.set_backend_address,
        )
        addresses = [self._settings.backend_listen]
        if self._settings.metrics_listen is not None:
            addresses.append(self._settings.metrics_listen)
        servers = []
        for address in addresses:
            server = http_server.HttpServer.from_handler(handler.handle)
            bound = await server.listen(address)
            self._log.info('listening on loopback', address=str(bound))
            self.loopback_addresses.append(bound)
            servers.append(server)
        return servers

    async def _process_inputs(self) -> None:
        while not self._is_drained:
            event = await self._inputs.get()
            outputs = self.core.handle(event, self._clock.now_ms())
            for output in outputs:
                self._execute_output(output)

    async def _receive_peer_events(self) -> None:
        while True:
            self._inputs.put_nowait(await self._node.receive())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1_000)
            self._inputs.put_nowait(core_effects.Tick())

    async def _poll_usage(self) -> None:
        while True:
            await asyncio.sleep(USAGE_INTERVAL_MS / 1_000)
            self._execution.poll_usage()

    async def _close(self, servers: list[http_server.HttpServer]) -> None:
        for server in servers:
            server.stop_accepting()
        await self._node.close()
        await self._execution.close()
        with contextlib.suppress(asyncio.TimeoutError):
            drains = asyncio.gather(*(server.drain() for server in servers))
            await asyncio.wait_for(drains, timeout=1.0)

    def _execute_output(self, output: effects.Output) -> None:
        match output:
            case core_effects.Send():
                self._record_message(output.message)
                self._node.send(output)
            case effects.CallBackend():
                self._record_start(output)
                self._execution.call(output)
            case effects.Checkpoint():
                self._execution.checkpoint(output)
            case effects.Throttle():
                self._log.warning(
                    'task throttled', request_id=output.request_id
                )
                self._execution.throttle(output)
            case effects.StopTask():
                self._execution.stop(output)
            case effects.RenewTaskLease():
                self._execution.renew(output)
            case effects.ConnectEntry():
                self._node.connect(identity.Address.from_text(output.address))
            case effects.DisconnectEntry():
                self._node.disconnect(
                    identity.Address.from_text(output.address)
                )
            case effects.Drained():
                self._is_drained = True

    def _record_message(self, message: messages.Message) -> None:
        match message:
            case messages.AgentHeartbeat():
                self._agent_metrics.heartbeats.inc({})
            case messages.TaskEnded():
                self._record_end(message)

    def _record_start(self, output: effects.CallBackend) -> None:
        self._agent_metrics.started.inc({})
        self._log.info(
            'task started',
            request_id=output.request_id,
            attempt=output.attempt,
            account=output.account,
            positions=list(output.positions),
        )

    def _record_end(self, message: messages.TaskEnded) -> None:
        error = message.outcome.error
        kind = error.kind.value if error else 'finished'
        self._agent_metrics.ended.inc({'kind': kind})
        fields: dict[str, t.Any] = {'run_ms': message.outcome.run_ms}
        if error is not None:
            fields |= {'detail': error.detail, 'ran': error.ran.value}
        self._log.info(
            'task ended',
            request_id=message.request_id,
            attempt=message.attempt,
            kind=kind,
            **fields,
        )
