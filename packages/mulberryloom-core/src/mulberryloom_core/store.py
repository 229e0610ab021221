"""Requests to the platform's key-value store, and its replies.

Each request is one call in the sense of the store's limits; a waiting
watch is one call too. Keys are text, values are bytes of at most
``MAX_VALUE_BYTES``. Revisions grow with each write; revision ``0`` stands
for an absent key.
"""

import dataclasses
import typing as t

from result import Result

from .exceptions import Error

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value.

    :param revision: revision of the last write of this key.
    :param lease_id: lease that the key hangs on; ``0`` for none.
    """

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GetKey:
    """Reads one key; answered by :class:`Entries` of at most one."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListKeys:
    """Reads all keys with a prefix; answered by :class:`Entries`."""

    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutKey:
    """Writes a key if it still has the expected revision.

    Answered by :class:`Written`, or by an error of kind
    ``STORE_CONFLICT``.

    :param expected_revision: ``0`` when the key must be absent.
    """

    key: str
    value: bytes
    expected_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PutMany:
    """Writes several absent or owned keys in one call, without checks."""

    values_by_key: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteKey:
    """Deletes a key if it still has the expected revision."""

    key: str
    expected_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteMany:
    """Deletes several keys in one call, without checks."""

    keys: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Writes and deletes keys, all or nothing.

    Answered by :class:`Written`, or by :class:`Conflict` when a key has
    another revision than expected.

    :param expected_by_key: revision that each key must have; ``0`` when it
        must be absent.
    :param values_by_key: keys to write.
    :param deleted_keys: keys to delete.
    :param lease_id: lease that the written keys hang on; ``0`` for none.
    """

    expected_by_key: dict[str, int]
    values_by_key: dict[str, bytes]
    deleted_keys: tuple[str, ...] = ()
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLease:
    """Asks for a lease; answered by :class:`LeaseGranted`."""

    ttl_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Keeps a lease alive; answered by :class:`LeaseGranted`."""

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPrefix:
    """Waits for changes under a prefix after a revision.

    Answered by :class:`Entries` with the changed keys, empty when the time
    is over; a deleted key has an empty value.
    """

    prefix: str
    after_revision: int
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Keys that were read.

    :param revision: revision of the store at the time of reading.
    """

    entries: list[Entry]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect at this revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written, since a key had an unexpected revision.

    :param entry_by_key: the present keys among those with a condition, as
        they are now.
    """

    entry_by_key: dict[str, Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease that lasts so long without renewal; ``0`` when it lapsed."""

    lease_id: int
    ttl_ms: int


StoreRequest: t.TypeAlias = (
    GetKey
    | ListKeys
    | PutKey
    | PutMany
    | Transact
    | DeleteKey
    | DeleteMany
    | GrantLease
    | RenewLease
    | WatchPrefix
)
StoreReply: t.TypeAlias = Entries | Written | Conflict | LeaseGranted


class Store(t.Protocol):
    """Client of the store."""

    async def call(self, request: StoreRequest) -> Result[StoreReply, Error]:
        """Carry out one request.

        An error of kind ``STORE_UNAVAILABLE`` leaves open whether a write
        took effect.
        """
