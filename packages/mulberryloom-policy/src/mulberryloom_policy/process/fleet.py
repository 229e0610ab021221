"""The planner's view of the workers, indexed by free accelerators.

A worker's load is what its agent reported last, plus the planner's own
placements that the agent has not reported yet. A claim is the hold of one of
these own placements. A slot is room for one task on a worker.
"""

import collections
import dataclasses
import typing as t

from mulberryloom_core import messages
from mulberryloom_core import shapes

from .. import decisions

NOTHING = shapes.Resources()


@dataclasses.dataclass(slots=True)
class Hold:
    """Resources that one task occupies on one worker.

    :param attempt: attempt that occupies them; ``0`` while it is unknown.
    :param is_stoppable: whether it can be preempted: checkpointed,
        stopped and run again.
    :param since_ms: when it was placed, or when it started according to
        the agent.
    :param is_claim: whether it was placed by this planner and not
        reported by the agent yet.
    """

    request_id: str
    attempt: int
    account: str
    service: str
    method: str
    request_class: shapes.RequestClass
    resources: shapes.Resources
    is_stoppable: bool
    is_gang: bool
    declared_run_ms: int
    since_ms: int
    is_claim: bool = False
    is_stopping: bool = False

    @classmethod
    def from_task(cls, task: messages.TaskState, now_ms: int) -> 'Hold':
        """Build the hold of a task that an agent reported just now."""
        return cls(
            request_id=task.request_id,
            attempt=task.attempt,
            account=task.account,
            service=task.service,
            method=task.method,
            request_class=task.request_class,
            resources=task.resources,
            is_stoppable=task.is_checkpointable and task.is_idempotent,
            is_gang=task.is_gang,
            declared_run_ms=task.declared_run_ms,
            since_ms=now_ms - task.age_ms,
            is_stopping=task.phase is messages.TaskPhase.STOPPING,
        )

    @classmethod
    def from_job(
        cls,
        job: decisions.Job,
        accelerators: int,
        is_gang: bool,
        now_ms: int,
    ) -> 'Hold':
        """Build the hold of one member of a job that is placed now."""
        return cls(
            request_id=job.request_id,
            attempt=0,
            account=job.account,
            service=job.service,
            method=job.method,
            request_class=job.request_class,
            resources=job.demand.member(accelerators),
            is_stoppable=job.is_stoppable,
            is_gang=is_gang,
            declared_run_ms=job.declared_run_ms,
            since_ms=now_ms,
            is_claim=True,
        )


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker as the planner sees it.

    :param free: capacity less all holds.
    :param holds_by_id: holds by request.
    :param used_by_account: sum of the holds of each account.
    :param non_preemptible_by_account: the same for non-preemptible work only.
    :param urgent_count_by_account: number of urgent tasks.
    """

    name: str
    incarnation: int
    data_centre: str
    rack: str
    services: frozenset[str]
    health: messages.BackendHealth
    capacity: shapes.Resources
    free: shapes.Resources
    holds_by_id: dict[str, Hold]
    used_by_account: dict[str, shapes.Resources]
    non_preemptible_by_account: dict[str, shapes.Resources]
    urgent_count_by_account: dict[str, int]
    is_quarantined: bool = False

    @classmethod
    def from_state(cls, state: messages.WorkerState) -> 'Worker':
        """Build a worker from its agent's report, without its holds."""
        return cls(
            name=state.worker,
            incarnation=state.incarnation,
            data_centre=state.data_centre,
            rack=state.rack,
            services=frozenset(state.services),
            health=state.health,
            capacity=state.capacity,
            free=state.capacity,
            holds_by_id={},
            used_by_account={},
            non_preemptible_by_account={},
            urgent_count_by_account={},
        )

    @property
    def is_open(self) -> bool:
        """Whether new work may be placed on it."""
        return (
            self.health is messages.BackendHealth.HEALTHY
            and not self.is_quarantined
        )

    def is_probeable(self, service: str) -> bool:
        """Tell whether a job of a service may probe it in quarantine."""
        is_healthy = self.health is messages.BackendHealth.HEALTHY
        return is_healthy and service in self.services

    def used(self, account: str) -> shapes.Resources:
        """Return the resources that an account occupies here."""
        return self.used_by_account.get(account, NOTHING)

    def non_preemptible(self, account: str) -> shapes.Resources:
        """Return the resources of an account's non-preemptible work here."""
        return self.non_preemptible_by_account.get(account, NOTHING)

    def add(self, hold: Hold) -> None:
        """Add a hold."""
        self.holds_by_id[hold.request_id] = hold
        self.free -= hold.resources
        account = hold.account
        self.used_by_account[account] = self.used(account) + hold.resources
        if not hold.is_stoppable:
            self.non_preemptible_by_account[account] = (
                self.non_preemptible(account) + hold.resources
            )
        if hold.request_class is shapes.RequestClass.URGENT:
            self.urgent_count_by_account[account] = (
                self.urgent_count_by_account.get(account, 0) + 1
            )

    def remove(self, request_id: str) -> Hold | None:
        """Remove the hold of a request, if there is one."""
        hold = self.holds_by_id.pop(request_id, None)
        if hold is None:
            return None
        self.free += hold.resources
        account = hold.account
        self.used_by_account[account] = self.used(account) - hold.resources
        if not hold.is_stoppable:
            self.non_preemptible_by_account[account] = (
                self.non_preemptible(account) - hold.resources
            )
        if hold.request_class is shapes.RequestClass.URGENT:
            self.urgent_count_by_account[account] -= 1
        return hold


