"""Memory limit of one task, enforced on delayed usage samples."""

import enum

# Time that a throttled task has to get back below its limit.
THROTTLE_GRACE_MS = 2_000


class MemoryAction(enum.Enum):
    """Action to take after a sample."""

    NONE = 'none'
    THROTTLE = 'throttle'
    STOP = 'stop'


class MemoryMonitor:
    """Checks usage samples of one task against its memory limit.

    The first sample over the limit throttles the task; a later one stops
    it.

    :param limit_mb: memory reserved by the task.
    """

    __slots__ = ('limit_mb', 'peak_mb', '_throttled_ms')

    def __init__(self, limit_mb: int) -> None:
        self.limit_mb = limit_mb
        self.peak_mb = 0
        self._throttled_ms: int | None = None

    def evaluate(
        self, memory_mb: int, sampled_ms: int, now_ms: int
    ) -> MemoryAction:
        """Process one sample and return the action to take.

        :param sampled_ms: time of the sample. Samples taken less than
            ``THROTTLE_GRACE_MS`` after the throttle never stop the task,
            since the throttle may not have taken effect.
        """
        self.peak_mb = max(self.peak_mb, memory_mb)
        if memory_mb <= self.limit_mb:
            self._throttled_ms = None
            return MemoryAction.NONE
        if self._throttled_ms is None:
            self._throttled_ms = now_ms
            return MemoryAction.THROTTLE
        if sampled_ms < self._throttled_ms + THROTTLE_GRACE_MS:
            return MemoryAction.NONE
        return MemoryAction.STOP
