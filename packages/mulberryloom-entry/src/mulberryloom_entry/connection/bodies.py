"""JSON responses other than problem documents."""

import json
import typing as t

from mulberryloom_core.connection import http_types


def json_response(
    status: int,
    document: t.Any,
    headers_by_name: dict[str, str] | None = None,
) -> http_types.HttpResponse:
    """Return a response with a JSON body."""
    body = json.dumps(document).encode()
    return http_types.HttpResponse(
        status, body=body, headers_by_name=headers_by_name or {}
    )
