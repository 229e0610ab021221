"""One watch through the gateway's stream of JSON lines.

The gateway responds to a watch with an unbounded stream: first a line that
confirms the watch, then a line for each batch of changes. A watch here ends
with the first changes, and its connection is then closed.
"""

import asyncio

import h11
from result import Err
from result import Ok
from result import Result

from .. import exceptions
from .. import store
from . import etcd_json
from ..identity import Address

_READ_BYTES = 65_536
_MS_PER_S = 1_000


async def wait_for_changes(
    address: Address, request: store.WatchPrefix
) -> Result[store.Entries, exceptions.Error]:
    """Watch until the first changes or until the timeout of the watch.

    :return: the changes, none after the timeout, or an error of kind
        ``STORE_UNAVAILABLE``.
    """
    no_changes = store.Entries([], request.after_revision)
    try:
        async with asyncio.timeout(request.timeout_ms / _MS_PER_S):
            return await _watch_once(address, request)
    except TimeoutError:
        return Ok(no_changes)
    except (OSError, h11.ProtocolError) as error:
        return _unavailable(f'watch at {address} failed: {error}')


async def _watch_once(
    address: Address, request: store.WatchPrefix
) -> Result[store.Entries, exceptions.Error]:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        protocol = h11.Connection(h11.CLIENT)
        call = etcd_json.encode_request(request)
        writer.write(_encode(protocol, address, call))
        return await _read_changes(reader, protocol, request)
    finally:
        writer.close()


def _encode(
    protocol: h11.Connection, address: Address, call: etcd_json.GatewayCall
) -> bytes:
    headers = [
        ('host', str(address)),
        ('content-type', 'application/json'),
        ('content-length', str(len(call.body))),
    ]
    head = h11.Request(method='POST', target=call.path, headers=headers)
    parts = [
        protocol.send(head),
        protocol.send(h11.Data(data=call.body)),
        protocol.send(h11.EndOfMessage()),
    ]
    return b''.join(part or b'' for part in parts)


async def _read_changes(
    reader: asyncio.StreamReader,
    protocol: h11.Connection,
    request: store.WatchPrefix,
) -> Result[store.Entries, exceptions.Error]:
    status = 0
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            if status == 200 and body.endswith(b'\n'):
                result = etcd_json.decode_reply(request, bytes(body))
                if result.is_err() or result.ok_value.entries:
                    return result
        elif isinstance(event, h11.EndOfMessage):
            return _decode_ended_stream(status, bytes(body), request)
        else:
            return _unavailable(
                'connection closed before the end of the watch'
            )


def _decode_ended_stream(
    status: int, body: bytes, request: store.WatchPrefix
) -> Result[store.Entries, exceptions.Error]:
    if status != 200:
        return Err(etcd_json.decode_error(body))
    return etcd_json.decode_reply(request, body)


def _unavailable(detail: str) -> Err[exceptions.Error]:
    return Err(
        exceptions.Error.from_kind(
            exceptions.ErrorKind.STORE_UNAVAILABLE, detail
        )
    )
