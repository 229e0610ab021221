"""How the agent reaches its worker, whatever the worker speaks."""

import dataclasses
import enum
import typing as t

from mulberryloom_core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInfo:
    """What a worker says of itself in a heartbeat.

    :param boot: start of this life, Unix milliseconds.
    :param sequence: rises with every heartbeat of one life.
    :param remaining_ms: shortest time that a draining worker stays.
    """

    worker: str
    boot: int
    sequence: int
    service: str
    address: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    is_draining: bool
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldCall:
    """Asks for the worker's lists and keeps its runs alive.

    :param call_id: rises with every call.
    :param deadline_ms: time on the worker's clock until which its runs
        are kept alive; ``0`` to leave that as it is.
    :param observed: ends up to this number may be forgotten; only to be
        sent over a connection that has answered such a call before, since
        a restarted worker counts its ends anew.
    :param wait_ms: how long to wait for an end.
    """

    call_id: int
    worker: str
    generation: int
    deadline_ms: int
    observed: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Starts a run."""

    worker: str
    generation: int
    deadline_ms: int
    start: messages.StartRun


@dataclasses.dataclass(frozen=True, slots=True)
class StopCall:
    """Stops a run, or keeps it from ever starting."""

    worker: str
    generation: int
    run: messages.RunRef


class CallStatus(enum.Enum):
    """What became of a call to the worker."""

    DONE = 'done'
    #: The worker has seen a higher generation.
    FENCED = 'fenced'
    #: The run is not above one that ended or was stopped there.
    OLD = 'old'
    #: The deadline had passed on the worker's clock.
    LATE = 'late'
    #: It does not fit.
    NO_ROOM = 'no-room'
    #: The worker is not healthy and has done nothing.
    UNHEALTHY = 'unhealthy'
    #: Another life of a worker answers at this address.
    OTHER_BOOT = 'other-boot'
    #: The worker does not accept the call as it is.
    REJECTED = 'rejected'
    #: No answer; it may have been carried out, or still be.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class CallReply:
    """The worker's answer to a start or a stop.

    :param clock_ms: time on the worker's clock; ``0`` when not told.
    """

    status: CallStatus
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HoldReply:
    """The worker's answer to a :class:`HoldCall`.

    :param boot: start of the life that answers; ``0`` when not told.
    """

    status: CallStatus
    clock_ms: int = 0
    boot: int = 0
    running: tuple[messages.RunningTask, ...] = ()
    ended: tuple[messages.EndedTask, ...] = ()


class WorkerRunner(t.Protocol):
    """Client of one worker; no call raises or lasts for ever."""

    async def hold(self, call: HoldCall) -> HoldReply:
        """Read the lists and renew the lease."""

    async def start(self, call: StartCall) -> CallReply:
        """Start a run."""

    async def stop(self, call: StopCall) -> CallReply:
        """Stop a run."""
