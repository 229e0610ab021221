"""Runs of a backend server stand-in, and their ends."""

import asyncio
import dataclasses
import enum
import json
import typing as t


class RunEnd(enum.Enum):
    """How a run ended; ``OPEN`` if it has not."""

    OPEN = 'open'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'


@dataclasses.dataclass(frozen=True, slots=True)
class RunId:
    """Identity of the run of one gang member in one attempt of a request."""

    request_id: str
    attempt: int
    member: int

    @classmethod
    def from_text(cls, text: str) -> 'RunId':
        """Parse ``request.attempt.member``.

        :raises ValueError: when the text has another form.
        """
        request_id, attempt, member = text.rsplit('.', 2)
        return cls(request_id, int(attempt), int(member))

    def __str__(self) -> str:
        return f'{self.request_id}.{self.attempt}.{self.member}'


@dataclasses.dataclass(slots=True)
class Run:
    """One run on a backend server.

    Times are Unix milliseconds, so that the runs of several processes on one
    machine can be compared.

    :param token: token of the caller's order.
    :param member: number of the gang member, from ``0``.
    :param members: size of the gang; ``1`` without a gang.
    :param positions: positions of the assigned accelerators.
    :param is_resumed: whether the request asks to resume from a checkpoint.
    :param ended_ms: ``0`` while the run is open.
    """

    token: str
    request_id: str
    attempt: int
    member: int
    members: int
    worker: str
    service: str
    method: str
    positions: list[int]
    is_resumed: bool
    memory_mb: int
    started_ms: int
    ended_ms: int = 0
    end: RunEnd = RunEnd.OPEN

    @property
    def run_id(self) -> RunId:
        """Identity of the run."""
        return RunId(self.request_id, self.attempt, self.member)

    @classmethod
    def from_json(cls, fields: dict[str, t.Any]) -> 'Run':
        """Build a run from the result of :meth:`to_json`."""
        return cls(**{**fields, 'end': RunEnd(fields['end'])})

    def to_json(self) -> dict[str, t.Any]:
        """Return the run as a JSON object."""
        return {**dataclasses.asdict(self), 'end': self.end.value}


class RunLog:
    """Log of the runs of one backend server, and control of open ones."""

    __slots__ = (
        'runs',
        '_open_by_id',
        '_requested_end_by_id',
        '_end_event_by_id',
    )

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self._open_by_id: dict[RunId, Run] = {}
        self._requested_end_by_id: dict[RunId, RunEnd] = {}
        self._end_event_by_id: dict[RunId, asyncio.Event] = {}

    def open(self, run: Run) -> asyncio.Event:
        """Record the start of a run.

        :return: event that is set when the end of the run is requested.
        """
        self.runs.append(run)
        self._open_by_id[run.run_id] = run
        end_requested = asyncio.Event()
        self._end_event_by_id[run.run_id] = end_requested
        return end_requested

    def close(self, run: Run, end: RunEnd, now_ms: int) -> None:
        """Record the end of a run.

        :param end: how it ended, unless another end was requested.
        :param now_ms: Unix milliseconds.
        """
        run.ended_ms = now_ms
        run.end = self._requested_end_by_id.pop(run.run_id, end)
        self._end_event_by_id.pop(run.run_id, None)
        self._open_by_id.pop(run.run_id, None)

    def request_end(self, run_id: RunId, end: RunEnd) -> bool:
        """Request the end of a run; return whether the run is open."""
        end_requested = self._end_event_by_id.get(run_id)
        if end_requested is None:
            return False
        self._requested_end_by_id[run_id] = end
        end_requested.set()
        return True

    def open_runs(self) -> list[Run]:
        """Return the runs that have not ended."""
        return list(self._open_by_id.values())


def to_json(runs: list[Run]) -> bytes:
    """Return runs as a JSON document."""
    return json.dumps([run.to_json() for run in runs]).encode()


def from_json(document: bytes) -> list[Run]:
    """Build runs from the result of :func:`to_json`."""
    return [Run.from_json(fields) for fields in json.loads(document)]
