"""Order of the heartbeats of one incarnation of a worker."""

#: Time for which heartbeats with lower numbers keep coming until they count:
#: longer than late ones arrive after each other.
RESUME_AFTER_MS = 2_000


class HeartbeatOrder:
    """Tells late heartbeats from those of a worker that goes on.

    A heartbeat with a lower number than the last one is late, unless more of
    them follow in their order for a while: then the last one was not of this
    worker, and would hide all that follow.

    :param sequence: number of the first heartbeat.
    """

    __slots__ = ('_last', '_last_lower', '_lower_since_ms')

    def __init__(self, sequence: int) -> None:
        self._last = sequence
        self._last_lower = 0
        self._lower_since_ms: int | None = None

    def accept(self, sequence: int, now_ms: int) -> bool:
        """Return whether a heartbeat follows those that were accepted."""
        if sequence <= self._last and not self._has_resumed(sequence, now_ms):
            return False
        self._last = sequence
        self._lower_since_ms = None
        return True

    def _has_resumed(self, sequence: int, now_ms: int) -> bool:
        if self._lower_since_ms is None:
            self._lower_since_ms = now_ms
        elif sequence <= self._last_lower:
            return False
        self._last_lower = sequence
        return now_ms - self._lower_since_ms >= RESUME_AFTER_MS
