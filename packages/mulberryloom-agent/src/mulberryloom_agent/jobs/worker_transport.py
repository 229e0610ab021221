"""HTTP transport of calls to a worker, independent of their paths.

A hold call renews the worker's lease and reads its lists of runs; it has
nothing to do with the holds on resources in ``process/holds.py``. An order
call starts or stops a run.
"""

import asyncio
import dataclasses
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


@dataclasses.dataclass(slots=True)
class _HoldConnection:
    """A client with at most one connection.

    :ivar incarnation: the one that sent the last reply over the connection;
        ``None`` if that is unknown.
    """

    client: http_client.HttpClient
    incarnation: worker_calls.IncarnationKey | None = None


class WorkerTransport:
    """Sends calls to one worker, without retries.

    :param address: address at which the worker accepts calls.
    :param worker_header: name of the header with the worker's name.
    :param boot_field: name of the field of a reply to a hold call with the
        start of the incarnation that sent it.
    :param read_status: returns the outcome of a call for the HTTP status,
        ``0`` when there was no valid reply, and the JSON object of the
        reply.
    """

    __slots__ = (
        '_address',
        '_boot_field',
        '_free_hold_connections',
        '_hold_connections',
        '_hold_semaphore',
        '_order_client',
        '_read_status',
        '_worker_header',
    )

    def __init__(
        self,
        address: identity.Address,
        worker_header: str,
        boot_field: str,
        read_status: StatusReader,
    ) -> None:
        self._address = address
        self._worker_header = worker_header
        self._boot_field = boot_field
        self._read_status = read_status
        limits = http_client.ClientLimits(
            max_connections=MAX_CONNECTIONS,
            connect_timeout_ms=CALL_TIMEOUT_MS,
        )
        self._order_client = http_client.HttpClient.from_limits(limits)
        hold_limits = dataclasses.replace(limits, max_connections=1)
        self._hold_connections = [
            _HoldConnection(http_client.HttpClient.from_limits(hold_limits))
            for _ in range(MAX_CONNECTIONS)
        ]
        self._free_hold_connections = list(self._hold_connections)
        self._hold_semaphore = asyncio.Semaphore(MAX_CONNECTIONS)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._order_client.close()
        for connection in self._hold_connections:
            await connection.client.close()

    async def send_hold(
        self, path: str, call: worker_calls.HoldCall, body: Document
    ) -> tuple[worker_calls.CallStatus, Document]:
        """Send a hold call.

        :param body: request body without ``observed``.
        """
        timeout_ms = CALL_TIMEOUT_MS + call.wait_ms
        try:
            async with (
                asyncio.timeout(timeout_ms / _MS_PER_S),
                self._hold_semaphore,
            ):
                connection = self._take_hold_connection(call)
                try:
                    code, document = await self._post_hold(
                        connection, path, call, body, timeout_ms
                    )
                finally:
                    self._free_hold_connections.append(connection)
        except TimeoutError:
            code, document = 0, {}
        if not code and not await self._is_listening():
            return worker_calls.CallStatus.NOT_LISTENING, {}
        return self._read_status(code, document), document

    def _take_hold_connection(
        self, call: worker_calls.HoldCall
    ) -> _HoldConnection:
        """Take the free connection that suits a call best.

        One to the incarnation that the call is meant for comes first, one
        to another incarnation last.
        """
        wanted = (call.worker, call.boot)
        connection = min(
            self._free_hold_connections,
            key=lambda free: (
                free.incarnation != wanted,
                free.incarnation is not None,
            ),
        )
        self._free_hold_connections.remove(connection)
        return connection

    async def _post_hold(
        self,
        connection: _HoldConnection,
        path: str,
        call: worker_calls.HoldCall,
        body: Document,
        timeout_ms: int,
    ) -> tuple[int, Document]:
        # Nothing is awaited between this check and the choice of the
        # connection in the client.
        is_acknowledgeable = connection.incarnation == (
            call.worker,
            call.boot,
        ) and connection.client.has_idle_connection(self._address)
        connection.incarnation = None
        code, document = await self._post(
            connection.client,
            path,
            call.worker,
            {**body, 'observed': call.observed if is_acknowledgeable else 0},
            timeout_ms,
        )
        boot = document.get(self._boot_field)
        if code == 200 and isinstance(boot, int):
            connection.incarnation = (call.worker, boot)
        return code, document

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
