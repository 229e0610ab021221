"""Test fleet of separate processes on loopback."""

import asyncio
import json
import pathlib
import signal
import tempfile
import typing as t

from result import Result

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.identity import Address

from . import deployments
from . import fleet
from . import operators
from . import ports
from . import processes
from . import readiness
from . import runs

_START_TIMEOUT_S = 20.0
_READY_TIMEOUT_MS = 20_000
_CALL_TIMEOUT_MS = 5_000


class Cluster:
    """Processes of a fleet by name; construct it with :meth:`start`.

    The names are ``store``, ``entry-N``, for agents the name of the worker,
    ``backend-WORKER``, ``platform-WORKER`` and ``relay-ENTRY``.

    :ivar plan: addresses and settings of all processes.
    :ivar process_by_name: all processes, including those that have exited.
    :ivar is_ready: all processes have started and all agents are connected.
    """

    def __init__(self, plan: fleet.FleetPlan) -> None:
        self.plan = plan
        self.process_by_name: dict[str, processes.ChildProcess] = {}
        self.is_ready = False
        self._directory = tempfile.TemporaryDirectory(prefix='mulberryloom-')

    @classmethod
    def start(
        cls,
        deployment: deployments.Deployment,
        *,
        worker_count: int | None = None,
        entry_count: int = 2,
        is_relayed: bool = False,
    ) -> 'Cluster':
        """Start all processes, apply the ticket and wait for all agents.

        :param worker_count: number of workers to start; all by default.
        :param is_relayed: put a relay in front of each entry.
        """
        plan = fleet.FleetPlan.from_deployment(
            deployment,
            ports.PortPool(),
            entry_count=entry_count,
            is_relayed=is_relayed,
        )
        if worker_count is not None:
            del plan.agents[worker_count:]
        cluster = cls(plan)
        try:
            cluster._start_all()
            cluster.is_ready = True
        except TimeoutError as error:
            raise TimeoutError(f'{error}\n{cluster.exit_reports()}') from error
        finally:
            if not cluster.is_ready:
                cluster.kill_all()
        return cluster

    @property
    def caller_addresses(self) -> list[Address]:
        """Addresses of the entries' HTTP servers for callers."""
        return [entry.callers_address for entry in self.plan.entries]

    def exit_reports(self) -> str:
        """Return exit code and last output of each process that has exited."""
        return '\n'.join(
            f'{name} exited with code {process.exit_code}:\n'
            f'{process.last_output()}'
            for name, process in self.process_by_name.items()
            if process.exit_code is not None
        )

    def kill_all(self) -> None:
        """Kill all running processes and delete their settings."""
        for process in self.process_by_name.values():
            process.kill()
        self._directory.cleanup()

    def start_entry(self, entry: fleet.EntryPlan) -> None:
        """Start an entry and wait until it serves callers and operators."""
        self._start_entry(entry)
        self._wait_for_entry(entry)

    def start_agent(self, agent: fleet.AgentPlan) -> None:
        """Start an agent and wait until it listens for its backend server."""
        process = self._start_with_settings(
            agent.location.worker, 'mulberryloom_agent', agent.settings
        )
        process.wait_until_listening(agent.backend_listen, _START_TIMEOUT_S)

    def set_store_faults(self, **faults: t.Any) -> None:
        """Set the injected faults of the store; others are off."""
        self._post(self.plan.store, '/standin/faults', faults)

    def fetch_store_faults(self) -> dict[str, t.Any]:
        """Return the injected faults of the store."""
        request = http_types.HttpRequest('GET', '/standin/faults')
        return json.loads(_call(self.plan.store, request).unwrap().body)

    def set_backend_faults(self, worker: str, **faults: t.Any) -> None:
        """Set the injected faults of a backend server; others are off."""
        self._post(self.agent(worker).backend, '/standin/faults', faults)

    def drop_relayed_data(self, direction: str) -> int:
        """Drop further data on the open connections of all relays.

        :param direction: ``both``, ``to_target`` (the entry) or ``to_client``.
        :returns: number of affected connections.
        """
        connection_count = 0
        for entry in self.plan.entries:
            if entry.relay is not None:
                body = self._post(
                    entry.relay.control,
                    '/standin/swallow',
                    {'direction': direction},
                )
                connection_count += json.loads(body)['connections']
        return connection_count

    def agent(self, worker: str) -> fleet.AgentPlan:
        """Return the plan of a worker; raise ``KeyError`` if it is unknown."""
        for agent in self.plan.agents:
            if agent.location.worker == worker:
                return agent
        raise KeyError(worker)

    def fetch_runs(self) -> list[runs.Run]:
        """Return the runs of all backend servers that are running."""
        all_runs = []
        for agent in self.plan.agents:
            name = f'backend-{agent.location.worker}'
            if self.process_by_name[name].exit_code is None:
                request = http_types.HttpRequest('GET', '/standin/runs')
                response = _call(agent.backend, request).unwrap()
                all_runs += runs.from_json(response.body)
        return all_runs

    def wait_until_ready(self) -> None:
        """Wait until each running entry is connected to each running agent.

        :raises TimeoutError: after ``_READY_TIMEOUT_MS``.
        """
        running_workers = [
            agent.location.worker
            for agent in self.plan.agents
            if self.process_by_name[agent.location.worker].exit_code is None
        ]
        entries = [
            entry.operators_address
            for entry in self.plan.entries
            if self.process_by_name[entry.name].exit_code is None
        ]
        asyncio.run(
            readiness.wait_for_workers(
                entries, running_workers, _READY_TIMEOUT_MS
            )
        )

    def apply_ticket(self, ticket: dict[str, t.Any], token: str) -> None:
        """Apply a ticket at the first entry and wait until it is accepted."""

        async def apply() -> None:
            operator = operators.OperatorClient.from_token(token)
            await operator.apply_until_accepted(
                self.plan.entries[0].operators_address,
                ticket,
                _READY_TIMEOUT_MS,
            )
            await operator.close()

        asyncio.run(apply())

    def _start_all(self) -> None:
        store = self._start(
            'store',
            [
                'mulberryloom_standins.store',
                '--port',
                str(self.plan.store.port),
            ],
        )
        store.wait_until_listening(self.plan.store, _START_TIMEOUT_S)
        for entry in self.plan.entries:
            self._start_entry(entry)
        for agent in self.plan.agents:
            self._start_worker(agent)
        for entry in self.plan.entries:
            self._wait_for_entry(entry)
        self.apply_ticket(
            self.plan.deployment.ticket, deployments.BOOTSTRAP_TOKEN
        )
        self.wait_until_ready()

    def _start_relay(
        self, entry: fleet.EntryPlan, relay: fleet.RelayPlan
    ) -> None:
        process = self._start(
            f'relay-{entry.name}',
            [
                'mulberryloom_standins.relay',
                *('--target', str(entry.peers_address)),
                *('--control-port', str(relay.control.port)),
                *('--port', str(relay.listen.port)),
            ],
        )
        process.wait_until_listening(relay.control, _START_TIMEOUT_S)

    def _start_entry(self, entry: fleet.EntryPlan) -> None:
        if entry.relay is not None:
            self._start_relay(entry, entry.relay)
        self._start_with_settings(
            entry.name, 'mulberryloom_entry', entry.settings
        )

    def _wait_for_entry(self, entry: fleet.EntryPlan) -> None:
        process = self.process_by_name[entry.name]
        process.wait_until_listening(entry.callers_address, _START_TIMEOUT_S)
        process.wait_until_listening(entry.operators_address, _START_TIMEOUT_S)

    def _start_worker(self, agent: fleet.AgentPlan) -> None:
        worker = agent.location.worker
        capacity = self.plan.deployment.worker_capacity
        self._start(
            f'backend-{worker}',
            [
                'mulberryloom_standins.backend',
                *('--worker', worker),
                *('--agent', str(agent.backend_listen)),
                *('--services', self.plan.deployment.service),
                *('--port', str(agent.backend.port)),
                *('--slots', str(capacity['slots'])),
                *('--accelerators', str(capacity['accelerators'])),
                *('--processors', str(capacity['processors'])),
                *('--memory-mb', str(capacity['memory_mb'])),
            ],
        )
        self._start(
            f'platform-{worker}',
            [
                'mulberryloom_standins.platform',
                *('--backend', str(agent.backend)),
                *('--port', str(agent.platform.port)),
            ],
        )
        self._start_with_settings(worker, 'mulberryloom_agent', agent.settings)

    def _start_with_settings(
        self, name: str, module: str, settings: dict[str, t.Any]
    ) -> processes.ChildProcess:
        path = pathlib.Path(self._directory.name) / f'{name}.json'
        path.write_text(json.dumps(settings))
        return self._start(name, [module, 'serve', '--settings', str(path)])

    def _start(
        self, name: str, arguments: list[str]
    ) -> processes.ChildProcess:
        directory = pathlib.Path(self._directory.name)
        process = processes.ChildProcess.start(name, arguments, directory)
        self.process_by_name[name] = process
        return process

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.process_by_name[name].send(signal_number)

    def _post(
        self, address: Address, path: str, body: dict[str, t.Any]
    ) -> bytes:
        request = http_types.HttpRequest(
            'POST', path, body=json.dumps(body).encode()
        )
        response = _call(address, request).unwrap()
        assert response.status < 300, response
        return response.body


def _call(
    address: Address, request: http_types.HttpRequest
) -> Result[http_types.HttpResponse, exceptions.Error]:
    async def call() -> Result[http_types.HttpResponse, exceptions.Error]:
        client = http_client.HttpClient.from_limits()
        try:
            return await client.call(address, request, _CALL_TIMEOUT_MS)
        finally:
            await client.close()

    return asyncio.run(call())
