"""Stand-in for the platform's control of one worker's tasks.

It controls the runs of the worker's backend server stand-in. A task whose
lease lapses is stopped. Usage is reported with a lag.
"""

import asyncio
import collections
import dataclasses
import json

import defopt
from result import Result

from mulberryloom_core import clock as clock_module
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.identity import Address

from . import runs
from . import serving

SAMPLE_INTERVAL_MS = 250
_CALL_TIMEOUT_MS = 1_000
_MS_PER_S = 1_000
_TASKS_PREFIX = '/v1/tasks/'


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """The open runs at one time."""

    taken_ms: int
    open_runs: list[runs.Run]


class PlatformServer:
    """Worker control stand-in; construct it with :meth:`from_backend`.

    :ivar throttled: tasks that were throttled, in order of the calls.
    """

    def __init__(
        self, backend: Address, lag_ms: int, clock: clock_module.Clock
    ) -> None:
        self.throttled: list[runs.RunId] = []
        self._backend = backend
        self._lag_ms = lag_ms
        self._clock = clock
        self._client = http_client.HttpClient.from_limits()
        self._http = http_server.HttpServer.from_handler(self._handle_request)
        self._lease_end_ms_by_id: dict[runs.RunId, int] = {}
        self._samples: collections.deque[_Sample] = collections.deque()
        self._sampler: asyncio.Task[None] | None = None

    @classmethod
    def from_backend(
        cls, backend: Address, lag_ms: int = 2_000
    ) -> 'PlatformServer':
        """Build a server that is not listening yet.

        :param backend: address of the backend server stand-in.
        :param lag_ms: minimum age of the usage that is reported.
        """
        return cls(backend, lag_ms, clock_module.SystemClock())

    async def listen(self, address: Address) -> Address:
        """Start serving; return the bound address."""
        self._sampler = asyncio.create_task(self._sample_periodically())
        return await self._http.listen(address)

    async def stop(self) -> None:
        """Stop serving."""
        if self._sampler is not None:
            self._sampler.cancel()
            await asyncio.gather(self._sampler, return_exceptions=True)
        self._http.stop_accepting()
        await self._client.close()

    async def _handle_request(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        if request.path == '/v1/usage':
            return _json(self._usage())
        if not request.path.startswith(_TASKS_PREFIX):
            return http_types.HttpResponse(404)
        target = request.path.removeprefix(_TASKS_PREFIX)
        task, _, action = target.rpartition('/')
        try:
            run_id = runs.RunId.from_text(task)
            body = json.loads(request.body or b'{}')
            return await self._handle_control(run_id, action, body)
        except (KeyError, ValueError) as problem:
            return http_types.HttpResponse(400, body=repr(problem).encode())

    async def _handle_control(
        self, run_id: runs.RunId, action: str, body: dict
    ) -> http_types.HttpResponse:
        match action:
            case 'lease':
                lease_end_ms = self._clock.now_ms() + int(body['ttl_ms'])
                self._lease_end_ms_by_id[run_id] = lease_end_ms
                return _json({'ttl_ms': int(body['ttl_ms'])})
            case 'throttle':
                self.throttled.append(run_id)
                return _json({})
            case 'checkpoint':
                end_result = await self._end_run(run_id, 'checkpoint')
                return _json({'is_saved': end_result.unwrap_or(False)})
            case 'stop':
                end_result = await self._end_run(run_id, 'stop')
                return _json({'is_stopped': end_result.is_ok()})
        return http_types.HttpResponse(404)

    async def _end_run(
        self, run_id: runs.RunId, action: str
    ) -> Result[bool, exceptions.Error]:
        """End a run at the backend server.

        :return: whether the run was open.
        """
        self._lease_end_ms_by_id.pop(run_id, None)
        request = http_types.HttpRequest(
            'POST', f'/standin/tasks/{run_id}/{action}'
        )
        answer = await self._client.call(
            self._backend, request, _CALL_TIMEOUT_MS
        )
        return answer.map(_was_open)

    async def _sample_periodically(self) -> None:
        request = http_types.HttpRequest('GET', '/standin/runs/open')
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_MS / _MS_PER_S)
            answer = await self._client.call(
                self._backend, request, _CALL_TIMEOUT_MS
            )
            if answer.is_ok():
                open_runs = runs.from_json(answer.ok_value.body)
                self._keep_sample(open_runs)
                await self._stop_lapsed_runs({run.run_id for run in open_runs})

    def _keep_sample(self, open_runs: list[runs.Run]) -> None:
        now_ms = self._clock.now_ms()
        self._samples.append(_Sample(now_ms, open_runs))
        while self._is_second_sample_old_enough(now_ms):
            self._samples.popleft()

    def _is_second_sample_old_enough(self, now_ms: int) -> bool:
        if len(self._samples) < 2:
            return False
        return self._samples[1].taken_ms <= now_ms - self._lag_ms

    async def _stop_lapsed_runs(self, open_ids: set[runs.RunId]) -> None:
        """Stop open runs whose lease has lapsed, and drop lapsed leases."""
        now_ms = self._clock.now_ms()
        lapsed = [
            run_id
            for run_id, lease_end_ms in self._lease_end_ms_by_id.items()
            if lease_end_ms <= now_ms
        ]
        for run_id in lapsed:
            del self._lease_end_ms_by_id[run_id]
            if run_id in open_ids:
                await self._end_run(run_id, 'stop')

    def _usage(self) -> dict:
        now_ms = self._clock.now_ms()
        if not self._samples:
            return {'usages': []}
        sample = self._samples[0]
        age_ms = now_ms - sample.taken_ms
        if age_ms < self._lag_ms:
            return {'usages': []}
        return {
            'usages': [
                {
                    'request_id': run.request_id,
                    'attempt': run.attempt,
                    'member': run.member,
                    'memory_mb': run.memory_mb,
                    'age_ms': age_ms,
                }
                for run in sample.open_runs
            ]
        }


def _was_open(response: http_types.HttpResponse) -> bool:
    return json.loads(response.body)['was_open']


def _json(body: dict) -> http_types.HttpResponse:
    return http_types.HttpResponse(200, body=json.dumps(body).encode())


def main(*, backend: str, port: int = 0, lag_ms: int = 2_000) -> None:
    """Serve the control of one worker until SIGTERM.

    :param backend: ``host:port`` of the backend server stand-in.
    :param port: ``0`` takes any free port; the address is printed.
    :param lag_ms: age of the usage that is reported.
    """
    server = PlatformServer.from_backend(Address.from_text(backend), lag_ms)
    serving.run_until_signal(server, port)


if __name__ == '__main__':
    defopt.run(main)
