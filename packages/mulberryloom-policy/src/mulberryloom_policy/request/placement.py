"""Search for the cheapest placement of a job that can start now."""

import itertools
import typing as t

from mulberryloom_core import shapes

from .. import decisions
from . import gangs
from . import job_capacity

if t.TYPE_CHECKING:
    from ..process import environment
    from ..process import fleet

#: Workers whose costs are compared for one member.
MAX_WORKER_CANDIDATES = 24

#: Racks whose costs are compared for one gang.
MAX_RACK_CANDIDATES = 6

# Costs are in accelerators.

#: Cost for each accelerator on a worker whose last known result is a failure.
SUSPECT_WORKER_COST = 1.0

#: Cost for each accelerator that a preemptible job takes from an unused part
#: of another account, which may reclaim it.
BORROWED_COST = 0.5

#: Cost for each accelerator of a preemptible job in its own account's part,
#: which it should leave to non-preemptible jobs.
OWN_PART_COST = 0.1

#: Cost for each accelerator of a worker that gets its first non-preemptible
#: job, outside the part of the account.
FIRST_NON_PREEMPTIBLE_COST = 0.5

#: The same for a worker that runs non-preemptible jobs already.
FURTHER_NON_PREEMPTIBLE_COST = 0.2

#: Cost for each member of a gang.
GANG_MEMBER_COST = 0.25


def may_probe(job: decisions.Job) -> bool:
    """Tell whether a job may probe a quarantined worker.

    Only idempotent jobs on a single worker may, because the probe may
    fail; urgent jobs never do.
    """
    is_single = (
        job.demand.accelerators <= 1
        or job.demand.adjacency is shapes.Adjacency.WORKER
    )
    is_urgent = job.request_class is shapes.RequestClass.URGENT
    return job.is_idempotent and is_single and not is_urgent


