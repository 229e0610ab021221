"""Error responses over HTTP, as problem documents (RFC 9457)."""

import json

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions

CONTENT_TYPE = 'application/problem+json'
DEFAULT_RETRY_AFTER_MS = 1_000
REQUEST_ID_HEADER = 'Mulberryloom-Request-Id'
_SECOND_MS = 1_000


def response(
    error: exceptions.Error, request_id: str = ''
) -> http_types.HttpResponse:
    """Return the response to an error.

    Its status and title are those of the error kind.

    :param request_id: id of the request, repeated in a header; empty when
        the request has none.
    """
    answer = exceptions.RESPONSE_BY_KIND[error.kind]
    document = {
        'type': f'/problems/{error.kind.value}',
        'title': answer.title,
        'status': answer.status,
        'detail': error.detail,
        'kind': error.kind.value,
        'ran': error.ran.value,
    }
    headers_by_name = {}
    if request_id:
        headers_by_name[REQUEST_ID_HEADER] = request_id
    if answer.is_retryable:
        retry_after_ms = error.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        headers_by_name['Retry-After'] = str(-(-retry_after_ms // _SECOND_MS))
    if error.kind is exceptions.ErrorKind.UNAUTHENTICATED:
        headers_by_name['WWW-Authenticate'] = 'Bearer'
    body = json.dumps(document).encode()
    return http_types.HttpResponse(
        answer.status, CONTENT_TYPE, body, headers_by_name
    )


def response_of_kind(
    kind: exceptions.ErrorKind, detail: str = '', request_id: str = ''
) -> http_types.HttpResponse:
    """Return the response to an error of a kind."""
    return response(exceptions.Error.from_kind(kind, detail), request_id)


def response_of_bad_request(
    bad_request: http_types.BadRequest,
) -> http_types.HttpResponse:
    """Return the response to data that is no valid HTTP request."""
    return response_of_kind(bad_request.kind, bad_request.detail)


def response_without_configuration() -> http_types.HttpResponse:
    """Return the response of an entry without a configuration.

    An entry that has just started cannot verify tokens until it has
    received the configuration from the store or a peer.
    """
    return response_of_kind(
        exceptions.ErrorKind.STORE_UNAVAILABLE,
        'this entry has not received a configuration yet',
    )
