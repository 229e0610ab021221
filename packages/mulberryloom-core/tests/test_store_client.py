"""Tests of the store client against the HTTP stand-in of the store."""

import asyncio

from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.identity import Address
from mulberryloom_core.process import etcd_json
from mulberryloom_core.process import store_client
from mulberryloom_core import store
from mulberryloom_standins.store import server

ANY_PORT = Address('127.0.0.1', 0)
UNAVAILABLE = exceptions.ErrorKind.STORE_UNAVAILABLE
CONFLICT = exceptions.ErrorKind.STORE_CONFLICT


def _run(scenario):
    async def run():
        standin = server.StoreServer.from_clock()
        address = await standin.listen(ANY_PORT)
        client = _client(address)
        try:
            await scenario(client, standin.core)
        finally:
            await client.close()
            await standin.stop()

    asyncio.run(run())


def _client(*addresses):
    return store_client.EtcdStore.from_settings(
        [str(address) for address in addresses]
    )


def test_keys_can_be_written_listed_and_deleted():
    async def scenario(client, core):
        first = (await client.call(store.PutKey('a/1', b'\x00x', 0))).unwrap()
        await client.call(store.PutMany({'a/2': b'y', 'b/1': b'z'}))
        listed = (await client.call(store.ListKeys('a/'))).unwrap()
        assert [(e.key, e.value) for e in listed.entries] == [
            ('a/1', b'\x00x'),
            ('a/2', b'y'),
        ]
        assert listed.revision == core.state.revision
        deleted = await client.call(store.DeleteKey('a/1', first.revision))
        assert deleted.is_ok()
        await client.call(store.DeleteMany(['a/2', 'b/1']))
        assert (await client.call(store.ListKeys('a/'))).unwrap().entries == []

    _run(scenario)


def test_write_with_wrong_revision_is_conflict():
    async def scenario(client, core):
        await client.call(store.PutKey('a', b'1', 0))
        again = await client.call(store.PutKey('a', b'2', 0))
        assert again.unwrap_err().kind is CONFLICT
        deleted = await client.call(store.DeleteKey('a', 99))
        assert deleted.unwrap_err().kind is CONFLICT
        read = (await client.call(store.GetKey('a'))).unwrap()
        assert read.entries[0].value == b'1'

    _run(scenario)


def test_lease_can_be_granted_renewed_and_expires():
    async def scenario(client, core):
        lease = (await client.call(store.GrantLease(1_500))).unwrap()
        assert lease.ttl_ms == 2_000
        key = store.PutKey('a', b'1', 0, lease.lease_id)
        assert (await client.call(key)).is_ok()
        renewed = await client.call(store.RenewLease(lease.lease_id))
        assert renewed.unwrap().ttl_ms == 2_000
        core.state.revoke(lease.lease_id)
        assert (await client.call(store.GetKey('a'))).unwrap().entries == []
        expired = await client.call(store.RenewLease(lease.lease_id))
        assert expired.unwrap().ttl_ms == 0
        rejected = await client.call(
            store.PutKey('b', b'1', 0, lease.lease_id)
        )
        assert rejected.unwrap_err().kind is CONFLICT

    _run(scenario)


def test_watch_returns_changes_made_while_it_is_pending():
    async def scenario(client, core):
        watch = store.WatchPrefix('a/', core.state.revision, 5_000)
        waiting = asyncio.create_task(client.call(watch))
        while core.calls_by_kind['WatchPrefix'] == 0:
            await asyncio.sleep(0)
        written = (await client.call(store.PutKey('a/1', b'x', 0))).unwrap()
        changes = (await waiting).unwrap()
        assert changes.revision == written.revision
        assert changes.entries == [
            store.Entry('a/1', b'x', written.revision, 0)
        ]
        after = store.WatchPrefix('a/', written.revision, 5_000)
        waiting = asyncio.create_task(client.call(after))
        await client.call(store.DeleteKey('a/1', written.revision))
        (removed,) = (await waiting).unwrap().entries
        assert (removed.key, removed.value) == ('a/1', b'')

    _run(scenario)


def test_watch_without_change_returns_nothing_at_timeout():
    async def scenario(client, core):
        watch = store.WatchPrefix('a/', core.state.revision, 50)
        answer = (await client.call(watch)).unwrap()
        assert answer == store.Entries([], core.state.revision)
        assert client.calls_by_kind['WatchPrefix'] == 1

    _run(scenario)


