"""Runs trials of the job path with random seeds.

Start it with ``python -m mulberryloom_standins.jobs``.
"""

import logging
import secrets

import defopt
import structlog

from . import oracle
from . import trials


def run(
    count: int = 100,
    *,
    first: int | None = None,
    late_calls_at_successors: bool = False,
) -> None:
    """Run trials and print each seed that violated an invariant.

    :param count: number of seeds.
    :param first: first seed; a random one by default.
    :param late_calls_at_successors: whether calls that are executed late
        reach a later incarnation of the same worker.
    """
    level = logging.CRITICAL
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level)
    )
    begin = secrets.randbelow(10**9) if first is None else first
    failed = 0
    for seed in range(begin, begin + count):
        try:
            trials.run_trial(
                seed, has_late_calls_at_successors=late_calls_at_successors
            )
        except oracle.Violation as violation:
            failed += 1
            print(f'seed {seed}: {violation}')
    print(f'{count} seeds from {begin}, {failed} failed')
    raise SystemExit(failed > 0)


if __name__ == '__main__':
    defopt.run(run)
