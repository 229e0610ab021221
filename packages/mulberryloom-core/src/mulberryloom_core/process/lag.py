"""How late the event loop of a process is."""

import asyncio

from .. import clock as clocks
from . import tally

#: Pause between two measurements.
PERIOD_MS = 500
METRIC = 'event_loop_lag_ms'
_MS_PER_S = 1_000


async def watch(counts: tally.Tally, clock: clocks.Clock) -> None:
    """Measure for ever how much later than asked for a sleep ends.

    :param counts: where the delays are counted.
    """
    while True:
        due_ms = clock.now_ms() + PERIOD_MS
        await asyncio.sleep(PERIOD_MS / _MS_PER_S)
        counts.observe_ms(METRIC, max(0, clock.now_ms() - due_ms))
