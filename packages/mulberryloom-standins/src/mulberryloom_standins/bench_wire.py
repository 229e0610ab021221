"""Benchmark of the wire protocol over loopback sockets.

It measures the processor time and bytes of a heartbeat with its reply by
the number of tasks in the state, those of a digest by the number of agents
in it, and memory and idle processor time by the number of sessions. Both
ends run in this process, so that each figure is the sum of both.
``python -m mulberryloom_standins.bench_wire`` prints a table and JSON.
"""

import asyncio
import dataclasses
import gc
import json
import statistics
import sys
import time
import tracemalloc
import typing as t

import defopt
from mulberryloom_core import clock
from mulberryloom_core import connection
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes

#: Numbers of tasks in the state of a heartbeat.
TASK_COUNTS = (0, 8, 18, 64)

#: Numbers of agents in a digest.
AGENT_COUNTS = (0, 65, 130, 260)

#: Numbers of idle sessions of one entry.
SESSION_COUNTS = (1, 20, 40, 80)

ENTRIES = 12
REPEATS = 300
IDLE_SECONDS = 4.0

_SECRET = b'secret of the benchmark'
_ANY_PORT = identity.Address('127.0.0.1', 0)
_ENTRY = identity.PeerId(identity.Role.ENTRY, 'entry-01', 1)
_INCARNATION = 1_800_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One measurement.

    :param name: what was measured.
    :param size: number of items, such as tasks in a heartbeat.
    :param value: result in ``unit``.
    """

    name: str
    size: int
    value: float
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through the rows of one name.

    :param base: value at size 0.
    :param per_item: increase of the value with each item.
    """

    name: str
    unit: str
    base: float
    per_item: float


@dataclasses.dataclass(slots=True)
class ConnectedPair:
    """An entry and an agent that are connected by one session."""

    entry: connection.Node
    agent: connection.Node
    agent_id: identity.PeerId

    @classmethod
    async def open(cls) -> 'ConnectedPair':
        """Open a pair of connected nodes."""
        agent_id = _agent_id(0)
        pair = cls(_node(_ENTRY), _node(agent_id), agent_id)
        pair.agent.connect(await pair.entry.listen(_ANY_PORT))
        await pair.entry.receive()
        await pair.agent.receive()
        return pair

    async def close(self) -> None:
        """Close both nodes."""
        await self.agent.close()
        await self.entry.close()

    def bytes_out(self) -> int:
        """Return the number of bytes that both nodes have sent."""
        return self.entry.counters.bytes_out + self.agent.counters.bytes_out


def main(
    *, repeats: int = REPEATS, idle_seconds: float = IDLE_SECONDS
) -> None:
    """Measure and print.

    :param repeats: messages for each figure.
    :param idle_seconds: time for which idle sessions are observed.
    """
    rows = asyncio.run(measure(repeats, idle_seconds))
    lines = fit(rows)
    for row in rows:
        sys.stdout.write(
            f'{row.name:<28}{row.size:>6}{row.value:>14.1f} {row.unit}\n'
        )
    sys.stdout.write('\nleast squares: base + per item\n')
    for line in lines:
        sys.stdout.write(
            f'{line.name:<28}{line.base:>14.1f} +{line.per_item:>10.3f}'
            f' {line.unit}\n'
        )
    figures = {
        'rows': [dataclasses.asdict(row) for row in rows],
        'lines': [dataclasses.asdict(line) for line in lines],
    }
    sys.stdout.write(json.dumps(figures) + '\n')


def fit(rows: list[Row]) -> list[Line]:
    """Return a least-squares line for each name with several sizes."""
    rows_by_name: dict[str, list[Row]] = {}
    for row in rows:
        rows_by_name.setdefault(row.name, []).append(row)
    lines = []
    for name, group in rows_by_name.items():
        sizes = [row.size for row in group]
        if len(set(sizes)) < 2:
            continue
        slope, base = statistics.linear_regression(
            sizes, [row.value for row in group]
        )
        lines.append(Line(name, group[0].unit, base, slope))
    return lines


async def measure(repeats: int, idle_seconds: float) -> list[Row]:
    """Return all measurements.

    :param repeats: messages for each figure.
    :param idle_seconds: time for which idle sessions are observed.
    """
    rows = []
    pair = await ConnectedPair.open()
    heartbeat = messages.AgentHeartbeat(
        pair.agent_id.name, _INCARNATION, 1_000
    )
    rows += await _exchange_heartbeats(
        pair, 'heartbeat without state', 0, heartbeat, repeats
    )
    for tasks in TASK_COUNTS:
        heartbeat_with_state = dataclasses.replace(
            heartbeat, state=_state(0, tasks)
        )
        rows += await _exchange_heartbeats(
            pair, 'heartbeat with state', tasks, heartbeat_with_state, repeats
        )
    for agents in AGENT_COUNTS:
        rows += await _send_digests(pair, agents, repeats)
    await pair.close()
    for sessions in SESSION_COUNTS:
        rows += await _idle_sessions(sessions, idle_seconds)
    return rows


