"""Circuit breaker of an entry's own connection to the store."""

#: Consecutive calls without an answer that open the circuit. One may just be
#: an answer that was lost.
FAILURES_TO_OPEN = 2
#: Interval of the calls that probe the store while the circuit is open; a
#: small part of the time that callers wait.
PROBE_INTERVAL_MS = 150


class StoreCircuit:
    """Tells whether a call to the store is worth its timeout.

    :ivar failures: consecutive calls without an answer.
    """

    __slots__ = ('failures',)

    def __init__(self) -> None:
        self.failures = 0

    @property
    def is_open(self) -> bool:
        """Whether the last calls were not answered."""
        return self.failures >= FAILURES_TO_OPEN

    def record_answer(self) -> None:
        """Record that the store has answered a call."""
        self.failures = 0

    def record_failure(self) -> None:
        """Record that a call was not answered, or refused as unavailable."""
        self.failures += 1
