"""The entry process: sockets, timers and store calls of the core.

"Job" means here a job with steps, which the package ``jobs`` serves.
"""

import asyncio
import dataclasses
import functools
import itertools
import random
import secrets
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects as core_effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core.process import metrics
from mulberryloom_core.process import store_client
from mulberryloom_core import store as stores
from mulberryloom_core.version import configuration as configurations
from result import Err
from result import Result
import structlog

from .. import effects
from ..connection import callers
from ..connection import operators
from ..connection import problems
from . import core as cores
from . import entry_metrics
from ..jobs import configuration_feed
from ..jobs import entry as job_entry
from ..jobs import keys as job_keys
from ..jobs import leader as job_leader
from . import settings as entry_settings

TICK_MS = 100
#: Interval at which the core gets the wall-clock time.
WALL_TIME_INTERVAL_MS = 60_000
#: Pause after draining, before the sessions to peers are closed.
HANDOVER_GRACE_MS = 200
#: Time after the write of a run within which its start may be sent. With the
#: 3,000 ms for which an agent tries to deliver a start, and 500 ms for the
#: delivery, no task starts later than 5,000 ms after its data centre was
#: evacuated.
START_ORDER_VALID_MS = 1_500
_MS_PER_SECOND = 1_000

_log = structlog.get_logger(__name__)


