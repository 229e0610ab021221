"""Time in whole milliseconds, injected wherever time matters."""

import time
import typing as t


class Clock(t.Protocol):
    """Source of monotonic and calendar time."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds.

        Time in which the machine was suspended counts, so that a lease is
        not believed to be alive after a suspension that outlasted it.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that moves only when told to.

    :param now_ms: first reading, used for both kinds of time.
    """

    __slots__ = ('_now_ms',)

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Return the time that was set last, in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time that was set last, in milliseconds."""
        return self._now_ms

    def advance(self, by_ms: int) -> int:
        """Move the clock forward.

        :param by_ms: milliseconds to add, not negative.
        :return: the new reading.
        """
        self._now_ms += by_ms
        return self._now_ms
