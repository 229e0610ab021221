"""Plan of a test fleet on loopback: addresses and settings of all processes.

A plan starts nothing. The demo runs it in one process, :mod:`.cluster` in
separate processes.
"""

import dataclasses
import typing as t

from mulberryloom_core.identity import Address

from . import deployments
from . import ports


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPlan:
    """Relay in front of the peer listener of an entry.

    :param listen: address that agents and other entries connect to.
    :param control: address of the HTTP server that controls the relay.
    """

    listen: Address
    control: Address

    @classmethod
    def from_pool(cls, pool: ports.PortPool) -> 'RelayPlan':
        """Plan a relay with two free addresses."""
        return cls(pool.take(), pool.take())


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPlan:
    """One entry.

    :param callers_address: address of the HTTP server for callers.
    :param operators_address: address of the HTTP server for operators.
    :param peers_address: listening address for agents and other entries.
    :param relay: relay in front of ``peers_address``, if there is one.
    :param settings: complete settings document.
    """

    name: str
    callers_address: Address
    operators_address: Address
    peers_address: Address
    relay: RelayPlan | None
    settings: dict[str, t.Any]

    @property
    def advertised(self) -> Address:
        """Address that agents and other entries connect to."""
        return self.peers_address if self.relay is None else self.relay.listen


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPlan:
    """One worker: agent, backend server and platform control.

    :param peers_address: listening address of the agent for entries and
        agents.
    :param backend_listen: listening address of the agent for its backend
        server.
    :param backend: address of the backend server.
    :param platform: address of the platform's worker control.
    :param settings: complete settings document of the agent.
    """

    location: deployments.WorkerLocation
    peers_address: Address
    backend_listen: Address
    backend: Address
    platform: Address
    settings: dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class JobWorkerPlan:
    """One worker that runs tasks of jobs, and its agent.

    :param worker: listening address of the worker for its agent.
    :param backend_listen: listening address of the agent for its worker.
    :param settings: complete settings document of the agent.
    """

    name: str
    worker: Address
    backend_listen: Address
    settings: dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """All processes of a test fleet.

    :param store: address of the store.
    :param job_workers: workers that run tasks of jobs; may be empty.
    """

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
        """Plan entries round-robin over the data centres, and all agents.

        :param is_relayed: put a relay in front of each entry.
        :param job_worker_count: number of workers for jobs; with 0, the
            entries do not accept jobs.
        """
        store = pool.take()
        entries = [
            _plan_entry(deployment, pool, number, store, is_relayed)
            for number in range(1, entry_count + 1)
        ]
        _set_peer_entries(entries)
        advertised = [str(entry.advertised) for entry in entries]
        agents = [
            _plan_agent(deployment, pool, location, advertised)
            for location in deployment.worker_locations
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
    callers_address = pool.take()
    operators_address = pool.take()
    peers_address = pool.take()
    settings = deployment.entry_settings(
        name=name,
        data_centre=data_centres[(number - 1) % len(data_centres)],
        listen=str(callers_address),
        operators_listen=str(operators_address),
        peers_listen=str(peers_address),
        store=[str(store)],
    )
    relay = RelayPlan.from_pool(pool) if is_relayed else None
    if relay is not None:
        settings['peers_advertise'] = str(relay.listen)
    return EntryPlan(
        name,
        callers_address,
        operators_address,
        peers_address,
        relay,
        settings,
    )


def _set_peer_entries(entries: list[EntryPlan]) -> None:
    """Set the addresses of the other entries in each entry's settings."""
    for entry in entries:
        entry.settings['entries'] = [
            str(other.advertised) for other in entries if other is not entry
        ]


def _plan_job_entries(
    entries: list[EntryPlan], pool: ports.PortPool
) -> list[str]:
    """Enable jobs in the entries' settings; return their job addresses."""
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
    location = deployment.worker_locations[0]
    settings = deployment.agent_settings(
        worker=name,
        data_centre=location.data_centre,
        rack=location.rack,
        listen=str(pool.take()),
        backend_listen=str(backend_listen),
        entries=job_entries,
        jobs={'worker': str(worker), 'entries': job_entries},
    )
    return JobWorkerPlan(name, worker, backend_listen, settings)


def _plan_agent(
    deployment: deployments.Deployment,
    pool: ports.PortPool,
    location: deployments.WorkerLocation,
    entries: list[str],
) -> AgentPlan:
    peers_address = pool.take()
    backend_listen = pool.take()
    backend = pool.take()
    platform = pool.take()
    settings = deployment.agent_settings(
        worker=location.worker,
        data_centre=location.data_centre,
        rack=location.rack,
        listen=str(peers_address),
        backend_listen=str(backend_listen),
        entries=entries,
        platform=str(platform),
    )
    return AgentPlan(
        location, peers_address, backend_listen, backend, platform, settings
    )
