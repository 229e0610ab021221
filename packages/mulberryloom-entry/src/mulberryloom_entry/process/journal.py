"""Durable journal of asynchronous requests, and their stored results.

An asynchronous request, also called journaled, is accepted once its journal
record is stored; its caller fetches the outcome later.

Writes go to the store in batches, at most one per ``COMMIT_INTERVAL_MS``,
so that the rate of writes does not grow with the load. The result of a
request is written before its journal record is deleted, so that the store
always holds at least one of the two.
"""

import dataclasses
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import store
from result import Err
from result import Ok
from result import Result
import structlog

from . import records

if t.TYPE_CHECKING:
    from ..request.lifecycle import Request
    from .outbox import Outbox
    from .outbox import StoreResult

COMMIT_INTERVAL_MS = 50
MAX_BATCH_BYTES = 900_000
#: Largest body of an asynchronous request or of a stored result.
MAX_BODY_BYTES = 600_000
#: Time after which a failed write of a journal record is given up.
ACCEPT_TIMEOUT_MS = 5_000
#: Pause before a failed batch is written again.
RETRY_INTERVAL_MS = 500
#: Time for which a result is kept in the store.
RESULT_RETENTION_MS = 3_600_000
#: Interval of the deletion of expired results and of journal records.
EXPIRY_INTERVAL_MS = 10_000
MAX_BATCH_KEYS = 100

_log = structlog.get_logger(__name__)

_Kind = exceptions.ErrorKind
_Ran = exceptions.Ran

