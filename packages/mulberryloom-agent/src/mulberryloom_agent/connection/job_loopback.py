"""HTTP on loopback for a job worker: its heartbeats, and the metrics."""

import json
import typing as t
import urllib.parse

from mulberryloom_core.connection import http_types
from result import Err

from ..jobs import http_worker
from ..jobs import runner

PATH = '/v1/worker/'


class Listener(t.Protocol):
    """Who is told of heartbeats."""

    def on_heartbeat(self, info: runner.WorkerInfo) -> None:
        """Take in what a worker says of itself."""

    def on_leave(self, worker: str) -> None:
        """Take in that a worker ends."""

    def metrics(self) -> str:
        """Return all metrics as text."""


class JobLoopback:
    """Answers the worker beside the agent."""

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
        worker = urllib.parse.unquote(request.path.removeprefix(PATH))
        if worker == request.path or not worker:
            return _json(404, {'title': 'unknown path'})
        if request.method == 'DELETE':
            self._listener.on_leave(worker)
            return _json(200, {})
        if request.method != 'PUT':
            return _json(405, {'title': 'expected PUT or DELETE'})
        found = http_worker.read_heartbeat(worker, request.body)
        if isinstance(found, Err):
            problems = found.err_value
            return _json(400, {'title': 'malformed', 'errors': problems})
        self._listener.on_heartbeat(found.ok_value)
        return _json(200, {})


def _json(status: int, body: dict[str, t.Any]) -> http_types.HttpResponse:
    return http_types.HttpResponse(status, body=json.dumps(body).encode())
