"""State of one worker and the calls to it that are due, without I/O.

The caller passes in heartbeats, orders and replies, and makes the calls
that :meth:`WorkerSupervisor.due_calls` returns. A hold call renews the
worker's lease and returns its lists of running and ended runs. These lists
are authoritative; the supervisor adds only the starts and stops whose effect
they do not show yet.
"""

import enum
import typing as t

from mulberryloom_core import messages
import structlog

from . import crash_history
from . import heartbeat_changes
from . import heartbeat_order
from . import pending_orders
from . import progress_monitor
from . import worker_calls
from . import worker_candidates
from .supervisor_options import WorkerSupervisorOptions

#: A call to the worker.
Call: t.TypeAlias = (
    worker_calls.HoldCall | worker_calls.StartCall | worker_calls.StopCall
)
#: Task name and run number.
RunKey: t.TypeAlias = tuple[str, int]
#: Outcomes of a start call that hold for every call that starts the run:
#: calls that the worker carries out later have the same outcome.
_FINAL_START_STATUSES = frozenset(
    {
        worker_calls.CallStatus.DONE,
        worker_calls.CallStatus.SUPERSEDED,
        worker_calls.CallStatus.FENCED,
    }
)
#: Outcomes of calls that the worker has not answered.
_UNANSWERED_STATUSES = frozenset(
    {worker_calls.CallStatus.UNKNOWN, worker_calls.CallStatus.NOT_LISTENING}
)

_log = structlog.get_logger(__name__)


class HeartbeatOutcome(enum.Enum):
    """What became of a heartbeat; the value is the label of the metric."""

    ACCEPTED = 'accepted'
    UNVERIFIED = 'unverified'
    OTHER_WRITER = 'other-writer'
    LATE = 'late'


