"""Claims of requests that must not run more than once.

A claim is a key in the store that names one agent incarnation, that is, one
run of the agent process of a worker. Only that incarnation may start the
request. A claim is reassigned to another agent only after the named agent
has confirmed that it has not started the request and never will.
"""

import collections
import dataclasses
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import store
from result import Err
from result import Ok

from . import records
from .claim import ClaimResult
from .claim import ClaimStatus
from .claim import OnClaimResult
from .claim import PendingClaim

if t.TYPE_CHECKING:
    from mulberryloom_core import effects

    from ..request.lifecycle import Request
    from .membership import Membership
    from .outbox import Outbox
    from .outbox import StoreResult

#: Time after which a failing acquisition is not retried any more.
ACQUIRE_TIMEOUT_MS = 2_000
#: Pause before a step of an acquisition is retried.
RETRY_INTERVAL_MS = 200
#: Interval at which an agent that has not answered is asked again.
FORBID_INTERVAL_MS = 1_000
MEMBERSHIP_WARMUP_MS = 5_000
#: Time for which the claim of a request that ran is retained after its end.
CLAIM_RETENTION_MS = 600_000
CLEANUP_INTERVAL_MS = 1_000
MAX_DELETIONS_PER_CLEANUP = 20

_Kind = exceptions.ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class _AbandonedClaim:
    """A claim whose acquisition timed out.

    This entry has not started the request, but the write of the claim may
    have taken effect.
    """

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedClaim:
    """A claim to be deleted at a later time.

    The claim of a request that ran is retained, so that a late retry of
    the caller finds it.

    :param revision: store revision of the claim.
    """

    key: str
    revision: int
    delete_at_ms: int


