"""Keys, revisions and leases of the store stand-in."""

import dataclasses

from mulberryloom_core import store


@dataclasses.dataclass(slots=True)
class _Lease:
    """A lease and the keys that are deleted when it lapses."""

    ttl_ms: int
    expires_at_ms: int
    keys: set[str] = dataclasses.field(default_factory=set)


class KeyValueState:
    """Contents of the store, without faults.

    Deleted keys stay as entries with an empty value, so that watches report
    the deletion; reads leave them out.

    :ivar revision: revision of the last write.
    """

    __slots__ = (
        'revision',
        '_entry_by_key',
        '_previous_by_key',
        '_lease_by_id',
        '_last_lease_id',
    )

    def __init__(self) -> None:
        self.revision = 1
        self._entry_by_key: dict[str, store.Entry] = {}
        self._previous_by_key: dict[str, store.Entry | None] = {}
        self._lease_by_id: dict[int, _Lease] = {}
        self._last_lease_id = 0

    def get(self, key: str) -> store.Entry | None:
        """Return the entry of a key, or ``None`` when it is absent."""
        entry = self._entry_by_key.get(key)
        return entry if _is_present(entry) else None

    def list_prefix(self, prefix: str) -> list[store.Entry]:
        """Return the entries that exist under a prefix, sorted by key."""
        return [
            entry
            for key, entry in sorted(self._entry_by_key.items())
            if key.startswith(prefix) and _is_present(entry)
        ]

    def list_previous(self, prefix: str) -> list[store.Entry]:
        """Return the entries from before each key's last write."""
        previous_entries = [
            self._previous_by_key.get(key)
            for key in sorted(self._entry_by_key)
            if key.startswith(prefix)
        ]
        return [entry for entry in previous_entries if _is_present(entry)]

    def list_changes(self, prefix: str, after: int) -> list[store.Entry]:
        """Return entries that changed after a revision, oldest first.

        Only the last change of each key is listed.
        """
        changes = [
            entry
            for key, entry in self._entry_by_key.items()
            if key.startswith(prefix) and entry.revision > after
        ]
        return sorted(changes, key=lambda entry: entry.revision)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key; ``0`` when it is absent."""
        entry = self.get(key)
        return 0 if entry is None else entry.revision

    def put(self, values_by_key: dict[str, bytes], lease_id: int = 0) -> int:
        """Write keys in one revision, and return the revision."""
        self.revision += 1
        for key, value in values_by_key.items():
            self._write_entry(key, value, lease_id)
        return self.revision

    def delete(self, keys: list[str]) -> int:
        """Delete the keys that exist, and return the revision.

        All deletions have the same new revision. Nothing changes if no key
        exists.
        """
        present_keys = [key for key in keys if self.get(key) is not None]
        if present_keys:
            self.revision += 1
        for key in present_keys:
            self._write_entry(key, b'', 0)
        return self.revision

    def has_lease(self, lease_id: int) -> bool:
        """Return whether a lease exists and has not lapsed."""
        return lease_id in self._lease_by_id

    def grant(self, ttl_ms: int, now_ms: int) -> int:
        """Grant a lease and return its id."""
        self._last_lease_id += 1
        self._lease_by_id[self._last_lease_id] = _Lease(
            ttl_ms, now_ms + ttl_ms
        )
        return self._last_lease_id

    def renew(self, lease_id: int, now_ms: int) -> int:
        """Renew a lease.

        :return: its duration in milliseconds; ``0`` if it has lapsed.
        """
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_ms = now_ms + lease.ttl_ms
        return lease.ttl_ms

    def revoke(self, lease_id: int) -> None:
        """End a lease immediately, and delete its keys."""
        lease = self._lease_by_id.pop(lease_id, None)
        if lease is not None:
            self.delete(sorted(lease.keys))

    def expire(self, now_ms: int) -> None:
        """Delete the keys of leases that have lapsed."""
        lapsed_ids = [
            lease_id
            for lease_id, lease in self._lease_by_id.items()
            if lease.expires_at_ms <= now_ms
        ]
        for lease_id in lapsed_ids:
            self.revoke(lease_id)

    def _write_entry(self, key: str, value: bytes, lease_id: int) -> None:
        previous = self._entry_by_key.get(key)
        self._previous_by_key[key] = previous
        if previous is not None and previous.lease_id in self._lease_by_id:
            self._lease_by_id[previous.lease_id].keys.discard(key)
        if lease_id:
            self._lease_by_id[lease_id].keys.add(key)
        self._entry_by_key[key] = store.Entry(
            key, value, self.revision, lease_id
        )


def _is_present(entry: store.Entry | None) -> bool:
    return entry is not None and entry.value != b''
