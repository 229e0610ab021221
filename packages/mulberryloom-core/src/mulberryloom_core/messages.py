"""Typed messages between the processes of the system.

Field names and types match ``schema/mulberryloom.capnp``; a test compares
the two. Durations are in milliseconds and relative, since processes do
not share a clock.
"""

import dataclasses
import enum
import typing as t

from .exceptions import Error
from .identity import Epoch
from .shapes import Demand
from .shapes import RequestClass
from .shapes import Resources


class TaskPhase(enum.Enum):
    """Step of a task in its agent's ledger."""

    STAGED = 'staged'
    RUNNING = 'running'
    STOPPING = 'stopping'


class BackendHealth(enum.Enum):
    """Health of the backend server as its agent sees it."""

    ABSENT = 'absent'
    HEALTHY = 'healthy'
    FAILING = 'failing'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request on its way to an agent.

    :param request_id: identity given by the entry that accepted it.
    :param account: client account that submitted it.
    :param service: service that has to run it.
    :param method: method of the service.
    :param request_class: urgency.
    :param demand: what it takes.
    :param content_type: media type of the body.
    :param body: the caller's bytes, whole.
    :param is_idempotent: whether it may run more than once.
    :param is_checkpointable: whether it can be stopped and resumed.
    :param declared_run_ms: run time that the caller declares.
    :param deadline_ms: time left until the caller gives up.
    """

    request_id: str
    account: str
    service: str
    method: str
    request_class: RequestClass
    demand: Demand
    content_type: str = 'application/octet-stream'
    body: bytes = b''
    is_idempotent: bool = True
    is_checkpointable: bool = False
    declared_run_ms: int = 1_000
    deadline_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt or a request ended.

    :param error: reason of the failure; ``None`` when it finished.
    :param status: HTTP status of the backend server's answer.
    :param content_type: media type of the body.
    :param body: the whole answer.
    :param run_ms: time spent running.
    :param peak_memory_mb: highest usage reported.
    :param is_checkpointed: whether the progress was saved.
    """

    error: Error | None = None
    status: int = 200
    content_type: str = 'application/octet-stream'
    body: bytes = b''
    run_ms: int = 0
    peak_memory_mb: int = 0
    is_checkpointed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GangMember:
    """Place of one member of a gang.

    :param worker: name of the worker.
    :param incarnation: incarnation of the worker's agent.
    :param address: ``host:port`` on which the agent listens for peers.
    :param accelerators: accelerators that the member takes.
    """

    worker: str
    incarnation: int
    address: str
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskState:
    """One task in an agent's ledger.

    :param positions: indexes of the accelerators that it holds.
    :param age_ms: time since it entered the phase.
    """

    request_id: str
    attempt: int
    account: str
    service: str
    method: str
    request_class: RequestClass
    phase: TaskPhase
    resources: Resources
    positions: list[int]
    is_checkpointable: bool
    is_idempotent: bool
    is_gang: bool
    declared_run_ms: int
    age_ms: int
    peak_memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerState:
    """What an agent says of its worker.

    :param version: grows with each change within one incarnation.
    :param address: ``host:port`` on which the agent listens for peers.
    :param services: services of the backend server.
    """

    worker: str
    incarnation: int
    data_centre: str
    rack: str
    address: str
    services: list[str]
    health: BackendHealth
    capacity: Resources
    tasks: list[TaskState]
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryInfo:
    """An entry as others should reach it."""

    name: str
    incarnation: int
    address: str


# Between an agent and the entries of its region


