"""Access of an entry to the store, directly or relayed by another entry."""

import asyncio
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core.process import process_metrics
from mulberryloom_core import store
from result import Err
from result import Ok
from result import Result
import structlog

from . import calls
from . import keys
from . import store_circuit
from . import store_codec

#: Time after a failed direct call during which calls are relayed first;
#: after that, direct calls are tried first again.
RELAY_FIRST_MS = 1_000
#: Timeout of a relayed call; long enough for a slow store.
RELAY_TIMEOUT_MS = 900
#: Bounds of the retry time that callers are given during an outage.
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 3_000
#: Number of peers that are tried for one relayed call, in turn.
MAX_RELAY_PEERS = 2
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)

#: Returns the names of the peers that can relay calls, in order of preference.
ListPeers: t.TypeAlias = t.Callable[[], list[str]]


class StoreGateway:
    """Store client that relays calls while the store is unreachable.

    A direct call that fails is repeated through other entries, whose own
    connections to the store may still work.

    :param direct_store: client of the store over this entry's connection.
    :param peer_calls: calls to other entries.
    :param list_peers: names of the entries that can relay.
    :param metrics: metrics in which calls are counted.
    :ivar last_reached_ms: time of the last answer of the store, direct or
        relayed.
    """

    def __init__(
        self,
        direct_store: store.Store,
        peer_calls: calls.PeerCalls,
        list_peers: ListPeers,
        clock: clocks.Clock,
        metrics: process_metrics.ProcessMetrics,
    ) -> None:
        self._direct_store = direct_store
        self._peer_calls = peer_calls
        self._list_peers = list_peers
        self._clock = clock
        self._metrics = metrics
        self._direct_failed_ms = -RELAY_FIRST_MS
        self._is_direct_reachable = True
        self._circuit = store_circuit.StoreCircuit()
        self.last_reached_ms = clock.now_ms()

    @property
    def is_direct_reachable(self) -> bool:
        """Whether the last direct call was answered."""
        return self._is_direct_reachable

    @property
    def retry_after_ms(self) -> int:
        """Delay after which callers should retry during an outage.

        An outage is expected to last as long again as it has lasted so far.
        """
        unreachable_ms = self._clock.now_ms() - self.last_reached_ms
        return max(MIN_RETRY_AFTER_MS, min(unreachable_ms, MAX_RETRY_AFTER_MS))

    async def call(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Execute one request, relayed by another entry if necessary.

        Repeating a write through a relay is safe because writes carry
        conditions on revisions. If a write was not answered, the error says
        that its outcome is unknown.
        """
        can_relay = store_codec.can_relay(request)
        is_relay_first = can_relay and (
            self._circuit.is_open
            or self._clock.now_ms() - self._direct_failed_ms < RELAY_FIRST_MS
        )
        relayed = None
        if is_relay_first:
            relayed = await self._relay(request)
            if relayed.is_ok():
                return relayed
        answer = await self.call_unless_open(request)
        if relayed is None and can_relay and answer.is_err():
            relayed = await self._relay(request)
            if relayed.is_ok():
                return relayed
        if relayed is None or answer.is_ok():
            return answer
        # The write may have taken effect on either way.
        if answer.unwrap_err().ran is not exceptions.Ran.NO:
            return answer
        return relayed

    async def call_unless_open(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Execute one request over this entry's own connection.

        It fails at once, without having run, while the circuit is open.
        """
        if not self._circuit.is_open:
            return await self.call_direct(request)
        self._metrics.count('store_calls_suppressed_total')
        return Err(
            exceptions.Error.from_kind(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                'store has not answered the last calls',
                ran=exceptions.Ran.NO,
            )
        )

    async def run_probes(self) -> None:
        """Probe the store while the circuit is open; never returns.

        The probe is a read: a caller's write would be left with an unknown
        outcome, and its caller waiting, if the store is still silent. A probe
        does not wait for the earlier ones, which a silent store may have
        lost.
        """
        async with asyncio.TaskGroup() as probes:
            while True:
                await asyncio.sleep(
                    store_circuit.PROBE_INTERVAL_MS / _MS_PER_S
                )
                if self._circuit.is_open:
                    probes.create_task(self._probe())

    async def _probe(self) -> None:
        try:
            await self.call_direct(store.GetKey(keys.LEADER))
        except Exception:
            _log.exception('store probe failed')

    @property
    def direct(self) -> 'DirectStore':
        """Client of the store that never relays."""
        return DirectStore(self)

    async def call_direct(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Execute one request over this entry's own connection."""
        answer = await self._direct_store.call(request)
        is_reachable = answer.is_ok() or (
            answer.unwrap_err().kind
            is not exceptions.ErrorKind.STORE_UNAVAILABLE
        )
        kind = type(request).__name__
        self._metrics.count('store_calls_total', kind)
        if not is_reachable:
            self._metrics.count('store_failures_total', kind)
        self._record_outcome(request, answer, is_reachable)
        return answer

    def _record_outcome(
        self,
        request: store.StoreRequest,
        answer: Result[store.StoreReply, exceptions.Error],
        is_reachable: bool,
    ) -> None:
        now_ms = self._clock.now_ms()
        was_open = self._circuit.is_open
        if is_reachable:
            self.last_reached_ms = now_ms
            self._circuit.record_answer()
            if was_open:
                # The outage is over, so that a relay would only cost time.
                self._direct_failed_ms = now_ms - RELAY_FIRST_MS
        else:
            self._direct_failed_ms = now_ms
            self._circuit.record_failure()
        self._log_circuit(was_open)
        if is_reachable == self._is_direct_reachable:
            return
        self._is_direct_reachable = is_reachable
        if is_reachable:
            _log.info('store reachable again')
        else:
            _log.warning(
                'store unreachable',
                request=type(request).__name__,
                reason=answer.unwrap_err().detail,
            )

    def _log_circuit(self, was_open: bool) -> None:
        is_open = self._circuit.is_open
        if is_open == was_open:
            return
        self._metrics.set_gauge('is_store_circuit_open', int(is_open))
        if is_open:
            _log.warning(
                'store circuit opened', failures=self._circuit.failures
            )
        else:
            _log.info('store circuit closed')

    async def _relay(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Execute one request through another entry."""
        ran = exceptions.Ran.NO
        body = store_codec.encode_request(request)
        for peer in self._list_peers()[:MAX_RELAY_PEERS]:
            answer = await self._peer_calls.send_request(
                peer,
                calls.CallKind.STORE,
                body=body,
                timeout_ms=RELAY_TIMEOUT_MS,
            )
            if answer.is_ok():
                self._metrics.count('store_relayed_total')
                self.last_reached_ms = self._clock.now_ms()
                return Ok(store_codec.decode_reply(answer.unwrap()))
            error = answer.unwrap_err()
            if error.kind is exceptions.ErrorKind.STORE_CONFLICT:
                return Err(error)
            if error.ran is not exceptions.Ran.NO:
                ran = exceptions.Ran.UNKNOWN
        return Err(
            exceptions.Error.from_kind(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                'store not reached through any other entry',
                ran=ran,
            )
        )


class DirectStore:
    """Store client that uses only this entry's own connection.

    For data that entries distribute among themselves anyway, such as the
    configuration.
    """

    __slots__ = ('_gateway',)

    def __init__(self, gateway: StoreGateway) -> None:
        self._gateway = gateway

    async def call(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Execute one request."""
        return await self._gateway.call_direct(request)
