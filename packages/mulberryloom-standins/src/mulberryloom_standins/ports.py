"""Free loopback ports for processes whose settings need a fixed port."""

import random
import socket

from mulberryloom_core.identity import Address

from . import serving

# Below the ephemeral range, from which the kernel assigns the ports of
# outgoing connections.
_FIRST_PORT = 20_000
_LAST_PORT = 32_000


class PortPool:
    """Hands out free loopback addresses, each at most once.

    The ports are drawn in random order.
    """

    __slots__ = ('_candidates',)

    def __init__(self) -> None:
        self._candidates = list(range(_FIRST_PORT, _LAST_PORT))
        random.SystemRandom().shuffle(self._candidates)

    def take(self) -> Address:
        """Return an address on which no process listens."""
        while True:
            address = Address(serving.LOOPBACK, self._candidates.pop())
            if _is_free(address):
                return address


def _is_free(address: Address) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
    return True
