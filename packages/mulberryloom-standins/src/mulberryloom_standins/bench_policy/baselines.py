"""Simple policies to compare with, behind the planner's interface.

They know neither accounts nor guarantees and stop nothing.
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
    """Which jobs may start when the first one does not fit."""

    STRICT = 'strict'
    BACKFILL = 'backfill'
    ANY = 'any'


class Fit(enum.Enum):
    """Which of the fitting workers is taken."""

    FIRST = 'first'
    BEST = 'best'
    SPREAD = 'spread'


class Baseline:
    """One global queue by arrival, and one rule for the place."""

    def __init__(self, order: Order, fit: Fit) -> None:
        self._order = order
        self._fit = fit
        self._queue: list[decisions.Job] = []
        self._running: dict[str, tuple[decisions.Job, int, list]] = {}
        self._states_by_name: dict[str, messages.WorkerState] = {}
        self._is_changed = True

    def observe_worker(self, state: messages.WorkerState, now_ms: int) -> None:
        """Take in which workers there are."""
        if state.worker not in self._states_by_name:
            self._is_changed = True
        self._states_by_name[state.worker] = state

    def lose_worker(self, name: str, now_ms: int) -> None:
        """Forget a worker."""
        self._states_by_name.pop(name, None)

    def submit(
        self,
        job: decisions.Job,
        now_ms: int,
        *,
        is_accepted: bool = False,
    ) -> Result[None, exceptions.Error]:
        """Queue a job by arrival."""
        self._queue.append(job)
        self._queue.sort(key=lambda one: one.submitted_ms)
        self._is_changed = True
        return Ok(None)

    def cancel(self, request_id: str, now_ms: int) -> bool:
        """Forget a waiting job."""
        left = [one for one in self._queue if one.request_id != request_id]
        is_waiting = len(left) < len(self._queue)
        self._queue = left
        self._is_changed = True
        return is_waiting

    def record_started(
        self, request_id: str, attempt: int, now_ms: int
    ) -> None:
        """Do nothing: a placement counts from the beginning."""

    def record_refused(self, request_id: str, now_ms: int) -> None:
        """Put a refused job back."""
        job, _, _ = self._running.pop(request_id)
        self.submit(job, now_ms)

    def record_ended(
        self, request_id: str, outcome: messages.Outcome, now_ms: int
    ) -> bool:
        """Free the place of a job."""
        self._running.pop(request_id, None)
        self._is_changed = True
        return False

    def plan(self, now_ms: int) -> list[decisions.Decision]:
        """Start what the order and the place allow."""
        if not self._is_changed:
            return []
        self._is_changed = False
        made: list[decisions.Decision] = []
        free = self._free()
        waiting: list[decisions.Job] = []
        shadow: tuple[int, set[str]] | None = None
        failed: set[shapes.Demand] = set()
        for index, job in enumerate(self._queue):
            if waiting and self._order is Order.STRICT:
                waiting.extend(self._queue[index:])
                break
            allowed = self._allowed(free, job, shadow, now_ms)
            found = []
            if shadow or job.demand not in failed:
                found = self._find(job, allowed)
            if not found:
                failed.add(job.demand)
                waiting.append(job)
                if self._order is Order.BACKFILL and shadow is None:
                    shadow = self._shadow(job, free, now_ms)
                continue
            for one in found:
                free[one.worker] -= job.demand.member(one.accelerators)
            self._running[job.request_id] = (job, now_ms, found)
            made.append(decisions.Place(job.request_id, found))
        self._queue = waiting
        return made

    def _free(self) -> dict[str, shapes.Resources]:
        free = {
            name: state.capacity
            for name, state in sorted(self._states_by_name.items())
        }
        for job, _, placements in self._running.values():
            for one in placements:
                if one.worker in free:
                    taken = job.demand.member(one.accelerators)
                    free[one.worker] -= taken
        return free

    def _allowed(
        self,
        free: dict[str, shapes.Resources],
        job: decisions.Job,
        shadow: tuple[int, set[str]] | None,
        now_ms: int,
    ) -> dict[str, shapes.Resources]:
        if shadow is None or now_ms + job.declared_run_ms <= shadow[0]:
            return free
        return {
            name: room for name, room in free.items() if name not in shadow[1]
        }

    def _shadow(
        self,
        job: decisions.Job,
        free: dict[str, shapes.Resources],
        now_ms: int,
    ) -> tuple[int, set[str]]:
        """Return when the first job will fit by declared run times."""
        free = dict(free)
        ends = sorted(
            (max(started_ms + other.declared_run_ms, now_ms), request_id)
            for request_id, (other, started_ms, _) in self._running.items()
        )
        for end_ms, request_id in ends:
            other, _, placements = self._running[request_id]
            for one in placements:
                if one.worker in free:
                    freed = other.demand.member(one.accelerators)
                    free[one.worker] += freed
            found = self._find(job, free)
            if found:
                return end_ms, {one.worker for one in found}
        return now_ms, set()

    def _find(
        self, job: decisions.Job, free: dict[str, shapes.Resources]
    ) -> list[decisions.Placement]:
        demand = job.demand
        if (
            demand.accelerators <= 1
            or demand.adjacency is shapes.Adjacency.WORKER
        ):
            needed = demand.member(demand.accelerators)
            names = [n for n, room in free.items() if needed.fits_in(room)]
            if not names:
                return []
            name = self._pick(names, free)
            return [decisions.Placement(name, demand.accelerators)]
        if demand.adjacency is shapes.Adjacency.ANY:
            return self._fill(demand, list(free), free)
        racks: dict[str, list[str]] = {}
        for name in free:
            rack = self._states_by_name[name].rack
            racks.setdefault(rack, []).append(name)
        fills = [self._fill(demand, names, free) for names in racks.values()]
        fitting = [one for one in fills if one]
        if not fitting:
            return []
        return self._pick_gang(fitting, free)

    def _fill(
        self,
        demand: shapes.Demand,
        names: list[str],
        free: dict[str, shapes.Resources],
    ) -> list[decisions.Placement]:
        left = demand.accelerators
        placements = []
        for name in self._sorted(names, free):
            count = min(left, gangs.usable_accelerators(demand, free[name]))
            if count:
                placements.append(decisions.Placement(name, count))
                left -= count
        return placements if left == 0 else []

    def _sorted(
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
        return self._sorted(names, free)[0]

    def _pick_gang(
        self,
        fitting: list[list[decisions.Placement]],
        free: dict[str, shapes.Resources],
    ) -> list[decisions.Placement]:
        if self._fit is Fit.FIRST:
            return fitting[0]

        def left(placements: list[decisions.Placement]) -> int:
            return sum(free[one.worker].accelerators for one in placements)

        choose = min if self._fit is Fit.BEST else max
        return choose(fitting, key=left)


def all_baselines() -> dict[str, t.Callable[[], Baseline]]:
    """Return how to build each baseline, by name."""
    return {
        'first-come first-fit': lambda: Baseline(Order.STRICT, Fit.FIRST),
        'easy backfill': lambda: Baseline(Order.BACKFILL, Fit.FIRST),
        'best fit': lambda: Baseline(Order.ANY, Fit.BEST),
        'spread': lambda: Baseline(Order.ANY, Fit.SPREAD),
    }
