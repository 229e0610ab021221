"""Client of the operators' HTTP interface, for the commands."""

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
class Refusal:
    """An answer that is not the one that was asked for.

    :param status: HTTP status; ``0`` when there was no answer.
    :param advice: what to do next.
    """

    status: int
    kind: str
    detail: str
    advice: str
    document: dict[str, t.Any] = dataclasses.field(default_factory=dict)


class OperatorClient:
    """Calls one entry with an operator's token."""

    def __init__(self, entry: identity.Address, token: str) -> None:
        self._entry = entry
        self._token = token

    def get(self, path: str, query: str = '') -> Result[t.Any, Refusal]:
        """Read a resource and return its document.

        :param query: text after the question mark; empty for none.
        """
        return self._run('GET', path, b'', query)

    def post(self, path: str, body: bytes = b'') -> Result[t.Any, Refusal]:
        """Post a body and return the answer's document."""
        return self._run('POST', path, body)

    def delete(self, path: str) -> Result[t.Any, Refusal]:
        """Delete a resource and return the answer's document."""
        return self._run('DELETE', path, b'')

    def _run(
        self, method: str, path: str, body: bytes, query: str = ''
    ) -> Result[t.Any, Refusal]:
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
        answer = asyncio.run(self._call(request))
        if isinstance(answer, Err):
            return Err(self._unreachable(answer.err_value))
        return self._interpret(answer.ok_value)

    async def _call(
        self, request: http_types.HttpRequest
    ) -> Result[http_types.HttpResponse, exceptions.Error]:
        client = http_client.HttpClient.from_limits()
        try:
            return await client.call(self._entry, request, CALL_TIMEOUT_MS)
        finally:
            await client.close()

    def _unreachable(self, error: exceptions.Error) -> Refusal:
        return Refusal(
            0,
            error.kind.value,
            f'no answer from the entry at {self._entry}: {error.detail}',
            'check the address (--entry), or name another entry; entries '
            'answer operators on operators_listen of their settings',
        )

    def _interpret(
        self, response: http_types.HttpResponse
    ) -> Result[t.Any, Refusal]:
        try:
            document = json.loads(response.body)
        except ValueError:
            document = {}
        if response.status < 300:
            return Ok(document)
        kind = document.get('kind', 'unknown')
        detail = document.get('detail', response.body[:200].decode('latin-1'))
        advice = _ADVICE_BY_KIND.get(kind, _DEFAULT_ADVICE)
        return Err(Refusal(response.status, kind, detail, advice, document))


_DEFAULT_ADVICE = "see the entry's log for details, then try again"
_ADVICE_BY_KIND = {
    'unauthenticated': (
        "show an operator's token with --token-file or MULBERRYLOOM_TOKEN"
    ),
    'invalid-ticket': 'correct the ticket; nothing was changed',
    'ticket-superseded': (
        'build a ticket with a higher number from the state in force '
        '(mulberryloom ticket show); nothing was changed'
    ),
    'ticket-number-reused': (
        'take a number that was not used before; nothing was changed'
    ),
    'guarantees-do-not-pack': (
        'lower a guarantee or add racks in the same ticket; nothing was '
        'changed'
    ),
    'configuration-too-large': (
        'remove objects that are not used; nothing was changed'
    ),
    'store-unavailable': (
        'the store does not answer; apply the same ticket again later, '
        'which is safe'
    ),
    'store-conflict': 'another ticket came first; apply the same one again',
    'no-worker': 'an entry takes over the lead; try again in some seconds',
    'unknown-job': 'check the id; see mulberryloom jobs list',
    'unknown-queue': (
        'name an entry with "jobs" in its settings, and a queue of the '
        'configuration'
    ),
    'unknown-request': 'check the number or id; see mulberryloom status',
}
