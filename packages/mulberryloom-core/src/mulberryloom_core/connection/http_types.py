"""HTTP requests, responses and limits, shared by server and client."""

import dataclasses

from ..exceptions import ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    :param path: request target without the query.
    :param query: text after ``?``; empty if there is none.
    :param headers_by_name: values by lower-case name; the last value of a
        repeated header.
    """

    method: str
    path: str
    query: str = ''
    headers_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    content_type: str = 'application/json'
    body: bytes = b''
    headers_by_name: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server; exceeding a limit has its own error kind.

    :param max_head_bytes: request line and headers.
    :param max_body_bytes: body of one request.
    :param max_connections: open connections.
    :param receive_timeout_ms: from the first byte of a request to its last.
    :param idle_timeout_ms: between two requests of a connection.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 8_388_608
    max_connections: int = 2_048
    receive_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that could not be parsed, or that exceeds a limit.

    :param kind: kind of the error that the client receives.
    :param detail: human-readable explanation.
    """

    kind: ErrorKind
    detail: str