@dataclasses.dataclass(frozen=True, slots=True)
class AgentHeartbeat:
    """Sent every second; ``state`` only when it changed."""

    worker: str
    incarnation: int
    config_version: int
    state: WorkerState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AgentLeave:
    """The worker takes no new work from now on.

    :param version: version of the state that left; a later state of the
        same incarnation may take work again.
    """

    worker: str
    incarnation: int
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answer to a heartbeat: version in force, and the live entries.

    :param entries: empty when they are those told last in this session.
    """

    config_version: int
    entries: list[EntryInfo]
    wants_state: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Asks a peer for its configuration, if above ``config_version``."""

    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A whole configuration document, as JSON."""

    config_version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Runs a request on one worker.

    :param incarnation: incarnation of the agent that is meant.
    :param epoch: epoch of the planning owner; ``None`` on the short path.
    :param is_claimed: whether the store holds a claim that names this
        incarnation; needed for work that is not idempotent.
    """

    work: Work
    attempt: int
    incarnation: int
    epoch: Epoch | None = None
    is_claimed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStarted:
    """The backend server has been given the request."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """Final word of an agent on one attempt; repeated until acknowledged.

    A refusal to start is an outcome whose error has ``ran: no``.
    """

    request_id: str
    attempt: int
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTask:
    """Stops an attempt, or forbids it where it has not started."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptTask:
    """Checkpoints an attempt, then stops it.

    :param grace_ms: time for the checkpoint.
    :param for_account: account whose guarantee is being reclaimed.
    """

    request_id: str
    attempt: int
    grace_ms: int
    for_account: str
    epoch: Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class ForbidTask:
    """Asks the agent never to start any attempt of a request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskForbidden:
    """Answer to :class:`ForbidTask`.

    :param has_started: true when an attempt had started, so that the
        request can't be forbidden any more.
    """

    request_id: str
    has_started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareGang:
    """Reserves one member of a gang, staged and not running.

    The first member's agent coordinates.

    :param lease_ms: how long the reservation lasts without a commit.
    """

    work: Work
    attempt: int
    members: list[GangMember]
    member: int
    lease_ms: int
    epoch: Epoch
    is_claimed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseGang:
    """Drops a reservation that has not been committed."""

    request_id: str
    attempt: int


# Between the agents of a gang


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPrepared:
    """A member has reserved its share; sent to the coordinator."""

    request_id: str
    attempt: int
    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRefused:
    """A member cannot reserve its share."""

    request_id: str
    attempt: int
    member: int
    error: Error


@dataclasses.dataclass(frozen=True, slots=True)
class StartMember:
    """The gang is committed; the member starts."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberAlive:
    """Sent each second by members and coordinator to each other."""

    request_id: str
    attempt: int
    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEnded:
    """A member has ended; sent to the coordinator."""

    request_id: str
    attempt: int
    member: int
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class StopMember:
    """The gang is stopped; the member stops."""

    request_id: str
    attempt: int


# Between entries


@dataclasses.dataclass(frozen=True, slots=True)
class ShardInfo:
    """Ownership of one client account."""

    account: str
    epoch: Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class AccountPressure:
    """Need of one client account, as its owner sees it.

    :param waiting: requests in its queue.
    :param is_below_guarantee: whether waiting work fits its guarantee.
    :param oldest_wait_ms: age of the oldest request.
    """

    account: str
    waiting: int
    is_below_guarantee: bool
    oldest_wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgentAlive:
    """An agent with a live session to the sender of the digest.

    :param age_ms: time since its last heartbeat.
    """

    worker: str
    incarnation: int
    config_version: int
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Sent each second between entries: news of the sender's agents.

    :param agents: the live agents of the sender; in a steady digest only
        those whose last heartbeat is older than ``steady_age_ms``.
    :param steady_age_ms: in a steady digest, the agents told last are
        alive, and their last heartbeats are at most so old; ``0`` when
        ``agents`` is the whole list.
    """

    entry: EntryInfo
    config_version: int
    shards: list[ShardInfo]
    pressures: list[AccountPressure]
    agents: list[AgentAlive]
    states: list[WorkerState]
    left: list[AgentLeave]
    is_draining: bool = False
    steady_age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitWork:
    """Hands a request to the owner of its account's shard.

    :param is_journaled: whether the store's journal holds the request, so
        that its owner has to write the result to the store.
    """

    work: Work
    is_journaled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEnded:
    """Final outcome of a request; sent to the entry that submitted it."""

    request_id: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWork:
    """Cancels requests of an account at their owner."""

    account: str
    request_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchOutcome:
    """Asks an entry for the outcome of a request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """A stopping owner passes a shard on, with its queue."""

    account: str
    epoch: Epoch
    queue: list[Work]


