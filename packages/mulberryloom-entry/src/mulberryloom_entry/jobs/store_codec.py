"""Store requests and replies as they are relayed between entries."""

import base64
import dataclasses
import typing as t

from mulberryloom_core import store
import orjson

_REQUESTS: dict[str, type] = {
    cls.__name__: cls for cls in (store.GetKey, store.ListKeys, store.Transact)
}


def can_relay(request: store.StoreRequest) -> bool:
    """Whether another entry may carry a request out."""
    return type(request).__name__ in _REQUESTS


def encode_request(request: store.StoreRequest) -> bytes:
    """Return the bytes of a request."""
    fields = {
        field.name: getattr(request, field.name)
        for field in dataclasses.fields(request)
    }
    if isinstance(request, store.Transact):
        fields['values_by_key'] = {
            key: _text(value) for key, value in request.values_by_key.items()
        }
    return orjson.dumps({'type': type(request).__name__, 'fields': fields})


def decode_request(body: bytes) -> store.StoreRequest:
    """Read a request.

    :raises ValueError: for anything else.
    """
    document = orjson.loads(body)
    fields: dict[str, t.Any] = document['fields']
    if document['type'] == store.Transact.__name__:
        fields['values_by_key'] = {
            key: _bytes(text) for key, text in fields['values_by_key'].items()
        }
        fields['deleted_keys'] = tuple(fields['deleted_keys'])
    return t.cast('store.StoreRequest', _REQUESTS[document['type']](**fields))


def encode_reply(reply: store.StoreReply) -> bytes:
    """Return the bytes of a reply."""
    match reply:
        case store.Written(revision):
            document: dict[str, t.Any] = {'written': revision}
        case store.Conflict(entry_by_key):
            rows = [_row(entry) for entry in entry_by_key.values()]
            document = {'conflict': rows}
        case store.Entries(entries, revision):
            rows = [_row(entry) for entry in entries]
            document = {'entries': rows, 'revision': revision}
        case _:
            raise ValueError(f'reply is not relayed: {reply!r}')
    return orjson.dumps(document)


def decode_reply(body: bytes) -> store.StoreReply:
    """Read a reply.

    :raises ValueError: for anything else.
    """
    document = orjson.loads(body)
    if 'written' in document:
        return store.Written(document['written'])
    if 'conflict' in document:
        entries = [_entry(row) for row in document['conflict']]
        return store.Conflict({entry.key: entry for entry in entries})
    entries = [_entry(row) for row in document['entries']]
    return store.Entries(entries, document['revision'])


def _row(entry: store.Entry) -> list[t.Any]:
    return [entry.key, _text(entry.value), entry.revision, entry.lease_id]


def _entry(row: list[t.Any]) -> store.Entry:
    key, value, revision, lease_id = row
    return store.Entry(key, _bytes(value), revision, lease_id)


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode('ascii')


def _bytes(text: str) -> bytes:
    return base64.b64decode(text)
