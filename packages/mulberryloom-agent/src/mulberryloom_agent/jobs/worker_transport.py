"""HTTP transport of calls to a worker, independent of their paths.

A hold call renews the worker's lease and reads its lists of runs; it has
nothing to do with the holds on resources in ``process/holds.py``. An order
call starts or stops a run.
"""

import asyncio
import typing as t

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import identity
import orjson
import structlog

from . import worker_calls

#: Timeout of a call; the worker runs on the same VM.
CALL_TIMEOUT_MS = 500
#: Limit of the connections for order calls, and of those for hold calls;
#: opening a connection is expensive.
MAX_CONNECTIONS = 3
_MS_PER_S = 1_000

#: A JSON object.
Document: t.TypeAlias = dict[str, t.Any]
StatusReader: t.TypeAlias = t.Callable[
    [int, Document], worker_calls.CallStatus
]

_log = structlog.get_logger(__name__)


class WorkerTransport:
    """Sends calls to one worker, without retries.

    :param address: address at which the worker accepts calls.
    :param worker_header: name of the header with the worker's name.
    :param read_status: returns the outcome of a call for the HTTP status,
        ``0`` when there was no valid reply, and the JSON object of the
        reply.
    """

    __slots__ = (
        '_address',
        '_hold_client',
        '_order_client',
        '_read_status',
        '_worker_header',
    )

    def __init__(
        self,
        address: identity.Address,
        worker_header: str,
        read_status: StatusReader,
    ) -> None:
        self._address = address
        self._worker_header = worker_header
        self._read_status = read_status
        limits = http_client.ClientLimits(
            max_connections=MAX_CONNECTIONS,
            connect_timeout_ms=CALL_TIMEOUT_MS,
        )
        self._order_client = http_client.HttpClient.from_limits(limits)
        # Hold calls have connections of their own, so that a connection
        # which has answered one belongs to the incarnation of the worker
        # whose lists were read.
        self._hold_client = http_client.HttpClient.from_limits(limits)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._order_client.close()
        await self._hold_client.close()

    @property
    def has_open_hold_connection(self) -> bool:
        """Whether the next hold call uses a connection used before."""
        return self._hold_client.has_idle_connection(self._address)

    async def send_hold(
        self, path: str, worker: str, body: Document, wait_ms: int
    ) -> tuple[worker_calls.CallStatus, Document]:
        """Send a hold call.

        :param wait_ms: long-polling timeout on the worker's side.
        """
        timeout_ms = CALL_TIMEOUT_MS + wait_ms
        code, document = await self._post(
            self._hold_client, path, worker, body, timeout_ms
        )
        if not code and not await self._is_listening():
            return worker_calls.CallStatus.NOT_LISTENING, {}
        return self._read_status(code, document), document

    async def _is_listening(self) -> bool:
        """Whether a process may accept connections at the address.

        A refused connection is certain; no answer proves nothing.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / _MS_PER_S):
                _, writer = await asyncio.open_connection(
                    self._address.host, self._address.port
                )
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return True
        writer.close()
        return True

    async def send_order(
        self, path: str, worker: str, body: Document
    ) -> worker_calls.CallReply:
        """Send a start or a stop."""
        code, document = await self._post(
            self._order_client, path, worker, body, CALL_TIMEOUT_MS
        )
        clock_ms = document.get('clock_ms', 0)
        return worker_calls.CallReply(
            self._read_status(code, document),
            clock_ms if isinstance(clock_ms, int) else 0,
        )

    async def _post(
        self,
        client: http_client.HttpClient,
        path: str,
        worker: str,
        body: Document,
        timeout_ms: int,
    ) -> tuple[int, Document]:
        result = await client.call(
            self._address,
            http_types.HttpRequest(
                'POST',
                path,
                headers_by_name={
                    'content-type': 'application/json',
                    self._worker_header: worker,
                },
                body=orjson.dumps(body),
            ),
            timeout_ms,
        )
        if result.is_err():
            return 0, {}
        response = result.unwrap()
        try:
            document = orjson.loads(response.body) if response.body else {}
        except ValueError:
            document = None
        if not isinstance(document, dict):
            _log.warning(
                'malformed reply', worker=worker, status=response.status
            )
            return 0, {}
        return response.status, document
