"""Tests of the tasks that run the leader."""

import asyncio

from mulberryloom_core import clock as clocks
from mulberryloom_entry.jobs import term as terms

PLAN_MS = 60


class SlowLeader:
    """Leader whose every plan takes ``PLAN_MS``."""

    generation = 1

    def __init__(self, clock):
        self.is_deposed = False
        self.plan_count = 0
        self._clock = clock

    def tick(self, now_ms, wall_ms):
        pass

    def plan(self, now_ms, wall_ms):
        self.plan_count += 1
        self._clock.advance(PLAN_MS)

    def take_orders(self, now_ms):
        return []


def test_term_bounds_share_of_time_spent_planning():
    """Wake-ups arrive constantly, as from a large and busy fleet."""

    async def run():
        clock = clocks.ManualClock(1_000)
        leader = SlowLeader(clock)
        term = terms.Term(leader, None, None, clock, 0)
        task = asyncio.create_task(term._run_loop())
        began_ms = clock.now_ms()
        while clock.now_ms() - began_ms < 10_000:
            clock.advance(5)
            term.wake()
            await asyncio.sleep(0)
        term.end()
        await task
        # The last plan is not counted, since its pause is not over.
        finished = leader.plan_count - 1
        return finished * PLAN_MS / (clock.now_ms() - began_ms)

    share = asyncio.run(run())
    assert 0.1 < share <= 1 / (1 + terms.PLAN_PAUSE_FACTOR)