@dataclasses.dataclass(frozen=True, slots=True)
class BurnCounts:
    """Good and bad events of one objective in one time bucket.

    :param bucket: index of the bucket, from calendar time.
    """

    objective: str
    bucket: int
    good: int
    bad: int


@dataclasses.dataclass(frozen=True, slots=True)
class BurnReport:
    """All burn counts of one entry's own requests."""

    entry: str
    incarnation: int
    counts: list[BurnCounts]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker lists as running.

    :param progress: percent of the work that is done.
    """

    task: str
    run_number: int
    checkpoint: str
    progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker lists as ended.

    :param sequence: number of the end in this life of the worker.
    :param how: value of :class:`request.jobs.RunEnd`.
    """

    sequence: int
    task: str
    run_number: int
    how: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunRef:
    """Names a run."""

    task: str
    run_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """What an agent knows of its worker.

    :param boot: start of the worker's life, Unix milliseconds.
    :param generation: leader's generation whose orders the agent follows.
    :param orders_sequence: last orders that the agent has taken in.
    :param sent_ms: time at the agent, to be returned with orders.
    :param is_listed: whether the lists were read from the worker under
        this generation.
    :param is_alive: whether the worker can still run anything.
    :param remaining_ms: how much longer a draining worker stays.
    :param starting: starts and stops whose outcome is not known yet.
    """

    worker: str
    boot: int
    service: str
    data_centre: str
    rack: str
    labels: list[str]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    is_draining: bool
    remaining_ms: int
    generation: int
    orders_sequence: int
    sent_ms: int
    is_listed: bool
    is_alive: bool
    running: list[RunningTask]
    ended: list[EndedTask]
    starting: list[RunRef]


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Starts a run."""

    task: str
    run_number: int
    payload: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerOrders:
    """What the leader tells an agent.

    :param sequence: number of the orders, within a generation.
    :param echo_ms: ``sent_ms`` of the last report that was received;
        ``0`` when the leader cannot vouch for being the leader.
    :param observed: number of the last end that is recorded.
    """

    generation: int
    sequence: int
    worker: str
    boot: int
    echo_ms: int
    observed: int
    starts: list[StartRun]
    stops: list[RunRef]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryNotice:
    """What an entry tells all its peers, every so often.

    :param leader_generation: highest generation that it knows.
    :param entries: peer addresses of the entries that it knows.
    :param is_leading: whether the sender is the leader.
    :param is_stopping: whether the sender is about to end.
    """

    address: str
    leader: str
    leader_address: str
    leader_generation: int
    is_leading: bool
    is_stopping: bool
    catalogue_version: int
    entries: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCall:
    """A question from one entry to another.

    :param kind: value of :class:`entry.jobs.calls.CallKind`.
    """

    call_id: int
    kind: str
    argument: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReply:
    """Answer to an :class:`EntryCall`; empty ``error`` for success."""

    call_id: int
    error: str
    body: bytes


Message: t.TypeAlias = (
    AgentHeartbeat
    | AgentLeave
    | HeartbeatReply
    | FetchConfiguration
    | ConfigurationDocument
    | StartTask
    | TaskStarted
    | TaskEnded
    | CancelTask
    | PreemptTask
    | ForbidTask
    | TaskForbidden
    | PrepareGang
    | ReleaseGang
    | MemberPrepared
    | MemberRefused
    | StartMember
    | MemberAlive
    | MemberEnded
    | StopMember
    | Digest
    | SubmitWork
    | WorkEnded
    | CancelWork
    | FetchOutcome
    | HandOver
    | BurnReport
    | WorkerReport
    | WorkerOrders
    | EntryNotice
    | EntryCall
    | EntryReply
)
