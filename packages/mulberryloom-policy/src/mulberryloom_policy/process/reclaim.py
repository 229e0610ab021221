"""Search for work to preempt for a job, at the lowest preemption cost.

An account reclaims its guaranteed part of the packing. For a gang that has
waited for too long, borrowers anywhere may be preempted. A borrower is work
beyond the guaranteed part of its account on a worker.
"""

import dataclasses
import typing as t

from mulberryloom_core import shapes

from .. import decisions
from . import headroom as headrooms
from ..request import gangs
from ..request import job_capacity

if t.TYPE_CHECKING:
    from . import environment
    from . import fleet as fleets

# Workers examined, freest first, for a job that has to run on one worker.
MAX_WORKERS_EXAMINED = 32
# Factor on the cost of preempting work of the job's own account.
OWN_COST_FACTOR = 2.0
# Factor on the cost of preempting work, by its class.
COST_FACTOR_BY_CLASS = {
    shapes.RequestClass.BATCH: 1.0,
    shapes.RequestClass.INTERACTIVE: 2.0,
    shapes.RequestClass.URGENT: 4.0,
}
# Cost, in accelerators, of each member in addition to its accelerators.
SLOT_COST = 0.25
# Preemptions of a job after which larger jobs of its own account leave it
# running.
MAX_OWN_PREEMPTIONS = 2


@dataclasses.dataclass(slots=True)
class PreemptionPlan:
    """Placements of a job and the work to preempt for them.

    :param victims: one hold of each request to preempt.
    :param cost: preemption cost: weighted sum of the accelerators whose
        work is set back.
    """

    placements: list[decisions.Placement]
    victims: list['fleets.Hold']
    cost: float


