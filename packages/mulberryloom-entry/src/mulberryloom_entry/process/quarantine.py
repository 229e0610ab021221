"""Worker states for the planner, with failing workers excluded.

A worker is quarantined here while its circuit breaker allows no request. In
``context`` and ``status`` it counts as quarantined until a probe succeeds.
"""

import dataclasses
import typing as t

from mulberryloom_core import messages

if t.TYPE_CHECKING:
    from mulberryloom_policy import planner as planners

    from .context import Context


class Quarantine:
    """Reports workers with an open circuit to the planner as failing.

    A worker is reported as usable again when its circuit breaker allows a
    probe; its next failure opens the circuit again, for a longer time.
    """

    __slots__ = ('_context', '_planner', '_quarantined_workers')

    def __init__(
        self, context: 'Context', planner: 'planners.Planner'
    ) -> None:
        self._context = context
        self._planner = planner
        self._quarantined_workers: set[str] = set()

    def observe(self, state: messages.WorkerState, now: int) -> None:
        """Report the state of a worker to the planner.

        Its health is replaced for quarantined and leaving workers.
        """
        health = state.health
        if self._context.circuits.allows(state.worker, now):
            self._quarantined_workers.discard(state.worker)
        else:
            self._quarantined_workers.add(state.worker)
            health = messages.BackendHealth.FAILING
        if self._is_leaving(state.worker):
            health = messages.BackendHealth.LEAVING
        if health is not state.health:
            state = dataclasses.replace(state, health=health)
        self._planner.observe_worker(state, now)

    def _is_leaving(self, worker: str) -> bool:
        view = self._context.membership.workers_by_name.get(worker)
        return view is not None and view.is_leaving

    def on_tick(self, now: int) -> None:
        """Report the workers whose circuit opened or allows a probe."""
        circuits = self._context.circuits
        membership = self._context.membership
        for worker in {*self._quarantined_workers, *circuits.open_workers()}:
            is_quarantined = worker in self._quarantined_workers
            if is_quarantined is not circuits.allows(worker, now):
                continue
            view = membership.workers_by_name.get(worker)
            if view is None or view.state is None:
                self._quarantined_workers.discard(worker)
            elif not view.is_leaving:
                self.observe(view.state, now)
