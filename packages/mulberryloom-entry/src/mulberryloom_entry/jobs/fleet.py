"""The workers as the leader knows them from their agents' reports."""

import dataclasses
import typing as t

from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_policy.jobs import ActiveRun
from mulberryloom_policy.jobs import WorkerRoom

WorkerKey: t.TypeAlias = tuple[str, int]
RunKey: t.TypeAlias = tuple[str, int]


@dataclasses.dataclass(slots=True)
class WorkerLink:
    """One life of a worker, and what is under way to its agent.

    :param node: peer name of the agent.
    :param is_synced: whether its lists are known under this generation.
    :param echo_ms: the agent's time in its last report.
    :param sequence: number of the last orders.
    :param is_due: whether something new has to be sent.
    :param consumed_end: number of the last end that was taken in.
    :param unrecorded_ends: ends whose records are not stored yet.
    :param foreign: runs that are to be stopped and belong to no job.
    """

    room: WorkerRoom
    node: str
    reported_ms: int
    is_synced: bool = False
    echo_ms: int = 0
    sequence: int = 0
    sent_ms: int = 0
    is_due: bool = True
    consumed_end: int = 0
    unrecorded_ends: set[int] = dataclasses.field(default_factory=set)
    foreign: set[RunKey] = dataclasses.field(default_factory=set)
    sent_stops: set[RunKey] = dataclasses.field(default_factory=set)

    @property
    def key(self) -> WorkerKey:
        """Identity of this life of the worker."""
        return self.room.worker, self.room.boot

    @property
    def vm(self) -> str:
        """VM of the worker and its agent."""
        return identity.vm_of(self.node)

    @property
    def observed(self) -> int:
        """Number of the last end that is recorded, with all before it."""
        if self.unrecorded_ends:
            return min(self.unrecorded_ends) - 1
        return self.consumed_end

    def move_to(self, node: str) -> None:
        """Go on with another process of the agent, which knows nothing."""
        self.node = node
        self.is_due = True
        self.sent_stops.clear()
        for run in self.room.run_by_key.values():
            if not run.is_confirmed:
                run.sent_sequence = 0

    def _is_startable(self, run: ActiveRun) -> bool:
        return (
            self.is_synced
            and run.is_recorded
            and not run.is_inherited
            and not run.sent_sequence
        )

    def update(self, report: messages.WorkerReport, now_ms: int) -> bool:
        """Take over what a report says of the worker itself.

        :return: whether it can take other work than before.
        """
        room = self.room
        self.reported_ms = now_ms
        self.echo_ms = report.sent_ms
        before = _capacity(room)
        room.cpu_millis = report.cpu_millis
        room.memory_mb = report.memory_mb
        room.accelerators = report.accelerators
        if report.is_draining and not room.is_draining:
            room.leaves_ms = now_ms + report.remaining_ms
        room.is_draining = report.is_draining
        room.is_accepting = report.is_alive and not report.is_draining
        return _capacity(room) != before

    def take_orders(
        self, generation: int, sequence: int, now_ms: int, *, is_vouched: bool
    ) -> messages.WorkerOrders:
        """Return everything that has not been sent to the agent.

        :param sequence: number that rises over all workers, so that it
            also tells the orders for two lives of one worker apart.
        """
        self.sequence = sequence
        self.sent_ms = now_ms
        self.is_due = False
        starts = []
        stops = []
        for key, run in self.room.run_by_key.items():
            if run.is_stopping:
                if run.is_recorded and key not in self.sent_stops:
                    run.sent_sequence = self.sequence
                    stops.append(messages.RunRef(*key))
            elif self._is_startable(run):
                run.sent_sequence = self.sequence
                run.sent_ms = now_ms
                starts.append(_start(run))
        for key in self.foreign - self.sent_stops:
            stops.append(messages.RunRef(*key))
        self.sent_stops.update((s.task, s.run_number) for s in stops)
        return messages.WorkerOrders(
            generation,
            self.sequence,
            self.room.worker,
            self.room.boot,
            self.echo_ms if is_vouched else 0,
            self.observed,
            starts,
            stops,
        )


def _capacity(room: WorkerRoom) -> tuple[int, int, int, bool, bool]:
    """Return what a worker has and whether it takes work."""
    return (
        room.cpu_millis,
        room.memory_mb,
        room.accelerators,
        room.is_draining,
        room.is_accepting,
    )


def _start(run: ActiveRun) -> messages.StartRun:
    return messages.StartRun(
        run.name,
        run.run.number,
        run.job.spec.payload,
        run.task.checkpoint,
    )


def link_from_report(
    node: str, report: messages.WorkerReport, now_ms: int
) -> WorkerLink:
    """Build a link for a worker that was not known."""
    room = WorkerRoom(
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
    return WorkerLink(room, node, now_ms)
