"""An entry of the job path: its tasks, its peers and its part as leader."""

import asyncio
import dataclasses
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import node as nodes
from mulberryloom_core.connection import options as session_options
from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import tally
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
import orjson
from result import Err
from result import Ok
from result import Result
import structlog

from . import calls
from . import catalogue_follower
from . import election
from . import gateway
from . import intake
from . import keys
from . import leader as leaders
from . import store_codec

#: Pause between an entry's notices to its peers.
NOTICE_MS = 350
#: Pause between rounds of the leader's clockwork.
TICK_MS = 100
#: How long another entry may take to answer a question about a job.
PEER_TIMEOUT_MS = 400
#: Pause between looks at what changed in the store, beside notifications.
RECORD_WATCH_PAUSE_MS = 2_000
#: Life of an entry's registration without renewal, and its renewal.
REGISTRATION_TTL_MS = 15_000
REGISTRATION_RENEW_MS = 5_000
#: Pause before a write to a store that did not answer is tried again.
WRITE_RETRY_PAUSE_MS = 100
#: How old a confirmation of the leadership may be before it is renewed.
CONFIRM_MS = 900
#: Sessions that fall silent are replaced soon, since agents keep leases
#: alive only while they hear from the leader.
SESSION_OPTIONS = session_options.SessionOptions(
    ping_interval_ms=700,
    silence_ms=1_800,
    lost_after_ms=2_000,
    reconnect_max_ms=600,
    close_ms=300,
)
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIdentity:
    """What an entry is to its peers.

    :param node: name of the VM.
    :param address: where peers connect.
    :param secret: secret of the deployment.
    :param seeds: peer addresses to start from.
    """

    node: str
    address: identity.Address
    secret: bytes
    seeds: tuple[identity.Address, ...] = ()


@dataclasses.dataclass(slots=True)
class _Peer:
    """Another entry, as its last notice describes it."""

    notice: messages.EntryNotice
    heard_ms: int


