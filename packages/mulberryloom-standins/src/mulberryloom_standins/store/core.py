"""Sans-I/O core of the store stand-in.

:meth:`StoreCore.handle` executes a request immediately. Delays and watches
that wait for a change are simulated by :meth:`StoreCore.submit` and
:meth:`StoreCore.take_due_answers`.
"""

import collections
import dataclasses

from result import Err
from result import Ok
from result import Result

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import store

from . import faults as faults_module
from . import state as state_module


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A submitted request that has not been answered.

    :param effective_at_ms: earliest time at which it takes effect.
    :param expires_at_ms: time at which a watch is answered even if nothing
        has changed.
    """

    call_id: int
    request: store.StoreRequest
    effective_at_ms: int
    expires_at_ms: int


class StoreCore:
    """Key-value store with injected faults and counts of calls.

    :ivar faults: fault switches, which may be changed at any time.
    :ivar calls_by_kind: number of calls by the name of the request type;
        calls during an outage count too.
    """

    __slots__ = ('state', 'faults', 'calls_by_kind', '_pending')

    def __init__(self) -> None:
        self.state = state_module.KeyValueState()
        self.faults = faults_module.Faults()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._pending: list[_Pending] = []

    def handle(
        self, request: store.StoreRequest, now_ms: int
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Execute one request immediately, and count it.

        A watch is answered with the changes so far, possibly none.
        """
        self._count(request)
        return self._apply(request, now_ms)

    def _count(self, request: store.StoreRequest) -> None:
        """Count a call without executing it."""
        self.calls_by_kind[type(request).__name__] += 1

    def handle_uncounted(
        self, request: store.StoreRequest, now_ms: int
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Execute a request that has been counted already."""
        return self._apply(request, now_ms)

    def submit(
        self, call_id: int, request: store.StoreRequest, now_ms: int
    ) -> None:
        """Queue a request; :meth:`take_due_answers` returns its answer later.

        :param call_id: identifies the answer.
        """
        self._count(request)
        effective_at_ms = now_ms + self.faults.delay_ms
        expires_at_ms = effective_at_ms
        if isinstance(request, store.WatchPrefix):
            expires_at_ms = now_ms + request.timeout_ms
        self._pending.append(
            _Pending(call_id, request, effective_at_ms, expires_at_ms)
        )

    def take_due_answers(self, now_ms: int) -> list[effects.StoreDone]:
        """Execute queued requests whose time has come.

        :return: answers that are ready, in order of submission.
        """
        answers = []
        waiting = []
        for pending in self._pending:
            if pending.effective_at_ms > now_ms:
                waiting.append(pending)
                continue
            answer = self._apply(pending.request, now_ms)
            if now_ms < pending.expires_at_ms and is_empty_watch_reply(answer):
                waiting.append(pending)
                continue
            answers.append(effects.StoreDone(pending.call_id, answer))
        self._pending = waiting
        return answers

    def _apply(
        self, request: store.StoreRequest, now_ms: int
    ) -> Result[store.StoreReply, exceptions.Error]:
        if self.faults.outage:
            return _error(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                'store stand-in simulates an outage',
            )
        self.state.expire(now_ms)
        match request:
            case store.GetKey(key):
                return Ok(self._read(key, is_prefix=False))
            case store.ListKeys(prefix):
                return Ok(self._read(prefix, is_prefix=True))
            case store.WatchPrefix(prefix, after, _):
                changes = self.state.list_changes(prefix, after)
                return Ok(store.Entries(changes, self.state.revision))
        answer = self._write(request, now_ms)
        if answer.is_ok() and self.faults.take_lost_answer():
            return _error(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                'store stand-in discarded the answer to a write',
            )
        return answer

    def _read(self, key: str, *, is_prefix: bool) -> store.Entries:
        if self.faults.take_stale_answer():
            entries = self.state.list_previous(key)
            revision = self.state.revision - 1
        else:
            entries = self.state.list_prefix(key)
            revision = self.state.revision
        if not is_prefix:
            entries = [entry for entry in entries if entry.key == key]
        return store.Entries(entries, revision)

    def _write(
        self, request: store.StoreRequest, now_ms: int
    ) -> Result[store.StoreReply, exceptions.Error]:
        match request:
            case store.PutKey(key, value, expected, lease_id):
                return self._put_key(key, value, expected, lease_id)
            case store.PutMany(values_by_key):
                size_check = _check_sizes(values_by_key)
                if size_check.is_err():
                    return size_check
                return Ok(store.Written(self.state.put(values_by_key)))
            case store.Transact():
                return self._transact(request)
            case store.DeleteKey(key, expected):
                if self.state.revision_of(key) != expected:
                    return _conflict(key)
                return Ok(store.Written(self.state.delete([key])))
            case store.DeleteMany(keys):
                return Ok(store.Written(self.state.delete(keys)))
            case store.GrantLease(ttl_ms):
                lease_id = self.state.grant(ttl_ms, now_ms)
                return Ok(store.LeaseGranted(lease_id, ttl_ms))
            case store.RenewLease(lease_id):
                ttl_ms = self.state.renew(lease_id, now_ms)
                return Ok(store.LeaseGranted(lease_id, ttl_ms))
        raise AssertionError(f'unknown request {request!r}')

    def _transact(
        self, request: store.Transact
    ) -> Result[store.StoreReply, exceptions.Error]:
        size_check = _check_sizes(request.values_by_key)
        if size_check.is_err():
            return size_check
        if request.lease_id and not self.state.has_lease(request.lease_id):
            return _error(
                exceptions.ErrorKind.STORE_CONFLICT,
                f'lease {request.lease_id} is unknown or has lapsed',
            )
        expected_by_key = request.expected_by_key
        if any(
            self.state.revision_of(k) != r for k, r in expected_by_key.items()
        ):
            found = [self.state.get(key) for key in expected_by_key]
            return Ok(store.Conflict({e.key: e for e in found if e}))
        revision = self.state.revision
        if request.values_by_key:
            revision = self.state.put(request.values_by_key, request.lease_id)
        if request.deleted_keys:
            revision = self.state.delete(list(request.deleted_keys))
        return Ok(store.Written(revision))

    def _put_key(
        self, key: str, value: bytes, expected: int, lease_id: int
    ) -> Result[store.StoreReply, exceptions.Error]:
        size_check = _check_sizes({key: value})
        if size_check.is_err():
            return size_check
        if lease_id and not self.state.has_lease(lease_id):
            return _error(
                exceptions.ErrorKind.STORE_CONFLICT,
                f'lease {lease_id} is unknown or has lapsed',
            )
        if self.state.revision_of(key) != expected:
            return _conflict(key)
        return Ok(store.Written(self.state.put({key: value}, lease_id)))


def is_empty_watch_reply(
    answer: Result[store.StoreReply, exceptions.Error],
) -> bool:
    """Return whether the answer to a watch lists no changes."""
    return answer.is_ok() and answer.ok_value.entries == []


def _check_sizes(
    values_by_key: dict[str, bytes],
) -> Result[None, exceptions.Error]:
    for key, value in values_by_key.items():
        if len(value) > store.MAX_VALUE_BYTES:
            return _error(
                exceptions.ErrorKind.CONFIGURATION_TOO_LARGE,
                f'value of {key} has {len(value)} bytes, more than '
                f'{store.MAX_VALUE_BYTES}',
            )
    return Ok(None)


def _conflict(key: str) -> Err[exceptions.Error]:
    return _error(
        exceptions.ErrorKind.STORE_CONFLICT,
        f'{key} is not at the expected revision',
    )


def _error(kind: exceptions.ErrorKind, detail: str) -> Err[exceptions.Error]:
    return Err(exceptions.Error.from_kind(kind, detail))
