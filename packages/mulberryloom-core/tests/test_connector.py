"""Tests of reconnection to peers."""

import asyncio
import random

from mulberryloom_core.connection import connector
from mulberryloom_core.connection import options
from mulberryloom_core.connection import outputs
from mulberryloom_core import identity

#: Time after which the operating system repeats a request to connect.
_REPEAT_MS = 1_000


class StartingPeer:
    """A peer whose VM drops requests to connect until it is up.

    Time passes only in its methods.
    """

    def __init__(self, up_ms):
        self.now_ms = 0
        self._up_ms = up_ms

    async def dial(self, address, timeout_ms):
        requested_ms = self.now_ms
        while requested_ms < self._up_ms:
            requested_ms += _REPEAT_MS
        if requested_ms - self.now_ms > timeout_ms:
            self.now_ms += timeout_ms
            return None
        self.now_ms = requested_ms
        return outputs.PeerName(identity.Role.ENTRY, 'vm')

    async def sleep(self, duration_ms):
        self.now_ms += duration_ms

    async def wait_disconnected(self, name):
        raise asyncio.CancelledError

    def has_session_or_messages(self, name):
        return False


async def _connect(peer):
    backoff = connector.Backoff(options.LEASE_OPTIONS, random.Random(1))
    address = identity.Address('127.0.0.1', 1)
    try:
        await connector.Connector(address, peer, backoff).run()
    except asyncio.CancelledError:
        return peer.now_ms


# Guards against agents that reach the entries a second late after all VMs have
# lost power, since their first requests to connect were lost.
def test_connector_reaches_a_peer_soon_after_its_vm_is_up():
    for up_ms in (1, 100, 300):
        connected_ms = asyncio.run(_connect(StartingPeer(up_ms)))
        assert connected_ms <= up_ms + 500