class JobEntry:
    """One entry; construct it with :meth:`from_parts`.

    :ivar intake: requests about jobs.
    """

    def __init__(
        self,
        me: EntryIdentity,
        direct_store: store.Store,
        source: catalogue_follower.CatalogueSource,
        clock: clocks.Clock,
        options: leaders.LeaderOptions,
    ) -> None:
        self._me = me
        self._clock = clock
        self._options = options
        self._election = election.ElectionOptions()
        self.name = identity.process_name(me.node)
        self.tally = tally.Tally()
        self._node = nodes.Node.from_identity(
            identity.PeerId(identity.Role.ENTRY, self.name, 1),
            me.secret,
            clock,
            SESSION_OPTIONS,
        )
        self._calls = calls.PeerCalls(self._node)
        self.store = gateway.StoreGateway(
            direct_store, self._calls, self._relay_peers, clock, self.tally
        )
        self._follower = catalogue_follower.CatalogueFollower(
            source, self.store, self._on_catalogue
        )
        self.intake = intake.Intake(self.store, self, clock, self.tally)
        self._peer_by_name: dict[str, _Peer] = {}
        self._agent_names: set[str] = set()
        self._addresses: dict[identity.Address, None] = dict.fromkeys(me.seeds)
        self._addresses[me.address] = None
        self._record = election.LeaderRecord()
        self._heard_leader_ms = clock.now_ms()
        self._leader: leaders.Leader | None = None
        self._wake = asyncio.Event()
        self._writes_due = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopping = False
        self._is_fetching = False

    @classmethod
    def from_parts(
        cls,
        me: EntryIdentity,
        direct_store: store.Store,
        source: catalogue_follower.CatalogueSource,
        options: leaders.LeaderOptions | None = None,
        clock: clocks.Clock | None = None,
    ) -> 'JobEntry':
        """Build an entry that has opened nothing yet."""
        return cls(
            me,
            direct_store,
            source,
            clock or clocks.SystemClock(),
            options or leaders.LeaderOptions(),
        )

    # For those who serve callers

    @property
    def catalogue(self) -> catalogues.Catalogue | None:
        """The configuration in force, once there is one."""
        return self._follower.catalogue

    @property
    def is_leading(self) -> bool:
        """Whether this entry believes to lead."""
        return self._leader is not None

    @property
    def is_ready(self) -> bool:
        """Whether callers should come here."""
        if self._is_stopping or self.catalogue is None:
            return False
        silent_ms = self._clock.now_ms() - self.store.reached_ms
        return silent_ms < self._options.silent_ms or self._has_peers()

    def _has_peers(self) -> bool:
        return bool(self._fresh_peers())

    def metrics(self) -> str:
        """Return all counters, gauges and histograms as text."""
        self.tally.gauge('is_leading', int(self.is_leading))
        self.tally.gauge('is_ready', int(self.is_ready))
        self.tally.gauge('catalogue_version', self._follower.version)
        self.tally.gauge('known_entries', len(self._fresh_peers()) + 1)
        self.tally.gauge('agent_sessions', len(self._agent_names))
        if self._leader is not None:
            self._leader.update_gauges()
        return '\n'.join([*self.tally.lines(), ''])

    # Life

    async def start(self) -> None:
        """Open the peers' port and begin all tasks."""
        await self._node.listen(self._me.address)
        for address in self._addresses:
            self._connect(address)
        for work in (
            self._receive(),
            self._follower.run(),
            self._send_notices(),
            self._watch_leader(),
            self._register(),
        ):
            self._spawn(work)
        _log.info('entry started', entry=self.name, seeds=len(self._me.seeds))

    def begin_stop(self) -> None:
        """Hand the leadership over; requests are served on."""
        if self._is_stopping:
            return
        self._is_stopping = True
        _log.info('entry stopping', entry=self.name, leads=self.is_leading)
        self._spawn(self._resign())

    async def close(self) -> None:
        """End all tasks and sessions."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._node.close()
        _log.info('entry stopped', entry=self.name)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('task failed', exc_info=task.exception())

    # Peers

    def _connect(self, address: identity.Address) -> None:
        if address != self._me.address:
            self._node.connect(address)

    async def _receive(self) -> None:
        while True:
            event = await self._node.receive()
            try:
                self._on_event(event)
            except Exception:
                _log.exception('event failed', event=type(event).__name__)

    def _on_event(self, event: t.Any) -> None:
        match event:
            case effects.PeerConnected(peer):
                self._on_connected(peer)
            case effects.PeerLost(peer):
                self._peer_by_name.pop(peer.name, None)
                self._agent_names.discard(peer.name)
            case effects.Received(peer, message):
                self._on_message(peer.name, message)

    def _on_connected(self, peer: identity.PeerId) -> None:
        if peer.role is identity.Role.AGENT:
            self._agent_names.add(peer.name)
            if self._leader is not None:
                self._leader.on_session(peer.name)
        self._node.send(effects.Send(peer.role, peer.name, self._notice()))

    def _on_message(self, sender: str, message: messages.Message) -> None:
        match message:
            case messages.WorkerReport():
                self._on_report(sender, message)
            case messages.EntryNotice():
                self._on_notice(sender, message)
            case messages.EntryCall():
                self._spawn(self._answer(sender, message))
            case messages.EntryReply():
                self._calls.on_reply(message)
            case _:
                _log.warning(
                    'message not expected',
                    peer=sender,
                    message=type(message).__name__,
                )

    def _on_report(self, sender: str, report: messages.WorkerReport) -> None:
        if self._leader is None:
            return
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self._leader.on_report(sender, report, now_ms, wall_ms)
        self._wake.set()

    def _on_notice(self, sender: str, notice: messages.EntryNotice) -> None:
        now_ms = self._clock.now_ms()
        self._peer_by_name[sender] = _Peer(notice, now_ms)
        for text in notice.entries:
            address = identity.Address.from_text(text)
            if address not in self._addresses:
                self._addresses[address] = None
                self._connect(address)
        if notice.leader_generation > self._record.generation:
            self._follow(
                election.LeaderRecord(
                    notice.leader,
                    notice.leader_address,
                    notice.leader_generation,
                )
            )
        if notice.is_leading and sender == self._record.name:
            self._heard_leader_ms = now_ms
            if notice.is_stopping:
                self._heard_leader_ms = now_ms - self._election.silent_ms
        if notice.catalogue_version > self._follower.version:
            self._fetch_catalogue(sender)

    def _follow(self, record: election.LeaderRecord) -> None:
        """Believe that another entry leads."""
        _log.info(
            'leader known',
            leader=record.name,
            generation=record.generation,
            previous=self._record.generation,
        )
        self._record = record
        self._heard_leader_ms = self._clock.now_ms()
        if self._leader is not None and record.name != self.name:
            self._step_down('another entry leads')

    def _fetch_catalogue(self, peer: str) -> None:
        if not self._is_fetching:
            self._is_fetching = True
            self._spawn(self._fetch_catalogue_from(peer))

    async def _fetch_catalogue_from(self, peer: str) -> None:
        try:
            answer = await self._calls.ask(
                peer,
                calls.CallKind.CATALOGUE,
                timeout_ms=PEER_TIMEOUT_MS,
            )
        finally:
            self._is_fetching = False
        if answer.is_ok() and answer.unwrap():
            self._follower.offer(answer.unwrap(), peer)

    def _fresh_peers(self) -> list[str]:
        """Return the entries that were heard lately, by name."""
        limit_ms = self._clock.now_ms() - 3 * NOTICE_MS
        return sorted(
            name
            for name, peer in self._peer_by_name.items()
            if peer.heard_ms >= limit_ms
        )

    def _relay_peers(self) -> list[str]:
        return self._fresh_peers()

    def _notice(self) -> messages.EntryNotice:
        return messages.EntryNotice(
            str(self._me.address),
            self._record.name,
            self._record.address,
            self._record.generation,
            self._leader is not None,
            self._is_stopping,
            self._follower.version,
            [str(address) for address in self._addresses],
        )

    async def _send_notices(self) -> None:
        while True:
            self._broadcast()
            await asyncio.sleep(NOTICE_MS / _MS_PER_S)

    def _broadcast(self, *, with_agents: bool = False) -> None:
        notice = self._notice()
        for name in self._peer_by_name:
            self._send_entry(name, notice)
        if with_agents:
            for name in self._agent_names:
                role = identity.Role.AGENT
                self._node.send(effects.Send(role, name, notice))

    def _send_entry(self, name: str, message: messages.Message) -> None:
        self._node.send(effects.Send(identity.Role.ENTRY, name, message))

    async def _answer(self, sender: str, call: messages.EntryCall) -> None:
        result = await self._result_of(call)
        if not call.call_id:
            return
        if result.is_ok():
            reply = messages.EntryReply(call.call_id, '', result.unwrap())
        else:
            error = result.unwrap_err()
            reply = messages.EntryReply(call.call_id, error.kind.value, b'')
        self._send_entry(sender, reply)

    async def _result_of(
        self, call: messages.EntryCall
    ) -> Result[bytes, exceptions.Error]:
        match calls.CallKind(call.kind):
            case calls.CallKind.JOB_CHANGED:
                revision = int(call.argument)
                job_id = orjson.loads(call.body)['id']
                key = keys.job_key(job_id)
                self._adopt([store.Entry(key, call.body, revision)])
                return Ok(b'')
            case calls.CallKind.JOB_STATE:
                state = await self.job_state(call.argument, is_asked=True)
                return Ok(state.value.encode() if state else b'')
            case calls.CallKind.PENDING_COUNT:
                if self._leader is None:
                    return _not_leading()
                count = self._leader.pending_count(call.argument)
                return Ok(str(count).encode())
            case calls.CallKind.CATALOGUE:
                return Ok(self._follower.document)
            case calls.CallKind.STORE:
                return await self._relay_store(call.body)

    async def _relay_store(
        self, body: bytes
    ) -> Result[bytes, exceptions.Error]:
        request = store_codec.decode_request(body)
        answer = await self.store.call_direct(request)
        if answer.is_err():
            return Err(answer.unwrap_err())
        return Ok(store_codec.encode_reply(answer.unwrap()))

    # Access to the leader

    def notify_changed(self, entry: store.Entry) -> None:
        """Tell the leader of a record that was written."""
        if self._leader is not None:
            self._adopt([entry])
        elif self._record.name in self._peer_by_name:
            self._calls.tell(
                self._record.name,
                calls.CallKind.JOB_CHANGED,
                str(entry.revision),
                entry.value,
            )

    async def job_state(
        self, job_id: str, *, is_asked: bool = False
    ) -> jobs.JobState | None:
        """Return what the leader knows of a job; ``None`` if nothing.

        :param is_asked: whether another entry asks, so that the question
            is not passed on.
        """
        if self._leader is not None:
            return self._leader.job_state(job_id)
        if is_asked or self._record.name not in self._peer_by_name:
            return None
        answer = await self._calls.ask(
            self._record.name,
            calls.CallKind.JOB_STATE,
            job_id,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        if answer.is_err() or not answer.unwrap():
            return None
        return jobs.JobState(answer.unwrap().decode())

    async def pending_count(self, queue: str) -> int | None:
        """Return the leader's count; ``None`` when it is not reached."""
        if self._leader is not None:
            return self._leader.pending_count(queue)
        if self._record.name not in self._peer_by_name:
            return None
        answer = await self._calls.ask(
            self._record.name,
            calls.CallKind.PENDING_COUNT,
            queue,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        return None if answer.is_err() else int(answer.unwrap())

    def _adopt(self, entries: list[store.Entry]) -> None:
        if self._leader is None:
            return
        self._leader.adopt(
            entries, self._clock.now_ms(), self._clock.wall_ms()
        )
        self._wake.set()

    def _on_catalogue(self, found: catalogues.Catalogue) -> None:
        if self._leader is not None:
            self._leader.catalogue = found
            self._wake.set()
        self._broadcast()

    # Election

    async def _watch_leader(self) -> None:
        """Take over when nobody leads."""
        found = await election.read_leader(self.store)
        if found.is_ok() and found.unwrap().generation:
            self._follow(found.unwrap())
        while True:
            await asyncio.sleep(TICK_MS / _MS_PER_S)
            if self._leader is not None or self._is_stopping:
                continue
            silent_ms = self._clock.now_ms() - self._heard_leader_ms
            if silent_ms >= self._patience_ms():
                await self._try_to_lead()

    def _patience_ms(self) -> int:
        """Return for how long this entry waits for a silent leader.

        Entries wait in the order of their names, so that they do not all
        try at once.
        """
        names = [*self._fresh_peers(), self.name]
        rank = sum(name < self.name for name in names)
        options = self._election
        silent_ms = options.replaced_ms
        if not self._is_leader_replaced():
            silent_ms = options.silent_ms
        return silent_ms + rank * options.stagger_ms

    def _is_leader_replaced(self) -> bool:
        """Whether another process runs on the leader's VM by now."""
        leader_vm = identity.vm_of(self._record.name)
        return any(
            identity.vm_of(name) == leader_vm and name != self._record.name
            for name in [*self._fresh_peers(), self.name]
        )

    async def _try_to_lead(self) -> None:
        seen = await election.read_leader(self.store)
        if seen.is_err():
            return
        record = seen.unwrap()
        if record.generation > self._record.generation:
            # The new leader gets the time to be heard.
            self._follow(record)
            return
        me = election.LeaderRecord(self.name, str(self._me.address))
        result = await election.take_over(self.store, me, record)
        if result.is_err():
            return
        leader = result.unwrap()
        self._follow(leader)
        if leader.name == self.name:
            await self._lead(leader.generation)

    async def _lead(self, generation: int) -> None:
        """Rebuild the state of all jobs, then lead."""
        now_ms = self._clock.now_ms()
        leader = leaders.Leader(generation, self._options, now_ms, self.tally)
        self.tally.count('leader_terms_total')
        entries = await self._read_records()
        if entries is None:
            _log.warning('records not read', generation=generation)
            self._heard_leader_ms = 0
            return
        leader.catalogue = self.catalogue
        listed, revision = entries
        leader.adopt(listed, self._clock.now_ms(), self._clock.wall_ms())
        self._leader = leader
        _log.info(
            'leading',
            generation=generation,
            jobs=len(listed),
            after_ms=self._clock.now_ms() - now_ms,
        )
        self._broadcast(with_agents=True)
        self._spawn(self._run_clockwork(leader))
        self._spawn(self._write_records(leader))
        self._spawn(self._watch_records(leader, revision))
        self._spawn(self._confirm(leader))

    async def _read_records(self) -> tuple[list[store.Entry], int] | None:
        for _ in range(3):
            answer = await self.store.call(store.ListKeys(keys.JOBS))
            if answer.is_ok():
                reply = answer.unwrap()
                return reply.entries, reply.revision
            await asyncio.sleep(WRITE_RETRY_PAUSE_MS / _MS_PER_S)
        return None

    def _step_down(self, reason: str) -> None:
        leader = self._leader
        if leader is None:
            return
        _log.warning(
            'leadership ended', generation=leader.generation, reason=reason
        )
        leader.is_deposed = True
        self._leader = None
        self._heard_leader_ms = self._clock.now_ms()
        self._wake.set()
        self._writes_due.set()

    async def _resign(self) -> None:
        leader = self._leader
        if leader is None:
            return
        self._step_down('process is stopping')
        record = election.LeaderRecord(
            self.name, str(self._me.address), leader.generation
        )
        is_free = await election.resign(self.store, record)
        _log.info('resigned', generation=leader.generation, is_free=is_free)
        notice = dataclasses.replace(self._notice(), is_leading=True)
        for name in self._peer_by_name:
            self._send_entry(name, notice)

    # The leader's tasks

    async def _run_clockwork(self, leader: leaders.Leader) -> None:
        """Plan and send orders whenever something has changed."""
        while not leader.is_deposed:
            now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
            leader.tick(now_ms, wall_ms)
            try:
                leader.plan(now_ms, wall_ms)
            except Exception:
                # What runs is still looked after when planning fails.
                _log.exception('plan failed')
            self._writes_due.set()
            for node, orders in leader.take_orders(now_ms):
                role = identity.Role.AGENT
                self._node.send(effects.Send(role, node, orders))
            try:
                async with asyncio.timeout(TICK_MS / _MS_PER_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _write_records(self, leader: leaders.Leader) -> None:
        """Write one batch after the other, each until it is settled."""
        while not leader.is_deposed:
            batch = leader.next_batch()
            if batch is None:
                self._writes_due.clear()
                await self._writes_due.wait()
                continue
            started_ms = self._clock.now_ms()
            answer = await self.store.call(batch.request)
            while answer.is_err() and not leader.is_deposed:
                await asyncio.sleep(WRITE_RETRY_PAUSE_MS / _MS_PER_S)
                started_ms = self._clock.now_ms()
                answer = await self.store.call(batch.request)
            if answer.is_err():
                return
            leader.settle(
                batch,
                t.cast('store.Written | store.Conflict', answer.unwrap()),
                self._clock.now_ms(),
                self._clock.wall_ms(),
            )
            if leader.is_deposed:
                if self._leader is leader:
                    self._step_down('the store names another leader')
                return
            leader.confirmed_ms = started_ms
            self._wake.set()

    async def _watch_records(
        self, leader: leaders.Leader, revision: int
    ) -> None:
        """Find records that no entry has told this leader of."""
        while not leader.is_deposed:
            await asyncio.sleep(RECORD_WATCH_PAUSE_MS / _MS_PER_S)
            request = store.WatchPrefix(
                keys.JOBS, revision, RECORD_WATCH_PAUSE_MS
            )
            answer = await self.store.call(request)
            if answer.is_err():
                answer = await self.store.call(store.ListKeys(keys.JOBS))
            if answer.is_err():
                continue
            reply = answer.unwrap()
            revision = reply.revision
            if self._leader is leader:
                self._adopt([e for e in reply.entries if e.value])

    async def _confirm(self, leader: leaders.Leader) -> None:
        """Keep the leadership confirmed while there is nothing to write."""
        while not leader.is_deposed:
            await asyncio.sleep(CONFIRM_MS / _MS_PER_S)
            now_ms = self._clock.now_ms()
            if now_ms - leader.confirmed_ms < CONFIRM_MS:
                continue
            found = await election.read_leader(self.store)
            if found.is_ok():
                if found.unwrap().generation == leader.generation:
                    leader.confirmed_ms = now_ms
                elif self._leader is leader:
                    self._step_down('the store names another leader')
            elif self._is_confirmed_by_peers(leader):
                leader.confirmed_ms = now_ms - 3 * NOTICE_MS

    def _is_confirmed_by_peers(self, leader: leaders.Leader) -> bool:
        """Whether every known entry follows this leader right now."""
        known = {a for a in self._addresses if a != self._me.address}
        following = {
            identity.Address.from_text(peer.notice.address)
            for name, peer in self._peer_by_name.items()
            if name in self._fresh_peers()
            and peer.notice.leader_generation == leader.generation
        }
        return known <= following

    # Registration

    async def _register(self) -> None:
        """Keep this entry's address in the store, and learn the others'."""
        lease_id = 0
        while True:
            if not lease_id:
                lease_id = await self._grant_registration()
                await self._learn_entries()
            else:
                renewed = await self.store.call_direct(
                    store.RenewLease(lease_id)
                )
                if renewed.is_ok() and not renewed.unwrap().ttl_ms:
                    lease_id = 0
                    continue
            pause_ms = REGISTRATION_RENEW_MS if lease_id else NOTICE_MS
            await asyncio.sleep(pause_ms / _MS_PER_S)

    async def _grant_registration(self) -> int:
        """Write this entry's key; return its lease, ``0`` on failure."""
        granted = await self.store.call_direct(
            store.GrantLease(REGISTRATION_TTL_MS)
        )
        if granted.is_err():
            return 0
        lease_id = granted.unwrap().lease_id
        key = f'{keys.ENTRIES}{self.name}'
        value = str(self._me.address).encode()
        written = await self.store.call_direct(
            store.Transact({}, {key: value}, (), lease_id)
        )
        return lease_id if written.is_ok() else 0

    async def _learn_entries(self) -> None:
        found = await self.store.call(store.ListKeys(keys.ENTRIES))
        if found.is_err():
            return
        for entry in found.unwrap().entries:
            try:
                address = identity.Address.from_text(entry.value.decode())
            except ValueError as problem:
                _log.warning(
                    'entry record skipped', key=entry.key, reason=str(problem)
                )
                continue
            if address not in self._addresses:
                self._addresses[address] = None
                self._connect(address)


def _not_leading() -> Err[exceptions.Error]:
    kind = exceptions.ErrorKind.WORKER_LOST
    return Err(exceptions.Error.from_kind(kind, 'not the leader'))
