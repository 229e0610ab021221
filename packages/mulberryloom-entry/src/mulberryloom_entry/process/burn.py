"""Counts of good and bad requests for each service-level objective.

Requests are counted in buckets of calendar time, so that the counts of
several entries can be added, including those of an entry that was lost.
The burn rate of an error budget follows from the counts of a window. An
error budget is the share of bad requests that an objective allows; it is
unrelated to the retry budgets of ``request.budget``.
"""

import dataclasses
import typing as t

from mulberryloom_core import messages

if t.TYPE_CHECKING:
    from mulberryloom_core.version import configuration as configurations

    from ..request.lifecycle import Request

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
BUCKET_MS = 5 * MINUTE_MS
#: Buckets of the longest window, and two more.
RETAINED_BUCKETS = 3 * 24 * HOUR_MS // BUCKET_MS + 2
WINDOWS_MS = (BUCKET_MS, HOUR_MS, 6 * HOUR_MS, 72 * HOUR_MS)
_PERCENT = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRateAlert:
    """Alert that is raised when the burn rate is high in two windows.

    :param short_ms: length of the short window in milliseconds.
    :param long_ms: length of the long window in milliseconds.
    :param factor: lowest burn rate, in both windows, that raises it.
    """

    name: str
    short_ms: int
    long_ms: int
    factor: float


