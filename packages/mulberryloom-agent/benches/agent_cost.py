"""Benchmark of one agent: processor time, memory and control traffic.

Run it as a script, or call :func:`measure_core` and
:func:`measure_process`. The latter runs the agent as a separate process;
the benchmark's own process simulates two entries and the backend server.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time

from mulberryloom_agent import effects
from mulberryloom_agent.process import core
from mulberryloom_agent.process import settings
from mulberryloom_core import clock
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
from result import Ok

#: Loopback address with any free port.
LOOPBACK = identity.Address('127.0.0.1', 0)
SECRET = '0123456789abcdef'
TICK_MS = 100
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(frozen=True)
class CoreCost:
    """Processor time of the agent's core without I/O.

    :param tasks: number of running tasks.
    :param tick_us: mean time of a tick, including a tenth of a heartbeat of
        the backend server.
    :param start_and_end_us: mean time of the start and the end of one task.
    """

    tasks: int
    tick_us: float
    start_and_end_us: float


@dataclasses.dataclass(frozen=True)
class ProcessCost:
    """Cost of one agent as a process.

    :param tasks: number of running tasks, each with an open connection to
        the backend server.
    :param seconds: duration of the measurement.
    :param processor_percent: share of one processor core.
    :param heartbeats_per_s: sum over both entries.
    :param sent_bytes_per_s: sum over both entries.
    """

    tasks: int
    seconds: float
    processor_percent: float
    resident_mb: float
    heartbeats_per_s: float
    sent_bytes_per_s: float


def measure_core(tasks: int = 8, ticks: int = 5_000) -> CoreCost:
    """Measure the core with sessions to two entries.

    :param tasks: number of tasks that run during the ticks.
    :param ticks: number of ticks, and of tasks that are started and ended.
    """
    agent = core.AgentCore.from_settings(
        settings.AgentSettings.from_document(
            _settings_document(0, ['127.0.0.1:1'])
        ),
        1,
        random.Random(1),
    )
    agent.handle(_announced('b:1', tasks + 1), 0)
    for name in ('e1', 'e2'):
        peer = identity.PeerId(identity.Role.ENTRY, name, 1)
        agent.handle(core_effects.PeerConnected(peer), 0)
    for number in range(tasks):
        agent.handle(_received(_start(f'r{number}', 1)), 0)
    started_s = time.process_time()
    for number in range(ticks):
        agent.handle(core_effects.Tick(), number * TICK_MS)
        if number % 10 == 0:
            agent.handle(effects.BackendHeartbeat(), number * TICK_MS)
    tick_s = (time.process_time() - started_s) / ticks
    now_ms = ticks * TICK_MS
    started_s = time.process_time()
    for number in range(ticks):
        agent.handle(_received(_start(f's{number}', 1)), now_ms)
        result = effects.BackendAnswer(200, 'text/plain', b'')
        agent.handle(
            effects.BackendAnswered(f's{number}', 1, Ok(result)), now_ms
        )
    task_s = (time.process_time() - started_s) / ticks
    return CoreCost(tasks, tick_s * 1e6, task_s * 1e6)


async def measure_process(tasks: int, seconds: float) -> ProcessCost:
    """Measure an agent's process while tasks run.

    :param tasks: number of running tasks.
    :param seconds: duration of the measurement.
    """
    entries = [await Entry.start(name) for name in ('e1', 'e2')]
    entry_infos = [entry.info for entry in entries]
    for entry in entries:
        entry.known_entries = entry_infos
    is_finished = asyncio.Event()

    async def respond(request):
        await is_finished.wait()
        return http_types.HttpResponse(200, 'text/plain', b'')

    backend = http_server.HttpServer.from_handler(respond)
    backend_address = await backend.listen(LOOPBACK)
    port = _free_port()
    document = _settings_document(
        port, [str(entry.address) for entry in entries]
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'agent.json'
        path.write_text(json.dumps(document))
        command = [sys.executable, '-m', 'mulberryloom_agent', 'serve']
        process = subprocess.Popen(
            [*command, '--settings', str(path)], stderr=subprocess.DEVNULL
        )
        try:
            heartbeats = asyncio.create_task(
                _send_heartbeats(port, backend_address, tasks)
            )
            await entries[0].start_tasks(tasks)
            await asyncio.sleep(2)
            cost = await _measure(process.pid, entries, tasks, seconds)
            is_finished.set()
        finally:
            heartbeats.cancel()
            process.terminate()
            await asyncio.to_thread(process.wait, 20)
    for entry in entries:
        await entry.close()
    backend.stop_accepting()
    return cost


class Entry:
    """Simulated entry that answers heartbeats and starts tasks.

    :ivar known_entries: entries that it names in replies to heartbeats.
    :ivar heartbeats: number of received heartbeats.
    :ivar started: number of tasks that the agent has started.
    :ivar incarnation: incarnation of the agent, set once the backend server
        has announced itself.
    """

    def __init__(self, name: str, node: nodes.Node) -> None:
        self.node = node
        self.address = LOOPBACK
        self.info = messages.EntryInfo(name, 1, '')
        self.known_entries: list[messages.EntryInfo] = []
        self.heartbeats = 0
        self.started = 0
        self.incarnation: asyncio.Future[int] = asyncio.Future()
        self._task: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls, name: str) -> 'Entry':
        """Start an entry that listens on a free port."""
        peer_id = identity.PeerId(identity.Role.ENTRY, name, 1)
        node = nodes.Node.from_identity(
            peer_id, SECRET.encode(), clock.SystemClock()
        )
        entry = cls(name, node)
        entry.address = await node.listen(LOOPBACK)
        entry.info = messages.EntryInfo(name, 1, str(entry.address))
        entry._task = asyncio.create_task(entry._serve())
        return entry

    async def start_tasks(self, count: int) -> None:
        """Start tasks and wait until all are running."""
        incarnation = await asyncio.wait_for(self.incarnation, 20)
        for number in range(count):
            self._send(_start(f'r{number}', incarnation))
        while self.started < count:
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Stop the entry."""
        if self._task is not None:
            self._task.cancel()
        await self.node.close()

    async def _serve(self) -> None:
        while True:
            event = await self.node.receive()
            message = getattr(event, 'message', None)
            match message:
                case messages.AgentHeartbeat(state=state):
                    self.heartbeats += 1
                    self._send(messages.HeartbeatReply(0, self.known_entries))
                    is_ready = state is not None and state.services
                    if is_ready and not self.incarnation.done():
                        self.incarnation.set_result(message.incarnation)
                case messages.TaskStarted():
                    self.started += 1

    def _send(self, message: messages.Message) -> None:
        self.node.send(core_effects.Send(identity.Role.AGENT, 'w1', message))


