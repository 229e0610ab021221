"""An entry of the job path: its tasks, its peers and its part as leader."""

import asyncio
import dataclasses
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import background
from mulberryloom_core.process import lag
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
from . import registration
from . import store_codec
from . import term as terms

#: Pause between an entry's notices to its peers.
NOTICE_MS = 350
#: Pause between looks at whether anybody leads.
TICK_MS = 100
#: How long another entry may take to answer a question about a job.
PEER_TIMEOUT_MS = 400
#: How long it may take to hand on a configuration, whose size is open.
CATALOGUE_TIMEOUT_MS = 1_500
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
        make_feed: catalogue_follower.MakeFeed,
        clock: clocks.Clock,
        options: leaders.LeaderOptions,
    ) -> None:
        self._me = me
        self._clock = clock
        self._options = options
        self._election = election.ElectionOptions()
        self.tally = tally.Tally()
        self._node = nodes.Node.for_leases(
            identity.Role.ENTRY, me.node, me.secret, clock
        )
        self.name = self._node.name
        self._calls = calls.PeerCalls(self._node)
        self.store = gateway.StoreGateway(
            direct_store, self._calls, self._relay_peers, clock, self.tally
        )
        self._feed = make_feed(self.store.direct, self._on_catalogue)
        self.intake = intake.Intake(self.store, self, clock, self.tally)
        self._peer_by_name: dict[str, _Peer] = {}
        self._agent_names: set[str] = set()
        self._addresses: dict[identity.Address, None] = dict.fromkeys(me.seeds)
        self._addresses[me.address] = None
        self._record = election.LeaderRecord()
        self._heard_leader_ms = clock.now_ms()
        self._term: terms.Term | None = None
        self._registration = registration.Registration(
            self.store, self.name, me.address, self._on_address
        )
        self._tasks = background.BackgroundTasks()
        self._is_stopping = False
        self._is_fetching = False

    @classmethod
    def from_parts(
        cls,
        me: EntryIdentity,
        direct_store: store.Store,
        make_feed: catalogue_follower.MakeFeed,
        options: leaders.LeaderOptions | None = None,
        clock: clocks.Clock | None = None,
    ) -> 'JobEntry':
        """Build an entry that has opened nothing yet.

        :param make_feed: how its configuration gets here.
        """
        return cls(
            me,
            direct_store,
            make_feed,
            clock or clocks.SystemClock(),
            options or leaders.LeaderOptions(),
        )

    # For those who serve callers

    @property
    def catalogue(self) -> catalogues.Catalogue | None:
        """The configuration in force, once there is one."""
        return self._feed.catalogue

    @property
    def is_leading(self) -> bool:
        """Whether this entry believes to lead."""
        return self._term is not None

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
        self.tally.gauge('catalogue_version', self._feed.version)
        self.tally.gauge('known_entries', len(self._fresh_peers()) + 1)
        self.tally.gauge('agent_sessions', len(self._agent_names))
        if self._term is not None:
            self._term.leader.update_gauges()
        return self.tally.text()

    # Life

    async def start(self) -> None:
        """Open the peers' port and begin all tasks."""
        await self._node.listen(self._me.address)
        for address in self._addresses:
            self._connect(address)
        for work in (
            self._receive(),
            self._feed.run(),
            self._send_notices(),
            self._watch_leader(),
            self._registration.run(),
            lag.watch(self.tally, self._clock),
        ):
            self._tasks.spawn(work)
        _log.info('entry started', entry=self.name, seeds=len(self._me.seeds))

    def begin_stop(self) -> None:
        """Hand the leadership over; requests are served on."""
        if self._is_stopping:
            return
        self._is_stopping = True
        _log.info('entry stopping', entry=self.name, leads=self.is_leading)
        self._tasks.spawn(self._resign())

    async def close(self) -> None:
        """End all tasks and sessions."""
        await self._tasks.cancel()
        await self._node.close()
        _log.info('entry stopped', entry=self.name)

    # Peers

    def _connect(self, address: identity.Address) -> None:
        if address != self._me.address:
            self._node.connect(address)

    def _on_address(self, address: identity.Address) -> None:
        """Connect to an entry that was not known."""
        if address not in self._addresses:
            self._addresses[address] = None
            self._connect(address)

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
            if self._term is not None:
                self._term.leader.on_session(peer.name)
        self._node.send(effects.Send(peer.role, peer.name, self._notice()))

    def _on_message(self, sender: str, message: messages.Message) -> None:
        match message:
            case messages.WorkerReport():
                self._on_report(sender, message)
            case messages.EntryNotice():
                self._on_notice(sender, message)
            case messages.EntryCall():
                self._tasks.spawn(self._answer(sender, message))
            case messages.EntryReply():
                self._calls.on_reply(message)
            case _:
                _log.warning(
                    'message not expected',
                    peer=sender,
                    message=type(message).__name__,
                )

    def _on_report(self, sender: str, report: messages.WorkerReport) -> None:
        if self._term is None:
            return
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self._term.leader.on_report(sender, report, now_ms, wall_ms)
        self._term.wake()

    def _on_notice(self, sender: str, notice: messages.EntryNotice) -> None:
        now_ms = self._clock.now_ms()
        self._peer_by_name[sender] = _Peer(notice, now_ms)
        for text in notice.entries:
            self._on_address(identity.Address.from_text(text))
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
        if notice.catalogue_version > self._feed.version:
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
        if self._term is not None and record.name != self.name:
            self.end_term('another entry leads')

    def _fetch_catalogue(self, peer: str) -> None:
        if not self._is_fetching:
            self._is_fetching = True
            self._tasks.spawn(self._fetch_catalogue_from(peer))

    async def _fetch_catalogue_from(self, peer: str) -> None:
        try:
            answer = await self._calls.ask(
                peer,
                calls.CallKind.CATALOGUE,
                timeout_ms=CATALOGUE_TIMEOUT_MS,
            )
        finally:
            self._is_fetching = False
        if answer.is_ok() and answer.unwrap():
            self._feed.offer_packed(answer.unwrap(), peer)

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
            self._term is not None,
            self._is_stopping,
            self._feed.version,
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
                if self._term is not None:
                    self._term.adopt([store.Entry(key, call.body, revision)])
                return Ok(b'')
            case calls.CallKind.JOB_STATE:
                state = await self.job_state(call.argument, is_asked=True)
                return Ok(state.value.encode() if state else b'')
            case calls.CallKind.PENDING_COUNT:
                if self._term is None:
                    return _not_leading()
                count = self._term.leader.pending_count(call.argument)
                return Ok(str(count).encode())
            case calls.CallKind.JOB_DECISIONS:
                if self._term is None:
                    return _not_leading()
                found = self._term.leader.explain(call.argument)
                return Ok(orjson.dumps(found))
            case calls.CallKind.CATALOGUE:
                return Ok(self._feed.pack())
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
        if self._term is not None:
            self._term.adopt([entry])
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
        if self._term is not None:
            return self._term.leader.job_state(job_id)
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
        if self._term is not None:
            return self._term.leader.pending_count(queue)
        if self._record.name not in self._peer_by_name:
            return None
        answer = await self._calls.ask(
            self._record.name,
            calls.CallKind.PENDING_COUNT,
            queue,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        return None if answer.is_err() else int(answer.unwrap())

    async def explain_job(
        self, job_id: str
    ) -> Result[list[dict[str, t.Any]], exceptions.Error]:
        """Return what the leader has decided about a job, in order.

        A new leader knows only its own decisions; earlier ones are in the
        logs.
        """
        if self._term is not None:
            return Ok(self._term.leader.explain(job_id))
        if self._record.name not in self._peer_by_name:
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.NO_WORKER,
                    'no entry is known to lead',
                    retry_after_ms=self._election.silent_ms,
                )
            )
        answer = await self._calls.ask(
            self._record.name,
            calls.CallKind.JOB_DECISIONS,
            job_id,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        return answer.map(orjson.loads)

    def _on_catalogue(self, found: catalogues.Catalogue) -> None:
        if self._term is not None:
            self._term.leader.catalogue = found
            self._term.wake()
        self._broadcast()

    # Election

    async def _watch_leader(self) -> None:
        """Take over when nobody leads."""
        found = await election.read_leader(self.store)
        if found.is_ok() and found.unwrap().generation:
            self._follow(found.unwrap())
        while True:
            await asyncio.sleep(TICK_MS / _MS_PER_S)
            if self._term is not None or self._is_stopping:
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
        term = terms.Term(leader, self, self.store, self._clock, revision)
        self._term = term
        _log.info(
            'leading',
            generation=generation,
            jobs=len(listed),
            after_ms=self._clock.now_ms() - now_ms,
        )
        self._broadcast(with_agents=True)
        term.start(self._tasks)

    async def _read_records(self) -> tuple[list[store.Entry], int] | None:
        for _ in range(3):
            answer = await self.store.call(store.ListKeys(keys.JOBS))
            if answer.is_ok():
                reply = answer.unwrap()
                return reply.entries, reply.revision
            await asyncio.sleep(TICK_MS / _MS_PER_S)
        return None

    async def _resign(self) -> None:
        if self._term is None:
            return
        generation = self._term.leader.generation
        self.end_term('process is stopping')
        record = election.LeaderRecord(
            self.name, str(self._me.address), generation
        )
        is_free = await election.resign(self.store, record)
        _log.info('resigned', generation=generation, is_free=is_free)
        notice = dataclasses.replace(self._notice(), is_leading=True)
        for name in self._peer_by_name:
            self._send_entry(name, notice)

    # The owner's part in a term

    def send_orders(self, node: str, orders: messages.WorkerOrders) -> None:
        """Send orders to an agent."""
        self._node.send(effects.Send(identity.Role.AGENT, node, orders))

    def is_followed_by_all(self, generation: int) -> bool:
        """Whether every known entry follows this leader right now."""
        known = {a for a in self._addresses if a != self._me.address}
        fresh = self._fresh_peers()
        following = {
            identity.Address.from_text(peer.notice.address)
            for name, peer in self._peer_by_name.items()
            if name in fresh and peer.notice.leader_generation == generation
        }
        return known <= following

    def end_term(self, reason: str) -> None:
        """Stop leading; another entry may by now."""
        term = self._term
        if term is None:
            return
        _log.warning(
            'leadership ended',
            generation=term.leader.generation,
            reason=reason,
        )
        self._term = None
        term.end()
        self._heard_leader_ms = self._clock.now_ms()


def _not_leading() -> Err[exceptions.Error]:
    kind = exceptions.ErrorKind.WORKER_LOST
    return Err(exceptions.Error.from_kind(kind, 'not the leader'))
