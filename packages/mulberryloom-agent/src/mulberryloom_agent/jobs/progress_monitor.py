"""Detection of a worker whose runs stop progressing, from its lists of runs.

The leader decides on stalled runs, by the lists that it is sent. While the
runs of a worker seem to stand still, it needs lists more often.
"""

import typing as t

from mulberryloom_core import messages

#: Consecutive lists with progress after which progress is expected to
#: continue. Runs that take hours progress in few lists.
_STEADY_LISTS = 3
#: Time for which progress is expected after a list that showed it, and after
#: a start. It limits the additional calls and reports.
_EXPECTED_MS = 3_000

_RunKey: t.TypeAlias = tuple[str, int]


class ProgressMonitor:
    """Compares the lists of one incarnation of a worker."""

    __slots__ = (
        '_expected_until_ms',
        '_has_progressed',
        '_lists_with_progress',
        '_progress_by_run',
    )

    def __init__(self) -> None:
        self._progress_by_run: dict[_RunKey, int] = {}
        self._has_progressed = True
        self._lists_with_progress = 0
        self._expected_until_ms = 0

    def on_list(
        self, running: t.Iterable[messages.RunningTask], now_ms: int
    ) -> None:
        """Process the next list of running tasks."""
        previous = self._progress_by_run
        self._progress_by_run = {
            (run.task, run.run_number): run.progress for run in running
        }
        is_started = bool(self._progress_by_run.keys() - previous.keys())
        self._has_progressed = is_started or any(
            progress > previous[key]
            for key, progress in self._progress_by_run.items()
        )
        self._lists_with_progress += 1
        if not self._has_progressed:
            self._lists_with_progress = 0
        if is_started or self._lists_with_progress >= _STEADY_LISTS:
            self._expected_until_ms = now_ms + _EXPECTED_MS

    def is_standing_still(self, now_ms: int) -> bool:
        """Whether no run has progressed, though progress is expected."""
        return (
            bool(self._progress_by_run)
            and not self._has_progressed
            and now_ms < self._expected_until_ms
        )
