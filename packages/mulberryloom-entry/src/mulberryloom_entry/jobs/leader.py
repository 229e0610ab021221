"""Sans-I/O core of the leader, which plans all jobs of a region.

Callers pass in the time, records and reports, and carry out the writes
and orders that the leader returns. A new leader rebuilds its state from
the job records in the store, the agents' reports and the workers' lists of
runs. The generation, which is the revision of the leader's key in the
store, serves as fencing token: the store rejects the writes of a superseded
leader, and workers reject its orders.

A run is one start of a task. A link is one incarnation of a worker with the
exchange with its agent; ``boot``, the start of the incarnation, tells the
incarnations of a worker apart. ``node`` is the peer name of an agent. An
orphan is a run of an earlier leader whose worker has not reported yet.
"""

import typing as t

from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy.jobs import ActiveRun
from mulberryloom_policy.jobs import health
from mulberryloom_policy.jobs import JobPlanner
from mulberryloom_policy.jobs import plan as plans
from mulberryloom_policy.jobs import WorkerSpeeds
import structlog

from . import agent_processes
from . import crash_attribution
from . import decisions
from . import evacuations
from . import fleet
from . import record_cache
from . import run_ends
from . import run_table
from . import startup
from .leader_options import LeaderOptions

_log = structlog.get_logger(__name__)


