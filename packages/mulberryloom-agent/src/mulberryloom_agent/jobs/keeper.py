"""What an agent knows of its worker, and the calls that are due.

Sans-I/O: the shell passes in orders, heartbeats and answers, and carries
out the calls that come back. The worker's lists are the truth about what
runs; the keeper only adds what is under way.
"""

import dataclasses
import typing as t

from mulberryloom_core import messages
import structlog

from . import runner

Call: t.TypeAlias = runner.HoldCall | runner.StartCall | runner.StopCall
RunKey: t.TypeAlias = tuple[str, int]

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperOptions:
    """Times in milliseconds.

    :param lease_ms: lease that is asked for; the longest that a worker
        grants.
    :param renew_ms: for how long leases are renewed after the leader
        was last heard to be the leader.
    :param unanswered_ms: for how long leases are renewed after the worker
        last answered.
    :param margin_ms: reserve for clocks that differ.
    :param wait_ms: how long a call waits for an end.
    :param pause_ms: pause between calls while ends are unrecorded.
    :param retry_ms: pause before a call without an answer is repeated.
    :param report_ms: pause between reports without news.
    """

    lease_ms: int = 6_000
    renew_ms: int = 3_000
    unanswered_ms: int = 2_500
    margin_ms: int = 300
    wait_ms: int = 800
    pause_ms: int = 300
    retry_ms: int = 150
    report_ms: int = 900


@dataclasses.dataclass(slots=True)
class _Pending:
    """A start or stop whose outcome is not known.

    :param is_called: whether a call is under way.
    :param due_ms: when to call next.
    """

    is_called: bool = False
    due_ms: int = 0
    tries: int = 0


@dataclasses.dataclass(slots=True)
class _Starting(_Pending):
    """A start, and until when it may be sent."""

    expires_ms: int = 0
    start: messages.StartRun = dataclasses.field(
        default_factory=lambda: messages.StartRun('', 0, '', '')
    )


