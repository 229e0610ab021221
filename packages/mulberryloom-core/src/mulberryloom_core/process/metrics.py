"""Metrics of a process in the Prometheus text format."""

import typing as t

import aioprometheus
from aioprometheus import renderer

from ..connection.http_types import HttpResponse

_ACCEPTED_TYPES = ('text/plain',)


class Metrics:
    """Metrics registry of one process.

    It is not global, since one interpreter may run several processes of the
    system.
    """

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()

    def counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        """Register a counter.

        :param name: name with its unit, such as ``requests_total``.
        :param help_text: description of the metric.
        """
        metric = aioprometheus.Counter(
            name, help_text, registry=self._registry
        )
        return metric

    def gauge(self, name: str, help_text: str) -> aioprometheus.Gauge:
        """Register a gauge."""
        return aioprometheus.Gauge(name, help_text, registry=self._registry)

    def histogram(
        self, name: str, help_text: str, bounds: t.Sequence[float]
    ) -> aioprometheus.Histogram:
        """Register a histogram.

        :param bounds: upper bounds of the buckets in ascending order.
        """
        return aioprometheus.Histogram(
            name, help_text, buckets=bounds, registry=self._registry
        )

    def response(self) -> HttpResponse:
        """Return the response to a scrape."""
        content, headers = renderer.render(self._registry, _ACCEPTED_TYPES)
        content_type = headers['Content-Type']
        return HttpResponse(200, content_type, content)
