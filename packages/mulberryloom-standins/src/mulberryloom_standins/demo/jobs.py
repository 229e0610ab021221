"""Requests of the demo's callers."""

import asyncio
import dataclasses

from mulberryloom_core.identity import Address

from .. import caller
from .. import deployments
from .. import targets

_COUNTER_REQUESTS = 40
_COUNTER_SENDERS = 4
_BATCH_REQUESTS = 16
_ONCE_ONLY_REQUESTS = 1
_COUNTER_RUN_MS = 30
_BATCH_RUN_MS = 400
_ONCE_ONLY_RUN_MS = 200
_GANG_RUN_MS = 800
_OUTCOME_TIMEOUT_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One request of the demo with its final reply.

    :param kind: value of the table's first column, such as ``counter``.
    """

    kind: str
    account: str
    reply: caller.Reply


class DemoRequests:
    """Requests of the demo; construct it with :meth:`from_deployment`."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        callers_by_account: dict[str, caller.Caller],
    ) -> None:
        self._deployment = deployment
        self._callers_by_account = callers_by_account

    @classmethod
    def from_deployment(
        cls, deployment: deployments.Deployment, entries: list[Address]
    ) -> 'DemoRequests':
        """Create one caller for each client account."""
        callers_by_account = {
            name: caller.Caller.from_token(
                entries, deployments.token_of(name), seed
            )
            for seed, name in enumerate(deployment.accounts)
        }
        return cls(deployment, callers_by_account)

    async def run(self) -> list[Row]:
        """Send all requests concurrently; return the final replies."""
        row_groups = await asyncio.gather(
            self._run_counter(),
            self._run_batch(),
            self._run_once_only(),
            self._run_gang(),
        )
        for account_caller in self._callers_by_account.values():
            await account_caller.close()
        return [row for row_group in row_groups for row in row_group]

    async def _run_counter(self) -> list[Row]:
        """Send urgent requests (kind ``counter``) of all accounts."""

        def make_job() -> targets.Job:
            method = self._deployment.counter_method()
            return self._job(method, _COUNTER_RUN_MS)

        accounts = self._deployment.accounts
        reports = await asyncio.gather(
            *(
                self._callers_by_account[account].closed_loop(
                    make_job,
                    _COUNTER_REQUESTS // len(accounts),
                    _COUNTER_SENDERS,
                )
                for account in accounts
            )
        )
        return [
            Row('counter', account, reply)
            for account, report in zip(accounts, reports, strict=True)
            for reply in report.replies
        ]

    async def _run_batch(self) -> list[Row]:
        """Submit asynchronous batch requests and fetch their outcomes."""
        account = self._deployment.accounts[1]
        request_numbers = range(_BATCH_REQUESTS)
        method = self._deployment.batch_method()
        jobs = [self._job(method, _BATCH_RUN_MS) for _ in request_numbers]
        return await asyncio.gather(
            *(self._submit_and_fetch('async', account, job) for job in jobs)
        )

    async def _run_once_only(self) -> list[Row]:
        account = self._deployment.accounts[0]
        method = self._deployment.once_only_method()
        rows = []
        for _ in range(_ONCE_ONLY_REQUESTS):
            job = self._job(method, _ONCE_ONLY_RUN_MS)
            reply = await self._callers_by_account[account].call(job)
            rows.append(Row('once only', account, reply))
        return rows

    async def _run_gang(self) -> list[Row]:
        account = self._deployment.gang_account()
        job = self._job(self._deployment.gang_method(), _GANG_RUN_MS)
        return [await self._submit_and_fetch('gang', account, job)]

    async def _submit_and_fetch(
        self, kind: str, account: str, job: targets.Job
    ) -> Row:
        account_caller = self._callers_by_account[account]
        accepted = await account_caller.submit(job)
        if accepted.status != 202:
            return Row(kind, account, accepted)
        outcome = await account_caller.fetch(accepted, _OUTCOME_TIMEOUT_MS)
        reply = dataclasses.replace(outcome, sent_ms=accepted.sent_ms)
        return Row(kind, account, reply)

    def _job(self, method: str, run_ms: int) -> targets.Job:
        order = caller.new_order(run_ms=run_ms)
        return targets.Job(self._deployment.service, method, order)
