"""Registration of an entry for jobs in the store, and discovery of others.

It is separate from the registration for requests in ``process.registry``.
"""

import asyncio
import typing as t

from mulberryloom_core import identity
from mulberryloom_core import store
import structlog

from . import gateway
from . import keys

#: Lease of a registration, and the interval of its renewal.
REGISTRATION_TTL_MS = 15_000
RENEWAL_INTERVAL_MS = 5_000
#: Pause before a failed registration is retried.
REGISTRATION_RETRY_MS = 350
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class Registration:
    """Keeps an entry registered under a lease.

    :param name: peer name of the entry.
    :param address: address for connections from peers.
    :param on_address: called with the address of each registered entry.
    """

    def __init__(
        self,
        job_store: gateway.StoreGateway,
        name: str,
        address: identity.Address,
        on_address: t.Callable[[identity.Address], None],
    ) -> None:
        self._store = job_store
        self._name = name
        self._address = address
        self._on_address = on_address

    async def run(self) -> None:
        """Register, renew the lease, and register again if it is lost."""
        lease_id = 0
        while True:
            if not lease_id:
                lease_id = await self._register()
                await self._discover_entries()
            elif not await self._renew(lease_id):
                lease_id = 0
                continue
            pause_ms = (
                RENEWAL_INTERVAL_MS if lease_id else REGISTRATION_RETRY_MS
            )
            await asyncio.sleep(pause_ms / _MS_PER_S)

    async def _register(self) -> int:
        """Write the entry's key under a new lease.

        :return: id of the lease, ``0`` on failure.
        """
        granted = await self._store.call_direct(
            store.GrantLease(REGISTRATION_TTL_MS)
        )
        if granted.is_err():
            return 0
        lease_id = granted.unwrap().lease_id
        key = f'{keys.ENTRIES}{self._name}'
        value = str(self._address).encode()
        written = await self._store.call_direct(
            store.Transact({}, {key: value}, (), lease_id)
        )
        return lease_id if written.is_ok() else 0

    async def _renew(self, lease_id: int) -> bool:
        """Renew the lease; return whether it may still exist."""
        renewed = await self._store.call_direct(store.RenewLease(lease_id))
        return renewed.is_err() or renewed.unwrap().ttl_ms > 0

    async def _discover_entries(self) -> None:
        found = await self._store.call(store.ListKeys(keys.ENTRIES))
        if found.is_err():
            return
        for address in read_addresses(found.unwrap().entries):
            self._on_address(address)


def read_addresses(
    entries: t.Iterable[store.Entry],
) -> t.Iterator[identity.Address]:
    """Yield the addresses of registrations, skipping unreadable ones."""
    return identity.read_addresses(
        (entry.key, entry.value.decode('utf-8', 'replace'))
        for entry in entries
    )
