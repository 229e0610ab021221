"""An entry's registration in the store, and the others' addresses."""

import asyncio
import typing as t

from mulberryloom_core import identity
from mulberryloom_core import store
import structlog

from . import gateway
from . import keys

#: Life of a registration without renewal, and its renewal.
TTL_MS = 15_000
RENEW_MS = 5_000
#: Pause before a registration that failed is tried again.
RETRY_MS = 350
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class Registration:
    """Keeps an entry registered on a lease.

    :param name: peer name of the entry.
    :param address: where its peers connect.
    :param on_found: told of each registered address.
    """

    def __init__(
        self,
        registry: gateway.StoreGateway,
        name: str,
        address: identity.Address,
        on_found: t.Callable[[identity.Address], None],
    ) -> None:
        self._registry = registry
        self._name = name
        self._address = address
        self._on_found = on_found

    async def run(self) -> None:
        """Register, renew, and register again when the lease is gone."""
        lease_id = 0
        while True:
            if not lease_id:
                lease_id = await self._register()
                await self._find_others()
            elif not await self._renew(lease_id):
                lease_id = 0
                continue
            pause_ms = RENEW_MS if lease_id else RETRY_MS
            await asyncio.sleep(pause_ms / _MS_PER_S)

    async def _register(self) -> int:
        """Write the entry's key; return its lease, ``0`` on failure."""
        granted = await self._registry.call_direct(store.GrantLease(TTL_MS))
        if granted.is_err():
            return 0
        lease_id = granted.unwrap().lease_id
        key = f'{keys.ENTRIES}{self._name}'
        value = str(self._address).encode()
        written = await self._registry.call_direct(
            store.Transact({}, {key: value}, (), lease_id)
        )
        return lease_id if written.is_ok() else 0

    async def _renew(self, lease_id: int) -> bool:
        """Renew the lease; return whether it may still exist."""
        renewed = await self._registry.call_direct(store.RenewLease(lease_id))
        return renewed.is_err() or renewed.unwrap().ttl_ms > 0

    async def _find_others(self) -> None:
        found = await self._registry.call(store.ListKeys(keys.ENTRIES))
        if found.is_err():
            return
        for address in read_addresses(found.unwrap().entries):
            self._on_found(address)


def read_addresses(
    entries: t.Iterable[store.Entry],
) -> t.Iterator[identity.Address]:
    """Yield the addresses of registrations; strange ones are skipped."""
    for entry in entries:
        try:
            yield identity.Address.from_text(entry.value.decode())
        except ValueError as problem:
            _log.warning(
                'entry record skipped', key=entry.key, reason=str(problem)
            )