class WorkerSupervisor:
    """Tracks one worker: its lease, its runs, pending starts and stops.

    All times are milliseconds on the agent's monotonic clock unless
    stated otherwise.

    :ivar info: last heartbeat of the worker that runs on this VM by its own
        answer; ``None`` before the first answer.
    :ivar generation: generation of the leader that is followed; ``0``
        before the first.
    """

    def __init__(self, options: WorkerSupervisorOptions, now_ms: int) -> None:
        self._options = options
        self.info: worker_calls.WorkerInfo | None = None
        self._heartbeat_ms = now_ms
        self._heartbeat_order = heartbeat_order.HeartbeatOrder(0)
        self._other_descriptions = heartbeat_changes.OtherDescriptions()
        self.generation = 0
        self._orders_sequence = 0
        #: Speed of this VM as learned by the leaders, kept for later ones.
        self._speed_permille = 0
        #: Time of the last report that was echoed by a leader which had
        #: confirmed its leadership.
        self._leader_confirmed_ms = now_ms - options.renewal_window_ms
        #: Number of the last ended run that the leader has recorded.
        self._acknowledged_sequence = 0
        #: Number up to which the worker has forgotten its ended runs.
        self._forgotten_sequence = 0
        #: Start of the incarnation that replied to the last hold call.
        self._last_reply_boot = 0
        self._candidates = worker_candidates.WorkerCandidates(
            options.retry_delay_ms, options.candidate_ttl_ms
        )
        self._running: tuple[messages.RunningTask, ...] = ()
        self._ended: tuple[messages.EndedTask, ...] = ()
        self._is_partial = False
        self._progress = progress_monitor.ProgressMonitor()
        self._crashes = crash_history.CrashHistory(options.order_ttl_ms)
        #: When the call was sent that returned the lists.
        self._lists_requested_ms = 0
        #: Whether the lists were read from this incarnation of the worker
        #: under the leader that is followed.
        self._has_current_lists = False
        self._pending_start_by_key: dict[
            RunKey, pending_orders.PendingStart
        ] = {}
        self._pending_stop_by_key: dict[
            RunKey, pending_orders.PendingStop
        ] = {}
        #: Latest time at which a start call that was sent may be carried out,
        #: by the run that it starts.
        self._start_ttl_end_ms_by_key: dict[RunKey, int] = {}
        #: Runs whose start or stop succeeded, with the id of the first
        #: hold call whose lists are certain to show the effect.
        self._confirming_hold_id_by_key: dict[RunKey, int] = {}
        self._last_hold_id = 0
        self._applied_hold_id = 0
        #: Send times of the hold calls that have not returned.
        self._hold_sent_ms_by_id: dict[int, int] = {}
        self._hold_due_ms = now_ms
        #: Worker's clock minus the agent's.
        self._clock_offset_ms: int | None = None
        # An earlier process of this agent may have renewed the lease for
        # its full duration just before.
        self._lease_end_ms = now_ms + options.lease_ms
        #: Time from which the worker carries out no call of that process.
        self._predecessor_calls_end_ms = (
            self._lease_end_ms + options.lease_slack_ms
        )
        self._last_reply_ms = now_ms
        #: When the worker last reported less capacity than before.
        self._shrunk_ms = 0
        #: Whether the worker has announced its exit, and whether it is gone.
        self._is_leaving = False
        self._has_left = False
        #: Whether the last report said that runs may go on.
        self._could_run = True
        self._last_active_ms = now_ms
        self._resumed_ms = now_ms - options.resumption_ms
        self._report_due_ms = now_ms
        self._has_unreported_changes = True

    # Inputs

    def on_heartbeat(
        self, info: worker_calls.WorkerInfo, now_ms: int
    ) -> HeartbeatOutcome:
        """Apply a heartbeat.

        One of another incarnation than the present one takes effect only
        once that worker has answered a call.
        """
        previous = self.info
        if previous is None or info.incarnation != previous.incarnation:
            self._candidates.add(info, now_ms)
            return HeartbeatOutcome.UNVERIFIED
        if heartbeat_changes.fixed_fields(
            info
        ) != heartbeat_changes.fixed_fields(previous):
            if not self._is_own_description(info, now_ms):
                return HeartbeatOutcome.OTHER_WRITER
            self._heartbeat_order = heartbeat_order.HeartbeatOrder(
                info.sequence
            )
        else:
            if info.sequence != previous.sequence:
                self._other_descriptions.clear()
            if not self._heartbeat_order.accept(info.sequence, now_ms):
                return HeartbeatOutcome.LATE
        if heartbeat_changes.has_shrunk(info, previous):
            self._on_shrunk(info, now_ms)
        if info.is_draining and not previous.is_draining:
            self._on_draining(info, now_ms)
        if not info.is_draining:
            # A worker drains before it leaves, so the notice of leave was
            # that of an earlier incarnation.
            self._is_leaving = False
            self._has_left = False
        if heartbeat_changes.without_volatile_fields(
            info
        ) != heartbeat_changes.without_volatile_fields(previous):
            self._has_unreported_changes = True
        self.info = info
        self._heartbeat_ms = now_ms
        return HeartbeatOutcome.ACCEPTED

    def _is_own_description(
        self, info: worker_calls.WorkerInfo, now_ms: int
    ) -> bool:
        """Whether other fixed fields than those adopted are the worker's.

        One that does not answer may be frozen, so that only the heartbeats
        of other writers come.
        """
        assert self.info is not None
        is_own = False
        if self._is_worker_responsive(now_ms):
            is_own = self._other_descriptions.add(info, now_ms)
        else:
            self._other_descriptions.clear()
        _log.warning(
            'worker described anew'
            if is_own
            else 'heartbeat of another writer ignored',
            worker=info.worker,
            boot=info.boot,
            expected=heartbeat_changes.fixed_fields(self.info),
            received=heartbeat_changes.fixed_fields(info),
        )
        if is_own:
            self._other_descriptions.clear()
        return is_own

    def _on_draining(self, info: worker_calls.WorkerInfo, now_ms: int) -> None:
        _log.info(
            'worker draining',
            worker=info.worker,
            remaining_ms=info.remaining_ms,
        )
        self._abandon_unsent_starts(now_ms)

    def _on_shrunk(self, info: worker_calls.WorkerInfo, now_ms: int) -> None:
        """Abandon the starts that the leader planned with more capacity."""
        _log.info(
            'worker has shrunk',
            worker=info.worker,
            cpu_millis=info.cpu_millis,
            memory_mb=info.memory_mb,
            accelerators=info.accelerators,
        )
        self._shrunk_ms = now_ms
        for key in list(self._pending_start_by_key):
            self._abandon_start(key, now_ms)

    def _on_new_incarnation(
        self, info: worker_calls.WorkerInfo, received_ms: int, now_ms: int
    ) -> None:
        """Replace the present incarnation by one that has answered a call.

        Everything that is known about the earlier one is discarded.

        :param received_ms: when the heartbeat was received.
        """
        if self.info is not None:
            self._crashes.end_incarnation(
                *self.info.incarnation,
                now_ms,
                is_planned=self.info.is_draining or self._is_leaving,
            )
        is_restarted = self.info and self.info.worker == info.worker
        # Replies to calls of before may come from an earlier incarnation.
        self._candidates.restart_calls()
        self.info = info
        self._heartbeat_order = heartbeat_order.HeartbeatOrder(info.sequence)
        self._other_descriptions.clear()
        self._heartbeat_ms = received_ms
        self._has_unreported_changes = True
        self._last_reply_boot = 0
        _log.info(
            'new worker incarnation',
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
        self._is_partial = False
        self._progress = progress_monitor.ProgressMonitor()
        self._has_current_lists = False
        self._shrunk_ms = 0
        self._is_leaving = False
        self._has_left = False
        self._acknowledged_sequence = 0
        self._forgotten_sequence = 0
        self._pending_start_by_key.clear()
        self._pending_stop_by_key.clear()
        if is_restarted:
            self._stop_recent_starts(now_ms)
        self._confirming_hold_id_by_key.clear()
        self._hold_sent_ms_by_id.clear()
        self._applied_hold_id = self._last_hold_id
        self._clock_offset_ms = None
        self._lease_end_ms = now_ms + self._options.lease_ms
        self._last_reply_ms = now_ms
        self._hold_due_ms = now_ms

    def _stop_recent_starts(self, now_ms: int) -> None:
        """Stop the runs whose start calls may reach a restarted worker.

        It does not know what was stopped or has ended at its earlier
        incarnation, and its clock has started anew, so that the deadlines of
        those calls have not passed.
        """
        for key, end_ms in self._start_ttl_end_ms_by_key.items():
            if end_ms > now_ms:
                self._pending_stop_by_key[key] = pending_orders.PendingStop(
                    next_attempt_ms=now_ms, expires_ms=end_ms
                )

    def on_leave(self, worker: str, now_ms: int) -> None:
        """Apply the notice that the worker exits.

        The worker counts as gone only once nothing listens at its address:
        the notice precedes the exit, and one of an earlier incarnation of
        the same name may arrive late.
        """
        if self.info is None or self.info.worker != worker:
            return
        _log.info(
            'worker leaving',
            worker=worker,
            boot=self.info.boot,
            running=len(self._running),
        )
        self._is_leaving = True
        self._hold_due_ms = now_ms

    def follow(self, generation: int, now_ms: int) -> bool:
        """Switch to a leader of a higher generation.

        :return: whether the leader is new.
        """
        if generation <= self.generation:
            return False
        _log.info(
            'following new leader',
            generation=generation,
            previous_generation=self.generation,
        )
        self.generation = generation
        self._orders_sequence = 0
        self._has_current_lists = False
        self._candidates.restart_calls()
        self._pending_start_by_key.clear()
        self._pending_stop_by_key.clear()
        self._hold_sent_ms_by_id.clear()
        self._applied_hold_id = self._last_hold_id
        self._hold_due_ms = now_ms
        self._has_unreported_changes = True
        return True

    def on_orders(self, orders: messages.WorkerOrders, now_ms: int) -> None:
        """Apply orders of the leader; those of deposed leaders are ignored."""
        self.follow(orders.generation, now_ms)
        if orders.generation != self.generation or self.info is None:
            return
        self._leader_confirmed_ms = max(
            self._leader_confirmed_ms, orders.echo_ms
        )
        if orders.speed_permille:
            self._speed_permille = orders.speed_permille
        if (orders.worker, orders.boot) != self.info.incarnation:
            self._has_unreported_changes = True
            return
        is_superseded = orders.sequence <= self._orders_sequence
        self._orders_sequence = max(self._orders_sequence, orders.sequence)
        if orders.observed > self._acknowledged_sequence:
            self._acknowledged_sequence = orders.observed
            self._hold_due_ms = now_ms
        expires_ms = orders.echo_ms + self._options.renewal_window_ms
        for start in orders.starts:
            if is_superseded:
                # A report that was sent after the later orders did not
                # list this run, so the leader may have given it up.
                _log.warning(
                    'start refused', task=start.task, reason='overtaken'
                )
                continue
            if orders.echo_ms < self._shrunk_ms:
                key = (start.task, start.run_number)
                self._refuse_start(key, 'worker has shrunk', now_ms)
                continue
            self._on_start_ordered(start, expires_ms, now_ms)
        for run in orders.stops:
            self._on_stop_ordered(run, now_ms)
        if orders.starts or orders.stops:
            self._has_unreported_changes = True

    def _on_start_ordered(
        self, start: messages.StartRun, expires_ms: int, now_ms: int
    ) -> None:
        """Queue a start.

        :param expires_ms: time after which the leader may have given the
            start up, so that a delayed one must not be sent any more.
        """
        assert self.info is not None
        key = (start.task, start.run_number)
        if (
            key in self._pending_start_by_key
            or key in self._pending_stop_by_key
        ):
            return
        if self.info.is_draining or self._has_left:
            self._refuse_start(key, 'draining', now_ms)
            return
        if expires_ms <= now_ms:
            self._refuse_start(key, 'expired', now_ms)
            return
        self._pending_start_by_key[key] = pending_orders.PendingStart(
            next_attempt_ms=now_ms, start=start, expires_ms=expires_ms
        )

    def _refuse_start(self, key: RunKey, reason: str, now_ms: int) -> None:
        """Do not send a start that was ordered.

        An earlier process of the agent may have sent it, so that its run is
        stopped.
        """
        task, run_number = key
        _log.info('start refused', task=task, run=run_number, reason=reason)
        if self._may_predecessor_have_calls(now_ms):
            self._stop_unless_listed(key, now_ms)

    def _on_stop_ordered(self, run: messages.RunRef, now_ms: int) -> None:
        key = (run.task, run.run_number)
        self._pending_start_by_key.pop(key, None)
        pending = self._pending_stop_by_key.setdefault(
            key, pending_orders.PendingStop(next_attempt_ms=now_ms)
        )
        pending.expires_ms = now_ms + self._options.order_ttl_ms
        pending.spares_listed_run = False

    def _abandon_unsent_starts(self, now_ms: int) -> None:
        """Abandon starts that this process has not sent to the worker."""
        for key, pending in list(self._pending_start_by_key.items()):
            if not pending.is_in_flight and not pending.attempts:
                self._abandon_start(key, now_ms)

    def _abandon_start(self, key: RunKey, now_ms: int) -> None:
        """Do not send a start any more.

        If the worker may still carry out a call without a reply, the run is
        stopped, and the reports name it until the stop is answered.
        """
        pending = self._pending_start_by_key.pop(key)
        self._has_unreported_changes = True
        is_call_open = pending.is_in_flight or pending.unanswered_attempts
        if is_call_open or self._may_predecessor_have_calls(now_ms):
            self._stop_unless_listed(key, now_ms)

    def _may_predecessor_have_calls(self, now_ms: int) -> bool:
        """Whether the worker may carry out calls of an earlier process.

        Such a process of this agent has set no deadline beyond the lease that
        is assumed at the start.
        """
        return now_ms < self._predecessor_calls_end_ms

    def _stop_unless_listed(self, key: RunKey, now_ms: int) -> None:
        """Stop a run that the leader has ordered to start.

        It goes on if the worker lists it as running before the stop is sent.
        """
        if key in _run_keys(self._running):
            return
        self._pending_stop_by_key.setdefault(
            key,
            pending_orders.PendingStop(
                next_attempt_ms=now_ms,
                # The deadlines of all start calls lie within the lease.
                expires_ms=max(
                    self._lease_end_ms + self._options.lease_slack_ms,
                    self._predecessor_calls_end_ms,
                ),
                spares_listed_run=True,
            ),
        )

    # Replies of the worker

    def on_hold_reply(
        self,
        call: worker_calls.HoldCall,
        reply: worker_calls.HoldReply,
        now_ms: int,
    ) -> None:
        """Apply the reply to a hold call."""
        self._detect_suspension(now_ms)
        candidate = self._candidates.on_reply(call, reply, now_ms)
        if candidate is not None:
            self._on_new_incarnation(
                candidate.info, candidate.received_ms, now_ms
            )
            self._hold_sent_ms_by_id[call.call_id] = candidate.sent_ms
            self._applied_hold_id = call.call_id
        sent_ms = self._hold_sent_ms_by_id.pop(call.call_id, None)
        if sent_ms is None or self.info is None:
            return
        if reply.status is not worker_calls.CallStatus.DONE:
            self._on_hold_failed(call, reply, now_ms)
            return
        self._last_reply_boot = reply.boot or self.info.boot
        if self._last_reply_boot != self.info.boot:
            self._on_successor_reply(now_ms)
            return
        self._last_reply_ms = now_ms
        if reply.clock_ms:
            self._clock_offset_ms = reply.clock_ms - now_ms
        if call.call_id >= self._applied_hold_id:
            # Replies can arrive out of order; older lists are ignored.
            self._applied_hold_id = call.call_id
            self._apply_lists(call, reply, sent_ms, now_ms)

    def _on_successor_reply(self, now_ms: int) -> None:
        """Handle a reply of a later incarnation that sent no heartbeat yet.

        The present one has ended. Without the clock offset, no lease is
        renewed and no start is sent until its successor is known.
        """
        self._clock_offset_ms = None
        self._hold_due_ms = now_ms + self._options.poll_interval_ms

    def _apply_lists(
        self,
        call: worker_calls.HoldCall,
        reply: worker_calls.HoldReply,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Replace the lists of runs by those of a reply.

        :param sent_ms: when the call was sent.
        """
        for key, hold_id in list(self._confirming_hold_id_by_key.items()):
            if call.call_id >= hold_id:
                del self._confirming_hold_id_by_key[key]
        if (
            not self._has_current_lists
            or _run_keys(reply.running) != _run_keys(self._running)
            or reply.ended != self._ended
            or reply.is_partial != self._is_partial
        ):
            self._has_unreported_changes = True
        self._progress.on_list(reply.running, now_ms)
        is_standing_still = self._progress.is_standing_still(now_ms)
        if is_standing_still:
            self._has_unreported_changes = True
        if reply.is_partial != self._is_partial:
            _log.info(
                'run lists are partial'
                if reply.is_partial
                else 'run lists are whole again',
                worker=call.worker,
                running=len(reply.running),
                ended=len(reply.ended),
            )
        self._running = reply.running
        self._ended = reply.ended
        self._is_partial = reply.is_partial
        self._lists_requested_ms = sent_ms
        self._has_current_lists = True
        self._crashes.note_lists(
            _run_keys(self._running),
            {(end.task, end.run_number) for end in self._ended},
            now_ms,
            is_partial=reply.is_partial,
        )
        self._note_forgotten_ends(call)
        self._resolve_listed_starts()
        if self._has_unacknowledged_ends() or is_standing_still:
            self._hold_due_ms = now_ms + self._options.poll_interval_ms
        else:
            self._hold_due_ms = now_ms

    def _note_forgotten_ends(self, call: worker_calls.HoldCall) -> None:
        """Note whether the worker has forgotten the acknowledged ends.

        :param call: the call that returned the present lists.
        """
        has_acknowledged_ends = any(
            end.sequence <= self._acknowledged_sequence for end in self._ended
        )
        if has_acknowledged_ends or self._is_partial:
            # Partial lists may lack ends that the worker keeps.
            self._forgotten_sequence = 0
        else:
            self._forgotten_sequence = max(
                self._forgotten_sequence, call.observed
            )

    def _on_hold_failed(
        self,
        call: worker_calls.HoldCall,
        reply: worker_calls.HoldReply,
        now_ms: int,
    ) -> None:
        self._hold_due_ms = now_ms + self._options.retry_delay_ms
        if reply.status in _UNANSWERED_STATUSES:
            self._crashes.note_failure(now_ms)
        if reply.status is worker_calls.CallStatus.NOT_LISTENING:
            if self._is_leaving:
                _log.info('worker left', worker=call.worker)
                self._has_left = True
                self._has_unreported_changes = True
            return
        if reply.status is not worker_calls.CallStatus.UNKNOWN:
            _log.warning(
                'lease renewal rejected',
                worker=call.worker,
                generation=call.generation,
                status=reply.status.value,
            )

    def _resolve_listed_starts(self) -> None:
        """Settle pending starts of runs that the lists contain.

        Replies can arrive out of order: the lists of a hold call that was
        sent earlier may still lack these runs.
        """
        listed = _run_keys(self._running)
        ended = {(end.task, end.run_number) for end in self._ended}
        for key in list(self._pending_start_by_key):
            if key in listed or key in ended:
                del self._pending_start_by_key[key]
                self._confirming_hold_id_by_key[key] = self._last_hold_id + 1
        for key, pending in list(self._pending_stop_by_key.items()):
            is_unsent = not pending.attempts
            if pending.spares_listed_run and is_unsent and key in listed:
                del self._pending_stop_by_key[key]

    def on_start_reply(
        self,
        call: worker_calls.StartCall,
        reply: worker_calls.CallReply,
        now_ms: int,
    ) -> None:
        """Apply the reply to a start call."""
        key = (call.start.task, call.start.run_number)
        pending = self._pending_start_by_key.get(key)
        if pending is None or call.generation != self.generation:
            return
        pending.is_in_flight = False
        status = reply.status
        if status in _UNANSWERED_STATUSES:
            self._crashes.note_failure(now_ms)
        elif status is not worker_calls.CallStatus.OTHER_INCARNATION:
            self._crashes.note_answer()
        _log.info(
            'start call returned',
            task=call.start.task,
            run=call.start.run_number,
            status=status.value,
            attempts=pending.attempts,
            unanswered=pending.unanswered_attempts,
        )
        if status in (
            worker_calls.CallStatus.UNKNOWN,
            worker_calls.CallStatus.EXPIRED,
        ):
            pending.next_attempt_ms = now_ms + self._options.retry_delay_ms
            if status is worker_calls.CallStatus.UNKNOWN:
                pending.unanswered_attempts += 1
            return
        if status not in _FINAL_START_STATUSES:
            if not pending.unanswered_attempts:
                self._crashes.forget_unlisted(key)
            self._abandon_start(key, now_ms)
        else:
            del self._pending_start_by_key[key]
        if status in (
            worker_calls.CallStatus.DONE,
            worker_calls.CallStatus.SUPERSEDED,
        ):
            # The run may have ended already, by an earlier call.
            self._confirming_hold_id_by_key[key] = self._last_hold_id + 1
        self._hold_due_ms = min(self._hold_due_ms, now_ms)
        self._has_unreported_changes = True

    def on_stop_reply(
        self,
        call: worker_calls.StopCall,
        reply: worker_calls.CallReply,
        now_ms: int,
    ) -> None:
        """Apply the reply to a stop call."""
        key = (call.run.task, call.run.run_number)
        pending = self._pending_stop_by_key.get(key)
        if pending is None or call.generation != self.generation:
            return
        pending.is_in_flight = False
        if reply.status is worker_calls.CallStatus.DONE:
            del self._pending_stop_by_key[key]
            self._crashes.forget_unlisted(key)
            self._confirming_hold_id_by_key[key] = self._last_hold_id + 1
            self._hold_due_ms = min(self._hold_due_ms, now_ms)
            return
        pending.next_attempt_ms = now_ms + self._options.retry_delay_ms

    # Outputs

    def due_calls(self, now_ms: int) -> list[Call]:
        """Return the calls to the worker that are due."""
        self._detect_suspension(now_ms)
        if not self.generation:
            return []
        calls: list[Call] = []
        for info in self._candidates.list_due(now_ms):
            calls.append(self._make_verification_call(info, now_ms))
        if self.info is None or self._has_left:
            return calls
        self._abandon_expired_starts(now_ms)
        self._drop_expired_stops(now_ms)
        if self._is_hold_due(now_ms):
            calls.append(self._make_hold_call(now_ms))
        worker = self.info.worker
        for key, pending in self._pending_start_by_key.items():
            if not pending.is_in_flight and pending.next_attempt_ms <= now_ms:
                if not self._can_renew(now_ms):
                    continue
                self._mark_sent(pending)
                self._crashes.note_start(key, now_ms)
                self._start_ttl_end_ms_by_key[key] = (
                    now_ms + self._options.order_ttl_ms
                )
                calls.append(
                    worker_calls.StartCall(
                        worker,
                        self.generation,
                        self._extend_lease(now_ms),
                        pending.start,
                    )
                )
        for key, pending in self._pending_stop_by_key.items():
            if pending.spares_listed_run and not self._has_current_lists:
                continue
            if not pending.is_in_flight and pending.next_attempt_ms <= now_ms:
                self._mark_sent(pending)
                run = messages.RunRef(*key)
                calls.append(
                    worker_calls.StopCall(worker, self.generation, run)
                )
        return calls

    def _detect_suspension(self, now_ms: int) -> None:
        duration_ms = now_ms - self._last_active_ms
        self._last_active_ms = now_ms
        if duration_ms < self._options.suspension_ms:
            return
        _log.warning(
            'agent was suspended',
            duration_ms=duration_ms,
            running=len(self._running),
        )
        self._resumed_ms = now_ms
        # The worker's clock may have stood still meanwhile, and deadlines by
        # the old offset would lie too far ahead.
        self._clock_offset_ms = None
        self._hold_due_ms = now_ms

    def _abandon_expired_starts(self, now_ms: int) -> None:
        for key, pending in list(self._pending_start_by_key.items()):
            if pending.expires_ms <= now_ms:
                self._abandon_start(key, now_ms)

    def _drop_expired_stops(self, now_ms: int) -> None:
        """Drop stops of runs that neither run nor can start any more."""
        for key, end_ms in list(self._start_ttl_end_ms_by_key.items()):
            if end_ms <= now_ms:
                del self._start_ttl_end_ms_by_key[key]
        if not self._has_current_lists:
            return
        running = _run_keys(self._running)
        for key, pending in list(self._pending_stop_by_key.items()):
            is_expired = pending.expires_ms <= self._lists_requested_ms
            if is_expired and key not in running:
                del self._pending_stop_by_key[key]
                self._has_unreported_changes = True

    @staticmethod
    def _mark_sent(pending: pending_orders.PendingOrder) -> None:
        pending.is_in_flight = True
        pending.attempts += 1

    def _is_hold_due(self, now_ms: int) -> bool:
        """Whether to send a hold call now.

        While another hold call is open, the next one is due only when newer
        lists are needed than the open call returns. While there are no
        current lists, or the worker's clock is unknown, the next one is due
        500 ms after the latest call.
        """
        if self._hold_due_ms > now_ms:
            return False
        if not self._hold_sent_ms_by_id:
            return True
        latest_id = max(self._hold_sent_ms_by_id)
        if not self._has_current_lists or self._clock_offset_ms is None:
            return now_ms - self._hold_sent_ms_by_id[latest_id] >= 500
        needed_id = max(self._confirming_hold_id_by_key.values(), default=0)
        return latest_id < needed_id

    def _make_hold_call(self, now_ms: int) -> worker_calls.HoldCall:
        assert self.info is not None
        self._last_hold_id += 1
        self._hold_sent_ms_by_id[self._last_hold_id] = now_ms
        is_immediate = (
            not self._has_current_lists
            or self._clock_offset_ms is None
            or self._confirming_hold_id_by_key
            or self._has_unacknowledged_ends()
            or self._progress.is_standing_still(now_ms)
        )
        deadline_ms = 0
        if self._can_renew(now_ms):
            deadline_ms = self._extend_lease(now_ms)
        return worker_calls.HoldCall(
            self._last_hold_id,
            self.info.worker,
            self.generation,
            deadline_ms,
            self._acknowledgement_to_send(),
            0 if is_immediate else self._options.wait_ms,
            self.info.boot,
        )

    def _make_verification_call(
        self, info: worker_calls.WorkerInfo, now_ms: int
    ) -> worker_calls.HoldCall:
        """Ask a candidate for its lists, without a lease for its runs."""
        self._last_hold_id += 1
        self._candidates.mark_called(info, self._last_hold_id, now_ms)
        return worker_calls.HoldCall(
            self._last_hold_id, info.worker, self.generation, 0, 0, 0
        )

    def _acknowledgement_to_send(self) -> int:
        """Return the number up to which the worker may forget ended runs.

        Each incarnation of a worker numbers its ended runs from the start,
        so a new one must not be sent a number of an earlier one. A call may
        be carried out late, by a restarted worker, so a number is sent only
        until the worker has forgotten those ends.
        """
        assert self.info is not None
        if self._last_reply_boot != self.info.boot:
            return 0
        if self._forgotten_sequence >= self._acknowledged_sequence:
            return 0
        return self._acknowledged_sequence

    def _can_renew(self, now_ms: int) -> bool:
        """Whether a new lease deadline may be sent to the worker."""
        return (
            self._clock_offset_ms is not None
            and self._is_leader_confirmed(now_ms)
            and self._is_worker_responsive(now_ms)
        )

    def _is_leader_confirmed(self, now_ms: int) -> bool:
        """Whether the leader confirmed its leadership recently enough."""
        return (
            now_ms - self._leader_confirmed_ms
            < self._options.renewal_window_ms
        )

    def _extend_lease(self, now_ms: int) -> int:
        """Record a lease that begins now.

        :return: its end on the worker's clock.
        """
        assert self._clock_offset_ms is not None
        self._lease_end_ms = max(
            self._lease_end_ms, now_ms + self._options.lease_ms
        )
        return now_ms + self._clock_offset_ms + self._options.lease_ms

    def _has_unacknowledged_ends(self) -> bool:
        return any(
            end.sequence > self._acknowledged_sequence for end in self._ended
        )

    def _can_run(self, now_ms: int) -> bool:
        """Whether a run may still be running, or its end be unknown.

        After a suspension of the agent the lists are as old as the
        suspension, so the worker gets time to reply: its runs may have ended
        before the lease expired.
        """
        if self._has_left:
            return False
        if self._is_worker_responsive(now_ms):
            return True
        options = self._options
        if now_ms - self._resumed_ms < options.resumption_ms:
            return True
        return now_ms < self._lease_end_ms + options.lease_slack_ms

    def _is_worker_responsive(self, now_ms: int) -> bool:
        """Whether the worker replied recently enough.

        The lease of an unresponsive worker is not renewed, since the
        worker may carry out a call whose reply is lost.
        """
        return now_ms - self._last_reply_ms < self._options.worker_timeout_ms

    def take_report(self, now_ms: int) -> messages.WorkerReport | None:
        """Return the report to the leader, if one is due."""
        info = self.info
        if info is None:
            return None
        can_run = self._can_run(now_ms)
        has_expired = self._could_run and not can_run
        is_due = has_expired or now_ms >= self._report_due_ms
        if not (is_due or self._has_unreported_changes):
            return None
        self._has_unreported_changes = False
        self._report_due_ms = now_ms + self._options.report_interval_ms
        if has_expired:
            _log.warning(
                'worker lease counts as expired',
                worker=info.worker,
                boot=info.boot,
                has_left=self._has_left,
                running=len(self._running),
                reply_age_ms=now_ms - self._last_reply_ms,
                lease_age_ms=now_ms - self._lease_end_ms,
            )
        self._could_run = can_run
        if not can_run:
            # All deadlines that were sent have passed: a run that has not
            # started can start only if it is sent again.
            self._pending_start_by_key.clear()
            self._confirming_hold_id_by_key.clear()
        # Starts and stops whose effect the lists may not show yet; the
        # report names all of them as starting.
        unsettled = {
            **self._pending_start_by_key,
            **self._pending_stop_by_key,
            **self._confirming_hold_id_by_key,
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
            self._has_current_lists,
            can_run,
            list(self._running),
            [
                end
                for end in self._ended
                if end.sequence > self._acknowledged_sequence
            ],
            starting,
            warmup_left_ms=max(
                0, info.warmup_left_ms - (now_ms - self._heartbeat_ms)
            ),
            lists_age_ms=now_ms - self._lists_requested_ms,
            speed_permille=self._speed_permille,
            crashed_runs=self._crashes.recent(now_ms),
            is_partial=self._is_partial,
        )


def _run_keys(
    running: t.Iterable[messages.RunningTask],
) -> set[RunKey]:
    return {(item.task, item.run_number) for item in running}
