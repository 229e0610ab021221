"""Job worker stand-in on loopback, beside one agent.

The protocol is described in docs/job-workers.md. The job's payload says what
its tasks do: ``{"steps": [{"run_ms": 200, "members": 0}]}``, with one item
for each step. ``members`` is the size of a gang, or ``0`` without one; a gang
makes progress only while all of its members run.
"""

import asyncio
import collections
import dataclasses
import json
import time

from mulberryloom_agent.connection import job_loopback
from mulberryloom_agent.jobs import http_worker_client
from mulberryloom_agent.jobs import worker_calls
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.request import jobs

from . import worker as workers

HEARTBEAT_INTERVAL_MS = 300
ADVANCE_INTERVAL_MS = 20
STOP_DURATION_MS = 100
_CALL_TIMEOUT_MS = 500
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class JobWorkerSpec:
    """Description of a job worker, sent in its heartbeats.

    :param agent: address to which the worker sends heartbeats.
    """

    worker: str
    service: str
    data_centre: str
    rack: str
    agent: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class EndedJobRun:
    """A run that has ended, for the audit of a trial.

    :param number: run number of the task.
    :param how: value of :class:`jobs.RunEnd`.
    """

    task: str
    number: int
    worker: str
    how: str


class GangTracker:
    """Counts the running members of each gang over all workers of a trial."""

    def __init__(self) -> None:
        self._present: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )

    def count_member(self, task: str, number: int, change: int) -> None:
        """Count a member of a gang.

        :param number: run number of the member.
        :param change: ``1`` when the member begins, ``-1`` when it ends.
        """
        self._present[_gang_of(task), number] += change

    def is_complete(self, task: str, number: int, members: int) -> bool:
        """Return whether all members of a run's gang are running."""
        return self._present[_gang_of(task), number] >= members


def _gang_of(task: str) -> str:
    return task.rpartition('.')[0]


