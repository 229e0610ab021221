"""Requests to the platform's key-value store, and its replies.

Each request, including a pending watch, counts as one call towards the
limits of the store. Keys are text; values are bytes, at most
``MAX_VALUE_BYTES`` long. The revision of the store grows with each write;
as the revision of a key, ``0`` means that the key is absent.
"""

import dataclasses
import typing as t

from result import Result

from .exceptions import Error

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value.

    :param revision: revision at which this key was last written.
    :param lease_id: lease to which the key is attached; ``0`` for none.
    """

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GetKey:
    """Reads one key; answered by :class:`Entries` with at most one entry."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListKeys:
    """Reads all keys with a prefix; answered by :class:`Entries`."""

    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutKey:
    """Writes a key if its revision is the expected one.

    Answered by :class:`Written`, or by an error of kind
    ``STORE_CONFLICT``.

    :param expected_revision: ``0`` if the key must be absent.
    :param lease_id: lease to which the key is attached; ``0`` for none.
    """

    key: str
    value: bytes
    expected_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PutMany:
    """Writes several keys in one call, without checking revisions.

    Meant for keys that are absent or that only the caller writes.
    """

    values_by_key: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteKey:
    """Deletes a key if its revision is the expected one."""

    key: str
    expected_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteMany:
    """Deletes several keys in one call, without checking revisions."""

    keys: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Writes and deletes keys in one atomic transaction.

    Answered by :class:`Written`, or by :class:`Conflict` if a key does not
    have the expected revision.

    :param expected_by_key: revision that each key must have; ``0`` if it
        must be absent.
    :param values_by_key: values to write.
    :param deleted_keys: keys to delete.
    :param lease_id: lease to which the written keys are attached; ``0`` for
        none.
    """

    expected_by_key: dict[str, int]
    values_by_key: dict[str, bytes]
    deleted_keys: tuple[str, ...] = ()
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLease:
    """Requests a new lease; answered by :class:`LeaseGranted`.

    :param ttl_ms: time to live without renewal.
    """

    ttl_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Renews a lease; answered by :class:`LeaseGranted`."""

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPrefix:
    """Waits for changes of keys with a prefix.

    Answered by :class:`Entries` with the changed keys, or without any after
    the timeout; a deleted key has an empty value.

    :param after_revision: only later changes are returned.
    """

    prefix: str
    after_revision: int
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Keys that were read or that have changed.

    :param revision: revision of the store at the time of the read.
    """

    entries: list[Entry]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write or deletion took effect at this revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction was rejected: a key had an unexpected revision.

    :param entry_by_key: current entries of the keys with an expected
        revision; absent keys are left out.
    """

    entry_by_key: dict[str, Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease was granted or renewed.

    :param ttl_ms: time to live without renewal; ``0`` if it has expired.
    """

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
    """Interface of store clients."""

    async def call(self, request: StoreRequest) -> Result[StoreReply, Error]:
        """Perform one request.

        After an error of kind ``STORE_UNAVAILABLE``, a write may or may not
        have taken effect.
        """
