"""Tests of the HTTP server and client against each other."""

import asyncio

import hypothesis
from hypothesis import strategies
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core import identity

LOOPBACK = identity.Address('127.0.0.1', 0)
LIMITS = http_types.HttpLimits(
    max_head_bytes=2_048,
    max_body_bytes=1_000,
    receive_timeout_ms=200,
    idle_timeout_ms=300,
    max_connections=3,
)


async def _echo(request):
    return http_types.HttpResponse(200, 'text/plain', request.body)


async def _exchange(address, sent):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(sent)
    answer = await asyncio.wait_for(reader.read(), timeout=5)
    writer.close()
    return answer


async def _status_of(sent):
    server = http_server.HttpServer.from_handler(_echo, LIMITS)
    address = await server.listen(LOOPBACK)
    answer = await _exchange(address, sent)
    await server.drain()
    return answer.split(b' ', 2)[1] if answer else b''


def test_client_reuses_connection():
    async def run():
        server = http_server.HttpServer.from_handler(_echo)
        address = await server.listen(LOOPBACK)
        client = http_client.HttpClient.from_limits()
        matches = []
        for index in range(3):
            request = http_types.HttpRequest(
                'POST', '/', body=b'%d' % index * 100_000
            )
            result = await client.call(address, request, 5_000)
            matches.append(result.ok_value.body == request.body)
        connections = server.open_connections
        await client.close()
        await server.drain()
        return matches, connections

    assert asyncio.run(run()) == ([True] * 3, 1)


def test_server_answers_each_bad_request_with_its_status():
    head = b'POST / HTTP/1.1\r\nhost: a\r\n'
    cases = {
        b'nonsense\r\n\r\n': b'400',
        head + b'x: ' + b'y' * 4_000 + b'\r\n\r\n': b'431',
        head + b'content-length: 2000\r\n\r\n' + b'z' * 2_000: b'413',
        head + b'content-length: 10\r\n\r\nabc': b'408',
    }
    for sent, status in cases.items():
        assert asyncio.run(_status_of(sent)) == status


def test_server_refuses_connections_over_limit():
    async def run():
        server = http_server.HttpServer.from_handler(_echo, LIMITS)
        address = await server.listen(LOOPBACK)
        held = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(LIMITS.max_connections)
        ]
        answer = await _exchange(address, b'')
        for _, writer in held:
            writer.close()
        await server.drain()
        return answer

    assert b' 429 ' in asyncio.run(run())


def test_call_to_unreachable_address_reports_not_run():
    async def run():
        server = http_server.HttpServer.from_handler(_echo)
        address = await server.listen(LOOPBACK)
        await server.drain()
        client = http_client.HttpClient.from_limits()
        request = http_types.HttpRequest('GET', '/')
        return await client.call(address, request, 1_000)

    error = asyncio.run(run()).err_value
    assert error.kind is exceptions.ErrorKind.BACKEND_UNREACHABLE
    assert error.ran is exceptions.Ran.NO


def test_drain_waits_for_open_request():
    async def run():
        started = asyncio.Event()
        release = asyncio.Event()

        async def slow(request):
            started.set()
            await release.wait()
            return http_types.HttpResponse(200, 'text/plain', b'whole')

        server = http_server.HttpServer.from_handler(slow)
        address = await server.listen(LOOPBACK)
        client = http_client.HttpClient.from_limits()
        request = http_types.HttpRequest('GET', '/')
        call = asyncio.create_task(client.call(address, request, 5_000))
        await started.wait()
        draining = asyncio.create_task(server.drain())
        await asyncio.sleep(0)
        release.set()
        result = await call
        await draining
        return result.ok_value.body

    assert asyncio.run(run()) == b'whole'


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_leave_the_server_alive(noise):
    async def run():
        server = http_server.HttpServer.from_handler(_echo, LIMITS)
        address = await server.listen(LOOPBACK)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(noise)
        writer.write_eof()
        await asyncio.wait_for(reader.read(), timeout=5)
        writer.close()
        good = b'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
        answer = await _exchange(address, good)
        await server.drain()
        return answer

    assert asyncio.run(run()).startswith(b'HTTP/1.1 200')


async def _call_slow_server(parts, pause_s, timeout_ms, **options):
    """Call a server that sends its response byte by byte with pauses."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {parts}\r\n\r\n'
        writer.write(head.encode())
        try:
            for _ in range(parts):
                await asyncio.sleep(pause_s)
                writer.write(b'x')
        finally:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    client = http_client.HttpClient.from_limits()
    started_s = asyncio.get_running_loop().time()
    answer = await client.call(
        identity.Address(host, port),
        http_types.HttpRequest('GET', '/'),
        timeout_ms,
        **options,
    )
    elapsed_s = asyncio.get_running_loop().time() - started_s
    server.close()
    return answer, elapsed_s


def test_extended_timeout_allows_slow_response():
    answer, _ = asyncio.run(
        _call_slow_server(6, 0.1, 200, is_timeout_extendable=True)
    )
    assert answer.unwrap().body == b'xxxxxx'
    answer, _ = asyncio.run(_call_slow_server(6, 0.1, 200))
    assert answer.is_err()


def test_extended_timeout_ends_call_to_stalled_server():
    answer, elapsed_s = asyncio.run(
        _call_slow_server(2, 1.0, 200, is_timeout_extendable=True)
    )
    assert answer.is_err()
    assert elapsed_s < 0.6


def test_extended_timeout_bounds_total_time():
    answer, elapsed_s = asyncio.run(
        _call_slow_server(500, 0.02, 100, is_timeout_extendable=True)
    )
    assert answer.is_err()
    assert elapsed_s < 1.2
