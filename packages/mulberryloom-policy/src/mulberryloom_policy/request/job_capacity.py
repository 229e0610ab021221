"""Resources that one job may take on each worker."""

import typing as t

from mulberryloom_core import shapes

from .. import decisions
from . import gangs

if t.TYPE_CHECKING:
    from ..process import environment
    from ..process import fleet


def elementwise_min(
    first: shapes.Resources, second: shapes.Resources
) -> shapes.Resources:
    """Return the smaller value of each amount."""
    return shapes.Resources(
        min(first.slots, second.slots),
        min(first.accelerators, second.accelerators),
        min(first.processors, second.processors),
        min(first.memory_mb, second.memory_mb),
    )


def clamp_at_zero(amounts: shapes.Resources) -> shapes.Resources:
    """Return the amounts with negative values raised to zero."""
    return shapes.Resources(
        max(amounts.slots, 0),
        max(amounts.accelerators, 0),
        max(amounts.processors, 0),
        max(amounts.memory_mb, 0),
    )


class JobCapacity:
    """Resources that one job may take now on each worker.

    A non-preemptible job may take only the guaranteed part of its account
    and capacity that is guaranteed to no account. No job may take:

    - unused guaranteed parts of accounts that other owners report as below
      their guarantee;
    - headroom for urgent jobs, unless it is urgent;
    - resources reserved for a gang, unless the job is urgent, was submitted
      before the gang, or is expected to end before the gang starts
      (backfill).

    :param avoided_workers: names of workers that the job must not use.
    """

    __slots__ = (
        '_accounts_below_guarantee',
        '_avoided_workers',
        '_can_backfill',
        '_env',
        '_job',
    )

    def __init__(
        self,
        env: 'environment.Environment',
        job: decisions.Job,
        avoided_workers: frozenset[str],
        now_ms: int,
    ) -> None:
        self._env = env
        self._job = job
        self._avoided_workers = avoided_workers
        self._accounts_below_guarantee = env.other_accounts_below_guarantee(
            job.account
        )
        self._can_backfill = self._is_backfill_allowed(now_ms)

    def may_use(self, worker: 'fleet.Worker') -> bool:
        """Tell whether the job may run on a worker, by service and health."""
        return (
            worker.is_open
            and self._job.service in worker.services
            and worker.name not in self._avoided_workers
        )

    def free(self, worker: 'fleet.Worker') -> shapes.Resources:
        """Return the resources that the job may take on a worker.

        Amounts are negative where more is used or withheld than the worker
        has.
        """
        free = worker.free
        if not self._job.is_stoppable:
            free = elementwise_min(free, self.non_preemptible_capacity(worker))
        for account in self._accounts_below_guarantee:
            part = self._env.packing.part(worker.name, account)
            free -= clamp_at_zero(part - worker.used(account))
        if self._job.request_class is not shapes.RequestClass.URGENT:
            free -= self._env.headroom.reserved(worker)
        reservation = self._env.reservation
        if reservation is not None and not self._can_backfill:
            needed = reservation.needed_by_worker.get(worker.name)
            if needed is not None:
                free -= needed
        return free

    def non_preemptible_capacity(
        self, worker: 'fleet.Worker'
    ) -> shapes.Resources:
        """Return the resources left for the account's non-preemptible jobs."""
        account = self._job.account
        parts = self._env.packing.parts_by_worker.get(worker.name, {})
        left = worker.capacity - worker.non_preemptible(account)
        for name, part in parts.items():
            if name != account:
                left -= part
        for name, held in worker.non_preemptible_by_account.items():
            if name != account:
                left -= clamp_at_zero(
                    held - parts.get(name, shapes.Resources())
                )
        return left

    def unused_part(self, worker: 'fleet.Worker') -> shapes.Resources:
        """Return the unused guaranteed part of the account on a worker."""
        account = self._job.account
        part = self._env.packing.part(worker.name, account)
        return part - worker.used(account)

    def free_capacity(self, worker: 'fleet.Worker') -> gangs.FreeCapacity:
        """Return the resources that the job may take, with the worker."""
        return gangs.FreeCapacity(worker.name, self.free(worker))

    def _is_backfill_allowed(self, now_ms: int) -> bool:
        """Tell whether the job may use resources reserved for a gang.

        Urgent jobs and jobs that were submitted before the gang are not
        held up by its reservation.
        """
        reservation = self._env.reservation
        if reservation is None:
            return True
        if self._job.submitted_ms <= reservation.submitted_ms:
            return True
        if self._job.request_class is shapes.RequestClass.URGENT:
            return True
        return now_ms + self._env.run_ms(self._job) <= reservation.start_ms
