"""HTTP requests of the caller stand-in to entries and backend servers."""

import dataclasses
import itertools
import typing as t

from mulberryloom_core.connection import http_types

from . import answers


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSpec:
    """Method call that the caller stand-in sends.

    :param order: request body for the backend server stand-in.
    :param demand: value of the header ``Mulberryloom-Demand``; no header if
        empty.
    :param idempotency_key: value of the header ``Idempotency-Key``; no
        header if empty.
    :param deadline_ms: timeout of the call.
    """

    service: str
    method: str
    order: answers.Order
    demand: str = ''
    idempotency_key: str = ''
    deadline_ms: int = 30_000


class Target(t.Protocol):
    """Builds requests for one kind of server."""

    def request(
        self, request_spec: RequestSpec, extra_headers_by_name: dict[str, str]
    ) -> http_types.HttpRequest:
        """Return the request that submits a call.

        :param extra_headers_by_name: additional headers.
        """

    def outcome_request(
        self, method: str, path: str
    ) -> http_types.HttpRequest:
        """Return a request about the outcome of an accepted call."""


class EntryTarget:
    """Builds requests to entries, authenticated with a bearer token."""

    __slots__ = ('_token',)

    def __init__(self, token: str) -> None:
        self._token = token

    def request(
        self, request_spec: RequestSpec, extra_headers_by_name: dict[str, str]
    ) -> http_types.HttpRequest:
        """Return the request that submits a call."""
        headers_by_name = self._headers() | extra_headers_by_name
        headers_by_name['content-type'] = 'application/json'
        if request_spec.demand:
            headers_by_name['mulberryloom-demand'] = request_spec.demand
        if request_spec.idempotency_key:
            headers_by_name['idempotency-key'] = (
                f'"{request_spec.idempotency_key}"'
            )
        return http_types.HttpRequest(
            'POST',
            f'/v1/services/{request_spec.service}/{request_spec.method}',
            headers_by_name=headers_by_name,
            body=request_spec.order.to_body(),
        )

    def outcome_request(
        self, method: str, path: str
    ) -> http_types.HttpRequest:
        """Return a request about the outcome of an accepted call."""
        return http_types.HttpRequest(
            method, path, headers_by_name=self._headers()
        )

    def _headers(self) -> dict[str, str]:
        return {'authorization': f'Bearer {self._token}'}


class BackendTarget:
    """Builds requests to a backend server in the form of its agent."""

    __slots__ = ('_request_numbers',)

    def __init__(self) -> None:
        self._request_numbers = itertools.count(1)

    def request(
        self, request_spec: RequestSpec, extra_headers_by_name: dict[str, str]
    ) -> http_types.HttpRequest:
        """Return the request that starts a run."""
        headers_by_name = {
            'content-type': 'application/json',
            'mulberryloom-request-id': f'direct-{next(self._request_numbers)}',
            'mulberryloom-attempt': '1',
            'mulberryloom-member': '0/1',
            'mulberryloom-accelerators': '',
            **extra_headers_by_name,
        }
        return http_types.HttpRequest(
            'POST',
            f'/{request_spec.service}/{request_spec.method}',
            headers_by_name=headers_by_name,
            body=request_spec.order.to_body(),
        )

    def outcome_request(
        self, method: str, path: str
    ) -> http_types.HttpRequest:
        """Return a request to the same server."""
        return http_types.HttpRequest(method, path)
