"""Order of the heartbeats of one incarnation of a worker."""

#: Number of heartbeats in their order that show that a worker goes on: more
#: than two late ones, which may be of any age.
MIN_SERIES_LENGTH = 3
#: Time over which they must come: longer than late ones arrive after each
#: other.
MIN_SERIES_MS = 2_000


class HeartbeatSeries:
    """Heartbeats that do not count yet, with rising numbers."""

    __slots__ = ('_last', '_length', '_since_ms')

    def __init__(self) -> None:
        self._last = 0
        self._length = 0
        self._since_ms = 0

    def add(self, sequence: int, now_ms: int) -> bool:
        """Add a heartbeat; one with a lower number begins a new series.

        :return: whether the sender goes on.
        """
        if self._length and sequence == self._last:
            return False
        if not self._length or sequence < self._last:
            self._length = 0
            self._since_ms = now_ms
        self._last = sequence
        self._length += 1
        return (
            self._length >= MIN_SERIES_LENGTH
            and now_ms - self._since_ms >= MIN_SERIES_MS
        )

    def clear(self) -> None:
        self._length = 0


class HeartbeatOrder:
    """Tells late heartbeats from those of a worker that goes on.

    A heartbeat with a lower number than the last one is late, unless more of
    them follow in their order for a while: then the last one was not of this
    worker, and would hide all that follow.

    :param sequence: number of the first heartbeat.
    """

    __slots__ = ('_last', '_lower')

    def __init__(self, sequence: int) -> None:
        self._last = sequence
        self._lower = HeartbeatSeries()

    def accept(self, sequence: int, now_ms: int) -> bool:
        """Return whether a heartbeat follows those that were accepted."""
        if sequence == self._last:
            return False
        if sequence < self._last and not self._lower.add(sequence, now_ms):
            return False
        self._last = sequence
        self._lower.clear()
        return True
