"""Reconnection of a session to the peer at one address."""

import random
import typing as t

from ..identity import Address
from . import options as options_
from . import outputs


#: Attempts to connect that have the shortest timeout.
_SHORT_ATTEMPTS = 3


class Backoff:
    """Exponential retry backoff with jitter.

    Each pause is drawn at random from half the shortest pause up to a
    limit that doubles with every attempt, up to the longest pause.

    :param options: ``reconnect_min_ms``, ``reconnect_max_ms`` and the timeouts
        of connecting are used.
    :param random_source: source of the jitter.
    """

    __slots__ = ('_attempts', '_options', '_random')

    def __init__(
        self, options: options_.SessionOptions, random_source: random.Random
    ) -> None:
        self._options = options
        self._random = random_source
        self._attempts = 0

    def reset(self) -> None:
        """Start again from the shortest pause, after a success."""
        self._attempts = 0

    @property
    def connect_timeout_ms(self) -> int:
        """Timeout of the next connection attempt.

        It doubles with every attempt after the first ones. These are short,
        since a request to connect that is lost is repeated by the operating
        system only after a second: a peer whose VM is starting would be
        reached late.
        """
        shortest = self._options.connect_timeout_ms
        longest = self._options.handshake_timeout_ms
        doublings = max(0, self._attempts + 1 - _SHORT_ATTEMPTS)
        return min(longest, shortest << min(doublings, 16))

    def next_ms(self) -> int:
        """Return the next pause in milliseconds."""
        shortest = self._options.reconnect_min_ms
        longest = self._options.reconnect_max_ms
        # The bound of the shift keeps the number small before ``min``.
        limit = min(longest, shortest << min(self._attempts, 16))
        self._attempts += 1
        return self._random.randint(min(shortest, limit) // 2, limit)


class Dialler(t.Protocol):
    """Interface of the node that a connector uses."""

    async def dial(
        self, address: Address, timeout_ms: int
    ) -> outputs.PeerName | None:
        """Make one connection attempt.

        :param timeout_ms: timeout of connecting, without the handshake.
        :return: the peer, once the handshake is complete; ``None`` when the
            attempt failed.
        """

    async def wait_disconnected(self, name: outputs.PeerName) -> None:
        """Return once a peer's session has no connection."""

    async def sleep(self, duration_ms: int) -> None:
        """Return after a duration in milliseconds."""

    def has_session_or_messages(self, name: outputs.PeerName) -> bool:
        """Tell whether the peer has a session or queued messages."""


class Connector:
    """Connects to one address, and reconnects after every loss.

    :param address: where to connect to.
    :param dialler: the node.
    :param backoff: pauses between connection attempts.
    :param target_peer: the connector ends once this peer has neither a
        session nor queued messages; ``None`` for a permanent connector,
        which runs until it is cancelled.
    :ivar peer: peer of the last complete handshake.
    """

    __slots__ = ('_address', '_backoff', '_dialler', '_target_peer', 'peer')

    def __init__(
        self,
        address: Address,
        dialler: Dialler,
        backoff: Backoff,
        target_peer: outputs.PeerName | None = None,
    ) -> None:
        self._address = address
        self._dialler = dialler
        self._backoff = backoff
        self._target_peer = target_peer
        self.peer: outputs.PeerName | None = None

    def make_permanent(self) -> None:
        """Run until cancelled, also after the loss of the target peer."""
        self._target_peer = None

    async def run(self) -> None:
        """Connect and reconnect while the connector is needed."""
        while (
            self._target_peer is None
            or self._dialler.has_session_or_messages(self._target_peer)
        ):
            peer = await self._dialler.dial(
                self._address, self._backoff.connect_timeout_ms
            )
            if peer is not None:
                self.peer = peer
                self._backoff.reset()
                await self._dialler.wait_disconnected(peer)
            await self._dialler.sleep(self._backoff.next_ms())