class JobWorkerServer:
    """One job worker; construct it with :meth:`from_spec`.

    :ivar worker: core that keeps the runs and the lease.
    :ivar runs: runs that have ended.
    """

    def __init__(self, spec: JobWorkerSpec, tracker: GangTracker) -> None:
        self._spec = spec
        self._tracker = tracker
        self._payload_by_task: dict[str, str] = {}
        self.worker = workers.WorkerStandIn(
            spec.worker, _now_ms(), spec.rack, self._work_of
        )
        self.runs: list[EndedJobRun] = []
        self._last_recorded_end = 0
        self._http = http_server.HttpServer.from_handler(self.respond)
        self._client = http_client.HttpClient.from_limits()
        self._address = identity.Address('127.0.0.1', 0)
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_spec(
        cls, spec: JobWorkerSpec, tracker: GangTracker
    ) -> 'JobWorkerServer':
        """Build a worker that is not listening yet.

        :param tracker: shared by all workers of the trial.
        """
        return cls(spec, tracker)

    async def listen(self, address: identity.Address) -> identity.Address:
        """Start to serve, to advance runs and to send heartbeats.

        :return: the bound address.
        """
        self._address = await self._http.listen(address)
        self._tasks = [
            asyncio.create_task(self._advance_runs()),
            asyncio.create_task(self._send_heartbeats()),
        ]
        return self._address

    async def stop(self) -> None:
        """Stop at once, without ending the runs."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._http.stop_accepting()
        await self._client.close()

    def _work_of(self, task: str) -> workers.Work:
        """Return the work of a task, from its job's payload."""
        parsed = jobs.parse_task_name(task)
        assert parsed is not None
        payload = json.loads(self._payload_by_task[task])
        item = payload['steps'][parsed[1].step]
        members = item.get('members', 0)
        step = jobs.Step(max(1, members), is_gang=members > 0)
        return workers.Work(step, item['run_ms'])

    def _is_gang_complete(self, run: workers.WorkerRun) -> bool:
        if not run.work.step.is_gang:
            return True
        members = run.work.step.tasks
        return self._tracker.is_complete(run.task, run.number, members)

    async def _advance_runs(self) -> None:
        last_ms = _now_ms()
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_MS / _MS_PER_S)
            now_ms = _now_ms()
            self.worker.advance(
                now_ms,
                now_ms - last_ms,
                STOP_DURATION_MS,
                self._is_gang_complete,
            )
            last_ms = now_ms
            self._record_ends()

    def _record_ends(self) -> None:
        for end in self.worker.ends:
            if end.sequence <= self._last_recorded_end:
                continue
            self._last_recorded_end = end.sequence
            self._tracker.count_member(end.task, end.run_number, -1)
            self.runs.append(
                EndedJobRun(
                    end.task, end.run_number, self._spec.worker, end.how
                )
            )

    async def _send_heartbeats(self) -> None:
        while True:
            body = self._heartbeat_body()
            path = f'{job_loopback.WORKER_PATH_PREFIX}{self._spec.worker}'
            request = http_types.HttpRequest('PUT', path, body=body)
            await self._client.call(
                self._spec.agent, request, _CALL_TIMEOUT_MS
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / _MS_PER_S)

    def _heartbeat_body(self) -> bytes:
        info = self.worker.info()
        document = {
            'boot_ms': info.boot,
            'sequence': info.sequence,
            'service': self._spec.service,
            'address': str(self._address),
            'data_centre': self._spec.data_centre,
            'rack': self._spec.rack,
            'labels': [self._spec.rack],
            'processors': info.cpu_millis / 1_000,
            'memory_mb': info.memory_mb,
            'accelerators': info.accelerators,
            'is_draining': info.is_draining,
        }
        return json.dumps(document).encode()

    async def respond(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Respond to one call of the agent."""
        worker_name = request.headers_by_name.get(
            http_worker_client.WORKER_HEADER
        )
        if worker_name != self._spec.worker:
            return _json_response(
                421,
                {'status': worker_calls.CallStatus.OTHER_INCARNATION.value},
            )
        body = json.loads(request.body)
        if request.path == http_worker_client.HOLD_PATH:
            return await self._respond_to_hold(body)
        if request.path == http_worker_client.START_PATH:
            return self._respond_to_start(body)
        if request.path == http_worker_client.STOP_PATH:
            run = messages.RunRef(body['task'], body['run'])
            call = worker_calls.StopCall(
                self._spec.worker, body['generation'], run
            )
            return _call_response(self.worker.stop(call, _now_ms()))
        return _json_response(
            404, {'status': worker_calls.CallStatus.REJECTED.value}
        )

    async def _respond_to_hold(self, body: dict) -> http_types.HttpResponse:
        call = worker_calls.HoldCall(
            0,
            self._spec.worker,
            body['generation'],
            body['deadline_ms'],
            body['observed'],
            body['wait_ms'],
        )
        end_count = len(self.worker.ends)
        hold_reply = self.worker.hold(call, _now_ms())
        deadline_ms = _now_ms() + call.wait_ms
        while len(self.worker.ends) <= end_count and _now_ms() < deadline_ms:
            await asyncio.sleep(ADVANCE_INTERVAL_MS / _MS_PER_S)
        if hold_reply.status is worker_calls.CallStatus.DONE:
            hold_reply = self.worker.hold(call, _now_ms())
        return _json_response(
            200,
            {
                'status': hold_reply.status.value,
                'clock_ms': hold_reply.clock_ms,
                'boot_ms': hold_reply.boot,
                'running': [
                    {
                        'task': item.task,
                        'run': item.run_number,
                        'checkpoint': item.checkpoint,
                        'progress_percent': item.progress,
                    }
                    for item in hold_reply.running
                ],
                'ended': [
                    {
                        'sequence': item.sequence,
                        'task': item.task,
                        'run': item.run_number,
                        'how': item.how,
                        'checkpoint': item.checkpoint,
                    }
                    for item in hold_reply.ended
                ],
                'is_partial': hold_reply.is_partial,
            },
        )

    def _respond_to_start(self, body: dict) -> http_types.HttpResponse:
        task, number = body['task'], body['run']
        self._payload_by_task[task] = body['payload']
        start = messages.StartRun(
            task, number, body['payload'], body['checkpoint']
        )
        call = worker_calls.StartCall(
            self._spec.worker, body['generation'], body['deadline_ms'], start
        )
        is_already_running = task in self.worker.run_by_task
        reply = self.worker.start(call, _now_ms())
        if task in self.worker.run_by_task and not is_already_running:
            self._tracker.count_member(task, number, 1)
        return _call_response(reply)


def _call_response(reply: worker_calls.CallReply) -> http_types.HttpResponse:
    document = {'status': reply.status.value, 'clock_ms': reply.clock_ms}
    return _json_response(200, document)


def _json_response(status: int, document: dict) -> http_types.HttpResponse:
    return http_types.HttpResponse(status, body=json.dumps(document).encode())


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
