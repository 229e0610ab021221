"""Server side of the etcd v3 JSON gateway, as far as the project uses it.

A transaction without a failure branch is accepted if it has at most one
comparison, of a key's modification revision, and either puts or deletions of
single keys. One with a failure branch may have any comparisons of
modification revisions, puts and deletions of single keys.
"""

import json
import typing as t

from result import Err
from result import Ok
from result import Result

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.process import etcd_json
from mulberryloom_core import store

_MS_PER_S = 1_000
_WATCH_TIMEOUT_MS = 10_000

_GATEWAY_CODE_BY_KIND = {
    exceptions.ErrorKind.STORE_UNAVAILABLE: (
        503,
        etcd_json.CODE_UNAVAILABLE,
    ),
    exceptions.ErrorKind.STORE_CONFLICT: (404, etcd_json.CODE_NOT_FOUND),
}
_BAD_REQUEST = (400, etcd_json.CODE_INVALID_ARGUMENT)


def decode_request(
    path: str, body: bytes
) -> Result[store.StoreRequest, exceptions.Error]:
    """Decode the request of one call of the gateway."""
    decode = _DECODE_BY_PATH.get(path)
    if decode is None:
        return _malformed(f'unknown path {path}')
    try:
        return Ok(decode(json.loads(body)))
    except (ValueError, KeyError, TypeError, IndexError) as problem:
        return _malformed(f'cannot decode the body of {path}: {problem!r}')


