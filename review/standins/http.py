"""Minimal HTTP/1.1 server and client for the stand-ins, on asyncio only."""

import asyncio
import json


async def _read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    return first, headers, body


class Server:
    """Serves ``handler(method, target, headers, body)``.

    The handler returns a status and a JSON document, or ``None`` to close
    the connection without a response.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self):
        """Stop to listen, and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_head(reader)
                method, target, _ = first.split(' ', 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} -\r\ncontent-type: application/json'
                    f'\r\ncontent-length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address,
    method,
    target,
    document=None,
    headers=(),
    timeout=3,
    source=None,
):
    """Send one request over a new connection.

    :param source: address from which the connection comes.
    :return: status and document; status ``0`` without a complete response.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                *address, local_addr=(source, 0) if source else None
            )
            body = b'' if document is None else json.dumps(document).encode()
            lines = [
                f'{method} {target} HTTP/1.1',
                f'content-length: {len(body)}',
                'content-type: application/json',
                'connection: close',
                *(f'{name}: {value}' for name, value in headers),
            ]
            if not any(name == 'host' for name, _ in headers):
                lines.append(f'host: {address[0]}:{address[1]}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            first, _, data = await _read_head(reader)
            status = int(first.split(' ')[1])
            try:
                return status, json.loads(data) if data else {}
            except ValueError:
                return status, {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
