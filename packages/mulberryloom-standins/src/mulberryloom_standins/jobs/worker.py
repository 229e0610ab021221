"""Sans-I/O core of the job worker stand-in: its lease, runs and ends."""

import dataclasses
import typing as t

from mulberryloom_agent.jobs import worker_calls
from mulberryloom_core import messages
from mulberryloom_core.request import jobs

#: Returns the work of a task by its name. The actual duration may differ
#: widely from the estimate that the job declares.
WorkLookup: t.TypeAlias = t.Callable[[str], 'Work']
_PERCENT = 100
_PERMILLE = 1_000
#: Capacity of a worker that has not shrunk.
FULL_CPU_MILLIS = 16_000
FULL_ACCELERATORS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Simulated work of a task.

    :param is_failing: whether its runs fail at their end because of the task
        itself.
    :param is_crashing: whether it crashes each worker that starts it.
    """

    step: jobs.Step
    duration_ms: int
    is_failing: bool = False
    is_crashing: bool = False


@dataclasses.dataclass(slots=True)
class WorkerRun:
    """A run on a worker.

    :param number: run number of the task, rising with each start.
    :param progress_ms: work done so far, including that of a checkpoint.
    :param stop_requested_ms: time of the first request to stop; ``0`` if
        there was none.
    """

    task: str
    number: int
    work: Work
    started_ms: int
    progress_ms: int = 0
    stop_requested_ms: int = 0

    def checkpoint(self) -> str:
        """Return the saved progress in ms as text; empty if there is none."""
        if not self.work.step.is_checkpointed or not self.progress_ms:
            return ''
        return str(self.progress_ms)


class WorkerStandIn:
    """One incarnation of a worker, without sockets.

    :param worker: id of the worker.
    :param boot: start of the incarnation, Unix milliseconds.
    :param work_of: returns the work of a task.
    :param clock_offset_ms: offset of the worker's clock from the simulated
        time, positive if it is ahead.
    :param lease_limit_ms: longest lease that the worker accepts, from now.
    :param ends_per_reply: most ends that it lists at a time.
    :param slowness_permille: how much slower than the simulated time its
        clock runs.
    :ivar is_failing_every_run: whether every run fails as soon as it works.
    :ivar is_stuck: whether runs make no progress.
    :ivar is_shedding: whether it refuses a part of the orders as unhealthy.
    :ivar ends: ends of runs that have not been acknowledged.
    """

    def __init__(
        self,
        worker: str,
        boot: int,
        rack: str,
        work_of: WorkLookup,
        clock_offset_ms: int = 0,
        lease_limit_ms: int = 6_000,
        data_centre: str = 'dc',
        ends_per_reply: int = 500,
        slowness_permille: int = 0,
    ) -> None:
        self.worker = worker
        self.boot = boot
        self.rack = rack
        self.data_centre = data_centre
        self.cpu_millis = FULL_CPU_MILLIS
        self.memory_mb = 64_000
        self.accelerators = FULL_ACCELERATORS
        #: Capacities before the present one, and when each ended.
        self._earlier_capacities: list[tuple[int, int, int]] = []
        self.is_draining = False
        self.is_failing_every_run = False
        self.is_stuck = False
        self.is_shedding = False
        self._ends_per_reply = ends_per_reply
        self.run_by_task: dict[str, WorkerRun] = {}
        self.ends: list[messages.EndedTask] = []
        #: Sequences of the ends that were not yet acknowledged when the
        #: lease lapsed.
        self.lapsed_end_sequences: set[int] = set()
        self._work_of = work_of
        self._clock_offset_ms = clock_offset_ms
        self._slowness_permille = slowness_permille
        self._lease_limit_ms = lease_limit_ms
        self._lease_end_ms = 0
        self._generation = 0
        # Highest run number of each task that was stopped or has ended.
        # Starts up to it are refused as superseded.
        self._last_superseded_by_task: dict[str, int] = {}
        self._last_end_sequence = 0
        self._acknowledged_sequence = 0
        self._heartbeat_sequence = 0

    def resize(self, cpu_millis: int, accelerators: int, now_ms: int) -> None:
        """Change the capacity; what runs goes on."""
        self._earlier_capacities.append(
            (now_ms, self.cpu_millis, self.accelerators)
        )
        self.cpu_millis = cpu_millis
        self.accelerators = accelerators

    def largest_capacity(self, since_ms: int) -> tuple[int, int]:
        """Return the most thousandths of a core and accelerators since then.

        :param since_ms: simulated time.
        """
        capacities = [
            (cpu_millis, accelerators)
            for until_ms, cpu_millis, accelerators in self._earlier_capacities
            if until_ms >= since_ms
        ]
        capacities.append((self.cpu_millis, self.accelerators))
        return (
            max(cpu for cpu, _ in capacities),
            max(accelerators for _, accelerators in capacities),
        )

    def clock_ms(self, now_ms: int) -> int:
        """Return the time on the worker's clock."""
        behind_ms = now_ms * self._slowness_permille // _PERMILLE
        return now_ms - behind_ms + self._clock_offset_ms

    def info(self) -> worker_calls.WorkerInfo:
        """Return the content of the next heartbeat."""
        self._heartbeat_sequence += 1
        return worker_calls.WorkerInfo(
            self.worker,
            self.boot,
            self._heartbeat_sequence,
            'service',
            '127.0.0.1:1',
            self.data_centre,
            self.rack,
            ('a', self.rack),
            self.cpu_millis,
            self.memory_mb,
            self.accelerators,
            self.is_draining,
            0,
        )

    def start(
        self, call: worker_calls.StartCall, now_ms: int
    ) -> worker_calls.CallReply:
        """Start a run, unless it is fenced, superseded or expired."""
        clock_ms = self.clock_ms(now_ms)
        if call.worker != self.worker:
            return worker_calls.CallReply(
                worker_calls.CallStatus.OTHER_INCARNATION, clock_ms
            )
        if self._is_fenced(call.generation):
            return worker_calls.CallReply(
                worker_calls.CallStatus.FENCED, clock_ms
            )
        task, number = call.start.task, call.start.run_number
        current_run = self.run_by_task.get(task)
        if current_run is not None and current_run.number == number:
            return worker_calls.CallReply(
                worker_calls.CallStatus.DONE, clock_ms
            )
        if (
            number <= self._last_superseded_by_task.get(task, 0)
            or current_run is not None
        ):
            return worker_calls.CallReply(
                worker_calls.CallStatus.SUPERSEDED, clock_ms
            )
        if call.deadline_ms <= clock_ms:
            return worker_calls.CallReply(
                worker_calls.CallStatus.EXPIRED, clock_ms
            )
        self._extend_lease(call.deadline_ms, clock_ms)
        work = self._work_of(task)
        progress_ms = 0
        if call.start.checkpoint:
            progress_ms = int(call.start.checkpoint)
        self.run_by_task[task] = WorkerRun(
            task, number, work, now_ms, progress_ms
        )
        return worker_calls.CallReply(worker_calls.CallStatus.DONE, clock_ms)

    def stop(
        self, call: worker_calls.StopCall, now_ms: int
    ) -> worker_calls.CallReply:
        """Stop a run, and refuse to start it from now on."""
        clock_ms = self.clock_ms(now_ms)
        if call.worker != self.worker:
            return worker_calls.CallReply(
                worker_calls.CallStatus.OTHER_INCARNATION, clock_ms
            )
        if self._is_fenced(call.generation):
            return worker_calls.CallReply(
                worker_calls.CallStatus.FENCED, clock_ms
            )
        task, number = call.run.task, call.run.run_number
        current_run = self.run_by_task.get(task)
        if current_run is not None and current_run.number == number:
            current_run.stop_requested_ms = (
                current_run.stop_requested_ms or now_ms
            )
        last_superseded = self._last_superseded_by_task.get(task, 0)
        self._last_superseded_by_task[task] = max(last_superseded, number)
        return worker_calls.CallReply(worker_calls.CallStatus.DONE, clock_ms)

    def hold(
        self, call: worker_calls.HoldCall, now_ms: int
    ) -> worker_calls.HoldReply:
        """Renew the lease; return the running tasks and the ended ones.

        Ends up to ``call.observed`` are acknowledged and dropped.
        """
        clock_ms = self.clock_ms(now_ms)
        if call.worker != self.worker:
            return worker_calls.HoldReply(
                worker_calls.CallStatus.OTHER_INCARNATION, clock_ms
            )
        if self._is_fenced(call.generation):
            return worker_calls.HoldReply(
                worker_calls.CallStatus.FENCED, clock_ms
            )
        if call.deadline_ms:
            self._extend_lease(call.deadline_ms, clock_ms)
        self._acknowledged_sequence = max(
            self._acknowledged_sequence, call.observed
        )
        self.ends = [
            e for e in self.ends if e.sequence > self._acknowledged_sequence
        ]
        running = tuple(
            messages.RunningTask(
                run.task,
                run.number,
                run.checkpoint(),
                min(99, run.progress_ms * _PERCENT // run.work.duration_ms),
            )
            for run in self.run_by_task.values()
        )
        return worker_calls.HoldReply(
            worker_calls.CallStatus.DONE,
            clock_ms,
            self.boot,
            running,
            tuple(self.ends[: self._ends_per_reply]),
            is_partial=len(self.ends) > self._ends_per_reply,
        )

    def _is_fenced(self, generation: int) -> bool:
        """Return whether a higher generation was seen; store it if not."""
        if generation < self._generation:
            return True
        self._generation = generation
        return False

    def _extend_lease(self, deadline_ms: int, clock_ms: int) -> None:
        latest_ms = clock_ms + self._lease_limit_ms
        end_ms = min(deadline_ms, latest_ms)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)

    def advance(
        self,
        now_ms: int,
        elapsed_ms: int,
        stop_duration_ms: int,
        is_gang_complete: t.Any,
    ) -> None:
        """Advance all runs, and end them if the lease has lapsed.

        :param elapsed_ms: time since the last call.
        :param stop_duration_ms: time that a run takes to stop.
        :param is_gang_complete: returns whether all members of a run's gang
            run; the gang makes progress only then.
        """
        if self.clock_ms(now_ms) > self._lease_end_ms:
            self.lapsed_end_sequences.update(end.sequence for end in self.ends)
            for run in list(self.run_by_task.values()):
                self.end(run, jobs.RunEnd.LAPSED)
        for run in list(self.run_by_task.values()):
            if run.stop_requested_ms:
                if now_ms - run.stop_requested_ms >= stop_duration_ms:
                    self.end(run, jobs.RunEnd.STOPPED)
                continue
            if self.is_stuck or not is_gang_complete(run):
                continue
            run.progress_ms += elapsed_ms
            if self.is_failing_every_run and run.progress_ms >= elapsed_ms:
                self.end(run, jobs.RunEnd.FAILED)
            elif run.progress_ms >= run.work.duration_ms:
                is_failing = run.work.is_failing
                how = jobs.RunEnd.FAILED if is_failing else jobs.RunEnd.DONE
                self.end(run, how)

    def end(self, run: WorkerRun, how: jobs.RunEnd) -> None:
        """End a run, and list its end until it is acknowledged."""
        self.run_by_task.pop(run.task, None)
        last_superseded = self._last_superseded_by_task.get(run.task, 0)
        self._last_superseded_by_task[run.task] = max(
            last_superseded, run.number
        )
        self._last_end_sequence += 1
        checkpoint = '' if how is jobs.RunEnd.DONE else run.checkpoint()
        self.ends.append(
            messages.EndedTask(
                self._last_end_sequence,
                run.task,
                run.number,
                how.value,
                checkpoint,
            )
        )
