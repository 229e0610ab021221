"""Status of an entry and its region, as shown to operators."""

import dataclasses
import typing as t

from mulberryloom_core import shapes

if t.TYPE_CHECKING:
    from . import core as cores
    from . import dispatch
    from . import membership


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerStatus:
    """A worker with its health, its capacity and the resources in use.

    :param health: health reported by the worker, ``leaving``, or
        ``unknown`` before its first report.
    :param is_quarantined: whether its circuit breaker is open because of
        repeated failures; it then receives no requests except probes.
    :param config_version: version of the configuration in force there.
    :param tasks: number of tasks on it.
    """

    name: str
    incarnation: int
    data_centre: str
    rack: str
    health: str
    is_leaving: bool
    is_quarantined: bool
    config_version: int
    tasks: int
    capacity: shapes.Resources
    used: shapes.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """An entry of the region.

    :param address: address on which peers reach it.
    :param config_version: version of the configuration in force there.
    """

    name: str
    incarnation: int
    address: str
    config_version: int
    is_draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ShardStatus:
    """A client account and the entry that schedules its requests.

    :param owner: name of that entry; empty when there is none.
    """

    account: str
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class AccountStatus:
    """A client account with its guarantee and its usage.

    :param guaranteed: sum of its guaranteed shapes.
    :param used: resources held by its tasks on all workers.
    :param borrowed_accelerators: accelerators in use above the guarantee.
    :param tasks: number of its tasks on all workers.
    """

    name: str
    state: str
    weight: int
    guaranteed: shapes.Resources
    used: shapes.Resources
    borrowed_accelerators: int
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedStatus:
    """A waiting request and the reason why it waits.

    :param waited_ms: milliseconds since it was accepted.
    :param cause: kind of the reason.
    :param detail: explanation of the reason.
    :param expected_start_ms: predicted milliseconds until it starts;
        ``None`` when unknown.
    """

    request_id: str
    account: str
    service: str
    method: str
    waited_ms: int
    cause: str
    detail: str
    expected_start_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStatus:
    """A request that has not ended.

    :param age_ms: milliseconds since it was accepted.
    """

    request_id: str
    account: str
    service: str
    method: str
    phase: str
    age_ms: int
    is_asynchronous: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The region as seen by one entry.

    :param name: name of that entry.
    :param open_requests: number of requests made at that entry that have
        not ended.
    """

    name: str
    incarnation: int
    region: str
    data_centre: str
    config_version: int
    is_ready: bool
    is_stopping: bool
    entries: list[EntryStatus]
    workers: list[WorkerStatus]
    accounts: list[AccountStatus]
    shards: list[ShardStatus]
    queued: list[QueuedStatus]
    open_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class TicketStatus:
    """Processes in which a ticket is in force.

    :param version: version of the configuration that contains the ticket.
    :param is_everywhere: whether every known process has reached it.
    :param version_by_process: version in force, by name of the process.
    """

    number: int
    version: int
    is_everywhere: bool
    version_by_process: dict[str, int]


def describe(core: 'cores.EntryCore', now_ms: int) -> Status:
    """Return the status of an entry and of its region."""
    context = core.context
    settings = core.settings
    workers = [
        _worker_status(view, context.circuits.is_open(view.worker))
        for _, view in sorted(context.membership.workers_by_name.items())
    ]
    accounts = sorted(core.configuration.accounts_by_name)
    return Status(
        name=context.name,
        incarnation=context.incarnation,
        region=settings.region,
        data_centre=settings.data_centre,
        config_version=core.configuration.version,
        is_ready=core.is_ready,
        is_stopping=core.is_stopping,
        entries=_entry_statuses(core),
        workers=workers,
        accounts=_account_statuses(core),
        shards=[
            ShardStatus(account, context.shards.owner_of(account) or '')
            for account in accounts
        ],
        queued=[
            _queued_status(core, owned, now_ms)
            for owned in core.dispatcher.jobs
            if context.attempts.find(owned.request.request_id) is None
        ],
        open_requests=len(core.requests.open_requests),
    )


def list_requests(core: 'cores.EntryCore', now_ms: int) -> list[RequestStatus]:
    """Return the open requests accepted or scheduled by this entry."""
    requests_by_id = {
        owned.request.request_id: owned.request
        for owned in core.dispatcher.jobs
    }
    for request in core.requests.open_requests:
        requests_by_id.setdefault(request.request_id, request)
    return [
        RequestStatus(
            request_id,
            request.work.account,
            request.work.service,
            request.work.method,
            request.phase.value,
            now_ms - request.accepted_ms,
            request.is_journaled,
        )
        for request_id, request in sorted(requests_by_id.items())
    ]


def describe_ticket(
    core: 'cores.EntryCore', number: int, version: int
) -> TicketStatus:
    """Return the version of the configuration in force in each process.

    :param version: the ticket is in force where this version or a later
        one is.
    """
    peers = core.context.membership
    version_by_process = {core.context.name: core.configuration.version}
    for name, entry in peers.entries_by_name.items():
        version_by_process[name] = entry.config_version
    for name, view in peers.workers_by_name.items():
        version_by_process[name] = view.config_version
    is_everywhere = all(
        in_force >= version for in_force in version_by_process.values()
    )
    return TicketStatus(
        number,
        version,
        is_everywhere,
        dict(sorted(version_by_process.items())),
    )


def _entry_statuses(core: 'cores.EntryCore') -> list[EntryStatus]:
    context = core.context
    peer_entries = [
        EntryStatus(
            view.info.name,
            view.info.incarnation,
            view.info.address,
            view.config_version,
            view.is_draining,
        )
        for view in context.membership.entries_by_name.values()
    ]
    own_entry = EntryStatus(
        context.name,
        context.incarnation,
        core.settings.advertised_address,
        core.configuration.version,
        core.is_stopping,
    )
    return sorted([own_entry, *peer_entries], key=lambda entry: entry.name)


def _worker_status(
    view: 'membership.WorkerView', is_quarantined: bool
) -> WorkerStatus:
    state = view.state
    tasks = state.tasks if state is not None else []
    used = shapes.Resources()
    for task in tasks:
        used += task.resources
    return WorkerStatus(
        name=view.worker,
        incarnation=view.incarnation,
        data_centre=state.data_centre if state is not None else '',
        rack=state.rack if state is not None else '',
        health=_health(view),
        is_leaving=view.is_leaving,
        is_quarantined=is_quarantined,
        config_version=view.config_version,
        tasks=len(tasks),
        capacity=state.capacity if state is not None else shapes.Resources(),
        used=used,
    )


def _account_statuses(core: 'cores.EntryCore') -> list[AccountStatus]:
    used_by_account: dict[str, shapes.Resources] = {}
    tasks_by_account: dict[str, int] = {}
    for view in core.context.membership.workers_by_name.values():
        for task in view.state.tasks if view.state is not None else []:
            used = used_by_account.get(task.account, shapes.Resources())
            used_by_account[task.account] = used + task.resources
            count = tasks_by_account.get(task.account, 0)
            tasks_by_account[task.account] = count + 1
    statuses = []
    for name, account in sorted(core.configuration.accounts_by_name.items()):
        guaranteed = shapes.Resources()
        for shape in account.guarantees:
            member = shape.demand.member(shape.demand.accelerators)
            for _ in range(shape.copies):
                guaranteed += member
        used = used_by_account.get(name, shapes.Resources())
        borrowed = max(0, used.accelerators - guaranteed.accelerators)
        statuses.append(
            AccountStatus(
                name,
                account.state.value,
                account.weight,
                guaranteed,
                used,
                borrowed,
                tasks_by_account.get(name, 0),
            )
        )
    return statuses


def _queued_status(
    core: 'cores.EntryCore', owned: 'dispatch.OwnedJob', now_ms: int
) -> QueuedStatus:
    request = owned.request
    reason = core.dispatcher.explain(request.request_id, now_ms)
    return QueuedStatus(
        request.request_id,
        request.work.account,
        request.work.service,
        request.work.method,
        now_ms - request.accepted_ms,
        reason.cause.value,
        reason.detail,
        reason.expected_start_ms,
    )


def _health(view: 'membership.WorkerView') -> str:
    if view.is_leaving:
        return 'leaving'
    return view.state.health.value if view.state is not None else 'unknown'
