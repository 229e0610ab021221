"""HTTP server of the store stand-in."""

import asyncio
import json

from result import Result

from mulberryloom_core import clock as clock_module
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.identity import Address
from mulberryloom_core import store

from . import core as core_module
from . import faults as faults_module
from . import gateway

_WATCH_POLL_MS = 10
_MS_PER_S = 1_000


class StoreServer:
    """Serves one :class:`StoreCore` over the etcd v3 JSON gateway protocol.

    ``GET`` and ``POST /standin/faults`` read and set the fault switches;
    ``/standin/calls`` returns the number of calls by kind.
    """

    __slots__ = ('core', '_clock', '_http', '_is_stopping')

    def __init__(
        self, core: core_module.StoreCore, clock: clock_module.Clock
    ) -> None:
        self.core = core
        self._clock = clock
        self._is_stopping = False
        self._http = http_server.HttpServer.from_handler(self._handle_request)

    @classmethod
    def from_clock(
        cls, clock: clock_module.Clock | None = None
    ) -> 'StoreServer':
        """Build a server with an empty store."""
        return cls(
            core_module.StoreCore(), clock or clock_module.SystemClock()
        )

    async def listen(self, address: Address) -> Address:
        """Start serving; return the bound address."""
        return await self._http.listen(address)

    async def stop(self) -> None:
        """Answer open watches, and stop."""
        self._is_stopping = True
        await self._http.drain()

    async def _handle_request(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        if request.path == '/standin/faults':
            return self._set_faults(request)
        if request.path == '/standin/calls':
            counts = json.dumps(self.core.calls_by_kind).encode()
            return http_types.HttpResponse(200, body=counts)
        if request.path == '/v3/lease/revoke':
            return self._revoke(request)
        decoded = gateway.decode_request(request.path, request.body)
        if decoded.is_err():
            return gateway.encode_error(decoded.err_value)
        await asyncio.sleep(self.core.faults.delay_ms / _MS_PER_S)
        answer = await self._execute(decoded.ok_value)
        return gateway.encode_reply(
            decoded.ok_value, answer, self.core.state.revision
        )

    async def _execute(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        now_ms = self._clock.now_ms()
        answer = self.core.handle(request, now_ms)
        if not isinstance(request, store.WatchPrefix):
            return answer
        deadline_ms = now_ms + request.timeout_ms
        while (
            core_module.is_empty_watch_reply(answer) and now_ms < deadline_ms
        ):
            if self._is_stopping:
                break
            await asyncio.sleep(_WATCH_POLL_MS / _MS_PER_S)
            now_ms = self._clock.now_ms()
            answer = self.core.handle_uncounted(request, now_ms)
        return answer

    def _set_faults(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        if request.method == 'POST':
            parsed = faults_module.Faults.from_json(request.body)
            if parsed.is_err():
                return gateway.encode_error(parsed.err_value)
            self.core.faults = parsed.ok_value
        return http_types.HttpResponse(200, body=self.core.faults.to_json())

    def _revoke(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        try:
            lease_id = int(json.loads(request.body)['ID'])
        except (ValueError, KeyError, TypeError):
            return http_types.HttpResponse(400, body=b'{"code": 3}')
        self.core.state.revoke(lease_id)
        return http_types.HttpResponse(200, body=b'{}')
