"""Loopback HTTP interface for the heartbeats of a job worker and metrics."""

import json
import typing as t
import urllib.parse

from mulberryloom_core.connection import http_types
from result import Err

from ..jobs import http_worker_client
from ..jobs import worker_calls

#: Prefix of a worker's path; the worker's name follows.
WORKER_PATH_PREFIX = '/v1/worker/'
MAX_NAME_LENGTH = 100


class Listener(t.Protocol):
    """Receiver of a worker's heartbeats."""

    def on_heartbeat(self, info: worker_calls.WorkerInfo) -> None:
        """Handle a heartbeat of a worker."""

    def on_invalid_heartbeat(self) -> None:
        """Handle a heartbeat that could not be read."""

    def on_leave(self, worker: str) -> None:
        """Handle a worker's announcement that it exits."""

    def metrics(self) -> str:
        """Return all metrics as text."""


class JobLoopback:
    """Handler of the loopback HTTP server for a job worker."""

    __slots__ = ('_listener',)

    def __init__(self, listener: Listener) -> None:
        self._listener = listener

    async def respond(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answer one request."""
        if (request.method, request.path) == ('GET', '/metrics'):
            text = self._listener.metrics().encode()
            return http_types.HttpResponse(200, 'text/plain', text)
        worker = urllib.parse.unquote(
            request.path.removeprefix(WORKER_PATH_PREFIX)
        )
        if worker == request.path or not _is_name(worker):
            return _json(
                404,
                {
                    'title': f'unknown path {request.path},'
                    f' expected {WORKER_PATH_PREFIX}WORKER'
                },
            )
        if request.method == 'DELETE':
            self._listener.on_leave(worker)
            return _json(200, {})
        if request.method != 'PUT':
            return _json(
                405,
                {
                    'title': f'method {request.method} not allowed,'
                    ' expected PUT or DELETE'
                },
            )
        heartbeat = http_worker_client.read_heartbeat(worker, request.body)
        if isinstance(heartbeat, Err):
            self._listener.on_invalid_heartbeat()
            problems = heartbeat.err_value
            return _json(
                400, {'title': 'malformed heartbeat', 'errors': problems}
            )
        self._listener.on_heartbeat(heartbeat.ok_value)
        return _json(200, {})


def _is_name(text: str) -> bool:
    """Whether a text can name a worker, also in a header."""
    return (
        0 < len(text) <= MAX_NAME_LENGTH
        and text.isascii()
        and text.isprintable()
        and ' ' not in text
    )


def _json(status: int, body: dict[str, t.Any]) -> http_types.HttpResponse:
    return http_types.HttpResponse(status, body=json.dumps(body).encode())