class EntryProcess:
    """One entry with its sockets.

    Construct it with :meth:`from_settings`. Several entry processes may
    share one event loop.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        clock: clocks.Clock,
        store: stores.Store,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._store = store
        self._own_store: store_client.EtcdStore | None = None
        self._incarnation = clock.wall_ms()
        peer_id = identity.PeerId(
            identity.Role.ENTRY, settings.name, self._incarnation
        )
        self._node = nodes.Node.from_identity(
            peer_id, settings.secret.encode(), clock
        )
        self._core: cores.EntryCore | None = None
        self._inbox: asyncio.Queue[effects.Input] = asyncio.Queue()
        self._call_ids = itertools.count(1)
        self._replies_by_call_id: dict[int, asyncio.Future[effects.Reply]] = {}
        self._store_tasks: set[asyncio.Task[None]] = set()
        self._drained = asyncio.Event()
        self._started = asyncio.Event()
        self._is_stop_requested = False
        self._metrics = entry_metrics.EntryMetrics()
        self._bound_settings = settings
        self._jobs = self._build_job_entry()

    @classmethod
    def from_settings(
        cls,
        settings: entry_settings.EntrySettings,
        clock: clocks.Clock | None = None,
        store: stores.Store | None = None,
    ) -> 'EntryProcess':
        """Build a process; its sockets are opened by :meth:`run`.

        :param clock: the system clock if ``None``.
        :param store: client of the store; ``None`` for one with the
            addresses in the settings.
        """
        clock = clock or clocks.SystemClock()
        if store is not None:
            return cls(settings, clock, store)
        own_store = store_client.EtcdStore.from_settings(settings.store)
        process = cls(settings, clock, own_store)
        process._own_store = own_store
        return process

    @property
    def settings(self) -> entry_settings.EntrySettings:
        """Settings, with the addresses that the listeners are bound to."""
        return self._bound_settings

    @property
    def core(self) -> cores.EntryCore:
        """The core; available once :meth:`run` has bound the peer address."""
        assert self._core is not None
        return self._core

    @property
    def configuration(self) -> configurations.Configuration:
        """The configuration version in force at this entry."""
        return self.core.configuration

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this entry."""
        return self.core.is_ready

    @property
    def metrics(self) -> metrics.Metrics:
        """Metrics of this process."""
        self._metrics.update(self.core)
        return self._metrics.registry

    def now_ms(self) -> int:
        """Return the time as used by the core, in milliseconds."""
        return self._clock.now_ms()

    def _build_job_entry(self) -> job_entry.JobEntry | None:
        """Build the job entry if the settings have a jobs section."""
        settings = self._settings
        if settings.jobs is None:
            return None
        return job_entry.JobEntry.from_parts(
            job_entry.EntryIdentity(
                settings.name,
                settings.jobs.listen,
                settings.secret.encode(),
                settings.jobs.entries,
            ),
            self._store,
            functools.partial(
                configuration_feed.ConfigurationFeed,
                lambda: self.configuration,
            ),
            job_leader.LeaderOptions(
                evacuation_prefix=job_keys.EVACUATIONS,
                start_order_valid_ms=START_ORDER_VALID_MS,
            ),
            clock=self._clock,
        )

    async def wait_started(self) -> None:
        """Wait until all listeners are open."""
        await self._started.wait()

    def request_stop(self) -> None:
        """Begin a graceful stop; repeated calls have no effect."""
        if self._is_stop_requested:
            return
        self._is_stop_requested = True
        self._inbox.put_nowait(effects.StopRequested())

    async def call_core(
        self, build: t.Callable[[int], effects.Input]
    ) -> effects.Reply:
        """Pass an input to the core and wait for its reply.

        When the waiting task is cancelled, the core is told that the caller
        is gone.

        :param build: builds the input from the id of the call.
        """
        call_id = next(self._call_ids)
        reply = asyncio.get_running_loop().create_future()
        self._replies_by_call_id[call_id] = reply
        self._inbox.put_nowait(build(call_id))
        try:
            return await reply
        except asyncio.CancelledError:
            self._inbox.put_nowait(effects.CallerDisconnected(call_id))
            raise
        finally:
            self._replies_by_call_id.pop(call_id, None)

    async def run(self) -> None:
        """Open the listeners and serve until a requested stop is complete."""
        settings = self._settings
        bound_address = await self._node.listen(settings.peers_address)
        self._bound_settings = dataclasses.replace(
            settings, peers_listen=str(bound_address)
        )
        self._core = cores.EntryCore.from_settings(
            self._bound_settings,
            self._incarnation,
            random.Random(secrets.randbits(64)),
        )
        self._inbox.put_nowait(effects.WallTime(self._clock.wall_ms()))
        for address in self._bound_settings.other_entry_addresses:
            self._node.connect(identity.Address.from_text(address))
        if self._jobs is not None:
            await self._jobs.start()
        caller_server, operator_server = await self._listen()
        tasks = [
            asyncio.create_task(self._handle_inputs()),
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._tick()),
        ]
        self._started.set()
        _log.info('entry started', peers_listen=str(bound_address))
        try:
            await self._wait_stopped(caller_server, tasks)
        finally:
            operator_server.stop_accepting()
            for task in [*tasks, *self._store_tasks]:
                task.cancel()
            await self._node.close()
            if self._jobs is not None:
                await self._jobs.close()
            if self._own_store is not None:
                await self._own_store.close()
        _log.info('entry stopped')

    async def _listen(
        self,
    ) -> tuple[http_server.HttpServer, http_server.HttpServer]:
        settings = self._settings
        prefix = f'{settings.name}-{self._incarnation:x}-c'
        caller_server = http_server.HttpServer.from_handler(
            callers.CallerRequestHandler(self, prefix, self._jobs).respond,
            settings.limits,
            problems.response_of_bad_request,
        )
        operator_server = http_server.HttpServer.from_handler(
            operators.OperatorRequestHandler(self, self._jobs).respond,
            settings.limits,
            problems.response_of_bad_request,
        )
        if settings.metrics_listen:
            metrics_server = http_server.HttpServer.from_handler(
                self._respond_metrics
            )
            await metrics_server.listen(
                identity.Address.from_text(settings.metrics_listen)
            )
        listen = await caller_server.listen(settings.listen_address)
        operators_listen = await operator_server.listen(
            settings.operators_address
        )
        self._bound_settings = dataclasses.replace(
            self._bound_settings,
            listen=str(listen),
            operators_listen=str(operators_listen),
        )
        return caller_server, operator_server

    async def _respond_metrics(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answer a metrics scrape, whatever its path."""
        return self.metrics_response()

    def metrics_response(self) -> http_types.HttpResponse:
        """Return all metrics, including those of the job entry."""
        response = self.metrics.response()
        if self._jobs is None:
            return response
        body = response.body + self._jobs.metrics().encode()
        return dataclasses.replace(response, body=body)

    async def _wait_stopped(
        self,
        caller_server: http_server.HttpServer,
        tasks: list[asyncio.Task[None]],
    ) -> None:
        drained = asyncio.create_task(self._drain(caller_server))
        done, _ = await asyncio.wait(
            [drained, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        if drained not in done:
            drained.cancel()
        for task in done:
            task.result()

    async def _drain(self, caller_server: http_server.HttpServer) -> None:
        """Wait for a requested stop, then answer all open requests.

        The listener for callers stays open for ``balancer_notice_ms``, so
        that the load balancer can take this entry out of service first.
        """
        while not self._is_stop_requested:
            await asyncio.sleep(TICK_MS / _MS_PER_SECOND)
        _log.info('entry stopping')
        if self._jobs is not None:
            self._jobs.begin_stop()
        notice_ms = self._settings.balancer_notice_ms
        await asyncio.sleep(notice_ms / _MS_PER_SECOND)
        caller_server.stop_accepting()
        await caller_server.drain()
        await self._drained.wait()
        await asyncio.sleep(HANDOVER_GRACE_MS / _MS_PER_SECOND)

    async def _handle_inputs(self) -> None:
        while True:
            core_input = await self._inbox.get()
            try:
                resulting_effects = self.core.handle(
                    core_input, self._clock.now_ms()
                )
            except Exception:
                _log.exception(
                    'input handling failed', input=type(core_input).__name__
                )
                continue
            for effect in resulting_effects:
                try:
                    self._execute(effect)
                except Exception:
                    _log.exception(
                        'effect execution failed', effect=type(effect).__name__
                    )

    def _execute(self, effect: effects.Effect) -> None:
        if isinstance(effect, core_effects.Send):
            self._node.send(effect)
        elif isinstance(effect, core_effects.CallStore):
            kind = type(effect.request).__name__
            self._metrics.count_store_call(kind)
            task = asyncio.create_task(self._call_store(effect))
            self._store_tasks.add(task)
            task.add_done_callback(self._store_tasks.discard)
        elif isinstance(effect, effects.Answer):
            reply = self._replies_by_call_id.get(effect.call_id)
            self._metrics.count_answer(effect.reply)
            if reply is not None and not reply.done():
                reply.set_result(effect.reply)
        elif isinstance(effect, effects.Drained):
            self._drained.set()

    async def _call_store(self, call: core_effects.CallStore) -> None:
        result: Result[stores.StoreReply, exceptions.Error]
        try:
            result = await self._store.call(call.request)
        except Exception as error:
            _log.exception('store call failed')
            kind = exceptions.ErrorKind.STORE_UNAVAILABLE
            result = Err(exceptions.Error.from_kind(kind, repr(error)))
        self._inbox.put_nowait(core_effects.StoreDone(call.call_id, result))

    async def _receive(self) -> None:
        while True:
            self._inbox.put_nowait(await self._node.receive())

    async def _tick(self) -> None:
        next_wall_ms = self._clock.now_ms() + WALL_TIME_INTERVAL_MS
        while True:
            await asyncio.sleep(TICK_MS / _MS_PER_SECOND)
            self._inbox.put_nowait(core_effects.Tick())
            if self._clock.now_ms() >= next_wall_ms:
                next_wall_ms += WALL_TIME_INTERVAL_MS
                wall_time = effects.WallTime(self._clock.wall_ms())
                self._inbox.put_nowait(wall_time)
