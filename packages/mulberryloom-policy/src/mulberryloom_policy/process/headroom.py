"""Headroom: resources reserved for urgent work.

Urgent work has to start at once, but preemption takes a checkpoint grace
period. An account that ran urgent tasks recently therefore has resources
reserved in its guaranteed part: for as many tasks as ran concurrently at
the recent peak, which decays, and a few more. Only urgent work may use
them.
"""

import dataclasses
import math
import typing as t

from mulberryloom_core import shapes

from ..version import packing as packings

if t.TYPE_CHECKING:
    from . import fleet as fleets

# Half-life of the recent peak of urgent tasks.
HALF_LIFE_MS = 600_000
# Tasks for which resources are reserved beyond the recent peak.
SPARE_TASKS = 2
NOTHING = shapes.Resources()


@dataclasses.dataclass(slots=True)
class _Peak:
    """Peak of the concurrent urgent tasks of one account.

    :param count: number of tasks at the time ``at_ms``.
    :param at_ms: when it was observed.
    :param resources: of the largest urgent task of the account.
    """

    count: float
    at_ms: int
    resources: shapes.Resources

    def decayed(self, now_ms: int) -> float:
        return self.count * 0.5 ** ((now_ms - self.at_ms) / HALF_LIFE_MS)


class Headroom:
    """Resources reserved on each worker for urgent work of accounts."""

    __slots__ = (
        '_packing',
        '_peak_by_account',
        '_task_count_by_account',
        '_task_counts_by_worker',
    )

    def __init__(self) -> None:
        self._task_counts_by_worker: dict[str, dict[str, int]] = {}
        self._packing: packings.Packing | None = None
        self._peak_by_account: dict[str, _Peak] = {}
        self._task_count_by_account: dict[str, int] = {}

    def observe(
        self,
        fleet: 'fleets.Fleet',
        packing: packings.Packing,
        now_ms: int,
    ) -> None:
        """Update the peaks from the running work and renew the headroom."""
        for account, count in fleet.urgent_count_by_account.items():
            peak = self._peak_by_account.get(account)
            if peak is None or peak.decayed(now_ms) < count:
                resources = fleet.largest_urgent_by_account[account]
                self._peak_by_account[account] = _Peak(
                    count, now_ms, resources
                )
        task_counts = {
            account: self._reserved_tasks(peak, now_ms)
            for account, peak in self._peak_by_account.items()
        }
        if (
            task_counts != self._task_count_by_account
            or packing is not self._packing
        ):
            self._task_count_by_account = task_counts
            self._packing = packing
            self._distribute()

    def reserved(self, worker: 'fleets.Worker') -> shapes.Resources:
        """Return the headroom of all accounts on a worker.

        Urgent tasks that run there already are deducted.
        """
        counts = self._task_counts_by_worker.get(worker.name)
        if counts is None:
            return NOTHING
        total = NOTHING
        for account in counts:
            total += self.reserved_by(worker, account)
        return total

    def reserved_by(
        self, worker: 'fleets.Worker', account: str
    ) -> shapes.Resources:
        """Return the headroom of one account on a worker.

        Urgent tasks that run there already are deducted.
        """
        counts = self._task_counts_by_worker.get(worker.name)
        if counts is None or account not in counts:
            return NOTHING
        total = NOTHING
        free_count = counts[account] - worker.urgent_count_by_account.get(
            account, 0
        )
        for _ in range(free_count):
            total += self._peak_by_account[account].resources
        return total

    def has_headroom(self, account: str) -> bool:
        """Tell whether any headroom is reserved for an account."""
        return self._task_count_by_account.get(account, 0) > 0

    def reserved_workers(self) -> t.Iterator[tuple[str, str]]:
        """Yield each worker with headroom, once for each account."""
        for worker, counts in self._task_counts_by_worker.items():
            for account in counts:
                yield worker, account

    def _reserved_tasks(self, peak: _Peak, now_ms: int) -> int:
        """Return for how many tasks resources are reserved.

        There are none once the peak has decayed to less than half a task.
        """
        decayed = peak.decayed(now_ms)
        if decayed < 0.5:
            return 0
        return math.ceil(decayed) + SPARE_TASKS

    def _distribute(self) -> None:
        """Distribute the headroom over the guaranteed parts of the workers."""
        self._task_counts_by_worker = {}
        for account, remaining in self._task_count_by_account.items():
            resources = self._peak_by_account[account].resources
            for name in self._packing.workers_by_account.get(account, []):
                part = self._packing.part(name, account)
                count = 0
                while count < remaining and resources.fits_in(part):
                    part -= resources
                    count += 1
                if count:
                    counts = self._task_counts_by_worker.setdefault(name, {})
                    counts[account] = count
                remaining -= count