def test_outage_and_lost_response_are_unavailable():
    async def scenario(client, core):
        core.faults.lost_answers = 1
        lost = await client.call(store.PutKey('a', b'1', 0))
        assert lost.unwrap_err().kind is UNAVAILABLE
        read = (await client.call(store.GetKey('a'))).unwrap()
        assert read.entries[0].value == b'1'
        core.faults.outage = True
        for request in (
            store.GetKey('a'),
            store.WatchPrefix('a', 0, 1_000),
            store.PutKey('b', b'1', 0),
        ):
            answer = await client.call(request)
            assert answer.unwrap_err().kind is UNAVAILABLE

    _run(scenario)


def test_value_over_size_limit_is_too_large():
    async def scenario(client, core):
        value = bytes(store.MAX_VALUE_BYTES)
        assert (await client.call(store.PutKey('a', value, 0))).is_ok()
        answer = await client.call(store.PutKey('b', value + b'x', 0))
        assert (
            answer.unwrap_err().kind
            is exceptions.ErrorKind.CONFIGURATION_TOO_LARGE
        )

    _run(scenario)


def test_put_many_is_split_at_transaction_limit():
    async def scenario(client, core):
        values_by_key = {f'k/{i:03}': b'x' for i in range(300)}
        assert (await client.call(store.PutMany(values_by_key))).is_ok()
        assert core.calls_by_kind['PutMany'] == 3
        assert client.calls_by_kind['PutMany'] == 3
        listed = (await client.call(store.ListKeys('k/'))).unwrap()
        assert len(listed.entries) == 300

    _run(scenario)


def test_failed_call_moves_client_to_next_address():
    async def scenario(client, core):
        standin = server.StoreServer.from_clock()
        live = await standin.listen(ANY_PORT)
        closed = server.StoreServer.from_clock()
        dead = await closed.listen(ANY_PORT)
        await closed.stop()
        client = _client(dead, live)
        first = await client.call(store.GetKey('a'))
        assert first.unwrap_err().kind is UNAVAILABLE
        assert first.unwrap_err().ran is exceptions.Ran.NO
        assert (await client.call(store.GetKey('a'))).is_ok()
        await client.close()
        await standin.stop()

    _run(scenario)


def test_malformed_response_is_unavailable():
    async def scenario():
        async def answer(request):
            return http_types.HttpResponse(200, body=b'{"kvs": [{}]}')

        http = http_server.HttpServer.from_handler(answer)
        client = _client(await http.listen(ANY_PORT))
        for request in (store.GetKey('a'), store.GrantLease(1_000)):
            result = await client.call(request)
            assert result.unwrap_err().kind is UNAVAILABLE
        await client.close()
        http.stop_accepting()

    asyncio.run(scenario())


CREATED = b'{"result": {"header": {"revision": "4"}, "created": true}}\n'
CHANGED = (
    b'{"result": {"header": {"revision": "5"}, "events":'
    b' [{"kv": {"key": "YQ==", "value": "MQ==", "mod_revision": "5"}}]}}\n'
)
DELETED = (
    b'{"result": {"header": {"revision": "6"}, "events":'
    b' [{"type": "DELETE", "kv": {"key": "YQ==", "mod_revision": "6"}}]}}\n'
)


def _watch_stream(chunks):
    """Watch a server that sends chunks and then keeps the stream open."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        for chunk in chunks:
            writer.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
            await writer.drain()
            await asyncio.sleep(0)
        try:
            await reader.read()
        finally:
            writer.close()

    async def scenario():
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        client = _client(Address(*listener.sockets[0].getsockname()))
        answer = await client.call(store.WatchPrefix('a', 4, 200))
        listener.close()
        return answer.unwrap()

    return asyncio.run(scenario())


def test_watch_returns_first_changes_of_unbounded_stream():
    changed = store.Entries([store.Entry('a', b'1', 5, 0)], 5)
    assert _watch_stream([CREATED, CHANGED]) == changed
    assert _watch_stream([CREATED, CHANGED[:30], CHANGED[30:]]) == changed


def test_watch_of_stream_without_changes_ends_at_timeout():
    assert _watch_stream([CREATED]) == store.Entries([], 4)


def test_watch_returns_deletion_after_change():
    watch = store.WatchPrefix('a', 4, 1_000)
    body = CREATED + CHANGED + DELETED
    answer = etcd_json.decode_reply(watch, body).unwrap()
    assert answer == store.Entries([store.Entry('a', b'', 6, 0)], 6)
