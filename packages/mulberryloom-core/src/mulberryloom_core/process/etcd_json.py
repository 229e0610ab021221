"""Store requests and replies in the JSON of the etcd v3 gateway.

Keys and values are base64 text, 64-bit integers are decimal text, and
fields that hold their default are left out by the server.
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

MAX_TXN_OPERATIONS = 128

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
    """Return the call that carries out a request.

    :param request: of at most ``MAX_TXN_OPERATIONS`` keys.
    """
    match request:
        case store.GetKey(key):
            return _call('/v3/kv/range', {'key': encode_text(key)})
        case store.ListKeys(prefix):
            return _call('/v3/kv/range', _prefix_range(prefix))
        case store.PutKey(key, value, expected, lease_id):
            put = _put(key, value, lease_id)
            return _txn([put], _compare(key, expected))
        case store.PutMany(values_by_key):
            return _txn([_put(k, v, 0) for k, v in values_by_key.items()])
        case store.Transact():
            return _transaction(request)
        case store.DeleteKey(key, expected):
            return _txn([_delete(key)], _compare(key, expected))
        case store.DeleteMany(keys):
            return _txn([_delete(key) for key in keys])
        case store.GrantLease(ttl_ms):
            ttl_s = -(-ttl_ms // _MS_PER_S)
            return _call('/v3/lease/grant', {'TTL': str(ttl_s)})
        case store.RenewLease(lease_id):
            return _call('/v3/lease/keepalive', {'ID': str(lease_id)})
        case store.WatchPrefix(prefix, after, _):
            create = _prefix_range(prefix)
            create['start_revision'] = str(after + 1)
            return _call('/v3/watch', {'create_request': create})
    raise AssertionError(f'unknown request {request!r}')


def decode_reply(
    request: store.StoreRequest, body: bytes
) -> Result[store.StoreReply, exceptions.Error]:
    """Read the body of a successful answer to a request."""
    try:
        return _decode(request, body)
    except (ValueError, KeyError, TypeError, AttributeError) as problem:
        return Err(
            exceptions.Error.from_kind(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                f'malformed answer of the store: {problem!r}',
                ran=exceptions.Ran.UNKNOWN,
            )
        )


def decode_error(body: bytes) -> exceptions.Error:
    """Read the body of an answer with an error status."""
    try:
        problem = json.loads(body)
        code = int(problem['code'])
        message = str(problem['message'])
    except (ValueError, KeyError, TypeError):
        code = CODE_UNAVAILABLE
        message = 'store answered with an unreadable error'
    if code == CODE_NOT_FOUND:
        kind = exceptions.ErrorKind.STORE_CONFLICT
    elif code == CODE_INVALID_ARGUMENT:
        kind = exceptions.ErrorKind.CONFIGURATION_TOO_LARGE
    else:
        kind = exceptions.ErrorKind.STORE_UNAVAILABLE
    return exceptions.Error.from_kind(kind, message)


def encode_text(key: str) -> str:
    """Return a key as base64 text."""
    return encode_bytes(key.encode())


def encode_bytes(value: bytes) -> str:
    """Return a value as base64 text."""
    return base64.b64encode(value).decode('ascii')


def decode_text(text: str) -> str:
    """Return the key that base64 text stands for."""
    return decode_bytes(text).decode()


def decode_bytes(text: str) -> bytes:
    """Return the value that base64 text stands for."""
    return base64.b64decode(text, validate=True)


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix.

    :param prefix: text whose last byte is below 255; not empty.
    """
    first = prefix.encode()
    return first[:-1] + bytes([first[-1] + 1])


def _decode(
    request: store.StoreRequest, body: bytes
) -> Result[store.StoreReply, exceptions.Error]:
    match request:
        case store.GetKey() | store.ListKeys():
            reply = json.loads(body)
            entries = [_entry(kv) for kv in reply.get('kvs', [])]
            return Ok(store.Entries(entries, _revision(reply)))
        case store.GrantLease() | store.RenewLease():
            reply = json.loads(body)
            reply = reply.get('result', reply)
            ttl_ms = int(reply.get('TTL', '0')) * _MS_PER_S
            return Ok(store.LeaseGranted(int(reply['ID']), ttl_ms))
        case store.WatchPrefix(_, after, _):
            return Ok(_watch_entries(body, after))
    reply = json.loads(body)
    if not reply.get('succeeded', False):
        if isinstance(request, store.Transact):
            return Ok(_conflict(reply))
        return Err(
            exceptions.Error.from_kind(exceptions.ErrorKind.STORE_CONFLICT)
        )
    return Ok(store.Written(_revision(reply)))


def _watch_entries(body: bytes, after_revision: int) -> store.Entries:
    """Read the events of all messages of a watch's stream."""
    entry_by_key: dict[str, store.Entry] = {}
    revision = after_revision
    for line in body.splitlines():
        result = json.loads(line)['result']
        revision = max(revision, _revision(result))
        for event in result.get('events', []):
            entry = _entry(event['kv'])
            if event.get('type') == 'DELETE':
                entry = dataclasses.replace(entry, value=b'')
            entry_by_key.pop(entry.key, None)
            entry_by_key[entry.key] = entry
    return store.Entries(list(entry_by_key.values()), revision)


def _entry(kv: Json) -> store.Entry:
    return store.Entry(
        decode_text(kv['key']),
        decode_bytes(kv.get('value', '')),
        int(kv['mod_revision']),
        int(kv.get('lease', '0')),
    )


def _revision(reply: Json) -> int:
    return int(reply['header']['revision'])


def _call(path: str, body: Json) -> GatewayCall:
    return GatewayCall(path, json.dumps(body).encode())


def _txn(operations: list[Json], compare: Json | None = None) -> GatewayCall:
    body: Json = {'success': operations}
    if compare is not None:
        body['compare'] = [compare]
    return _call('/v3/kv/txn', body)


def _transaction(request: store.Transact) -> GatewayCall:
    operations = [
        _put(key, value, request.lease_id)
        for key, value in request.values_by_key.items()
    ]
    operations += [_delete(key) for key in request.deleted_keys]
    expected_by_key = request.expected_by_key
    body: Json = {
        'compare': [_compare(k, r) for k, r in expected_by_key.items()],
        'success': operations,
        'failure': [
            {'request_range': {'key': encode_text(key)}}
            for key in expected_by_key
        ],
    }
    return GatewayCall('/v3/kv/txn', json.dumps(body).encode())


def _conflict(reply: Json) -> store.Conflict:
    entry_by_key: dict[str, store.Entry] = {}
    for response in reply.get('responses', []):
        for kv in response['response_range'].get('kvs', []):
            entry = _entry(kv)
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
