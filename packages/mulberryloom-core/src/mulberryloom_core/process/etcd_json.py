"""Store requests and replies as JSON of the etcd v3 gRPC gateway.

Keys and values are base64 text, 64-bit integers are decimal text, and the
server omits fields with their default value.
"""

import base64
import dataclasses
import json
import typing as t

from result import Err
from result import Ok
from result import Result

from .. import exceptions
from .. import store

#: Most operations in one transaction, as limited by the server.
MAX_TXN_OPERATIONS = 128

# gRPC status codes in the bodies of error responses.
CODE_INVALID_ARGUMENT = 3
CODE_NOT_FOUND = 5
CODE_UNAVAILABLE = 14

_MS_PER_S = 1_000

Json: t.TypeAlias = dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayCall:
    """One HTTP call to the gateway."""

    path: str
    body: bytes


def encode_request(request: store.StoreRequest) -> GatewayCall:
    """Return the gateway call that performs a request.

    :param request: request for at most ``MAX_TXN_OPERATIONS`` keys.
    """
    match request:
        case store.GetKey(key):
            return _gateway_call('/v3/kv/range', {'key': encode_text(key)})
        case store.ListKeys(prefix):
            return _gateway_call('/v3/kv/range', _prefix_range(prefix))
        case store.PutKey(key, value, expected, lease_id):
            put = _put(key, value, lease_id)
            return _txn([put], _compare(key, expected))
        case store.PutMany(values_by_key):
            return _txn(
                [_put(key, value, 0) for key, value in values_by_key.items()]
            )
        case store.Transact():
            return _conditional_txn(request)
        case store.DeleteKey(key, expected):
            return _txn([_delete(key)], _compare(key, expected))
        case store.DeleteMany(keys):
            return _txn([_delete(key) for key in keys])
        case store.GrantLease(ttl_ms):
            ttl_s = -(-ttl_ms // _MS_PER_S)
            return _gateway_call('/v3/lease/grant', {'TTL': str(ttl_s)})
        case store.RenewLease(lease_id):
            return _gateway_call('/v3/lease/keepalive', {'ID': str(lease_id)})
        case store.WatchPrefix(prefix, after_revision, _):
            create = _prefix_range(prefix)
            create['start_revision'] = str(after_revision + 1)
            return _gateway_call('/v3/watch', {'create_request': create})
    raise AssertionError(f'unknown request {request!r}')


def decode_reply(
    request: store.StoreRequest, body: bytes
) -> Result[store.StoreReply, exceptions.Error]:
    """Decode the body of a successful response to a request."""
    try:
        return _decode(request, body)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(
            exceptions.Error.from_kind(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                f'malformed response of the store: {error!r}',
                ran=exceptions.Ran.UNKNOWN,
            )
        )


def decode_error(body: bytes) -> exceptions.Error:
    """Decode the body of a response with an error status.

    The server reports an expired lease as ``NOT_FOUND`` and a value over its
    size limit as ``INVALID_ARGUMENT``.
    """
    try:
        status = json.loads(body)
        code = int(status['code'])
        message = str(status['message'])
    except (ValueError, KeyError, TypeError):
        code = CODE_UNAVAILABLE
        message = f'malformed error response of the store: {len(body)} bytes'
    if code == CODE_NOT_FOUND:
        kind = exceptions.ErrorKind.STORE_CONFLICT
    elif code == CODE_INVALID_ARGUMENT:
        kind = exceptions.ErrorKind.CONFIGURATION_TOO_LARGE
    else:
        kind = exceptions.ErrorKind.STORE_UNAVAILABLE
    return exceptions.Error.from_kind(kind, message)


def encode_text(key: str) -> str:
    """Encode a key as base64 text."""
    return encode_bytes(key.encode())


def encode_bytes(value: bytes) -> str:
    """Encode a value as base64 text."""
    return base64.b64encode(value).decode('ascii')


def decode_text(text: str) -> str:
    """Decode a key from base64 text."""
    return decode_bytes(text).decode()


def decode_bytes(text: str) -> bytes:
    """Decode a value from base64 text."""
    return base64.b64decode(text, validate=True)


def prefix_end(prefix: str) -> bytes:
    """Return the exclusive upper bound of all keys with a prefix.

    :param prefix: text that is not empty and whose last byte is below 255.
    """
    encoded = prefix.encode()
    return encoded[:-1] + bytes([encoded[-1] + 1])


def _decode(
    request: store.StoreRequest, body: bytes
) -> Result[store.StoreReply, exceptions.Error]:
    match request:
        case store.GetKey() | store.ListKeys():
            reply = json.loads(body)
            entries = [_entry_from_kv(kv) for kv in reply.get('kvs', [])]
            return Ok(store.Entries(entries, _header_revision(reply)))
        case store.GrantLease() | store.RenewLease():
            reply = json.loads(body)
            reply = reply.get('result', reply)
            ttl_ms = int(reply.get('TTL', '0')) * _MS_PER_S
            return Ok(store.LeaseGranted(int(reply['ID']), ttl_ms))
        case store.WatchPrefix(_, after_revision, _):
            return Ok(_watch_entries(body, after_revision))
    reply = json.loads(body)
    if not reply.get('succeeded', False):
        if isinstance(request, store.Transact):
            return Ok(_conflict_from_reply(reply))
        return Err(
            exceptions.Error.from_kind(exceptions.ErrorKind.STORE_CONFLICT)
        )
    return Ok(store.Written(_header_revision(reply)))


def _watch_entries(body: bytes, after_revision: int) -> store.Entries:
    """Decode the events of all messages in the stream of a watch.

    Only the latest entry of each key is returned.
    """
    entry_by_key: dict[str, store.Entry] = {}
    revision = after_revision
    for line in body.splitlines():
        result = json.loads(line)['result']
        revision = max(revision, _header_revision(result))
        for event in result.get('events', []):
            entry = _entry_from_kv(event['kv'])
            if event.get('type') == 'DELETE':
                entry = dataclasses.replace(entry, value=b'')
            entry_by_key.pop(entry.key, None)
            entry_by_key[entry.key] = entry
    return store.Entries(list(entry_by_key.values()), revision)


def _entry_from_kv(kv: Json) -> store.Entry:
    return store.Entry(
        decode_text(kv['key']),
        decode_bytes(kv.get('value', '')),
        int(kv['mod_revision']),
        int(kv.get('lease', '0')),
    )


def _header_revision(reply: Json) -> int:
    return int(reply['header']['revision'])


def _gateway_call(path: str, body: Json) -> GatewayCall:
    return GatewayCall(path, json.dumps(body).encode())


def _txn(operations: list[Json], compare: Json | None = None) -> GatewayCall:
    body: Json = {'success': operations}
    if compare is not None:
        body['compare'] = [compare]
    return _gateway_call('/v3/kv/txn', body)


def _conditional_txn(request: store.Transact) -> GatewayCall:
    operations = [
        _put(key, value, request.lease_id)
        for key, value in request.values_by_key.items()
    ]
    operations += [_delete(key) for key in request.deleted_keys]
    expected_by_key = request.expected_by_key
    body: Json = {
        'compare': [
            _compare(key, revision)
            for key, revision in expected_by_key.items()
        ],
        'success': operations,
        'failure': [
            {'request_range': {'key': encode_text(key)}}
            for key in expected_by_key
        ],
    }
    return GatewayCall('/v3/kv/txn', json.dumps(body).encode())


def _conflict_from_reply(reply: Json) -> store.Conflict:
    entry_by_key: dict[str, store.Entry] = {}
    for response in reply.get('responses', []):
        for kv in response['response_range'].get('kvs', []):
            entry = _entry_from_kv(kv)
            entry_by_key[entry.key] = entry
    return store.Conflict(entry_by_key)


def _compare(key: str, expected_revision: int) -> Json:
    return {
        'key': encode_text(key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(expected_revision),
    }


def _put(key: str, value: bytes, lease_id: int) -> Json:
    put = {'key': encode_text(key), 'value': encode_bytes(value)}
    if lease_id:
        put['lease'] = str(lease_id)
    return {'request_put': put}


def _delete(key: str) -> Json:
    return {'request_delete_range': {'key': encode_text(key)}}


def _prefix_range(prefix: str) -> Json:
    return {
        'key': encode_text(prefix),
        'range_end': encode_bytes(prefix_end(prefix)),
    }
