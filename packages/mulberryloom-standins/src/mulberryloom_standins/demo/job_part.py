"""The demo's jobs with steps: their workers, their callers, the audit."""

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

JOBS_OF_EACH_ACCOUNT = 2
_STEP_TASKS = 3
_GANG_TASKS = 4
_STEP_RUN_MS = 300
_GANG_RUN_MS = 400
_POLL_MS = 100
_SUBMIT_TRIES = 50
_TIMEOUT_MS = 40_000
_CALL_TIMEOUT_MS = 4_000
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class JobRow:
    """One job of the demo.

    :param state: state at the end of the demo.
    :param runs: all its runs that have ended.
    """

    account: str
    queue: str
    job_id: str
    state: str
    runs: list[server.JobRun]

    def problems(self) -> list[str]:
        """Return what was lost, doubled or run in part."""
        if self.state != jobs.JobState.COMPLETED.value:
            return [f'job {self.job_id} of {self.account} is {self.state}']
        done = collections.Counter(
            run.task for run in self.runs if run.how == jobs.RunEnd.DONE.value
        )
        wanted = _STEP_TASKS + _GANG_TASKS
        wrong = [f'{task} was done twice' for task in done if done[task] > 1]
        if len(done) != wanted:
            wrong.append(f'{self.job_id}: {len(done)} of {wanted} tasks done')
        return wrong


class EmbeddedJobs:
    """Job workers with their agents; construct it with :meth:`start`."""

    def __init__(self) -> None:
        self._servers: list[server.JobWorkerServer] = []
        self._agents: list[mulberryloom_agent.JobAgentProcess] = []
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    async def start(cls, plan: fleet.FleetPlan) -> 'EmbeddedJobs':
        """Start every job worker of a plan, and its agent."""
        started = cls()
        board = server.GangBoard()
        for worker in plan.job_workers:
            settings = mulberryloom_agent.AgentSettings.from_document(
                worker.settings
            )
            agent = mulberryloom_agent.JobAgentProcess.from_settings(settings)
            started._agents.append(agent)
            started._tasks.append(asyncio.create_task(agent.run()))
            offer = server.JobWorkerOffer(
                worker.name,
                plan.deployment.service,
                settings.data_centre,
                settings.rack,
                worker.backend_listen,
            )
            made = server.JobWorkerServer.from_offer(offer, board)
            await made.listen(worker.worker)
            started._servers.append(made)
        await started._wait_for_leader()
        return started

    async def _wait_for_leader(self) -> None:
        """Return once every agent follows a leader.

        :raises TimeoutError: when one does not in time.
        """
        async with asyncio.timeout(_TIMEOUT_MS / _MS_PER_S):
            for process in self._agents:
                while not process.agent.has_leader:
                    await asyncio.sleep(_POLL_MS / _MS_PER_S)

    async def stop(self) -> None:
        """Stop the agents, then their workers."""
        for agent in self._agents:
            agent.request_stop()
        await asyncio.gather(*self._tasks)
        for made in self._servers:
            await made.stop()

    def runs_of(self, job_id: str) -> list[server.JobRun]:
        """Return the runs of a job that have ended."""
        return [
            run
            for made in self._servers
            for run in made.runs
            if run.task.startswith(f'{job_id}.')
        ]


class JobCallers:
    """Submits jobs of every account and waits for their ends."""

    def __init__(
        self, deployment: deployments.Deployment, entries: list[Address]
    ) -> None:
        self._deployment = deployment
        self._entries = entries
        self._client = http_client.HttpClient.from_limits()

    async def run(self, workers: EmbeddedJobs) -> list[JobRow]:
        """Submit all jobs at the same time; return them at their ends."""
        accounts = self._deployment.accounts * JOBS_OF_EACH_ACCOUNT
        rows = await asyncio.gather(
            *(
                self._run_one(account, number, workers)
                for number, account in enumerate(accounts)
            )
        )
        await self._client.close()
        return list(rows)

    async def _run_one(
        self, account: str, number: int, workers: EmbeddedJobs
    ) -> JobRow:
        queue = f'{self._deployment.service}/{self._deployment.batch_method()}'
        entry = self._entries[number % len(self._entries)]
        body = json.dumps(two_step_job(queue)).encode()
        key = f'demo-job-{number}'
        accepted: dict[str, t.Any] = {}
        for _ in range(_SUBMIT_TRIES):
            # The same key, so that a repeat makes no second job.
            status, accepted = await self._call(
                entry, 'POST', '/v1/jobs', account, body, key
            )
            if status == 202:
                break
            await asyncio.sleep(_POLL_MS / _MS_PER_S)
        job_id = accepted.get('job_id', '')
        state = await self._wait_for_end(entry, account, job_id)
        return JobRow(account, queue, job_id, state, workers.runs_of(job_id))

    async def _wait_for_end(
        self, entry: Address, account: str, job_id: str
    ) -> str:
        state = 'not accepted'
        if not job_id:
            return state
        for _ in range(_TIMEOUT_MS // _POLL_MS):
            status, document = await self._call(
                entry, 'GET', f'/v1/jobs/{job_id}', account
            )
            state = document.get('state', state)
            if status == 200 and jobs.JobState(state).is_final:
                break
            await asyncio.sleep(_POLL_MS / _MS_PER_S)
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
    """Return a job of single tasks and then a gang over one rack."""
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
