"""Baseline policies with the interface of the planner.

They ignore accounts and guarantees and never preempt.
"""

import enum
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_policy import decisions
from mulberryloom_policy.request import gangs
from result import Ok
from result import Result


class Order(enum.Enum):
    """Which jobs may start while the first job of the queue does not fit.

    ``STRICT`` starts none. ``BACKFILL`` starts jobs that do not delay the
    first one by their declared run times. ``ANY`` starts all that fit.
    """

    STRICT = 'strict'
    BACKFILL = 'backfill'
    ANY = 'any'


class Fit(enum.Enum):
    """Which of the workers with enough free resources is chosen.

    ``BEST`` prefers the fewest free accelerators, ``SPREAD`` the most.
    """

    FIRST = 'first'
    BEST = 'best'
    SPREAD = 'spread'


class Baseline:
    """Scheduler with one queue in order of arrival and one placement rule.

    :param order: which jobs may start before the first one.
    :param fit: how a worker or rack is chosen.
    """

    def __init__(self, order: Order, fit: Fit) -> None:
        self._order = order
        self._fit = fit
        self._queue: list[decisions.Job] = []
        self._runs_by_id: dict[str, tuple[decisions.Job, int, list]] = {}
        self._state_by_worker: dict[str, messages.WorkerState] = {}
        self._has_changed = True

    def observe_worker(self, state: messages.WorkerState, now_ms: int) -> None:
        """Add or update a worker."""
        if state.worker not in self._state_by_worker:
            self._has_changed = True
        self._state_by_worker[state.worker] = state

    def lose_worker(self, name: str, now_ms: int) -> None:
        """Remove a worker that is lost."""
        self._state_by_worker.pop(name, None)

    def submit(
        self,
        job: decisions.Job,
        now_ms: int,
        *,
        is_accepted: bool = False,
    ) -> Result[None, exceptions.Error]:
        """Queue a job in order of arrival; all jobs are accepted."""
        self._queue.append(job)
        self._queue.sort(key=lambda queued: queued.submitted_ms)
        self._has_changed = True
        return Ok(None)

    def cancel(self, request_id: str, now_ms: int) -> bool:
        """Remove a waiting job; return whether it was waiting."""
        remaining = [
            queued for queued in self._queue if queued.request_id != request_id
        ]
        is_waiting = len(remaining) < len(self._queue)
        self._queue = remaining
        self._has_changed = True
        return is_waiting

    def record_started(
        self, request_id: str, attempt: int, now_ms: int
    ) -> None:
        """Do nothing, since a job counts as running once it is placed."""

    def record_refused(self, request_id: str, now_ms: int) -> None:
        """Queue a job again whose placement no longer fitted."""
        job, _, _ = self._runs_by_id.pop(request_id)
        self.submit(job, now_ms)

    def record_ended(
        self, request_id: str, outcome: messages.Outcome, now_ms: int
    ) -> bool:
        """Release the resources of a job; never queue it again."""
        self._runs_by_id.pop(request_id, None)
        self._has_changed = True
        return False

    def plan(self, now_ms: int) -> list[decisions.Decision]:
        """Place the jobs that may start now.

        With ``BACKFILL``, workers are reserved for the first job that does
        not fit; other jobs use them only if they end before its start.
        """
        if not self._has_changed:
            return []
        self._has_changed = False
        planned: list[decisions.Decision] = []
        free = self._free_by_worker()
        waiting: list[decisions.Job] = []
        reservation: tuple[int, set[str]] | None = None
        unplaceable: set[shapes.Demand] = set()
        for index, job in enumerate(self._queue):
            if waiting and self._order is Order.STRICT:
                waiting.extend(self._queue[index:])
                break
            usable = self._usable(free, job, reservation, now_ms)
            placements = []
            # Under a reservation the usable workers depend on the declared
            # run time, so that equal demands may differ in whether they fit.
            if reservation or job.demand not in unplaceable:
                placements = self._find_placements(job, usable)
            if not placements:
                unplaceable.add(job.demand)
                waiting.append(job)
                if self._order is Order.BACKFILL and reservation is None:
                    reservation = self._reserve(job, free, now_ms)
                continue
            for placement in placements:
                free[placement.worker] -= job.demand.member(
                    placement.accelerators
                )
            self._runs_by_id[job.request_id] = (job, now_ms, placements)
            planned.append(decisions.Place(job.request_id, placements))
        self._queue = waiting
        return planned

    def _free_by_worker(self) -> dict[str, shapes.Resources]:
        free = {
            name: state.capacity
            for name, state in sorted(self._state_by_worker.items())
        }
        for job, _, placements in self._runs_by_id.values():
            for placement in placements:
                if placement.worker in free:
                    taken = job.demand.member(placement.accelerators)
                    free[placement.worker] -= taken
        return free

    def _usable(
        self,
        free: dict[str, shapes.Resources],
        job: decisions.Job,
        reservation: tuple[int, set[str]] | None,
        now_ms: int,
    ) -> dict[str, shapes.Resources]:
        if (
            reservation is None
            or now_ms + job.declared_run_ms <= reservation[0]
        ):
            return free
        return {
            name: resources
            for name, resources in free.items()
            if name not in reservation[1]
        }

    def _reserve(
        self,
        job: decisions.Job,
        free: dict[str, shapes.Resources],
        now_ms: int,
    ) -> tuple[int, set[str]]:
        """Return when the first job will fit, and on which workers.

        Running jobs are expected to end after their declared run times.
        """
        free = dict(free)
        ends = sorted(
            (max(started_ms + other.declared_run_ms, now_ms), request_id)
            for request_id, (other, started_ms, _) in self._runs_by_id.items()
        )
        for end_ms, request_id in ends:
            other, _, placements = self._runs_by_id[request_id]
            for placement in placements:
                if placement.worker in free:
                    freed = other.demand.member(placement.accelerators)
                    free[placement.worker] += freed
            reserved = self._find_placements(job, free)
            if reserved:
                return end_ms, {placement.worker for placement in reserved}
        return now_ms, set()

    def _find_placements(
        self, job: decisions.Job, free: dict[str, shapes.Resources]
    ) -> list[decisions.Placement]:
        demand = job.demand
        if (
            demand.accelerators <= 1
            or demand.adjacency is shapes.Adjacency.WORKER
        ):
            needed = demand.member(demand.accelerators)
            names = [
                name
                for name, resources in free.items()
                if needed.fits_in(resources)
            ]
            if not names:
                return []
            name = self._pick(names, free)
            return [decisions.Placement(name, demand.accelerators)]
        if demand.adjacency is shapes.Adjacency.ANY:
            return self._fill_workers(demand, list(free), free)
        racks: dict[str, list[str]] = {}
        for name in free:
            rack = self._state_by_worker[name].rack
            racks.setdefault(rack, []).append(name)
        candidates = [
            self._fill_workers(demand, names, free) for names in racks.values()
        ]
        fitting = [candidate for candidate in candidates if candidate]
        if not fitting:
            return []
        return self._pick_gang(fitting, free)

    def _fill_workers(
        self,
        demand: shapes.Demand,
        names: list[str],
        free: dict[str, shapes.Resources],
    ) -> list[decisions.Placement]:
        remaining = demand.accelerators
        placements = []
        for name in self._by_preference(names, free):
            count = min(
                remaining, gangs.usable_accelerators(demand, free[name])
            )
            if count:
                placements.append(decisions.Placement(name, count))
                remaining -= count
        return placements if remaining == 0 else []

    def _by_preference(
        self, names: list[str], free: dict[str, shapes.Resources]
    ) -> list[str]:
        if self._fit is Fit.FIRST:
            return names
        sign = 1 if self._fit is Fit.BEST else -1
        return sorted(
            names,
            key=lambda name: (
                sign * free[name].accelerators,
                sign * free[name].slots,
            ),
        )

    def _pick(
        self, names: list[str], free: dict[str, shapes.Resources]
    ) -> str:
        return self._by_preference(names, free)[0]

    def _pick_gang(
        self,
        fitting: list[list[decisions.Placement]],
        free: dict[str, shapes.Resources],
    ) -> list[decisions.Placement]:
        if self._fit is Fit.FIRST:
            return fitting[0]

        def free_accelerators(placements: list[decisions.Placement]) -> int:
            return sum(
                free[placement.worker].accelerators for placement in placements
            )

        choose = min if self._fit is Fit.BEST else max
        return choose(fitting, key=free_accelerators)


def all_baselines() -> dict[str, t.Callable[[], Baseline]]:
    """Return the constructors of the baselines by name."""
    return {
        'first-come first-fit': lambda: Baseline(Order.STRICT, Fit.FIRST),
        'easy backfill': lambda: Baseline(Order.BACKFILL, Fit.FIRST),
        'best fit': lambda: Baseline(Order.ANY, Fit.BEST),
        'spread': lambda: Baseline(Order.ANY, Fit.SPREAD),
    }
