"""Job scheduling of an entry: peers, leader election and leadership.

A job consists of steps of equal tasks (see ``request.jobs`` of the core
package). It is unrelated to the queued requests that ``process`` calls jobs.

Every entry accepts requests about jobs. One entry at a time, the leader,
plans all jobs and sends orders to the agents. The entries exchange periodic
notices, from which they learn about each other, the leader and newer
configurations.
"""

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
from mulberryloom_core.process import process_metrics
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
from . import entry_addresses
from . import evacuation_requests
from . import gateway
from . import intake
from . import keys
from . import leader as leaders
from . import registration
from . import store_codec
from . import term as terms

#: Interval between the notices that an entry sends to its peers.
NOTICE_INTERVAL_MS = 350
#: Polling interval for the election timeout, and pause before a failed read
#: of the job records is retried.
LEADER_POLL_INTERVAL_MS = 100
#: Timeout of a call to another entry about a job or a queue.
PEER_TIMEOUT_MS = 400
#: Timeout of fetching a configuration from a peer; longer than that of other
#: calls, since a configuration can be large.
CATALOGUE_FETCH_TIMEOUT_MS = 1_500
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIdentity:
    """Name, address and credentials of an entry among its peers.

    :param node: name of the VM; in ``leader`` and ``fleet``, ``node`` is the
        peer name of an agent.
    :param address: address on which the entry accepts peers.
    :param secret: shared secret of the deployment, for the handshake.
    :param seeds: addresses of the first entries to connect to.
    """

    node: str
    address: identity.Address
    secret: bytes
    seeds: tuple[identity.Address, ...] = ()


@dataclasses.dataclass(slots=True)
class _Peer:
    """Another entry and its latest notice.

    :param received_ms: when the notice arrived, on the local clock.
    """

    notice: messages.EntryNotice
    received_ms: int