class Claims:
    """Acquires and deletes the claims of one entry.

    :param name: name of this entry.
    :param incarnation: incarnation of this entry.
    """

    __slots__ = (
        '_abandoned_claims',
        '_ended_claims',
        '_incarnation',
        '_membership',
        '_name',
        '_next_cleanup_ms',
        '_outbox',
        '_pending_by_id',
        '_revisions_by_id',
        '_started_ms',
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        membership: 'Membership',
        outbox: 'Outbox',
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._membership = membership
        self._outbox = outbox
        self._pending_by_id: dict[str, PendingClaim] = {}
        self._revisions_by_id: dict[str, int] = {}
        self._abandoned_claims: list[_AbandonedClaim] = []
        self._ended_claims: collections.deque[_EndedClaim] = (
            collections.deque()
        )
        self._started_ms: int | None = None
        self._next_cleanup_ms = 0

    def acquire(
        self,
        request: 'Request',
        worker: str,
        incarnation: int,
        attempt: int,
        on_claim_result: OnClaimResult,
        now: int,
    ) -> None:
        """Claim a request for one agent incarnation.

        A claim that this entry already holds is overwritten, so the
        calling code must make sure first that the agent named until now
        will never start the request.

        :param worker: worker whose agent may start the request.
        :param incarnation: incarnation of that agent.
        :param attempt: number of the attempt.
        :param on_claim_result: called with the result and the time in
            milliseconds, unless the request ends first; possibly called
            before this method returns.
        """
        claim = records.Claim(
            request_id=request.request_id,
            worker=worker,
            incarnation=incarnation,
            attempt=attempt,
            entry=self._name,
            entry_incarnation=self._incarnation,
            fingerprint=request.fingerprint,
        )
        held_revision = self._revisions_by_id.get(request.request_id, 0)
        pending = PendingClaim(
            request, claim, on_claim_result, now, held_revision
        )
        if self._outbox.is_store_down(now):
            on_claim_result(ClaimResult(ClaimStatus.UNAVAILABLE), now)
            return
        self._pending_by_id[request.request_id] = pending
        self._write(pending, now)

    def _write(self, pending: PendingClaim, now: int) -> None:
        put = store.PutKey(
            pending.key, pending.claim.encode(), pending.expected_revision
        )

        def on_done(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Ok):
                assert isinstance(result.ok_value, store.Written)
                self._on_held(pending, result.ok_value.revision, now)
            elif result.err_value.kind is _Kind.STORE_CONFLICT:
                self._read(pending, now)
            else:
                self._retry_later(pending, self._read, now)

        self._outbox.call_store(put, on_done)

    def _read(self, pending: PendingClaim, now: int) -> None:
        def on_done(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                self._retry_later(pending, self._read, now)
                return
            assert isinstance(result.ok_value, store.Entries)
            entries = result.ok_value.entries
            self._on_read(pending, entries[0] if entries else None, now)

        self._outbox.call_store(store.GetKey(pending.key), on_done)

    def _on_read(
        self, pending: PendingClaim, entry: store.Entry | None, now: int
    ) -> None:
        if entry is None:
            pending.expected_revision = 0
            self._retry_later(pending, self._write, now)
            return
        if entry.value == pending.claim.encode():
            self._on_held(pending, entry.revision, now)
            return
        if entry.revision == pending.expected_revision:
            self._retry_later(pending, self._write, now)
            return
        existing_claim = records.Claim.decode(entry.value)
        if existing_claim.fingerprint != pending.claim.fingerprint:
            self._finish(pending, ClaimResult(ClaimStatus.REUSED), now)
            return
        pending.existing_entry = entry
        pending.existing_claim = existing_claim
        self._read_result(pending, now)

    def _read_result(self, pending: PendingClaim, now: int) -> None:
        account = pending.request.work.account
        key = records.result_key(account, pending.claim.request_id)

        def on_done(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                self._retry_later(pending, self._read_result, now)
                return
            assert isinstance(result.ok_value, store.Entries)
            entries = result.ok_value.entries
            if not entries:
                self._on_no_result(pending, now)
                return
            record = records.ResultRecord.decode(entries[0].value)
            claim_result = ClaimResult(
                ClaimStatus.FINISHED, outcome=record.outcome
            )
            self._finish(pending, claim_result, now)

        self._outbox.call_store(store.GetKey(key), on_done)

    def _on_no_result(self, pending: PendingClaim, now: int) -> None:
        claim = pending.existing_claim
        assert claim is not None
        if self._is_made_by_live_entry(claim):
            self._finish(pending, ClaimResult(ClaimStatus.IN_USE, claim), now)
            return
        self._forbid_task(pending, now)

    def _is_made_by_live_entry(self, claim: records.Claim) -> bool:
        if claim.entry == self._name:
            return False
        for info in self._membership.live_entries():
            if info.name == claim.entry:
                return info.incarnation == claim.entry_incarnation
        return False

    def _forbid_task(self, pending: PendingClaim, now: int) -> None:
        """Ask the agent of the existing claim never to start the request."""
        claim = pending.existing_claim
        assert claim is not None
        view = self._membership.workers_by_name.get(claim.worker)
        if view is None:
            if self._is_membership_complete(now):
                self._finish(
                    pending, ClaimResult(ClaimStatus.LOST, claim), now
                )
            else:
                self._schedule(
                    pending, self._forbid_task, now + FORBID_INTERVAL_MS
                )
            return
        if view.incarnation != claim.incarnation:
            self._finish(pending, ClaimResult(ClaimStatus.LOST, claim), now)
            return
        pending.is_forbid_pending = True
        address = view.state.address if view.state is not None else ''
        message = messages.ForbidTask(claim.request_id)
        self._outbox.send_agent(claim.worker, message, address)
        self._schedule(pending, self._forbid_task, now + FORBID_INTERVAL_MS)

    def _is_membership_complete(self, now: int) -> bool:
        """Return whether every live worker should be known by now.

        A starting entry learns of workers from heartbeats and digests.
        """
        if self._started_ms is None:
            return False
        return now - self._started_ms >= MEMBERSHIP_WARMUP_MS

    def on_forbidden(
        self,
        received: 'effects.Received',
        forbidden: messages.TaskForbidden,
        now: int,
    ) -> None:
        """Process an agent's answer to :class:`messages.ForbidTask`."""
        pending = self._pending_by_id.get(forbidden.request_id)
        if pending is None or not pending.is_forbid_pending:
            return
        claim = pending.existing_claim
        assert claim is not None and pending.existing_entry is not None
        if received.peer.name != claim.worker:
            return
        if received.peer.incarnation != claim.incarnation:
            self._finish(pending, ClaimResult(ClaimStatus.LOST, claim), now)
            return
        pending.is_forbid_pending = False
        pending.next_step = None
        if forbidden.has_started:
            self._revisions_by_id[claim.request_id] = (
                pending.existing_entry.revision
            )
            self._finish(pending, ClaimResult(ClaimStatus.RUNNING, claim), now)
            return
        pending.expected_revision = pending.existing_entry.revision
        self._write(pending, now)

    def on_tick(self, now: int) -> None:
        """Run steps that are due and delete expired claims."""
        if self._started_ms is None:
            self._started_ms = now
        for pending in list(self._pending_by_id.values()):
            step = pending.next_step
            if step is not None and now >= pending.next_step_at_ms:
                pending.next_step = None
                step(pending, now)
        if now >= self._next_cleanup_ms:
            self._next_cleanup_ms = now + CLEANUP_INTERVAL_MS
            self._delete_abandoned_claim()
            self._delete_ended_claims(now)

    def _retry_later(
        self,
        pending: PendingClaim,
        step: t.Callable[[PendingClaim, int], None],
        now: int,
    ) -> None:
        if now - pending.began_ms >= ACQUIRE_TIMEOUT_MS:
            value = pending.claim.encode()
            self._abandoned_claims.append(_AbandonedClaim(pending.key, value))
            self._finish(pending, ClaimResult(ClaimStatus.UNAVAILABLE), now)
            return
        self._schedule(pending, step, now + RETRY_INTERVAL_MS)

    def _schedule(
        self,
        pending: PendingClaim,
        step: t.Callable[[PendingClaim, int], None],
        at_ms: int,
    ) -> None:
        pending.next_step = step
        pending.next_step_at_ms = at_ms

    def _on_held(self, pending: PendingClaim, revision: int, now: int) -> None:
        self._revisions_by_id[pending.claim.request_id] = revision
        self._finish(
            pending, ClaimResult(ClaimStatus.HELD, pending.claim), now
        )

    def _finish(
        self, pending: PendingClaim, claim_result: ClaimResult, now: int
    ) -> None:
        request_id = pending.claim.request_id
        if self._pending_by_id.get(request_id) is not pending:
            return
        del self._pending_by_id[request_id]
        pending.on_claim_result(claim_result, now)

    def mark_ended(self, request: 'Request', now: int) -> None:
        """Record that a request has ended.

        Its claim is deleted after ``CLAIM_RETENTION_MS``, so that late
        retries of the caller still find it.
        """
        self._pending_by_id.pop(request.request_id, None)
        revision = self._revisions_by_id.pop(request.request_id, None)
        if revision is None:
            return
        key = records.claim_key(request.work.account, request.request_id)
        self._ended_claims.append(
            _EndedClaim(key, revision, now + CLAIM_RETENTION_MS)
        )

    def release(self, request: 'Request') -> None:
        """Schedule the deletion of a claim at the next cleanup.

        The calling code must make sure first that the agent named in the
        claim will never start the request.
        """
        revision = self._revisions_by_id.pop(request.request_id, None)
        if revision is None:
            return
        key = records.claim_key(request.work.account, request.request_id)
        # At the head and due at once: the cleanup deletes from the head up
        # to the first claim that is not due.
        self._ended_claims.appendleft(_EndedClaim(key, revision, 0))

    def _delete_ended_claims(self, now: int) -> None:
        for _ in range(MAX_DELETIONS_PER_CLEANUP):
            if (
                not self._ended_claims
                or self._ended_claims[0].delete_at_ms > now
            ):
                return
            self._delete_claim(self._ended_claims.popleft())

    def _delete_claim(self, ended: _EndedClaim) -> None:
        def on_done(result: 'StoreResult', now: int) -> None:
            if not isinstance(result, Err):
                return
            if result.err_value.kind is _Kind.STORE_UNAVAILABLE:
                self._ended_claims.append(ended)

        delete = store.DeleteKey(ended.key, ended.revision)
        self._outbox.call_store(delete, on_done)

    def _delete_abandoned_claim(self) -> None:
        """Delete one abandoned claim if its write has taken effect."""
        if not self._abandoned_claims:
            return
        abandoned = self._abandoned_claims.pop(0)

        def on_read(result: 'StoreResult', now: int) -> None:
            if isinstance(result, Err):
                self._abandoned_claims.append(abandoned)
                return
            assert isinstance(result.ok_value, store.Entries)
            for entry in result.ok_value.entries:
                if entry.value == abandoned.value:
                    delete = store.DeleteKey(entry.key, entry.revision)
                    self._outbox.call_store(delete, lambda _r, _n: None)

        self._outbox.call_store(store.GetKey(abandoned.key), on_read)
