"""Loopback HTTP interface for the backend server, status and metrics."""

import dataclasses
import json
import typing as t

from mulberryloom_core.connection import http_types
from mulberryloom_core import identity
from mulberryloom_core.process import settings as checks
from mulberryloom_core import shapes
from result import Err
from result import Ok
from result import Result

from .. import effects

if t.TYPE_CHECKING:
    from mulberryloom_core.process import metrics as metrics_module

_AMOUNT = {'type': 'integer', 'minimum': 0, 'maximum': 1_000_000_000}

ANNOUNCE_SCHEMA: dict[str, t.Any] = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['address', 'services', 'slots', 'processors', 'memory_mb'],
    'properties': {
        'address': {'type': 'string'},
        'services': {
            'type': 'array',
            'minItems': 1,
            'items': {'type': 'string', 'minLength': 1},
        },
        'slots': _AMOUNT | {'minimum': 1},
        'accelerators': _AMOUNT | {'maximum': 1_024},
        'processors': _AMOUNT,
        'memory_mb': _AMOUNT,
    },
}


class Status(t.Protocol):
    """State of the agent, as the loopback interface needs it."""

    def has_backend(self) -> bool:
        """Return whether a backend server has announced itself."""

    def refresh_metrics(self) -> None:
        """Update the gauges."""

    def status(self) -> dict[str, t.Any]:
        """Return the status as a JSON object."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A valid announcement of the backend server.

    :param address: address at which the backend server accepts calls.
    :param event: input for the agent's core.
    """

    address: identity.Address
    event: effects.BackendAnnounced


class Loopback:
    """Handler of the loopback HTTP server.

    :param put: queues an input for the agent's core.
    :param set_backend_address: sets the address of the backend server, to
        which requests are sent.
    """

    __slots__ = ('_metrics', '_put', '_set_backend_address', '_status')

    def __init__(
        self,
        status: Status,
        metrics: 'metrics_module.Metrics',
        put: t.Callable[[effects.Input], None],
        set_backend_address: t.Callable[[identity.Address], None],
    ) -> None:
        self._status = status
        self._metrics = metrics
        self._put = put
        self._set_backend_address = set_backend_address

    async def handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Answer one request."""
        match (request.method, request.path):
            case ('POST', '/v1/announce'):
                return self._announce(request.body)
            case ('POST', '/v1/heartbeat'):
                return self._heartbeat()
            case ('POST', '/v1/leave'):
                self._put(effects.BackendLeft())
                return _json(200, {})
            case ('GET', '/v1/status'):
                return _json(200, self._status.status())
            case ('GET', '/metrics'):
                self._status.refresh_metrics()
                return self._metrics.response()
        return _json(
            404,
            {
                'title': 'unknown path or method:'
                f' {request.method} {request.path}'
            },
        )

    def _announce(self, body: bytes) -> http_types.HttpResponse:
        match read_announcement(body):
            case Err(problems):
                return _json(
                    400,
                    {'title': 'malformed announcement', 'errors': problems},
                )
            case Ok(announcement):
                self._set_backend_address(announcement.address)
                self._put(announcement.event)
                return _json(200, {})

    def _heartbeat(self) -> http_types.HttpResponse:
        """Handle a heartbeat.

        A restarted agent does not know the backend server and replies that
        it has to announce itself first.
        """
        if not self._status.has_backend():
            return _json(
                409,
                {
                    'title': 'backend server not announced,'
                    ' expected POST /v1/announce first'
                },
            )
        self._put(effects.BackendHeartbeat())
        return _json(200, {})


def read_announcement(body: bytes) -> Result[Announcement, list[str]]:
    """Parse and check the body of an announcement.

    :param body: JSON document that follows :data:`ANNOUNCE_SCHEMA`.
    :return: the announcement, or a description of every error in it.
    """
    match checks.parse(body, ANNOUNCE_SCHEMA):
        case Err(problems):
            return Err([str(problem) for problem in problems])
        case Ok(document):
            return _announcement(document)


def _announcement(
    document: dict[str, t.Any],
) -> Result[Announcement, list[str]]:
    try:
        address = identity.Address.from_text(document['address'])
    except ValueError as error:
        return Err([f'$.address: {error}'])
    capacity = shapes.Resources(
        document['slots'],
        document.get('accelerators', 0),
        document['processors'],
        document['memory_mb'],
    )
    event = effects.BackendAnnounced(
        str(address), tuple(document['services']), capacity
    )
    return Ok(Announcement(address, event))


def _json(status: int, body: dict[str, t.Any]) -> http_types.HttpResponse:
    return http_types.HttpResponse(status, body=json.dumps(body).encode())
