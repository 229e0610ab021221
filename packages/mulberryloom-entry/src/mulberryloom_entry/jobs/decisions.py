"""The leader's decisions on each job, logged and kept for queries."""

import collections
import typing as t

import structlog

#: Decisions kept for one job; the oldest are dropped first.
MAX_DECISIONS_PER_JOB = 150

_log = structlog.get_logger(__name__)


class DecisionLog:
    """Logs decisions and keeps them until their job is forgotten.

    :ivar wall_ms: Unix time that new decisions get; set by the owner.
    """

    __slots__ = ('_decisions_by_job_id', 'wall_ms')

    def __init__(self) -> None:
        self.wall_ms = 0
        self._decisions_by_job_id: dict[
            str, collections.deque[dict[str, t.Any]]
        ] = {}

    def record(self, event: str, job_id: str, **fields: t.Any) -> None:
        """Log a decision on a job and keep it.

        :param event: text of the log line.
        :param fields: reason and outcome of the decision.
        """
        _log.info(event, job_id=job_id, **fields)
        decisions = self._decisions_by_job_id.get(job_id)
        if decisions is None:
            decisions = collections.deque(maxlen=MAX_DECISIONS_PER_JOB)
            self._decisions_by_job_id[job_id] = decisions
        decisions.append({'at_ms': self.wall_ms, 'event': event, **fields})

    def list_for(self, job_id: str) -> list[dict[str, t.Any]]:
        """Return the decisions on a job, oldest first."""
        return list(self._decisions_by_job_id.get(job_id, ()))

    def forget(self, job_id: str) -> None:
        """Remove the decisions on a job that is no longer tracked."""
        self._decisions_by_job_id.pop(job_id, None)
