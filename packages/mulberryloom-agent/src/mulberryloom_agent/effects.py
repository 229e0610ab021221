"""Inputs and outputs of the agent's sans-I/O core.

Those that all cores share are in :mod:`mulberryloom_core.effects`.
"""

import dataclasses
import typing as t

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import shapes
from result import Result

# Inputs


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnnounced:
    """The backend server has announced its services and resources.

    :param address: ``host:port`` of the backend server.
    """

    address: str
    services: tuple[str, ...]
    capacity: shapes.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class BackendHeartbeat:
    """The backend server has sent a heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackendLeft:
    """The backend server accepts no new work from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A complete response of the backend server.

    :param status: HTTP status.
    """

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnswered:
    """A :class:`CallBackend` has ended.

    :param result: the complete response, or an error whose field ``ran``
        states whether the backend server may have received the request.
    """

    request_id: str
    attempt: int
    result: Result[BackendAnswer, exceptions.Error]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointDone:
    """A :class:`Checkpoint` has ended.

    :param is_saved: whether the progress was saved.
    """

    request_id: str
    attempt: int
    is_saved: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStopped:
    """A :class:`StopTask` has ended.

    :param is_confirmed: whether the task has certainly stopped; its
        resources stay reserved until then.
    """

    request_id: str
    attempt: int
    is_confirmed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TaskUsage:
    """A sample of one task's memory usage.

    :param age_ms: age of the sample when it was received.
    """

    request_id: str
    attempt: int
    memory_mb: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReported:
    """Usage of all tasks of the worker, as sampled by the platform.

    The samples arrive with a delay.
    """

    usages: tuple[TaskUsage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """A graceful stop of the process has been requested."""


# Outputs


@dataclasses.dataclass(frozen=True, slots=True)
class CallBackend:
    """Sends a request to the backend server.

    Answered by one :class:`BackendAnswered`.

    :param positions: indexes of the accelerators assigned to the task.
    :param member: index of this member of the gang; ``0`` without a gang.
    :param members: number of members; ``1`` without a gang.
    :param is_resumed: whether an earlier checkpoint may exist.
    :param timeout_ms: time after which the response is not needed any
        more.
    """

    request_id: str
    attempt: int
    account: str
    service: str
    method: str
    content_type: str
    body: bytes
    positions: tuple[int, ...]
    member: int
    members: int
    is_resumed: bool
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """Saves a task's progress; answered by :class:`CheckpointDone`.

    :param grace_ms: grace period for saving.
    """

    request_id: str
    attempt: int
    member: int
    grace_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Slows down a task that uses more memory than it requested."""

    request_id: str
    attempt: int
    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stops a task and cancels its call to the backend server.

    Answered by :class:`TaskStopped`; may be repeated.
    """

    request_id: str
    attempt: int
    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewTaskLease:
    """Renews the platform's lease of a running task.

    :param ttl_ms: duration of the lease.
    """

    request_id: str
    attempt: int
    member: int
    ttl_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectEntry:
    """Opens a session with an entry and keeps it open.

    :param address: ``host:port`` of the entry.
    """

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class DisconnectEntry:
    """Closes the session with an entry.

    :param address: ``host:port`` of the entry.
    """

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """All tasks have ended after :class:`StopRequested`."""


Input: t.TypeAlias = (
    effects.Received
    | effects.PeerConnected
    | effects.PeerLost
    | effects.Tick
    | BackendAnnounced
    | BackendHeartbeat
    | BackendLeft
    | BackendAnswered
    | CheckpointDone
    | TaskStopped
    | UsageReported
    | StopRequested
)
Output: t.TypeAlias = (
    effects.Send
    | CallBackend
    | Checkpoint
    | Throttle
    | StopTask
    | RenewTaskLease
    | ConnectEntry
    | DisconnectEntry
    | Drained
)
