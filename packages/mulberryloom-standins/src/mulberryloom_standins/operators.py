"""Operator stand-in: client of the operators' HTTP API of entries."""

import asyncio
import json
import typing as t

from result import Ok
from result import Result

from mulberryloom_core import clock as clock_module
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.identity import Address

_CALL_TIMEOUT_MS = 5_000
_RETRY_INTERVAL_MS = 50
_MS_PER_S = 1_000


class OperatorClient:
    """HTTP client of an operator; construct it with :meth:`from_token`."""

    def __init__(self, token: str, clock: clock_module.Clock) -> None:
        self._token = token
        self._clock = clock
        self._http = http_client.HttpClient.from_limits()

    @classmethod
    def from_token(cls, token: str) -> 'OperatorClient':
        """Return a client without open connections."""
        return cls(token, clock_module.SystemClock())

    async def close(self) -> None:
        """Close all idle connections."""
        await self._http.close()

    async def apply(
        self, entry: Address, ticket: dict[str, t.Any]
    ) -> Result[http_types.HttpResponse, exceptions.Error]:
        """Submit a ticket to an entry."""
        body = json.dumps(ticket).encode()
        return await self._call(entry, 'POST', '/v1/tickets', body)

    async def ticket_status(
        self, entry: Address, number: int
    ) -> Result[http_types.HttpResponse, exceptions.Error]:
        """Request the status of a ticket: the processes that apply it."""
        return await self._call(entry, 'GET', f'/v1/tickets/{number}')

    async def status(
        self, entry: Address
    ) -> Result[http_types.HttpResponse, exceptions.Error]:
        """Request the status of the fleet as known to an entry."""
        return await self._call(entry, 'GET', '/v1/status')

    async def apply_until_accepted(
        self, entry: Address, ticket: dict[str, t.Any], timeout_ms: int
    ) -> http_types.HttpResponse:
        """Submit a ticket repeatedly until it is accepted.

        :raises TimeoutError: if it is not accepted within ``timeout_ms``;
            the text has the last answer.
        """
        ends_at_ms = self._clock.now_ms() + timeout_ms
        while True:
            answer = await self.apply(entry, ticket)
            if isinstance(answer, Ok) and answer.ok_value.status < 300:
                return answer.ok_value
            if self._clock.now_ms() > ends_at_ms:
                raise TimeoutError(
                    f'ticket was not accepted within {timeout_ms} ms: {answer}'
                )
            await asyncio.sleep(_RETRY_INTERVAL_MS / _MS_PER_S)

    async def _call(
        self, entry: Address, method: str, path: str, body: bytes = b''
    ) -> Result[http_types.HttpResponse, exceptions.Error]:
        request = http_types.HttpRequest(
            method,
            path,
            headers_by_name={
                'authorization': f'Bearer {self._token}',
                'content-type': 'application/json',
            },
            body=body,
        )
        return await self._http.call(entry, request, _CALL_TIMEOUT_MS)
