"""Client of the operators' HTTP interface, used by the commands."""

import asyncio
import dataclasses
import json
import typing as t

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from result import Err
from result import Ok
from result import Result

CALL_TIMEOUT_MS = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailure:
    """A request without a successful response.

    :param status: HTTP status; ``0`` when there was no response.
    :param kind: kind of the error, as in the problem document.
    :param detail: description of the error.
    :param advice: suggested next step for the operator.
    :param document: problem document of the response, if any.
    """

    status: int
    kind: str
    detail: str
    advice: str
    document: dict[str, t.Any] = dataclasses.field(default_factory=dict)


class OperatorClient:
    """Sends requests to one entry with an operator's token."""

    def __init__(self, entry: identity.Address, token: str) -> None:
        self._entry = entry
        self._token = token

    def get(self, path: str, query: str = '') -> Result[t.Any, RequestFailure]:
        """Get a resource and return its document.

        :param query: text after the question mark; empty for none.
        """
        return self._request('GET', path, b'', query)

    def post(
        self, path: str, body: bytes = b''
    ) -> Result[t.Any, RequestFailure]:
        """Post a body and return the document of the response."""
        return self._request('POST', path, body)

    def put(self, path: str) -> Result[t.Any, RequestFailure]:
        """Create a resource without a body and return the document."""
        return self._request('PUT', path, b'')

    def delete(self, path: str) -> Result[t.Any, RequestFailure]:
        """Delete a resource and return the document of the response."""
        return self._request('DELETE', path, b'')

    def _request(
        self, method: str, path: str, body: bytes, query: str = ''
    ) -> Result[t.Any, RequestFailure]:
        request = http_types.HttpRequest(
            method,
            path,
            query,
            headers_by_name={
                'authorization': f'Bearer {self._token}',
                'content-type': 'application/json',
            },
            body=body,
        )
        response = asyncio.run(self._call(request))
        if isinstance(response, Err):
            return Err(self._connection_failure(response.err_value))
        return self._parse_response(response.ok_value)

    async def _call(
        self, request: http_types.HttpRequest
    ) -> Result[http_types.HttpResponse, exceptions.Error]:
        client = http_client.HttpClient.from_limits()
        try:
            return await client.call(self._entry, request, CALL_TIMEOUT_MS)
        finally:
            await client.close()

    def _connection_failure(self, error: exceptions.Error) -> RequestFailure:
        return RequestFailure(
            0,
            error.kind.value,
            f'no response from the entry at {self._entry}: {error.detail}',
            'check the address (--entry) or use that of another entry; the '
            'address is operators_listen in the settings of the entry',
        )

    def _parse_response(
        self, response: http_types.HttpResponse
    ) -> Result[t.Any, RequestFailure]:
        try:
            document = json.loads(response.body)
        except ValueError:
            document = {}
        if response.status < 300:
            return Ok(document)
        kind = document.get('kind', 'unknown')
        detail = document.get('detail', response.body[:200].decode('latin-1'))
        advice = _ADVICE_BY_KIND.get(kind, _DEFAULT_ADVICE)
        return Err(
            RequestFailure(response.status, kind, detail, advice, document)
        )


_DEFAULT_ADVICE = "see the entry's log for details, then try again"
_ADVICE_BY_KIND = {
    'malformed-request': 'correct the arguments; nothing was changed',
    'outcome-unknown': (
        'repeat the command, which is safe, until it succeeds'
    ),
    'unauthenticated': (
        "set an operator's token with --token-file or MULBERRYLOOM_TOKEN"
    ),
    'invalid-ticket': 'correct the ticket; nothing was changed',
    'ticket-superseded': (
        'build a ticket with a higher number from the state in force '
        '(mulberryloom ticket show); nothing was changed'
    ),
    'ticket-number-reused': (
        'use a number that no ticket has had; nothing was changed'
    ),
    'guarantees-do-not-pack': (
        'lower a guarantee or add racks in the same ticket; nothing was '
        'changed'
    ),
    'configuration-too-large': ('remove unused objects; nothing was changed'),
    'store-unavailable': (
        'the store does not respond; repeat the command later, which is safe'
    ),
    'store-conflict': (
        'another ticket was stored first; apply the same ticket again'
    ),
    'no-worker': 'a new leader is being elected; try again in a few seconds',
    'unknown-job': 'check the id against mulberryloom jobs list',
    'unknown-queue': (
        'use an entry that has "jobs" in its settings, and a queue of the '
        'configuration'
    ),
    'unknown-request': 'check the number or id; see mulberryloom status',
}
