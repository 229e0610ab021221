"""Asyncio tasks that run the leader's core during one term."""

import asyncio
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core import messages
from mulberryloom_core.process import background
from mulberryloom_core import store
import structlog

from . import election
from . import keys
from . import leader as leaders

#: Longest interval between rounds of the main loop.
TICK_MS = 100
#: Polling interval for changed job records, in case a notification of the
#: entry that wrote one was lost; also the timeout of each watch request.
RECORD_WATCH_INTERVAL_MS = 2_000
#: Timeout of a watch of the evacuated data centres.
EVACUATION_WATCH_MS = 1_500
#: Pause after a failed or stale list of the evacuated data centres, and
#: before the watch after a failed one, which may fail at once.
EVACUATION_RETRY_PAUSE_MS = 200
#: Pause before a write is retried to which the store did not reply.
WRITE_RETRY_PAUSE_MS = 100
#: Age from which a confirmation of the leadership is renewed, and interval
#: of the checks of its age.
CONFIRM_INTERVAL_MS = 900
#: Length of the pause after a plan, as a multiple of the planning time.
#: Planning a large fleet thus leaves processor time for orders and other
#: tasks.
PLAN_PAUSE_FACTOR = 3
#: Largest age of a confirmation by the other entries: the age up to which
#: an entry counts the notices of its peers.
PEER_CONFIRMATION_AGE_MS = 1_050
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class TermOwner(t.Protocol):
    """Interface of the entry that leads."""

    def send_orders(self, node: str, orders: messages.WorkerOrders) -> None:
        """Send orders to an agent.

        :param node: peer name of the agent.
        """

    def is_followed_by_all(self, generation: int) -> bool:
        """Whether every known entry currently follows this leader."""

    def end_term(self, reason: str) -> None:
        """Stop leading."""