def encode_reply(
    request: store.StoreRequest,
    answer: Result[store.StoreReply, exceptions.Error],
    revision: int,
) -> http_types.HttpResponse:
    """Encode the answer to a request.

    :param revision: current revision of the store.
    """
    is_transaction = isinstance(
        request,
        store.PutKey | store.PutMany | store.DeleteKey | store.DeleteMany,
    )
    if answer.is_err():
        kind = answer.err_value.kind
        is_conflict = kind is exceptions.ErrorKind.STORE_CONFLICT
        is_lease_lapsed = 'lease' in answer.err_value.detail
        if is_transaction and is_conflict and not is_lease_lapsed:
            return _json({'header': _header(revision)})
        return encode_error(answer.err_value)
    match answer.ok_value:
        case store.Entries(entries, read_revision):
            if isinstance(request, store.WatchPrefix):
                events = [_event(entry) for entry in entries]
                result = {'header': _header(read_revision), 'events': events}
                return _json({'result': result})
            return _json(
                {
                    'header': _header(read_revision),
                    'kvs': [_kv(entry) for entry in entries],
                    'count': str(len(entries)),
                }
            )
        case store.Conflict(entry_by_key):
            return _json(
                {
                    'header': _header(revision),
                    'responses': [
                        {'response_range': {'kvs': [_kv(entry)]}}
                        for entry in entry_by_key.values()
                    ],
                }
            )
        case store.Written(written_revision):
            return _json(
                {'header': _header(written_revision), 'succeeded': True}
            )
        case store.LeaseGranted(lease_id, ttl_ms):
            lease = {
                'header': _header(revision),
                'ID': str(lease_id),
                'TTL': str(ttl_ms // _MS_PER_S),
            }
            if isinstance(request, store.RenewLease):
                return _json({'result': lease})
            return _json(lease)
    raise AssertionError(f'unknown reply {answer!r}')


def encode_error(error: exceptions.Error) -> http_types.HttpResponse:
    """Encode an error in the gateway's format."""
    status, code = _GATEWAY_CODE_BY_KIND.get(error.kind, _BAD_REQUEST)
    problem = {'error': error.detail, 'code': code, 'message': error.detail}
    return _json(problem, status)


def _malformed(detail: str) -> Err[exceptions.Error]:
    return Err(
        exceptions.Error.from_kind(
            exceptions.ErrorKind.MALFORMED_REQUEST, detail
        )
    )


def _json(body: t.Any, status: int = 200) -> http_types.HttpResponse:
    return http_types.HttpResponse(
        status, 'application/json', json.dumps(body).encode() + b'\n'
    )


def _header(revision: int) -> etcd_json.Json:
    return {'revision': str(revision)}


def _kv(entry: store.Entry) -> etcd_json.Json:
    return {
        'key': etcd_json.encode_text(entry.key),
        'value': etcd_json.encode_bytes(entry.value),
        'mod_revision': str(entry.revision),
        'lease': str(entry.lease_id),
    }


def _event(entry: store.Entry) -> etcd_json.Json:
    if entry.value == b'':
        return {'type': 'DELETE', 'kv': _kv(entry)}
    return {'kv': _kv(entry)}


def _decode_range(body: etcd_json.Json) -> store.StoreRequest:
    key = etcd_json.decode_text(body['key'])
    if 'range_end' not in body:
        return store.GetKey(key)
    _check_prefix(key, body['range_end'])
    return store.ListKeys(key)


def _decode_put(body: etcd_json.Json) -> store.StoreRequest:
    key = etcd_json.decode_text(body['key'])
    return store.PutMany({key: etcd_json.decode_bytes(body['value'])})


def _decode_delete_range(body: etcd_json.Json) -> store.StoreRequest:
    if 'range_end' in body:
        raise ValueError(
            f'range_end is {body["range_end"]!r}, but only single keys can '
            'be deleted'
        )
    return store.DeleteMany([etcd_json.decode_text(body['key'])])


def _decode_txn(body: etcd_json.Json) -> store.StoreRequest:
    operations = body['success']
    if len(operations) > etcd_json.MAX_TXN_OPERATIONS:
        raise ValueError(
            f'transaction has {len(operations)} operations, more than '
            f'{etcd_json.MAX_TXN_OPERATIONS}'
        )
    if 'failure' in body:
        return _decode_transaction(body)
    compare = body.get('compare', [])
    if compare:
        (comparison,) = compare
        (operation,) = operations
        return _decode_compared(comparison, operation)
    if all('request_put' in operation for operation in operations):
        puts = [operation['request_put'] for operation in operations]
        return store.PutMany(
            {
                etcd_json.decode_text(put['key']): etcd_json.decode_bytes(
                    put['value']
                )
                for put in puts
            }
        )
    deletions = [o['request_delete_range'] for o in operations]
    return store.DeleteMany(
        [etcd_json.decode_text(deletion['key']) for deletion in deletions]
    )


def _decode_transaction(body: etcd_json.Json) -> store.Transact:
    expected_by_key = {
        etcd_json.decode_text(compare['key']): int(compare['mod_revision'])
        for compare in body.get('compare', [])
    }
    values_by_key: dict[str, bytes] = {}
    deleted_keys = []
    lease_id = 0
    for operation in body['success']:
        put = operation.get('request_put')
        if put is None:
            deletion = operation['request_delete_range']
            deleted_keys.append(etcd_json.decode_text(deletion['key']))
            continue
        key = etcd_json.decode_text(put['key'])
        values_by_key[key] = etcd_json.decode_bytes(put['value'])
        lease_id = int(put.get('lease', '0'))
    return store.Transact(
        expected_by_key, values_by_key, tuple(deleted_keys), lease_id
    )


def _decode_compared(
    compare: etcd_json.Json, operation: etcd_json.Json
) -> store.StoreRequest:
    if compare['target'] != 'MOD' or compare['result'] != 'EQUAL':
        raise ValueError(
            f'comparison {compare!r} is not an equality of mod_revision'
        )
    key = etcd_json.decode_text(compare['key'])
    expected = int(compare['mod_revision'])
    target = operation.get('request_put')
    is_put = target is not None
    if not is_put:
        target = operation['request_delete_range']
    if etcd_json.decode_text(target['key']) != key:
        raise ValueError(
            f'comparison is of {key}, but the operation has another key'
        )
    if not is_put:
        return store.DeleteKey(key, expected)
    return store.PutKey(
        key,
        etcd_json.decode_bytes(target['value']),
        expected,
        int(target.get('lease', '0')),
    )


def _decode_grant(body: etcd_json.Json) -> store.StoreRequest:
    return store.GrantLease(int(body['TTL']) * _MS_PER_S)


def _decode_keepalive(body: etcd_json.Json) -> store.StoreRequest:
    return store.RenewLease(int(body['ID']))


def _decode_watch(body: etcd_json.Json) -> store.StoreRequest:
    create = body['create_request']
    prefix = etcd_json.decode_text(create['key'])
    _check_prefix(prefix, create['range_end'])
    after = int(create['start_revision']) - 1
    return store.WatchPrefix(prefix, after, _WATCH_TIMEOUT_MS)


def _check_prefix(prefix: str, range_end: str) -> None:
    if etcd_json.decode_bytes(range_end) != etcd_json.prefix_end(prefix):
        raise ValueError(
            f'range_end {range_end!r} is not the end of prefix {prefix}'
        )


_DECODE_BY_PATH: dict[
    str, t.Callable[[etcd_json.Json], store.StoreRequest]
] = {
    '/v3/kv/range': _decode_range,
    '/v3/kv/txn': _decode_txn,
    '/v3/kv/put': _decode_put,
    '/v3/kv/deleterange': _decode_delete_range,
    '/v3/lease/grant': _decode_grant,
    '/v3/lease/keepalive': _decode_keepalive,
    '/v3/watch': _decode_watch,
}
