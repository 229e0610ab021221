"""Queues of messages for peers without a session."""

import dataclasses

from . import codec
from . import outputs


@dataclasses.dataclass(slots=True)
class _Outbox:
    first_queued_ms: int
    messages: list[codec.Payload]


class Outboxes:
    """Queued messages by peer.

    :param max_messages: most queued messages for one peer.
    :param max_wait_ms: longest time that messages wait for a session.
    """

    __slots__ = ('_max_messages', '_max_wait_ms', '_outbox_by_name')

    def __init__(self, max_messages: int, max_wait_ms: int) -> None:
        self._max_messages = max_messages
        self._max_wait_ms = max_wait_ms
        self._outbox_by_name: dict[outputs.PeerName, _Outbox] = {}

    def __contains__(self, name: outputs.PeerName) -> bool:
        return name in self._outbox_by_name

    def add(
        self, name: outputs.PeerName, message: codec.Payload, now_ms: int
    ) -> bool:
        """Queue a message; return whether the queue had room for it."""
        outbox = self._outbox_by_name.setdefault(name, _Outbox(now_ms, []))
        if len(outbox.messages) >= self._max_messages:
            return False
        outbox.messages.append(message)
        return True

    def take(self, name: outputs.PeerName) -> list[codec.Payload]:
        """Remove and return the messages for a peer, in order."""
        outbox = self._outbox_by_name.pop(name, None)
        return outbox.messages if outbox is not None else []

    def expired(self, now_ms: int) -> list[outputs.PeerName]:
        """Return the peers whose oldest message has waited too long."""
        return [
            name
            for name, outbox in self._outbox_by_name.items()
            if now_ms - outbox.first_queued_ms >= self._max_wait_ms
        ]
