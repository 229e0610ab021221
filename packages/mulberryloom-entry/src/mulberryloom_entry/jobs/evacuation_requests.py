"""Operators' requests to evacuate data centres, as keys in the store.

A data centre is evacuated as long as its key exists. The leader follows the
keys; this module only writes, removes and lists them.
"""

import asyncio
import dataclasses
import re
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core import store
from result import Err
from result import Ok
from result import Result
import structlog

from . import keys

#: Time after which no further attempt is made to settle the outcome of a
#: write. With the duration of the last attempt it stays below the timeout of
#: the operators' client.
SETTLE_TIMEOUT_MS = 6_000
#: Pause before a transaction that was not answered is repeated.
RETRY_PAUSE_MS = 100
# Not empty, since a watch reports a deleted key with an empty value.
_VALUE = b'evacuated'
_NAME = re.compile(r'[A-Za-z0-9._-]{1,100}')
_MS_PER_S = 1_000

_Kind = exceptions.ErrorKind
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationStatus:
    """Whether a data centre is evacuated, according to the store.

    :param revision: revision of the key while the data centre is evacuated;
        otherwise a revision of the store at which the key was absent.
    """

    data_centre: str
    revision: int
    is_evacuated: bool


class EvacuationRequests:
    """Writes, removes and lists the keys of evacuated data centres.

    The state is only ever taken from the reply to a transaction, which shows
    the current revision of the key. A plain read could be stale and confirm
    a write that has not taken effect. An error does not tell whether a write
    has taken effect, whatever its ``ran`` says: the store refuses calls in
    the same way during an outage and when it gives up on a write.

    :param store_client: client of the store with the keys.
    """

    def __init__(self, store_client: store.Store, clock: clocks.Clock) -> None:
        self._store = store_client
        self._clock = clock

    async def request(
        self, data_centre: str
    ) -> Result[EvacuationStatus, exceptions.Error]:
        """Evacuate a data centre; one that is evacuated is left unchanged.

        The name does not have to be that of a known data centre.

        :return: an error if the name is invalid or the outcome unknown.
        """
        if not _is_valid(data_centre):
            return _invalid_name(data_centre)
        key = keys.EVACUATIONS + data_centre
        answer = await self._settle(
            lambda _: store.Transact({key: 0}, {key: _VALUE}),
            lambda revision: revision > 0,
            key,
        )
        return self._to_status(data_centre, answer, is_evacuated=True)

    async def end(
        self, data_centre: str
    ) -> Result[EvacuationStatus, exceptions.Error]:
        """End the evacuation of a data centre, if there is one.

        :return: an error if the name is invalid or the outcome unknown.
        """
        if not _is_valid(data_centre):
            return _invalid_name(data_centre)
        key = keys.EVACUATIONS + data_centre
        # The deletion names the revision, so that a delayed one cannot end a
        # later evacuation. While no revision is known, the transaction only
        # checks that the key is absent.
        answer = await self._settle(
            lambda revision: store.Transact(
                {key: revision}, {}, (key,) if revision else ()
            ),
            lambda _: False,
            key,
        )
        return self._to_status(data_centre, answer, is_evacuated=False)

    async def list_all(
        self,
    ) -> Result[list[EvacuationStatus], exceptions.Error]:
        """Return all evacuated data centres, by name."""
        answer = await self._store.call(store.ListKeys(keys.EVACUATIONS))
        if answer.is_err():
            return Err(
                exceptions.Error.from_kind(
                    _Kind.STORE_UNAVAILABLE, answer.unwrap_err().detail
                )
            )
        listed = [
            EvacuationStatus(
                entry.key.removeprefix(keys.EVACUATIONS), entry.revision, True
            )
            for entry in answer.unwrap().entries
        ]
        return Ok(sorted(listed, key=lambda status: status.data_centre))

    async def _settle(
        self,
        make_request: t.Callable[[int], store.Transact],
        is_settled: t.Callable[[int], bool],
        key: str,
    ) -> Result[int, exceptions.Error]:
        """Repeat a transaction on a key until the store answers it.

        Repeating is safe, since each transaction depends on the revision of
        the key.

        :param make_request: builds the transaction from the last known
            revision of the key; ``0`` if it is absent or not known.
        :param is_settled: whether the key may stay at this revision when the
            transaction was rejected.
        :return: revision of the key, or of the store at the write.
        """
        deadline_ms = self._clock.now_ms() + SETTLE_TIMEOUT_MS
        revision = 0
        while True:
            answer = await self._store.call(make_request(revision))
            if answer.is_ok():
                reply = answer.unwrap()
                if isinstance(reply, store.Written):
                    return Ok(reply.revision)
                found = reply.entry_by_key.get(key)
                revision = found.revision if found else 0
                if is_settled(revision):
                    return Ok(revision)
            if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                break
            if answer.is_err():
                await asyncio.sleep(RETRY_PAUSE_MS / _MS_PER_S)
        detail = 'its key in the store keeps changing'
        if answer.is_err():
            detail = answer.unwrap_err().detail
        return Err(exceptions.Error.from_kind(_Kind.OUTCOME_UNKNOWN, detail))

    @staticmethod
    def _to_status(
        data_centre: str,
        answer: Result[int, exceptions.Error],
        *,
        is_evacuated: bool,
    ) -> Result[EvacuationStatus, exceptions.Error]:
        """Return the status that a request has led to, and log it."""
        action = 'evacuation' if is_evacuated else 'end of the evacuation'
        if answer.is_err():
            reason = answer.unwrap_err().detail
            _log.warning(
                'outcome of evacuation request unknown',
                data_centre=data_centre,
                is_evacuated=is_evacuated,
                reason=reason,
            )
            detail = (
                f'outcome of the {action} of {data_centre} is unknown: '
                f'{reason}'
            )
            return Err(
                exceptions.Error.from_kind(_Kind.OUTCOME_UNKNOWN, detail)
            )
        revision = answer.unwrap()
        _log.info(
            'evacuation request settled',
            data_centre=data_centre,
            is_evacuated=is_evacuated,
            revision=revision,
        )
        return Ok(EvacuationStatus(data_centre, revision, is_evacuated))


def _is_valid(data_centre: str) -> bool:
    return _NAME.fullmatch(data_centre) is not None


def _invalid_name(data_centre: str) -> Err[exceptions.Error]:
    return Err(
        exceptions.Error.from_kind(
            _Kind.MALFORMED_REQUEST,
            'data centre: expected 1 to 100 letters, digits, ".", "_" or '
            f'"-", got {data_centre[:100]!r}',
        )
    )
