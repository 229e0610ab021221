"""The store as an entry reaches it: directly, or through another entry."""

import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core.process import tally
from mulberryloom_core import store
from result import Err
from result import Ok
from result import Result
import structlog

from . import calls
from . import store_codec

#: After a failed call, how long calls go through another entry first; a
#: direct call is tried again after that.
DETOUR_MS = 1_000
#: Time for a relayed call; a store that is slow answers within it.
RELAY_TIMEOUT_MS = 900
#: Shortest and longest time after which callers shall come back.
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 3_000
#: Other entries that are asked, one after the other.
MAX_RELAYS = 2

_log = structlog.get_logger(__name__)

Peers: t.TypeAlias = t.Callable[[], list[str]]


class StoreGateway:
    """Store client that goes round a broken link to the store.

    :param direct: client of the store.
    :param peer_calls: calls to other entries.
    :param peers: names of the entries that can be asked, best first.
    :param counts: where calls are counted.
    """

    def __init__(
        self,
        direct: store.Store,
        peer_calls: calls.PeerCalls,
        peers: Peers,
        clock: clocks.Clock,
        counts: tally.Tally,
    ) -> None:
        self._direct = direct
        self._peer_calls = peer_calls
        self._peers = peers
        self._clock = clock
        self._tally = counts
        self._failed_ms = -DETOUR_MS
        self._is_direct_up = True
        self.reached_ms = clock.now_ms()

    @property
    def is_direct_up(self) -> bool:
        """Whether the last direct call was answered."""
        return self._is_direct_up

    @property
    def retry_after_ms(self) -> int:
        """When to come back while the store cannot be reached.

        An outage is expected to last as long again as it has lasted.
        """
        silent_ms = self._clock.now_ms() - self.reached_ms
        return max(MIN_RETRY_AFTER_MS, min(silent_ms, MAX_RETRY_AFTER_MS))

    async def call(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Carry out one request, through another entry if need be.

        A write is repeated there only because it carries conditions; the
        error of an unanswered one says that its outcome is unknown.
        """
        is_detour = self._clock.now_ms() - self._failed_ms < DETOUR_MS
        if is_detour and store_codec.can_relay(request):
            relayed = await self._relay(request)
            if relayed.is_ok():
                return relayed
        answer = await self.call_direct(request)
        if answer.is_ok() or is_detour or not store_codec.can_relay(request):
            return answer
        relayed = await self._relay(request)
        if relayed.is_ok():
            return relayed
        if answer.unwrap_err().ran is not exceptions.Ran.NO:
            return answer
        return relayed

    @property
    def direct(self) -> 'DirectStore':
        """The store without the way through other entries."""
        return DirectStore(self)

    async def call_direct(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Carry out one request over this entry's own link."""
        answer = await self._direct.call(request)
        is_up = answer.is_ok() or (
            answer.unwrap_err().kind
            is not exceptions.ErrorKind.STORE_UNAVAILABLE
        )
        kind = type(request).__name__
        self._tally.count('store_calls_total', kind)
        if not is_up:
            self._tally.count('store_failures_total', kind)
        self._note(request, answer, is_up)
        return answer

    def _note(
        self,
        request: store.StoreRequest,
        answer: Result[store.StoreReply, exceptions.Error],
        is_up: bool,
    ) -> None:
        now_ms = self._clock.now_ms()
        if is_up:
            self.reached_ms = now_ms
        else:
            self._failed_ms = now_ms
        if is_up == self._is_direct_up:
            return
        self._is_direct_up = is_up
        if is_up:
            _log.info('store reached again')
        else:
            _log.warning(
                'store lost',
                request=type(request).__name__,
                reason=answer.unwrap_err().detail,
            )

    async def _relay(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Have another entry call the store."""
        ran = exceptions.Ran.NO
        body = store_codec.encode_request(request)
        for peer in self._peers()[:MAX_RELAYS]:
            answer = await self._peer_calls.ask(
                peer,
                calls.CallKind.STORE,
                body=body,
                timeout_ms=RELAY_TIMEOUT_MS,
            )
            if answer.is_ok():
                self._tally.count('store_relayed_total')
                self.reached_ms = self._clock.now_ms()
                return Ok(store_codec.decode_reply(answer.unwrap()))
            error = answer.unwrap_err()
            if error.kind is exceptions.ErrorKind.STORE_CONFLICT:
                return Err(error)
            if error.ran is not exceptions.Ran.NO:
                ran = exceptions.Ran.UNKNOWN
        return Err(
            exceptions.Error.from_kind(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                'no other entry reached the store',
                ran=ran,
            )
        )


class DirectStore:
    """Store client that only takes this entry's own link.

    For what other entries hand on by themselves.
    """

    __slots__ = ('_gateway',)

    def __init__(self, gateway: StoreGateway) -> None:
        self._gateway = gateway

    async def call(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Carry out one request."""
        return await self._gateway.call_direct(request)
