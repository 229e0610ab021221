"""Bearer tokens of callers and operators.

The configuration contains only digests of tokens. As a precaution against
timing attacks, each comparison takes constant time and all digests are
compared, even after a match.
"""

import hashlib
import hmac
import typing as t

from mulberryloom_core.connection import http_types
from mulberryloom_core.version import configuration as configurations

_SCHEME = 'bearer '


def token_digest(request: http_types.HttpRequest) -> str | None:
    """Return the SHA-256 digest of the bearer token of a request.

    :return: hexadecimal digest; ``None`` without a bearer token.
    """
    value = request.headers_by_name.get('authorization', '')
    if not value.lower().startswith(_SCHEME):
        return None
    token = value[len(_SCHEME) :].strip()
    return hashlib.sha256(token.encode()).hexdigest()


class _TokenHolder(t.Protocol):
    @property
    def token_sha256(self) -> str:
        """Hexadecimal SHA-256 digest of the token."""


_HolderT = t.TypeVar('_HolderT', bound=_TokenHolder)


def _find_holder(
    holders: t.Iterable[_HolderT], digest: str
) -> _HolderT | None:
    matched = None
    for holder in holders:
        if hmac.compare_digest(holder.token_sha256, digest):
            matched = holder
    return matched


def find_account(
    request: http_types.HttpRequest,
    configuration: configurations.Configuration,
) -> configurations.ClientAccount | None:
    """Return the client account that the token of a request belongs to."""
    digest = token_digest(request)
    if digest is None:
        return None
    return _find_holder(configuration.accounts_by_name.values(), digest)


def is_operator(
    request: http_types.HttpRequest,
    configuration: configurations.Configuration,
    bootstrap_sha256: str,
) -> bool:
    """Return whether a request has a valid token of an operator.

    :param bootstrap_sha256: digest of the first operator's token, which is
        accepted only while the configuration has no operators.
    """
    digest = token_digest(request)
    if digest is None:
        return False
    operators = configuration.operators_by_name.values()
    if operators:
        return _find_holder(operators, digest) is not None
    return hmac.compare_digest(bootstrap_sha256, digest)