async def _exchange_heartbeats(
    pair: ConnectedPair,
    name: str,
    size: int,
    heartbeat: messages.AgentHeartbeat,
    repeats: int,
) -> list[Row]:
    """Measure heartbeats, each of which is answered before the next."""
    reply = messages.HeartbeatReply(1_000, [])
    heartbeat_send = effects.Send(_ENTRY.role, _ENTRY.name, heartbeat)
    reply_send = effects.Send(pair.agent_id.role, pair.agent_id.name, reply)

    async def step() -> None:
        pair.agent.send(heartbeat_send)
        await pair.entry.receive()
        pair.entry.send(reply_send)
        await pair.agent.receive()

    return await _measure_steps(pair, name, size, step, repeats)


async def _send_digests(
    pair: ConnectedPair, agents: int, repeats: int
) -> list[Row]:
    """Measure digests, each of which is received before the next."""
    digest = messages.Digest(
        entry=_entry_info(0),
        config_version=1_000,
        shards=[],
        pressures=[],
        agents=[
            messages.AgentAlive(
                _agent_id(index).name, _INCARNATION, 1_000, 500
            )
            for index in range(agents)
        ],
        states=[],
        left=[],
    )
    send = effects.Send(pair.agent_id.role, pair.agent_id.name, digest)

    async def step() -> None:
        pair.entry.send(send)
        await pair.agent.receive()

    return await _measure_steps(pair, 'digest', agents, step, repeats)


async def _measure_steps(
    pair: ConnectedPair,
    name: str,
    size: int,
    step: t.Callable[[], t.Awaitable[None]],
    repeats: int,
) -> list[Row]:
    """Return the mean processor time and the mean bytes of a step."""
    gc.collect()
    sent_before = pair.bytes_out()
    started_s = time.process_time()
    for _ in range(repeats):
        await step()
    spent_us = (time.process_time() - started_s) * 1e6
    size_bytes = (pair.bytes_out() - sent_before) / repeats
    return [
        Row(name, size, spent_us / repeats, 'us'),
        Row(f'{name}, size', size, size_bytes, 'bytes'),
    ]


async def _idle_sessions(count: int, idle_seconds: float) -> list[Row]:
    """Measure the memory and processor time of idle sessions."""
    gc.collect()
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    entry = _node(_ENTRY)
    address = await entry.listen(_ANY_PORT)
    agents = [_node(_agent_id(index)) for index in range(count)]
    for agent in agents:
        agent.connect(address)
        await agent.receive()
    gc.collect()
    memory_kib = (tracemalloc.get_traced_memory()[0] - memory_before) / 1_024
    tracemalloc.stop()
    started_s = time.process_time()
    await asyncio.sleep(idle_seconds)
    spent_us = (time.process_time() - started_s) * 1e6
    for agent in agents:
        await agent.close()
    await entry.close()
    return [
        Row('sessions, memory', count, memory_kib, 'KiB'),
        Row('sessions, idle', count, spent_us / idle_seconds, 'us/s'),
    ]


def _node(peer: identity.PeerId) -> connection.Node:
    return connection.Node.from_identity(peer, _SECRET, clock.SystemClock())


def _agent_id(index: int) -> identity.PeerId:
    return identity.PeerId(
        identity.Role.AGENT, f'galway-a-w{index:04}', _INCARNATION
    )


def _entry_info(index: int) -> messages.EntryInfo:
    return messages.EntryInfo(
        f'entry-{index:02}', _INCARNATION, f'10.20.30.{index}:7100'
    )


def _state(index: int, tasks: int) -> messages.WorkerState:
    return messages.WorkerState(
        worker=_agent_id(index).name,
        incarnation=_INCARNATION,
        data_centre='galway-a',
        rack='galway-a-r17',
        address='10.20.31.7:7200',
        services=['typesetting'],
        health=messages.BackendHealth.HEALTHY,
        capacity=shapes.Resources(64, 8, 130, 250_000),
        tasks=[_task(number) for number in range(tasks)],
    )


def _task(number: int) -> messages.TaskState:
    return messages.TaskState(
        request_id=f'{number:032x}',
        attempt=1,
        account='eire-west',
        service='typesetting',
        method='edition',
        request_class=shapes.RequestClass.BATCH,
        phase=messages.TaskPhase.RUNNING,
        resources=shapes.Resources(1, 1, 4, 8_000),
        positions=[number % 8],
        is_checkpointable=True,
        is_idempotent=True,
        is_gang=False,
        declared_run_ms=3_600_000,
        age_ms=100_000 + number,
        peak_memory_mb=6_000,
    )


if __name__ == '__main__':
    defopt.run(main)