class Leader:
    """Tracks all jobs, workers and runs of a region during one term.

    :param generation: revision of the leader's key in the store.
    :param metrics: counters and histograms of decisions.
    :ivar evacuation_prefix: prefix of the keys of evacuated data centres;
        empty if they are not followed.
    :ivar confirmed_ms: time of the last confirmation of the leadership.
    :ivar is_deposed: whether the term is over, usually because another
        leader has superseded this one.
    """

    def __init__(
        self,
        generation: int,
        options: LeaderOptions,
        now_ms: int,
        metrics: process_metrics.ProcessMetrics | None = None,
    ) -> None:
        self.generation = generation
        self._metrics = metrics or process_metrics.ProcessMetrics()
        self.catalogue: catalogues.Catalogue | None = None
        self.is_deposed = False
        self.confirmed_ms = now_ms
        self._options = options
        self._planner = JobPlanner(options.plan)
        self._worker_speeds = WorkerSpeeds()
        self._term_started_ms = now_ms
        self.evacuation_prefix = options.evacuation_prefix
        self._evacuations = evacuations.Evacuations(
            options.evacuation_prefix, generation
        )
        self._records = record_cache.JobRecordCache(
            generation, options.evacuation_prefix
        )
        self._decision_log = decisions.DecisionLog()
        self._link_by_key: dict[fleet.WorkerKey, fleet.WorkerLink] = {}
        self._key_by_node: dict[str, fleet.WorkerKey] = {}
        self._agent_processes = agent_processes.AgentProcesses()
        self._runs = run_table.RunTable(
            self._records,
            self._decision_log,
            self._metrics,
            self._link_by_key,
            options.plan,
            now_ms,
            self._worker_speeds,
        )
        self._crashes = crash_attribution.CrashAttribution(
            self._records, self._runs, self._decision_log, self._metrics
        )
        self._run_ends = run_ends.RunEnds(
            self._records,
            self._runs,
            self._decision_log,
            self._metrics,
            self._worker_speeds,
            self._planner.failure_attribution,
        )
        self._startup = startup.Startup(options, self._runs, now_ms)
        self._known_job_ids: dict[str, None] = {}
        self._needs_plan = True
        self._last_sequence = 0
        self._blocked_reason_by_step: dict[tuple[str, int], str] = {}
        self.batch_in_flight = False

    # Jobs and their records

    def apply_records(
        self, entries: list[store.Entry], now_ms: int, wall_ms: int
    ) -> None:
        """Process job records that were read from the store."""
        self._decision_log.wall_ms = wall_ms
        for entry in entries:
            job = self._records.apply_entry(entry)
            if job is not None:
                self._on_new_or_cancelled_job(job, now_ms, wall_ms)

    def _on_new_or_cancelled_job(
        self, job: jobs.Job, now_ms: int, wall_ms: int
    ) -> None:
        self._needs_plan = True
        if job.job_id not in self._known_job_ids:
            self._known_job_ids[job.job_id] = None
            for task in job.active_tasks():
                self._runs.add_orphan(job, task, now_ms)
        if job.is_cancelled:
            self._run_ends.end_job(job, wall_ms, 'cancelled')

    def job_state(self, job_id: str) -> jobs.JobState | None:
        """Return the stored state of a job, ``None`` if it is unknown."""
        return self._records.stored_state(job_id)

    def decisions_on(self, job_id: str) -> list[dict[str, t.Any]]:
        """Return this leader's decisions on a job, oldest first."""
        return self._decision_log.list_for(job_id)

    def pending_count(self, queue: str) -> int:
        """Return how many jobs of a queue have not started.

        Jobs with repetitions are not counted.
        """
        found = (self._records.find(job_id) for job_id in self._known_job_ids)
        return sum(
            job is not None
            and job.terms.queue == queue
            and not job.spec.repeats
            and job.state is jobs.JobState.QUEUED
            for job in found
        )

    def update_gauges(self) -> None:
        """Update the leader's gauges."""
        links = self._link_by_key.values()
        self._metrics.set_gauge('workers', len(links))
        self._metrics.set_gauge(
            'unresponsive_workers',
            sum(link.capacity.is_unresponsive for link in links),
        )
        self._metrics.set_gauge('active_runs', len(self._runs.run_by_key))
        self._metrics.set_gauge('known_jobs', len(self._known_job_ids))
        self._metrics.set_gauge('unwritten_jobs', self._records.dirty_count)
        self._evacuations.update_gauge(self._metrics)
        slowest, fastest = self._worker_speeds.range_permille
        self._metrics.set_gauge('worker_speed_min', slowest)
        self._metrics.set_gauge('worker_speed_max', fastest)

    def next_batch(self) -> record_cache.Batch | None:
        """Return the next write; the previous one must be completed."""
        return self._records.next_batch()

    def complete_batch(
        self,
        batch: record_cache.Batch,
        reply: store.Written | store.Conflict,
        now_ms: int,
        wall_ms: int,
        *,
        first_sent_ms: int | None = None,
        last_sent_ms: int | None = None,
    ) -> None:
        """Process the store's reply to a write.

        :param first_sent_ms: when the write was sent for the first time; by
            default now.
        :param last_sent_ms: when the attempt was sent that was answered; by
            default now.
        """
        self._decision_log.wall_ms = wall_ms
        self._runs.now_ms = now_ms
        outcome = self._records.complete_batch(batch, reply)
        if outcome.is_deposed:
            self.is_deposed = True
            return
        if outcome.evacuation_entries:
            self._metrics.count('evacuation_conflicts_total')
            self._on_evacuation_change(
                self._evacuations.apply_conflict(outcome.evacuation_entries),
                'conflict',
            )
        # An earlier attempt has written the records that a conflict shows
        # as stored.
        sent_ms = last_sent_ms
        if isinstance(reply, store.Conflict):
            sent_ms = first_sent_ms
        for event in outcome.recorded_events:
            if isinstance(event, record_cache.RunRecorded):
                self._on_run_recorded(
                    event.run, now_ms if sent_ms is None else sent_ms
                )
            else:
                self._on_end_recorded(event)
        for job in outcome.changed_jobs:
            self._on_new_or_cancelled_job(job, now_ms, wall_ms)

    def _on_run_recorded(self, run: ActiveRun, sent_ms: int) -> None:
        """Let the start of a run be sent.

        :param sent_ms: when the write of its record was sent.
        """
        run.is_recorded = True
        if self._options.start_order_valid_ms:
            run.start_expires_ms = sent_ms + self._options.start_order_valid_ms
        link = self._link_by_key.get(run.incarnation_key)
        if run.is_stopping:
            self._runs.discard(run, 'stopped before the start was sent')
        elif link is None:
            self._runs.discard(run, 'worker was removed')
        elif link.capacity.data_centre in self._evacuations.names:
            self._runs.withdraw(run, evacuations.REASON)
        else:
            link.has_pending_orders = True

    def _on_end_recorded(self, end: record_cache.EndRecorded) -> None:
        link = self._link_by_key.get((end.worker, end.boot))
        if link is not None:
            link.unrecorded_end_sequences.discard(end.sequence)
            link.has_pending_orders = True

    # Evacuations

    def apply_evacuations(
        self, entries: list[store.Entry], revision: int, wall_ms: int
    ) -> bool:
        """Process a list of the keys of all evacuated data centres.

        :param revision: revision of the store at the time of the read.
        :return: whether the list was current; a stale one is ignored.
        """
        self._decision_log.wall_ms = wall_ms
        change = self._evacuations.apply_list(entries, revision)
        self._on_evacuation_change(change, 'list')
        return not change.is_stale

    def _on_evacuation_change(
        self, change: evacuations.EvacuationChange, learned_by: str
    ) -> None:
        """Log a change, and withdraw the runs that have not begun.

        An inherited run is left to its worker's lists, since its order may
        have been sent by an earlier leader.
        """
        for name, revision in change.ended_by_name.items():
            self._needs_plan = True
            _log.info('evacuation ended', data_centre=name, revision=revision)
        for name, revision in change.begun_by_name.items():
            self._needs_plan = True
            links = [
                link
                for link in self._link_by_key.values()
                if link.capacity.data_centre == name
            ]
            runs = [
                run
                for link in links
                for run in link.capacity.run_by_key.values()
            ]
            _log.info(
                evacuations.REASON,
                data_centre=name,
                revision=revision,
                learned_by=learned_by,
                workers=len(links),
                running=sum(run.is_confirmed for run in runs),
            )
            for run in runs:
                if not (run.is_confirmed or run.is_inherited):
                    self._runs.withdraw(run, evacuations.REASON)

    # Workers

    def on_report(
        self,
        node: str,
        report: messages.WorkerReport,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Process an agent's report on its worker.

        :param node: peer name of the agent.
        """
        self._decision_log.wall_ms = wall_ms
        self._runs.now_ms = now_ms
        if not report.worker:
            return
        if not self._agent_processes.is_present(node):
            _log.warning(
                'report of an earlier agent process ignored',
                agent=node,
                worker=report.worker,
                boot=report.boot,
            )
            return
        known = self._link_by_key.get((report.worker, report.boot))
        if known is not None and known.vm != identity.vm_of(node):
            _log.warning(
                'report of a worker on another VM ignored',
                agent=node,
                worker=report.worker,
                boot=report.boot,
                vm=known.vm,
            )
            return
        if report.crashed_runs:
            for job in self._crashes.apply(node, report):
                self._run_ends.end_job_if_final(job, wall_ms)
        link = self._link_for(node, report, now_ms)
        if link.update(report, now_ms):
            link.capacity.recompute_free()
            self._needs_plan = True
        if report.generation != self.generation:
            link.has_pending_orders = True
            return
        if not report.is_alive:
            self._on_lease_expired(link, report)
            return
        if not report.is_listed:
            return
        if not link.is_synced:
            link.is_synced = True
            link.has_pending_orders = True
            _log.info(
                'worker adopted',
                worker=report.worker,
                boot=report.boot,
                agent=node,
                running=len(report.running),
                age_ms=now_ms - self._term_started_ms,
            )
            self._startup.on_worker_synced(now_ms)
            self._needs_plan = True
        self._on_running(link, report, now_ms)
        self._on_ends(link, report, now_ms, wall_ms)
        self._discard_unlisted_runs(link, report)

    def _on_lease_expired(
        self, link: fleet.WorkerLink, report: messages.WorkerReport
    ) -> None:
        """Discard the runs of a worker whose lease has expired.

        A start that the agent has not processed yet is kept, since it may
        still be carried out once the worker answers again.
        """
        for run in list(link.capacity.run_by_key.values()):
            if not run.is_recorded:
                continue
            is_start_processed = run.is_inherited or (
                0 < run.sent_sequence <= report.orders_sequence
            )
            if run.is_confirmed or is_start_processed:
                self._runs.discard(run, 'worker lease expired')

    def _link_for(
        self, node: str, report: messages.WorkerReport, now_ms: int
    ) -> fleet.WorkerLink:
        """Return the link of a reporting worker, creating it if needed.

        A new worker replaces earlier ones on its VM. A known one may report
        through another process of its agent.
        """
        key = (report.worker, report.boot)
        previous_key = self._key_by_node.get(node)
        if previous_key is not None and previous_key[0] != key[0]:
            self._remove_worker(previous_key, 'replaced by another worker')
        link = self._link_by_key.get(key)
        if link is None:
            link = fleet.link_from_report(node, report, now_ms)
            self._worker_speeds.adopt(link.vm, report.speed_permille, now_ms)
            self._link_by_key[key] = link
            link.capacity.run_by_key.update(
                self._runs.orphans_by_worker.pop(key, {})
            )
            self._discard_earlier_incarnations(
                link, report, previous_key, now_ms
            )
            link.capacity.recompute_free()
        elif link.node != node:
            self._key_by_node.pop(link.node, None)
            link.reset_session(node)
        self._key_by_node[node] = key
        return link

    def on_session(self, node: str) -> None:
        """Handle a new session with an agent.

        Orders are sent again, since some may have been lost.

        :param node: peer name of the agent.
        """
        self._agent_processes.on_session(node)
        key = self._key_by_node.get(node)
        if key is not None:
            self._link_by_key[key].reset_session(node)

    def on_session_lost(self, node: str) -> None:
        """Handle the end of a session with an agent.

        :param node: peer name of the agent.
        """
        self._agent_processes.on_session_lost(node)

    def worker_fields(self, node: str) -> dict[str, t.Any]:
        """Return the fields of a log line about an agent's worker.

        :param node: peer name of the agent.
        :return: the worker, its incarnation and its number of tracked runs;
            empty if the agent has not reported.
        """
        key = self._key_by_node.get(node)
        if key is None:
            return {}
        runs = self._link_by_key[key].capacity.run_by_key
        return {'worker': key[0], 'boot': key[1], 'runs': len(runs)}

    def _discard_earlier_incarnations(
        self,
        link: fleet.WorkerLink,
        report: messages.WorkerReport,
        previous_key: fleet.WorkerKey | None,
        now_ms: int,
    ) -> None:
        """Discard the runs of earlier workers on the same VM.

        A VM runs one worker at a time. A restarted worker may keep its id,
        so that a start in transit may reach the new incarnation. Such a
        run, and one that the new incarnation lists, is moved there and
        stopped before its task can start again.

        :param report: first report on the new incarnation.
        :param previous_key: incarnation that the same agent process reported
            before. It is an earlier one, even if the time of day has stepped
            back since its start.
        """
        worker, boot = link.key
        listed = fleet.listed_runs(report)
        earlier_keys = [
            key
            for key, vm in self._runs.vm_by_worker().items()
            if vm == link.vm and (key[1] < boot or key == previous_key)
        ]
        for key in earlier_keys:
            earlier_link = self._link_by_key.get(key)
            runs = (
                earlier_link.capacity.run_by_key
                if earlier_link
                else self._runs.orphans_by_worker[key]
            )
            for run in list(runs.values()):
                if key[0] == worker and (
                    run.key in listed or self._is_start_in_transit(run, now_ms)
                ):
                    del runs[run.key]
                    run.incarnation_key = link.key
                    run.is_stopping = True
                    link.capacity.run_by_key[run.key] = run
            self._runs.discard_orphans(key, 'worker restarted')
            self._remove_worker(key, 'worker restarted')

    def _is_start_in_transit(self, run: ActiveRun, now_ms: int) -> bool:
        """Whether an order to start a run may still be in transit."""
        if not run.is_recorded:
            return False
        age_ms = now_ms - max(run.sent_ms, run.started_ms)
        return age_ms < self._options.order_ttl_ms

    def _on_running(
        self,
        link: fleet.WorkerLink,
        report: messages.WorkerReport,
        now_ms: int,
    ) -> None:
        """Update the listed runs; have those not tracked stopped."""
        listed_ms = now_ms - report.lists_age_ms
        known_before = set(link.unknown_runs)
        link.unknown_runs.clear()
        for item in report.running:
            key = (item.task, item.run_number)
            run = link.capacity.run_by_key.get(key)
            if run is None:
                link.unknown_runs.add(key)
                link.has_pending_orders = True
                if key not in known_before:
                    self._metrics.count('untracked_runs_total')
                    _log.warning(
                        'untracked run listed',
                        task=item.task,
                        run=item.run_number,
                        worker=report.worker,
                        boot=report.boot,
                        age_ms=now_ms - self._term_started_ms,
                    )
                continue
            if not run.is_confirmed:
                run.confirm(item.progress, listed_ms, now_ms)
                self._metrics.observe_ms(
                    'start_duration_ms', now_ms - run.started_ms
                )
                run.sent_sequence = run.sent_sequence or link.sequence or 1
                self._runs.record_decision(
                    'run confirmed',
                    run,
                    after_ms=now_ms - run.started_ms,
                )
            if item.progress > run.progress:
                has_stalled = health.is_stalled(
                    run, self._options.plan, is_worker_unresponsive=False
                )
                run.record_listing(item.progress, listed_ms, now_ms)
                self._worker_speeds.note_progress(
                    run, link.capacity, has_stalled=has_stalled
                )
            else:
                run.record_listing(item.progress, listed_ms, now_ms)
            if run.task.crashes:
                self._crashes.clear_survivor(run)
            if item.checkpoint and item.checkpoint != run.task.checkpoint:
                self._run_ends.set_checkpoint(run, item.checkpoint)
                self._records.mark_checkpointed(run.job.job_id, now_ms)
        link.sent_stops &= set(link.capacity.run_by_key) | link.unknown_runs

    def _on_ends(
        self,
        link: fleet.WorkerLink,
        report: messages.WorkerReport,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        for end in sorted(report.ended, key=lambda item: item.sequence):
            if end.sequence <= link.last_end_sequence:
                continue
            link.last_end_sequence = end.sequence
            link.has_pending_orders = True
            run = link.capacity.run_by_key.get((end.task, end.run_number))
            if run is None:
                self._run_ends.on_unmatched_end(link, end, wall_ms)
                continue
            self._run_ends.on_end(link, run, end, now_ms, wall_ms)

    def _discard_unlisted_runs(
        self, link: fleet.WorkerLink, report: messages.WorkerReport
    ) -> None:
        """Discard runs that the worker neither lists nor will start.

        A partial list tells nothing of the runs that it lacks.
        """
        if report.is_partial:
            return
        listed = fleet.listed_runs(report)
        for key, run in list(link.capacity.run_by_key.items()):
            if key in listed or not run.is_recorded:
                continue
            if not run.sent_sequence and not run.is_inherited:
                continue
            if run.is_stopping and key not in link.sent_stops:
                # The worker may have restarted after it was sent the start;
                # only the stop tells that the run cannot start any more.
                continue
            if run.sent_sequence <= report.orders_sequence:
                self._runs.discard(run, 'worker does not list the run')

    def _remove_worker(self, key: fleet.WorkerKey, reason: str) -> None:
        """Remove an incarnation of a worker that can run nothing."""
        link = self._link_by_key.get(key)
        if link is None:
            return
        _log.info(
            'worker removed',
            worker=key[0],
            boot=key[1],
            reason=reason,
            **link.report_fields(self._runs.now_ms),
        )
        self._runs.discard_all_of(link, reason)
        del self._link_by_key[key]
        self._key_by_node.pop(link.node, None)

    # Timeouts, plans and orders

    def tick(self, now_ms: int, wall_ms: int) -> None:
        """Remove silent workers, orphaned runs and expired jobs."""
        self._decision_log.wall_ms = wall_ms
        self._runs.now_ms = now_ms
        options = self._options
        for key, link in list(self._link_by_key.items()):
            if now_ms - link.reported_ms > options.worker_timeout_ms:
                self._remove_worker(
                    key, f'no report for {now_ms - link.reported_ms} ms'
                )
        if (
            now_ms - self._term_started_ms
            > options.worker_timeout_ms + options.confirmation_valid_ms
        ):
            for key in list(self._runs.orphans_by_worker):
                self._runs.discard_orphans(
                    key, 'worker did not report to this leader'
                )
        self._records.mark_due_checkpoints(now_ms)
        for job_id in list(self._known_job_ids):
            self._forget_if_expired(job_id, wall_ms)

    def _forget_if_expired(self, job_id: str, wall_ms: int) -> None:
        job = self._records.find(job_id)
        if job is None:
            del self._known_job_ids[job_id]
            self._decision_log.forget(job_id)
            return
        retention_ms = self._options.ended_job_retention_ms
        if not job.ended_ms or wall_ms - job.ended_ms <= retention_ms:
            return
        if not any(job.active_tasks()):
            self._records.delete(job_id)
            del self._known_job_ids[job_id]
            self._decision_log.forget(job_id)

    def plan(self, now_ms: int, wall_ms: int) -> None:
        """Start and stop runs, if a new plan is due."""
        if self.catalogue is None or not self._evacuations.is_ready:
            return
        is_starting_up = self._startup.is_in_progress(now_ms)
        if is_starting_up and not (
            self._link_by_key and self._startup.is_quiet(now_ms)
        ):
            return
        interval_ms = self._options.replan_interval_ms
        if self._blocked_reason_by_step:
            interval_ms = self._options.waiting_replan_interval_ms
        is_replan_due = now_ms - self._runs.planned_ms >= interval_ms
        if not (self._needs_plan or self._runs.has_changed or is_replan_due):
            return
        self._needs_plan = False
        self._runs.has_changed = False
        self._runs.planned_ms = now_ms
        capacities = [
            link.capacity
            for link in self._link_by_key.values()
            if link.is_synced
        ]
        self._worker_speeds.begin_round(capacities)
        found = (self._records.find(job_id) for job_id in self._known_job_ids)
        # A job with an end is final; its tasks need not be looked at.
        open_jobs = [
            job
            for job in found
            if job and not job.ended_ms and not job.state.is_final
        ]
        plan = self._planner.plan(
            open_jobs,
            capacities,
            self.catalogue,
            now_ms,
            wall_ms,
            # Workers that have not reported yet may have free resources.
            may_preempt=not is_starting_up,
            max_priority=self._startup.max_priority(now_ms),
            evacuated=self._evacuations.names,
        )
        if not is_starting_up:
            accounts = self.catalogue.account_by_name.values()
            self._evacuations.check_fleet(
                capacities,
                sum(account.guaranteed_accelerators for account in accounts),
            )
        for link in self._link_by_key.values():
            link.log_responsiveness()
        for stop in plan.stops:
            self._runs.stop(stop.run, stop.reason)
            self._runs.stop_other_members(stop.run, stop.reason)
        for start in plan.starts:
            self._start_run(start, now_ms, wall_ms)
        self._record_blocked_steps(plan.blocked)

    def _record_blocked_steps(self, blocked: list[plans.Blocked]) -> None:
        """Record why steps wait, whenever the reason changes."""
        reason_by_step = {
            (item.job.job_id, item.step_index): item.reason for item in blocked
        }
        for key, reason in reason_by_step.items():
            if self._blocked_reason_by_step.get(key) != reason:
                self._decision_log.record(
                    'step waiting', key[0], step=key[1], reason=reason
                )
        self._blocked_reason_by_step = reason_by_step

    def _start_run(
        self, start: plans.Start, now_ms: int, wall_ms: int
    ) -> None:
        job, task, worker = start.job, start.task, start.worker
        step = job.step_of(task.key)
        number = task.last_run + 1
        if step.is_gang:
            members = job.tasks_of(task.key.repetition, task.key.step)
            started = [m.run.number for m in members if m.run]
            number = max([m.last_run for m in members]) + 1
            number = started[0] if started else number
        if not job.has_started:
            self._metrics.observe_ms(
                'job_wait_ms', max(0, wall_ms - job.accepted_ms)
            )
        task.last_run = number
        link = self._link_by_key[worker.worker, worker.boot]
        task.run = jobs.Run(number, worker.worker, worker.boot, link.vm)
        run = ActiveRun(
            job,
            task,
            task.run,
            step,
            (worker.worker, worker.boot),
            now_ms,
            last_progress_ms=now_ms,
        )
        self._runs.run_by_key[run.key] = run
        worker.run_by_key[run.key] = run
        self._runs.record_decision(
            'run planned',
            run,
            free_accelerators=worker.free_accelerators,
            free_cpu=worker.free_cpu,
            speed=worker.speed_permille / 1_000,
        )
        self._records.mark_dirty(
            job.job_id, record_cache.RunRecorded(run, worker.data_centre)
        )

    def take_orders(
        self, now_ms: int
    ) -> list[tuple[str, messages.WorkerOrders]]:
        """Return the due orders with the peer names of their agents."""
        options = self._options
        is_leadership_confirmed = (
            now_ms - self.confirmed_ms < options.confirmation_valid_ms
        )
        orders = []
        for link in self._link_by_key.values():
            is_heartbeat_due = (
                now_ms - link.sent_ms >= options.heartbeat_interval_ms
            )
            if not link.has_pending_orders and not is_heartbeat_due:
                continue
            for run in link.expired_starts(now_ms):
                self._runs.withdraw(run, 'start order expired')
            for run in link.excess_starts():
                self._runs.withdraw(run, 'worker has shrunk')
            self._last_sequence += 1
            link_orders = link.take_orders(
                self.generation,
                self._last_sequence,
                now_ms,
                is_leadership_confirmed=is_leadership_confirmed,
                speed_permille=self._worker_speeds.permille_of(link.vm),
            )
            orders.append((link.node, link_orders))
        return orders