class JobEntry:
    """Job scheduling of one entry; construct it with :meth:`from_parts`.

    :ivar process_metrics: metrics of the job scheduling.
    :ivar name: peer name, new at every start.
    :ivar store: store client that falls back on relaying through peers.
    :ivar intake: handler of requests about jobs.
    :ivar evacuations: handler of operators' requests to evacuate data centres.
    """

    def __init__(
        self,
        entry_identity: EntryIdentity,
        direct_store: store.Store,
        make_feed: catalogue_follower.FeedFactory,
        clock: clocks.Clock,
        options: leaders.LeaderOptions,
    ) -> None:
        self._identity = entry_identity
        self._clock = clock
        self._leader_options = options
        self._election_options = election.ElectionOptions()
        self.process_metrics = process_metrics.ProcessMetrics()
        self._node = nodes.Node.for_leases(
            identity.Role.ENTRY,
            entry_identity.node,
            entry_identity.secret,
            clock,
        )
        self.name = self._node.name
        self._peer_calls = calls.PeerCalls(self._node)
        self.store = gateway.StoreGateway(
            direct_store,
            self._peer_calls,
            self._relay_peers,
            clock,
            self.process_metrics,
        )
        self._feed = make_feed(self.store.direct, self._on_catalogue)
        self.intake = intake.Intake(
            self.store, self, clock, self.process_metrics
        )
        self.evacuations = evacuation_requests.EvacuationRequests(
            self.store, clock
        )
        self._peer_by_name: dict[str, _Peer] = {}
        #: Agents with a session, in the order in which it was opened.
        self._agent_names: dict[str, None] = {}
        self._entry_addresses = entry_addresses.EntryAddresses(
            [*entry_identity.seeds, entry_identity.address]
        )
        self._leader_record = election.LeaderRecord()
        self._leader_seen_ms = clock.now_ms()
        self._term: terms.Term | None = None
        self._registration = registration.Registration(
            self.store, self.name, entry_identity.address, self._on_address
        )
        self._tasks = background.BackgroundTasks()
        self._is_stopping = False
        self._is_fetching_catalogue = False

    @classmethod
    def from_parts(
        cls,
        entry_identity: EntryIdentity,
        direct_store: store.Store,
        make_feed: catalogue_follower.FeedFactory,
        options: leaders.LeaderOptions | None = None,
        clock: clocks.Clock | None = None,
    ) -> 'JobEntry':
        """Build an entry without connections or running tasks.

        :param direct_store: client of the store over this entry's own
            connection.
        :param make_feed: builds the feed that supplies the configuration.
        """
        return cls(
            entry_identity,
            direct_store,
            make_feed,
            clock or clocks.SystemClock(),
            options or leaders.LeaderOptions(),
        )

    # Interface for the servers of callers and metrics

    @property
    def catalogue(self) -> catalogues.Catalogue | None:
        """The configuration in force; ``None`` before the first."""
        return self._feed.catalogue

    @property
    def is_leading(self) -> bool:
        """Whether this entry leads, as far as it knows.

        Another entry may have taken over without this one's knowledge.
        """
        return self._term is not None

    @property
    def is_ready(self) -> bool:
        """Whether the entry can serve callers.

        It needs a configuration, and either the store or a peer that can
        relay calls to the store; a stopping entry is not ready.
        """
        if self._is_stopping or self.catalogue is None:
            return False
        unreachable_ms = self._clock.now_ms() - self.store.last_reached_ms
        return (
            unreachable_ms < self._leader_options.worker_timeout_ms
            or self._has_live_peers()
        )

    def _has_live_peers(self) -> bool:
        return bool(self._live_peers())

    def metrics(self) -> str:
        """Return all counters, gauges and histograms in text format."""
        self.process_metrics.set_gauge('is_leading', int(self.is_leading))
        self.process_metrics.set_gauge('is_ready', int(self.is_ready))
        self.process_metrics.set_gauge('catalogue_version', self._feed.version)
        self.process_metrics.set_gauge(
            'known_entries', len(self._live_peers()) + 1
        )
        self.process_metrics.set_gauge(
            'agent_sessions', len(self._agent_names)
        )
        if self._term is not None:
            self._term.leader.update_gauges()
        return self.process_metrics.text()

    # Start and stop

    async def start(self) -> None:
        """Listen for peers and start all background tasks."""
        await self._node.listen(self._identity.address)
        for address in self._entry_addresses:
            self._connect(address)
        for run in (
            self._receive,
            self._feed.run,
            self.store.run_probes,
            self._send_notices,
            self._watch_leader,
            self._registration.run,
        ):
            self._tasks.spawn_loop(run)
        self._tasks.spawn(lag.measure(self.process_metrics, self._clock))
        _log.info(
            'entry started', entry=self.name, seeds=len(self._identity.seeds)
        )

    def begin_stop(self) -> None:
        """Resign as leader; requests are still served until :meth:`close`."""
        if self._is_stopping:
            return
        self._is_stopping = True
        _log.info(
            'entry stopping', entry=self.name, is_leading=self.is_leading
        )
        self._tasks.spawn(self._resign())

    async def close(self) -> None:
        """Cancel all tasks and close all sessions."""
        await self._tasks.cancel()
        await self._node.close()
        _log.info('entry stopped', entry=self.name)

    # Peers

    def _connect(self, address: identity.Address) -> None:
        if address != self._identity.address:
            self._node.connect(address)

    def _on_address(self, address: identity.Address) -> None:
        """Connect to an entry whose address was not known before."""
        if self._entry_addresses.add(address):
            self._connect(address)

    async def _receive(self) -> None:
        while True:
            event = await self._node.receive()
            try:
                self._on_event(event)
            except Exception:
                _log.exception(
                    'event handling failed', received=type(event).__name__
                )

    def _on_event(self, event: t.Any) -> None:
        match event:
            case effects.PeerConnected(peer):
                self._on_connected(peer)
            case effects.PeerLost(peer):
                self._on_lost(peer)
            case effects.Received(peer, message):
                self._on_message(peer.name, message)

    def _on_connected(self, peer: identity.PeerId) -> None:
        if peer.role is identity.Role.AGENT:
            self._agent_names.pop(peer.name, None)
            self._agent_names[peer.name] = None
            self._log_session('session with agent opened', peer.name)
            if self._term is not None:
                self._term.leader.on_session(peer.name)
        notice = self._notice(self._entry_addresses.texts())
        self._node.send(effects.Send(peer.role, peer.name, notice))

    def _on_lost(self, peer: identity.PeerId) -> None:
        self._peer_by_name.pop(peer.name, None)
        if peer.role is identity.Role.AGENT:
            self._agent_names.pop(peer.name, None)
            self._log_session('session with agent lost', peer.name)
            if self._term is not None:
                self._term.leader.on_session_lost(peer.name)

    def _log_session(self, event: str, agent: str) -> None:
        """Log a change of an agent's session.

        :param event: text of the log line.
        :param agent: peer name of the agent.
        """
        fields = self._term.leader.worker_fields(agent) if self._term else {}
        _log.info(event, agent=agent, **fields)

    def _on_message(self, sender: str, message: messages.Message) -> None:
        match message:
            case messages.WorkerReport():
                self._on_report(sender, message)
            case messages.EntryNotice():
                self._on_notice(sender, message)
            case messages.EntryCall():
                self._tasks.spawn(self._answer_call(sender, message))
            case messages.EntryReply():
                self._peer_calls.on_reply(message)
            case _:
                _log.warning(
                    'unexpected message',
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
        for address in identity.read_addresses(
            (sender, text) for text in notice.entries
        ):
            self._on_address(address)
        if notice.leader_generation > self._leader_record.generation:
            self._follow(
                election.LeaderRecord(
                    notice.leader,
                    notice.leader_address,
                    notice.leader_generation,
                )
            )
        if notice.is_leading and sender == self._leader_record.name:
            self._leader_seen_ms = now_ms
            if notice.is_stopping:
                # The leader resigns: count it as silent for the full timeout.
                self._leader_seen_ms = (
                    now_ms - self._election_options.leader_timeout_ms
                )
        if notice.catalogue_version > self._feed.version:
            self._begin_catalogue_fetch(sender)

    def _follow(self, record: election.LeaderRecord) -> None:
        """Adopt a leader record.

        If it names another entry, this entry's own term ends.
        """
        _log.info(
            'leader changed',
            leader=record.name,
            generation=record.generation,
            previous=self._leader_record.generation,
        )
        self._leader_record = record
        self._leader_seen_ms = self._clock.now_ms()
        if self._term is not None and record.name != self.name:
            self.end_term('another entry leads')

    def _begin_catalogue_fetch(self, peer: str) -> None:
        if not self._is_fetching_catalogue:
            self._is_fetching_catalogue = True
            self._tasks.spawn(self._fetch_catalogue(peer))

    async def _fetch_catalogue(self, peer: str) -> None:
        try:
            answer = await self._peer_calls.send_request(
                peer,
                calls.CallKind.CATALOGUE,
                timeout_ms=CATALOGUE_FETCH_TIMEOUT_MS,
            )
        finally:
            self._is_fetching_catalogue = False
        if answer.is_ok() and answer.unwrap():
            self._feed.offer_compressed(answer.unwrap(), peer)

    def _live_peers(self) -> list[str]:
        """Return the names of entries with a recent notice, sorted.

        Two lost notices in a row are tolerated.
        """
        oldest_ms = self._clock.now_ms() - 3 * NOTICE_INTERVAL_MS
        return sorted(
            name
            for name, peer in self._peer_by_name.items()
            if peer.received_ms >= oldest_ms
        )

    def _relay_peers(self) -> list[str]:
        return self._live_peers()

    def _notice(self, addresses: list[str]) -> messages.EntryNotice:
        """Return a notice to peers.

        :param addresses: addresses of entries that they may not know.
        """
        return messages.EntryNotice(
            str(self._identity.address),
            self._leader_record.name,
            self._leader_record.address,
            self._leader_record.generation,
            self._term is not None,
            self._is_stopping,
            self._feed.version,
            addresses,
        )

    async def _send_notices(self) -> None:
        while True:
            self._broadcast()
            await asyncio.sleep(NOTICE_INTERVAL_MS / _MS_PER_S)

    def _broadcast(self, *, with_agents: bool = False) -> None:
        notice = self._notice(
            self._entry_addresses.take_due_texts(self._clock.now_ms())
        )
        for name in self._peer_by_name:
            self._send_entry(name, notice)
        if with_agents:
            notice = self._notice(self._entry_addresses.texts())
            for name in self._agent_names:
                role = identity.Role.AGENT
                self._node.send(effects.Send(role, name, notice))

    def _send_entry(self, name: str, message: messages.Message) -> None:
        self._node.send(effects.Send(identity.Role.ENTRY, name, message))

    async def _answer_call(
        self, sender: str, call: messages.EntryCall
    ) -> None:
        result = await self._execute_call(call)
        if not call.call_id:
            return
        if result.is_ok():
            reply = messages.EntryReply(call.call_id, '', result.unwrap())
        else:
            reply = calls.error_reply(call.call_id, result.unwrap_err())
        self._send_entry(sender, reply)

    async def _execute_call(
        self, call: messages.EntryCall
    ) -> Result[bytes, exceptions.Error]:
        match calls.CallKind(call.kind):
            case calls.CallKind.JOB_CHANGED:
                revision = int(call.argument)
                job_id = orjson.loads(call.body)['id']
                key = keys.job_key(job_id)
                if self._term is not None:
                    self._term.apply_records(
                        [store.Entry(key, call.body, revision)]
                    )
                return Ok(b'')
            case calls.CallKind.JOB_STATE:
                state = await self.job_state(call.argument, is_from_peer=True)
                return Ok(state.value.encode() if state else b'')
            case calls.CallKind.PENDING_COUNT:
                if self._term is None:
                    return _not_leader_error()
                count = self._term.leader.pending_count(call.argument)
                return Ok(str(count).encode())
            case calls.CallKind.JOB_DECISIONS:
                if self._term is None:
                    return _not_leader_error()
                decisions = self._term.leader.decisions_on(call.argument)
                return Ok(orjson.dumps(decisions))
            case calls.CallKind.CATALOGUE:
                return Ok(self._feed.compress_document())
            case calls.CallKind.STORE:
                return await self._relay_store(call.body)

    async def _relay_store(
        self, body: bytes
    ) -> Result[bytes, exceptions.Error]:
        request = store_codec.decode_request(body)
        answer = await self.store.call_unless_open(request)
        if answer.is_err():
            return Err(answer.unwrap_err())
        return Ok(store_codec.encode_reply(answer.unwrap()))

    # Calls to the leader (:class:`intake.LeaderClient`)

    def notify_changed(self, entry: store.Entry) -> None:
        """Notify the leader that a job record was written."""
        if self._term is not None:
            self._term.apply_records([entry])
        elif self._leader_record.name in self._peer_by_name:
            self._peer_calls.send_notification(
                self._leader_record.name,
                calls.CallKind.JOB_CHANGED,
                str(entry.revision),
                entry.value,
            )

    async def job_state(
        self, job_id: str, *, is_from_peer: bool = False
    ) -> jobs.JobState | None:
        """Return a job's state from the leader; ``None`` if not available.

        :param is_from_peer: whether the call comes from another entry; it
            is then not forwarded again.
        """
        if self._term is not None:
            return self._term.leader.job_state(job_id)
        if is_from_peer or self._leader_record.name not in self._peer_by_name:
            return None
        answer = await self._peer_calls.send_request(
            self._leader_record.name,
            calls.CallKind.JOB_STATE,
            job_id,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        if answer.is_err() or not answer.unwrap():
            return None
        return jobs.JobState(answer.unwrap().decode())

    async def pending_count(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not started.

        :return: the leader's count; ``None`` if the leader is unreachable.
        """
        if self._term is not None:
            return self._term.leader.pending_count(queue)
        if self._leader_record.name not in self._peer_by_name:
            return None
        answer = await self._peer_calls.send_request(
            self._leader_record.name,
            calls.CallKind.PENDING_COUNT,
            queue,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        return None if answer.is_err() else int(answer.unwrap())

    async def explain_job(
        self, job_id: str
    ) -> Result[list[dict[str, t.Any]], exceptions.Error]:
        """Return the leader's decisions about a job, oldest first.

        A leader knows only the decisions of its own term; those of earlier
        leaders are in the logs.
        """
        if self._term is not None:
            return Ok(self._term.leader.decisions_on(job_id))
        if self._leader_record.name not in self._peer_by_name:
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.NO_WORKER,
                    'no entry is known to lead',
                    retry_after_ms=self._election_options.leader_timeout_ms,
                )
            )
        answer = await self._peer_calls.send_request(
            self._leader_record.name,
            calls.CallKind.JOB_DECISIONS,
            job_id,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        return answer.map(orjson.loads)

    def _on_catalogue(self, catalogue: catalogues.Catalogue) -> None:
        if self._term is not None:
            self._term.leader.catalogue = catalogue
            self._term.wake()
        self._broadcast()

    # Election

    async def _watch_leader(self) -> None:
        """Take over the leadership when the election timeout expires."""
        stored = await election.read_leader(self.store)
        if stored.is_ok() and stored.unwrap().generation:
            self._follow(stored.unwrap())
        while True:
            await asyncio.sleep(LEADER_POLL_INTERVAL_MS / _MS_PER_S)
            if self._term is not None or self._is_stopping:
                continue
            silent_ms = self._clock.now_ms() - self._leader_seen_ms
            if silent_ms >= self._election_timeout_ms():
                await self._try_to_lead()

    def _election_timeout_ms(self) -> int:
        """Return how long the leader may be silent before a takeover.

        Timeouts are staggered by the rank of the entry's name among the
        live entries, so that the entries do not all try at once.
        """
        names = [*self._live_peers(), self.name]
        rank = sum(name < self.name for name in names)
        options = self._election_options
        base_ms = options.replaced_leader_timeout_ms
        if not self._is_leader_restarted():
            base_ms = options.leader_timeout_ms
        return base_ms + rank * options.stagger_ms

    def _is_leader_restarted(self) -> bool:
        """Whether another process now runs on the leader's VM."""
        leader_vm = identity.vm_of(self._leader_record.name)
        return any(
            identity.vm_of(name) == leader_vm
            and name != self._leader_record.name
            for name in [*self._live_peers(), self.name]
        )

    async def _try_to_lead(self) -> None:
        stored = await election.read_leader(self.store)
        if stored.is_err():
            return
        record = stored.unwrap()
        if record.generation > self._leader_record.generation:
            # Give the new leader a full timeout to send its first notice.
            self._follow(record)
            return
        candidate = election.LeaderRecord(
            self.name, str(self._identity.address)
        )
        result = await election.take_over(self.store, candidate, record)
        if result.is_err():
            return
        elected = result.unwrap()
        self._follow(elected)
        if elected.name == self.name:
            await self._start_term(elected.generation)

    async def _start_term(self, generation: int) -> None:
        """Rebuild the state of all jobs from their records, then lead.

        :param generation: revision of the leader's key; identifies the
            term.
        """
        started_ms = self._clock.now_ms()
        leader = leaders.Leader(
            generation, self._leader_options, started_ms, self.process_metrics
        )
        self.process_metrics.count('leader_terms_total')
        snapshot = await self._read_job_records()
        if snapshot is None:
            _log.warning('job records not read', generation=generation)
            # The election timeout thus counts as expired, so that the next
            # poll tries again.
            self._leader_seen_ms = 0
            return
        leader.catalogue = self.catalogue
        records, revision = snapshot
        for name in self._agent_names:
            leader.on_session(name)
        leader.apply_records(
            records, self._clock.now_ms(), self._clock.wall_ms()
        )
        term = terms.Term(leader, self, self.store, self._clock, revision)
        self._term = term
        _log.info(
            'leadership acquired',
            generation=generation,
            jobs=len(records),
            rebuild_ms=self._clock.now_ms() - started_ms,
        )
        self._broadcast(with_agents=True)
        term.start(self._tasks)

    async def _read_job_records(self) -> tuple[list[store.Entry], int] | None:
        """Return all job records and the store's revision.

        :return: ``None`` when three tries have failed.
        """
        for _ in range(3):
            answer = await self.store.call(store.ListKeys(keys.JOBS))
            if answer.is_ok():
                reply = answer.unwrap()
                return reply.entries, reply.revision
            await asyncio.sleep(LEADER_POLL_INTERVAL_MS / _MS_PER_S)
        return None

    async def _resign(self) -> None:
        """End the term, free the leader's key and notify the peers.

        The notice has both ``is_leading`` and ``is_stopping`` set: peers
        then count the leader as silent and elect another one.
        """
        if self._term is None:
            return
        generation = self._term.leader.generation
        self.end_term('process is stopping')
        record = election.LeaderRecord(
            self.name, str(self._identity.address), generation
        )
        is_key_free = await election.resign(self.store, record)
        _log.info('resigned', generation=generation, is_key_free=is_key_free)
        notice = dataclasses.replace(self._notice([]), is_leading=True)
        for name in self._peer_by_name:
            self._send_entry(name, notice)

    # Callbacks of the term (:class:`term.TermOwner`)

    def send_orders(self, node: str, orders: messages.WorkerOrders) -> None:
        """Send orders to an agent.

        :param node: peer name of the agent.
        """
        self._node.send(effects.Send(identity.Role.AGENT, node, orders))

    def is_followed_by_all(self, generation: int) -> bool:
        """Whether every known entry follows the leader of a generation.

        Only recent notices count.
        """
        known = {
            address
            for address in self._entry_addresses
            if address != self._identity.address
        }
        live = self._live_peers()
        following = set(
            identity.read_addresses(
                (name, peer.notice.address)
                for name, peer in self._peer_by_name.items()
                if name in live and peer.notice.leader_generation == generation
            )
        )
        return known <= following

    def end_term(self, reason: str) -> None:
        """Stop leading; another entry may lead already.

        :param reason: text for the log.
        """
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
        self._leader_seen_ms = self._clock.now_ms()


def _not_leader_error() -> Err[exceptions.Error]:
    kind = exceptions.ErrorKind.WORKER_LOST
    return Err(
        exceptions.Error.from_kind(kind, 'this entry is not the leader')
    )
