"""Admission of jobs: predicted waits, and jobs that can not run at all.

The queued work of an account is an amount of fleet time: the sum over its
jobs of the share of the fleet that a job needs times its run time, in ms.
"""

import dataclasses
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import shapes

from .. import decisions
from . import fair_share
from ..request import gangs
from ..version import packing as packings

if t.TYPE_CHECKING:
    from . import environment

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 300_000
# Waiting jobs, at most, of an account that is not configured.
DEFAULT_QUEUE_LIMIT = 1_000


def fleet_time_ms(env: 'environment.Environment', job: decisions.Job) -> float:
    """Return a job's share of the fleet times its run time, in ms."""
    demand = job.demand
    slots = 1 if demand.accelerators == 0 else _min_workers(env, demand)
    amount = shapes.Resources(
        slots, demand.accelerators, demand.processors, demand.memory_mb
    )
    share = fair_share.dominant_share(amount, env.fleet.capacity, 1)
    return min(share, 1.0) * env.run_ms(job)


def account_share(env: 'environment.Environment', account: str) -> float:
    """Return the share of the fleet that an account can expect to use.

    It is the largest of its fair share by weight, its current usage and
    its guaranteed part.
    """
    total = sum(
        max(client_account.weight, 1)
        for client_account in env.configuration.accounts_by_name.values()
    )
    weighted_share = env.weight(account) / max(total, 1)
    used = fair_share.dominant_share(
        env.fleet.used(account), env.fleet.capacity, 1
    )
    guaranteed = sum(
        (
            env.packing.part(worker, account)
            for worker in env.packing.workers_by_account.get(account, [])
        ),
        shapes.Resources(),
    )
    guaranteed_share = fair_share.dominant_share(
        guaranteed, env.fleet.capacity, 1
    )
    return max(weighted_share, used, guaranteed_share)


def predicted_wait_ms(
    env: 'environment.Environment', job: decisions.Job
) -> int:
    """Return the predicted wait, in ms, of a job that is queued now."""
    work_ahead = env.records.queue(job.account).work_ahead(job.request_class)
    if not work_ahead:
        return 0
    return int(work_ahead / account_share(env, job.account))


def admission_error(
    env: 'environment.Environment', job: decisions.Job, now_ms: int
) -> exceptions.Error | None:
    """Return the error for a new job that is refused, else ``None``.

    A job is refused when its account's queue is full or when its
    predicted wait exceeds its deadline.
    """
    account = env.configuration.accounts_by_name.get(job.account)
    limit = DEFAULT_QUEUE_LIMIT if account is None else account.queue_limit
    queue = env.records.queue(job.account)
    if len(queue) >= limit:
        return exceptions.Error.from_kind(
            exceptions.ErrorKind.QUEUE_FULL,
            f'{len(queue)} requests of account {job.account} are waiting, '
            f'the limit is {limit}',
            retry_after_ms=_retry_after_ms(
                predicted_wait_ms(env, job) // max(len(queue), 1)
            ),
        )
    wait_ms = predicted_wait_ms(env, job)
    late_ms = now_ms + wait_ms - job.deadline_at_ms
    if late_ms <= 0:
        return None
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.DEADLINE_UNREACHABLE,
        f'predicted wait of {wait_ms} ms exceeds the deadline by {late_ms} ms',
        retry_after_ms=_retry_after_ms(late_ms),
    )


def never_fits_error(
    env: 'environment.Environment', job: decisions.Job
) -> exceptions.Error | None:
    """Return the error for a job that no configured rack could run."""
    bins = packings.configured_bins(env.configuration)
    if not bins or fits_spare(job.demand, bins):
        return None
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.NEVER_FITS,
        f'the demand of {packings.describe(job.demand)} exceeds the '
        f'configured racks',
    )


def unschedulable_reason(
    env: 'environment.Environment', job: decisions.Job
) -> str | None:
    """Return why the current workers can not run a job, even when idle."""
    bins = [
        packings.Bin.from_capacity(worker.name, worker.rack, worker.capacity)
        for worker in env.fleet.workers_by_name.values()
        if worker.is_open and job.service in worker.services
    ]
    if not bins:
        return f'no healthy worker offers service {job.service}'
    if not fits_spare(job.demand, bins):
        return (
            f'the demand of {packings.describe(job.demand)} exceeds the '
            f'healthy workers that offer service {job.service}'
        )
    if job.is_stoppable:
        return None
    for empty in bins:
        parts = env.packing.parts_by_worker.get(empty.name, {})
        for account, part in parts.items():
            if account != job.account:
                empty.spare -= part
    if fits_spare(job.demand, bins):
        return None
    return (
        f'the demand of {packings.describe(job.demand)}, which can not be '
        f'preempted, exceeds the part of the fleet that is guaranteed to '
        f'account {job.account} or to no account'
    )


def fits_spare(demand: shapes.Demand, bins: list[packings.Bin]) -> bool:
    """Tell whether a demand fits the spare capacity of some bins.

    The bins that share it have to satisfy its adjacency.
    """
    if demand.accelerators == 0:
        needed = demand.member(0)
        return any(needed.fits_in(candidate.spare) for candidate in bins)
    usable_by_group: dict[str, int] = {}
    for candidate in bins:
        group = {
            shapes.Adjacency.WORKER: candidate.name,
            shapes.Adjacency.RACK: candidate.rack,
            shapes.Adjacency.ANY: '',
        }[demand.adjacency]
        count = gangs.usable_accelerators(demand, candidate.spare)
        usable_by_group[group] = usable_by_group.get(group, 0) + count
    return max(usable_by_group.values(), default=0) >= demand.accelerators


@dataclasses.dataclass(slots=True)
class SchedulabilityCache:
    """Cache of the jobs that can not run.

    It is cleared when the fleet or the configuration changes.
    """

    # Versions of the configuration and of the fleet's topology.
    _versions: tuple[int, int] = (-1, -1)
    _reason_by_key: dict[t.Any, str | None] = dataclasses.field(
        default_factory=dict
    )
    _refusal_by_demand: dict[shapes.Demand, exceptions.Error | None] = (
        dataclasses.field(default_factory=dict)
    )

    def reason(
        self, env: 'environment.Environment', job: decisions.Job
    ) -> str | None:
        """Return why a job can not run on the current workers, if so."""
        self._clear_if_outdated(env)
        key = (job.account, job.service, job.demand, job.is_stoppable)
        if key not in self._reason_by_key:
            self._reason_by_key[key] = unschedulable_reason(env, job)
        return self._reason_by_key[key]

    def never_fits_error(
        self, env: 'environment.Environment', job: decisions.Job
    ) -> exceptions.Error | None:
        """Return the error for a job that no configured rack could run."""
        self._clear_if_outdated(env)
        if job.demand not in self._refusal_by_demand:
            error = never_fits_error(env, job)
            self._refusal_by_demand[job.demand] = error
        return self._refusal_by_demand[job.demand]

    def _clear_if_outdated(self, env: 'environment.Environment') -> None:
        version = (env.configuration.version, env.fleet.topology_version)
        if self._versions != version:
            self._versions = version
            self._reason_by_key.clear()
            self._refusal_by_demand.clear()


def _min_workers(env: 'environment.Environment', demand: shapes.Demand) -> int:
    """Return the least number of workers that a gang needs."""
    largest = max(
        (
            worker.capacity.accelerators
            for worker in env.fleet.workers_by_name.values()
        ),
        default=1,
    )
    return -(-demand.accelerators // max(largest, 1))


def _retry_after_ms(wait_ms: int) -> int:
    return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
