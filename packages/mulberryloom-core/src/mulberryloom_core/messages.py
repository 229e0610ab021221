"""Typed messages between the processes of the system.

Field names and types match ``schema/mulberryloom.capnp``; a test compares
the two. Times are sent as durations in milliseconds, since processes do
not share a clock; fields that hold Unix times say so.
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
    """Phase of a task in its agent's ledger."""

    STAGED = 'staged'
    RUNNING = 'running'
    STOPPING = 'stopping'


class BackendHealth(enum.Enum):
    """Health of the backend server as observed by its agent."""

    ABSENT = 'absent'
    HEALTHY = 'healthy'
    FAILING = 'failing'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request with all that is needed to schedule and run it.

    :param request_id: id assigned by the entry that accepted the request.
    :param account: client account that submitted the request.
    :param service: service that runs the request.
    :param method: method of the service.
    :param request_class: priority class.
    :param demand: resources over all members of the gang.
    :param content_type: media type of the body.
    :param body: complete request body.
    :param is_idempotent: whether the request may run more than once.
    :param is_checkpointable: whether it can be stopped and resumed.
    :param declared_run_ms: declared run time.
    :param deadline_ms: time left until the deadline.
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
    """Final result of an attempt or of a request.

    :param error: reason of the failure; ``None`` on success.
    :param status: HTTP status of the backend server's response.
    :param content_type: media type of the body.
    :param body: complete response body.
    :param run_ms: run time.
    :param peak_memory_mb: highest reported memory usage.
    :param is_checkpointed: whether a checkpoint was saved.
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
    """Placement of one member of a gang.

    :param worker: name of the worker.
    :param incarnation: incarnation of the worker's agent.
    :param address: ``host:port`` on which the agent listens for peers.
    :param accelerators: number of accelerators of the member.
    """

    worker: str
    incarnation: int
    address: str
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskState:
    """One task in an agent's ledger.

    :param positions: indexes of the accelerators allocated to the task.
    :param age_ms: time since the task entered its phase.
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
    """State of a worker as reported by its agent.

    :param version: increases with each change within one incarnation.
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
    """Identity of an entry and its address for peers."""

    name: str
    incarnation: int
    address: str


# Between an agent and the entries of its region


@dataclasses.dataclass(frozen=True, slots=True)
class AgentHeartbeat:
    """Sent every second; ``state`` is set only after a change."""

    worker: str
    incarnation: int
    config_version: int
    state: WorkerState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AgentLeave:
    """The worker leaves: it accepts no new work from now on.

    :param version: version of the last state of the worker; a higher
        version of the same incarnation means that it accepts work again.
    """

    worker: str
    incarnation: int
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Reply to a heartbeat: configuration version and live entries.

    :param entries: empty when unchanged since the last reply that listed
        them in this session.
    :param wants_state: whether the agent has to send its whole state.
    """

    config_version: int
    entries: list[EntryInfo]
    wants_state: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Requests a peer's configuration if newer than ``config_version``."""

    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A complete configuration document as JSON text."""

    config_version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Runs a request on one worker.

    :param incarnation: incarnation of the agent that is addressed.
    :param epoch: epoch of the shard owner that planned the start; ``None``
        when an entry starts the request without its owner.
    :param is_claimed: whether the store holds a claim that names this
        incarnation; required for work that is not idempotent.
    """

    work: Work
    attempt: int
    incarnation: int
    epoch: Epoch | None = None
    is_claimed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStarted:
    """The request has been sent to the backend server."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """Final outcome of one attempt; resent until acknowledged.

    A refusal to start is an outcome whose error has ``ran: no``.
    """

    request_id: str
    attempt: int
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTask:
    """Stops an attempt, or prevents its start."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptTask:
    """Checkpoints an attempt, then stops it.

    :param grace_ms: grace period for the checkpoint.
    :param for_account: account whose guaranteed resources are reclaimed.
    """

    request_id: str
    attempt: int
    grace_ms: int
    for_account: str
    epoch: Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class ForbidTask:
    """Forbids an agent to start any attempt of a request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskForbidden:
    """Reply to :class:`ForbidTask`.

    :param has_started: whether an attempt had already started, so that
        the request can no longer be forbidden.
    """

    request_id: str
    has_started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareGang:
    """Reserves resources for one member of a gang without starting it.

    The agent of the first member is the coordinator.

    :param member: index of the addressed member in ``members``.
    :param lease_ms: time after which an uncommitted reservation expires.
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
    """Releases an uncommitted reservation."""

    request_id: str
    attempt: int


