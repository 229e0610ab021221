"""Tests of the measurement of the event loop lag."""

import asyncio
import time

from mulberryloom_core import clock as clocks
from mulberryloom_core.process import lag
from mulberryloom_core.process import process_metrics


def test_lag_watch_records_blocked_event_loop():
    async def run():
        counts = process_metrics.ProcessMetrics()
        task = asyncio.create_task(lag.measure(counts, clocks.SystemClock()))
        await asyncio.sleep(lag.PERIOD_MS / 1_000 - 0.1)
        time.sleep(0.5)
        await asyncio.sleep(0.1)
        task.cancel()
        return counts.text().splitlines()

    lines = asyncio.run(run())
    assert f'{lag.METRIC}_count 1.0' in lines
    assert f'{lag.METRIC}_bucket{{le="250.0"}} 0.0' in lines
