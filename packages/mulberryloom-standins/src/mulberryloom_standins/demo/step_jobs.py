"""Jobs with steps in the demo: workers, callers and checks of the runs."""

import asyncio
import collections
import dataclasses
import json
import typing as t

import mulberryloom_agent
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core.identity import Address
from mulberryloom_core.request import jobs

from .. import deployments
from .. import fleet
from ..jobs import server

JOBS_PER_ACCOUNT = 2
_STEP_TASKS = 3
_GANG_TASKS = 4
_STEP_RUN_MS = 300
_GANG_RUN_MS = 400
_POLL_INTERVAL_MS = 100
_MAX_SUBMISSIONS = 50
_TIMEOUT_MS = 40_000
_CALL_TIMEOUT_MS = 4_000
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class JobRow:
    """One job of the demo with its runs.

    :param state: last known state; ``not accepted`` if the submission failed.
    :param runs: runs of the job that have ended.
    """

    account: str
    queue: str
    job_id: str
    state: str
    runs: list[server.EndedJobRun]

    def problems(self) -> list[str]:
        """Return descriptions of lost, repeated and missing tasks."""
        if self.state != jobs.JobState.COMPLETED.value:
            return [
                f'job {self.job_id} of {self.account} is {self.state}, '
                f'expected {jobs.JobState.COMPLETED.value}'
            ]
        done_count_by_task = collections.Counter(
            run.task for run in self.runs if run.how == jobs.RunEnd.DONE.value
        )
        expected_count = _STEP_TASKS + _GANG_TASKS
        problems = [
            f'task {task} was done {done_count_by_task[task]} times'
            for task in done_count_by_task
            if done_count_by_task[task] > 1
        ]
        if len(done_count_by_task) != expected_count:
            problems.append(
                f'{self.job_id}: {len(done_count_by_task)} of '
                f'{expected_count} tasks done'
            )
        return problems


class EmbeddedJobWorkers:
    """Workers for jobs with their agents; construct it with :meth:`start`."""

    def __init__(self) -> None:
        self._servers: list[server.JobWorkerServer] = []
        self._agents: list[mulberryloom_agent.JobAgentProcess] = []
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    async def start(cls, plan: fleet.FleetPlan) -> 'EmbeddedJobWorkers':
        """Start all workers for jobs of a plan, with their agents."""
        embedded_jobs = cls()
        gang_tracker = server.GangTracker()
        for worker in plan.job_workers:
            settings = mulberryloom_agent.AgentSettings.from_document(
                worker.settings
            )
            agent = mulberryloom_agent.JobAgentProcess.from_settings(settings)
            embedded_jobs._agents.append(agent)
            embedded_jobs._tasks.append(asyncio.create_task(agent.run()))
            spec = server.JobWorkerSpec(
                worker.name,
                plan.deployment.service,
                settings.data_centre,
                settings.rack,
                worker.backend_listen,
            )
            worker_server = server.JobWorkerServer.from_spec(
                spec, gang_tracker
            )
            await worker_server.listen(worker.worker)
            embedded_jobs._servers.append(worker_server)
        await embedded_jobs._wait_for_leader()
        return embedded_jobs

    async def _wait_for_leader(self) -> None:
        """Wait until each agent has a leader.

        :raises TimeoutError: after ``_TIMEOUT_MS``.
        """
        async with asyncio.timeout(_TIMEOUT_MS / _MS_PER_S):
            for process in self._agents:
                while not process.agent.has_leader:
                    await asyncio.sleep(_POLL_INTERVAL_MS / _MS_PER_S)

    async def stop(self) -> None:
        """Stop the agents, then their workers."""
        for agent in self._agents:
            agent.request_stop()
        await asyncio.gather(*self._tasks)
        for worker_server in self._servers:
            await worker_server.stop()

    def runs_of(self, job_id: str) -> list[server.EndedJobRun]:
        """Return the runs of a job that have ended."""
        return [
            run
            for worker_server in self._servers
            for run in worker_server.runs
            if run.task.startswith(f'{job_id}.')
        ]


class JobCallers:
    """Submits jobs of each client account and waits until they end."""

    def __init__(
        self, deployment: deployments.Deployment, entries: list[Address]
    ) -> None:
        self._deployment = deployment
        self._entries = entries
        self._client = http_client.HttpClient.from_limits()

    async def run(self, workers: EmbeddedJobWorkers) -> list[JobRow]:
        """Submit all jobs concurrently; return them after they ended."""
        accounts = self._deployment.accounts * JOBS_PER_ACCOUNT
        rows = await asyncio.gather(
            *(
                self._run_job(account, number, workers)
                for number, account in enumerate(accounts)
            )
        )
        await self._client.close()
        return list(rows)

    async def _run_job(
        self, account: str, number: int, workers: EmbeddedJobWorkers
    ) -> JobRow:
        queue = f'{self._deployment.service}/{self._deployment.batch_method()}'
        entry = self._entries[number % len(self._entries)]
        body = json.dumps(two_step_job(queue)).encode()
        key = f'demo-job-{number}'
        accepted: dict[str, t.Any] = {}
        for _ in range(_MAX_SUBMISSIONS):
            # With the same idempotency key, a retry creates no second job.
            status, accepted = await self._call(
                entry, 'POST', '/v1/jobs', account, body, key
            )
            if status == 202:
                break
            await asyncio.sleep(_POLL_INTERVAL_MS / _MS_PER_S)
        job_id = accepted.get('job_id', '')
        state = await self._wait_for_end(entry, account, job_id)
        return JobRow(account, queue, job_id, state, workers.runs_of(job_id))

    async def _wait_for_end(
        self, entry: Address, account: str, job_id: str
    ) -> str:
        state = 'not accepted'
        if not job_id:
            return state
        for _ in range(_TIMEOUT_MS // _POLL_INTERVAL_MS):
            status, document = await self._call(
                entry, 'GET', f'/v1/jobs/{job_id}', account
            )
            state = document.get('state', state)
            if status == 200 and jobs.JobState(state).is_final:
                break
            await asyncio.sleep(_POLL_INTERVAL_MS / _MS_PER_S)
        return state

    async def _call(
        self,
        entry: Address,
        method: str,
        path: str,
        account: str,
        body: bytes = b'',
        key: str = '',
    ) -> tuple[int, dict[str, t.Any]]:
        headers_by_name = {
            'authorization': f'Bearer {deployments.token_of(account)}'
        }
        if key:
            headers_by_name['idempotency-key'] = key
        answer = await self._client.call(
            entry,
            http_types.HttpRequest(
                method, path, headers_by_name=headers_by_name, body=body
            ),
            _CALL_TIMEOUT_MS,
        )
        if answer.is_err():
            return 0, {}
        response = answer.unwrap()
        return response.status, json.loads(response.body)


def two_step_job(queue: str) -> dict[str, t.Any]:
    """Return a job with a step of single tasks, then a gang in one rack."""
    payload = {
        'steps': [
            {'run_ms': _STEP_RUN_MS},
            {'run_ms': _GANG_RUN_MS, 'members': _GANG_TASKS},
        ]
    }
    return {
        'queue': queue,
        'payload': json.dumps(payload),
        'steps': [
            {
                'tasks': _STEP_TASKS,
                'processors': 1,
                'estimate_ms': _STEP_RUN_MS,
            },
            {
                'tasks': _GANG_TASKS,
                'accelerators': 1,
                'estimate_ms': _GANG_RUN_MS,
                'after': [0],
                'is_gang': True,
                'is_same_rack': True,
            },
        ],
    }
