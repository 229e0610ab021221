"""Encoding of store requests and replies that entries relay as JSON.

Only ``GetKey``, ``ListKeys`` and ``Transact`` requests are relayed.
"""

import base64
import dataclasses
import typing as t

from mulberryloom_core import store
import orjson

_REQUEST_TYPE_BY_NAME: dict[str, type] = {
    request_type.__name__: request_type
    for request_type in (store.GetKey, store.ListKeys, store.Transact)
}


def can_relay(request: store.StoreRequest) -> bool:
    """Whether another entry may execute a request."""
    return type(request).__name__ in _REQUEST_TYPE_BY_NAME


def encode_request(request: store.StoreRequest) -> bytes:
    """Encode a request."""
    fields = {
        field.name: getattr(request, field.name)
        for field in dataclasses.fields(request)
    }
    if isinstance(request, store.Transact):
        fields['values_by_key'] = {
            key: _encode_value(value)
            for key, value in request.values_by_key.items()
        }
    return orjson.dumps({'type': type(request).__name__, 'fields': fields})


def decode_request(body: bytes) -> store.StoreRequest:
    """Decode a request.

    :raises ValueError: if the body is not JSON.
    :raises KeyError: if the request is of a type that is not relayed.
    """
    document = orjson.loads(body)
    fields: dict[str, t.Any] = document['fields']
    if document['type'] == store.Transact.__name__:
        fields['values_by_key'] = {
            key: _decode_value(text)
            for key, text in fields['values_by_key'].items()
        }
        fields['deleted_keys'] = tuple(fields['deleted_keys'])
    return t.cast(
        'store.StoreRequest', _REQUEST_TYPE_BY_NAME[document['type']](**fields)
    )


def encode_reply(reply: store.StoreReply) -> bytes:
    """Encode a reply.

    :raises ValueError: if the reply is of a type that is not relayed.
    """
    match reply:
        case store.Written(revision):
            document: dict[str, t.Any] = {'written': revision}
        case store.Conflict(entry_by_key):
            rows = [_encode_entry(entry) for entry in entry_by_key.values()]
            document = {'conflict': rows}
        case store.Entries(entries, revision):
            rows = [_encode_entry(entry) for entry in entries]
            document = {'entries': rows, 'revision': revision}
        case _:
            raise ValueError(
                f'expected Written, Conflict or Entries, got {reply!r}'
            )
    return orjson.dumps(document)


def decode_reply(body: bytes) -> store.StoreReply:
    """Decode a reply.

    :raises ValueError: if the body is not JSON.
    :raises KeyError: if it is no encoded reply.
    """
    document = orjson.loads(body)
    if 'written' in document:
        return store.Written(document['written'])
    if 'conflict' in document:
        entries = [_decode_entry(row) for row in document['conflict']]
        return store.Conflict({entry.key: entry for entry in entries})
    entries = [_decode_entry(row) for row in document['entries']]
    return store.Entries(entries, document['revision'])


def _encode_entry(entry: store.Entry) -> list[t.Any]:
    return [
        entry.key,
        _encode_value(entry.value),
        entry.revision,
        entry.lease_id,
    ]


def _decode_entry(row: list[t.Any]) -> store.Entry:
    key, value, revision, lease_id = row
    return store.Entry(key, _decode_value(value), revision, lease_id)


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode('ascii')


def _decode_value(text: str) -> bytes:
    return base64.b64decode(text)
