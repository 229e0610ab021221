"""Where the tasks of a step go, or how the step waits."""

import collections
import itertools
import typing as t

from . import placement
from . import probation
from . import warm_placement
from .capacity import WorkerCapacity
from .capacity_claims import CapacityClaims
from .options import PlanOptions
from .rack_wait import RackWait
from .round_state import PendingStep
from .round_state import RoundState
from .speed_choice import SpeedChoice
from .speed_choice import WorkerGroup
from .waiting_steps import WaitingSteps


class StepPlacement(t.Protocol):
    """Places the steps of one kind."""

    def place(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> None:
        """Start tasks of a step, or let it wait.

        :param workers: workers that may receive tasks of the step.
        """


class _Placement:
    """What the placements of gangs and of independent tasks share.

    :param speed_choice: order of the workers by speed.
    :param rack_wait: how long a step waits for one rack.
    :param waits: how a step waits that does not fit.
    :param claims: starts the tasks.
    """

    __slots__ = ('_claims', '_rack_wait', '_speed_choice', '_waits')

    def __init__(
        self,
        speed_choice: SpeedChoice,
        rack_wait: RackWait,
        waits: WaitingSteps,
        claims: CapacityClaims,
    ) -> None:
        self._speed_choice = speed_choice
        self._rack_wait = rack_wait
        self._waits = waits
        self._claims = claims


class GangPlacement(_Placement):
    """Starts all tasks of a gang, or none."""

    __slots__ = ()

    def place(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> None:
        preferred = self._rack_wait.preferred_workers(pending, workers, state)
        in_one_rack = pending.step.is_same_rack
        assignment = self._find_assignment(
            pending, preferred, state, in_one_rack=in_one_rack
        )
        if (
            assignment is None
            and in_one_rack
            and not self._rack_wait.requires_one_rack(
                pending, preferred, state
            )
        ):
            in_one_rack = False
            assignment = self._find_assignment(
                pending, preferred, state, in_one_rack=False
            )
        if assignment is None:
            self._waits.preempt_or_reserve(
                pending, preferred, state, in_one_rack=in_one_rack
            )
            return
        if self._waits.awaits_faster_workers(
            pending, assignment, preferred, state, in_one_rack=in_one_rack
        ):
            return
        for task, worker in zip(pending.tasks, assignment, strict=True):
            self._claims.start(state, pending, task, worker)

    def _find_assignment(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
        *,
        in_one_rack: bool,
    ) -> placement.Assignment | None:
        """Return workers with free capacity for all tasks of a gang."""
        choice = self._speed_choice
        groups: t.Iterable[WorkerGroup] = choice.groups(
            pending, workers, state
        )
        if not choice.is_even:
            # Most searches find nothing; one on all workers tells.
            first = choice.all_workers(pending, workers, state)
            groups = itertools.chain([first], groups)
        for number, group in enumerate(groups):
            assignment = _finder(pending, group, state).find(
                lambda candidates: placement.place_gang(
                    pending.step,
                    len(pending.tasks),
                    candidates,
                    in_one_rack=in_one_rack,
                )
            )
            is_trial = number == 0 and not choice.is_even
            if is_trial == (assignment is None):
                return assignment
        return None


class TaskPlacement(_Placement):
    """Starts as many independent tasks of a step as fit."""

    __slots__ = ()

    def place(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> None:
        step = pending.step
        count_by_worker = placement.task_count_by_worker(
            pending.job, pending.repetition, pending.step_index
        )
        preferred = self._rack_wait.preferred_workers(pending, workers, state)
        unplaced = collections.deque(pending.tasks)
        is_late = False
        for group in self._speed_choice.groups(pending, preferred, state):
            finder = _finder(pending, group, state)
            while unplaced:
                worker = finder.find_one(
                    lambda candidates: placement.place_task(
                        step, candidates, count_by_worker
                    )
                )
                if worker is None:
                    break
                if group.is_late and not is_late:
                    is_late = True
                    if self._waits.awaits_faster_workers(
                        pending, [worker], preferred, state, in_one_rack=False
                    ):
                        return
                count_by_worker[worker.worker] += 1
                self._claims.start(state, pending, unplaced.popleft(), worker)
        if unplaced:
            self._waits.preempt_or_reserve(
                pending, preferred, state, in_one_rack=False
            )


class SuspectPlacement:
    """Starts tasks that may crash their workers, each on probation.

    :param options: limits and cost factors.
    :param waits: how the other tasks wait.
    :param claims: starts the tasks.
    """

    __slots__ = ('_claims', '_options', '_waits')

    def __init__(
        self,
        options: PlanOptions,
        waits: WaitingSteps,
        claims: CapacityClaims,
    ) -> None:
        self._options = options
        self._waits = waits
        self._claims = claims

    def place(
        self,
        pending: PendingStep,
        workers: list[WorkerCapacity],
        state: RoundState,
    ) -> None:
        """Place tasks that may crash their workers, each on probation.

        While no worker suits them, they wait like other tasks that do not
        fit; what is reserved or preempted for them keeps other tasks from
        starting there.
        """
        assigned = probation.assign(
            pending.step,
            pending.tasks,
            probation.settled_workers(workers, state.now_ms),
            placement.task_count_by_worker(
                pending.job, pending.repetition, pending.step_index
            ),
            state.now_ms,
            self._options,
        )
        for task, worker in assigned:
            self._claims.start(state, pending, task, worker)
        del pending.tasks[: len(assigned)]
        if pending.tasks:
            self._waits.preempt_or_reserve(
                pending, workers, state, in_one_rack=False
            )


def _finder(
    pending: PendingStep, group: WorkerGroup, state: RoundState
) -> warm_placement.PlacementFinder:
    """Return the search for workers of one group."""
    return warm_placement.PlacementFinder(
        pending.job, group.workers, group.end_ms - state.now_ms, state
    )
