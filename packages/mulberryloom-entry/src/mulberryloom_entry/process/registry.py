"""Registration of this entry in the store, and discovery of others.

An entry is registered under a lease, so that its key is removed from the
store when the entry fails and stops renewing the lease. The settings name
only some seed entries; the others are discovered through the registry.
While the store is unavailable, entries keep using those that they know.
The addresses are those for messages about requests; for jobs with steps,
entries have another registration (see ``jobs.registration``).
"""

import typing as t

from mulberryloom_core import identity
from mulberryloom_core import store
from result import Err

if t.TYPE_CHECKING:
    from mulberryloom_core import messages

    from .outbox import Outbox
    from .outbox import StoreResult

ENTRIES_PREFIX = 'entries/'
#: Lease of a registration, and the interval of its renewal.
LEASE_MS = 15_000
RENEW_INTERVAL_MS = 5_000
#: Interval at which the registered entries are listed.
LIST_INTERVAL_MS = 15_000
#: Pause before the registration is retried after a failed store call.
RETRY_INTERVAL_MS = 2_000

OnEntryFound: t.TypeAlias = t.Callable[[str, str], None]


class Registry:
    """Keeps one entry registered and discovers the others.

    :param entry_info: name, incarnation and address of this entry.
    :param on_found: called with the name and the address of each other
        registered entry, after each listing.
    """

    __slots__ = (
        '_entry_info',
        '_is_call_pending',
        '_key',
        '_lease_id',
        '_next_list_ms',
        '_next_renewal_ms',
        '_on_found',
        '_outbox',
    )

    def __init__(
        self,
        entry_info: 'messages.EntryInfo',
        outbox: 'Outbox',
        on_found: OnEntryFound,
    ) -> None:
        self._entry_info = entry_info
        self._outbox = outbox
        self._on_found = on_found
        self._key = ENTRIES_PREFIX + entry_info.name
        self._lease_id = 0
        self._is_call_pending = False
        self._next_renewal_ms = 0
        self._next_list_ms = 0

    def on_tick(self, now: int) -> None:
        """Renew the registration or list the entries when due."""
        if self._is_call_pending:
            return
        if now >= self._next_renewal_ms:
            self._keep_registered()
        elif now >= self._next_list_ms:
            self._next_list_ms = now + LIST_INTERVAL_MS
            self._call(store.ListKeys(ENTRIES_PREFIX), self._on_listed)

    def deregister(self) -> None:
        """Delete the registration of this entry, which is stopping."""
        self._is_call_pending = True
        delete = store.DeleteMany([self._key])
        self._outbox.call_store(delete, lambda _result, _now: None)

    def _call(
        self,
        request: store.StoreRequest,
        on_reply: t.Callable[[t.Any, int], None],
    ) -> None:
        self._is_call_pending = True

        def on_done(result: 'StoreResult', now: int) -> None:
            self._is_call_pending = False
            if isinstance(result, Err):
                self._next_renewal_ms = now + RETRY_INTERVAL_MS
            else:
                on_reply(result.ok_value, now)

        self._outbox.call_store(request, on_done)

    def _keep_registered(self) -> None:
        if self._lease_id:
            renew = store.RenewLease(self._lease_id)
            self._call(renew, self._on_renewed)
        else:
            self._call(store.GrantLease(LEASE_MS), self._on_granted)

    def _on_granted(self, granted: store.LeaseGranted, now: int) -> None:
        self._call(
            store.GetKey(self._key),
            lambda found, now: self._register(granted.lease_id, found),
        )

    def _register(self, lease_id: int, found: store.Entries) -> None:
        """Write the key, replacing that of an earlier incarnation, if any."""
        revision = found.entries[0].revision if found.entries else 0
        put = store.PutKey(
            self._key, self._entry_info.address.encode(), revision, lease_id
        )

        def on_written(_reply: store.Written, now: int) -> None:
            self._lease_id = lease_id
            self._next_renewal_ms = now + RENEW_INTERVAL_MS

        self._call(put, on_written)

    def _on_renewed(self, renewed: store.LeaseGranted, now: int) -> None:
        if renewed.ttl_ms:
            self._next_renewal_ms = now + RENEW_INTERVAL_MS
        else:
            self._lease_id = 0

    def _on_listed(self, listed: store.Entries, _now: int) -> None:
        for entry in listed.entries:
            name = entry.key.removeprefix(ENTRIES_PREFIX)
            if name != self._entry_info.name:
                text = entry.value.decode('utf-8', 'replace')
                for address in identity.read_addresses([(entry.key, text)]):
                    self._on_found(name, str(address))
