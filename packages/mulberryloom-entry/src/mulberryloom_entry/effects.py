"""Inputs and effects of the entry's core.

Those that the cores of all processes share are in
:mod:`mulberryloom_core.effects`.
"""

import dataclasses
import typing as t

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A caller submits work.

    :param call_id: id of the caller's call, repeated in its
        :class:`Answer`.
    :param work: the work; an empty ``request_id`` is replaced by a new id.
    :param wants_async: whether to answer with :class:`Accepted` as soon as
        the request is in the journal, instead of with its outcome.
    :param idempotency_key: idempotency key of the caller; empty for none.
    """

    call_id: int
    work: messages.Work
    wants_async: bool = False
    idempotency_key: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancels requests of its account.

    It is answered immediately, before the cancellation is complete.
    """

    call_id: int
    account: str
    request_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRequested:
    """A caller queries the state or the outcome of a request."""

    call_id: int
    account: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TicketSubmitted:
    """An operator submits a ticket.

    :param document: the ticket, encoded as JSON.
    :param is_check: whether to check the ticket only, without applying it.
    """

    call_id: int
    document: bytes
    is_check: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller's connection was closed before the call was answered."""

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process has been asked to stop; repetitions have no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class WallTime:
    """Calendar time, for values that several processes store or compare.

    :param wall_ms: milliseconds since the Unix epoch.
    """

    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request is in the journal and will be completed."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The request has not ended yet.

    :param phase: its current phase, as text.
    """

    request_id: str
    phase: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAccepted:
    """The cancellation of these requests has started."""

    request_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class TicketAccepted:
    """The ticket has been stored or, if only checked, would be accepted.

    :param ticket: number of the ticket.
    :param config_version: version of the configuration that contains it.
    :param room_bytes: bytes by which the configuration document may still
        grow.
    """

    ticket: int
    config_version: int
    room_bytes: int = 0


Reply: t.TypeAlias = (
    messages.Outcome
    | exceptions.Error
    | Accepted
    | Pending
    | CancelAccepted
    | TicketAccepted
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The only answer to a call of a caller or an operator."""

    call_id: int
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """No request is open and all shards have been handed over."""


Input: t.TypeAlias = (
    effects.Received
    | effects.PeerConnected
    | effects.PeerLost
    | effects.StoreDone
    | effects.Tick
    | RequestSubmitted
    | CancelRequested
    | OutcomeRequested
    | TicketSubmitted
    | CallerDisconnected
    | StopRequested
    | WallTime
)
Effect: t.TypeAlias = effects.Send | effects.CallStore | Answer | Drained
