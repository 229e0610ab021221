"""Reservation for the oldest gang that does not fit now.

The workers that are expected to be free soonest are reserved for it. Jobs
submitted later may be backfilled there only if they are expected to end
before the gang starts.
"""

import dataclasses
import typing as t

from mulberryloom_core import shapes

from .. import decisions
from ..request import gangs
from ..request import job_capacity

if t.TYPE_CHECKING:
    from . import environment
    from . import fleet as fleets

# Workers examined, freest first, for a gang that has to run on one worker.
MAX_WORKERS_EXAMINED = 48
# Racks examined, freest first, for a gang that has to run in one rack.
MAX_RACKS_EXAMINED = 24
# Minimum age at which a reservation is computed again, unless one of its
# workers is lost.
REFRESH_INTERVAL_MS = 5_000
# A reservation is replaced if another reservation shortens the wait to less
# than this share.
SOONER_SHARE = 0.8


@dataclasses.dataclass(slots=True)
class Reservation:
    """Workers and time at which a gang is expected to start.

    :param submitted_ms: when the gang was submitted; jobs submitted
        before it may use the reserved workers.
    :param needed_by_worker: resources that its members will use.
    :param start_ms: predicted time of its start.
    :param computed_ms: when the reservation was computed.
    """

    request_id: str
    submitted_ms: int
    needed_by_worker: dict[str, shapes.Resources]
    start_ms: int
    computed_ms: int


@dataclasses.dataclass(slots=True)
class _WorkerCapacity:
    """Resources that are free on a worker at the simulated time.

    :param limit: most resources that the job may use; ``None`` without a
        limit.
    """

    free: shapes.Resources
    limit: shapes.Resources | None

    def usable(self) -> shapes.Resources:
        if self.limit is None:
            return self.free
        return job_capacity.elementwise_min(self.free, self.limit)


@dataclasses.dataclass(slots=True)
class _Release:
    """Expected end of the work of one hold."""

    at_ms: int
    worker: str
    freed: shapes.Resources


def reserve(
    env: 'environment.Environment', job: decisions.Job, now_ms: int
) -> Reservation | None:
    """Return the reservation of a job with the earliest start, if any."""
    found = [
        reservation
        for workers in _candidate_sets(env, job)
        if (reservation := _reserve_on(env, job, workers, now_ms))
    ]
    return min(
        found, key=lambda reservation: reservation.start_ms, default=None
    )


def refreshed(
    env: 'environment.Environment', job: decisions.Job, now_ms: int
) -> Reservation | None:
    """Return the current reservation of a job, or a new one.

    It moves to other workers only when its own no longer suffice or when
    the gang would start clearly earlier there.
    """
    current = env.reservation
    if current is None or current.request_id != job.request_id:
        return reserve(env, job, now_ms)
    names = list(current.needed_by_worker)
    is_intact = all(
        name in env.fleet.workers_by_name
        and env.fleet.workers_by_name[name].is_open
        for name in names
    )
    if is_intact and now_ms - current.computed_ms < REFRESH_INTERVAL_MS:
        return current
    candidate = reserve(env, job, now_ms)
    if candidate is None or not is_intact:
        return candidate
    workers = [env.fleet.workers_by_name[name] for name in names]
    updated = _reserve_on(env, job, workers, now_ms)
    if updated is None:
        return candidate
    if (
        candidate.start_ms - now_ms
        < (updated.start_ms - now_ms) * SOONER_SHARE
    ):
        return candidate
    return updated


def _candidate_sets(
    env: 'environment.Environment', job: decisions.Job
) -> t.Iterator[list['fleets.Worker']]:
    """Yield sets of workers that satisfy the adjacency of a gang."""
    adjacency = job.demand.adjacency
    fleet = env.fleet
    if adjacency is shapes.Adjacency.WORKER:
        workers = _eligible_workers(env, job)
        for worker in workers[:MAX_WORKERS_EXAMINED]:
            yield [worker]
        return
    if adjacency is shapes.Adjacency.RACK:
        racks = sorted(
            fleet.names_by_rack,
            key=lambda rack: (-fleet.free_by_rack[rack], rack),
        )
        for rack in racks[:MAX_RACKS_EXAMINED]:
            yield _eligible(fleet.rack_workers(rack), job)
        return
    yield _eligible_workers(env, job)[: 4 * job.demand.accelerators]


def _eligible_workers(
    env: 'environment.Environment', job: decisions.Job
) -> list['fleets.Worker']:
    workers = _eligible(env.fleet.workers_by_name.values(), job)
    workers.sort(key=lambda worker: (-worker.free.accelerators, worker.name))
    return workers


def _eligible(
    workers: t.Iterable['fleets.Worker'], job: decisions.Job
) -> list['fleets.Worker']:
    return [
        worker
        for worker in workers
        if worker.is_open and job.service in worker.services
    ]


def _reserve_on(
    env: 'environment.Environment',
    job: decisions.Job,
    workers: list['fleets.Worker'],
    now_ms: int,
) -> Reservation | None:
    """Simulate the expected ends of running work until the job fits."""
    capacities_by_worker = {
        worker.name: _WorkerCapacity(
            worker.free, _non_preemptible_limit(env, job, worker)
        )
        for worker in workers
    }
    count_by_worker = {
        name: gangs.usable_accelerators(job.demand, capacity.usable())
        for name, capacity in capacities_by_worker.items()
    }
    total = sum(count_by_worker.values())
    start_ms = now_ms
    for release in _expected_releases(env, workers, now_ms):
        if total >= job.demand.accelerators:
            break
        capacity = capacities_by_worker[release.worker]
        capacity.free += release.freed
        count = gangs.usable_accelerators(job.demand, capacity.usable())
        total += count - count_by_worker[release.worker]
        count_by_worker[release.worker] = count
        start_ms = release.at_ms
    if total < job.demand.accelerators:
        return None
    placements = gangs.split(
        job.demand,
        [
            gangs.FreeCapacity(name, capacity.usable())
            for name, capacity in capacities_by_worker.items()
        ],
    )
    needed = {
        placement.worker: job.demand.member(placement.accelerators)
        for placement in placements
    }
    return Reservation(
        job.request_id, job.submitted_ms, needed, start_ms, now_ms
    )


def _non_preemptible_limit(
    env: 'environment.Environment',
    job: decisions.Job,
    worker: 'fleets.Worker',
) -> shapes.Resources | None:
    """Return the most resources of a worker for non-preemptible work.

    They are its capacity less the guaranteed parts of other accounts.
    Preemptible work has no limit.
    """
    if job.is_stoppable:
        return None
    limit = worker.capacity
    parts = env.packing.parts_by_worker.get(worker.name, {})
    for account, part in parts.items():
        if account != job.account:
            limit -= part
    return limit


def _expected_releases(
    env: 'environment.Environment',
    workers: list['fleets.Worker'],
    now_ms: int,
) -> list[_Release]:
    """Return the expected ends of the holds on some workers, in order."""
    releases = [
        _Release(env.end_ms(hold, now_ms), worker.name, hold.resources)
        for worker in workers
        for hold in worker.holds_by_id.values()
    ]
    releases.sort(key=lambda release: release.at_ms)
    return releases
