"""Calls from an agent to its worker, independent of the wire protocol."""

import dataclasses
import enum
import typing as t

from mulberryloom_core import messages

#: Worker name and start time of an incarnation.
IncarnationKey: t.TypeAlias = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Contents of a worker's heartbeat.

    :param boot: start of the worker's incarnation, Unix milliseconds.
    :param sequence: number of the heartbeat, rising within an incarnation.
    :param address: ``host:port`` at which the worker accepts calls.
    :param cpu_millis: processors, in thousandths.
    :param remaining_ms: time for which a draining worker stays at least.
    :param warmup_left_ms: time for which the worker stays slow after its
        start.
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
    warmup_left_ms: int = 0

    @property
    def incarnation(self) -> IncarnationKey:
        """Worker name and start time of this incarnation."""
        return self.worker, self.boot


@dataclasses.dataclass(frozen=True, slots=True)
class HoldCall:
    """Renews the worker's lease and reads its lists of runs.

    A worker whose lease expires stops its runs.

    :param call_id: number of the call, rising.
    :param generation: generation of the leader, the fencing token.
    :param deadline_ms: end of the lease on the worker's clock; ``0`` to
        leave the lease unchanged.
    :param observed: number up to which the worker may forget ended runs.
        It is sent only over a connection whose last reply came from the
        incarnation ``boot``, since a restarted worker numbers its ended
        runs from the start.
    :param wait_ms: long-polling timeout; the worker replies earlier when a
        run ends.
    :param boot: start of the incarnation whose ended runs ``observed``
        counts; ``0`` if unknown.
    """

    call_id: int
    worker: str
    generation: int
    deadline_ms: int
    observed: int
    wait_ms: int
    boot: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Starts a run.

    :param generation: generation of the leader, the fencing token.
    :param deadline_ms: end of the lease on the worker's clock; the run is
        not started after it.
    """

    worker: str
    generation: int
    deadline_ms: int
    start: messages.StartRun


@dataclasses.dataclass(frozen=True, slots=True)
class StopCall:
    """Stops a run; one that has not started cannot start any more.

    :param generation: generation of the leader, the fencing token.
    """

    worker: str
    generation: int
    run: messages.RunRef


class CallStatus(enum.Enum):
    """Outcome of a call to the worker."""

    DONE = 'done'
    #: The worker has seen a higher generation of the leader.
    FENCED = 'fenced'
    #: Superseded: a run of this task with the same or a higher number has
    #: ended or was stopped on the worker.
    SUPERSEDED = 'old'
    #: The deadline had passed on the worker's clock.
    EXPIRED = 'late'
    #: The worker lacks free resources for the run.
    NO_ROOM = 'no-room'
    #: The worker is not healthy and has not carried out the call.
    UNHEALTHY = 'unhealthy'
    #: Another worker or incarnation answers at this address.
    OTHER_INCARNATION = 'other-boot'
    #: No process accepts connections at the worker's address.
    NOT_LISTENING = 'not-listening'
    #: The worker does not accept the call in this form.
    REJECTED = 'rejected'
    #: No valid reply; the call may have been carried out or still be.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class CallReply:
    """Reply to a :class:`StartCall` or :class:`StopCall`.

    :param clock_ms: time on the worker's clock; ``0`` when unknown.
    """

    status: CallStatus
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HoldReply:
    """Reply to a :class:`HoldCall`.

    :param clock_ms: time on the worker's clock; ``0`` when unknown.
    :param boot: start of the worker's incarnation, Unix milliseconds;
        ``0`` when unknown.
    :param ended: runs that have ended and are not acknowledged, in the order
        of their ends.
    :param is_partial: whether the lists may lack runs: more have ended than
        ``ended`` lists, or some could not be read.
    """

    status: CallStatus
    clock_ms: int = 0
    boot: int = 0
    running: tuple[messages.RunningTask, ...] = ()
    ended: tuple[messages.EndedTask, ...] = ()
    is_partial: bool = False


class WorkerClient(t.Protocol):
    """Client of one worker; no call raises or takes unlimited time."""

    async def hold(self, call: HoldCall) -> HoldReply:
        """Renew the lease and read the lists of runs."""

    async def start(self, call: StartCall) -> CallReply:
        """Start a run."""

    async def stop(self, call: StopCall) -> CallReply:
        """Stop a run."""

    async def close(self) -> None:
        """Close the connections to the worker."""
