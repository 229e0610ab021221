"""The leader's view of workers, from their agents' reports."""

import dataclasses
import typing as t

from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_policy.jobs import ActiveRun
from mulberryloom_policy.jobs import WorkerCapacity
import structlog

#: Worker id and start of its incarnation, Unix milliseconds.
WorkerKey: t.TypeAlias = tuple[str, int]
#: Task name and run number.
RunKey: t.TypeAlias = tuple[str, int]

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class WorkerLink:
    """One incarnation of a worker and the exchange with its agent.

    :param capacity: resources and runs of the worker.
    :param node: peer name of the agent.
    :param reported_ms: when the last report arrived.
    :param is_synced: whether the worker's lists of runs have been received
        under this generation.
    :param echo_ms: sending time of the last report by the agent's clock;
        returned to the agent with orders.
    :param sequence: sequence number of the last orders.
    :param sent_ms: when the last orders were sent.
    :param has_pending_orders: whether to send orders before the next
        heartbeat.
    :param last_end_sequence: number of the last end of a run that was
        processed.
    :param unrecorded_end_sequences: numbers of processed ends whose job
        records are not stored yet.
    :param unknown_runs: runs on the worker that the leader does not track;
        they are stopped.
    :param sent_stops: runs whose stop was sent in this session.
    :param is_logged_unresponsive: whether the last log line on it said that
        its runs stand still.
    """

    capacity: WorkerCapacity
    node: str
    reported_ms: int
    is_synced: bool = False
    echo_ms: int = 0
    sequence: int = 0
    sent_ms: int = 0
    has_pending_orders: bool = True
    last_end_sequence: int = 0
    unrecorded_end_sequences: set[int] = dataclasses.field(default_factory=set)
    unknown_runs: set[RunKey] = dataclasses.field(default_factory=set)
    sent_stops: set[RunKey] = dataclasses.field(default_factory=set)
    is_logged_unresponsive: bool = False

    @property
    def key(self) -> WorkerKey:
        """Worker id and start time of this incarnation."""
        return self.capacity.worker, self.capacity.boot

    @property
    def vm(self) -> str:
        """Name of the VM on which the worker and its agent run."""
        return identity.vm_of(self.node)

    @property
    def recorded_end_sequence(self) -> int:
        """Highest number up to which all ends of runs are recorded."""
        if self.unrecorded_end_sequences:
            return min(self.unrecorded_end_sequences) - 1
        return self.last_end_sequence

    def report_fields(self, now_ms: int) -> dict[str, t.Any]:
        """Return the fields of a log line about the last report.

        :return: peer name of the agent, and age of its last report.
        """
        return {
            'agent': self.node,
            'report_age_ms': now_ms - self.reported_ms,
        }

    def log_responsiveness(self) -> None:
        """Log whether the worker's runs stand still, when it has changed."""
        is_unresponsive = self.capacity.is_unresponsive
        if is_unresponsive == self.is_logged_unresponsive:
            return
        self.is_logged_unresponsive = is_unresponsive
        _log.info(
            'worker unresponsive'
            if is_unresponsive
            else 'worker responsive again',
            worker=self.capacity.worker,
            boot=self.capacity.boot,
            running=len(self.capacity.run_by_key),
        )

    def reset_session(self, node: str) -> None:
        """Start a new session.

        Unconfirmed starts and all stops are sent again.

        :param node: peer name of the agent, which may have restarted.
        """
        self.node = node
        self.has_pending_orders = True
        self.sent_stops.clear()
        for run in self.capacity.run_by_key.values():
            if not run.is_confirmed:
                run.sent_sequence = 0

    def _is_startable(self, run: ActiveRun, now_ms: int) -> bool:
        return (
            self.is_synced
            and run.is_recorded
            and not run.is_inherited
            and not run.sent_sequence
            and not _is_start_expired(run, now_ms)
        )

    def expired_starts(self, now_ms: int) -> list[ActiveRun]:
        """Return the runs whose start may not be sent in this session.

        An earlier session may have lost it.
        """
        return [
            run
            for run in self.capacity.run_by_key.values()
            if _is_start_expired(run, now_ms)
            and not run.sent_sequence
            and not run.is_confirmed
            and not run.is_stopping
        ]

    def excess_starts(self) -> list[ActiveRun]:
        """Return the unsent starts for which the worker lacks capacity.

        It may have shrunk since they were planned, or since they were sent in
        an earlier session.
        """
        if not self.capacity.is_overcommitted:
            return []
        return [
            run
            for run in self.capacity.run_by_key.values()
            if not (
                run.sent_sequence
                or run.is_confirmed
                or run.is_inherited
                or run.is_stopping
            )
        ]

    def update(self, report: messages.WorkerReport, now_ms: int) -> bool:
        """Apply the worker's description, capacity and state from a report.

        The agent may have learned the description of the same incarnation
        from another writer at first.

        :return: whether either has changed.
        """
        capacity = self.capacity
        self.reported_ms = now_ms
        self.echo_ms = report.sent_ms
        before = _reported_state(capacity)
        capacity.service = report.service
        capacity.data_centre = report.data_centre
        capacity.rack = report.rack
        capacity.labels = frozenset(report.labels)
        capacity.cpu_millis = report.cpu_millis
        capacity.memory_mb = report.memory_mb
        capacity.accelerators = report.accelerators
        if report.is_draining and not capacity.is_draining:
            capacity.drain_deadline_ms = now_ms + report.remaining_ms
        capacity.is_draining = report.is_draining
        capacity.is_accepting = report.is_alive and not report.is_draining
        capacity.set_warmup_left(report.warmup_left_ms, now_ms)
        return _reported_state(capacity) != before

    def take_orders(
        self,
        generation: int,
        sequence: int,
        now_ms: int,
        *,
        is_leadership_confirmed: bool,
        speed_permille: int = 0,
    ) -> messages.WorkerOrders:
        """Return the starts and stops that have not been sent yet.

        :param sequence: number that increases across all workers, so that
            orders for two incarnations of a worker never share one.
        :param is_leadership_confirmed: whether the agent may renew the
            worker's lease on these orders.
        :param speed_permille: learned speed of the VM; ``0`` if unknown.
        """
        self.sequence = sequence
        self.sent_ms = now_ms
        self.has_pending_orders = False
        starts = []
        stops = []
        for key, run in self.capacity.run_by_key.items():
            if run.is_stopping:
                if run.is_recorded and key not in self.sent_stops:
                    run.sent_sequence = self.sequence
                    stops.append(messages.RunRef(*key))
            elif self._is_startable(run, now_ms):
                run.sent_sequence = self.sequence
                run.sent_ms = now_ms
                starts.append(_start_message(run))
        for key in self.unknown_runs - self.sent_stops:
            stops.append(messages.RunRef(*key))
        self.sent_stops.update((s.task, s.run_number) for s in stops)
        return messages.WorkerOrders(
            generation,
            self.sequence,
            self.capacity.worker,
            self.capacity.boot,
            self.echo_ms if is_leadership_confirmed else 0,
            self.recorded_end_sequence,
            starts,
            stops,
            speed_permille,
        )


