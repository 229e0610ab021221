"""Test harness: a fleet of processes, its callers and their replies."""

import asyncio
import concurrent.futures
import dataclasses
import pathlib
import threading
import time
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core.identity import Address
from mulberryloom_standins import audit
from mulberryloom_standins import caller
from mulberryloom_standins import cluster as cluster_module
from mulberryloom_standins import deployments
from mulberryloom_standins import runs
from mulberryloom_standins import targets

_POLL_S = 0.05
_MS_PER_S = 1_000
_RESULT_TIMEOUT_S = 60.0
_OUTCOME_TIMEOUT_MS = 60_000
_EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'

ReplyFuture: t.TypeAlias = 'concurrent.futures.Future[caller.Reply]'


@dataclasses.dataclass(slots=True)
class _Load:
    """Requests that are sent at a rate until ``stopped`` is set.

    :param future: the report of all replies, once sending has stopped.
    """

    stopped: asyncio.Event
    future: 'concurrent.futures.Future[caller.CallerReport]'


class Trial:
    """Harness of one scenario: a running fleet and callers of its entries.

    The callers run in an event loop on a thread of their own, so that a step
    returns while their requests are still in progress.

    :ivar replies: final replies that have been collected.
    :ivar pending_replies: futures of replies that have not been collected.
    :ivar partial_gang_limit_ms: longest time, in milliseconds, for which
        only some members of a gang may run.
    """

    def __init__(self, cluster: cluster_module.Cluster) -> None:
        self.cluster = cluster
        self.deployment = cluster.plan.deployment
        self.replies: list[caller.Reply] = []
        self.pending_replies: list[ReplyFuture] = []
        self.partial_gang_limit_ms = audit.PARTIAL_GANG_LIMIT_MS
        self._loads: list[_Load] = []
        self._accepted_by_token: dict[str, caller.Reply] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._caller_by_account = {
            name: caller.Caller.from_token(
                list(cluster.caller_addresses),
                deployments.token_of(name),
                seed,
            )
            for seed, name in enumerate(self.deployment.accounts)
        }

    @classmethod
    def start(cls, deployment: str, **options: t.Any) -> 'Trial':
        """Start a fleet and wait until it is ready.

        :param deployment: name of a directory under ``examples``.
        :param options: keyword arguments of ``Cluster.start``.
        """
        loaded = deployments.Deployment.from_directory(_EXAMPLES / deployment)
        return cls(cluster_module.Cluster.start(loaded, **options))

    def end(self) -> None:
        """Kill every process, cancel all calls and end the callers' thread."""
        self.cluster.kill_all()
        asyncio.run_coroutine_threadsafe(
            _cancel_other_tasks(), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def new_request_spec(
        self, method: str, run_ms: int, **options: t.Any
    ) -> targets.RequestSpec:
        """Return a request of the deployment's service with a unique token.

        :param run_ms: duration of its run on the backend server.
        :param options: ``answer_bytes``, the size of the answer, and
            further fields of :class:`targets.RequestSpec`.
        """
        answer_bytes = options.pop('answer_bytes', 64)
        order = caller.new_order(run_ms=run_ms, answer_bytes=answer_bytes)
        return targets.RequestSpec(
            self.deployment.service, method, order, **options
        )

    def call(
        self,
        account: str,
        request_spec: targets.RequestSpec,
        entry: int | None = None,
    ) -> ReplyFuture:
        """Send a request; :meth:`collect` waits for its reply.

        :param entry: index of the entry; picked at random by default.
        """
        address = (
            None if entry is None else self.cluster.caller_addresses[entry]
        )
        sender = self._caller_by_account[account]
        return self._start(sender.call(request_spec, address))

    def submit(
        self,
        account: str,
        request_spec: targets.RequestSpec,
        entry: int | None = None,
    ) -> ReplyFuture:
        """Send an asynchronous request and poll for its outcome.

        :param entry: index of the entry that accepts it; picked at random
            by default. The outcome is fetched from any entry.
        :return: future of the outcome, or of the reply to the submission
            if its status is not 202.
        """
        address = (
            None if entry is None else self.cluster.caller_addresses[entry]
        )
        return self._start(
            self._submit_and_fetch(account, request_spec, address)
        )

    def is_accepted(self, request_spec: targets.RequestSpec) -> bool:
        """Return whether an asynchronous request has been accepted."""
        return request_spec.order.token in self._accepted_by_token

    def call_until_finished(
        self, account: str, request_spec: targets.RequestSpec, timeout_s: float
    ) -> None:
        """Send a request, with retries, until its status is 200.

        Each retry waits for the delay in ``Retry-After``.

        :raises AssertionError: if it does not finish within the timeout, or
            if a failure does not state that the request did not run.
        """

        def has_finished() -> bool:
            reply = self.call(account, request_spec).result(timeout_s)
            if reply.status == 200:
                return True
            assert reply.ran is exceptions.Ran.NO, reply
            assert reply.response is not None
            time.sleep(int(reply.response.headers_by_name['retry-after']))
            return False

        self.wait_for(
            has_finished, timeout_s, 'request finished with status 200'
        )

    def cancel(self, account: str, tokens: list[str]) -> None:
        """Cancel accepted asynchronous requests by their tokens."""
        sender = self._caller_by_account[account]
        for token in tokens:
            self.run(sender.cancel(self._accepted_by_token[token]))

    def run(self, coroutine: t.Coroutine) -> t.Any:
        """Run a coroutine in the callers' thread and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(_RESULT_TIMEOUT_S)

    def start_load(
        self,
        account: str,
        make_request_spec: t.Callable[[], targets.RequestSpec],
        rate_per_s: float,
    ) -> None:
        """Send requests of an account until :meth:`collect` is called.

        :param rate_per_s: mean rate of a Poisson process.
        """
        stopped = asyncio.Event()
        coroutine = self._caller_by_account[account].open_loop(
            make_request_spec, rate_per_s, stopped=stopped
        )
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        self._loads.append(_Load(stopped, future))

    def remove_from_balancer(self, entry: int) -> None:
        """Send no more requests to an entry, as a load balancer would.

        :param entry: index of the entry.
        """
        address = self.cluster.caller_addresses[entry]
        for sender in self._caller_by_account.values():
            sender.entries = [a for a in sender.entries if a != address]

    def collect(self) -> list[caller.Reply]:
        """Stop all loads, wait for all pending replies and return them."""
        new_replies = []
        for load in self._loads:
            self._loop.call_soon_threadsafe(load.stopped.set)
            new_replies += load.future.result(_RESULT_TIMEOUT_S).replies
        for future in self.pending_replies:
            new_replies.append(future.result(_RESULT_TIMEOUT_S))
        self._loads.clear()
        self.pending_replies.clear()
        self.replies += new_replies
        return new_replies

    def violations(self) -> list[str]:
        """Return a description of each violated guarantee so far."""
        evidence = audit.Evidence(
            self.replies,
            self.cluster.fetch_runs(),
            self.deployment.non_idempotent_methods,
            self.partial_gang_limit_ms,
        )
        return audit.find_violations(evidence)

    def runs_of(self, token: str) -> list[runs.Run]:
        """Return the runs of the request whose order has the token."""
        return [run for run in self.cluster.fetch_runs() if run.token == token]

    def wait_for(
        self,
        condition: t.Callable[[], t.Any],
        timeout_s: float,
        description: str,
    ) -> t.Any:
        """Poll a condition until its value is true, and return the value.

        :param description: the condition in words, for the error.
        :raises AssertionError: if it is not met within the timeout.
        """
        deadline_s = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() > deadline_s:
                raise AssertionError(
                    f'not met within {timeout_s} s: {description}'
                )
            time.sleep(_POLL_S)

    def _start(self, coroutine: t.Coroutine) -> ReplyFuture:
        """Start a call in the callers' thread; its reply is then pending."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        self.pending_replies.append(future)
        return future

    async def _submit_and_fetch(
        self,
        account: str,
        request_spec: targets.RequestSpec,
        address: Address | None,
    ) -> caller.Reply:
        sender = self._caller_by_account[account]
        accepted = await sender.submit(request_spec, address)
        if accepted.status != 202:
            return accepted
        self._accepted_by_token[request_spec.order.token] = accepted
        return await sender.fetch(accepted, _OUTCOME_TIMEOUT_MS)


async def _cancel_other_tasks() -> None:
    """Cancel all other tasks of the running event loop and await them."""
    other_tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in other_tasks:
        task.cancel()
    await asyncio.gather(*other_tasks, return_exceptions=True)


def now_ms() -> int:
    """Return wall-clock time in milliseconds, comparable with a run's."""
    return time.time_ns() // 1_000_000
