"""Control-plane cost of an entry at increasing region sizes.

``python -m mulberryloom_standins.capacity`` drives the real core of one
entry with the heartbeats of its agents, the digests of the other entries
and its ticks, and adds the cost of the same messages on the wire. No
requests are sent.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import time
import tracemalloc

import defopt
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
import mulberryloom_entry as entry

from . import bench_wire

#: Entries of each region.
ENTRIES = 12

#: Entries to which each agent is connected.
SESSIONS_PER_AGENT = 2

#: Running tasks in the state of each worker.
TASKS_PER_WORKER = 18

#: State changes of all workers of the region together.
STATE_CHANGES_PER_S = 1

#: Numbers of workers.
REGION_SIZES = (65, 130, 260)
TICKS_PER_S = 10

#: Simulated time of each measurement.
SIMULATED_SECONDS = 20

_WORKER_CAPACITY = shapes.Resources(24, 8, 130, 250_000)
_TASK_RESOURCES = shapes.Resources(1, 0, 4, 4_096)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCost:
    """Control-plane cost of one entry in a region of one size.

    :param workers: number of workers of the region.
    :param core_percent: load by the entry's core, as a percentage of one
        processor core.
    :param wire_percent: load by the entry's sessions, as a percentage of
        one processor core.
    :param bytes_per_s: bytes per second that the entry sends.
    :param core_mb: memory of the entry's core.
    """

    workers: int
    core_percent: float
    wire_percent: float
    bytes_per_s: float
    core_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class WireCost:
    """Processor time and bytes of each kind of message.

    Times are those of one end, taken as half the time of both ends.

    :param heartbeat_us: heartbeat without state, with its reply.
    :param reply_bytes: taken as half of a heartbeat and its reply.
    :param digest_us: digest without agents and states.
    :param state_us: state of one worker in a message, by least squares.
    """

    heartbeat_us: float
    reply_bytes: float
    digest_us: float
    digest_bytes: float
    state_us: float
    state_bytes: float


class Region:
    """Core of one entry with simulated agents and entries of its region.

    :ivar now_ms: simulated time.
    :ivar own_workers: workers whose agents are connected to the entry.
    :ivar agents_by_entry: workers of the agents of each other entry.
    """

    def __init__(self, workers: int) -> None:
        settings = entry.EntrySettings(
            name='entry-0',
            region='eire-west',
            data_centre='galway-a',
            listen='127.0.0.1:1',
            operators_listen='127.0.0.1:2',
            peers_listen='127.0.0.1:3',
            secret='0123456789abcdef',
            store=['127.0.0.1:4'],
        )
        self.now_ms = 0
        self.core = entry.EntryCore.from_settings(
            settings, 1, random.Random(1)
        )
        workers_per_entry = workers * SESSIONS_PER_AGENT // ENTRIES
        names = [f'galway-a-r{n // 3}-w{n}' for n in range(workers)]
        self.own_workers = names[:workers_per_entry]
        self.agents_by_entry = {
            f'entry-{n}': _wrapped_slice(
                names, n * workers_per_entry, workers_per_entry
            )
            for n in range(1, ENTRIES)
        }
        self._connect_peers()

    def simulate(self, seconds: int) -> float:
        """Simulate messages and ticks; return the processor time.

        :param seconds: simulated time.
        :return: processor time of the core, in seconds.
        """
        started_s = time.process_time()
        for second in range(seconds):
            for worker in self.own_workers:
                self._receive_heartbeat(worker, second)
            changed_entry = f'entry-{1 + second % (ENTRIES - 1)}'
            for name, agents in self.agents_by_entry.items():
                states = []
                if name == changed_entry:
                    states = [_state(agents[second % len(agents)], second + 2)]
                self._receive_digest(name, [], states)
            for _ in range(TICKS_PER_S):
                self.now_ms += 1_000 // TICKS_PER_S
                self.core.handle(effects.Tick(), self.now_ms)
        return time.process_time() - started_s

    def _connect_peers(self) -> None:
        for worker in self.own_workers:
            peer = identity.PeerId(identity.Role.AGENT, worker, 1)
            self.core.handle(effects.PeerConnected(peer), 0)
            heartbeat = messages.AgentHeartbeat(
                worker, 1, 0, _state(worker, 1)
            )
            self.core.handle(effects.Received(peer, heartbeat), 0)
        for name, agents in self.agents_by_entry.items():
            peer = identity.PeerId(identity.Role.ENTRY, name, 1)
            self.core.handle(effects.PeerConnected(peer), 0)
            self._receive_digest(
                name, agents, [_state(agent, 1) for agent in agents]
            )

    def _receive_heartbeat(self, worker: str, second: int) -> None:
        has_changed = second % len(self.own_workers) == self.own_workers.index(
            worker
        )
        state = _state(worker, second + 2) if has_changed else None
        heartbeat = messages.AgentHeartbeat(worker, 1, 0, state)
        peer = identity.PeerId(identity.Role.AGENT, worker, 1)
        self.core.handle(effects.Received(peer, heartbeat), self.now_ms)

    def _receive_digest(
        self,
        name: str,
        agents: list[str],
        states: list[messages.WorkerState],
    ) -> None:
        digest = messages.Digest(
            entry=messages.EntryInfo(name, 1, '127.0.0.1:3'),
            config_version=0,
            shards=[],
            pressures=[],
            agents=[messages.AgentAlive(agent, 1, 0, 200) for agent in agents],
            states=states,
            left=[],
            steady_age_ms=0 if agents else 900,
        )
        peer = identity.PeerId(identity.Role.ENTRY, name, 1)
        self.core.handle(effects.Received(peer, digest), self.now_ms)


def measure(workers: int, wire: WireCost) -> EntryCost:
    """Return the cost of one entry in a region of this many workers."""
    region = Region(workers)
    core_load = region.simulate(SIMULATED_SECONDS) / SIMULATED_SECONDS
    tracemalloc.start()
    traced_region = Region(workers)
    core_mb = tracemalloc.get_traced_memory()[0] / 1_048_576
    tracemalloc.stop()
    agents = len(traced_region.own_workers)
    peers = ENTRIES - 1
    states_per_digest = STATE_CHANGES_PER_S / ENTRIES
    digest_us = wire.digest_us + wire.state_us * states_per_digest
    # Digests are sent to and received from each of the other entries.
    wire_us = agents * wire.heartbeat_us + 2 * peers * digest_us
    digest_bytes = wire.digest_bytes + wire.state_bytes * states_per_digest
    sent_bytes = agents * wire.reply_bytes + peers * digest_bytes
    return EntryCost(
        workers, core_load * 100, wire_us / 10_000, sent_bytes, core_mb
    )


async def measure_wire(repeats: int) -> WireCost:
    """Measure the cost of messages over loopback sockets."""
    rows = await bench_wire.measure(repeats, idle_seconds=0.5)
    lines_by_name = {line.name: line for line in bench_wire.fit(rows)}
    value_by_name = {row.name: row.value for row in rows if row.size == 0}
    task_us = lines_by_name['heartbeat with state'].per_item
    task_bytes = lines_by_name['heartbeat with state, size'].per_item
    return WireCost(
        heartbeat_us=value_by_name['heartbeat without state'] / 2,
        reply_bytes=value_by_name['heartbeat without state, size'] / 2,
        digest_us=value_by_name['digest'] / 2,
        digest_bytes=value_by_name['digest, size'],
        state_us=task_us * TASKS_PER_WORKER / 2,
        state_bytes=task_bytes * TASKS_PER_WORKER,
    )


def main(
    *, repeats: int = 300, folder: pathlib.Path = pathlib.Path('build')
) -> None:
    """Measure an entry's control work and print a table.

    :param repeats: messages for each figure of the wire.
    :param folder: where the JSON file goes.
    """
    wire = asyncio.run(measure_wire(repeats))
    costs = [measure(workers, wire) for workers in REGION_SIZES]
    print('workers  core %  wire %  sent KB/s  core MB')
    for cost in costs:
        print(
            f'{cost.workers:7}  {cost.core_percent:6.2f}  '
            f'{cost.wire_percent:6.2f}  {cost.bytes_per_s / 1_000:9.2f}  '
            f'{cost.core_mb:7.2f}'
        )
    folder.mkdir(exist_ok=True)
    document = {
        'wire': dataclasses.asdict(wire),
        'entry': [dataclasses.asdict(cost) for cost in costs],
    }
    path = folder / 'capacity.json'
    path.write_text(json.dumps(document, indent=2) + '\n')


def _wrapped_slice(names: list[str], start: int, count: int) -> list[str]:
    """Return ``count`` names from index ``start``, wrapping at the end."""
    return [names[(start + n) % len(names)] for n in range(count)]


def _state(worker: str, version: int) -> messages.WorkerState:
    tasks = [_task(f'{worker}-{n}') for n in range(TASKS_PER_WORKER)]
    return messages.WorkerState(
        worker=worker,
        incarnation=1,
        data_centre='galway-a',
        rack=worker.rpartition('-')[0],
        address='10.0.0.1:7000',
        services=['typesetting'],
        health=messages.BackendHealth.HEALTHY,
        capacity=_WORKER_CAPACITY,
        tasks=tasks,
        version=version,
    )


def _task(request_id: str) -> messages.TaskState:
    return messages.TaskState(
        request_id=request_id,
        attempt=1,
        account='galway',
        service='typesetting',
        method='proof',
        request_class=shapes.RequestClass.BATCH,
        phase=messages.TaskPhase.RUNNING,
        resources=_TASK_RESOURCES,
        positions=[],
        is_checkpointable=True,
        is_idempotent=True,
        is_gang=False,
        declared_run_ms=3_600_000,
        age_ms=1_000,
        peak_memory_mb=1_024,
    )


if __name__ == '__main__':
    defopt.run(main)