FAST_ALERT = BurnRateAlert('fast', BUCKET_MS, HOUR_MS, 14.4)
SLOW_ALERT = BurnRateAlert('slow', 6 * HOUR_MS, 72 * HOUR_MS, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate of one objective in one window.

    :param window_ms: length of the window in milliseconds.
    :param good: number of requests that met the objective.
    :param bad: number of requests that missed it.
    :param rate: share of bad requests divided by the allowed share; a rate
        of ``1`` uses up the error budget exactly.
    """

    window_ms: int
    good: int
    bad: int
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """Burn rates of one objective.

    :param objective: names of the service and the objective, separated by
        a slash.
    :param target_percent: share of requests that must be good.
    :param budget_left_percent: error budget left in the longest window;
        negative when it is exceeded.
    :param alerts: names of the alerts that are raised.
    """

    objective: str
    target_percent: float
    windows: list[WindowBurn]
    budget_left_percent: float
    alerts: list[str]


@dataclasses.dataclass(slots=True)
class _BucketCounts:
    good: int = 0
    bad: int = 0


class BurnRateTracker:
    """Counts of this entry and those reported by other entries.

    A key is the name of an objective and the number of a bucket.
    """

    __slots__ = (
        '_changed_keys',
        '_counts_by_incarnation',
        '_counts_by_key',
        '_entry',
    )

    def __init__(self, entry: messages.EntryInfo) -> None:
        self._entry = entry
        self._changed_keys: set[tuple[str, int]] = set()
        self._counts_by_key: dict[tuple[str, int], _BucketCounts] = {}
        self._counts_by_incarnation: dict[
            tuple[str, int], dict[tuple[str, int], messages.BurnCounts]
        ] = {}

    def record(
        self,
        request: 'Request',
        configuration: 'configurations.Configuration',
        wall_ms: int,
    ) -> None:
        """Count a request that has ended.

        :param wall_ms: calendar time, in milliseconds since the Unix epoch.
        """
        service = configuration.services_by_name.get(request.work.service)
        outcome = request.outcome
        if service is None or outcome is None or request.ended_ms is None:
            return
        total_ms = request.ended_ms - request.accepted_ms
        for objective in service.objectives_by_name.values():
            if objective.request_class is not request.work.request_class:
                continue
            is_good = outcome.error is None and _is_within_limits(
                objective, total_ms, outcome.run_ms
            )
            name = f'{service.name}/{objective.name}'
            self._count(name, wall_ms // BUCKET_MS, is_good)

    def _count(self, objective: str, bucket: int, is_good: bool) -> None:
        count = self._counts_by_key.setdefault(
            (objective, bucket), _BucketCounts()
        )
        if is_good:
            count.good += 1
        else:
            count.bad += 1
        self._changed_keys.add((objective, bucket))

    def take_changes(self, wall_ms: int) -> messages.BurnReport | None:
        """Return this entry's counts that changed since the last call.

        :return: ``None`` when nothing has changed.
        """
        changed_keys = self._changed_keys
        self._changed_keys = set()
        report = self.report(wall_ms)
        counts = [
            count
            for count in report.counts
            if (count.objective, count.bucket) in changed_keys
        ]
        if not counts:
            return None
        return dataclasses.replace(report, counts=counts)

    def report(self, wall_ms: int) -> messages.BurnReport:
        """Return this entry's own counts and drop the expired ones."""
        last_expired_bucket = wall_ms // BUCKET_MS - RETAINED_BUCKETS
        self._counts_by_key = {
            key: count
            for key, count in self._counts_by_key.items()
            if key[1] > last_expired_bucket
        }
        counts = [
            messages.BurnCounts(objective, bucket, count.good, count.bad)
            for (objective, bucket), count in self._counts_by_key.items()
        ]
        return messages.BurnReport(
            self._entry.name, self._entry.incarnation, counts
        )

    def merge(self, report: messages.BurnReport) -> None:
        """Replace the counts of another entry by those that it reports.

        Counts of its earlier incarnations, and of buckets that the report
        does not contain, are kept.
        """
        incarnation = (report.entry, report.incarnation)
        counts_by_key = self._counts_by_incarnation.setdefault(incarnation, {})
        for count in report.counts:
            counts_by_key[count.objective, count.bucket] = count

    def burn_rates(
        self,
        configuration: 'configurations.Configuration',
        wall_ms: int,
    ) -> list[ObjectiveBurn]:
        """Return the burn rates of every configured objective."""
        counts = self.report(wall_ms).counts
        for counts_by_key in self._counts_by_incarnation.values():
            counts.extend(counts_by_key.values())
        burns = []
        for service in configuration.services_by_name.values():
            for objective in service.objectives_by_name.values():
                name = f'{service.name}/{objective.name}'
                objective_counts = [
                    count for count in counts if count.objective == name
                ]
                burns.append(
                    _objective_burn(
                        name,
                        objective.target_percent,
                        objective_counts,
                        wall_ms,
                    )
                )
        return burns


def _is_within_limits(
    objective: 'configurations.Objective', total_ms: int, run_ms: int
) -> bool:
    wait_ms = max(0, total_ms - run_ms)
    if objective.start_within_ms and wait_ms > objective.start_within_ms:
        return False
    limit_ms = objective.finish_within_ms
    return not limit_ms or total_ms <= limit_ms


def _objective_burn(
    name: str,
    target_percent: float,
    counts: list[messages.BurnCounts],
    wall_ms: int,
) -> ObjectiveBurn:
    allowed_share = max(1e-9, (_PERCENT - target_percent) / _PERCENT)
    windows = [
        _window_burn(window_ms, allowed_share, counts, wall_ms)
        for window_ms in WINDOWS_MS
    ]
    rates_by_window = {window.window_ms: window.rate for window in windows}
    alerts = [
        alert.name
        for alert in (FAST_ALERT, SLOW_ALERT)
        if rates_by_window[alert.short_ms] >= alert.factor
        and rates_by_window[alert.long_ms] >= alert.factor
    ]
    budget_left_percent = _PERCENT * (1 - windows[-1].rate)
    return ObjectiveBurn(
        name, target_percent, windows, budget_left_percent, alerts
    )


def _window_burn(
    window_ms: int,
    allowed_share: float,
    counts: list[messages.BurnCounts],
    wall_ms: int,
) -> WindowBurn:
    # The current bucket is incomplete, so one additional bucket is counted.
    oldest_bucket = wall_ms // BUCKET_MS - window_ms // BUCKET_MS
    counts_in_window = [
        count for count in counts if count.bucket >= oldest_bucket
    ]
    good = sum(count.good for count in counts_in_window)
    bad = sum(count.bad for count in counts_in_window)
    total = good + bad
    rate = bad / total / allowed_share if total else 0.0
    return WindowBurn(window_ms, good, bad, rate)
