"""End-to-end test of jobs with steps over the product's own interfaces."""

import asyncio
import pathlib

from mulberryloom_standins.demo import embedded
from mulberryloom_standins.demo import step_jobs
from mulberryloom_standins import deployments
from mulberryloom_standins import fleet
from mulberryloom_standins import ports

EXAMPLE = pathlib.Path(__file__).parents[3] / 'examples' / 'akwaboa'


async def _run_jobs():
    deployment = deployments.Deployment.from_directory(EXAMPLE)
    plan = fleet.FleetPlan.from_deployment(
        deployment, ports.PortPool(), job_worker_count=2
    )
    del plan.agents[1:]
    running_fleet = await embedded.EmbeddedFleet.start(plan)
    callers = step_jobs.JobCallers(
        deployment, [entry.callers_address for entry in plan.entries]
    )
    rows = await callers.run(running_fleet.job_workers)
    await running_fleet.stop()
    return rows


def test_steps_and_gangs_run_once_and_complete():
    rows = asyncio.run(_run_jobs())
    assert [text for row in rows for text in row.problems()] == []
