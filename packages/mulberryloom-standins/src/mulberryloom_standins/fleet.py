"""Plan of a small fleet on loopback: who listens where, with what settings.

The plan starts nothing; the demo runs it in one process, the scenarios in
processes of their own.
"""

import dataclasses
import typing as t

from mulberryloom_core.identity import Address

from . import deployments
from . import ports


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPlan:
    """Relay in front of an entry.

    :param control: address of the relay's own HTTP.
    """

    listen: Address
    control: Address

    @classmethod
    def from_pool(cls, pool: ports.PortPool) -> 'RelayPlan':
        """Take two addresses."""
        return cls(pool.take(), pool.take())


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPlan:
    """One entry.

    :param callers: address of the callers' HTTP.
    :param operators: address of the operators' HTTP.
    :param peers: address on which it listens for agents and entries.
    :param relay: relay in front of that address; ``None`` without.
    :param settings: its whole settings document.
    """

    name: str
    callers: Address
    operators: Address
    peers: Address
    relay: RelayPlan | None
    settings: dict[str, t.Any]

    @property
    def advertised(self) -> Address:
        """Address that agents and other entries connect to."""
        return self.peers if self.relay is None else self.relay.listen


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPlan:
    """One worker: agent, backend server and platform control.

    :param peers: address of the agent for entries and other agents.
    :param backend_listen: address of the agent for its backend server.
    :param backend: address of the backend server.
    :param platform: address of the platform's worker control.
    :param settings: the agent's whole settings document.
    """

    place: deployments.WorkerPlace
    peers: Address
    backend_listen: Address
    backend: Address
    platform: Address
    settings: dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class JobWorkerPlan:
    """One worker that runs tasks of jobs, and its agent.

    :param worker: address of the worker for its agent.
    :param backend_listen: address of the agent for its worker.
    :param settings: the agent's whole settings document.
    """

    name: str
    worker: Address
    backend_listen: Address
    settings: dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Everything that a trial starts."""

    deployment: deployments.Deployment
    store: Address
    entries: list[EntryPlan]
    agents: list[AgentPlan]
    job_workers: list[JobWorkerPlan] = dataclasses.field(default_factory=list)

    @classmethod
    def from_deployment(
        cls,
        deployment: deployments.Deployment,
        pool: ports.PortPool,
        *,
        entry_count: int = 2,
        is_relayed: bool = False,
        job_worker_count: int = 0,
    ) -> 'FleetPlan':
        """Plan entries in turn over the data centres, and all agents.

        :param is_relayed: put a relay in front of each entry.
        :param job_worker_count: workers for jobs; without any, the entries
            take no jobs.
        """
        store = pool.take()
        entries = [
            _plan_entry(deployment, pool, number, store, is_relayed)
            for number in range(1, entry_count + 1)
        ]
        _introduce(entries)
        advertised = [str(entry.advertised) for entry in entries]
        agents = [
            _plan_agent(deployment, pool, place, advertised)
            for place in deployment.places
        ]
        job_workers = []
        if job_worker_count:
            job_entries = _plan_job_entries(entries, pool)
            job_workers = [
                _plan_job_worker(deployment, pool, number, job_entries)
                for number in range(1, job_worker_count + 1)
            ]
        return cls(deployment, store, entries, agents, job_workers)


def _plan_entry(
    deployment: deployments.Deployment,
    pool: ports.PortPool,
    number: int,
    store: Address,
    is_relayed: bool,
) -> EntryPlan:
    data_centres = deployment.data_centres
    name = f'entry-{number}'
    callers = pool.take()
    operators = pool.take()
    peers = pool.take()
    settings = deployment.entry_settings(
        name=name,
        data_centre=data_centres[(number - 1) % len(data_centres)],
        listen=str(callers),
        operators_listen=str(operators),
        peers_listen=str(peers),
        store=[str(store)],
    )
    relay = RelayPlan.from_pool(pool) if is_relayed else None
    if relay is not None:
        settings['peers_advertise'] = str(relay.listen)
    return EntryPlan(name, callers, operators, peers, relay, settings)


def _introduce(entries: list[EntryPlan]) -> None:
    """Put the other entries' addresses into each entry's settings."""
    for entry in entries:
        entry.settings['entries'] = [
            str(other.advertised) for other in entries if other is not entry
        ]


def _plan_job_entries(
    entries: list[EntryPlan], pool: ports.PortPool
) -> list[str]:
    """Have the entries take jobs; return their addresses for jobs."""
    addresses = [str(pool.take()) for _ in entries]
    for entry, address in zip(entries, addresses, strict=True):
        others = [other for other in addresses if other != address]
        entry.settings['jobs'] = {'listen': address, 'entries': others}
    return addresses


def _plan_job_worker(
    deployment: deployments.Deployment,
    pool: ports.PortPool,
    number: int,
    job_entries: list[str],
) -> JobWorkerPlan:
    name = f'jobs-w{number}'
    worker, backend_listen = pool.take(), pool.take()
    place = deployment.places[0]
    settings = deployment.agent_settings(
        worker=name,
        data_centre=place.data_centre,
        rack=place.rack,
        listen=str(pool.take()),
        backend_listen=str(backend_listen),
        entries=job_entries,
        jobs={'worker': str(worker), 'entries': job_entries},
    )
    return JobWorkerPlan(name, worker, backend_listen, settings)


def _plan_agent(
    deployment: deployments.Deployment,
    pool: ports.PortPool,
    place: deployments.WorkerPlace,
    entries: list[str],
) -> AgentPlan:
    peers = pool.take()
    backend_listen = pool.take()
    backend = pool.take()
    platform = pool.take()
    settings = deployment.agent_settings(
        worker=place.worker,
        data_centre=place.data_centre,
        rack=place.rack,
        listen=str(peers),
        backend_listen=str(backend_listen),
        entries=entries,
        platform=str(platform),
    )
    return AgentPlan(place, peers, backend_listen, backend, platform, settings)