# Between the agents of a gang


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPrepared:
    """A member has reserved its resources; sent to the coordinator."""

    request_id: str
    attempt: int
    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRefused:
    """A member cannot reserve its resources."""

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
    """Heartbeat, each second, between the members and the coordinator."""

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
    """Unmet demand of one client account, reported by its shard's owner.

    :param waiting: number of queued requests.
    :param is_below_guarantee: whether queued work fits into the unused
        part of the account's guarantee.
    :param oldest_wait_ms: time in the queue of the oldest request.
    """

    account: str
    waiting: int
    is_below_guarantee: bool
    oldest_wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgentAlive:
    """An agent with an open session to the sender of the digest.

    :param age_ms: time since the agent's last heartbeat.
    """

    worker: str
    incarnation: int
    config_version: int
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """State of an entry and of its agents, sent to all entries each second.

    :param agents: live agents of the sender. While the set of agents is
        unchanged, a digest is incremental and lists only the agents whose
        last heartbeat is older than ``steady_age_ms``.
    :param states: worker states that changed since the last digest; their
        number is limited, and the rest follows in the next digests.
    :param left: workers that left since the last digest.
    :param steady_age_ms: upper bound on the age of the last heartbeat of
        all agents that an incremental digest does not list; ``0`` when
        ``agents`` is complete.
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
    """Submits a request to the owner of its account's shard.

    :param is_journaled: whether the journal in the store holds the
        request; the owner then has to write its result to the store.
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
    """Cancels requests of an account; sent to the owner of its shard."""

    account: str
    request_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchOutcome:
    """Requests the outcome of a request from another entry."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Transfers a shard and its queue from a stopping owner."""

    account: str
    epoch: Epoch
    queue: list[Work]


@dataclasses.dataclass(frozen=True, slots=True)
class BurnCounts:
    """Good and bad events of one objective in one time bucket.

    :param bucket: index of the bucket, derived from the Unix time.
    """

    objective: str
    bucket: int
    good: int
    bad: int


@dataclasses.dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn counts of one entry's own requests: all, or the changed ones."""

    entry: str
    incarnation: int
    counts: list[BurnCounts]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that its worker reports as running.

    :param progress: completed part of the work in percent.
    """

    task: str
    run_number: int
    checkpoint: str
    progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that its worker reports as ended.

    :param sequence: sequence number of the end within one incarnation of
        the worker.
    :param how: value of :class:`request.jobs.RunEnd`.
    """

    sequence: int
    task: str
    run_number: int
    how: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunRef:
    """Identifies a run."""

    task: str
    run_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run that was lost when its worker crashed.

    :param worker: id of the worker that crashed.
    :param boot: start time of its incarnation, Unix milliseconds.
    :param age_ms: time from the first order to start the run to the first
        call that the worker did not answer any more.
    """

    worker: str
    boot: int
    task: str
    run_number: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of a worker and its runs, sent by its agent to the leader.

    :param boot: start time of the worker's incarnation, Unix milliseconds.
    :param generation: generation of the leader that the agent follows.
    :param orders_sequence: sequence number of the last orders received.
    :param sent_ms: send time on the agent's clock, echoed with orders.
    :param is_listed: whether ``running`` and ``ended`` were read from the
        worker under this generation.
    :param is_alive: whether the worker can still run tasks: it responds,
        or its lease may not have expired yet.
    :param remaining_ms: time until a draining worker stops.
    :param starting: runs with a pending start or stop.
    :param warmup_left_ms: time for which the worker stays slow after its
        start.
    :param speed_permille: speed of the VM that a leader has told the agent,
        in thousandths of the declared speed; ``0`` if it is unknown.
    :param lists_age_ms: time since the worker was asked for ``running`` and
        ``ended``. A worker that does not answer for a while has made no
        less progress for it.
    :param crashed_runs: runs on earlier workers of the VM that crashed a
        short time ago, while this agent process ran.
    :param is_partial: whether ``running`` and ``ended`` may lack runs, since
        the worker lists its ends in parts or a row could not be read.
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
    warmup_left_ms: int = 0
    speed_permille: int = 0
    lists_age_ms: int = 0
    crashed_runs: list[CrashedRun] = dataclasses.field(default_factory=list)
    is_partial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Starts a run."""

    task: str
    run_number: int
    payload: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerOrders:
    """Starts and stops that the leader orders from an agent.

    :param sequence: sequence number of the orders within a generation.
    :param echo_ms: ``sent_ms`` of the last report received; ``0`` while
        the leader cannot confirm its leadership.
    :param observed: highest ``EndedTask.sequence`` up to which all ends
        are recorded in the store.
    :param speed_permille: speed of the VM, which the agent keeps for later
        leaders; ``0`` if it is unknown.
    """

    generation: int
    sequence: int
    worker: str
    boot: int
    echo_ms: int
    observed: int
    starts: list[StartRun]
    stops: list[RunRef]
    speed_permille: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryNotice:
    """Membership and leadership, sent periodically by an entry to its peers.

    :param leader_generation: highest leader generation known.
    :param entries: peer addresses of the known entries; empty when the
        receiver knows them.
    :param is_leading: whether the sender is the leader.
    :param is_stopping: whether the sender is shutting down.
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
    """A remote call from one entry to another.

    :param kind: value of :class:`entry.jobs.calls.CallKind`.
    """

    call_id: int
    kind: str
    argument: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReply:
    """Reply to an :class:`EntryCall`; ``error`` is empty on success.

    :param body: the result, or after an error whether the call ran.
    """

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
