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

        def make_request_spec() -> targets.RequestSpec:
            method = self._deployment.urgent_method()
            return self._new_request_spec(method, _COUNTER_RUN_MS)

        accounts = self._deployment.accounts
        reports = await asyncio.gather(
            *(
                self._callers_by_account[account].closed_loop(
                    make_request_spec,
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
        request_specs = [
            self._new_request_spec(method, _BATCH_RUN_MS)
            for _ in request_numbers
        ]
        return await asyncio.gather(
            *(
                self._submit_and_fetch('async', account, request_spec)
                for request_spec in request_specs
            )
        )

    async def _run_once_only(self) -> list[Row]:
        account = self._deployment.accounts[0]
        method = self._deployment.non_idempotent_method()
        rows = []
        for _ in range(_ONCE_ONLY_REQUESTS):
            request_spec = self._new_request_spec(method, _ONCE_ONLY_RUN_MS)
            reply = await self._callers_by_account[account].call(request_spec)
            rows.append(Row('once only', account, reply))
        return rows

    async def _run_gang(self) -> list[Row]:
        account = self._deployment.gang_account()
        request_spec = self._new_request_spec(
            self._deployment.gang_method(), _GANG_RUN_MS
        )
        return [await self._submit_and_fetch('gang', account, request_spec)]

    async def _submit_and_fetch(
        self, kind: str, account: str, request_spec: targets.RequestSpec
    ) -> Row:
        account_caller = self._callers_by_account[account]
        accepted = await account_caller.submit(request_spec)
        if accepted.status != 202:
            return Row(kind, account, accepted)
        outcome = await account_caller.fetch(accepted, _OUTCOME_TIMEOUT_MS)
        reply = dataclasses.replace(outcome, sent_ms=accepted.sent_ms)
        return Row(kind, account, reply)

    def _new_request_spec(
        self, method: str, run_ms: int
    ) -> targets.RequestSpec:
        order = caller.new_order(run_ms=run_ms)
        return targets.RequestSpec(self._deployment.service, method, order)
