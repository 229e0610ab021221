"""Records of attempts that have ended, started or been forbidden."""

import array
import bisect
import collections
import dataclasses
import enum
import hashlib

from mulberryloom_core import exceptions
from mulberryloom_core import messages

from .ledger import TaskKey

# Limits of :class:`OutcomeCache`.
OUTCOME_RETENTION_MS = 120_000
MAX_OUTCOMES = 2_000
MAX_OUTCOME_BODY_BYTES = 8_000_000


@dataclasses.dataclass(slots=True)
class EndedAttempt:
    """Outcome of an attempt that has ended.

    :param requesters: names of the entries to which it was sent.
    """

    outcome: messages.Outcome
    ended_ms: int
    requesters: list[str]


class OutcomeCache:
    """Outcomes of recent attempts, to answer repeated messages.

    Bounded by age, number and total body size; the oldest are evicted
    first. An outcome whose body was evicted is kept without it, with the
    error ``OUTCOME_EXPIRED``.

    :ivar has_evicted: whether any outcome has ever been evicted, so that a
        missing one may have existed.
    """

    __slots__ = (
        '_body_bytes',
        '_ended_by_key',
        '_keys_with_body',
        'has_evicted',
    )

    def __init__(self) -> None:
        self._ended_by_key: collections.OrderedDict[TaskKey, EndedAttempt] = (
            collections.OrderedDict()
        )
        self._keys_with_body: collections.deque[TaskKey] = collections.deque()
        self._body_bytes = 0
        self.has_evicted = False

    def add(
        self,
        key: TaskKey,
        outcome: messages.Outcome,
        requesters: list[str],
        now_ms: int,
    ) -> None:
        """Record the outcome of an attempt; only the first one counts."""
        if key in self._ended_by_key:
            return
        self._ended_by_key[key] = EndedAttempt(outcome, now_ms, requesters)
        if outcome.body:
            self._body_bytes += len(outcome.body)
            self._keys_with_body.append(key)
        while self._body_bytes > MAX_OUTCOME_BODY_BYTES:
            self._drop_oldest_body()
        while len(self._ended_by_key) > MAX_OUTCOMES:
            self._evict_oldest()

    def get(self, key: TaskKey) -> EndedAttempt | None:
        """Return the recorded outcome of an attempt, if any."""
        return self._ended_by_key.get(key)

    def outcomes_sent_to(
        self, entry: str, since_ms: int
    ) -> list[tuple[TaskKey, EndedAttempt]]:
        """Return attempts whose outcome was sent to an entry.

        :param since_ms: time at or after which the attempts ended.
        """
        return [
            (key, ended)
            for key, ended in self._ended_by_key.items()
            if entry in ended.requesters and ended.ended_ms >= since_ms
        ]

    def tick(self, now_ms: int) -> None:
        """Evict outcomes past their retention period."""
        while self._ended_by_key:
            oldest = next(iter(self._ended_by_key.values()))
            if now_ms - oldest.ended_ms < OUTCOME_RETENTION_MS:
                return
            self._evict_oldest()

    def _drop_oldest_body(self) -> None:
        ended = self._ended_by_key[self._keys_with_body.popleft()]
        self._body_bytes -= len(ended.outcome.body)
        ended.outcome = dataclasses.replace(
            ended.outcome,
            error=exceptions.Error.from_kind(
                exceptions.ErrorKind.OUTCOME_EXPIRED
            ),
            body=b'',
        )

    def _evict_oldest(self) -> None:
        key, ended = self._ended_by_key.popitem(last=False)
        self.has_evicted = True
        if ended.outcome.body:
            self._body_bytes -= len(ended.outcome.body)
            self._keys_with_body.remove(key)


# Limits of :class:`RunRecords`.
MAX_RECORDS = 20_000
MAX_ARCHIVED_DIGESTS = 1_000_000
RECORD_RETENTION_MS = 3_600_000
SWEEP_INTERVAL_MS = 60_000
# Size of an item of the archive, an array of 64-bit integers.
DIGEST_BYTES = 8


class RunState(enum.Enum):
    """Run state of a request that must not run twice."""

    NOT_STARTED = 'not-started'
    STARTED = 'started'
    FORBIDDEN = 'forbidden'


@dataclasses.dataclass(slots=True)
class RunRecord:
    """Run state and highest attempt of one request.

    :param attempt: highest attempt seen; messages of lower ones are stale.
    :param keep_until_ms: end of the retention of the attempt.
    """

    state: RunState
    attempt: int
    keep_until_ms: int


class RunRecords:
    """Run records by request ID, so that no request runs twice.

    A full record is retained for an hour or until the request's deadline,
    whichever is later. After that, a request that started or was forbidden
    is archived as a digest for the lifetime of the process; if the digests
    of two IDs collide, the second request is refused. Once the archive is
    full, expired records stay in full. While the records are full, work
    that needs a record is refused.
    """

    __slots__ = ('_archived_digests', '_next_sweep_ms', '_records_by_id')

    def __init__(self) -> None:
        self._archived_digests = array.array('Q')
        self._records_by_id: dict[str, RunRecord] = {}
        self._next_sweep_ms = 0

    def get(self, request_id: str) -> RunRecord | None:
        """Return the record of a request; an archived one reads as started."""
        record = self._records_by_id.get(request_id)
        if record is None and self._is_archived(request_id):
            return RunRecord(RunState.STARTED, 0, 0)
        return record

    def put(
        self,
        request_id: str,
        state: RunState,
        attempt: int,
        deadline_ms: int,
        now_ms: int,
    ) -> bool:
        """Create or update the record of a request.

        :param deadline_ms: time left until the caller's deadline.
        :return: false when the records are full.
        """
        record = self._records_by_id.get(request_id)
        keep_until_ms = now_ms + max(RECORD_RETENTION_MS, deadline_ms)
        if record is not None:
            record.state = state
            record.attempt = max(record.attempt, attempt)
            record.keep_until_ms = max(record.keep_until_ms, keep_until_ms)
            return True
        if not self.has_room(now_ms):
            return False
        self._records_by_id[request_id] = RunRecord(
            state, attempt, keep_until_ms
        )
        return True

    def has_room(self, now_ms: int) -> bool:
        """Tell whether another request can be recorded."""
        if len(self._records_by_id) < MAX_RECORDS:
            return True
        self._sweep(now_ms)
        return len(self._records_by_id) < MAX_RECORDS

    def tick(self, now_ms: int) -> None:
        """Archive or drop expired records."""
        self._sweep(now_ms)

    def _sweep(self, now_ms: int) -> None:
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        for request_id, record in list(self._records_by_id.items()):
            if record.keep_until_ms > now_ms:
                continue
            is_archivable = record.state != RunState.NOT_STARTED
            if (
                is_archivable
                and len(self._archived_digests) >= MAX_ARCHIVED_DIGESTS
            ):
                continue
            if is_archivable:
                bisect.insort(self._archived_digests, _digest(request_id))
            del self._records_by_id[request_id]

    def _is_archived(self, request_id: str) -> bool:
        digest = _digest(request_id)
        index = bisect.bisect_left(self._archived_digests, digest)
        return (
            index < len(self._archived_digests)
            and self._archived_digests[index] == digest
        )


def _digest(request_id: str) -> int:
    hashed = hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), 'big')
