"""Clocks with readings in whole milliseconds.

Code that depends on time is given a clock, so that tests can control it.
"""

import time
import typing as t


class Clock(t.Protocol):
    """Source of monotonic and wall-clock time."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds.

        Time during which the machine is suspended is included, so that a
        lease that expired during a suspension is not taken for valid.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock for tests and simulations; moved only by :meth:`advance`.

    :param now_ms: initial reading of both monotonic and wall-clock time.
    """

    __slots__ = ('_reading_ms',)

    def __init__(self, now_ms: int = 0) -> None:
        self._reading_ms = now_ms

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._reading_ms

    def wall_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._reading_ms

    def advance(self, by_ms: int) -> int:
        """Move the clock forward.

        :param by_ms: milliseconds to add; must not be negative.
        :return: the new reading.
        """
        self._reading_ms += by_ms
        return self._reading_ms
