"""Measurement of the event loop lag of a process."""

import asyncio

from .. import clock as clocks
from . import process_metrics

#: Time between two measurements.
PERIOD_MS = 500
METRIC = 'event_loop_lag_ms'
_MS_PER_S = 1_000


async def measure(
    metrics: process_metrics.ProcessMetrics, clock: clocks.Clock
) -> None:
    """Measure the event loop lag periodically until cancelled.

    The lag is the delay of the end of a sleep beyond its duration.

    :param metrics: metrics that include the histogram of the lag.
    """
    while True:
        due_ms = clock.now_ms() + PERIOD_MS
        await asyncio.sleep(PERIOD_MS / _MS_PER_S)
        metrics.observe_ms(METRIC, max(0, clock.now_ms() - due_ms))
