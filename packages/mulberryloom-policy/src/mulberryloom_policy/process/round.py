"""Planning round: decides which jobs start, are preempted or refused."""

import heapq
import typing as t

from mulberryloom_core import exceptions

from .. import decisions
from . import actions as action_module
from . import fair_share
from . import headroom_reclaim
from . import moves
from . import placement_resolver
from . import queue as queues
from . import records
from . import reservation as reservations

if t.TYPE_CHECKING:
    from . import admission
    from . import environment

# Share of ``longest_gang_wait_ms`` after which borrowers, that is, work beyond
# the guaranteed part of its account on a worker, are preempted.
ESCALATION_SHARE = 0.5
# Gangs for which borrowers are preempted in one round, at most.
MAX_ESCALATIONS = 4

# Reason by account and group of jobs.
Blocked = dict[tuple[str, queues.GroupKey], decisions.WaitReason]


class Round:
    """One pass over the queues of the owned accounts.

    :param blocked: reason for each group of jobs that can not start now.
    :param accounts_below_guarantee: accounts that wait for a part of their
        guarantee.
    """

    __slots__ = (
        'blocked',
        'accounts_below_guarantee',
        '_actions',
        '_blocked_gangs',
        '_env',
        '_heads_by_account',
        '_now_ms',
        '_unschedulable',
    )

    def __init__(
        self,
        env: 'environment.Environment',
        unschedulable: 'admission.SchedulabilityCache',
        now_ms: int,
    ) -> None:
        self.blocked: Blocked = {}
        self.accounts_below_guarantee: set[str] = set()
        self._actions = action_module.Actions(env, now_ms)
        self._blocked_gangs: list[decisions.Job] = []
        self._env = env
        # For each account, a heap of the first jobs of its groups: order key,
        # index and key of the group.
        self._heads_by_account: dict[str, list[tuple]] = {}
        self._now_ms = now_ms
        self._unschedulable = unschedulable

    def run(self) -> list[decisions.Decision]:
        """Run the round and return its decisions."""
        self._refuse_expired()
        placement_resolver.PlacementResolver(
            self._env, self._actions, self._now_ms
        ).run()
        self._refresh_reservation()
        self._start_by_fair_share()
        self._preempt_for_overdue_gangs()
        self._move_for_reserved_gang()
        headroom_reclaim.HeadroomReclaim(
            self._env, self._actions, self._now_ms
        ).run()
        self.accounts_below_guarantee |= (
            self._env.pending_placements.accounts()
        )
        return self._actions.decisions

    def _refuse_expired(self) -> None:
        for record in self._env.records.pop_expired(self._now_ms):
            request_id = record.job.request_id
            self._actions.drop_pending(record)
            self._env.records.forget(request_id)
            ran = exceptions.Ran.NO
            if record.has_run:
                ran = exceptions.Ran.UNKNOWN
            error = exceptions.Error.from_kind(
                exceptions.ErrorKind.DEADLINE_PASSED,
                f'deadline passed '
                f'{self._now_ms - record.job.deadline_at_ms} ms ago, while '
                f'the job was queued',
                ran=ran,
            )
            self._actions.decisions.append(decisions.Refuse(request_id, error))

    # Fair share: accounts within their guarantee first, then those with the
    # lowest dominant share.

    def _start_by_fair_share(self) -> None:
        account_heap: list[tuple[bool, float, str]] = []
        for account in sorted(self._env.owned):
            queue = self._env.records.queue(account)
            heads = [
                (queues.order_key(job, self._env.options), index, group)
                for index, (job, group) in enumerate(queue.heads())
            ]
            heapq.heapify(heads)
            self._heads_by_account[account] = heads
            self._push_account(account_heap, account)
        while account_heap:
            _, _, account = heapq.heappop(account_heap)
            self._try_head(account)
            self._push_account(account_heap, account)

    def _push_account(
        self, account_heap: list[tuple[bool, float, str]], account: str
    ) -> None:
        """Push an account with its dominant share, if it has jobs left to try.

        It is borrowing if its next job does not fit the unused part of its
        guarantee.
        """
        heads = self._heads_by_account[account]
        if not heads:
            return
        env = self._env
        share = fair_share.dominant_share(
            env.fleet.used(account),
            env.fleet.capacity,
            env.weight(account),
        )
        _, _, group = heads[0]
        is_borrowing = not self._fits_guarantee(account, group)
        heapq.heappush(account_heap, (is_borrowing, share, account))

    def _fits_guarantee(self, account: str, group: queues.GroupKey) -> bool:
        if account not in self._env.packing.workers_by_account:
            return False
        job = self._env.records.queue(account).head(group)
        return self._actions.preemption_search(
            job, is_guaranteed=True
        ).fits_guarantee()

    def _try_head(self, account: str) -> None:
        """Try to start the next job of an account.

        If it can not start, its group is not tried again in this round.
        """
        heads = self._heads_by_account[account]
        _, index, group = heapq.heappop(heads)
        queue = self._env.records.queue(account)
        job = queue.head(group)
        reason = self._start(job, group)
        if reason is not None:
            self.blocked[account, group] = reason
            return
        next_job = queue.head(group)
        if next_job is not None:
            key = queues.order_key(next_job, self._env.options)
            heapq.heappush(heads, (key, index, group))

    def _start(
        self, job: decisions.Job, group: queues.GroupKey
    ) -> decisions.WaitReason | None:
        """Start a job or preempt work for it.

        :return: why neither is possible; ``None`` on success.
        """
        placements = self._actions.probe(job)
        reason = self._unschedulable.reason(self._env, job)
        if reason is not None and not placements:
            return decisions.WaitReason(
                decisions.WaitCause.UNSCHEDULABLE_TODAY, reason
            )
        placements = placements or self._actions.search(job, group.avoided)
        if placements:
            self._actions.place(job, placements)
            return None
        if self._reclaim_guarantee(job):
            return None
        return self._mark_blocked(job)

    def _reclaim_guarantee(self, job: decisions.Job) -> bool:
        """Preempt work in the guaranteed part of the account for a job.

        :return: whether that makes room for the job.
        """
        if job.account not in self._env.packing.workers_by_account:
            return False
        search = self._actions.preemption_search(job, is_guaranteed=True)
        if search.fits_guarantee():
            self.accounts_below_guarantee.add(job.account)
        return self._actions.preempt_for(job, search.find())

    # Reservation for the oldest gang

    def _refresh_reservation(self) -> None:
        env = self._env
        if env.reservation is None:
            return
        record = env.records.get(env.reservation.request_id)
        if record is None or record.phase is not records.JobPhase.WAITING:
            env.reservation = None
            return
        env.reservation = reservations.refreshed(env, record.job, self._now_ms)

    def _mark_blocked(self, job: decisions.Job) -> decisions.WaitReason:
        """Return the reason why a job waits, after a reservation if it is due.

        Resources are reserved if the job is the oldest gang.
        """
        env = self._env
        reservation = env.reservation
        if job.demand.accelerators > 1:
            self._blocked_gangs.append(job)
        if job.demand.accelerators > 1 and self._is_oldest(job):
            reservation = reservations.refreshed(env, job, self._now_ms)
            env.reservation = reservation
        if reservation and reservation.request_id == job.request_id:
            return decisions.WaitReason(
                decisions.WaitCause.RESERVED,
                f'{len(reservation.needed_by_worker)} workers are reserved '
                f'for the gang',
                max(reservation.start_ms - self._now_ms, 0),
            )
        return decisions.WaitReason(
            decisions.WaitCause.NO_CAPACITY,
            'not enough free capacity for the job',
        )

    def _is_oldest(self, job: decisions.Job) -> bool:
        """Tell whether no gang submitted earlier has the reservation."""
        reservation = self._env.reservation
        if reservation is None or reservation.request_id == job.request_id:
            return True
        other = self._env.records.get(reservation.request_id)
        return job.submitted_ms < other.job.submitted_ms

    def _preempt_for_overdue_gangs(self) -> None:
        """Preempt borrowers for blocked gangs after half of the longest wait.

        Smaller work of the same account may be preempted as well.
        """
        longest_ms = self._env.options.longest_gang_wait_ms
        threshold_ms = int(longest_ms * ESCALATION_SHARE)
        self._blocked_gangs.sort(key=lambda job: job.submitted_ms)
        for job in self._blocked_gangs[:MAX_ESCALATIONS]:
            record = self._env.records.get(job.request_id)
            if self._now_ms - record.queued_ms < threshold_ms:
                continue
            search = self._actions.preemption_search(job, is_guaranteed=False)
            self._actions.preempt_for(job, search.find())

    def _move_for_reserved_gang(self) -> None:
        """Preempt small work for the reserved gang where that pays off.

        The preempted work is expected to start again elsewhere.
        """
        env = self._env
        if env.reservation is None or not env.options.is_moving_enabled:
            return
        record = env.records.get(env.reservation.request_id)
        if record is None or record.phase is not records.JobPhase.WAITING:
            return
        wait_ms = env.reservation.start_ms - self._now_ms
        plan = self._actions.preemption_search(
            record.job, is_guaranteed=False
        ).find()
        if plan and moves.is_worthwhile(env, record.job, plan, wait_ms):
            self._actions.preempt_for(record.job, plan)
