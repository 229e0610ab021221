"""Metrics of the entry process."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core.process import metrics

if t.TYPE_CHECKING:
    from .. import effects
    from . import core as cores


class EntryMetrics:
    """Counters and gauges of one entry."""

    __slots__ = (
        '_answers',
        '_config_version',
        '_live_workers',
        '_open_requests',
        '_owned_jobs',
        '_store_calls',
        'registry',
    )

    def __init__(self) -> None:
        self.registry = metrics.Metrics()
        self._answers = self.registry.counter(
            'mulberryloom_answers_total', 'Answers given, by kind.'
        )
        self._store_calls = self.registry.counter(
            'mulberryloom_store_calls_total', 'Calls to the store, by kind.'
        )
        self._open_requests = self.registry.gauge(
            'mulberryloom_open_requests', 'Requests that have not ended.'
        )
        self._owned_jobs = self.registry.gauge(
            'mulberryloom_owned_jobs', 'Jobs that this entry plans.'
        )
        self._live_workers = self.registry.gauge(
            'mulberryloom_live_workers', 'Workers that are alive.'
        )
        self._config_version = self.registry.gauge(
            'mulberryloom_config_version', 'Configuration in force.'
        )

    def count_answer(self, reply: 'effects.Reply') -> None:
        """Count a reply by its error kind, or as ``ok`` without an error."""
        kind = 'ok'
        if isinstance(reply, exceptions.Error):
            kind = reply.kind.value
        self._answers.inc({'kind': kind})

    def count_store_call(self, kind: str) -> None:
        """Count a call to the store by its kind of request."""
        self._store_calls.inc({'kind': kind})

    def update(self, core: 'cores.EntryCore') -> None:
        """Set the gauges from the core's state."""
        self._open_requests.set({}, len(core.requests.open_requests))
        self._owned_jobs.set({}, len(list(core.dispatcher.jobs)))
        workers = core.context.membership.workers_by_name
        self._live_workers.set({}, len(workers))
        self._config_version.set({}, core.configuration.version)
