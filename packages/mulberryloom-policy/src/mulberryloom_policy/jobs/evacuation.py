"""Runs that leave their worker: it drains, or they stand still on it."""

import typing as t

from . import health
from . import worth
from .options import PlanOptions
from .room import ActiveRun
from .room import WorkerRoom


class Evacuation:
    """Decides which runs have to go elsewhere.

    :param options: limits and weights.
    :param estimator: expected durations.
    """

    def __init__(
        self, options: PlanOptions, estimator: worth.Estimator
    ) -> None:
        self._options = options
        self._estimator = estimator

    def leaving(
        self, workers: list[WorkerRoom], now_ms: int
    ) -> t.Iterator[tuple[ActiveRun, str]]:
        """Yield runs to be stopped, with the reason."""
        for worker in workers:
            for run in list(worker.run_by_key.values()):
                if run.is_stopping or not run.is_recorded:
                    continue
                if worker.is_draining:
                    if self._must_leave(run, worker, now_ms):
                        yield run, 'worker drains'
                elif health.is_stalled(run, self._options):
                    health.note_failure(worker, now_ms, self._options)
                    yield run, 'no progress'

    def _must_leave(
        self, run: ActiveRun, worker: WorkerRoom, now_ms: int
    ) -> bool:
        """Whether a run would be cut off by the end of its worker.

        A checkpointed run works on until a stop is only just in time; one
        without checkpoints starts anew as soon as it cannot finish.
        """
        options = self._options
        left_ms = worker.leaves_ms - now_ms
        needed_ms = self._estimator.run_left_ms(run, now_ms)
        if needed_ms + options.drain_margin_ms <= left_ms:
            return False
        if not run.step.is_checkpointed:
            return True
        return left_ms <= options.stop_grace_ms + options.drain_margin_ms
