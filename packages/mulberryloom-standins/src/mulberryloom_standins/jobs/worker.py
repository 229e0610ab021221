"""A worker of the platform: runs, leases, gangs and their ends."""

import dataclasses
import typing as t

from mulberryloom_agent.jobs import worker_calls
from mulberryloom_core import messages
from mulberryloom_core.request import jobs

#: Duration of a task; the declared one may be far off.
WorkOf: t.TypeAlias = t.Callable[[str], 'Work']
_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a task does when it runs.

    :param has_failed: whether its run fails at the end by its own fault.
    """

    step: jobs.Step
    duration_ms: int
    has_failed: bool = False


@dataclasses.dataclass(slots=True)
class WorkerRun:
    """A run on a worker."""

    task: str
    number: int
    work: Work
    begun_ms: int
    done_ms: int = 0
    stopping_ms: int = 0

    def checkpoint(self) -> str:
        """Return the saved progress, as text."""
        if not self.work.step.is_checkpointed or not self.done_ms:
            return ''
        return str(self.done_ms)


class WorkerStandIn:
    """One life of a worker, without sockets.

    :param boot: start of its life, Unix milliseconds.
    :param work_of: what each task does.
    :param clock_offset_ms: how far its clock is ahead.
    """

    def __init__(
        self,
        worker: str,
        boot: int,
        rack: str,
        work_of: WorkOf,
        clock_offset_ms: int = 0,
        lease_limit_ms: int = 6_000,
    ) -> None:
        self.worker = worker
        self.boot = boot
        self.rack = rack
        self.cpu_millis = 16_000
        self.memory_mb = 64_000
        self.accelerators = 8
        self.is_draining = False
        self.is_failing_all = False
        self.is_stuck = False
        self.run_by_task: dict[str, WorkerRun] = {}
        self.ends: list[messages.EndedTask] = []
        #: Ends after which the lease lapsed before they were acknowledged.
        self.lapsed_ends: set[int] = set()
        self._work_of = work_of
        self._offset_ms = clock_offset_ms
        self._lease_limit_ms = lease_limit_ms
        self._lease_end_ms = 0
        self._generation = 0
        self._barred_by_task: dict[str, int] = {}
        self._last_end = 0
        self._observed = 0
        self._sequence = 0

    def clock_ms(self, now_ms: int) -> int:
        """Return the worker's own time."""
        return now_ms + self._offset_ms

    def info(self) -> worker_calls.WorkerInfo:
        """Return the next heartbeat."""
        self._sequence += 1
        return worker_calls.WorkerInfo(
            self.worker,
            self.boot,
            self._sequence,
            'service',
            '127.0.0.1:1',
            'dc',
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
        """Carry out an order to start."""
        clock_ms = self.clock_ms(now_ms)
        if self._is_fenced(call.generation):
            return worker_calls.CallReply(
                worker_calls.CallStatus.FENCED, clock_ms
            )
        task, number = call.start.task, call.start.run_number
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return worker_calls.CallReply(
                worker_calls.CallStatus.DONE, clock_ms
            )
        if number <= self._barred_by_task.get(task, 0) or present is not None:
            return worker_calls.CallReply(
                worker_calls.CallStatus.SUPERSEDED, clock_ms
            )
        if call.deadline_ms <= clock_ms:
            return worker_calls.CallReply(
                worker_calls.CallStatus.EXPIRED, clock_ms
            )
        self._extend(call.deadline_ms, clock_ms)
        work = self._work_of(task)
        done_ms = 0
        if call.start.checkpoint:
            done_ms = int(call.start.checkpoint)
        self.run_by_task[task] = WorkerRun(task, number, work, now_ms, done_ms)
        return worker_calls.CallReply(worker_calls.CallStatus.DONE, clock_ms)

    def stop(
        self, call: worker_calls.StopCall, now_ms: int
    ) -> worker_calls.CallReply:
        """Carry out an order to stop."""
        clock_ms = self.clock_ms(now_ms)
        if self._is_fenced(call.generation):
            return worker_calls.CallReply(
                worker_calls.CallStatus.FENCED, clock_ms
            )
        task, number = call.run.task, call.run.run_number
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            present.stopping_ms = present.stopping_ms or now_ms
        barred = self._barred_by_task.get(task, 0)
        self._barred_by_task[task] = max(barred, number)
        return worker_calls.CallReply(worker_calls.CallStatus.DONE, clock_ms)

    def hold(
        self, call: worker_calls.HoldCall, now_ms: int
    ) -> worker_calls.HoldReply:
        """Renew the lease and return both lists."""
        clock_ms = self.clock_ms(now_ms)
        if self._is_fenced(call.generation):
            return worker_calls.HoldReply(
                worker_calls.CallStatus.FENCED, clock_ms
            )
        if call.deadline_ms:
            self._extend(call.deadline_ms, clock_ms)
        self._observed = max(self._observed, call.observed)
        self.ends = [e for e in self.ends if e.sequence > self._observed]
        running = tuple(
            messages.RunningTask(
                run.task,
                run.number,
                run.checkpoint(),
                min(99, run.done_ms * _PERCENT // run.work.duration_ms),
            )
            for run in self.run_by_task.values()
        )
        return worker_calls.HoldReply(
            worker_calls.CallStatus.DONE,
            clock_ms,
            self.boot,
            running,
            tuple(self.ends),
        )

    def _is_fenced(self, generation: int) -> bool:
        """Whether a higher generation was seen; notes this one if not."""
        if generation < self._generation:
            return True
        self._generation = generation
        return False

    def _extend(self, deadline_ms: int, clock_ms: int) -> None:
        latest_ms = clock_ms + self._lease_limit_ms
        end_ms = min(deadline_ms, latest_ms)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)

    def advance(
        self, now_ms: int, by_ms: int, stop_ms: int, is_whole: t.Any
    ) -> None:
        """Let time pass.

        :param by_ms: time since the last call.
        :param stop_ms: how long a stop takes.
        :param is_whole: tells whether all members of a run's gang are
            present; a gang works only then.
        """
        if self.clock_ms(now_ms) > self._lease_end_ms:
            self.lapsed_ends.update(end.sequence for end in self.ends)
            for run in list(self.run_by_task.values()):
                self.end(run, jobs.RunEnd.LAPSED)
        for run in list(self.run_by_task.values()):
            if run.stopping_ms:
                if now_ms - run.stopping_ms >= stop_ms:
                    self.end(run, jobs.RunEnd.STOPPED)
                continue
            if self.is_stuck or not is_whole(run):
                continue
            run.done_ms += by_ms
            if self.is_failing_all and run.done_ms >= by_ms:
                self.end(run, jobs.RunEnd.FAILED)
            elif run.done_ms >= run.work.duration_ms:
                has_failed = run.work.has_failed
                how = jobs.RunEnd.FAILED if has_failed else jobs.RunEnd.DONE
                self.end(run, how)

    def end(self, run: WorkerRun, how: jobs.RunEnd) -> None:
        """End a run and list it."""
        self.run_by_task.pop(run.task, None)
        barred = self._barred_by_task.get(run.task, 0)
        self._barred_by_task[run.task] = max(barred, run.number)
        self._last_end += 1
        checkpoint = '' if how is jobs.RunEnd.DONE else run.checkpoint()
        self.ends.append(
            messages.EndedTask(
                self._last_end, run.task, run.number, how.value, checkpoint
            )
        )
