"""Attribution of failures to workers or to requests.

A worker on which several requests fail is quarantined, and a request that
fails on several healthy workers is not tried again.
"""

import collections
import dataclasses

# A worker is quarantined after this many failures in a row, by at least
# ``REQUESTS_TO_QUARANTINE`` different requests.
FAILURES_TO_QUARANTINE = 3
REQUESTS_TO_QUARANTINE = 2
FIRST_QUARANTINE_MS = 10_000
MAX_QUARANTINE_MS = 300_000
# A request is blamed after failures on this many workers that were not
# quarantined.
WORKERS_TO_BLAME_REQUEST = 2
# Requests whose failures are kept; the oldest are dropped.
MAX_TRACKED_REQUESTS = 10_000


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Recent failures and quarantine of one worker.

    :param failed_requests: requests that failed since the last success.
    :param consecutive_quarantines: quarantines since the last success;
        each doubles the duration of the next one.
    :param quarantined_until_ms: when it is due for a probe; ``None``
        when it is not quarantined.
    :param probe_id: request that probes the worker after its quarantine.
    """

    failed_requests: list[str] = dataclasses.field(default_factory=list)
    consecutive_quarantines: int = 0
    quarantined_until_ms: int | None = None
    probe_id: str | None = None


class Health:
    """Failures and quarantine of workers, and failures of requests."""

    __slots__ = ('_health_by_worker', '_workers_by_request')

    def __init__(self) -> None:
        self._health_by_worker: dict[str, WorkerHealth] = {}
        self._workers_by_request: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def record_failure(
        self, request_id: str, workers: list[str], now_ms: int
    ) -> None:
        """Record that a request failed on some workers."""
        blamed = self._workers_by_request.setdefault(request_id, set())
        while len(self._workers_by_request) > MAX_TRACKED_REQUESTS:
            self._workers_by_request.popitem(last=False)
        for name in workers:
            if not self.is_quarantined(name):
                blamed.add(name)
            self._count_failure(name, request_id, now_ms)
        if self.is_request_blamed(request_id):
            self._clear_failures(request_id)

    def record_success(self, request_id: str, workers: list[str]) -> None:
        """Record that a request succeeded on some workers.

        A quarantine is ended only by its probe, not by work that was
        placed before.
        """
        self._workers_by_request.pop(request_id, None)
        for name in workers:
            health = self._health_by_worker.get(name)
            if health is None:
                continue
            if (
                health.quarantined_until_ms is None
                or health.probe_id == request_id
            ):
                del self._health_by_worker[name]

    def is_request_blamed(self, request_id: str) -> bool:
        """Tell whether the failures are attributed to the request.

        That is so after failures on two workers that were not quarantined.
        """
        workers = self._workers_by_request.get(request_id, set())
        return len(workers) >= WORKERS_TO_BLAME_REQUEST

    def failed_workers(self, request_id: str) -> set[str]:
        """Return the workers on which a request failed.

        Workers that were quarantined at the time are not counted.
        """
        return self._workers_by_request.get(request_id, set())

    def is_quarantined(self, worker: str) -> bool:
        """Tell whether a worker is excluded from new work."""
        health = self._health_by_worker.get(worker)
        return health is not None and health.quarantined_until_ms is not None

    def is_suspect(self, worker: str) -> bool:
        """Tell whether a worker has failed work since its last success."""
        return worker in self._health_by_worker

    def due_probes(self, now_ms: int) -> list[str]:
        """Return quarantined workers that are due for a probe."""
        return [
            name
            for name, health in self._health_by_worker.items()
            if health.quarantined_until_ms is not None
            and health.quarantined_until_ms <= now_ms
            and health.probe_id is None
        ]

    def start_probe(self, worker: str, request_id: str) -> None:
        """Record that a request probes a quarantined worker."""
        self._health_by_worker[worker].probe_id = request_id

    def end_probe(self, request_id: str, workers: list[str]) -> None:
        """Record that a probe ended without success or failure."""
        for name in workers:
            health = self._health_by_worker.get(name)
            if health is not None and health.probe_id == request_id:
                health.probe_id = None

    def forget_worker(self, worker: str) -> None:
        """Drop the records of a worker that left."""
        self._health_by_worker.pop(worker, None)

    def _count_failure(self, name: str, request_id: str, now_ms: int) -> None:
        """Count a failure of a worker and quarantine it if it is due.

        During a quarantine, only the failure of its probe counts.
        """
        health = self._health_by_worker.setdefault(name, WorkerHealth())
        if health.quarantined_until_ms is not None:
            if health.probe_id == request_id:
                self._quarantine(health, now_ms)
            return
        health.failed_requests.append(request_id)
        if (
            len(health.failed_requests) >= FAILURES_TO_QUARANTINE
            and len(set(health.failed_requests)) >= REQUESTS_TO_QUARANTINE
        ):
            self._quarantine(health, now_ms)

    def _quarantine(self, health: WorkerHealth, now_ms: int) -> None:
        """Begin a quarantine.

        Each one since the last success is twice as long as the one before,
        up to a limit.
        """
        duration_ms = FIRST_QUARANTINE_MS << min(
            health.consecutive_quarantines, 10
        )
        health.quarantined_until_ms = now_ms + min(
            duration_ms, MAX_QUARANTINE_MS
        )
        health.consecutive_quarantines += 1
        health.probe_id = None
        health.failed_requests.clear()

    def _clear_failures(self, request_id: str) -> None:
        """Drop the failures of a blamed request from its workers."""
        for name in self._workers_by_request[request_id]:
            health = self._health_by_worker.get(name)
            if health is None or health.quarantined_until_ms is not None:
                continue
            failed = health.failed_requests
            health.failed_requests = [
                failed_id for failed_id in failed if failed_id != request_id
            ]
            if not health.failed_requests:
                del self._health_by_worker[name]
