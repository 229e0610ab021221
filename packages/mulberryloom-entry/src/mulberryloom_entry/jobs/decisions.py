"""What the leader decided about each job: log lines, kept for a while."""

import collections
import typing as t

import structlog

#: Decisions kept of one job; of a larger one the earliest are dropped.
MAX_KEPT = 150

_log = structlog.get_logger(__name__)


class DecisionLog:
    """Logs decisions and keeps those on jobs that are known.

    :ivar wall_ms: Unix time of what happens now; its owner sets it.
    """

    __slots__ = ('_kept_by_id', 'wall_ms')

    def __init__(self) -> None:
        self.wall_ms = 0
        self._kept_by_id: dict[str, collections.deque[dict[str, t.Any]]] = {}

    def record(self, event: str, job_id: str, **fields: t.Any) -> None:
        """Log a decision on a job and keep it.

        :param fields: what decided it, and the outcome.
        """
        _log.info(event, job_id=job_id, **fields)
        kept = self._kept_by_id.get(job_id)
        if kept is None:
            kept = collections.deque(maxlen=MAX_KEPT)
            self._kept_by_id[job_id] = kept
        kept.append({'at_ms': self.wall_ms, 'event': event, **fields})

    def of(self, job_id: str) -> list[dict[str, t.Any]]:
        """Return the decisions on a job, in their order."""
        return list(self._kept_by_id.get(job_id, ()))

    def forget(self, job_id: str) -> None:
        """Drop the decisions on a job that is not known any more."""
        self._kept_by_id.pop(job_id, None)
