"""Embedded fleet: all parts in one process and one event loop."""

import asyncio
import typing as t

import mulberryloom_agent
from mulberryloom_core import shapes
import mulberryloom_entry

from .. import backend
from .. import deployments
from .. import fleet
from .. import operators
from .. import platform
from .. import readiness
from .. import runs
from . import step_jobs
from ..store import server as store_server

_READY_TIMEOUT_MS = 20_000


class _EmbeddedProcess(t.Protocol):
    """Interface of an entry or agent for the embedding process."""

    async def run(self) -> None:
        """Serve until a requested stop is complete."""

    def request_stop(self) -> None:
        """Start a graceful stop."""


class EmbeddedFleet:
    """Running parts of a fleet; construct it with :meth:`start`."""

    def __init__(self, plan: fleet.FleetPlan) -> None:
        self.plan = plan
        self._store = store_server.StoreServer.from_clock()
        self._backends: list[backend.BackendServer] = []
        self._platforms: list[platform.PlatformServer] = []
        self._entries: list[_EmbeddedProcess] = []
        self._agents: list[_EmbeddedProcess] = []
        self._tasks: list[asyncio.Task[None]] = []
        #: Workers for jobs; none until the fleet has started.
        self.job_workers = step_jobs.EmbeddedJobWorkers()

    @classmethod
    async def start(cls, plan: fleet.FleetPlan) -> 'EmbeddedFleet':
        """Start all parts, apply the ticket and wait for all agents."""
        embedded = cls(plan)
        await embedded._store.listen(plan.store)
        for entry_plan in plan.entries:
            embedded._start_entry(entry_plan)
        for agent_plan in plan.agents:
            embedded._start_agent(agent_plan)
            await embedded._start_backend(agent_plan)
        await embedded._apply_ticket()
        await readiness.wait_for_workers(
            [entry.operators_address for entry in plan.entries],
            [agent.location.worker for agent in plan.agents],
            _READY_TIMEOUT_MS,
        )
        embedded.job_workers = await step_jobs.EmbeddedJobWorkers.start(plan)
        return embedded

    async def stop(self) -> None:
        """Stop all parts gracefully, agents before entries."""
        await self.job_workers.stop()
        for server in self._backends:
            await server.stop()
        for process in [*self._agents, *self._entries]:
            process.request_stop()
        await asyncio.gather(*self._tasks)
        for control in self._platforms:
            await control.stop()
        await self._store.stop()

    def runs(self) -> list[runs.Run]:
        """Return the runs of all backend servers."""
        return [run for server in self._backends for run in server.log.runs]

    def _start_entry(self, plan: fleet.EntryPlan) -> None:
        settings = mulberryloom_entry.EntrySettings.from_document(
            plan.settings
        )
        entry = mulberryloom_entry.EntryProcess.from_settings(settings)
        self._entries.append(entry)
        self._tasks.append(asyncio.create_task(entry.run()))

    def _start_agent(self, plan: fleet.AgentPlan) -> None:
        settings = mulberryloom_agent.AgentSettings.from_document(
            plan.settings
        )
        agent = mulberryloom_agent.AgentProcess.from_settings(settings)
        self._agents.append(agent)
        self._tasks.append(asyncio.create_task(agent.run()))

    async def _start_backend(self, plan: fleet.AgentPlan) -> None:
        deployment = self.plan.deployment
        spec = backend.BackendSpec(
            plan.location.worker,
            plan.backend_listen,
            [deployment.service],
            shapes.Resources(**deployment.worker_capacity),
        )
        server = backend.BackendServer.from_spec(spec)
        await server.listen(plan.backend)
        self._backends.append(server)
        control = platform.PlatformServer.from_backend(plan.backend)
        await control.listen(plan.platform)
        self._platforms.append(control)

    async def _apply_ticket(self) -> None:
        operator = operators.OperatorClient.from_token(
            deployments.BOOTSTRAP_TOKEN
        )
        await operator.apply_until_accepted(
            self.plan.entries[0].operators_address,
            self.plan.deployment.ticket,
            _READY_TIMEOUT_MS,
        )
        await operator.close()
