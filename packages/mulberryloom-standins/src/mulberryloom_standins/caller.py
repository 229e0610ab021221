"""Caller stand-in: closed-loop and open-loop load against entries.

Each answer is checked to be the complete answer to its own request.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import random
import time
import typing as t
import uuid

from hdrh.histogram import HdrHistogram
from result import Result

from mulberryloom_core import clock as clock_module
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.identity import Address

from . import answers
from . import targets

_MS_PER_S = 1_000
_US_PER_MS = 1_000
_NS_PER_US = 1_000
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_FIGURES = 3
_OUTCOME_POLL_INTERVAL_MS = 100
_MAX_CONNECTIONS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of one HTTP call.

    :param request_body: body of the request.
    :param response: ``None`` if there was no HTTP response.
    :param ran: whether the request ran, from the response or the error of
        the call; ``unknown`` if neither tells.
    :param fault: description of a wrong answer; empty if it is correct.
    :param latency_us: time from sending to the response, in microseconds.
    :param sent_ms: wall-clock time of sending, in milliseconds.
    """

    request_spec: targets.RequestSpec
    request_body: bytes
    response: http_types.HttpResponse | None
    ran: exceptions.Ran
    fault: str
    latency_us: int
    sent_ms: int = 0

    @property
    def status(self) -> int:
        """HTTP status; ``0`` without a response."""
        return 0 if self.response is None else self.response.status

    @property
    def request_id(self) -> str:
        """Request id assigned by the entry; empty if unknown."""
        if self.response is None:
            return ''
        headers = self.response.headers_by_name
        return headers.get('mulberryloom-request-id', '')


class CallerReport:
    """Replies to several requests, with a histogram of latencies."""

    def __init__(self) -> None:
        self.replies: list[Reply] = []
        self.latencies_us = HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_FIGURES
        )

    def add(self, reply: Reply) -> None:
        """Add a reply; latencies are recorded only for status 200."""
        self.replies.append(reply)
        if reply.status == 200:
            self.latencies_us.record_value(reply.latency_us)

    @property
    def faults(self) -> list[str]:
        """Descriptions of wrong answers."""
        return [reply.fault for reply in self.replies if reply.fault]

    @property
    def count_by_status(self) -> dict[int, int]:
        """Number of replies by HTTP status."""
        return dict(collections.Counter(r.status for r in self.replies))

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        value = self.latencies_us.get_value_at_percentile(percent)
        return value / _US_PER_MS

    def summary(self) -> dict[str, t.Any]:
        """Return counts and percentiles as a JSON object."""
        return {
            'requests': len(self.replies),
            'count_by_status': self.count_by_status,
            'faults': self.faults[:10],
            'p50_ms': self.percentile_ms(50),
            'p99_ms': self.percentile_ms(99),
            'max_ms': self.latencies_us.get_max_value() / _US_PER_MS,
        }