def _reported_state(capacity: WorkerCapacity) -> tuple[t.Any, ...]:
    """Return what reports say of a worker, apart from its warm-up."""
    return (
        capacity.service,
        capacity.data_centre,
        capacity.rack,
        capacity.labels,
        capacity.cpu_millis,
        capacity.memory_mb,
        capacity.accelerators,
        capacity.is_draining,
        capacity.is_accepting,
    )


def _is_start_expired(run: ActiveRun, now_ms: int) -> bool:
    return 0 < run.start_expires_ms <= now_ms


def _start_message(run: ActiveRun) -> messages.StartRun:
    return messages.StartRun(
        run.name,
        run.run.number,
        run.job.spec.payload,
        run.task.checkpoint,
    )


def link_from_report(
    node: str, report: messages.WorkerReport, now_ms: int
) -> WorkerLink:
    """Build a link for a worker that was unknown so far."""
    capacity = WorkerCapacity(
        report.worker,
        report.boot,
        report.service,
        report.data_centre,
        report.rack,
        frozenset(report.labels),
        report.cpu_millis,
        report.memory_mb,
        report.accelerators,
    )
    link = WorkerLink(capacity, node, now_ms)
    capacity.vm = link.vm
    return link


def listed_runs(report: messages.WorkerReport) -> set[RunKey]:
    """Return the runs that a report names as running, ended or starting."""
    return {
        (item.task, item.run_number)
        for items in (report.running, report.ended, report.starting)
        for item in items
    }