class PreemptionSearch:
    """Searches the preemption plan of a job with the lowest cost.

    :param is_guaranteed: whether only the guaranteed part of the job's
        account is used; otherwise borrowers anywhere may be preempted.
    """

    __slots__ = (
        '_env',
        '_is_guaranteed',
        '_is_headroom_kept',
        '_job',
        '_now_ms',
        '_job_capacity',
    )

    def __init__(
        self,
        env: 'environment.Environment',
        job: decisions.Job,
        capacity: job_capacity.JobCapacity,
        now_ms: int,
        *,
        is_guaranteed: bool,
    ) -> None:
        self._env = env
        self._is_guaranteed = is_guaranteed
        self._job = job
        self._now_ms = now_ms
        self._job_capacity = capacity
        self._is_headroom_kept = self._has_to_keep_headroom()

    def find(self) -> PreemptionPlan | None:
        """Return the plan with the lowest cost, if there is any."""
        demand = self._job.demand
        workers = [
            worker
            for worker in self._workers()
            if self._job_capacity.may_use(worker)
        ]
        if (
            demand.accelerators == 0
            or demand.adjacency is shapes.Adjacency.WORKER
        ):
            worker_sets = [[worker] for worker in workers]
        elif demand.adjacency is shapes.Adjacency.RACK:
            worker_sets = _by_rack(workers)
        else:
            worker_sets = [workers]
        plans = [self._plan_on(worker_set) for worker_set in worker_sets]
        found = [plan for plan in plans if plan is not None]
        return min(found, key=lambda plan: plan.cost, default=None)

    def choose_victims(
        self, worker: 'fleets.Worker', needed: shapes.Resources
    ) -> list['fleets.Hold']:
        """Return the work to preempt so that resources are free on a worker.

        :param needed: resources that should be free.
        :return: one hold of each request to preempt; empty if none is needed
            or the resources can not be freed.
        """
        victims_by_id: dict[str, 'fleets.Hold'] = {}
        self._choose_victims_on(
            worker, needed, self._preemptible_holds(worker), victims_by_id
        )
        return list(victims_by_id.values())

    def fits_guarantee(self) -> bool:
        """Tell whether the job fits its account's unused guaranteed part."""
        return self._fits(
            lambda worker: (
                self._job_capacity.unused_part(worker) - self._headroom(worker)
            )
        )

    def _fits(
        self, available: t.Callable[['fleets.Worker'], shapes.Resources]
    ) -> bool:
        """Tell whether the job fits.

        :param available: returns the resources of a worker for the job.
        """
        demand = self._job.demand
        workers = [
            worker
            for worker in self._workers()
            if self._job_capacity.may_use(worker)
        ]
        if (
            demand.accelerators == 0
            or demand.adjacency is shapes.Adjacency.WORKER
        ):
            needed = demand.member(demand.accelerators)
            return any(needed.fits_in(available(worker)) for worker in workers)
        worker_sets = [workers]
        if demand.adjacency is shapes.Adjacency.RACK:
            worker_sets = _by_rack(workers)
        return any(
            sum(
                gangs.usable_accelerators(demand, available(worker))
                for worker in worker_set
            )
            >= demand.accelerators
            for worker_set in worker_sets
        )

    def _has_to_keep_headroom(self) -> bool:
        """Tell whether the job has to leave the headroom free.

        Urgent jobs do not, nor does a guaranteed shape that needs the
        whole guaranteed part and could never start otherwise.
        """
        if self._job.request_class is shapes.RequestClass.URGENT:
            return False
        if not self._is_guaranteed:
            return True
        account = self._job.account
        env = self._env
        has_headroom = env.headroom.has_headroom(account)
        if not has_headroom or not env.is_guaranteed_shape(self._job):
            return True
        return self._fits(
            lambda worker: (
                env.packing.part(worker.name, account)
                - env.headroom.reserved_by(worker, account)
            )
        )

    def _headroom(self, worker: 'fleets.Worker') -> shapes.Resources:
        """Return the headroom that the job has to leave free on a worker."""
        if not self._is_headroom_kept:
            return headrooms.NOTHING
        if self._is_guaranteed:
            return self._env.headroom.reserved_by(worker, self._job.account)
        return self._env.headroom.reserved(worker)

    def _workers(self) -> list['fleets.Worker']:
        """Return the workers to examine.

        For guaranteed work, these are the workers with a part of the
        account. Otherwise, the freest come first, in a limited number
        unless the job is a gang for one rack.
        """
        fleet = self._env.fleet
        if self._is_guaranteed:
            names = self._env.packing.workers_by_account.get(
                self._job.account, []
            )
            return [
                fleet.workers_by_name[name]
                for name in names
                if name in fleet.workers_by_name
            ]
        workers = list(fleet.workers_by_name.values())
        workers.sort(
            key=lambda worker: (-worker.free.accelerators, worker.name)
        )
        adjacency = self._job.demand.adjacency
        if adjacency is shapes.Adjacency.WORKER:
            return workers[:MAX_WORKERS_EXAMINED]
        if adjacency is shapes.Adjacency.ANY:
            return workers[: 4 * max(self._job.demand.accelerators, 1)]
        return workers

    def _plan_on(
        self, workers: list['fleets.Worker']
    ) -> PreemptionPlan | None:
        """Return a plan on some workers, if enough can be freed there."""
        demand = self._job.demand
        holds_by_worker = {
            worker.name: self._preemptible_holds(worker) for worker in workers
        }
        candidates = [
            gangs.FreeCapacity(
                worker.name,
                self._reclaimable(worker, holds_by_worker[worker.name]),
            )
            for worker in workers
        ]
        if demand.accelerators == 0:
            placements = [decisions.Placement(workers[0].name, 0)]
            if not demand.member(0).fits_in(candidates[0].free):
                return None
        else:
            placements = self._split_free_first(candidates)
        if not placements:
            return None
        return self._choose_victims(placements, holds_by_worker)

    def _split_free_first(
        self, candidates: list[gangs.FreeCapacity]
    ) -> list[decisions.Placement]:
        """Split the job over workers, with free resources used first.

        Jobs with an adjacency are placed on as few workers as possible
        instead.
        """
        demand = self._job.demand
        if demand.adjacency is not shapes.Adjacency.ANY:
            return gangs.split(demand, candidates)
        workers_by_name = self._env.fleet.workers_by_name
        placements = []
        left = demand.accelerators
        count_by_worker = {
            candidate.worker: gangs.usable_accelerators(
                demand,
                job_capacity.elementwise_min(
                    candidate.free, workers_by_name[candidate.worker].free
                ),
            )
            for candidate in candidates
        }
        for candidate in candidates:
            count = min(left, count_by_worker[candidate.worker])
            count_by_worker[candidate.worker] = count
            left -= count
        for candidate in candidates:
            most = gangs.usable_accelerators(demand, candidate.free)
            more = min(left, most - count_by_worker[candidate.worker])
            count = count_by_worker[candidate.worker] + max(more, 0)
            left -= max(more, 0)
            if count:
                placements.append(decisions.Placement(candidate.worker, count))
        return placements if left == 0 else []

    def _reclaimable(
        self, worker: 'fleets.Worker', holds: list['fleets.Hold']
    ) -> shapes.Resources:
        """Return the most resources that the job could use on a worker.

        :param holds: work on the worker that may be preempted.
        """
        freed = worker.free
        for hold in holds:
            freed += hold.resources
        if self._is_guaranteed:
            own_part = self._job_capacity.unused_part(worker)
            for hold in holds:
                if hold.account == self._job.account:
                    own_part += hold.resources
            freed = job_capacity.elementwise_min(freed, own_part)
        freed -= self._headroom(worker)
        if not self._job.is_stoppable:
            left = self._job_capacity.non_preemptible_capacity(worker)
            freed = job_capacity.elementwise_min(freed, left)
        return freed

    def _preemptible_holds(
        self, worker: 'fleets.Worker'
    ) -> list['fleets.Hold']:
        return [
            hold
            for hold in worker.holds_by_id.values()
            if hold.is_stoppable
            and hold.attempt > 0
            and self._may_preempt(worker, hold)
        ]

    def _may_preempt(
        self, worker: 'fleets.Worker', hold: 'fleets.Hold'
    ) -> bool:
        if hold.request_id in self._env.pending_placements.by_id:
            return False
        if hold.account == self._job.account:
            return self._may_preempt_own(hold)
        if self._is_borrowing(worker, hold.account):
            return self._is_guaranteed or self._is_smaller_or_later(hold)
        return False

    def _may_preempt_own(self, hold: 'fleets.Hold') -> bool:
        """Tell whether the job may preempt work of its own account.

        It may preempt less urgent work in the guaranteed part, and smaller
        jobs that have not been preempted too often.
        """
        if hold.request_class < self._job.request_class:
            return False
        record = self._env.records.get(hold.request_id)
        if record is None:
            return False
        if (
            self._is_guaranteed
            and self._job.request_class < hold.request_class
        ):
            return True
        is_smaller = (
            record.job.demand.accelerators < self._job.demand.accelerators
        )
        is_at_limit = record.preemptions >= MAX_OWN_PREEMPTIONS
        if is_at_limit or not is_smaller:
            return False
        return self._is_guaranteed or self._is_smaller_or_later(hold)

    def _is_borrowing(self, worker: 'fleets.Worker', account: str) -> bool:
        """Tell whether an account uses more of a worker than its part."""
        part = self._env.packing.part(worker.name, account)
        return not worker.used(account).fits_in(part)

    def _is_smaller_or_later(self, hold: 'fleets.Hold') -> bool:
        """Tell whether work is smaller than the job or came after it.

        Large work that came first is thus not preempted by later jobs.
        """
        record = self._env.records.get(hold.request_id)
        if self._total_accelerators(hold) < self._job.demand.accelerators:
            return True
        if record is not None:
            return record.job.submitted_ms > self._job.submitted_ms
        return hold.since_ms > self._job.submitted_ms

    def _choose_victims(
        self,
        placements: list[decisions.Placement],
        holds_by_worker: dict[str, list['fleets.Hold']],
    ) -> PreemptionPlan | None:
        victims_by_id: dict[str, 'fleets.Hold'] = {}
        for placement in placements:
            worker = self._env.fleet.workers_by_name[placement.worker]
            needed = self._job.demand.member(placement.accelerators)
            if not self._choose_victims_on(
                worker, needed, holds_by_worker[worker.name], victims_by_id
            ):
                return None
        cost = sum(self._cost(hold) for hold in victims_by_id.values())
        return PreemptionPlan(placements, list(victims_by_id.values()), cost)

    def _choose_victims_on(
        self,
        worker: 'fleets.Worker',
        needed: shapes.Resources,
        holds: list['fleets.Hold'],
        victims_by_id: dict[str, 'fleets.Hold'],
    ) -> bool:
        """Choose the victims on one worker.

        They are chosen by rising cost per accelerator. Those that the later
        victims make unnecessary are dropped, the costliest first.

        :param holds: work on the worker that may be preempted.
        :param victims_by_id: victims on other workers; the chosen ones are
            added.
        :return: whether the resources can be freed.
        """
        free = worker.free - self._headroom(worker)
        for request_id in victims_by_id:
            hold = worker.holds_by_id.get(request_id)
            if hold is not None:
                free += hold.resources
        chosen = []
        for hold in sorted(holds, key=self._cost_per_accelerator):
            if needed.fits_in(free):
                break
            if hold.request_id not in victims_by_id:
                free += hold.resources
                chosen.append(hold)
        if not needed.fits_in(free):
            return False
        for hold in sorted(chosen, key=self._cost, reverse=True):
            if needed.fits_in(free - hold.resources):
                free -= hold.resources
                chosen.remove(hold)
        victims_by_id.update((hold.request_id, hold) for hold in chosen)
        return True

    def _cost(self, hold: 'fleets.Hold') -> float:
        """Return the cost of preempting a request with all its members.

        It grows with each earlier preemption of the request, and is zero
        if the request is stopping already.
        """
        if self._is_stopping(hold):
            return 0.0
        record = self._env.records.get(hold.request_id)
        size = 0.0
        for name in self._env.fleet.names_by_request[hold.request_id]:
            worker = self._env.fleet.workers_by_name[name]
            held = worker.holds_by_id[hold.request_id].resources
            size += held.accelerators + SLOT_COST
        size *= COST_FACTOR_BY_CLASS[hold.request_class]
        if hold.account == self._job.account:
            size *= OWN_COST_FACTOR
        if record is not None:
            size *= 1 + record.preemptions
        return size

    def _total_accelerators(self, hold: 'fleets.Hold') -> int:
        return sum(
            self._env.fleet.workers_by_name[name]
            .holds_by_id[hold.request_id]
            .resources.accelerators
            for name in self._env.fleet.names_by_request[hold.request_id]
        )

    def _cost_per_accelerator(self, hold: 'fleets.Hold') -> float:
        """Return the cost relative to the accelerators freed on the worker.

        If the job needs no accelerators, it is the cost alone.
        """
        held = hold.resources.accelerators + SLOT_COST
        if self._job.demand.accelerators == 0:
            held = 1
        return self._cost(hold) / held

    def _is_stopping(self, hold: 'fleets.Hold') -> bool:
        if hold.is_stopping:
            return True
        record = self._env.records.get(hold.request_id)
        return record is not None and record.is_preempting


def _by_rack(
    workers: list['fleets.Worker'],
) -> list[list['fleets.Worker']]:
    workers_by_rack: dict[str, list['fleets.Worker']] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.rack, []).append(worker)
    return list(workers_by_rack.values())
