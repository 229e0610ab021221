"""Pending claim of a request, and the result of acquiring it."""

import dataclasses
import enum
import typing as t

from mulberryloom_core import messages
from mulberryloom_core import store

from . import records

if t.TYPE_CHECKING:
    from ..request.lifecycle import Request


class ClaimStatus(enum.Enum):
    """Status of a claim after an attempt to acquire it.

    The claim and the outcome are those in :class:`ClaimResult`.
    """

    #: This entry holds the claim, and the agent named in it may start the
    #: request.
    HELD = 'held'
    #: The agent named in the claim has started the request, and the entry
    #: that made the claim is no longer alive.
    RUNNING = 'running'
    #: The claim belongs to another live entry.
    IN_USE = 'in-use'
    #: The claim names an agent incarnation that has restarted or is
    #: unreachable, so whether the request ran is unknown.
    LOST = 'lost'
    #: The request has ended with the outcome.
    FINISHED = 'finished'
    #: The claim belongs to a different request with the same idempotency
    #: key.
    REUSED = 'reused'
    #: The store is unavailable or did not answer in time; this entry has not
    #: started the request.
    UNAVAILABLE = 'unavailable'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of :meth:`Claims.acquire`.

    :param claim: the claim that was found or written; ``None`` for
        ``FINISHED``, ``REUSED`` and ``UNAVAILABLE``.
    :param outcome: outcome of a finished request, otherwise ``None``.
    """

    status: ClaimStatus
    claim: records.Claim | None = None
    outcome: messages.Outcome | None = None


OnClaimResult: t.TypeAlias = t.Callable[[ClaimResult, int], None]


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim whose acquisition is in progress.

    :param claim: the claim to be written.
    :param on_claim_result: called with the result and the time in
        milliseconds, unless the request ends first.
    :param began_ms: time at which the acquisition began.
    :param expected_revision: store revision that the write may overwrite;
        ``0`` when the key must be absent.
    :param existing_entry: store entry of a conflicting claim under the
        same key.
    :param existing_claim: the decoded conflicting claim.
    :param next_step: step to run at ``next_step_at_ms``; ``None`` while a
        reply is awaited.
    :param is_forbid_pending: whether the agent named in the conflicting claim
        has been sent :class:`messages.ForbidTask` and has not answered
        yet.
    """

    request: 'Request'
    claim: records.Claim
    on_claim_result: OnClaimResult
    began_ms: int
    expected_revision: int
    existing_entry: store.Entry | None = None
    existing_claim: records.Claim | None = None
    next_step_at_ms: int = 0
    next_step: t.Callable[['PendingClaim', int], None] | None = None
    is_forbid_pending: bool = False

    @property
    def key(self) -> str:
        """Store key of the claim."""
        account = self.request.work.account
        return records.claim_key(account, self.claim.request_id)
