"""Command ``python -m mulberryloom_standins.demo [DEPLOYMENT]``."""

import asyncio
import pathlib
import sys

import defopt

from mulberryloom_core.process import logs

from .. import deployments
from .. import fleet
from .. import ports
from . import embedded
from . import report as report_module
from . import requests
from . import step_jobs

_JOB_WORKER_COUNT = 2


def main(
    deployment: str = 'akwaboa',
    *,
    examples: str = 'examples',
    log_level: str = 'error',
) -> None:
    """Run requests and jobs on an embedded fleet and print a table of them.

    Exits with 1 if a request or job was lost, repeated or only partly run.

    :param deployment: name of a directory under the examples.
    :param examples: directory that holds the deployments.
    :param log_level: log level of entries and agents.
    """
    logs.configure(log_level)
    chosen_deployment = deployments.Deployment.from_directory(
        pathlib.Path(examples) / deployment
    )
    report = asyncio.run(_run(chosen_deployment))
    violations = report.violations()
    print(report.table())
    print()
    for violation in violations:
        print(f'wrong: {violation}')
    finished = len(report.rows) - len(report.unfinished())
    print(
        f'{deployment}: {finished} of {len(report.rows)} requests finished, '
        f'{report.completed_jobs()} of {len(report.job_rows)} jobs '
        f'completed, {len(violations)} things wrong'
    )
    sys.exit(1 if violations else 0)


async def _run(deployment: deployments.Deployment) -> report_module.Report:
    plan = fleet.FleetPlan.from_deployment(
        deployment, ports.PortPool(), job_worker_count=_JOB_WORKER_COUNT
    )
    embedded_fleet = await embedded.EmbeddedFleet.start(plan)
    demo_requests = requests.DemoRequests.from_deployment(
        deployment, [entry.callers_address for entry in plan.entries]
    )
    job_callers = step_jobs.JobCallers(
        deployment, [entry.callers_address for entry in plan.entries]
    )
    rows, job_rows = await asyncio.gather(
        demo_requests.run(), job_callers.run(embedded_fleet.job_workers)
    )
    await embedded_fleet.stop()
    return report_module.Report(
        deployment, rows, embedded_fleet.runs(), job_rows
    )


if __name__ == '__main__':
    defopt.run(main)