class Term:
    """Runs a leader until it is deposed.

    :param leader: sans-I/O core of the leader.
    :param owner: the entry that leads.
    :param job_store: client of the store with the job records.
    :param revision: revision of the store when the records were read.
    """

    def __init__(
        self,
        leader: leaders.Leader,
        owner: TermOwner,
        job_store: store.Store,
        clock: clocks.Clock,
        revision: int,
    ) -> None:
        self.leader = leader
        self._owner = owner
        self._store = job_store
        self._clock = clock
        self._revision = revision
        self._next_plan_ms = 0
        self._wake_event = asyncio.Event()
        self._writes_due = asyncio.Event()

    def start(self, tasks: background.BackgroundTasks) -> None:
        """Start all tasks of the term."""
        for run in (
            self._run_loop,
            self._watch_records,
            self._confirm_leadership,
        ):
            tasks.spawn_loop(run)
        tasks.spawn(self._write_records_or_resign())
        if self.leader.evacuation_prefix:
            tasks.spawn_loop(self._follow_evacuations)

    def wake(self) -> None:
        """Start the next round of the main loop at once."""
        self._wake_event.set()

    def apply_records(self, entries: list[store.Entry]) -> None:
        """Process job records that were written by other entries."""
        self.leader.apply_records(
            entries, self._clock.now_ms(), self._clock.wall_ms()
        )
        self.wake()

    def end(self) -> None:
        """Mark the leader as deposed, which ends all tasks of the term."""
        self.leader.is_deposed = True
        self._wake_event.set()
        self._writes_due.set()

    async def _run_loop(self) -> None:
        """Plan and send orders on each wake-up, at least every tick."""
        leader = self.leader
        while not leader.is_deposed:
            now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
            leader.tick(now_ms, wall_ms)
            if now_ms >= self._next_plan_ms:
                self._plan(now_ms, wall_ms)
            self._writes_due.set()
            for node, orders in leader.take_orders(now_ms):
                self._owner.send_orders(node, orders)
            try:
                async with asyncio.timeout(TICK_MS / _MS_PER_S):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
            self._wake_event.clear()

    def _plan(self, now_ms: int, wall_ms: int) -> None:
        try:
            self.leader.plan(now_ms, wall_ms)
        except Exception:
            # Orders are sent even when planning fails, so that active runs
            # keep their leases.
            _log.exception('planning failed')
        spent_ms = self._clock.now_ms() - now_ms
        self._next_plan_ms = now_ms + spent_ms * (1 + PLAN_PAUSE_FACTOR)

    async def _write_records_or_resign(self) -> None:
        """Write records; an unexpected error ends the term.

        What was in flight then is known to the store only, from which the
        next leader starts.
        """
        try:
            await self._write_records()
        except Exception:
            _log.exception('writing of records failed')
            self._owner.end_term('records cannot be written')

    async def _write_records(self) -> None:
        """Write batches one at a time, each until the store replies."""
        leader = self.leader
        while not leader.is_deposed:
            batch = leader.next_batch()
            if batch is None:
                self._writes_due.clear()
                await self._writes_due.wait()
                continue
            first_started_ms = started_ms = self._clock.now_ms()
            answer = await self._store.call(batch.request)
            while answer.is_err() and not leader.is_deposed:
                await asyncio.sleep(WRITE_RETRY_PAUSE_MS / _MS_PER_S)
                started_ms = self._clock.now_ms()
                answer = await self._store.call(batch.request)
            if answer.is_err():
                return
            leader.complete_batch(
                batch,
                t.cast('store.Written | store.Conflict', answer.unwrap()),
                self._clock.now_ms(),
                self._clock.wall_ms(),
                first_sent_ms=first_started_ms,
                last_sent_ms=started_ms,
            )
            if leader.is_deposed:
                self._owner.end_term('the store names another leader')
                return
            leader.confirmed_ms = started_ms
            self.wake()

    async def _watch_records(self) -> None:
        """Poll for records of which no notification has arrived."""
        while not self.leader.is_deposed:
            await asyncio.sleep(RECORD_WATCH_INTERVAL_MS / _MS_PER_S)
            request = store.WatchPrefix(
                keys.JOBS, self._revision, RECORD_WATCH_INTERVAL_MS
            )
            answer = await self._store.call(request)
            if answer.is_err():
                answer = await self._store.call(store.ListKeys(keys.JOBS))
            if answer.is_err() or self.leader.is_deposed:
                continue
            reply = answer.unwrap()
            self._revision = reply.revision
            self.apply_records(
                [entry for entry in reply.entries if entry.value]
            )

    async def _follow_evacuations(self) -> None:
        """Read the evacuated data centres, again after each change."""
        prefix = self.leader.evacuation_prefix
        pause_s = EVACUATION_RETRY_PAUSE_MS / _MS_PER_S
        is_watch_failed = False
        while not self.leader.is_deposed:
            answer = await self._store.call(store.ListKeys(prefix))
            if self.leader.is_deposed:
                return
            if answer.is_err():
                await asyncio.sleep(pause_s)
                continue
            reply = answer.unwrap()
            is_current = self.leader.apply_evacuations(
                reply.entries, reply.revision, self._clock.wall_ms()
            )
            self.wake()
            if not is_current:
                await asyncio.sleep(pause_s)
                continue
            if is_watch_failed:
                await asyncio.sleep(pause_s)
            is_watch_failed = not await self._await_evacuation_event(
                prefix, reply.revision
            )

    async def _await_evacuation_event(
        self, prefix: str, revision: int
    ) -> bool:
        """Wait until the evacuations may have changed.

        :param revision: revision of the last list.
        :return: ``False`` if the watch has failed.
        """
        while not self.leader.is_deposed:
            request = store.WatchPrefix(prefix, revision, EVACUATION_WATCH_MS)
            answer = await self._store.call(request)
            if answer.is_err():
                return False
            reply = answer.unwrap()
            if reply.entries:
                return True
            revision = max(revision, reply.revision)
        return True

    async def _confirm_leadership(self) -> None:
        """Confirm the leadership while no writes do so.

        If the store does not answer, the leadership also counts as
        confirmed while every known entry follows this leader.
        """
        leader = self.leader
        while not leader.is_deposed:
            await asyncio.sleep(CONFIRM_INTERVAL_MS / _MS_PER_S)
            now_ms = self._clock.now_ms()
            if now_ms - leader.confirmed_ms < CONFIRM_INTERVAL_MS:
                continue
            found = await election.read_leader(self._store)
            if found.is_err():
                if self._owner.is_followed_by_all(leader.generation):
                    leader.confirmed_ms = now_ms - PEER_CONFIRMATION_AGE_MS
            elif found.unwrap().generation == leader.generation:
                leader.confirmed_ms = now_ms
            elif not leader.is_deposed:
                self._owner.end_term('the store names another leader')
