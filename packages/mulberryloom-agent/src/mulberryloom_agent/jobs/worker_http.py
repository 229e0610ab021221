"""Calls over HTTP to a worker, whatever the calls are named there."""

import typing as t

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import identity
import orjson
import structlog

from . import runner

#: Longest wait for an answer on the same VM.
CALL_TIMEOUT_MS = 500
#: Connections to the worker for orders and for lists; each new one is dear.
MAX_CONNECTIONS = 3

Document: t.TypeAlias = dict[str, t.Any]
StatusReader: t.TypeAlias = t.Callable[[int, Document], runner.CallStatus]

_log = structlog.get_logger(__name__)


class WorkerHttp:
    """Sends calls to one worker; nothing here repeats one.

    :param address: where the worker takes calls.
    :param worker_header: header that names the worker that is meant.
    :param read_status: tells the outcome from the answer's status, ``0``
        when there was none that can be read, and its object.
    """

    __slots__ = (
        '_address',
        '_lists',
        '_orders',
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
        self._orders = http_client.HttpClient.from_limits(limits)
        # Lists have connections of their own: what was answered there was
        # answered by a life of the worker that is known.
        self._lists = http_client.HttpClient.from_limits(limits)

    @property
    def is_list_connected(self) -> bool:
        """Whether the next list is asked for over a used connection."""
        return self._lists.has_idle(self._address)

    async def ask_lists(
        self, path: str, worker: str, body: Document, wait_ms: int
    ) -> tuple[runner.CallStatus, Document]:
        """Ask for the worker's lists.

        :param wait_ms: how long the worker may wait for news.
        """
        timeout_ms = CALL_TIMEOUT_MS + wait_ms
        code, document = await self._post(
            self._lists, path, worker, body, timeout_ms
        )
        return self._read_status(code, document), document

    async def order(
        self, path: str, worker: str, body: Document
    ) -> runner.CallReply:
        """Send an order; its answer may tell the worker's clock."""
        code, document = await self._post(
            self._orders, path, worker, body, CALL_TIMEOUT_MS
        )
        clock_ms = document.get('clock_ms', 0)
        return runner.CallReply(
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
        answer = await client.call(
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
        if answer.is_err():
            return 0, {}
        response = answer.unwrap()
        try:
            document = orjson.loads(response.body) if response.body else {}
        except ValueError:
            document = None
        if not isinstance(document, dict):
            _log.warning(
                'answer unreadable', worker=worker, status=response.status
            )
            return 0, {}
        return response.status, document