class Caller:
    """Caller of one client account.

    :ivar entries: addresses of entries, of which each request uses a random
        one; may be changed at any time, as by a load balancer.
    """

    def __init__(
        self,
        entries: list[Address],
        target: targets.Target,
        clock: clock_module.Clock,
        seed: int,
    ) -> None:
        self.entries = entries
        self._target = target
        self._clock = clock
        self._random = random.Random(seed)
        self._client = http_client.HttpClient.from_limits(
            http_client.ClientLimits(max_connections=_MAX_CONNECTIONS)
        )

    @classmethod
    def from_token(
        cls, entries: list[Address], token: str, seed: int = 0
    ) -> 'Caller':
        """Build a caller of entries.

        :param token: bearer token of the client account.
        :param seed: seed for the choice of entries and the arrival times.
        """
        target = targets.EntryTarget(token)
        return cls(entries, target, clock_module.SystemClock(), seed)

    @classmethod
    def from_backend(cls, backend: Address, seed: int = 0) -> 'Caller':
        """Build a caller that sends requests directly to a backend server."""
        target = targets.BackendTarget()
        return cls([backend], target, clock_module.SystemClock(), seed)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()

    async def call(
        self, request_spec: targets.RequestSpec, entry: Address | None = None
    ) -> Reply:
        """Send one request and wait for its answer.

        :param entry: address of the entry; a random one by default.
        """
        return await self._call(request_spec, {}, entry)

    async def submit(
        self, request_spec: targets.RequestSpec, entry: Address | None = None
    ) -> Reply:
        """Submit an asynchronous request; the reply is its acceptance."""
        return await self._call(
            request_spec, {'prefer': 'respond-async'}, entry
        )

    async def fetch(self, accepted: Reply, timeout_ms: int) -> Reply:
        """Wait for the outcome of an asynchronous request.

        Polls random entries; while an entry is unreachable or answers 202 or
        503, it polls again.

        :param accepted: reply to the submission, with status 202.
        :returns: the last reply, also after the timeout.
        """
        assert accepted.response is not None
        location = accepted.response.headers_by_name['location']
        started_ns = time.perf_counter_ns()
        ends_at_ms = self._clock.now_ms() + timeout_ms
        reply = accepted
        while self._clock.now_ms() < ends_at_ms:
            request = self._target.outcome_request('GET', location)
            answer = await self._client.call(
                self._random.choice(self.entries), request, _MS_PER_S
            )
            reply = self._build_reply(
                accepted.request_spec,
                accepted.request_body,
                answer,
                started_ns,
            )
            if reply.status not in (0, 202, 503):
                break
            await asyncio.sleep(_OUTCOME_POLL_INTERVAL_MS / _MS_PER_S)
        return reply

    async def cancel(self, accepted: Reply) -> int:
        """Cancel an asynchronous request; return the status or ``0``."""
        assert accepted.response is not None
        location = accepted.response.headers_by_name['location']
        request = self._target.outcome_request('DELETE', location)
        answer = await self._client.call(
            self._random.choice(self.entries), request, _MS_PER_S
        )
        return answer.ok_value.status if answer.is_ok() else 0

    async def closed_loop(
        self,
        make_request_spec: t.Callable[[], targets.RequestSpec],
        count: int,
        concurrency: int,
    ) -> CallerReport:
        """Send requests from senders that each wait for the previous answer.

        :param count: total number of requests.
        :param concurrency: number of senders.
        """
        report = CallerReport()
        remaining = iter(range(count))

        async def send() -> None:
            for _ in remaining:
                report.add(await self.call(make_request_spec()))

        await asyncio.gather(*(send() for _ in range(concurrency)))
        return report

    async def open_loop(
        self,
        make_request_spec: t.Callable[[], targets.RequestSpec],
        rate_per_s: float,
        *,
        count: int | None = None,
        stopped: asyncio.Event | None = None,
    ) -> CallerReport:
        """Send requests at random times without waiting for answers.

        :param rate_per_s: mean arrival rate of a Poisson process.
        :param count: total number of requests; unlimited by default.
        :param stopped: event that ends sending.
        """
        report = CallerReport()
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        numbers = itertools.count() if count is None else range(count)
        async with asyncio.TaskGroup() as group:
            for _ in numbers:
                due_s += self._random.expovariate(rate_per_s)
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                if stopped is not None and stopped.is_set():
                    break
                group.create_task(
                    self._call_and_record(report, make_request_spec())
                )
        return report

    async def _call_and_record(
        self, report: CallerReport, request_spec: targets.RequestSpec
    ) -> None:
        report.add(await self.call(request_spec))

    async def _call(
        self,
        request_spec: targets.RequestSpec,
        extra_headers_by_name: dict[str, str],
        entry: Address | None,
    ) -> Reply:
        request = self._target.request(request_spec, extra_headers_by_name)
        started_ns = time.perf_counter_ns()
        answer = await self._client.call(
            entry or self._random.choice(self.entries),
            request,
            request_spec.deadline_ms,
        )
        return self._build_reply(
            request_spec, request.body, answer, started_ns
        )

    def _build_reply(
        self,
        request_spec: targets.RequestSpec,
        request_body: bytes,
        answer: Result[http_types.HttpResponse, exceptions.Error],
        started_ns: int,
    ) -> Reply:
        latency_us = (time.perf_counter_ns() - started_ns) // _NS_PER_US
        sent_ms = self._clock.wall_ms() - latency_us // _US_PER_MS
        if answer.is_err():
            ran = answer.err_value.ran
            return Reply(
                request_spec, request_body, None, ran, '', latency_us, sent_ms
            )
        response = answer.ok_value
        fault = ''
        if response.status == 200:
            fault = answers.find_fault(request_body, response.body)
        ran = _ran_from_response(response)
        return Reply(
            request_spec,
            request_body,
            response,
            ran,
            fault,
            latency_us,
            sent_ms,
        )


def new_order(**fields: int) -> answers.Order:
    """Return an order with a unique token."""
    return answers.Order(token=uuid.uuid4().hex, **fields)


def _ran_from_response(response: http_types.HttpResponse) -> exceptions.Ran:
    if response.status == 200:
        return exceptions.Ran.YES
    try:
        return exceptions.Ran(json.loads(response.body)['ran'])
    except (ValueError, KeyError, TypeError):
        return exceptions.Ran.UNKNOWN
