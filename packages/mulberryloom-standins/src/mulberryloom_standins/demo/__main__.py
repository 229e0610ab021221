"""``python -m mulberryloom_standins.demo [akwaboa|cumann-leabhar]``."""

import asyncio
import pathlib
import sys

import defopt

from mulberryloom_core.process import logs

from .. import deployments
from .. import fleet
from .. import ports
from . import embedded
from . import job_part
from . import jobs
from . import report as report_module

_JOB_WORKERS = 2


def main(
    deployment: str = 'akwaboa',
    *,
    examples: str = 'examples',
    log_level: str = 'error',
) -> None:
    """Run the main job and print what ran where.

    Exits with 1 when a request was lost, doubled or ran in part.

    :param deployment: name of a directory under the examples.
    :param examples: directory that holds the deployments.
    :param log_level: of the parts' own logs.
    """
    logs.configure(log_level)
    chosen = deployments.Deployment.from_directory(
        pathlib.Path(examples) / deployment
    )
    report = asyncio.run(_run(chosen))
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
        deployment, ports.PortPool(), job_worker_count=_JOB_WORKERS
    )
    started = await embedded.EmbeddedFleet.start(plan)
    main_job = jobs.MainJob.from_deployment(
        deployment, [entry.callers for entry in plan.entries]
    )
    job_callers = job_part.JobCallers(
        deployment, [entry.callers for entry in plan.entries]
    )
    rows, job_rows = await asyncio.gather(
        main_job.run(), job_callers.run(started.jobs)
    )
    await started.stop()
    return report_module.Report(deployment, rows, started.runs(), job_rows)


if __name__ == '__main__':
    defopt.run(main)
