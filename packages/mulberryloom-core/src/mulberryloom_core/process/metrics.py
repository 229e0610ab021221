"""Metrics of a process in the Prometheus text format."""

import typing as t

import aioprometheus
from aioprometheus import renderer

from ..connection.http_types import HttpResponse

_TEXT = ('text/plain',)


class Metrics:
    """Registry of one process; several may live in one interpreter."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()

    def counter(self, name: str, text: str) -> aioprometheus.Counter:
        """Register a counter, such as ``requests_total``."""
        metric = aioprometheus.Counter(name, text, registry=self._registry)
        return metric

    def gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        """Register a gauge."""
        return aioprometheus.Gauge(name, text, registry=self._registry)

    def histogram(
        self, name: str, text: str, bounds: t.Sequence[float]
    ) -> aioprometheus.Histogram:
        """Register a histogram.

        :param bounds: upper bounds of its buckets, rising.
        """
        return aioprometheus.Histogram(
            name, text, buckets=bounds, registry=self._registry
        )

    def response(self) -> HttpResponse:
        """Answer a scrape."""
        content, headers = renderer.render(self._registry, _TEXT)
        content_type = headers['Content-Type']
        return HttpResponse(200, content_type, content)