class Fleet:
    """All workers, indexed by rack and by free accelerators.

    Open workers are those that accept new work.

    :param topology_version: changes with the capacity, rack, services or
        availability of any worker.
    :param largest_urgent_by_account: largest urgent task seen so far.
    """

    __slots__ = (
        'capacity',
        'free_by_rack',
        'largest_urgent_by_account',
        'names_by_rack',
        'names_by_request',
        'topology_version',
        'urgent_count_by_account',
        'used_by_account',
        'workers_by_name',
        '_claimed_names_by_request',
        '_claims_by_worker',
        '_open_by_accelerators',
    )

    def __init__(self) -> None:
        self.capacity = NOTHING
        self.free_by_rack: dict[str, int] = collections.Counter()
        self.names_by_rack: dict[str, dict[str, None]] = {}
        self.names_by_request: dict[str, dict[str, None]] = {}
        self.topology_version = 0
        self.largest_urgent_by_account: dict[str, shapes.Resources] = {}
        self.urgent_count_by_account: dict[str, int] = {}
        self.used_by_account: dict[str, shapes.Resources] = {}
        self.workers_by_name: dict[str, Worker] = {}
        self._claimed_names_by_request: dict[str, list[str]] = {}
        self._claims_by_worker: dict[str, dict[str, Hold]] = {}
        self._open_by_accelerators: dict[int, dict[str, Worker]] = (
            collections.defaultdict(dict)
        )

    def observe(self, state: messages.WorkerState, now_ms: int) -> Worker:
        """Replace the view of a worker by its agent's report.

        Claims that the agent has not reported yet are kept.
        """
        previous = self.workers_by_name.get(state.worker)
        worker = Worker.from_state(state)
        if previous is not None:
            worker.is_quarantined = previous.is_quarantined
            self._remove_load(previous)
        self._update_capacity(previous, worker)
        for task in state.tasks:
            self._add_hold(worker, Hold.from_task(task, now_ms))
        for claim in self._claims_by_worker.get(worker.name, {}).values():
            if claim.request_id not in worker.holds_by_id:
                self._add_hold(worker, claim)
        self.workers_by_name[worker.name] = worker
        self.names_by_rack.setdefault(worker.rack, {})[worker.name] = None
        self._index(worker)
        return worker

    def lose(self, name: str) -> Worker | None:
        """Remove a worker and its holds, if it is known."""
        worker = self.workers_by_name.pop(name, None)
        if worker is None:
            return None
        self._remove_load(worker)
        names = self.names_by_rack[worker.rack]
        names.pop(name, None)
        if not names:
            del self.names_by_rack[worker.rack]
        self.capacity -= worker.capacity
        self.topology_version += 1
        return worker

    def claim(self, name: str, hold: Hold) -> None:
        """Add the hold of a placement until it is released."""
        worker = self.workers_by_name[name]
        self._unindex(worker)
        self._add_hold(worker, hold)
        self._index(worker)
        self._claims_by_worker.setdefault(name, {})[hold.request_id] = hold
        names = self._claimed_names_by_request.setdefault(hold.request_id, [])
        names.append(name)

    def release(self, request_id: str) -> None:
        """Remove the holds of a request from all workers."""
        for name in self._claimed_names_by_request.pop(request_id, []):
            claims = self._claims_by_worker[name]
            claims.pop(request_id, None)
            if not claims:
                del self._claims_by_worker[name]
        for name in self.names_by_request.pop(request_id, {}):
            worker = self.workers_by_name[name]
            self._unindex(worker)
            self._count_usage(worker.remove(request_id), is_added=False)
            self._index(worker)

    def set_quarantined(self, name: str, is_quarantined: bool) -> None:
        """Exclude a worker from new work, or include it again."""
        worker = self.workers_by_name.get(name)
        if worker is None:
            return
        self._unindex(worker)
        worker.is_quarantined = is_quarantined
        self._index(worker)
        self.topology_version += 1

    def claimed_names(self, request_id: str) -> list[str]:
        """Return the workers on which a request has been placed."""
        return self._claimed_names_by_request.get(request_id, [])

    def used(self, account: str) -> shapes.Resources:
        """Return the resources that an account occupies on all workers."""
        return self.used_by_account.get(account, NOTHING)

    def open_workers(self, accelerators: int) -> t.Iterator[Worker]:
        """Yield open workers with a free slot, the fullest first.

        :param accelerators: least number of free accelerators.
        """
        for count in sorted(self._open_by_accelerators):
            if count >= accelerators:
                yield from self._open_by_accelerators[count].values()

    def open_workers_freest_first(self) -> t.Iterator[Worker]:
        """Yield open workers with a free slot and free accelerators.

        Those with the most free accelerators come first.
        """
        for count in sorted(self._open_by_accelerators, reverse=True):
            if count > 0:
                yield from self._open_by_accelerators[count].values()

    def set_attempt(self, request_id: str, attempt: int) -> None:
        """Set the number of the attempt on the claims of a request."""
        for name in self._claimed_names_by_request.get(request_id, []):
            self._claims_by_worker[name][request_id].attempt = attempt

    def rack_workers(self, rack: str) -> list[Worker]:
        """Return the workers of a rack."""
        names = self.names_by_rack.get(rack, {})
        return [self.workers_by_name[name] for name in names]

    def _add_hold(self, worker: Worker, hold: Hold) -> None:
        worker.add(hold)
        self._count_usage(hold, is_added=True)
        names = self.names_by_request.setdefault(hold.request_id, {})
        names[worker.name] = None

    def _remove_load(self, worker: Worker) -> None:
        """Remove a worker and its holds from the indexes and the sums."""
        self._unindex(worker)
        for request_id, hold in worker.holds_by_id.items():
            self._count_usage(hold, is_added=False)
            names = self.names_by_request.get(request_id)
            if names is None:
                continue
            names.pop(worker.name, None)
            if not names:
                del self.names_by_request[request_id]

    def _count_usage(self, hold: Hold | None, is_added: bool) -> None:
        if hold is None:
            return
        used = self.used(hold.account)
        if is_added:
            used += hold.resources
        else:
            used -= hold.resources
        self.used_by_account[hold.account] = used
        if hold.request_class is shapes.RequestClass.URGENT:
            self._count_urgent(hold, is_added)

    def _count_urgent(self, hold: Hold, is_added: bool) -> None:
        account = hold.account
        before = self.urgent_count_by_account.get(account, 0)
        self.urgent_count_by_account[account] = before + (
            1 if is_added else -1
        )
        largest = self.largest_urgent_by_account.get(account, NOTHING)
        if not hold.resources.fits_in(largest):
            self.largest_urgent_by_account[account] = hold.resources

    def _update_capacity(
        self, previous: Worker | None, worker: Worker
    ) -> None:
        if previous is None:
            self.capacity += worker.capacity
            self.topology_version += 1
            return
        if (
            previous.capacity,
            previous.rack,
            previous.is_open,
            previous.services,
        ) == (
            worker.capacity,
            worker.rack,
            worker.is_open,
            worker.services,
        ):
            return
        if previous.rack != worker.rack:
            self.names_by_rack[previous.rack].pop(previous.name, None)
        self.capacity += worker.capacity - previous.capacity
        self.topology_version += 1

    def _index(self, worker: Worker) -> None:
        """Add a worker to the index if it is open and has a free slot."""
        if worker.is_open and worker.free.slots > 0:
            bucket = self._open_by_accelerators[worker.free.accelerators]
            bucket[worker.name] = worker
            self.free_by_rack[worker.rack] += worker.free.accelerators

    def _unindex(self, worker: Worker) -> None:
        """Remove a worker from the index, before its free resources change."""
        bucket = self._open_by_accelerators.get(worker.free.accelerators)
        if bucket is None:
            return
        if bucket.pop(worker.name, None) is not None:
            self.free_by_rack[worker.rack] -= worker.free.accelerators
        if not bucket:
            del self._open_by_accelerators[worker.free.accelerators]
