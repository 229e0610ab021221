"""Runs a stand-in as a process of its own."""

import asyncio
import signal
import sys
import typing as t

from mulberryloom_core.identity import Address

LOOPBACK = '127.0.0.1'


class Server(t.Protocol):
    """Interface of a stand-in that runs as a process."""

    async def listen(self, address: Address) -> Address:
        """Start serving; return the bound address."""

    async def stop(self) -> None:
        """Wait for open requests to end, and stop."""


def run_until_signal(server: Server, port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT.

    The bound address is written to standard output as the first line.

    :param port: ``0`` takes any free port.
    """
    asyncio.run(_serve(server, port))


async def _serve(server: Server, port: int) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    address = await server.listen(Address(LOOPBACK, port))
    sys.stdout.write(f'{address}\n')
    sys.stdout.flush()
    await stop_requested.wait()
    await server.stop()
