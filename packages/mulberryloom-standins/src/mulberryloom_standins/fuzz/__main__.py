"""Command for whole-system fuzzing; prints counts of events and faults."""

import collections
import time

import defopt
import hypothesis
from hypothesis import stateful

from . import machine

STEPS = 40


def main(*, examples: int = 200, seed: int = 1) -> None:
    """Fuzz the whole system; a failure prints a minimised trace.

    :param examples: number of random sequences of faults and requests.
    :param seed: the same seed gives the same sequences.
    """
    totals: collections.Counter[str] = collections.Counter()

    class CountingSystem(machine.WholeSystem):
        """Adds the events of each example to the totals."""

        def teardown(self) -> None:
            super().teardown()
            totals['examples'] += 1
            totals['simulated seconds'] += self.world.now_ms // 1_000
            totals['calls'] += len(self.oracle.calls_by_id)
            totals['starts at backend servers'] += len(self.world.all_runs())
            totals['tickets accepted'] += len(self.oracle.accepted_tickets)
            totals.update(self.world.faults)

    CountingSystem._hypothesis_internal_use_seed = seed
    settings = hypothesis.settings(
        deadline=None,
        database=None,
        max_examples=examples,
        stateful_step_count=STEPS,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    started_s = time.monotonic()
    stateful.run_state_machine_as_test(CountingSystem, settings=settings)
    for name, count in totals.most_common():
        print(f'{count:8}  {name}')
    print(f'{time.monotonic() - started_s:8.0f}  seconds, no violation')


if __name__ == '__main__':
    defopt.run(main)
