"""Crashes of a VM's worker, and the runs that were lost by them.

A worker that exits as planned drains first. One that is replaced without
having drained has crashed, provided that its agent process was running all the
while: after a loss of power of the VM, or a restart of the agent, nothing is
known of the end of the earlier worker.
"""

import dataclasses
import typing as t

from mulberryloom_core import messages
import structlog

#: Task name and run number.
RunKey: t.TypeAlias = tuple[str, int]
#: Time for which crashes are reported: leaders that are elected meanwhile
#: learn of them, too.
REPORTED_MS = 30_000

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class _TrackedRun:
    """A run that may be on the worker.

    :param sent_ms: when its start was first sent, or it was first listed.
    :param since_ms: earliest time at which it may have begun: when its start
        was first sent, when a list was read that still lacked it or, if an
        earlier process of the agent sent the start, when it was first listed.
    :param is_listed: whether the worker has listed it.
    """

    sent_ms: int
    since_ms: int
    is_listed: bool = False


class CrashHistory:
    """Tracks the runs on a worker, and those that recent crashes ended.

    :param order_ttl_ms: time after which a start that was sent and that the
        worker does not list cannot be carried out any more.
    """

    def __init__(self, order_ttl_ms: int) -> None:
        self._order_ttl_ms = order_ttl_ms
        self._run_by_key: dict[RunKey, _TrackedRun] = {}
        #: When a call failed for the first time since the last answer.
        self._failed_ms: int | None = None
        self._crashed_runs: list[tuple[int, messages.CrashedRun]] = []

    def note_start(self, key: RunKey, now_ms: int) -> None:
        """Track a run whose start is sent."""
        self._run_by_key.setdefault(key, _TrackedRun(now_ms, now_ms))

    def forget_unlisted(self, key: RunKey) -> None:
        """Stop to track a run that has not begun and cannot begin."""
        run = self._run_by_key.get(key)
        if run is not None and not run.is_listed:
            del self._run_by_key[key]

    def note_answer(self) -> None:
        """Note that the worker has answered a call."""
        self._failed_ms = None

    def note_failure(self, now_ms: int) -> None:
        """Note that a call has not been answered.

        A crash closes the connections of the worker at once, so that the first
        such call tells its time.
        """
        if self._failed_ms is None:
            self._failed_ms = now_ms

    def note_lists(
        self,
        running: t.Iterable[RunKey],
        ended: t.Iterable[RunKey],
        now_ms: int,
        *,
        is_partial: bool,
    ) -> None:
        """Apply the worker's lists of runs.

        :param is_partial: whether more runs have ended than ``ended`` names.
        """
        self.note_answer()
        listed = set(running)
        for key in listed:
            run = self._run_by_key.setdefault(key, _TrackedRun(now_ms, now_ms))
            run.is_listed = True
        over = set(ended)
        for key, run in list(self._run_by_key.items()):
            is_lost = now_ms - run.sent_ms > self._order_ttl_ms
            if key in listed:
                continue
            if run.is_listed or is_lost or key in over:
                del self._run_by_key[key]
            elif not is_partial:
                run.since_ms = now_ms

    def end_incarnation(
        self, worker: str, boot: int, now_ms: int, *, is_planned: bool
    ) -> None:
        """Note that another incarnation has taken a worker's place.

        :param worker: the earlier worker; ``boot`` is its start.
        :param is_planned: whether it had announced its exit.
        """
        crashed_ms = now_ms if self._failed_ms is None else self._failed_ms
        # Starts that were sent later have not reached the worker.
        runs = [
            messages.CrashedRun(worker, boot, *key, crashed_ms - run.since_ms)
            for key, run in self._run_by_key.items()
            if run.since_ms <= crashed_ms
        ]
        self._run_by_key.clear()
        self._failed_ms = None
        if is_planned:
            return
        _log.warning(
            'worker crashed',
            worker=worker,
            boot=boot,
            silent_ms=now_ms - crashed_ms,
            age_ms_by_task={run.task: run.age_ms for run in runs},
        )
        self._crashed_runs += [(now_ms, run) for run in runs]

    def recent(self, now_ms: int) -> list[messages.CrashedRun]:
        """Return the runs that were lost by crashes a short time ago."""
        self._crashed_runs = [
            (noted_ms, run)
            for noted_ms, run in self._crashed_runs
            if now_ms - noted_ms < REPORTED_MS
        ]
        return [run for _, run in self._crashed_runs]
