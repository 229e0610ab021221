"""One term of leadership: the tasks that drive the leader's core."""

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

#: Pause between rounds of the clockwork without news.
TICK_MS = 100
#: Pause between looks at what changed in the store, beside notifications.
RECORD_WATCH_PAUSE_MS = 2_000
#: Pause before a write to a store that did not answer is tried again.
WRITE_RETRY_PAUSE_MS = 100
#: How old a confirmation of the leadership may be before it is renewed.
CONFIRM_MS = 900
#: How many times longer than a plan the pause after it is, so that a large
#: fleet leaves the processor to the orders and to the other tasks.
PLAN_REST_FACTOR = 3
#: Age that a confirmation by the other entries has at most.
PEER_CONFIRMATION_AGE_MS = 1_050
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class TermOwner(t.Protocol):
    """The entry that leads."""

    def send_orders(self, node: str, orders: messages.WorkerOrders) -> None:
        """Send orders to an agent."""

    def is_followed_by_all(self, generation: int) -> bool:
        """Whether every known entry follows this leader right now."""

    def end_term(self, reason: str) -> None:
        """Stop leading."""


class Term:
    """Drives a leader until it is deposed.

    :param leader: the leader's core.
    :param owner: the entry that leads.
    :param job_store: the store.
    :param revision: the store's revision when the records were read.
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
        self._rest_until_ms = 0
        self._news = asyncio.Event()
        self._writes_due = asyncio.Event()

    def start(self, tasks: background.BackgroundTasks) -> None:
        """Begin all tasks of the term."""
        for work in (
            self._run_clockwork(),
            self._write_records(),
            self._watch_records(),
            self._confirm(),
        ):
            tasks.spawn(work)

    def wake(self) -> None:
        """Have the clockwork look at what has changed."""
        self._news.set()

    def adopt(self, entries: list[store.Entry]) -> None:
        """Take in job records that were written by others."""
        self.leader.adopt(entries, self._clock.now_ms(), self._clock.wall_ms())
        self.wake()

    def end(self) -> None:
        """Let all tasks end."""
        self.leader.is_deposed = True
        self._news.set()
        self._writes_due.set()

    async def _run_clockwork(self) -> None:
        """Plan and send orders whenever something has changed."""
        leader = self.leader
        while not leader.is_deposed:
            now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
            leader.tick(now_ms, wall_ms)
            if now_ms >= self._rest_until_ms:
                self._plan(now_ms, wall_ms)
            self._writes_due.set()
            for node, orders in leader.take_orders(now_ms):
                self._owner.send_orders(node, orders)
            try:
                async with asyncio.timeout(TICK_MS / _MS_PER_S):
                    await self._news.wait()
            except TimeoutError:
                pass
            self._news.clear()

    def _plan(self, now_ms: int, wall_ms: int) -> None:
        try:
            self.leader.plan(now_ms, wall_ms)
        except Exception:
            # What runs is still looked after when planning fails.
            _log.exception('plan failed')
        spent_ms = self._clock.now_ms() - now_ms
        self._rest_until_ms = now_ms + spent_ms * (1 + PLAN_REST_FACTOR)

    async def _write_records(self) -> None:
        """Write one batch after the other, each until it is settled."""
        leader = self.leader
        while not leader.is_deposed:
            batch = leader.next_batch()
            if batch is None:
                self._writes_due.clear()
                await self._writes_due.wait()
                continue
            started_ms = self._clock.now_ms()
            answer = await self._store.call(batch.request)
            while answer.is_err() and not leader.is_deposed:
                await asyncio.sleep(WRITE_RETRY_PAUSE_MS / _MS_PER_S)
                started_ms = self._clock.now_ms()
                answer = await self._store.call(batch.request)
            if answer.is_err():
                return
            leader.settle(
                batch,
                t.cast('store.Written | store.Conflict', answer.unwrap()),
                self._clock.now_ms(),
                self._clock.wall_ms(),
            )
            if leader.is_deposed:
                self._owner.end_term('the store names another leader')
                return
            leader.confirmed_ms = started_ms
            self.wake()

    async def _watch_records(self) -> None:
        """Find records that no entry has told this leader of."""
        while not self.leader.is_deposed:
            await asyncio.sleep(RECORD_WATCH_PAUSE_MS / _MS_PER_S)
            request = store.WatchPrefix(
                keys.JOBS, self._revision, RECORD_WATCH_PAUSE_MS
            )
            answer = await self._store.call(request)
            if answer.is_err():
                answer = await self._store.call(store.ListKeys(keys.JOBS))
            if answer.is_err() or self.leader.is_deposed:
                continue
            reply = answer.unwrap()
            self._revision = reply.revision
            self.adopt([entry for entry in reply.entries if entry.value])

    async def _confirm(self) -> None:
        """Keep the leadership confirmed while there is nothing to write."""
        leader = self.leader
        while not leader.is_deposed:
            await asyncio.sleep(CONFIRM_MS / _MS_PER_S)
            now_ms = self._clock.now_ms()
            if now_ms - leader.confirmed_ms < CONFIRM_MS:
                continue
            found = await election.read_leader(self._store)
            if found.is_err():
                if self._owner.is_followed_by_all(leader.generation):
                    leader.confirmed_ms = now_ms - PEER_CONFIRMATION_AGE_MS
            elif found.unwrap().generation == leader.generation:
                leader.confirmed_ms = now_ms
            elif not leader.is_deposed:
                self._owner.end_term('the store names another leader')
