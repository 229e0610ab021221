"""Circuit breakers, one for each worker's backend server."""

import dataclasses
import random
import typing as t

FAILURES_TO_OPEN = 3
#: Bounds of the backoff for which a circuit breaker stays open.
FIRST_OPEN_MS = 1_000
MAX_OPEN_MS = 60_000


def jittered_backoff(
    failures: int, first_ms: int, max_ms: int, rng: random.Random
) -> int:
    """Return an exponential backoff with jitter.

    :param failures: consecutive failures, at least one.
    :param first_ms: upper bound after the first failure; it doubles with
        each further failure.
    :param max_ms: largest upper bound.
    :return: milliseconds between half of the upper bound and the bound.
    """
    max_delay_ms = min(max_ms, first_ms << min(failures - 1, 20))
    return rng.randint(max_delay_ms // 2, max_delay_ms)


@dataclasses.dataclass(slots=True)
class _Circuit:
    failures: int = 0
    open_count: int = 0
    open_until_ms: int = 0
    is_probing: bool = False


class Circuits:
    """Circuit breakers of all workers.

    After ``FAILURES_TO_OPEN`` consecutive failures a worker gets no work
    for a backoff that grows with each opening; then a single request probes
    it.
    """

    __slots__ = ('_circuits_by_worker', '_random')

    def __init__(self, rng: random.Random) -> None:
        self._circuits_by_worker: dict[str, _Circuit] = {}
        self._random = rng

    def allows(self, worker: str, now: int) -> bool:
        """Return whether the worker may get another request."""
        circuit = self._circuits_by_worker.get(worker)
        if circuit is None or circuit.open_count == 0:
            return True
        return now >= circuit.open_until_ms and not circuit.is_probing

    def is_open(self, worker: str) -> bool:
        """Return whether the worker is quarantined or being probed."""
        circuit = self._circuits_by_worker.get(worker)
        return circuit is not None and circuit.open_count > 0

    def open_workers(self) -> t.Iterator[str]:
        """Yield the workers that are quarantined or being probed."""
        for worker, circuit in self._circuits_by_worker.items():
            if circuit.open_count:
                yield worker

    def record_sent(self, worker: str) -> None:
        """Record that a request is sent; it is a probe if quarantined."""
        circuit = self._circuits_by_worker.get(worker)
        if circuit is not None and circuit.open_count:
            circuit.is_probing = True

    def end_probe(self, worker: str) -> None:
        """Record the end of a request that says nothing about health."""
        circuit = self._circuits_by_worker.get(worker)
        if circuit is not None:
            circuit.is_probing = False

    def record_success(self, worker: str) -> None:
        """Record that a request succeeded on the worker."""
        self._circuits_by_worker.pop(worker, None)

    def record_failure(self, worker: str, now: int) -> None:
        """Record that a request failed on the worker."""
        circuit = self._circuits_by_worker.setdefault(worker, _Circuit())
        circuit.failures += 1
        circuit.is_probing = False
        if circuit.failures < FAILURES_TO_OPEN:
            return
        circuit.open_count += 1
        circuit.open_until_ms = now + jittered_backoff(
            circuit.open_count, FIRST_OPEN_MS, MAX_OPEN_MS, self._random
        )

    def forget(self, worker: str) -> None:
        """Reset the circuit of a worker that was lost or restarted."""
        self._circuits_by_worker.pop(worker, None)
