"""Workers that may run on the VM of an agent, by their heartbeats alone.

A heartbeat proves nothing about its sender: it may come from another writer,
or late from an incarnation that has ended. A candidate is confirmed once the
worker that answers at the address of the VM has its name and start.
"""

import dataclasses
import typing as t

import structlog

from . import heartbeat_changes
from . import worker_calls

#: Limit of the candidates; the one that was added first is dropped first.
MAX_CANDIDATES = 8
#: Limit of the descriptions of a candidate; the one with the fewest heartbeats
#: is dropped first.
MAX_DESCRIPTIONS = 4

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class Description:
    """Heartbeats of one incarnation with the same fixed fields.

    :param info: the latest one.
    :param received_ms: when that was received.
    :param count: how many came, each later than the one before.
    """

    info: worker_calls.WorkerInfo
    received_ms: int
    count: int = 1


@dataclasses.dataclass(slots=True)
class Candidate:
    """An incarnation that has not answered a call.

    :param description_by_fields: its heartbeats by their fixed fields, the
        latest one last.
    :param call_id: hold call that is open; ``0`` for none.
    :param sent_ms: when the last such call was sent.
    :param next_attempt_ms: earliest time of the next call.
    """

    description_by_fields: dict[tuple[t.Any, ...], Description] = (
        dataclasses.field(default_factory=dict)
    )
    call_id: int = 0
    sent_ms: int = 0
    next_attempt_ms: int = 0

    def add(self, info: worker_calls.WorkerInfo, now_ms: int) -> None:
        """Add a heartbeat, unless a later one with its fields has come."""
        fields = heartbeat_changes.fixed_fields(info)
        by_fields = self.description_by_fields
        description = by_fields.get(fields)
        if description is None:
            if len(by_fields) >= MAX_DESCRIPTIONS:
                del by_fields[min(by_fields, key=lambda f: by_fields[f].count)]
            by_fields[fields] = Description(info, now_ms)
        elif info.sequence > description.info.sequence:
            del by_fields[fields]
            by_fields[fields] = Description(
                info, now_ms, description.count + 1
            )

    @property
    def _likeliest(self) -> Description:
        """Description with the most heartbeats; no answer confirms one."""
        latest_first = reversed(self.description_by_fields.values())
        return max(latest_first, key=lambda found: found.count)

    @property
    def info(self) -> worker_calls.WorkerInfo:
        """Latest heartbeat of the likeliest description."""
        return self._likeliest.info

    @property
    def received_ms(self) -> int:
        """When that was received."""
        return self._likeliest.received_ms

    @property
    def last_heard_ms(self) -> int:
        """When the last heartbeat of any description was received."""
        return max(
            found.received_ms for found in self.description_by_fields.values()
        )


class WorkerCandidates:
    """The candidates that are neither confirmed nor ruled out.

    :param retry_delay_ms: delay before a call without a reply is repeated.
    :param ttl_ms: time after which a candidate without another heartbeat is
        dropped.
    """

    __slots__ = ('_candidate_by_key', '_retry_delay_ms', '_ttl_ms')

    def __init__(self, retry_delay_ms: int, ttl_ms: int) -> None:
        self._retry_delay_ms = retry_delay_ms
        self._ttl_ms = ttl_ms
        self._candidate_by_key: dict[
            worker_calls.IncarnationKey, Candidate
        ] = {}

    def add(self, info: worker_calls.WorkerInfo, now_ms: int) -> None:
        """Add a candidate, or refresh the one of the same incarnation."""
        key = info.incarnation
        candidate = self._candidate_by_key.get(key)
        if candidate is None:
            if len(self._candidate_by_key) >= MAX_CANDIDATES:
                del self._candidate_by_key[next(iter(self._candidate_by_key))]
            candidate = self._candidate_by_key[key] = Candidate()
            _log.info(
                'worker to be verified',
                worker=info.worker,
                boot=info.boot,
                service=info.service,
            )
        candidate.add(info, now_ms)

    def list_due(self, now_ms: int) -> list[worker_calls.WorkerInfo]:
        """Return the candidates that are to be called now.

        :meth:`mark_called` must follow for each of them.
        """
        for key, candidate in list(self._candidate_by_key.items()):
            if now_ms - candidate.last_heard_ms >= self._ttl_ms:
                del self._candidate_by_key[key]
                _log_ruled_out(candidate, 'no answer')
        return [
            candidate.info
            for candidate in self._candidate_by_key.values()
            if not candidate.call_id and candidate.next_attempt_ms <= now_ms
        ]

    def mark_called(
        self, info: worker_calls.WorkerInfo, call_id: int, now_ms: int
    ) -> None:
        """Note the hold call by which a candidate is verified."""
        candidate = self._candidate_by_key[info.incarnation]
        candidate.call_id = call_id
        candidate.sent_ms = now_ms

    def on_reply(
        self,
        call: worker_calls.HoldCall,
        reply: worker_calls.HoldReply,
        now_ms: int,
    ) -> Candidate | None:
        """Apply the reply to a hold call.

        :return: the candidate that it confirms; ``None`` if it confirms none.
        """
        for key, candidate in self._candidate_by_key.items():
            if candidate.call_id == call.call_id:
                break
        else:
            return None
        candidate.call_id = 0
        candidate.next_attempt_ms = now_ms + self._retry_delay_ms
        if reply.status is worker_calls.CallStatus.DONE:
            del self._candidate_by_key[key]
            if reply.boot == candidate.info.boot:
                return candidate
            _log_ruled_out(candidate, 'another incarnation answers')
        elif reply.status is worker_calls.CallStatus.OTHER_INCARNATION:
            del self._candidate_by_key[key]
            _log_ruled_out(candidate, 'another worker answers')
        return None

    def restart_calls(self) -> None:
        """Call all candidates anew; the replies to open calls are ignored."""
        for candidate in self._candidate_by_key.values():
            candidate.call_id = 0
            candidate.next_attempt_ms = 0


def _log_ruled_out(candidate: Candidate, reason: str) -> None:
    _log.warning(
        'worker not verified',
        worker=candidate.info.worker,
        boot=candidate.info.boot,
        service=candidate.info.service,
        reason=reason,
    )
