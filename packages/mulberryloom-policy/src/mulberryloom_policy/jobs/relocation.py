"""Selection of runs to move: their worker drains, or they stall."""

import typing as t

from . import gangs
from . import health
from . import valuation
from .capacity import ActiveRun
from .capacity import WorkerCapacity
from .failure_attribution import FailureAttribution
from .options import PlanOptions


class Relocation:
    """Selects the runs that have to move to another worker.

    :param options: limits and cost factors.
    :param estimator: expected durations of runs.
    :param gang_runs: the active runs of gangs.
    :param failure_attribution: records the stalls.
    """

    def __init__(
        self,
        options: PlanOptions,
        estimator: valuation.Estimator,
        gang_runs: gangs.GangRuns,
        failure_attribution: FailureAttribution,
    ) -> None:
        self._options = options
        self._estimator = estimator
        self._gang_runs = gang_runs
        self._failure_attribution = failure_attribution

    def runs_to_stop(
        self, workers: list[WorkerCapacity], now_ms: int
    ) -> t.Iterator[tuple[ActiveRun, str]]:
        """Yield the runs to stop, and note which workers are unresponsive.

        The reason of a stop is for the log.

        A stalled run counts as a failure of its worker, unless it waits for
        other members of its gang. The first word of a reason is the label of
        a metric.
        """
        for worker in workers:
            worker.is_unresponsive = health.is_unresponsive(
                worker, self._gang_runs, self._options
            )
            for run in list(worker.run_by_key.values()):
                if run.is_stopping or not run.is_recorded:
                    continue
                if worker.is_draining:
                    if self._must_stop(run, worker, now_ms):
                        yield run, 'worker draining'
                elif health.is_stalled(
                    run,
                    self._options,
                    is_worker_unresponsive=worker.is_unresponsive,
                    gang_runs=self._gang_runs,
                ):
                    self._failure_attribution.note_failure(worker, run, now_ms)
                    yield run, 'no progress'

    def _must_stop(
        self, run: ActiveRun, worker: WorkerCapacity, now_ms: int
    ) -> bool:
        """Whether a run has to stop now because its worker drains.

        A run that is expected to finish in time continues. Otherwise, a
        checkpointed run continues until the remaining time is just enough
        to stop it. A run without checkpoints loses its work when it stops;
        it continues while that pays off on average.
        """
        options = self._options
        remaining_ms = worker.drain_deadline_ms - now_ms
        needed_ms = self._estimator.run_remaining_ms(run, now_ms)
        if needed_ms + options.drain_margin_ms <= remaining_ms:
            return False
        if not run.step.is_checkpointed:
            return not self._is_worth_continuing(run, remaining_ms, now_ms)
        return remaining_ms <= options.stop_grace_ms + options.drain_margin_ms

    def _is_worth_continuing(
        self, run: ActiveRun, remaining_ms: int, now_ms: int
    ) -> bool:
        """Whether to wait for a run that its worker may not outlast.

        If it finishes, its work so far is not repeated; otherwise it starts
        elsewhere later by the time that its worker has left.

        :param remaining_ms: time until its worker ends.
        """
        elapsed_ms = now_ms - run.started_ms
        probability = self._estimator.probability_of_end(
            run, now_ms, remaining_ms
        )
        return probability * elapsed_ms > (1 - probability) * remaining_ms