class Keeper:
    """One agent's view of its worker."""

    def __init__(self, options: KeeperOptions, now_ms: int) -> None:
        self._options = options
        self.info: runner.WorkerInfo | None = None
        self.generation = 0
        self._orders_sequence = 0
        self._vouched_ms = now_ms - options.renew_ms
        self._observed = 0
        self._answering_boot = 0
        self._running: tuple[messages.RunningTask, ...] = ()
        self._ended: tuple[messages.EndedTask, ...] = ()
        self._is_listed = False
        self._starting_by_key: dict[RunKey, _Starting] = {}
        self._stop_by_key: dict[RunKey, _Pending] = {}
        #: Runs whose start was answered, and the first call whose lists
        #: must contain them.
        self._settled_by_key: dict[RunKey, int] = {}
        self._last_hold_id = 0
        self._applied_hold_id = 0
        self._held_by_id: dict[int, int] = {}
        self._hold_due_ms = now_ms
        self._clock_offset_ms: int | None = None
        # An earlier process of the agent may have granted a whole lease.
        self._lease_end_ms = now_ms + options.lease_ms
        self._answered_ms = now_ms
        self._is_gone = False
        self._report_due_ms = now_ms
        self._is_changed = True

    # Inputs

    def on_heartbeat(self, info: runner.WorkerInfo, now_ms: int) -> None:
        """Take in what the worker says of itself."""
        known = self.info
        if known is not None and not self._is_newer(info, known):
            return
        if known is None or _life(info) != _life(known):
            self._begin_life(info, now_ms)
        elif info.is_draining and not known.is_draining:
            _log.info(
                'worker drains',
                worker=info.worker,
                remaining_ms=info.remaining_ms,
            )
            self._drop_unsent()
        if known is None or _without_sequence(info) != _without_sequence(
            known
        ):
            self._is_changed = True
        self.info = info

    @staticmethod
    def _is_newer(info: runner.WorkerInfo, known: runner.WorkerInfo) -> bool:
        """Whether a heartbeat is later than the last; some arrive late."""
        if info.boot != known.boot:
            return info.boot > known.boot
        if info.worker != known.worker:
            return True
        return info.sequence > known.sequence

    def _begin_life(self, info: runner.WorkerInfo, now_ms: int) -> None:
        _log.info(
            'worker known',
            worker=info.worker,
            boot=info.boot,
            service=info.service,
            rack=info.rack,
            labels=info.labels,
            cpu_millis=info.cpu_millis,
            accelerators=info.accelerators,
        )
        self._running = ()
        self._ended = ()
        self._is_listed = False
        self._is_gone = False
        self._observed = 0
        self._starting_by_key.clear()
        self._stop_by_key.clear()
        self._settled_by_key.clear()
        self._held_by_id.clear()
        self._applied_hold_id = self._last_hold_id
        self._clock_offset_ms = None
        self._lease_end_ms = now_ms + self._options.lease_ms
        self._answered_ms = now_ms
        self._hold_due_ms = now_ms

    def on_leave(self, worker: str) -> None:
        """Note that the worker has said that it ends."""
        if self.info is not None and self.info.worker == worker:
            _log.info('worker left', worker=worker)
            self._is_gone = True
            self._is_changed = True

    def follow(self, generation: int, now_ms: int) -> bool:
        """Follow a leader; return whether it is a new one."""
        if generation <= self.generation:
            return False
        _log.info(
            'leader followed',
            generation=generation,
            previous=self.generation,
        )
        self.generation = generation
        self._orders_sequence = 0
        self._is_listed = False
        self._starting_by_key.clear()
        self._stop_by_key.clear()
        self._held_by_id.clear()
        self._applied_hold_id = self._last_hold_id
        self._hold_due_ms = now_ms
        self._is_changed = True
        return True

    def on_orders(self, orders: messages.WorkerOrders, now_ms: int) -> None:
        """Take in what the leader wants; a deposed one is ignored."""
        self.follow(orders.generation, now_ms)
        if orders.generation != self.generation or self.info is None:
            return
        self._vouched_ms = max(self._vouched_ms, orders.echo_ms)
        if (orders.worker, orders.boot) != _life(self.info):
            self._is_changed = True
            return
        is_overtaken = orders.sequence <= self._orders_sequence
        self._orders_sequence = max(self._orders_sequence, orders.sequence)
        if orders.observed > self._observed:
            self._observed = orders.observed
            self._hold_due_ms = now_ms
        expires_ms = orders.echo_ms + self._options.renew_ms
        for start in orders.starts:
            if is_overtaken:
                # A report has told since that it is not here, so that the
                # leader may have given it up.
                _log.warning(
                    'start refused', task=start.task, reason='overtaken'
                )
                continue
            self._on_start_ordered(start, expires_ms, now_ms)
        for run in orders.stops:
            self._on_stop_ordered(run, now_ms)
        if orders.starts or orders.stops:
            self._is_changed = True

    def _on_start_ordered(
        self, start: messages.StartRun, expires_ms: int, now_ms: int
    ) -> None:
        """Take in a start.

        :param expires_ms: until when the leader may count on it; one that
            was held up on the way for longer may have been given up.
        """
        assert self.info is not None
        key = (start.task, start.run_number)
        if self.info.is_draining or self._is_gone:
            _log.info('start refused', task=start.task, reason='draining')
            return
        if key in self._starting_by_key or key in self._stop_by_key:
            return
        if expires_ms <= now_ms:
            _log.info('start refused', task=start.task, reason='too late')
            return
        self._starting_by_key[key] = _Starting(
            due_ms=now_ms, start=start, expires_ms=expires_ms
        )

    def _on_stop_ordered(self, run: messages.RunRef, now_ms: int) -> None:
        key = (run.task, run.run_number)
        self._starting_by_key.pop(key, None)
        self._stop_by_key.setdefault(key, _Pending(due_ms=now_ms))

    def _drop_unsent(self) -> None:
        """Give up starts that were never sent to the worker."""
        for key, pending in list(self._starting_by_key.items()):
            if not pending.is_called and not pending.tries:
                del self._starting_by_key[key]

    # Answers of the worker

    def on_held(
        self, call: runner.HoldCall, reply: runner.HoldReply, now_ms: int
    ) -> None:
        """Take in the worker's lists."""
        if self._held_by_id.pop(call.call_id, None) is None:
            return
        if self.info is None:
            return
        if reply.status is not runner.CallStatus.DONE:
            self._on_hold_failed(call, reply, now_ms)
            return
        self._answered_ms = now_ms
        if reply.clock_ms:
            self._clock_offset_ms = reply.clock_ms - now_ms
        self._answering_boot = reply.boot or self.info.boot
        if self._answering_boot != self.info.boot:
            self._hold_due_ms = now_ms + self._options.pause_ms
            return
        if call.call_id < self._applied_hold_id:
            return
        self._applied_hold_id = call.call_id
        for key, needed in list(self._settled_by_key.items()):
            if call.call_id >= needed:
                del self._settled_by_key[key]
        if (
            not self._is_listed
            or _run_keys(reply.running) != _run_keys(self._running)
            or reply.ended != self._ended
        ):
            self._is_changed = True
        self._running = reply.running
        self._ended = reply.ended
        self._is_listed = True
        self._settle_listed()
        if self._unobserved():
            self._hold_due_ms = now_ms + self._options.pause_ms
        else:
            self._hold_due_ms = now_ms

    def _on_hold_failed(
        self,
        call: runner.HoldCall,
        reply: runner.HoldReply,
        now_ms: int,
    ) -> None:
        self._hold_due_ms = now_ms + self._options.retry_ms
        if reply.status is not runner.CallStatus.UNKNOWN:
            _log.warning(
                'worker refused to be held',
                worker=call.worker,
                generation=call.generation,
                status=reply.status.value,
            )

    def _settle_listed(self) -> None:
        """Forget starts that the lists answer.

        A list that was asked for before now may still arrive and lack
        them, since answers overtake each other.
        """
        listed = _run_keys(self._running)
        ended = {(end.task, end.run_number) for end in self._ended}
        for key in list(self._starting_by_key):
            if key in listed or key in ended:
                del self._starting_by_key[key]
                self._settled_by_key[key] = self._last_hold_id + 1

    def on_started(
        self, call: runner.StartCall, reply: runner.CallReply, now_ms: int
    ) -> None:
        """Take in the answer to a start."""
        key = (call.start.task, call.start.run_number)
        pending = self._starting_by_key.get(key)
        if pending is None or call.generation != self.generation:
            return
        pending.is_called = False
        status = reply.status
        _log.info(
            'start answered',
            task=call.start.task,
            run=call.start.run_number,
            status=status.value,
            tries=pending.tries,
        )
        if status in (runner.CallStatus.UNKNOWN, runner.CallStatus.LATE):
            pending.due_ms = now_ms + self._options.retry_ms
            return
        del self._starting_by_key[key]
        if status is runner.CallStatus.DONE:
            self._settled_by_key[key] = self._last_hold_id + 1
        self._hold_due_ms = min(self._hold_due_ms, now_ms)
        self._is_changed = True

    def on_stopped(
        self, call: runner.StopCall, reply: runner.CallReply, now_ms: int
    ) -> None:
        """Take in the answer to a stop."""
        key = (call.run.task, call.run.run_number)
        pending = self._stop_by_key.get(key)
        if pending is None or call.generation != self.generation:
            return
        pending.is_called = False
        if reply.status is runner.CallStatus.DONE:
            del self._stop_by_key[key]
            self._settled_by_key[key] = self._last_hold_id + 1
            self._hold_due_ms = min(self._hold_due_ms, now_ms)
            return
        pending.due_ms = now_ms + self._options.retry_ms

    # Outputs

    def due_calls(self, now_ms: int) -> list[Call]:
        """Return the calls to the worker that are due."""
        if self.info is None or not self.generation or self._is_gone:
            return []
        self._drop_expired(now_ms)
        found: list[Call] = []
        if self._is_hold_due(now_ms):
            found.append(self._hold(now_ms))
        if self._clock_offset_ms is None:
            return found
        worker = self.info.worker
        for key, pending in self._starting_by_key.items():
            if not pending.is_called and pending.due_ms <= now_ms:
                if not self._may_renew(now_ms):
                    continue
                self._mark(pending)
                found.append(
                    runner.StartCall(
                        worker,
                        self.generation,
                        self._deadline_ms(now_ms),
                        pending.start,
                    )
                )
        for key, pending in self._stop_by_key.items():
            if not pending.is_called and pending.due_ms <= now_ms:
                self._mark(pending)
                run = messages.RunRef(*key)
                found.append(runner.StopCall(worker, self.generation, run))
        return found

    def _drop_expired(self, now_ms: int) -> None:
        """Give up starts that took too long.

        One that was sent may still be carried out, so that it is stopped.
        """
        for key, pending in list(self._starting_by_key.items()):
            if pending.expires_ms > now_ms:
                continue
            del self._starting_by_key[key]
            self._is_changed = True
            if pending.tries:
                self._stop_by_key.setdefault(key, _Pending(due_ms=now_ms))

    @staticmethod
    def _mark(pending: _Pending) -> None:
        pending.is_called = True
        pending.tries += 1

    def _is_hold_due(self, now_ms: int) -> bool:
        """Whether to call now; a waiting call gives way to fresh news."""
        if self._hold_due_ms > now_ms:
            return False
        if not self._held_by_id:
            return True
        is_new_needed = not self._is_listed or bool(self._settled_by_key)
        latest = max(self._held_by_id)
        needed = max(self._settled_by_key.values(), default=0)
        is_covered = latest >= needed and self._is_listed
        if not self._is_listed:
            is_covered = now_ms - self._held_by_id[latest] < 500
        return is_new_needed and not is_covered

    def _hold(self, now_ms: int) -> runner.HoldCall:
        assert self.info is not None
        self._last_hold_id += 1
        self._held_by_id[self._last_hold_id] = now_ms
        is_first = not self._is_listed
        is_quick = is_first or self._settled_by_key or self._unobserved()
        deadline_ms = 0
        if self._may_renew(now_ms):
            deadline_ms = self._deadline_ms(now_ms)
        return runner.HoldCall(
            self._last_hold_id,
            self.info.worker,
            self.generation,
            deadline_ms,
            self._told_observed(),
            0 if is_quick else self._options.wait_ms,
        )

    def _told_observed(self) -> int:
        """Return what a worker may forget.

        Another life counts its ends anew, so that it must not be told the
        number of an earlier one.
        """
        assert self.info is not None
        if self._answering_boot != self.info.boot:
            return 0
        return self._observed

    def _may_renew(self, now_ms: int) -> bool:
        return (
            self._clock_offset_ms is not None
            and self._is_vouched(now_ms)
            and self._is_answering(now_ms)
        )

    def _is_vouched(self, now_ms: int) -> bool:
        """Whether the leader was known to be the leader lately."""
        return now_ms - self._vouched_ms < self._options.renew_ms

    def _deadline_ms(self, now_ms: int) -> int:
        """Return the end of a lease that begins now, by worker's clock."""
        assert self._clock_offset_ms is not None
        self._lease_end_ms = max(
            self._lease_end_ms, now_ms + self._options.lease_ms
        )
        return now_ms + self._clock_offset_ms + self._options.lease_ms

    def _unobserved(self) -> bool:
        return any(end.sequence > self._observed for end in self._ended)

    def _can_run(self, now_ms: int) -> bool:
        """Whether anything can still run on the worker."""
        if self._is_gone:
            return False
        if self._is_answering(now_ms):
            return True
        options = self._options
        slack_ms = options.lease_ms // 50 + options.margin_ms
        return now_ms < self._lease_end_ms + slack_ms

    def _is_answering(self, now_ms: int) -> bool:
        """Whether the worker answered lately.

        The lease of one that does not is not renewed, since a call may be
        carried out without an answer.
        """
        return now_ms - self._answered_ms < self._options.unanswered_ms

    def take_report(self, now_ms: int) -> messages.WorkerReport | None:
        """Return what the leader should know, if anything is due."""
        info = self.info
        if info is None:
            return None
        if not self._is_changed and now_ms < self._report_due_ms:
            return None
        self._is_changed = False
        self._report_due_ms = now_ms + self._options.report_ms
        can_run = self._can_run(now_ms)
        if not can_run:
            # Every deadline that was sent has passed: what has not started
            # cannot start any more unless it is sent again.
            self._starting_by_key.clear()
            self._settled_by_key.clear()
        unsettled = {
            **self._starting_by_key,
            **self._stop_by_key,
            **self._settled_by_key,
        }
        starting = [messages.RunRef(*key) for key in unsettled]
        return messages.WorkerReport(
            info.worker,
            info.boot,
            info.service,
            info.data_centre,
            info.rack,
            list(info.labels),
            info.cpu_millis,
            info.memory_mb,
            info.accelerators,
            info.is_draining,
            info.remaining_ms,
            self.generation,
            self._orders_sequence,
            now_ms,
            self._is_listed,
            can_run,
            list(self._running),
            [end for end in self._ended if end.sequence > self._observed],
            starting,
        )


def _life(info: runner.WorkerInfo) -> tuple[str, int]:
    return info.worker, info.boot


def _without_sequence(info: runner.WorkerInfo) -> runner.WorkerInfo:
    return dataclasses.replace(info, sequence=0, remaining_ms=0)


def _run_keys(
    running: t.Iterable[messages.RunningTask],
) -> set[RunKey]:
    return {(item.task, item.run_number) for item in running}
