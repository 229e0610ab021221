"""Worker selection for urgent and interactive work on one worker."""

import random
import typing as t

from mulberryloom_core import messages
from mulberryloom_core import shapes

if t.TYPE_CHECKING:
    from ..process.circuit import Circuits
    from ..process.membership import Membership
    from ..process.membership import WorkerView

#: Randomly chosen workers that are compared before all candidates are.
SAMPLED_WORKERS = 2

_FAST_PATH_CLASSES = (
    shapes.RequestClass.URGENT,
    shapes.RequestClass.INTERACTIVE,
)


def can_bypass_queue(work: messages.Work, largest: shapes.Resources) -> bool:
    """Return whether work may bypass the queue of its account's owner.

    :param largest: largest amount of each resource on any configured
        worker.
    """
    if work.request_class not in _FAST_PATH_CLASSES:
        return False
    demand = work.demand
    return demand.member(demand.accelerators).fits_in(largest)


class InFlightResources:
    """Resources of this entry's open attempts, by worker.

    They count as taken from the moment of dispatch, before the worker's
    reports contain the task.
    """

    __slots__ = ('_resources_by_id_by_worker',)

    def __init__(self) -> None:
        self._resources_by_id_by_worker: dict[
            str, dict[str, shapes.Resources]
        ] = {}

    def add(
        self, worker: str, request_id: str, resources: shapes.Resources
    ) -> None:
        """Record the resources of an attempt on a worker."""
        resources_by_id = self._resources_by_id_by_worker.setdefault(
            worker, {}
        )
        resources_by_id[request_id] = resources

    def remove(self, worker: str, request_id: str) -> None:
        """Remove an attempt that has ended."""
        resources_by_id = self._resources_by_id_by_worker.get(worker)
        if resources_by_id is None:
            return
        resources_by_id.pop(request_id, None)
        if not resources_by_id:
            del self._resources_by_id_by_worker[worker]

    def forget(self, worker: str) -> None:
        """Remove all attempts on a worker that was lost."""
        self._resources_by_id_by_worker.pop(worker, None)

    def available_resources(
        self, state: messages.WorkerState
    ) -> shapes.Resources:
        """Return the free resources of a worker, as known to this entry.

        A reported task that is also in flight here is counted once.
        """
        free = state.capacity
        in_flight = self._resources_by_id_by_worker.get(state.worker, {})
        for task in state.tasks:
            if task.request_id not in in_flight:
                free -= task.resources
        for resources in in_flight.values():
            free -= resources
        return free


class Router:
    """Selects a worker for work that bypasses the queue.

    The better of two randomly sampled workers is chosen. If neither has
    room, all candidates are compared. Workers are compared by their free
    slots minus the account's tasks on them.

    :param source: random number generator.
    """

    __slots__ = ('_circuits', '_in_flight', '_membership', '_random')

    def __init__(
        self,
        membership: 'Membership',
        circuits: 'Circuits',
        in_flight: InFlightResources,
        source: random.Random,
    ) -> None:
        self._membership = membership
        self._circuits = circuits
        self._in_flight = in_flight
        self._random = source

    def choose(
        self, work: messages.Work, avoided: t.Collection[str], now: int
    ) -> 'WorkerView | None':
        """Return the worker that is to run the work.

        :param avoided: workers to use only if no other one has room.
        :return: ``None`` when no worker has room for it now.
        """
        candidates = [
            view
            for view in self._membership.candidates(work.service, now)
            if view.state is not None
            and self._circuits.allows(view.state.worker, now)
        ]
        not_avoided = [
            candidate
            for candidate in candidates
            if candidate.state.worker not in avoided
        ]
        best = self._best_of_sample(work, not_avoided)
        if best is None and len(not_avoided) < len(candidates):
            best = self._best_of_sample(work, candidates)
        return best

    def _best_of_sample(
        self, work: messages.Work, candidates: 'list[WorkerView]'
    ) -> 'WorkerView | None':
        if len(candidates) > SAMPLED_WORKERS:
            sample = self._random.sample(candidates, SAMPLED_WORKERS)
            best = self._best_with_room(work, sample)
            if best is not None:
                return best
        return self._best_with_room(work, candidates)

    def _best_with_room(
        self, work: messages.Work, views: 'list[WorkerView]'
    ) -> 'WorkerView | None':
        resources = work.demand.member(work.demand.accelerators)
        best: WorkerView | None = None
        best_score = 0
        for view in views:
            free = self._in_flight.available_resources(view.state)
            if not resources.fits_in(free):
                continue
            score = free.slots - _count_account_tasks(view.state, work.account)
            if best is None or score > best_score:
                best = view
                best_score = score
        return best


def _count_account_tasks(state: messages.WorkerState, account: str) -> int:
    return sum(task.account == account for task in state.tasks)
