"""Benchmark of calls through an entry against direct calls.

The store, one entry, one agent and one backend server run as separate
processes; this process is the caller. Rounds of direct calls and of calls
through the entry alternate, so that both run under the same machine load.
"""

import asyncio
import dataclasses
import pathlib
import sys
import time
import typing as t

import defopt

from . import caller
from . import cluster as cluster_module
from . import deployments
from . import targets

_PERCENT = 100
_MS_PER_S = 1_000

#: Labels of the measured paths, in the order of their callers.
_PATHS = ('direct', 'through the entry')


@dataclasses.dataclass(frozen=True, slots=True)
class PathFigures:
    """Figures of one path at one number of connections.

    :param path: direct, or through the entry.
    :param connections: number of concurrent connections.
    :param rate_per_s: successful requests per second.
    :param failures: requests that did not get their right answer.
    """

    path: str
    connections: int
    rate_per_s: float
    p50_ms: float
    p99_ms: float
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessFigures:
    """Memory and idle processor load of one process.

    :param idle_cpu_percent: percentage of one processor core.
    """

    name: str
    resident_mb: float
    idle_cpu_percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCost:
    """Mean processor time that one process spends on one request."""

    name: str
    cpu_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that the benchmark generates.

    :param requests: requests for each path and number of connections, in
        all rounds together.
    :param rounds: rounds for each path; the paths alternate.
    """

    requests: int
    rounds: int


class HopBenchmark:
    """Benchmark against one cluster with one worker."""

    def __init__(self, cluster: cluster_module.Cluster, load: Load) -> None:
        self._cluster = cluster
        self._load = load

    def measure_paths(self, connections: int) -> list[PathFigures]:
        """Send requests alternately on both paths."""
        return asyncio.run(self._measure_paths(connections))

    def measure_cost(self, connections: int) -> list[RequestCost]:
        """Measure each process while requests go through the entry."""
        before = self._cpu_s_by_process()
        asyncio.run(self._send_through_entry(connections))
        after = self._cpu_s_by_process()
        return [
            RequestCost(
                name,
                (after[name] - cpu_s) * _MS_PER_S / self._load.requests,
            )
            for name, cpu_s in before.items()
        ]

    def measure_processes(self, idle_s: float) -> list[ProcessFigures]:
        """Measure each process while no requests are sent."""
        before = self._cpu_s_by_process()
        started_s = time.monotonic()
        time.sleep(idle_s)
        elapsed_s = time.monotonic() - started_s
        return [
            ProcessFigures(
                name,
                process.resident_mb(),
                (process.cpu_s() - before[name]) / elapsed_s * _PERCENT,
            )
            for name, process in self._cluster.process_by_name.items()
        ]

    def _cpu_s_by_process(self) -> dict[str, float]:
        processes = self._cluster.process_by_name
        return {name: process.cpu_s() for name, process in processes.items()}

    async def _send_through_entry(self, connections: int) -> None:
        client = self._entry_caller()
        await client.closed_loop(
            self._make_request_spec, self._load.requests, connections
        )
        await client.close()

    def _entry_caller(self) -> caller.Caller:
        plan = self._cluster.plan
        account = plan.deployment.accounts[0]
        return caller.Caller.from_token(
            [plan.entries[0].callers_address], deployments.token_of(account)
        )

    async def _measure_paths(self, connections: int) -> list[PathFigures]:
        plan = self._cluster.plan
        clients = [
            caller.Caller.from_backend(plan.agents[0].backend),
            self._entry_caller(),
        ]
        figures = await _measure_alternately(
            clients, self._make_request_spec, self._load, connections
        )
        for client in clients:
            await client.close()
        return figures

    def _make_request_spec(self) -> targets.RequestSpec:
        deployment = self._cluster.plan.deployment
        order = caller.new_order(run_ms=0)
        return targets.RequestSpec(
            deployment.service, deployment.urgent_method(), order
        )


async def _measure_alternately(
    clients: list[caller.Caller],
    make_request_spec: t.Callable[[], targets.RequestSpec],
    load: Load,
    connections: int,
) -> list[PathFigures]:
    reports = [caller.CallerReport() for _ in clients]
    elapsed_s = [0.0 for _ in clients]
    for _ in range(load.rounds):
        for index, client in enumerate(clients):
            started_s = time.monotonic()
            round_report = await client.closed_loop(
                make_request_spec, load.requests // load.rounds, connections
            )
            elapsed_s[index] += time.monotonic() - started_s
            for reply in round_report.replies:
                reports[index].add(reply)
    return [
        _path_figures(path, connections, report, elapsed)
        for path, report, elapsed in zip(
            _PATHS, reports, elapsed_s, strict=True
        )
    ]


def _path_figures(
    path: str, connections: int, report: caller.CallerReport, elapsed_s: float
) -> PathFigures:
    finished = [
        reply
        for reply in report.replies
        if reply.status == 200 and not reply.fault
    ]
    return PathFigures(
        path,
        connections,
        len(finished) / elapsed_s,
        report.percentile_ms(50),
        report.percentile_ms(99),
        len(report.replies) - len(finished),
    )


def _print_paths(figures: list[PathFigures]) -> None:
    for figure in figures:
        print(
            f'{figure.connections:>11}  {figure.path:<17} '
            f'{figure.rate_per_s:>9.0f}  {figure.p50_ms:>7.2f}  '
            f'{figure.p99_ms:>7.2f}  {figure.failures:>8}'
        )
    direct, through_entry = figures
    print(
        f'{"":>11}  {"added by the hop":<17} {"":>9}  '
        f'{through_entry.p50_ms - direct.p50_ms:>7.2f}  '
        f'{through_entry.p99_ms - direct.p99_ms:>7.2f}'
    )


def main(
    deployment: str = 'akwaboa',
    *,
    examples: str = 'examples',
    requests: int = 2_000,
    rounds: int = 4,
    idle_s: float = 10.0,
) -> None:
    """Print latencies and rates of both paths, and cost of each process.

    Exits with 1 when a request did not get its right answer.

    :param deployment: name of a directory under the examples.
    :param examples: directory that holds the deployments.
    :param requests: requests for each path and number of connections.
    :param rounds: how often the two paths take turns.
    :param idle_s: how long the idle processes are watched.
    """
    loaded = deployments.Deployment.from_directory(
        pathlib.Path(examples) / deployment
    )
    cluster = cluster_module.Cluster.start(
        loaded, worker_count=1, entry_count=1
    )
    failures = 0
    try:
        benchmark = HopBenchmark(cluster, Load(requests, rounds))
        # Warm-up; these figures are discarded.
        benchmark.measure_paths(connections=1)
        print('connections  path               requests/s   p50 ms   p99 ms')
        for connections in (1, 2, 4, 8):
            figures = benchmark.measure_paths(connections)
            failures += sum(figure.failures for figure in figures)
            _print_paths(figures)
        print()
        print('process                       CPU ms a request')
        for cost in benchmark.measure_cost(connections=4):
            print(f'{cost.name:<28} {cost.cpu_ms:>17.2f}')
        print()
        print('process                       resident MB  idle CPU %')
        for process in benchmark.measure_processes(idle_s):
            print(
                f'{process.name:<28} {process.resident_mb:>12.1f}  '
                f'{process.idle_cpu_percent:>10.2f}'
            )
    finally:
        cluster.kill_all()
    sys.exit(1 if failures else 0)


if __name__ == '__main__':
    defopt.run(main)