async def _measure(
    pid: int, entries: list[Entry], tasks: int, seconds: float
) -> ProcessCost:
    used_s = _processor_s(pid)
    received = sum(entry.node.counters.bytes_in for entry in entries)
    heartbeats = sum(entry.heartbeats for entry in entries)
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    used_s = _processor_s(pid) - used_s
    received = (
        sum(entry.node.counters.bytes_in for entry in entries) - received
    )
    heartbeats = sum(entry.heartbeats for entry in entries) - heartbeats
    return ProcessCost(
        tasks,
        elapsed_s,
        100 * used_s / elapsed_s,
        _resident_mb(pid),
        heartbeats / elapsed_s,
        received / elapsed_s,
    )


async def _send_heartbeats(
    port: int, backend: identity.Address, tasks: int
) -> None:
    """Announce the backend server to the agent and send its heartbeats."""
    client = http_client.HttpClient.from_limits()
    agent = identity.Address('127.0.0.1', port)
    announcement = {
        'address': str(backend),
        'services': ['rental'],
        'slots': max(8, tasks),
        'accelerators': 8,
        'processors': 1_000,
        'memory_mb': 500_000,
    }
    body = json.dumps(announcement).encode()
    is_announced = False
    while True:
        path = '/v1/heartbeat' if is_announced else '/v1/announce'
        request = http_types.HttpRequest('POST', path, body=body)
        result = await client.call(agent, request, 1_000)
        is_announced = result.is_ok() and result.ok_value.status == 200
        await asyncio.sleep(1 if is_announced else 0.1)


def _processor_s(pid: int) -> float:
    """Return the processor time of a process, user and system."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(
        line for line in text.splitlines() if line.startswith('VmRSS:')
    )
    return int(line.split()[1]) / 1_024


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def _settings_document(port: int, entries: list[str]) -> dict:
    return {
        'worker': 'w1',
        'data_centre': 'accra-a',
        'rack': 'accra-a-r1',
        'listen': '127.0.0.1:0',
        'backend_listen': f'127.0.0.1:{port}',
        'entries': entries,
        'secret': SECRET,
    }


def _announced(address: str, slots: int) -> effects.BackendAnnounced:
    capacity = shapes.Resources(slots, 8, 1_000, 500_000)
    return effects.BackendAnnounced(address, ('rental',), capacity)


def _start(request_id: str, incarnation: int) -> messages.StartTask:
    work = messages.Work(
        request_id,
        'kumasi',
        'rental',
        'fit',
        shapes.RequestClass.URGENT,
        shapes.Demand(),
        deadline_ms=600_000,
    )
    return messages.StartTask(work, 1, incarnation)


def _received(message: messages.Message) -> core_effects.Received:
    peer = identity.PeerId(identity.Role.ENTRY, 'e1', 1)
    return core_effects.Received(peer, message)


def main() -> None:
    """Run all measurements and print one JSON object per line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=10)
    arguments = parser.parse_args()
    for tasks in (0, 8, 60):
        print(json.dumps(dataclasses.asdict(measure_core(tasks))))
    for tasks in (0, 8, 60):
        cost = asyncio.run(measure_process(tasks, arguments.seconds))
        print(json.dumps(dataclasses.asdict(cost)), flush=True)


if __name__ == '__main__':
    main()
