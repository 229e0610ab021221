"""Effects requested by the components of the entry's core."""

import typing as t

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from result import Err

if t.TYPE_CHECKING:
    from mulberryloom_core import messages
    from mulberryloom_core import store
    from result import Result

    from .. import effects as entry_effects

    StoreResult = Result[store.StoreReply, exceptions.Error]
    OnStoreDone = t.Callable[[StoreResult, int], None]

STORE_FAILURE_THRESHOLD = 3
PROBE_INTERVAL_MS = 1_000


class Outbox:
    """Collects effects and passes store replies to their callbacks.

    Also counts consecutive failures of the store, see
    :meth:`is_store_down`.

    :param call_ids: source of the ids of this process's store calls.
    """

    __slots__ = (
        '_call_ids',
        '_callbacks_by_call_id',
        '_effects',
        '_last_store_failure_ms',
        '_store_failure_count',
    )

    def __init__(self, call_ids: effects.CallIds) -> None:
        self._effects: list[entry_effects.Effect] = []
        self._callbacks_by_call_id: dict[int, OnStoreDone] = {}
        self._call_ids = call_ids
        self._store_failure_count = 0
        self._last_store_failure_ms = 0

    def put(self, effect: 'entry_effects.Effect') -> None:
        """Add one effect."""
        self._effects.append(effect)

    def extend(self, new_effects: 't.Iterable[entry_effects.Effect]') -> None:
        """Add several effects, in order."""
        self._effects.extend(new_effects)

    def send_agent(
        self, worker: str, message: 'messages.Message', address: str = ''
    ) -> None:
        """Send a message to the agent of a worker."""
        role = identity.Role.AGENT
        self.put(effects.Send(role, worker, message, address))

    def send_entry(
        self, name: str, message: 'messages.Message', address: str = ''
    ) -> None:
        """Send a message to another entry."""
        role = identity.Role.ENTRY
        self.put(effects.Send(role, name, message, address))

    def call_store(
        self, request: 'store.StoreRequest', on_done: 'OnStoreDone'
    ) -> None:
        """Call the store.

        :param on_done: called with the result and the time in
            milliseconds.
        """
        call_id = self._call_ids.take()
        self._callbacks_by_call_id[call_id] = on_done
        self.put(effects.CallStore(call_id, request))

    def on_store_done(self, done: effects.StoreDone, now: int) -> bool:
        """Pass a store reply to its callback.

        :return: whether the call was made through this outbox.
        """
        self._record_store_health(done.result, now)
        on_done = self._callbacks_by_call_id.pop(done.call_id, None)
        if on_done is None:
            return False
        on_done(done.result, now)
        return True

    def is_store_down(self, now: int) -> bool:
        """Return whether the store should be treated as unavailable.

        True after ``STORE_FAILURE_THRESHOLD`` consecutive failures. It
        turns false ``PROBE_INTERVAL_MS`` after the last failure, so that
        the next call probes the store.
        """
        if self._store_failure_count < STORE_FAILURE_THRESHOLD:
            return False
        return now - self._last_store_failure_ms < PROBE_INTERVAL_MS

    def _record_store_health(self, result: 'StoreResult', now: int) -> None:
        unavailable = exceptions.ErrorKind.STORE_UNAVAILABLE
        if isinstance(result, Err) and result.err_value.kind is unavailable:
            self._store_failure_count += 1
            self._last_store_failure_ms = now
        else:
            self._store_failure_count = 0

    def take(self) -> 'list[entry_effects.Effect]':
        """Return the collected effects, in order, and clear them."""
        collected = self._effects
        self._effects = []
        return collected
