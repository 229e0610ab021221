"""Metrics that are registered when they are first recorded."""

import typing as t

from . import metrics

if t.TYPE_CHECKING:
    import aioprometheus

#: Upper bounds of latency histograms, in milliseconds.
BOUNDS_MS = (5, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000)
#: Most label values of one counter; further values count as ``other``.
MAX_LABELS = 40
_OTHER_LABEL = 'other'


class ProcessMetrics:
    """Counters, gauges and latency histograms of one process.

    Names of metrics include their unit. A counter has at most one label,
    ``kind``, with a bounded number of values.
    """

    __slots__ = (
        '_counter_by_name',
        '_gauge_by_name',
        '_histogram_by_name',
        '_labels_by_name',
        '_metrics',
    )

    def __init__(self) -> None:
        self._metrics = metrics.Metrics()
        self._counter_by_name: dict[str, aioprometheus.Counter] = {}
        self._gauge_by_name: dict[str, aioprometheus.Gauge] = {}
        self._histogram_by_name: dict[str, aioprometheus.Histogram] = {}
        self._labels_by_name: dict[str, set[str]] = {}

    def count(self, name: str, label: str = '') -> None:
        """Increment a counter.

        :param label: value of the label ``kind``; none if empty.
        """
        counter = self._counter_by_name.get(name)
        if counter is None:
            counter = self._metrics.counter(name, _help_text(name))
            self._counter_by_name[name] = counter
        labels = self._labels_by_name.setdefault(name, set())
        if label not in labels and len(labels) >= MAX_LABELS:
            label = _OTHER_LABEL
        labels.add(label)
        counter.inc({'kind': label} if label else {})

    def set_gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = self._metrics.gauge(name, _help_text(name))
            self._gauge_by_name[name] = gauge
        gauge.set({}, value)

    def observe_ms(self, name: str, duration_ms: int) -> None:
        """Add a duration to a histogram."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = self._metrics.histogram(
                name, _help_text(name), BOUNDS_MS
            )
            self._histogram_by_name[name] = histogram
        histogram.observe({}, duration_ms)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.response().body.decode()


def _help_text(name: str) -> str:
    return name.replace('_', ' ')
