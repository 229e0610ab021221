"""Circuit breaker of an entry's own connection to the store."""

#: Consecutive calls without an answer that open the circuit. One may just be
#: an answer that was lost.
FAILURES_TO_OPEN = 2
#: Interval of the calls that probe the store while the circuit is open.
PROBE_INTERVAL_MS = 400


class StoreCircuit:
    """Tells whether a call to the store is worth its timeout.

    While the circuit is open, one call at a time is let through as a probe,
    at most every ``PROBE_INTERVAL_MS``; its answer closes the circuit.

    :ivar failures: consecutive calls without an answer.
    """

    __slots__ = ('_next_probe_ms', 'failures')

    def __init__(self) -> None:
        self.failures = 0
        self._next_probe_ms = 0

    @property
    def is_open(self) -> bool:
        """Whether the last calls were not answered."""
        return self.failures >= FAILURES_TO_OPEN

    def try_begin(self, now_ms: int) -> bool:
        """Return whether a call may be sent now.

        In an open circuit the call is the probe, and the next one waits for
        its outcome or for the interval.
        """
        if not self.is_open:
            return True
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def record_answer(self) -> None:
        """Record that the store has answered a call."""
        self.failures = 0

    def record_failure(self, now_ms: int) -> None:
        """Record that a call was not answered, or refused as unavailable."""
        self.failures += 1
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
