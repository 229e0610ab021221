"""Graceful stop of an agent."""

from .. import effects
from . import worker as workers

#: Time without tasks after which the worker counts as drained.
MIN_IDLE_MS = 200


class Drain:
    """Drains the worker of tasks before the agent exits.

    Tasks may finish during the first half of the grace period; in the
    second half they are checkpointed. Tasks that can't be checkpointed run
    until they end.

    :param worker: the worker to drain.
    :param grace_ms: grace period in milliseconds.
    """

    __slots__ = (
        '_began_ms',
        '_grace_ms',
        '_is_drained',
        '_last_busy_ms',
        '_worker',
    )

    def __init__(self, worker: workers.Worker, grace_ms: int) -> None:
        self._worker = worker
        self._grace_ms = grace_ms
        self._began_ms = 0
        self._last_busy_ms = 0
        self._is_drained = False

    def begin(self, now_ms: int) -> None:
        """Begin to drain: the worker accepts no new work any more."""
        self._worker.is_draining = True
        self._worker.state_version += 1
        self._began_ms = now_ms
        self._last_busy_ms = now_ms

    def tick(self, is_gang_busy: bool, now_ms: int) -> list[effects.Output]:
        """Checkpoint tasks in the second half of the grace period.

        :param is_gang_busy: whether other agents of a gang still have to be
            notified.
        :return: checkpoints; once, after the worker has been idle for
            ``MIN_IDLE_MS``, :class:`.effects.Drained`.
        """
        if not self._worker.is_draining or self._is_drained:
            return []
        if self._worker.tasks_by_key or is_gang_busy:
            self._last_busy_ms = now_ms
            return self._checkpoint_tasks(now_ms)
        if now_ms - self._last_busy_ms < MIN_IDLE_MS:
            return []
        self._is_drained = True
        return [effects.Drained()]

    def _checkpoint_tasks(self, now_ms: int) -> list[effects.Output]:
        remaining_ms = self._began_ms + self._grace_ms - now_ms
        if remaining_ms > self._grace_ms // 2:
            return []
        outputs: list[effects.Output] = []
        for task in self._worker.tasks_by_key.values():
            outputs += task.checkpoint(max(0, remaining_ms))
        return outputs