OnDone: t.TypeAlias = t.Callable[[Result[None, exceptions.Error], int], None]
OnLoaded: t.TypeAlias = t.Callable[
    [list[records.JournalRecord], set[str], int], None
]
OnFetched: t.TypeAlias = t.Callable[
    [Result[records.ResultRecord | None, exceptions.Error], int], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingWrite:
    """A key and value waiting to be written.

    :param on_done: called with ``Ok`` once the value is written, or with
        an error when the write is given up.
    :param give_up_at_ms: time after which a failed write is not retried;
        ``None`` to retry without limit.
    """

    key: str
    value: bytes
    on_done: OnDone
    give_up_at_ms: int | None


class Journal:
    """Writes and reads the journal records and results of one entry."""

    __slots__ = (
        '_deletions',
        '_expires_ms_by_key',
        '_is_writing',
        '_next_commit_ms',
        '_next_expiry_ms',
        '_outbox',
        '_writes',
    )

    def __init__(self, outbox: 'Outbox') -> None:
        self._outbox = outbox
        self._writes: list[_PendingWrite] = []
        self._deletions: list[str] = []
        self._expires_ms_by_key: dict[str, int] = {}
        self._is_writing = False
        self._next_commit_ms = 0
        self._next_expiry_ms = 0

    @property
    def is_idle(self) -> bool:
        """Whether no write is waiting or in progress."""
        return not self._writes and not self._is_writing

    def append(
        self,
        request: 'Request',
        wall_ms: int,
        on_done: OnDone,
        now: int,
    ) -> None:
        """Write a request to the journal.

        :param wall_ms: time of acceptance, in milliseconds since the Unix
            epoch.
        :param on_done: called with the result. An error with ``ran: no``
            means that the request was not written; with ``ran: unknown``
            it may have been.
        """
        if _refuse_if_too_large(request, on_done, now):
            return
        if self._outbox.is_store_down(now):
            on_done(Err(_store_unavailable(_Ran.NO)), now)
            return
        key = records.journal_key(request.work.account, request.request_id)
        record = records.JournalRecord(
            request.work, request.fingerprint, wall_ms
        )
        give_up_at_ms = now + ACCEPT_TIMEOUT_MS
        self._writes.append(
            _PendingWrite(key, record.encode(), on_done, give_up_at_ms)
        )
        self._commit(now)

    def append_if_absent(
        self,
        request: 'Request',
        wall_ms: int,
        on_done: OnDone,
        now: int,
    ) -> None:
        """Write a request unless its journal record exists already.

        A caller that retries with the same idempotency key, also at
        another entry, gets the same answer as for its first request. A key
        that was used for a different request yields an error of kind
        ``IDEMPOTENCY_KEY_REUSED``.

        :param wall_ms: time of acceptance, in milliseconds since the Unix
            epoch.
        :param on_done: called with the result, as for :meth:`append`.
        """
        if _refuse_if_too_large(request, on_done, now):
            return
        key = records.journal_key(request.work.account, request.request_id)
        record = records.JournalRecord(
            request.work, request.fingerprint, wall_ms
        )

        def on_result(
            fetched: Result[records.ResultRecord | None, exceptions.Error],
            now: int,
        ) -> None:
            if isinstance(fetched, Err):
                on_done(Err(_store_unavailable(_Ran.UNKNOWN)), now)
            elif fetched.ok_value is not None:
                is_same_request = (
                    fetched.ok_value.fingerprint == request.fingerprint
                )
                on_done(_ok_or_key_reused(is_same_request), now)
            else:
                put = store.PutKey(key, record.encode(), 0)
                self._outbox.call_store(put, on_put)

        def on_put(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Ok):
                on_done(Ok(None), now)
            else:
                self._outbox.call_store(store.GetKey(key), on_read)

        def on_read(result: 'StoreResult', now: int) -> None:
            found = _first_value(result)
            if found is None:
                on_done(Err(_store_unavailable(_Ran.UNKNOWN)), now)
                return
            existing = records.JournalRecord.decode(found)
            is_same_request = existing.fingerprint == request.fingerprint
            on_done(_ok_or_key_reused(is_same_request), now)

        self.fetch_result(request.work.account, request.request_id, on_result)

    def record_result(
        self,
        request: 'Request',
        wall_ms: int,
        now: int,
    ) -> None:
        """Store the outcome of a request that has ended.

        The write is retried until it succeeds; only then is the journal
        record of the request deleted.

        :param wall_ms: time of the end, in milliseconds since the Unix
            epoch.
        """
        assert request.outcome is not None
        account = request.work.account
        record = records.ResultRecord(
            _bounded_outcome(request), request.fingerprint, wall_ms
        )
        key = records.result_key(account, request.request_id)

        def on_done(_result: Result[None, exceptions.Error], now: int) -> None:
            request.is_result_stored = True
            self._expires_ms_by_key[key] = now + RESULT_RETENTION_MS
            if request.is_journaled:
                self.delete_record(account, request.request_id)

        self._writes.append(_PendingWrite(key, record.encode(), on_done, None))
        self._commit(now)

    def delete_record(self, account: str, request_id: str) -> None:
        """Schedule the deletion of a request's journal record.

        The result of the request must be in the store already.
        """
        self._deletions.append(records.journal_key(account, request_id))

    def fetch_result(
        self, account: str, request_id: str, on_done: OnFetched
    ) -> None:
        """Read the stored result of a request.

        :param on_done: called with the record, ``None`` if there is none,
            or an error when the store is unavailable.
        """

        def on_read(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                on_done(Err(result.err_value), now)
                return
            value = _first_value(result)
            if value is None:
                on_done(Ok(None), now)
                return
            on_done(Ok(records.ResultRecord.decode(value)), now)

        key = records.result_key(account, request_id)
        self._outbox.call_store(store.GetKey(key), on_read)

    def check_journaled(
        self, account: str, request_id: str, on_done: OnDone
    ) -> None:
        """Check whether a request is in the journal.

        :param on_done: called with ``Ok`` if it is, with an error of kind
            ``UNKNOWN_REQUEST`` if it is not, or with the store's error.
        """

        def on_read(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                on_done(Err(result.err_value), now)
            elif _first_value(result) is None:
                unknown = exceptions.Error.from_kind(_Kind.UNKNOWN_REQUEST)
                on_done(Err(unknown), now)
            else:
                on_done(Ok(None), now)

        key = records.journal_key(account, request_id)
        self._outbox.call_store(store.GetKey(key), on_read)

    def load(
        self,
        account: str,
        wall_ms: int,
        on_done: OnLoaded,
        on_failed: t.Callable[[int], None],
    ) -> None:
        """Read the journal records and results of an account.

        :param wall_ms: current time, in milliseconds since the Unix epoch.
        :param on_done: called with the journal records, the ids of the
            requests that have a result, and the time in milliseconds.
        :param on_failed: called with the time when the store is
            unavailable.
        """
        prefix = f'{records.JOURNAL_PREFIX}{account}/'
        results_prefix = f'{records.RESULTS_PREFIX}{account}/'
        found: list[records.JournalRecord] = []

        def on_journal(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                on_failed(now)
                return
            assert isinstance(result.ok_value, store.Entries)
            for entry in result.ok_value.entries:
                try:
                    found.append(records.JournalRecord.decode(entry.value))
                except ValueError as error:
                    _log_skipped(entry, error)
            # Results are read after the journal, so that a request that
            # ends between the two reads is among them.
            listing = store.ListKeys(results_prefix)
            self._outbox.call_store(listing, on_results)

        def on_results(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                on_failed(now)
                return
            assert isinstance(result.ok_value, store.Entries)
            finished_ids = set()
            for entry in result.ok_value.entries:
                finished_ids.add(entry.key.removeprefix(results_prefix))
                try:
                    record = records.ResultRecord.decode(entry.value)
                except ValueError as error:
                    _log_skipped(entry, error)
                    continue
                age_ms = max(0, wall_ms - record.ended_wall_ms)
                expires_ms = now + max(0, RESULT_RETENTION_MS - age_ms)
                self._expires_ms_by_key.setdefault(entry.key, expires_ms)
            on_done(found, finished_ids, now)

        self._outbox.call_store(store.ListKeys(prefix), on_journal)

    def on_tick(self, now: int) -> None:
        """Write pending values and delete expired results."""
        self._commit(now)
        if now >= self._next_expiry_ms:
            self._next_expiry_ms = now + EXPIRY_INTERVAL_MS
            self._expire(now)
            self._delete(now)

    def _commit(self, now: int) -> None:
        if self._is_writing or not self._writes or now < self._next_commit_ms:
            return
        batch = self._take_batch()
        self._is_writing = True
        self._next_commit_ms = now + COMMIT_INTERVAL_MS
        values_by_key = {write.key: write.value for write in batch}

        def on_done(result: 'StoreResult', now: int) -> None:
            self._is_writing = False
            if isinstance(result, Ok):
                for write in batch:
                    write.on_done(Ok(None), now)
            else:
                self._next_commit_ms = now + RETRY_INTERVAL_MS
                self._retry(batch, now)

        self._outbox.call_store(store.PutMany(values_by_key), on_done)

    def _take_batch(self) -> list[_PendingWrite]:
        size = 0
        count = 0
        for write in self._writes:
            size += len(write.key) + len(write.value)
            is_full = size > MAX_BATCH_BYTES or count >= MAX_BATCH_KEYS
            if count and is_full:
                break
            count += 1
        batch = self._writes[:count]
        del self._writes[:count]
        return batch

    def _retry(self, batch: list[_PendingWrite], now: int) -> None:
        kept = []
        for write in batch:
            if write.give_up_at_ms is not None and now >= write.give_up_at_ms:
                # The failed write may have taken effect.
                self._deletions.append(write.key)
                write.on_done(Err(_store_unavailable(_Ran.UNKNOWN)), now)
            else:
                kept.append(write)
        self._writes = kept + self._writes

    def _expire(self, now: int) -> None:
        expired = [
            key
            for key, expires_ms in self._expires_ms_by_key.items()
            if expires_ms <= now
        ]
        for key in expired:
            del self._expires_ms_by_key[key]
        self._deletions.extend(expired)

    def _delete(self, now: int) -> None:
        if not self._deletions or self._outbox.is_store_down(now):
            return
        keys = self._deletions[:MAX_BATCH_KEYS]
        del self._deletions[:MAX_BATCH_KEYS]

        def on_done(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                self._deletions.extend(keys)
            elif self._deletions:
                self._delete(now)

        self._outbox.call_store(store.DeleteMany(keys), on_done)


def _refuse_if_too_large(
    request: 'Request', on_done: OnDone, now: int
) -> bool:
    if len(request.work.body) <= MAX_BODY_BYTES:
        return False
    detail = (
        f'asynchronous request body has {len(request.work.body)} bytes,'
        f' limit is {MAX_BODY_BYTES} bytes'
    )
    on_done(Err(exceptions.Error.from_kind(_Kind.BODY_TOO_LARGE, detail)), now)
    return True


def _store_unavailable(ran: exceptions.Ran) -> exceptions.Error:
    return exceptions.Error.from_kind(
        _Kind.STORE_UNAVAILABLE, ran=ran, retry_after_ms=1_000
    )


def _ok_or_key_reused(is_same: bool) -> Result[None, exceptions.Error]:
    if is_same:
        return Ok(None)
    kind = _Kind.IDEMPOTENCY_KEY_REUSED
    return Err(exceptions.Error.from_kind(kind))


def _log_skipped(entry: store.Entry, error: ValueError) -> None:
    _log.warning('record skipped', key=entry.key, reason=str(error))


def _first_value(result: 'StoreResult') -> bytes | None:
    if isinstance(result, Err):
        return None
    assert isinstance(result.ok_value, store.Entries)
    entries = result.ok_value.entries
    return entries[0].value if entries else None


def _bounded_outcome(request: 'Request') -> t.Any:
    outcome = request.outcome
    assert outcome is not None
    if len(outcome.body) <= MAX_BODY_BYTES:
        return outcome
    detail = (
        f'response body has {len(outcome.body)} bytes, limit for stored'
        f' results is {MAX_BODY_BYTES} bytes; body was not stored'
    )
    error = exceptions.Error.from_kind(
        _Kind.BODY_TOO_LARGE, detail, ran=_Ran.YES
    )
    status = exceptions.RESPONSE_BY_KIND[_Kind.BODY_TOO_LARGE].status
    return dataclasses.replace(outcome, error=error, body=b'', status=status)
