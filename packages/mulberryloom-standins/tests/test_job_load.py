"""Load patterns of the deployments, played with the job planner."""

from mulberryloom_policy import jobs as policy
from mulberryloom_standins.jobs import load
from mulberryloom_standins.jobs.load import baselines
import pytest

PATTERN_BY_NAME = {pattern.name: pattern for pattern in load.ALL_PATTERNS}
OPTIONS = policy.PlanOptions(stop_grace_ms=400)


def _play(name, planner, seed=0):
    return load.Trial(PATTERN_BY_NAME[name], planner, seed).run()


def test_trial_repeats_with_the_same_seed():
    shares = {
        _play('small fleet, few jobs', policy.JobPlanner(OPTIONS)).share
        for _ in range(2)
    }
    assert len(shares) == 1


@pytest.mark.parametrize(
    'name', ['small fleet, few jobs', 'small fleet, urgent gangs at capacity']
)
def test_planner_serves_urgent_gangs_better_than_shortest_first(name):
    planned = _play(name, policy.JobPlanner(OPTIONS))
    simple = _play(name, baselines.ShortestFirst())
    assert (
        planned.credit_by_class['companion'].share
        >= simple.credit_by_class['companion'].share
    )


# Guards against urgent gangs that wait behind wide urgent steps, while callers
# cancel a tenth of the other jobs.
def test_wide_and_tight_urgent_gangs_are_served_better_than_shortest_first():
    name = 'wide and tight urgent gangs'
    planned = _play(name, policy.JobPlanner(OPTIONS))
    simple = _play(name, baselines.ShortestFirst())
    urgent = planned.credit_by_class['confirm']
    assert urgent.share >= simple.credit_by_class['confirm'].share


# Guards against a trial of replaced workers in which none is replaced, or runs
# go on on workers that have left.
def test_replaced_workers_leave_the_trial_without_runs():
    name = 'wide and tight urgent gangs while workers are replaced'
    trial = _play(name, policy.JobPlanner(OPTIONS), seed=1)
    names = [worker.worker for worker in trial._workers]
    new = [worker for worker in names if worker.startswith('n')]
    assert len(names) == 74
    assert len(new) == int(0.4 * 74)
    for worker in trial._workers:
        assert not worker.is_draining


def test_trial_starts_nothing_beyond_the_capacity_of_a_worker():
    name = 'small fleet, urgent gangs at capacity'
    trial = load.Trial(PATTERN_BY_NAME[name], policy.JobPlanner(OPTIONS), 1)
    plan = trial._plan

    def plan_and_check():
        plan()
        for worker in trial._workers:
            worker.recompute_free()
            assert worker.free_accelerators >= 0
            assert worker.free_cpu >= 0

    trial._plan = plan_and_check
    trial.run()
