"""Counts by name and label, kept cheap until somebody reads them."""

import bisect
import collections
import typing as t

#: Upper bounds of latency histograms, in milliseconds.
BOUNDS_MS = (5, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000)
#: Label values of one counter; further ones count as ``other``.
MAX_LABELS = 40


class Tally:
    """Counters, gauges and latency histograms of one process.

    Names carry their unit. One label at most, whose values are bounded.
    """

    __slots__ = ('_count_by_label', '_gauge_by_name', '_histogram_by_name')

    def __init__(self) -> None:
        self._count_by_label: dict[str, collections.Counter[str]] = {}
        self._gauge_by_name: dict[str, float] = {}
        self._histogram_by_name: dict[str, list[int]] = {}

    def count(self, name: str, label: str = '') -> None:
        """Add one to a counter."""
        counts = self._count_by_label.setdefault(name, collections.Counter())
        if label not in counts and len(counts) >= MAX_LABELS:
            label = 'other'
        counts[label] += 1

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauge_by_name[name] = value

    def observe_ms(self, name: str, duration_ms: int) -> None:
        """Add a duration to a histogram."""
        buckets = self._histogram_by_name.setdefault(
            name, [0] * (len(BOUNDS_MS) + 2)
        )
        buckets[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        buckets[-1] += duration_ms

    def counter(self, name: str, label: str = '') -> int:
        """Return a counter's value."""
        return self._count_by_label.get(name, collections.Counter())[label]

    def lines(self) -> t.Iterator[str]:
        """Yield everything in the Prometheus text format."""
        for name, counts in sorted(self._count_by_label.items()):
            yield f'# TYPE {name} counter'
            for label, value in sorted(counts.items()):
                suffix = f'{{kind="{label}"}}' if label else ''
                yield f'{name}{suffix} {value}'
        for name, value in sorted(self._gauge_by_name.items()):
            yield f'# TYPE {name} gauge'
            yield f'{name} {value}'
        for name, buckets in sorted(self._histogram_by_name.items()):
            yield f'# TYPE {name} histogram'
            total = 0
            for bound, value in zip(BOUNDS_MS, buckets, strict=False):
                total += value
                yield f'{name}_bucket{{le="{bound}"}} {total}'
            total += buckets[-2]
            yield f'{name}_bucket{{le="+Inf"}} {total}'
            yield f'{name}_sum {buckets[-1]}'
            yield f'{name}_count {total}'