class Search:
    """Search for the cheapest placement of one job.

    :param capacity: resources that the job may take on each worker.
    """

    __slots__ = ('_env', '_job', '_job_capacity')

    def __init__(
        self,
        env: 'environment.Environment',
        job: decisions.Job,
        capacity: job_capacity.JobCapacity,
    ) -> None:
        self._env = env
        self._job = job
        self._job_capacity = capacity

    def find(self) -> list[decisions.Placement]:
        """Return the placements of all members; empty if not all fit."""
        demand = self._job.demand
        if demand.accelerators == 0:
            return self._find_on_one_worker()
        if demand.adjacency is shapes.Adjacency.WORKER:
            return self._find_on_one_worker()
        if demand.adjacency is shapes.Adjacency.RACK:
            return (
                self._find_in_one_rack()
                if demand.accelerators > 1
                else (self._find_on_one_worker())
            )
        return self._find_anywhere()

    def _find_on_one_worker(self) -> list[decisions.Placement]:
        demand = self._job.demand
        count = demand.accelerators
        needed = demand.member(count)
        candidates = itertools.islice(
            self._fitting_workers(needed), MAX_WORKER_CANDIDATES
        )
        best = min(
            candidates,
            key=lambda worker: self._cost(worker, needed),
            default=None,
        )
        if best is None:
            return []
        return [decisions.Placement(best.name, count)]

    def _fitting_workers(
        self, needed: shapes.Resources
    ) -> t.Iterator['fleet.Worker']:
        """Yield the workers that fit a job on one worker.

        Workers with a guaranteed part of the account come first, then the
        others, the fullest first.
        """
        checked_names: set[str] = set()
        fleet = self._env.fleet
        names_with_part = self._env.packing.workers_by_account.get(
            self._job.account, []
        )
        for name in names_with_part:
            worker = fleet.workers_by_name.get(name)
            if worker is None or worker.free.slots < 1:
                continue
            checked_names.add(name)
            if self._fits(worker, needed):
                yield worker
        for worker in fleet.open_workers(needed.accelerators):
            if worker.name not in checked_names and self._fits(worker, needed):
                yield worker

    def _fits(self, worker: 'fleet.Worker', needed: shapes.Resources) -> bool:
        return (
            needed.fits_in(worker.free)
            and self._job_capacity.may_use(worker)
            and needed.fits_in(self._job_capacity.free(worker))
        )

    def _find_in_one_rack(self) -> list[decisions.Placement]:
        """Return the cheapest placement within one rack.

        Only the racks with the fewest sufficient accelerators are compared.
        """
        fleet = self._env.fleet
        wanted = self._job.demand.accelerators
        racks = sorted(
            (free, rack)
            for rack, free in fleet.free_by_rack.items()
            if free >= wanted
        )
        splits = (
            self._split_over(fleet.rack_workers(rack)) for _, rack in racks
        )
        fitting = itertools.islice(filter(None, splits), MAX_RACK_CANDIDATES)
        return min(fitting, key=self._gang_cost, default=[])

    def _find_anywhere(self) -> list[decisions.Placement]:
        """Return the cheapest placement on one worker, in one rack or on any.

        For the latter, the freest and the fullest workers are tried first.
        """
        candidates = []
        single = self._find_on_one_worker()
        if single:
            candidates.append(single)
        if self._job.demand.accelerators == 1:
            return single
        in_rack = self._find_in_one_rack()
        if in_rack:
            candidates.append(in_rack)
        freest_first = self._fill_in_order(
            self._env.fleet.open_workers_freest_first()
        )
        if freest_first:
            candidates.append(freest_first)
        fullest_first = self._fill_in_order(self._env.fleet.open_workers(1))
        if fullest_first:
            candidates.append(fullest_first)
        return min(candidates, key=self._gang_cost, default=[])

    def _fill_in_order(
        self, workers: t.Iterable['fleet.Worker']
    ) -> list[decisions.Placement]:
        """Give each worker in turn as many accelerators as it can take.

        :return: empty if not all accelerators of the job fit.
        """
        demand = self._job.demand
        left = demand.accelerators
        placements = []
        for worker in workers:
            if not self._job_capacity.may_use(worker):
                continue
            count = min(
                left,
                gangs.usable_accelerators(
                    demand, self._job_capacity.free(worker)
                ),
            )
            if count < 1:
                continue
            placements.append(decisions.Placement(worker.name, count))
            left -= count
            if left == 0:
                return placements
        return []

    def _split_over(
        self, workers: list['fleet.Worker']
    ) -> list[decisions.Placement]:
        candidates = [
            self._job_capacity.free_capacity(worker)
            for worker in workers
            if self._job_capacity.may_use(worker)
        ]
        return gangs.split(self._job.demand, candidates)

    def _gang_cost(self, placements: list[decisions.Placement]) -> float:
        demand = self._job.demand
        workers_by_name = self._env.fleet.workers_by_name
        cost = GANG_MEMBER_COST * len(placements)
        cost *= self._env.options.completion_weight
        for placement in placements:
            worker = workers_by_name[placement.worker]
            cost += self._cost(worker, demand.member(placement.accelerators))
        return cost

    def _cost(self, worker: 'fleet.Worker', needed: shapes.Resources) -> float:
        """Return the cost of one member: weighted sum of waste and risk."""
        options = self._env.options
        return options.fragmentation_weight * self._added_waste(
            worker, needed
        ) + options.completion_weight * self._risk_cost(worker, needed)

    def _added_waste(
        self, worker: 'fleet.Worker', needed: shapes.Resources
    ) -> float:
        """Return how many more free accelerators become unusable."""
        mix = self._env.shape_mix
        free = worker.free.accelerators
        rack_free = self._env.fleet.free_by_rack[worker.rack]
        before = mix.worker_waste(free) + mix.rack_waste(rack_free)
        left = free - needed.accelerators
        rack_left = rack_free - needed.accelerators
        if worker.free.slots == needed.slots:
            # Without a free slot no job can use the accelerators left.
            rack_left -= left
            return left + mix.rack_waste(rack_left) - before
        return mix.worker_waste(left) + mix.rack_waste(rack_left) - before

    def _risk_cost(
        self, worker: 'fleet.Worker', needed: shapes.Resources
    ) -> float:
        """Return the cost of possible delays, in accelerators.

        It counts accelerators whose jobs may have to run again or wait.
        Preemptible jobs should leave the part of their account to
        non-preemptible ones, and these should not spread to workers that
        run no non-preemptible job yet.
        """
        size = max(needed.accelerators, 1)
        risk = 0.0
        if self._env.health.is_suspect(worker.name):
            risk += SUSPECT_WORKER_COST * size
        is_in_own_part = needed.fits_in(self._job_capacity.unused_part(worker))
        if self._job.is_stoppable:
            if is_in_own_part:
                return risk + OWN_PART_COST * size
            return risk + BORROWED_COST * self._reclaimable_accelerators(
                worker, needed
            )
        if is_in_own_part:
            return risk
        has_non_preemptible = any(
            held.slots for held in worker.non_preemptible_by_account.values()
        )
        cost = (
            FURTHER_NON_PREEMPTIBLE_COST
            if has_non_preemptible
            else FIRST_NON_PREEMPTIBLE_COST
        )
        return risk + cost * worker.capacity.accelerators

    def _reclaimable_accelerators(
        self, worker: 'fleet.Worker', needed: shapes.Resources
    ) -> float:
        """Return how many of the needed accelerators others may reclaim.

        These are accelerators in unused guaranteed parts of other accounts.
        """
        parts = self._env.packing.parts_by_worker.get(worker.name)
        if not parts:
            return 0.0
        unused = sum(
            max(part.accelerators - worker.used(account).accelerators, 0)
            for account, part in parts.items()
            if account != self._job.account
        )
        size = max(needed.accelerators, 1)
        left = worker.free.accelerators - unused
        return min(max(size - left, 0), size)
