"""Command line of the policy benchmark."""

import pathlib
import time

import defopt
from mulberryloom_policy import options as policy_options
from mulberryloom_policy import planner

from . import baselines
from . import driver
from . import report
from . import workload


def build_planner(deployment: workload.Deployment) -> planner.Planner:
    """Return the planner with the weights and guarantees of a deployment."""
    options = policy_options.PolicyOptions(
        completion_weight=deployment.completion_weight,
        fragmentation_weight=deployment.fragmentation_weight,
        checkpoint_grace_ms=driver.CHECKPOINT_GRACE_MS,
    )
    built_planner = planner.Planner.from_configuration(
        deployment.configuration(), options
    )
    built_planner.set_owned(set(deployment.guarantees))
    return built_planner


def compare(
    deployment: workload.Deployment, seed: int, only: str
) -> report.Figures:
    """Run all policies, or only one, on the same jobs.

    :param only: name of the policy to run; all if empty.
    """
    arrivals = deployment.arrivals(seed)
    policies = {report.PLANNER_NAME: build_planner(deployment)}
    for name, build_policy in baselines.all_baselines().items():
        policies[name] = build_policy()
    figures_by_policy = {}
    for name, policy in policies.items():
        if only and name != only:
            continue
        started_s = time.perf_counter()
        simulation = driver.Driver(deployment, arrivals, policy, seed)
        figures_by_policy[name] = simulation.run().figures()
        elapsed_s = time.perf_counter() - started_s
        figures_by_policy[name]['run time s'] = round(elapsed_s, 1)
    return figures_by_policy


def main(
    *,
    seed: int = 1,
    only: str = '',
    folder: pathlib.Path = pathlib.Path('build'),
) -> None:
    """Compare the policy with simple ones on both deployments.

    :param seed: seed of the jobs and faults.
    :param only: name of the one policy to run, for a quick look.
    :param folder: where the JSON file and the plot go.
    """
    figures_by_deployment = {}
    targets_by_deployment = {}
    longest_gang_wait_s = (
        policy_options.PolicyOptions().longest_gang_wait_ms / 1_000
    )
    for deployment in workload.DEPLOYMENTS:
        figures = compare(deployment, seed, only)
        figures_by_deployment[deployment.name] = figures
        print(report.table(deployment.name, figures), flush=True)
        if only:
            continue
        targets = report.targets(figures, longest_gang_wait_s)
        targets_by_deployment[deployment.name] = targets
        print(report.verdicts(targets), end='\n\n', flush=True)
    if only:
        return
    report.write(folder, seed, figures_by_deployment, targets_by_deployment)


if __name__ == '__main__':
    defopt.run(main)
