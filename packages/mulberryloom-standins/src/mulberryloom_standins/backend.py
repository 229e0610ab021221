"""Stand-in for a backend server beside one agent.

It announces itself to the agent, sends heartbeats and runs orders. ``GET
/standin/runs`` lists all runs, ``/standin/runs/open`` those that have not
ended. ``POST /standin/faults`` sets :class:`BackendFaults`; ``POST
/standin/tasks/{id}/stop`` and ``/checkpoint`` end an open run.
"""

import asyncio
import dataclasses
import json
import random

import defopt

from mulberryloom_core import clock as clock_module
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core.identity import Address
from mulberryloom_core import shapes

from . import answers
from . import runs
from . import serving

HEARTBEAT_INTERVAL_MS = 1_000
_ANNOUNCE_RETRY_MS = 100
_CALL_TIMEOUT_MS = 1_000
_MS_PER_S = 1_000
_CONTROL_PREFIX = '/standin/tasks/'
_END_BY_ACTION = {
    'stop': runs.RunEnd.STOPPED,
    'checkpoint': runs.RunEnd.CHECKPOINTED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class BackendSpec:
    """Description of a backend server, sent when it announces itself.

    :param worker: name of the worker.
    :param agent: address on which the agent takes announcements.
    :param services: names of the services that it serves.
    :param capacity: resources of the worker.
    """

    worker: str
    agent: Address
    services: list[str]
    capacity: shapes.Resources


@dataclasses.dataclass(slots=True)
class BackendFaults:
    """Fault switches of the backend server stand-in; all off by default.

    :param fail_percent: percentage of runs that fail after their run time.
    :param fails_everything: fail each run as soon as it starts.
    :param is_silent: run orders, but never answer.
    :param skips_heartbeats: send no announcements and heartbeats.
    """

    fail_percent: int = 0
    fails_everything: bool = False
    is_silent: bool = False
    skips_heartbeats: bool = False


class BackendServer:
    """Backend server stand-in; construct it with :meth:`from_spec`.

    :ivar log: all runs since the start.
    """

    def __init__(
        self, spec: BackendSpec, clock: clock_module.Clock, seed: int
    ) -> None:
        self.faults = BackendFaults()
        self.log = runs.RunLog()
        self._spec = spec
        self._clock = clock
        self._random = random.Random(seed)
        self._client = http_client.HttpClient.from_limits()
        self._http = http_server.HttpServer.from_handler(self._handle_request)
        self._announcer_task: asyncio.Task[None] | None = None

    @classmethod
    def from_spec(cls, spec: BackendSpec, seed: int = 0) -> 'BackendServer':
        """Build a server that is not listening yet.

        :param seed: seed of the random choice of runs that fail.
        """
        return cls(spec, clock_module.SystemClock(), seed)

    async def listen(self, address: Address) -> Address:
        """Start serving and announcing; return the bound address."""
        bound = await self._http.listen(address)
        self._announcer_task = asyncio.create_task(self._run_announcer(bound))
        return bound

    async def stop(self) -> None:
        """Deregister from the agent, wait for open runs to end, and stop."""
        await self._stop_announcer()
        await self._post_to_agent('leave', {})
        await self._http.drain()
        await self._client.close()

    async def kill(self) -> None:
        """Stop without notifying the agent."""
        await self._stop_announcer()
        self._http.stop_accepting()
        await self._client.close()

    async def _stop_announcer(self) -> None:
        if self._announcer_task is not None:
            self._announcer_task.cancel()
            await asyncio.gather(self._announcer_task, return_exceptions=True)

    async def _run_announcer(self, bound: Address) -> None:
        """Announce until the agent accepts it, then send heartbeats."""
        is_registered = False
        while True:
            if self.faults.skips_heartbeats:
                pass
            elif is_registered:
                is_registered = await self._post_to_agent('heartbeat', {})
            else:
                is_registered = await self._announce(bound)
            wait_ms = (
                HEARTBEAT_INTERVAL_MS if is_registered else _ANNOUNCE_RETRY_MS
            )
            await asyncio.sleep(wait_ms / _MS_PER_S)

    async def _announce(self, bound: Address) -> bool:
        capacity = self._spec.capacity
        announcement = {
            'address': str(bound),
            'services': self._spec.services,
            'slots': capacity.slots,
            'accelerators': capacity.accelerators,
            'processors': capacity.processors,
            'memory_mb': capacity.memory_mb,
        }
        return await self._post_to_agent('announce', announcement)

    async def _post_to_agent(self, operation: str, body: dict) -> bool:
        request = http_types.HttpRequest(
            'POST', f'/v1/{operation}', body=json.dumps(body).encode()
        )
        answer = await self._client.call(
            self._spec.agent, request, _CALL_TIMEOUT_MS
        )
        return answer.is_ok() and answer.ok_value.status < 300

    async def _handle_request(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        if request.path == '/standin/runs':
            return _runs_response(self.log.runs)
        if request.path == '/standin/runs/open':
            return _runs_response(self.log.open_runs())
        if request.path == '/standin/faults':
            return self._set_faults(request.body)
        if request.path.startswith(_CONTROL_PREFIX):
            return self._handle_control(
                request.path.removeprefix(_CONTROL_PREFIX)
            )
        return await self._run(request)

    def _set_faults(self, body: bytes) -> http_types.HttpResponse:
        try:
            self.faults = BackendFaults(**json.loads(body))
        except (TypeError, ValueError) as problem:
            return http_types.HttpResponse(400, body=str(problem).encode())
        return http_types.HttpResponse(204)

    def _handle_control(self, target: str) -> http_types.HttpResponse:
        run_id, _, action = target.rpartition('/')
        end = _END_BY_ACTION.get(action)
        if end is None:
            return http_types.HttpResponse(404)
        was_open = self.log.request_end(runs.RunId.from_text(run_id), end)
        body = json.dumps({'was_open': was_open}).encode()
        return http_types.HttpResponse(200, body=body)

    async def _run(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        try:
            order = answers.Order.from_body(request.body)
            run = self._run_from_request(request, order)
        except (KeyError, ValueError) as problem:
            return http_types.HttpResponse(400, body=repr(problem).encode())
        end_requested = self.log.open(run)
        end = await self._wait_for_end(end_requested, order)
        self.log.close(run, end, self._clock.wall_ms())
        if self.faults.is_silent:
            await asyncio.Event().wait()
        if run.end is runs.RunEnd.FINISHED:
            answer = answers.OrderAnswer.from_request(
                request.body, self._spec.worker
            )
            return http_types.HttpResponse(200, body=answer.to_body())
        status = 500 if run.end is runs.RunEnd.FAILED else 503
        problem = json.dumps({'end': run.end.value}).encode()
        return http_types.HttpResponse(status, body=problem)

    async def _wait_for_end(
        self, end_requested: asyncio.Event, order: answers.Order
    ) -> runs.RunEnd:
        if self.faults.fails_everything:
            return runs.RunEnd.FAILED
        try:
            async with asyncio.timeout(order.run_ms / _MS_PER_S):
                await end_requested.wait()
        except TimeoutError:
            pass
        if self._random.randrange(100) < self.faults.fail_percent:
            return runs.RunEnd.FAILED
        return runs.RunEnd.FINISHED

    def _run_from_request(
        self, request: http_types.HttpRequest, order: answers.Order
    ) -> runs.Run:
        headers = request.headers_by_name
        _, service, method = request.path.split('/')
        member, _, members = headers['mulberryloom-member'].partition('/')
        positions = headers.get('mulberryloom-accelerators', '')
        return runs.Run(
            token=order.token,
            request_id=headers['mulberryloom-request-id'],
            attempt=int(headers['mulberryloom-attempt']),
            member=int(member),
            members=int(members or '1'),
            worker=self._spec.worker,
            service=service,
            method=method,
            positions=[int(p) for p in positions.split(',') if p.strip()],
            is_resumed=headers.get('mulberryloom-resume') == 'true',
            memory_mb=order.memory_mb,
            started_ms=self._clock.wall_ms(),
        )


def _runs_response(listed: list[runs.Run]) -> http_types.HttpResponse:
    return http_types.HttpResponse(200, body=runs.to_json(listed))


def main(
    *,
    worker: str,
    agent: str,
    services: str,
    port: int = 0,
    slots: int = 8,
    accelerators: int = 8,
    processors: int = 130,
    memory_mb: int = 250_000,
    seed: int = 0,
) -> None:
    """Serve orders until SIGTERM, then leave and let open runs end.

    :param worker: name of the worker.
    :param agent: ``host:port`` on which the agent listens for us.
    :param services: names of the services, with commas.
    :param port: ``0`` takes any free port; the address is printed.
    :param slots: concurrent requests.
    :param accelerators: whole accelerators.
    :param processors: processor cores.
    :param memory_mb: memory in mebibytes.
    :param seed: of the choice of runs that fail.
    """
    spec = BackendSpec(
        worker,
        Address.from_text(agent),
        services.split(','),
        shapes.Resources(slots, accelerators, processors, memory_mb),
    )
    serving.run_until_signal(BackendServer.from_spec(spec, seed), port)


if __name__ == '__main__':
    defopt.run(main)
