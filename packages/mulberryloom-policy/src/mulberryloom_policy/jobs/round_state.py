"""State of one planning round: its input, result and reservations."""

import dataclasses

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues

from .capacity import TaskDemand
from .capacity import WorkerCapacity
from .open_workers import OpenWorkers
from .plan import Blocked
from .plan import Plan
from .reservation import Reservation
from .urgent_load import OtherCapacity


@dataclasses.dataclass(frozen=True, slots=True)
class PendingStep:
    """A step that is ready to run and has tasks without a run.

    :param tasks: the tasks without a run.
    :param waited_ms: time since the step became pending.
    :param is_suspect: whether the tasks, or some members of the gang, may
        crash their workers.
    :param reservation_by_key: earliest starts that were searched for, by
        number of tasks and whether all have to share a rack.
    """

    job: jobs.Job
    repetition: int
    step_index: int
    step: jobs.Step
    tasks: list[jobs.Task]
    waited_ms: int
    is_suspect: bool = False
    reservation_by_key: dict[tuple[int, bool], Reservation | None] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(slots=True)
class RoundState:
    """Input, result and reservations of one planning round.

    :param fleet: the workers, without those in evacuated data centres.
    :param now_ms: monotonic time.
    :param wall_ms: Unix time.
    :param guaranteed_ids: ids of the guaranteed jobs.
    :param may_preempt: whether runs may be preempted.
    :param max_priority: highest priority number of the jobs that may start
        tasks; ``None`` if all may.
    :param other_capacity: capacity left for jobs that are not urgent.
    :param eligible_by_demand: workers that may receive tasks, by service and
        demand.
    """

    fleet: OpenWorkers
    catalogue: catalogues.Catalogue
    now_ms: int
    wall_ms: int
    guaranteed_ids: set[str]
    may_preempt: bool
    max_priority: int | None
    other_capacity: OtherCapacity
    plan: Plan = dataclasses.field(default_factory=Plan)
    reservations: list[Reservation] = dataclasses.field(default_factory=list)
    eligible_by_demand: dict[tuple[str, TaskDemand], list[WorkerCapacity]] = (
        dataclasses.field(default_factory=dict)
    )

    #: Whether any worker is cold, see ``warmup``.
    has_cold_workers: bool = dataclasses.field(init=False)
    #: Whether any worker is on probation, see ``crashes``.
    has_probation: bool = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.has_cold_workers = any(
            worker.warm_ms > self.now_ms for worker in self.workers
        )
        self.has_probation = any(
            worker.is_on_probation for worker in self.workers
        )

    @property
    def workers(self) -> list[WorkerCapacity]:
        """Workers that may receive new work."""
        return self.fleet.workers

    def block(self, pending: PendingStep, reason: str) -> None:
        """Record why a step waits."""
        self.plan.blocked.append(
            Blocked(pending.job, pending.step_index, reason)
        )

    def may_start(self, job: jobs.Job) -> bool:
        """Whether tasks of a job may start in this round."""
        return (
            self.max_priority is None
            or job.terms.priority <= self.max_priority
        )


class Backfill:
    """Makes reserved capacity usable for tasks that end early enough.

    Within the context, reservations that start no earlier than a task's
    end are released, since the task does not delay them.

    :param end_ms: expected end of the task.
    """

    def __init__(self, state: RoundState, end_ms: int) -> None:
        self._state = state
        self._released = [
            reservation
            for reservation in state.reservations
            if end_ms <= reservation.start_ms
        ]

    def __enter__(self) -> None:
        self._commit(-1)

    def __exit__(self, *_: object) -> None:
        self._commit(1)

    def _commit(self, sign: int) -> None:
        for reservation in self._released:
            for worker in self._state.workers:
                tasks = reservation.tasks_by_worker.get(worker.worker, 0)
                worker.commit(reservation.step, sign * tasks)
