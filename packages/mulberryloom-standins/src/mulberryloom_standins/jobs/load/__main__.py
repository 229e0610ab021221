"""Command line of the benchmark of jobs with steps."""

import logging
import time

import defopt
from mulberryloom_policy import jobs as policy
import structlog

from . import baselines
from . import patterns
from . import trial as trials


def _planners() -> dict[str, trials.StepPlanner]:
    options = policy.PlanOptions(stop_grace_ms=400)
    return {
        'planner': policy.JobPlanner(options),
        'speeds unknown': policy.JobPlanner(options),
        'shortest first': baselines.ShortestFirst(),
    }


def _speeds(name: str) -> policy.WorkerSpeeds | None:
    if name != 'planner':
        return None
    return policy.WorkerSpeeds()


def main(*, seeds: int = 3, only: str = '', pattern: str = '') -> None:
    """Compare the job planner with a simple one under all patterns.

    :param seeds: number of trials of each pattern.
    :param only: name of the one planner to run; all if empty.
    :param pattern: part of the name of the patterns to play.

    Where workers are of unequal speed, the planner is also played without
    learning their speeds.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    for load in patterns.ALL_PATTERNS:
        if pattern not in load.name:
            continue
        print(load.name)
        for name in _planners():
            if name == 'speeds unknown' and not load.speeds:
                continue
            if only in ('', name):
                _play(load, name, seeds)


def _play(load: patterns.Pattern, name: str, seeds: int) -> None:
    """Print one line: the figures of a planner over all seeds."""
    started_s = time.perf_counter()
    played = [
        trials.Trial(load, _planners()[name], seed, _speeds(name)).run()
        for seed in range(seeds)
    ]
    elapsed_s = time.perf_counter() - started_s
    shares = [f'{trial.share:.3f}' for trial in played]
    mean = sum(trial.share for trial in played) / seeds
    classes = ', '.join(
        f'{job_class.name} '
        f'{_mean_share(played, job_class.name):.3f} '
        f'({_counts(played, job_class.name)})'
        for job_class in load.classes
    )
    lost = sum(trial.lost_core_s for trial in played) / seeds
    stopped = sum(trial.stopped_runs for trial in played) / seeds
    used = sum(trial.utilization for trial in played) / seeds
    plans = sum(trial.plans for trial in played)
    print(
        f'  {name:15} {mean:.3f} of [{" ".join(shares)}]; {classes}; '
        f'in use {used:.2f}, stopped {stopped:.0f}, lost {lost:.0f} core-s, '
        f'{1_000 * elapsed_s / plans:.1f} ms a plan',
        flush=True,
    )
    if load.account_skew:
        print(f'  {"":15} {_by_account(load, played)}', flush=True)


def _by_account(load: patterns.Pattern, played: list[trials.Trial]) -> str:
    """Return the shares of jobs in time, by account and of the worst tenth.

    Accounts without jobs in a trial do not count among its worst.
    """
    shares = []
    for index in range(load.accounts):
        credits = [t.credit_by_account[f'account-{index}'] for t in played]
        in_time = sum(c.in_time for c in credits)
        count = in_time + sum(c.late + c.lost for c in credits)
        shares.append(f'{in_time / max(1, count):.2f} of {count}')
    worst = [_worst_tenth(trial) for trial in played]
    return (
        f'in time by account: {", ".join(shares)}; worst tenth '
        f'{sum(worst) / len(worst):.3f} of '
        f'[{" ".join(f"{share:.2f}" for share in worst)}]'
    )


def _worst_tenth(trial: trials.Trial) -> float:
    """Return the mean share in time of the worst tenth of the accounts."""
    shares = sorted(
        credit.in_time_share
        for credit in trial.credit_by_account.values()
        if credit.owed
    )
    worst = shares[: max(1, len(shares) // 10)]
    return sum(worst) / len(worst)


def _mean_share(played: list[trials.Trial], name: str) -> float:
    credits = [trial.credit_by_class[name] for trial in played]
    owed = sum(credit.owed for credit in credits)
    return sum(c.earned for c in credits) / owed if owed else 1.0


def _counts(played: list[trials.Trial], name: str) -> str:
    credits = [trial.credit_by_class[name] for trial in played]
    return '/'.join(
        str(sum(values))
        for values in (
            [c.in_time for c in credits],
            [c.late for c in credits],
            [c.lost for c in credits],
        )
    )


if __name__ == '__main__':
    defopt.run(main)
