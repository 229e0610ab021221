"""Peer addresses of the known entries, announced when they change.

The whole list in each notice would make the traffic of an entry grow with
the square of the number of entries.
"""

import typing as t

from mulberryloom_core import identity

#: Interval after which an unchanged list is announced again, for a peer that
#: has missed a change.
FULL_ANNOUNCEMENT_INTERVAL_MS = 10_000


class EntryAddresses:
    """The addresses that one entry knows, in the order of their discovery.

    :param addresses: addresses that are known from the start.
    """

    __slots__ = ('_announced_count', '_announced_ms', '_text_by_address')

    def __init__(self, addresses: t.Iterable[identity.Address]) -> None:
        self._text_by_address = {
            address: str(address) for address in addresses
        }
        self._announced_count = 0
        self._announced_ms = 0

    def __iter__(self) -> t.Iterator[identity.Address]:
        return iter(self._text_by_address)

    def add(self, address: identity.Address) -> bool:
        """Add an address; return whether it was unknown."""
        if address in self._text_by_address:
            return False
        self._text_by_address[address] = str(address)
        return True

    def texts(self) -> list[str]:
        """Return all addresses as text, for a peer that knows none."""
        return list(self._text_by_address.values())

    def take_due_texts(self, now_ms: int) -> list[str]:
        """Return the addresses for the next notice to all peers.

        :return: all addresses, if one is new or the last announcement is
            old; otherwise none.
        """
        age_ms = now_ms - self._announced_ms
        is_changed = self._announced_count != len(self._text_by_address)
        if not is_changed and age_ms < FULL_ANNOUNCEMENT_INTERVAL_MS:
            return []
        self._announced_count = len(self._text_by_address)
        self._announced_ms = now_ms
        return self.texts()
