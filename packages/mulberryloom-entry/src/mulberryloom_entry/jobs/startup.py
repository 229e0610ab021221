"""Start of a leader's term, while workers have yet to report.

A worker that has not reported may still run what an earlier leader started,
or may have lost it, as after a power failure.
"""

from . import run_table
from .leader_options import LeaderOptions


class Startup:
    """Decides what a leader may plan early in its term.

    :param options: the waits, as part of the leader's options.
    :param runs: the runs that have not ended.
    :param now_ms: start of the term.
    """

    __slots__ = ('_last_synced_ms', '_options', '_runs', '_started_ms')

    def __init__(
        self,
        options: LeaderOptions,
        runs: run_table.RunTable,
        now_ms: int,
    ) -> None:
        self._options = options
        self._runs = runs
        self._started_ms = now_ms
        self._last_synced_ms = now_ms

    def on_worker_synced(self, now_ms: int) -> None:
        """Note that a worker has reported for the first time."""
        self._last_synced_ms = now_ms

    def is_in_progress(self, now_ms: int) -> bool:
        """Whether workers with free resources may still report."""
        return now_ms - self._started_ms < self._options.startup_wait_ms

    def is_quiet(self, now_ms: int) -> bool:
        """Whether no worker has been adopted for ``startup_quiet_ms``."""
        quiet_ms = now_ms - self._last_synced_ms
        return quiet_ms >= self._options.startup_quiet_ms

    def max_priority(self, now_ms: int) -> int | None:
        """Return the highest priority number that may start tasks.

        Less urgent work would take the capacity on which runs that were
        lost have to start again. While workers of recorded runs may still
        report, only the most urgent work starts.

        :return: the priority of the most urgent unconfirmed run; ``None``
            if there is none, and after ``startup_fill_wait_ms``.
        """
        if now_ms - self._started_ms >= self._options.startup_fill_wait_ms:
            return None
        if self.is_in_progress(now_ms) and self._runs.orphans_by_worker:
            return 0
        return min(
            (
                run.job.terms.priority
                for run in self._runs.run_by_key.values()
                if run.is_inherited and not run.is_confirmed
            ),
            default=None,
        )
